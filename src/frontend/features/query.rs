//! Submits feature queries to the core.

use std::sync::atomic::Ordering;
use std::sync::Arc;

use curlewdeck_merge::cursor::{Position, RangeProgress};

use super::pages::check_ids;
use super::{log_malformed, FeaturesFrontend};
use crate::api::{Nanos, ShardId};
use crate::engine::{ClientLiveness, QueryRequest, ResponseValidator};
use crate::frontend::http_server::{Answer, Served};
use crate::frontend::problem::query_deadline;
use crate::net::http;
use crate::net::messages::OutcomeCallback;

/// The client of a query, and when its request was received.
pub(super) struct Requester {
    client: ClientLiveness,
    received_at: Nanos,
}

impl Requester {
    /// Returns the client that waits for an answer, and when its request was received.
    pub(super) fn of(answer: &Answer) -> Self {
        Self { client: answer.client(), received_at: answer.received_at() }
    }
}

/// The ranges, texts and validation of a query's parts.
pub(super) struct QueryParts {
    /// The first range of the query; earlier ranges get no part.
    first_range: ShardId,
    text: String,
    /// The text for each range. Empty if all ranges get `text`.
    range_texts: Vec<Arc<str>>,
    validator: ResponseValidator,
}

impl QueryParts {
    /// Sends the same text to all ranges.
    pub(super) fn new(text: String) -> Self {
        Self {
            first_range: ShardId(0),
            text,
            range_texts: Vec::new(),
            validator: ResponseValidator::default(),
        }
    }

    /// Sends the same text to `first_range` and the ranges after it.
    pub(super) fn from_range(first_range: ShardId, text: String) -> Self {
        Self { first_range, ..Self::new(text) }
    }

    /// Continues each range at its own position. A value is valid only if its features are in the order of their ids.
    pub(super) fn by_id(path: &str, progress: &[RangeProgress], limit: usize) -> Self {
        Self {
            range_texts: progress.iter().map(|progress| range_text(path, &progress.position)).collect(),
            validator: id_validator(progress, limit),
            ..Self::new(path.to_string())
        }
    }
}

fn range_text(path: &str, position: &Position) -> Arc<str> {
    match position {
        Position::Start => path.into(),
        Position::From(id) | Position::After(id) => format!("{path}&after={}", http::encode(id)).into(),
    }
}

fn id_validator(progress: &[RangeProgress], limit: usize) -> ResponseValidator {
    let positions: Vec<Position> = progress.iter().map(|progress| progress.position.clone()).collect();
    ResponseValidator::new(move |shard, value| {
        let position = positions.get(shard.0 as usize).cloned().unwrap_or_default();
        let checked = check_ids(&value.data, &position, limit);
        if let Err(error) = &checked {
            log_malformed(shard, &error.to_string());
        }
        checked.is_ok()
    })
}

impl FeaturesFrontend {
    /// Submits a query with a part for each range from `parts.first_range` on.
    pub(super) fn submit(
        &self,
        collection: usize,
        parts: QueryParts,
        requester: Requester,
        reply: OutcomeCallback,
    ) -> Served {
        let class = self.core.deployment().current_class(self.collections[collection].1);
        let ranges = parts.first_range.0..self.ranges;
        let weight = 1.0 / ranges.len() as f64;
        let number = self.next_query.fetch_add(1, Ordering::Relaxed);
        let timeout = self.limits.features_timeout;
        let query = QueryRequest {
            name: format!("{number:016x}"),
            class,
            is_retry: false,
            deadline: query_deadline(&self.core, &self.limits, class, timeout, requester.received_at),
            parts: ranges.map(|range| (ShardId(range), weight)).collect(),
            text: parts.text.into(),
            part_texts: parts.range_texts,
            validator: parts.validator,
            client: requester.client,
        };
        Served::Submitted(self.core.submit(query, reply))
    }
}
