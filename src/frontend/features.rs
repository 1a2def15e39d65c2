//! OGC API - Features: feature queries in, GeoJSON out. Each becomes one query of the core, with a part for
//! each tag range; what the core answers is one page.
//!
//! A page follows the ranges in order, or the ids of the features where the data nodes give them so: see
//! [`crate::frontend::feature_pages`]. Where a class may be answered in part, a range that is not in is
//! named in `missingRanges`, and `complete` is false.

use std::collections::BTreeSet;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;

use curlewdeck_merge::cursor::{Cursor as MergeCursor, Keys, Place, Reached};
use curlewdeck_merge::query::{Op, Order, Query};
use serde_json::value::RawValue;
use serde_json::{json, Value as Json};

use crate::api::{ClassId, Nanos, ShardId};
use crate::config::{read_cursor_keys, CollectionConfig, FeaturesConfig, FeaturesConfigError};
use crate::counters::Counters;
use crate::engine::{ClientLiveness, QueryOutcome, QueryRequest, RejectReason, ResponseValidator, Row};
use crate::frontend::feature_pages::{by_id, by_offset, check_ids, Range};
use crate::frontend::http_server::{Answer, Frontend, Reply, Served};
use crate::frontend::problem::{problem, unix_now, unserved, valid_until};
use crate::limits::Limits;
use crate::net::coordinator::CoreHandle;
use crate::net::features::{self, Cursor};
use crate::net::http::{self, BadMessage, Request};

const CONFORMANCE: [&str; 2] = [
    "http://www.opengis.net/spec/ogcapi-features-1/1.0/conf/core",
    "http://www.opengis.net/spec/ogcapi-features-1/1.0/conf/geojson",
];
const GEOJSON: &str = "application/geo+json";
const JSON: &str = "application/json";
const OPENAPI: &str = "application/vnd.oai.openapi+json;version=3.0";
const CRS84: &str = "http://www.opengis.net/def/crs/OGC/1.3/CRS84";
const LIMIT: usize = 10;
const FID_BYTES: usize = 256;

/// The front.
pub struct FeaturesFrontend {
    core: CoreHandle,
    limits: Arc<Limits>,
    base: Option<String>,
    collections: Vec<(CollectionConfig, ClassId)>,
    ranges: u32,
    /// Pages go on by id, with cursors that these keys seal.
    by_id: Option<Sealed>,
    /// Queries are named after the process's start and this.
    next: AtomicU64,
}

/// How cursors of pages by id are sealed.
#[derive(Clone)]
struct Sealed {
    keys: Arc<Keys>,
    life: u64,
}

/// Where a page begins.
#[derive(Debug, Clone, PartialEq)]
enum At {
    /// Ranges follow each other; so many features are passed over.
    Offset(Cursor),
    /// Each range goes on behind an id; and the cursor as it came.
    Ids(Vec<Reached>, Option<String>),
}

/// What a request asks for.
#[derive(Debug, Clone, PartialEq)]
enum Wanted {
    Landing,
    Api,
    Conformance,
    Collections,
    Collection(usize),
    Items(usize, Filter),
    Item(usize, String),
}

/// The filter of a request for items.
#[derive(Debug, Clone, PartialEq)]
struct Filter {
    bbox: Option<String>,
    datetime: Option<String>,
    limit: usize,
    at: At,
}

impl Filter {
    /// What a cursor of a page by id is bound to.
    fn digest(&self, collection: &str) -> [u8; 16] {
        let named = |name: &str, value: &Option<String>| value.clone().map(|v| (name.to_string(), v));
        let filter =
            [named("bbox", &self.bbox), named("datetime", &self.datetime)].into_iter().flatten().collect();
        let (set, measure) = (collection.to_string(), "feature".to_string());
        let (order, grouped) = (Order::Asc, false);
        Query { set, op: Op::List, measure, scale: 0, order, grouped, limit: self.limit, filter }.digest()
    }

    /// The query string without the cursor.
    fn text(&self) -> String {
        let mut pairs = Vec::new();
        pairs.extend(self.bbox.as_ref().map(|b| format!("bbox={}", http::encode(b))));
        pairs.extend(self.datetime.as_ref().map(|d| format!("datetime={}", http::encode(d))));
        pairs.push(format!("limit={}", self.limit));
        pairs.join("&")
    }
}

fn document(kind: &'static str, body: &Json) -> Reply {
    Reply { status: 200, kind, more: String::new(), body: body.to_string().into_bytes() }
}

/// Four numbers, or six with heights; south must not lie beyond north.
fn check_bbox(text: &str) -> Result<(), &'static str> {
    let numbers: Result<Vec<f64>, _> = text.split(',').map(|n| n.trim().parse::<f64>()).collect();
    let numbers = numbers.map_err(|_| "bbox: numbers are expected")?;
    let (south, north) = match numbers[..] {
        [_, south, _, north] | [_, south, _, _, north, _] => (south, north),
        _ => return Err("bbox: four or six numbers are expected"),
    };
    if numbers.iter().any(|n| !n.is_finite()) || south > north {
        return Err("bbox: finite numbers are expected, south before north");
    }
    Ok(())
}

/// An instant, or an interval with `..` or nothing for an open end.
fn check_datetime(text: &str) -> Result<(), &'static str> {
    const WRONG: &str = "datetime: an RFC 3339 time or interval is expected";
    let instant = |t: &str| chrono::DateTime::parse_from_rfc3339(t).map_err(|_| WRONG);
    let open = |t: &str| t.is_empty() || t == "..";
    match text.split_once('/') {
        None => instant(text).map(|_| ()),
        Some((from, to)) if open(from) && open(to) => Err(WRONG),
        Some((from, to)) if open(from) => instant(to).map(|_| ()),
        Some((from, to)) if open(to) => instant(from).map(|_| ()),
        Some((from, to)) if instant(from)? <= instant(to)? => Ok(()),
        Some(_) => Err("datetime: the interval ends before it begins"),
    }
}

impl FeaturesFrontend {
    /// The front of these collections.
    ///
    /// # Errors
    /// As [`FeaturesConfig::check`].
    pub fn new(
        config: &FeaturesConfig,
        core: CoreHandle,
        limits: Arc<Limits>,
        seed: u64,
    ) -> Result<Self, FeaturesConfigError> {
        let (ranges, collections) = (core.deployment().shards, config.check(&core.deployment())?);
        let by_id = match config.by_id {
            true => Some(Sealed {
                keys: Arc::new(read_cursor_keys(config.cursor_keys.as_deref())?),
                life: config.cursor_life_s,
            }),
            false => None,
        };
        let base = config.base.as_ref().map(|b| b.trim_end_matches('/').to_string());
        Ok(Self {
            core,
            limits,
            base,
            collections,
            ranges,
            by_id,
            next: AtomicU64::new(seed & 0xffff_ffff_0000_0000),
        })
    }

    fn route(&self, request: &Request) -> Result<Wanted, Reply> {
        let path = http::decode(&request.path, false).ok_or_else(|| problem(400, "the path is malformed"))?;
        let steps: Vec<&str> = path.split('/').skip(1).collect();
        let collection = |id: &str| {
            let found = self.collections.iter().position(|c| c.0.id == id);
            found.ok_or_else(|| problem(404, "there is no such collection"))
        };
        let wanted = match steps[..] {
            [""] => Wanted::Landing,
            ["api"] => Wanted::Api,
            ["conformance"] => Wanted::Conformance,
            ["collections"] => Wanted::Collections,
            ["collections", id] => Wanted::Collection(collection(id)?),
            ["collections", id, "items"] => {
                let at = collection(id)?;
                return Ok(Wanted::Items(at, self.filter(at, &request.query)?));
            }
            ["collections", id, "items", fid] if !fid.is_empty() && fid.len() <= FID_BYTES => {
                Wanted::Item(collection(id)?, fid.to_string())
            }
            _ => return Err(problem(404, "there is no such resource")),
        };
        match request.query.is_empty() {
            true => Ok(wanted),
            false => Err(problem(400, "this resource takes no parameters")),
        }
    }

    fn filter(&self, at: usize, query: &str) -> Result<Filter, Reply> {
        let start = match &self.by_id {
            Some(_) => At::Ids(vec![Reached::default(); self.ranges as usize], None),
            None => At::Offset(Cursor::START),
        };
        let mut filter = Filter { bbox: None, datetime: None, limit: LIMIT, at: start };
        let mut cursor_text = None;
        let mut seen = BTreeSet::new();
        let bad = |why: &str| problem(400, why);
        for pair in query.split('&').filter(|p| !p.is_empty()) {
            let (name, value) = pair.split_once('=').unwrap_or((pair, ""));
            let value = http::decode(value, true).ok_or_else(|| bad("the query string is malformed"))?;
            if !seen.insert(name.to_string()) {
                return Err(bad("a parameter is given twice"));
            }
            match name {
                "bbox" => {
                    check_bbox(&value).map_err(bad)?;
                    filter.bbox = Some(value);
                }
                "datetime" => {
                    check_datetime(&value).map_err(bad)?;
                    filter.datetime = Some(value);
                }
                "limit" => {
                    let limit: usize = value.parse().map_err(|_| bad("limit: a number is expected"))?;
                    if limit == 0 {
                        return Err(bad("limit: it must be above 0"));
                    }
                    filter.limit = limit.min(self.limits.page_features);
                }
                "cursor" => cursor_text = Some(value),
                _ => return Err(bad("a parameter is not known")),
            }
        }
        if let Some(text) = cursor_text {
            filter.at = self.at(at, &filter, text)?;
        }
        Ok(filter)
    }

    /// Where a cursor stands: it is bound to its collection and filter.
    fn at(&self, at: usize, filter: &Filter, text: String) -> Result<At, Reply> {
        let Some(sealed) = &self.by_id else {
            let cursor = Cursor::parse(&text).filter(|c| c.range.0 < self.ranges);
            let cursor = cursor.ok_or_else(|| problem(400, "cursor: follow the next link"))?;
            return Ok(At::Offset(cursor));
        };
        let digest = filter.digest(&self.collections[at].0.id);
        match sealed.keys.open(&text, &digest, self.ranges as usize, unix_now()) {
            Ok(cursor) => Ok(At::Ids(cursor.ranges, Some(text))),
            Err(why) => Err(problem(400, &format!("cursor: {why}"))),
        }
    }

    fn base(&self, request: &Request) -> String {
        let host = || format!("http://{}", request.headers.get("host").unwrap_or("localhost"));
        self.base.clone().unwrap_or_else(host)
    }

    fn landing(&self, base: &str) -> Json {
        json!({
            "title": "curlewdeck",
            "description": "Feature queries over tag ranges",
            "links": [
                link(base, "/", "self", JSON, "This page"),
                link(base, "/api", "service-desc", OPENAPI, "The API's definition"),
                link(base, "/conformance", "conformance", JSON, "Conformance classes"),
                link(base, "/collections", "data", JSON, "The collections"),
            ],
        })
    }

    fn collection(&self, base: &str, at: usize) -> Json {
        let c = &self.collections[at].0;
        let path = format!("/collections/{}", c.id);
        let mut body = json!({
            "id": c.id, "title": c.title, "description": c.description, "itemType": "feature", "crs": [CRS84],
            "links": [
                link(base, &path, "self", JSON, &c.title),
                link(base, &format!("{path}/items"), "items", GEOJSON, "Its features"),
            ],
        });
        if let Some(bbox) = c.bbox {
            body["extent"] = json!({"spatial": {"bbox": [bbox], "crs": CRS84}});
        }
        body
    }

    fn collections(&self, base: &str) -> Json {
        let all: Vec<Json> = (0..self.collections.len()).map(|at| self.collection(base, at)).collect();
        json!({"links": [link(base, "/collections", "self", JSON, "The collections")], "collections": all})
    }

    /// The definition of the API, as far as Core asks for one.
    fn api(&self, base: &str) -> Json {
        let get =
            |summary: &str| json!({"get": {"summary": summary, "responses": {"200": {"description": "OK"}}}});
        let mut paths = serde_json::Map::new();
        for (path, summary) in [
            ("/", "Landing page"),
            ("/conformance", "Conformance classes"),
            ("/collections", "The collections"),
        ] {
            paths.insert(path.to_string(), get(summary));
        }
        for (c, _) in &self.collections {
            let path = format!("/collections/{}", c.id);
            let mut items = get("Its features");
            let parameter =
                |name: &str, kind: &str| json!({"name": name, "in": "query", "schema": {"type": kind}});
            items["get"]["parameters"] = json!([
                parameter("bbox", "string"),
                parameter("datetime", "string"),
                parameter("limit", "integer"),
                parameter("cursor", "string"),
            ]);
            let mut item = get("One feature");
            item["get"]["parameters"] =
                json!([{"name": "fid", "in": "path", "required": true, "schema": {"type": "string"}}]);
            paths.insert(path.clone(), get(&c.title));
            paths.insert(format!("{path}/items"), items);
            paths.insert(format!("{path}/items/{{fid}}"), item);
        }
        json!({
            "openapi": "3.0.3",
            "info": {"title": "curlewdeck", "version": env!("CARGO_PKG_VERSION")},
            "servers": [{"url": base}],
            "paths": paths,
        })
    }

    /// Hands a feature query to the core: a part for each of these ranges.
    fn ask(&self, at: usize, parts: Parts, asker: Asker, reply: crate::net::messages::Reply) -> Served {
        let class = self.core.deployment().current_class(self.collections[at].1);
        let ranges: Vec<u32> = (parts.from.0..self.ranges).collect();
        let share = 1.0 / ranges.len() as f64;
        let number = self.next.fetch_add(1, Ordering::Relaxed);
        let ask = QueryRequest {
            name: format!("{number:016x}"),
            class,
            is_retry: false,
            deadline: valid_until(
                &self.core,
                &self.limits,
                class,
                self.limits.features_timeout,
                asker.asked_at,
            ),
            parts: ranges.into_iter().map(|r| (ShardId(r), share)).collect(),
            text: parts.text.into(),
            part_texts: parts.texts,
            validator: parts.accept,
            client: asker.client,
        };
        Served::Later(self.core.submit(ask, reply))
    }

    fn items(&self, base: String, at: usize, filter: Filter, out: Answer) -> Served {
        let id = &self.collections[at].0.id;
        let path = format!("/collections/{id}/items");
        let own = format!("{path}?{}", filter.text());
        let parts = match &filter.at {
            At::Offset(cursor) => {
                Parts { from: cursor.range, ..Parts::new(format!("{own}&cursor={}", cursor.text())) }
            }
            At::Ids(reached, _) => Parts::by_id(&own, reached, filter.limit),
        };
        let (hold_off, ranges) = (self.core.queue_full_retry_after(), self.ranges);
        let seal = self.by_id.clone().map(|sealed| Seal { sealed, digest: filter.digest(id) });
        let asker = Asker::of(&out);
        let reply = Box::new(move |ended| {
            out.send(match unserved(&ended, hold_off) {
                Some(reply) => reply,
                None => page(&base, &path, &filter, ranges, seal.as_ref(), ended),
            });
        });
        self.ask(at, parts, asker, reply)
    }

    fn item(&self, base: String, at: usize, fid: &str, out: Answer) -> Served {
        let path = format!("/collections/{}/items/{}", self.collections[at].0.id, http::encode(fid));
        let collection = format!("/collections/{}", self.collections[at].0.id);
        let text = path.clone();
        let hold_off = self.core.queue_full_retry_after();
        let asker = Asker::of(&out);
        let reply = Box::new(move |ended| {
            out.send(match unserved(&ended, hold_off) {
                Some(reply) => reply,
                None => one(&base, &path, &collection, ended),
            });
        });
        self.ask(at, Parts::new(text), asker, reply)
    }
}

/// Who asks, and since when.
struct Asker {
    client: ClientLiveness,
    asked_at: Nanos,
}

impl Asker {
    fn of(out: &Answer) -> Self {
        Self { client: out.client(), asked_at: out.received_at() }
    }
}

/// What the parts of a query ask.
struct Parts {
    from: ShardId,
    text: String,
    texts: Vec<Arc<str>>,
    accept: ResponseValidator,
}

impl Parts {
    /// All ranges, all the same.
    fn new(text: String) -> Self {
        Self { from: ShardId(0), text, texts: Vec::new(), accept: ResponseValidator::default() }
    }

    /// Each range goes on behind an id of its own, and gives features in the order of their ids or does not count.
    fn by_id(own: &str, reached: &[Reached], limit: usize) -> Self {
        let text = |r: &Reached| match &r.place {
            Place::Start => own.into(),
            Place::From(id) | Place::After(id) => format!("{own}&after={}", http::encode(id)).into(),
        };
        let places: Vec<Place> = reached.iter().map(|r| r.place.clone()).collect();
        let accept = ResponseValidator::new(move |shard, value| {
            let place = places.get(shard.0 as usize).cloned().unwrap_or_default();
            match check_ids(&value.data, &place, limit) {
                Ok(()) => true,
                Err(why) => {
                    log::warn!("tag range {}: {why}", shard.0);
                    false
                }
            }
        });
        Self { texts: reached.iter().map(text).collect(), accept, ..Self::new(own.to_string()) }
    }
}

/// What seals a page's cursor.
struct Seal {
    sealed: Sealed,
    digest: [u8; 16],
}

impl Seal {
    fn text(&self, ranges: Vec<Reached>) -> String {
        let until = unix_now().saturating_add(self.sealed.life);
        self.sealed.keys.seal(&MergeCursor { query: self.digest, until, ranges })
    }
}

fn link(base: &str, path: &str, rel: &str, kind: &str, title: &str) -> Json {
    json!({"href": format!("{base}{path}"), "rel": rel, "type": kind, "title": title})
}

/// The features of a range that is in.
fn read(row: &Row) -> Option<(ShardId, Vec<Box<RawValue>>)> {
    match features::features_of(&row.data) {
        Ok(features) => Some((row.shard, features)),
        Err(why) => {
            log::warn!("tag range {}: {why}", row.shard.0);
            None
        }
    }
}

/// One page: the features of all ranges that are in, merged and cut at the limit.
fn page(
    base: &str,
    path: &str,
    filter: &Filter,
    ranges: u32,
    seal: Option<&Seal>,
    ended: Result<QueryOutcome, RejectReason>,
) -> Reply {
    let Ok(QueryOutcome::Answered { complete, rows, .. }) = ended else {
        return problem(500, "there is no answer");
    };
    let mut read: Vec<_> = rows.iter().filter_map(read).collect();
    read.sort_by_key(|r| r.0);
    let from = if let At::Offset(cursor) = &filter.at { cursor.range.0 } else { 0 };
    let missing: Vec<u32> =
        (from..ranges).filter(|r| read.binary_search_by_key(&ShardId(*r), |x| x.0).is_err()).collect();
    if read.is_empty() {
        return problem(504, "no tag range gave features that can be read");
    }
    let own = format!("{path}?{}", filter.text());
    let at = |cursor: &str| format!("{own}&cursor={cursor}");
    let (taken, next, this) = match &filter.at {
        At::Offset(cursor) => {
            let (taken, next) = by_offset(&read, *cursor, filter.limit);
            let this = if *cursor == Cursor::START { own.clone() } else { at(&cursor.text()) };
            (taken, next.map(Cursor::text), this)
        }
        At::Ids(reached, text) => match by_id(&read, reached, filter.limit) {
            Ok((taken, next)) => {
                let next = next.and_then(|ranges| seal.map(|s| s.text(ranges)));
                (taken, next, text.as_deref().map_or_else(|| own.clone(), at))
            }
            Err(why) => return problem(502, &why.to_string()),
        },
    };
    let texts: Vec<&str> = taken.iter().map(|f| f.get()).collect();
    let collection = path.trim_end_matches("/items");
    let mut links = vec![
        link(base, &this, "self", GEOJSON, "This page"),
        link(base, collection, "collection", JSON, "The collection"),
    ];
    links.extend(next.map(|c| link(base, &at(&c), "next", GEOJSON, "The next page")));
    let stamp = chrono::Utc::now().to_rfc3339_opts(chrono::SecondsFormat::Millis, true);
    // A query that is whole has every range; what cannot be read is missing all the same.
    let tail = json!({
        "numberReturned": texts.len(),
        "timeStamp": stamp,
        "complete": complete && missing.is_empty(),
        "missingRanges": missing,
        "links": links,
    });
    let tail = tail.to_string();
    // Features go out to the letter: only what stands round them is written here.
    let body = format!(
        "{{\"type\":\"FeatureCollection\",\"features\":[{}],{}",
        texts.join(","),
        tail.trim_start_matches('{')
    );
    Reply { status: 200, kind: GEOJSON, more: String::new(), body: body.into_bytes() }
}

fn one(base: &str, path: &str, collection: &str, ended: Result<QueryOutcome, RejectReason>) -> Reply {
    let Ok(QueryOutcome::Answered { complete: whole, rows, .. }) = ended else {
        return problem(500, "there is no answer");
    };
    let read: Vec<Option<Range>> = rows.iter().map(read).collect();
    let complete = whole && read.iter().all(Option::is_some);
    let Some(feature) = read.iter().flatten().find_map(|r| r.1.first()) else {
        return match complete {
            true => problem(404, "there is no such feature"),
            // It may lie in a range that did not answer.
            false => problem(504, "not all tag ranges answered, and the others have no such feature"),
        };
    };
    let links = format!(
        "<{base}{path}>; rel=\"self\"; type=\"{GEOJSON}\", <{base}{collection}>; rel=\"collection\"; type=\"{JSON}\""
    );
    let body = feature.get().as_bytes().to_vec();
    Reply { status: 200, kind: GEOJSON, more: String::new(), body }.with("Link", &links)
}

impl Frontend for FeaturesFrontend {
    fn serve(&self, request: Request, out: Answer) -> Served {
        Counters::add(&self.core.counters.features_requests);
        let wanted = match request.method.as_str() {
            "GET" | "HEAD" => self.route(&request),
            _ => Err(problem(405, "features are read by GET").with("Allow", "GET, HEAD")),
        };
        let base = self.base(&request);
        let reply = match wanted {
            Ok(Wanted::Items(at, filter)) => return self.items(base, at, filter, out),
            Ok(Wanted::Item(at, fid)) => return self.item(base, at, &fid, out),
            Ok(Wanted::Landing) => document(JSON, &self.landing(&base)),
            Ok(Wanted::Api) => document(OPENAPI, &self.api(&base)),
            Ok(Wanted::Conformance) => document(JSON, &json!({"conformsTo": CONFORMANCE})),
            Ok(Wanted::Collections) => document(JSON, &self.collections(&base)),
            Ok(Wanted::Collection(at)) => document(JSON, &self.collection(&base, at)),
            Err(reply) => {
                Counters::add(&self.core.counters.bad_requests);
                reply
            }
        };
        out.send(reply);
        Served::Now
    }

    fn reject_malformed(&self, bad: BadMessage) -> Reply {
        problem(bad.status, bad.why)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn boxes_and_times_are_checked() {
        for good in ["1,2,3,4", "-180, -90, 180, 90", "170,-10,-170,10", "1,2,0,3,4,9"] {
            assert_eq!(check_bbox(good), Ok(()), "{good}");
        }
        for bad in ["", "1,2,3", "1,2,3,4,5", "1,2,x,4", "1,4,3,2", "NaN,1,2,3", "1,2,inf,4"] {
            assert!(check_bbox(bad).is_err(), "{bad}");
        }
        for good in ["2026-12-01T00:00:00Z", "2026-12-01T00:00:00Z/..", "/2026-12-01T00:00:00+03:00"] {
            assert_eq!(check_datetime(good), Ok(()), "{good}");
        }
        for bad in ["", "..", "../..", "/", "today", "2026-12-02T00:00:00Z/2026-12-01T00:00:00Z"] {
            assert!(check_datetime(bad).is_err(), "{bad}");
        }
    }

    /// A value that cannot be read is marked as missing, never passed over in silence.
    #[test]
    fn an_unreadable_range_is_missing() {
        let row = |shard, data: &str| Row { shard: ShardId(shard), data: data.into() };
        let filter = Filter { bbox: None, datetime: None, limit: 5, at: At::Offset(Cursor::START) };
        let rows = vec![row(0, r#"[{"type":"Feature","id":1}]"#), row(1, "5be2a07c")];
        let reply = page(
            "",
            "/collections/a/items",
            &filter,
            2,
            None,
            Ok(QueryOutcome::Answered { complete: true, coverage: 1.0, rows }),
        );
        let body: Json = serde_json::from_slice(&reply.body).unwrap();
        assert_eq!((&body["complete"], &body["missingRanges"]), (&json!(false), &json!([1])));
        assert_eq!(body["numberReturned"], 1);
    }
}
