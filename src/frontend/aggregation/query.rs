//! Converts the body of a request to a query of the core.

use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use curlewdeck_merge::merger::QueryMerger;
use curlewdeck_merge::query::{Op, Query};

use super::response::QueryResponder;
use super::wire::{invalid_field, Body};
use super::AggregationFrontend;
use crate::api::{ClassId, ShardId};
use crate::config::SetConfig;
use crate::engine::{QueryRequest, ResponseValidator};
use crate::frontend::http_server::{Answer, Reply, Served};
use crate::frontend::problem::{query_deadline, unix_now};
use crate::runtime::lock;

/// The row limit of a request without a `limit` field.
const DEFAULT_ROWS: usize = 10;
const MAX_FILTER_FIELDS: usize = 16;
/// The maximum length of a filter's field name and of its value.
const MAX_FILTER_BYTES: usize = 256;

/// A valid query that has not been submitted yet.
pub(super) struct AggregationQuery {
    merger: Arc<Mutex<QueryMerger>>,
    class: ClassId,
    timeout: Duration,
}

impl AggregationFrontend {
    /// Converts the body of a request to a query over a set, or returns the reply to an invalid body.
    pub(super) fn query(
        &self,
        (set, class): &(SetConfig, ClassId),
        body: &[u8],
    ) -> Result<AggregationQuery, Reply> {
        let body = Body::parse(body)?;
        let (measure, scale) = measure(set, body.measure.as_deref())?;
        let limit = self.row_limit(body.limit)?;
        if body.grouped && body.op == Op::List {
            return Err(invalid_field("grouped", "a listing has no groups"));
        }
        check_filter(&body)?;
        let timeout = self.timeout(body.timeout_ms)?;
        let query = Query {
            set: set.id.clone(),
            op: body.op,
            measure,
            scale,
            order: body.order,
            grouped: body.grouped,
            limit,
            filter: body.filter,
        };
        let merger = self.merger(query, body.cursor.as_deref())?;
        Ok(AggregationQuery {
            merger: Arc::new(Mutex::new(merger)),
            class: self.core.deployment().current_class(*class),
            timeout,
        })
    }

    fn row_limit(&self, limit: Option<usize>) -> Result<usize, Reply> {
        let max_rows = self.limits.max_aggregation_rows;
        match limit {
            None => Ok(DEFAULT_ROWS),
            Some(limit) if (1..=max_rows).contains(&limit) => Ok(limit),
            Some(_) => Err(invalid_field("limit", &format!("1 to {max_rows} rows may be asked for"))),
        }
    }

    fn timeout(&self, timeout_ms: Option<u64>) -> Result<Duration, Reply> {
        let max_timeout = self.limits.aggregation_timeout;
        match timeout_ms {
            Some(0) => Err(invalid_field("timeoutMs", "it must be above 0")),
            Some(timeout_ms) => Ok(Duration::from_millis(timeout_ms).min(max_timeout)),
            None => Ok(max_timeout),
        }
    }

    /// Creates the merger for the first page of a query, or for the page at a cursor.
    fn merger(&self, query: Query, cursor: Option<&str>) -> Result<QueryMerger, Reply> {
        let ranges = self.core.deployment().shards;
        let Some(text) = cursor else { return Ok(QueryMerger::new(query, ranges)) };
        if !query.is_paged() {
            return Err(invalid_field("cursor", "only listings and grouped figures have pages"));
        }
        let cursor = self.cursor_keys.verify(text, &query.digest(), ranges as usize, unix_now());
        let cursor = cursor.map_err(|error| invalid_field("cursor", &error.to_string()))?;
        Ok(QueryMerger::resume(query, cursor))
    }

    /// Submits a query to the core, with a part for each range. Each part has its own text.
    pub(super) fn submit(&self, query: AggregationQuery, answer: Answer) -> Served {
        let AggregationQuery { merger, class, timeout } = query;
        let ranges = self.core.deployment().shards;
        let weight = 1.0 / f64::from(ranges);
        let part_texts = {
            let merger = lock(&merger);
            (0..ranges).map(|range| merger.request_text(range).into()).collect()
        };
        let request = QueryRequest {
            name: format!("d{:016x}", self.next_query.fetch_add(1, Ordering::Relaxed)),
            class,
            is_retry: false,
            deadline: query_deadline(&self.core, &self.limits, class, timeout, answer.received_at()),
            parts: (0..ranges).map(|range| (ShardId(range), weight)).collect(),
            text: "".into(),
            part_texts,
            validator: validator(merger.clone()),
            client: answer.client(),
        };
        let responder = self.responder(merger, class);
        let reply = Box::new(move |ended| responder.respond(ended, answer));
        Served::Submitted(self.core.submit(request, reply))
    }

    fn responder(&self, merger: Arc<Mutex<QueryMerger>>, class: ClassId) -> QueryResponder {
        QueryResponder {
            merger,
            min_coverage: self.core.deployment().settings.classes[class.0].min_coverage,
            range_cache: self.range_cache.clone(),
            cursor_keys: self.cursor_keys.clone(),
            cursor_lifetime_s: self.cursor_lifetime_s,
            core: self.core.clone(),
            chunk_bytes: self.limits.aggregation_chunk_bytes,
        }
    }
}

/// Returns the name and scale of the named measure, or of the set's first one if `name` is `None`.
fn measure(set: &SetConfig, name: Option<&str>) -> Result<(String, u8), Reply> {
    let measure = match name {
        None => &set.measures[0],
        Some(name) => {
            let found = set.measures.iter().find(|measure| measure.name == name);
            found.ok_or_else(|| invalid_field("measure", "the set has no such measure"))?
        }
    };
    Ok((measure.name.clone(), measure.scale))
}

fn check_filter(body: &Body) -> Result<(), Reply> {
    let is_too_long = |text: &String| text.len() > MAX_FILTER_BYTES;
    let has_long_text = body.filter.iter().any(|(field, value)| is_too_long(field) || is_too_long(value));
    if body.filter.len() > MAX_FILTER_FIELDS || has_long_text {
        return Err(invalid_field("filter", "at most 16 fields of 256 bytes"));
    }
    Ok(())
}

/// Passes each value to the merger on arrival. Values that the merger rejects are invalid.
fn validator(merger: Arc<Mutex<QueryMerger>>) -> ResponseValidator {
    ResponseValidator::new(move |shard, value| {
        let accepted = lock(&merger).accept_value(shard.0, &value.data);
        if let Err(invalid) = &accepted {
            log::warn!(range = shard.0, reason:% = invalid; "invalid value from a data node");
        }
        accepted.is_ok()
    })
}
