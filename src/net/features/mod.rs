//! Requests to feature servers and their responses (OGC API - Features, GeoJSON): pure functions.
//!
//! The text of a feature query is a request target, path and query string, with parameters that this module interprets:
//! `limit`, the number of features of each tag range, and the start of the page, `cursor=RANGE.OFFSET` or, in a listing
//! that continues after an id, `after=ID`.

use serde::Deserialize;
use serde_json::value::RawValue;

use crate::api::ShardId;
use crate::net::http;

/// The start of a page of the merged result, which contains the tag ranges in ascending order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Cursor {
    /// The first range of the page.
    pub range: ShardId,
    /// Number of features to skip in this range.
    pub offset: usize,
}

impl Cursor {
    /// The start of the first page.
    pub const START: Self = Self { range: ShardId(0), offset: 0 };

    /// Parses `RANGE.OFFSET`; `None` if it is malformed.
    pub fn parse(text: &str) -> Option<Self> {
        let (range, offset) = text.split_once('.')?;
        Some(Self { range: ShardId(range.parse().ok()?), offset: offset.parse().ok()? })
    }

    /// Formats the cursor as [`Self::parse`] expects it.
    pub fn text(self) -> String {
        format!("{}.{}", self.range.0, self.offset)
    }

    /// Returns the number of features to skip in a range.
    pub fn offset_in(self, range: ShardId) -> usize {
        if range == self.range {
            self.offset
        } else {
            0
        }
    }
}

/// The names of the query parameters of feature servers that the standard does not define.
#[derive(Debug, Clone, Default)]
pub struct ParameterNames {
    /// The parameter for the tag range.
    pub range: String,
    /// The parameter for the id after which a listing continues; `None` if the servers have none.
    pub after: Option<String>,
}

/// The request to the server of one range.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RangeQuery {
    /// The target of the first request.
    pub target: String,
    /// Maximum number of features over all pages; `None` for a single feature.
    pub limit: Option<usize>,
}

impl RangeQuery {
    /// Creates the request for one range of a feature query; `None` if the query's text is malformed.
    pub fn new(text: &str, range: ShardId, names: &ParameterNames) -> Option<Self> {
        let Some((path, query)) = text.split_once('?') else {
            return Some(Self { target: text.to_string(), limit: None });
        };
        let QueryParameters { mut forwarded, limit, cursor } = QueryParameters::parse(query, names)?;
        let limit = limit?;
        forwarded.push(format!("{}={}", http::encode(&names.range), range.0));
        forwarded.push(format!("limit={limit}"));
        let offset = cursor.offset_in(range);
        if offset > 0 {
            forwarded.push(format!("offset={offset}"));
        }
        Some(Self { target: format!("{path}?{}", forwarded.join("&")), limit: Some(limit) })
    }
}

/// The parameters in the text of a feature query.
struct QueryParameters {
    /// Encoded parameters to send to the server.
    forwarded: Vec<String>,
    limit: Option<usize>,
    cursor: Cursor,
}

impl QueryParameters {
    fn parse(query: &str, names: &ParameterNames) -> Option<Self> {
        let mut parameters = Self { forwarded: Vec::new(), limit: None, cursor: Cursor::START };
        for pair in query.split('&').filter(|pair| !pair.is_empty()) {
            match pair.split_once('=') {
                Some(("limit", limit)) => parameters.limit = Some(limit.parse().ok()?),
                Some(("cursor", cursor)) => parameters.cursor = Cursor::parse(cursor)?,
                Some(("after", id)) => {
                    let name = names.after.as_deref()?;
                    parameters.forwarded.push(format!("{}={id}", http::encode(name)));
                }
                _ => parameters.forwarded.push(pair.to_string()),
            }
        }
        Some(parameters)
    }
}

/// One page of a feature server.
#[derive(Debug)]
pub struct Page {
    /// The page's features, each as its server wrote it.
    pub features: Vec<Box<RawValue>>,
    /// The request target of the next page; `None` on the last page.
    pub next: Option<String>,
}

/// A GeoJSON document with the members that are read.
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

/// Parses a page of features or a single feature.
///
/// # Errors
/// The body is neither, or its next link is invalid.
pub fn parse_page(body: &str) -> Result<Page, &'static str> {
    let page: WirePage = serde_json::from_str(body).map_err(|_| "page is not valid GeoJSON")?;
    match (page.kind.as_str(), page.features) {
        ("FeatureCollection", Some(features)) => {
            let next_link = page.links.iter().find(|link| link.rel == "next");
            let next = next_link.map(|link| target_of(&link.href)).transpose()?;
            Ok(Page { features: features.into_iter().map(ToOwned::to_owned).collect(), next })
        }
        ("Feature", None) => {
            let feature =
                RawValue::from_string(body.trim().to_string()).map_err(|_| "feature is not valid JSON")?;
            Ok(Page { features: vec![feature], next: None })
        }
        _ => Err("page is neither a feature nor a feature collection"),
    }
}

/// Returns the path and query of a link. Ignores its host: the next page is requested from the same server.
fn target_of(href: &str) -> Result<String, &'static str> {
    let rest = match href.split_once("://") {
        Some((_, rest)) => rest.find('/').map(|at| &rest[at..]),
        None => Some(href),
    };
    let target =
        rest.filter(|target| target.starts_with('/') && target.bytes().all(|byte| byte.is_ascii_graphic()));
    target.map(str::to_string).ok_or("next link is invalid")
}

/// Returns the value of a range: a JSON array of its features, each as its server wrote it.
pub fn encode_features(features: &[Box<RawValue>]) -> String {
    let texts: Vec<&str> = features.iter().map(|feature| feature.get()).collect();
    format!("[{}]", texts.join(","))
}

/// Returns the features in the value of a range: an array of features, a collection, or a single feature.
///
/// # Errors
/// The value is none of these.
pub fn parse_features(value: &str) -> Result<Vec<Box<RawValue>>, &'static str> {
    match value.trim_start().as_bytes().first() {
        Some(b'[') => serde_json::from_str(value).map_err(|_| "value is not an array of features"),
        _ => parse_page(value).map(|page| page.features),
    }
}

#[cfg(test)]
mod tests;
