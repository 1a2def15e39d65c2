//! What feature servers are asked and what they answer (OGC API - Features, GeoJSON): pure functions.
//!
//! A feature query's text is the target of a request, path and query string, with two parameters of its
//! own: `limit`, the features wanted of each tag range, and where the page begins: `cursor=RANGE.OFFSET`, or
//! `after=ID` where a listing goes on behind an id.

use serde::Deserialize;
use serde_json::value::RawValue;

use crate::api::ShardId;
use crate::net::http;

/// Where a page of the merged result begins: tag ranges follow each other in order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Cursor {
    /// The first range that is read.
    pub range: ShardId,
    /// Features of it that are passed over.
    pub offset: usize,
}

impl Cursor {
    /// The start.
    pub const START: Self = Self { range: ShardId(0), offset: 0 };

    /// Reads `RANGE.OFFSET`.
    pub fn parse(text: &str) -> Option<Self> {
        let (range, offset) = text.split_once('.')?;
        Some(Self { range: ShardId(range.parse().ok()?), offset: offset.parse().ok()? })
    }

    /// Writes the same.
    pub fn text(self) -> String {
        format!("{}.{}", self.range.0, self.offset)
    }

    /// Features to pass over in a range.
    pub fn offset_in(self, range: ShardId) -> usize {
        if range == self.range {
            self.offset
        } else {
            0
        }
    }
}

/// The parameters that feature servers have for what the standard has none for.
#[derive(Debug, Clone, Default)]
pub struct Names {
    /// The tag range.
    pub range: String,
    /// The id behind which a listing goes on.
    pub after: Option<String>,
}

/// What one range's server is asked.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RangeQuery {
    /// The target of the first request.
    pub target: String,
    /// Features wanted in all; nothing for a single feature.
    pub limit: Option<usize>,
}

impl RangeQuery {
    /// Reads a feature query's text for one range, which the server is told in the parameters of these names.
    pub fn new(text: &str, range: ShardId, names: &Names) -> Option<Self> {
        let Some((path, query)) = text.split_once('?') else {
            return Some(Self { target: text.to_string(), limit: None });
        };
        let (mut kept, mut limit, mut cursor) = (Vec::new(), None, Cursor::START);
        for pair in query.split('&').filter(|p| !p.is_empty()) {
            match pair.split_once('=') {
                Some(("limit", n)) => limit = Some(n.parse().ok()?),
                Some(("cursor", at)) => cursor = Cursor::parse(at)?,
                Some(("after", id)) => kept.push(format!("{}={id}", http::encode(names.after.as_deref()?))),
                _ => kept.push(pair.to_string()),
            }
        }
        let limit: usize = limit?;
        kept.push(format!("{}={}", http::encode(&names.range), range.0));
        kept.push(format!("limit={limit}"));
        match cursor.offset_in(range) {
            0 => {}
            n => kept.push(format!("offset={n}")),
        }
        Some(Self { target: format!("{path}?{}", kept.join("&")), limit: Some(limit) })
    }
}

/// One page of a feature server.
#[derive(Debug)]
pub struct Page {
    /// Its features, unchanged.
    pub features: Vec<Box<RawValue>>,
    /// The target of the next page.
    pub next: Option<String>,
}

#[derive(Deserialize)]
struct WirePage<'a> {
    #[serde(rename = "type")]
    kind: String,
    #[serde(borrow)]
    features: Option<Vec<&'a RawValue>>,
    #[serde(default)]
    links: Vec<Link>,
}

#[derive(Deserialize)]
struct Link {
    href: String,
    #[serde(default)]
    rel: String,
}

/// Reads a page or a single feature.
///
/// # Errors
/// It is neither.
pub fn parse_page(body: &str) -> Result<Page, &'static str> {
    let page: WirePage = serde_json::from_str(body).map_err(|_| "a page is no GeoJSON")?;
    match (page.kind.as_str(), page.features) {
        ("FeatureCollection", Some(features)) => {
            let next = page.links.iter().find(|l| l.rel == "next").map(|l| target_of(&l.href));
            let next = next.transpose()?;
            Ok(Page { features: features.into_iter().map(ToOwned::to_owned).collect(), next })
        }
        ("Feature", None) => {
            let feature =
                RawValue::from_string(body.trim().to_string()).map_err(|_| "a feature is no JSON")?;
            Ok(Page { features: vec![feature], next: None })
        }
        _ => Err("a page is neither a feature nor a collection"),
    }
}

/// The path and query of a link. Whatever host it names, the next page is asked of the same server.
fn target_of(href: &str) -> Result<String, &'static str> {
    let rest = match href.split_once("://") {
        Some((_, rest)) => rest.find('/').map(|at| &rest[at..]),
        None => Some(href),
    };
    let target = rest.filter(|t| t.starts_with('/') && t.bytes().all(|b| b.is_ascii_graphic()));
    target.map(str::to_string).ok_or("a next link cannot be followed")
}

/// A range's value: a JSON array of its features, each as its server wrote it.
pub fn value(features: &[Box<RawValue>]) -> String {
    let texts: Vec<&str> = features.iter().map(|f| f.get()).collect();
    format!("[{}]", texts.join(","))
}

/// Takes a range's value apart: an array of features, a collection, one feature, or nothing.
///
/// # Errors
/// It is none of these.
pub fn features_of(value: &str) -> Result<Vec<Box<RawValue>>, &'static str> {
    match value.trim_start().as_bytes().first() {
        Some(b'[') => serde_json::from_str(value).map_err(|_| "a value is no array of features"),
        _ => parse_page(value).map(|p| p.features),
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    #[test]
    fn a_ranges_query_names_the_range_and_its_offset() {
        let text = "/collections/plazas/items?bbox=1,2,3,4&limit=10&cursor=5.20";
        let names = Names { range: "tag range".into(), after: Some("behind".into()) };
        let query = |range| RangeQuery::new(text, ShardId(range), &names).unwrap();
        assert_eq!(
            query(5).target,
            "/collections/plazas/items?bbox=1,2,3,4&tag%20range=5&limit=10&offset=20"
        );
        assert_eq!(query(6).target, "/collections/plazas/items?bbox=1,2,3,4&tag%20range=6&limit=10");
        assert_eq!(query(6).limit, Some(10));
        let one = RangeQuery::new("/collections/plazas/items/a", ShardId(1), &names).unwrap();
        assert_eq!((one.target.as_str(), one.limit), ("/collections/plazas/items/a", None));
        assert_eq!(RangeQuery::new("/x?limit=ten", ShardId(1), &names), None);
        let behind = RangeQuery::new("/x?limit=2&after=a%20b", ShardId(1), &names).unwrap();
        assert_eq!(behind.target, "/x?behind=a%20b&tag%20range=1&limit=2");
        assert_eq!(RangeQuery::new("/x?limit=2&after=a", ShardId(1), &Names::default()), None);
    }

    /// Guards against being led to another host, or into another request, by a server's next link.
    #[test]
    fn next_links_stay_at_their_server() {
        let page = |href: &str| {
            let body = format!(
                r#"{{"type":"FeatureCollection","features":[],"links":[{{"rel":"next","href":{href:?}}}]}}"#
            );
            parse_page(&body).map(|p| p.next.unwrap())
        };
        assert_eq!(page("http://other.example/a?offset=2").as_deref(), Ok("/a?offset=2"));
        assert_eq!(page("/a?offset=2").as_deref(), Ok("/a?offset=2"));
        for bad in ["a?offset=2", "http://other.example", "/a b", "/a\r\nHost: x"] {
            assert!(page(bad).is_err(), "{bad}");
        }
    }

    #[test]
    fn features_are_kept_to_the_letter() {
        let body = r#"{"type":"FeatureCollection","features":[{"type": "Feature","id":1.0}]}"#;
        let page = parse_page(body).unwrap();
        assert_eq!(value(&page.features), r#"[{"type": "Feature","id":1.0}]"#);
        assert_eq!(features_of(&value(&page.features)).unwrap().len(), 1);
        assert_eq!(features_of(r#"{"type":"Feature","id":2}"#).unwrap().len(), 1);
        assert!(features_of("5be2a07c").is_err());
        assert!(parse_page(r#"{"type":"Feature"#).is_err());
    }

    proptest! {
        /// Nothing that a feature server sends may panic.
        #[test]
        fn any_text_is_read_without_panic(text in ".{0,80}") {
            let _ = (parse_page(&text), features_of(&text), Cursor::parse(&text));
            let _ = RangeQuery::new(&text, ShardId(0), &Names::default());
        }
    }
}
