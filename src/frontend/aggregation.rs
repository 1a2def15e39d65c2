//! The desk front: rankings, sums and listings over all tag ranges, merged into one answer that says what it covers.
//! HTTP/1.1 and JSON, as `docs/desk-openapi.json` has it.
//!
//! Each request becomes one query of the core, with a part for each range and a text of its own for each part. A value
//! is looked at as it comes ([`curlewdeck_merge::merging::Merging::offer`]): what does not count ends its attempt as
//! one that may have run, and the module tries elsewhere.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use curlewdeck_merge::answer::Answer as Merged;
use curlewdeck_merge::cursor::{Cursor, Keys};
use curlewdeck_merge::merging::{Fault, Merging};
use curlewdeck_merge::query::{Op, Order, Query};
use curlewdeck_merge::recall::{Bounds, Recall};
use serde::Deserialize;
use serde_json::{json, Value as Json};

use crate::api::{ClassId, ShardId};
use crate::config::{AggregationConfig, AggregationConfigError, SetConfig};
use crate::counters::Counters;
use crate::engine::{QueryOutcome, QueryRequest, RejectReason, ResponseValidator};
use crate::frontend::http_server::{Answer, Frontend, Reply, Served};
use crate::frontend::problem::{
    problem, query_deadline, unanswered_reply, unix_now, with_retry_after, PROBLEM_MEDIA_TYPE,
};
use crate::limits::Limits;
use crate::net::coordinator::{CoreHandle, OnEndpointsStarted};
use crate::net::http::{self, BadMessage, Request};
use crate::runtime::lock;

/// What is remembered of ranges; shared with the core, which tells when a data node has started anew.
#[derive(Clone)]
pub struct Memory(Arc<Mutex<Recall>>);

impl Memory {
    /// An empty memory for so many ranges.
    pub fn new(limits: &Limits, ranges: u32) -> Self {
        let bounds = Bounds {
            entries: limits.range_cache_entries,
            ranges: ranges as usize,
            age: crate::runtime::nanos(limits.range_cache_age),
        };
        Self(Arc::new(Mutex::new(Recall::new(bounds))))
    }

    /// Forgets what data nodes told that have started anew.
    pub fn forgetting(&self) -> OnEndpointsStarted {
        let memory = self.clone();
        Box::new(move |shards| {
            let mut recall = memory.recall();
            shards.iter().for_each(|s| recall.restarted(s.0));
        })
    }

    /// Held while an answer is made, and never over a yield.
    fn recall(&self) -> MutexGuard<'_, Recall> {
        lock(&self.0)
    }
}

const JSON: &str = "application/json";
const OPENAPI: &str = "application/vnd.oai.openapi+json;version=3.1";
/// The document of this front, as it is published.
pub const OPENAPI_TEXT: &str = include_str!("../../docs/desk-openapi.json");
const LIMIT: usize = 10;
const FILTERS: usize = 16;
const FILTER_BYTES: usize = 256;

/// The front.
pub struct AggregationFrontend {
    core: CoreHandle,
    limits: Arc<Limits>,
    memory: Memory,
    keys: Keys,
    cursor_life: u64,
    sets: Vec<(SetConfig, ClassId)>,
    /// Queries are named after the process's start and this.
    next: AtomicU64,
}

/// The body of a request.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "camelCase")]
struct Body {
    op: Op,
    measure: Option<String>,
    #[serde(default)]
    order: Order,
    #[serde(default)]
    grouped: bool,
    limit: Option<usize>,
    #[serde(default)]
    filter: BTreeMap<String, String>,
    cursor: Option<String>,
    timeout_ms: Option<u64>,
}

/// A fault of a request, with the field that it lies in.
fn at_field(field: &str, detail: &str) -> Reply {
    let title = http::reason(400);
    let body =
        json!({"type": "about:blank", "title": title, "status": 400, "detail": detail, "field": field});
    Reply { status: 400, kind: PROBLEM_MEDIA_TYPE, more: String::new(), body: body.to_string().into_bytes() }
}

/// One query, on its way to the core and back.
struct Asked {
    merging: Arc<Mutex<Merging>>,
    class: ClassId,
    wait: Duration,
}

impl AggregationFrontend {
    /// The front of these sets.
    ///
    /// # Errors
    /// As [`AggregationConfig::check`] and [`AggregationConfig::keys`].
    pub fn new(
        config: &AggregationConfig,
        core: CoreHandle,
        limits: Arc<Limits>,
        memory: Memory,
        seed: u64,
    ) -> Result<Self, AggregationConfigError> {
        let classes = config.check(&core.deployment())?;
        Ok(Self {
            core,
            limits,
            memory,
            keys: config.keys()?,
            cursor_life: config.cursor_life_s,
            sets: config.sets.iter().cloned().zip(classes).collect(),
            next: AtomicU64::new(seed & 0xffff_ffff_0000_0000),
        })
    }

    fn sets(&self) -> Json {
        let set = |(s, class): &(SetConfig, ClassId)| {
            let info = self.core.deployment();
            let floor = info.settings.classes[info.current_class(*class).0].min_coverage;
            let measures: Vec<Json> =
                s.measures.iter().map(|m| json!({"name": m.name, "scale": m.scale})).collect();
            json!({"id": s.id, "title": s.title, "class": s.class, "leastShare": floor, "measures": measures})
        };
        json!({"sets": self.sets.iter().map(set).collect::<Vec<_>>(), "ranges": self.core.deployment().shards})
    }

    fn route(&self, request: &Request) -> Result<Option<Asked>, Reply> {
        let path = http::decode(&request.path, false).ok_or_else(|| problem(400, "the path is malformed"))?;
        let steps: Vec<&str> = path.split('/').skip(1).collect();
        let method = request.method.as_str();
        match steps[..] {
            ["v1", "sets", id, "query"] => {
                let set = self.sets.iter().find(|s| s.0.id == id);
                let set = set.ok_or_else(|| problem(404, "there is no such set"))?;
                match method {
                    "POST" => self.asked(set, &request.body).map(Some),
                    _ => Err(problem(405, "queries are sent by POST").with("Allow", "POST")),
                }
            }
            ["v1", "sets"] | ["openapi.json"] if method == "GET" || method == "HEAD" => Ok(None),
            ["v1", "sets"] | ["openapi.json"] => {
                Err(problem(405, "this is read by GET").with("Allow", "GET, HEAD"))
            }
            _ => Err(problem(404, "there is no such resource")),
        }
    }

    fn asked(&self, (set, class): &(SetConfig, ClassId), body: &[u8]) -> Result<Asked, Reply> {
        let mut json = serde_json::Deserializer::from_slice(body);
        let body: Body = serde_path_to_error::deserialize(&mut json).map_err(|e| {
            let field = e.path().to_string();
            at_field(if field == "." { "" } else { &field }, &e.inner().to_string())
        })?;
        json.end().map_err(|e| at_field("", &format!("after the object: {e}")))?;
        let measure = match &body.measure {
            None => &set.measures[0],
            Some(name) => {
                let found = set.measures.iter().find(|m| m.name == *name);
                found.ok_or_else(|| at_field("measure", "the set has no such measure"))?
            }
        };
        let limit = match body.limit {
            None => LIMIT,
            Some(n) if (1..=self.limits.max_aggregation_rows).contains(&n) => n,
            Some(_) => {
                return Err(at_field(
                    "limit",
                    &format!("1 to {} rows may be asked for", self.limits.max_aggregation_rows),
                ))
            }
        };
        if body.grouped && body.op == Op::List {
            return Err(at_field("grouped", "a listing has no groups"));
        }
        let long = |text: &String| text.len() > FILTER_BYTES;
        if body.filter.len() > FILTERS || body.filter.iter().any(|(k, v)| long(k) || long(v)) {
            return Err(at_field("filter", "at most 16 fields of 256 bytes"));
        }
        let wait = match body.timeout_ms {
            Some(0) => return Err(at_field("timeoutMs", "it must be above 0")),
            Some(ms) => Duration::from_millis(ms).min(self.limits.aggregation_timeout),
            None => self.limits.aggregation_timeout,
        };
        let query = Query {
            set: set.id.clone(),
            op: body.op,
            measure: measure.name.clone(),
            scale: measure.scale,
            order: body.order,
            grouped: body.grouped,
            limit,
            filter: body.filter,
        };
        let ranges = self.core.deployment().shards;
        let merging = match &body.cursor {
            None => Merging::new(query, ranges),
            Some(_) if !query.paged() => {
                return Err(at_field("cursor", "only listings and grouped figures have pages"))
            }
            Some(text) => {
                let cursor = self.keys.open(text, &query.digest(), ranges as usize, unix_now());
                Merging::resume(query, cursor.map_err(|why| at_field("cursor", &why.to_string()))?)
            }
        };
        Ok(Asked {
            merging: Arc::new(Mutex::new(merging)),
            class: self.core.deployment().current_class(*class),
            wait,
        })
    }

    /// Hands a query to the core: a part for each range, each with its own text.
    fn ask(&self, asked: Asked, out: Answer) -> Served {
        let Asked { merging, class, wait } = asked;
        let ranges = self.core.deployment().shards;
        let share = 1.0 / f64::from(ranges);
        let part_texts = {
            let merging = lock(&merging);
            (0..ranges).map(|r| merging.text(r).into()).collect()
        };
        let judge = merging.clone();
        let validator =
            ResponseValidator::new(move |shard, value| match lock(&judge).offer(shard.0, &value.data) {
                Ok(()) => true,
                Err(unfit) => {
                    log::warn!("tag range {}: {unfit}", shard.0);
                    false
                }
            });
        let ask = QueryRequest {
            name: format!("d{:016x}", self.next.fetch_add(1, Ordering::Relaxed)),
            class,
            is_retry: false,
            deadline: query_deadline(&self.core, &self.limits, class, wait, out.received_at()),
            parts: (0..ranges).map(|r| (ShardId(r), share)).collect(),
            text: "".into(),
            part_texts,
            validator,
            client: out.client(),
        };
        let end = End {
            merging,
            floor: self.core.deployment().settings.classes[class.0].min_coverage,
            memory: self.memory.clone(),
            keys: self.keys.clone(),
            cursor_life: self.cursor_life,
            core: self.core.clone(),
            piece: self.limits.aggregation_chunk_bytes,
        };
        Served::Later(self.core.submit(ask, Box::new(move |ended| end.reply(ended, out))))
    }
}

/// What becomes of a query once the core has ended it.
struct End {
    merging: Arc<Mutex<Merging>>,
    floor: f64,
    memory: Memory,
    keys: Keys,
    cursor_life: u64,
    core: CoreHandle,
    piece: usize,
}

impl End {
    fn reply(self, ended: Result<QueryOutcome, RejectReason>, out: Answer) {
        if let Some(reply) = self.unserved(&ended) {
            return out.send(reply);
        }
        let Ok(QueryOutcome::Answered { rows, .. }) = ended else {
            return out.send(problem(500, "there is no answer"));
        };
        let values: Vec<_> = rows.into_iter().map(|r| (r.shard.0, r.data)).collect();
        match self.merge(&values) {
            Ok(answer) => {
                let mut pieces = answer.pieces(self.piece).map(String::into_bytes);
                let first = pieces.next().unwrap_or_default();
                let more: Vec<Vec<u8>> = pieces.collect();
                let reply = Reply { status: 200, kind: JSON, more: String::new(), body: Vec::new() };
                match more.is_empty() {
                    true => out.send(Reply { body: first, ..reply }),
                    false => out.stream(reply, Box::new(std::iter::once(first).chain(more))),
                }
            }
            Err(fault) => out.send(self.fault(&fault)),
        }
    }

    /// The answer of what the data nodes gave, with a sealed cursor where it goes on.
    fn merge(&self, values: &[(u32, Arc<str>)]) -> Result<Merged, Fault> {
        let merging = lock(&self.merging);
        let mut recall = self.memory.recall();
        let merged = merging.finish(values, self.floor, &mut recall, self.core.clock.now());
        let (counts, counters) = (recall.counts(), &self.core.counters);
        Counters::set(&counters.range_cache_hits, counts.hits);
        Counters::set(&counters.range_cache_evictions, counts.evicted);
        Counters::set(&counters.range_cache_contradictions, counts.contradictions);
        let mut merged = merged?;
        merged.answer.head.next = merged.next.map(|ranges| {
            let until = unix_now().saturating_add(self.cursor_life);
            self.keys.seal(&Cursor { query: merging.query().digest(), until, ranges })
        });
        Ok(merged.answer)
    }

    /// The answer to a query that has none, with what was wrong with the values that came.
    fn unserved(&self, ended: &Result<QueryOutcome, RejectReason>) -> Option<Reply> {
        let reply = unanswered_reply(ended, self.core.queue_full_retry_after())?;
        let merging = lock(&self.merging);
        let seen = merging.refused().next().map(|(range, unfit)| format!("tag range {range}: {unfit}"));
        match (ended, seen) {
            (Ok(QueryOutcome::Failed), Some(seen)) => {
                Some(problem(504, &format!("no answer in time; {seen}")))
            }
            _ => Some(reply),
        }
    }

    fn fault(&self, fault: &Fault) -> Reply {
        match fault {
            // What is missing may be back soon: a row that is too large stays.
            Fault::Below(cover) if cover.missing.values().all(|r| r.word() != "row-too-large") => {
                with_retry_after(problem(503, &fault.to_string()), self.core.queue_full_retry_after())
            }
            Fault::Below(_) => problem(502, &fault.to_string()),
            Fault::Overflow | Fault::Unfit(_) => problem(500, &fault.to_string()),
        }
    }
}

impl Frontend for AggregationFrontend {
    fn serve(&self, request: Request, out: Answer) -> Served {
        Counters::add(&self.core.counters.aggregation_requests);
        match self.route(&request) {
            Ok(Some(asked)) => return self.ask(asked, out),
            Ok(None) if request.path == "/openapi.json" => {
                let body = OPENAPI_TEXT.as_bytes().to_vec();
                out.send(Reply { status: 200, kind: OPENAPI, more: String::new(), body });
            }
            Ok(None) => {
                let body = self.sets().to_string().into_bytes();
                out.send(Reply { status: 200, kind: JSON, more: String::new(), body });
            }
            Err(reply) => {
                Counters::add(&self.core.counters.bad_requests);
                out.send(reply);
            }
        }
        Served::Now
    }

    fn reject_malformed(&self, bad: BadMessage) -> Reply {
        problem(bad.status, bad.why)
    }
}
