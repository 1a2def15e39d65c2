//! Whether a query is accepted, and how it is opened.

use std::collections::HashSet;
use std::sync::Arc;

use super::query_table::{Part, Query, QueryPhase};
use super::request::{FirstPhase, PartRequest, QueryRequest, RejectReason};
use super::Engine;
use crate::api::{Event, Nanos, QueryId, ShardId};

/// The weights of a query's parts may add up to this much more or less than 1: clients round them.
const WEIGHT_SUM_TOLERANCE: f64 = 0.01;

/// Ends the name of a part of the second phase.
const SECOND_PHASE_SUFFIX: &str = ".fetch";

/// A part that is to be added to an open query.
pub(super) struct NewPart {
    pub(super) shard: ShardId,
    pub(super) weight: f64,
    /// Its own text, where it does not carry the query's.
    pub(super) text: Option<Arc<str>>,
    /// In a second phase: how the first one ended.
    pub(super) first_phase: Option<FirstPhase>,
}

impl Engine {
    /// Accepts a query under an id that the embedder has not used before.
    ///
    /// # Errors
    /// Says why it is not accepted; then it gets no answer from the engine.
    pub fn submit(&mut self, now: Nanos, id: QueryId, request: QueryRequest) -> Result<(), RejectReason> {
        self.advance_to(now);
        let deadline = self.check(&request)?;
        let QueryRequest { name, class, is_retry, parts, text, part_texts, validator, client, .. } = request;
        self.events.push(Event::QueryArrived { id, class, tenant: None, key: None, is_retry, deadline });
        self.deadlines.queries.push(deadline.saturating_add(self.deadline_grace), id);
        self.query_names.reserve(&name);
        let query = Query {
            name,
            class,
            deadline,
            text,
            validator,
            client,
            phase: QueryPhase::First,
            parts: Vec::with_capacity(parts.len()),
        };
        self.queries.insert(id, query);
        let mut part_texts = part_texts.into_iter();
        for (shard, weight) in parts {
            let text = part_texts.next();
            self.add_part(id, NewPart { shard, weight, text, first_phase: None });
        }
        Ok(())
    }

    /// Checks whether a query is accepted now; returns the deadline that it has then.
    fn check(&mut self, request: &QueryRequest) -> Result<Nanos, RejectReason> {
        let settings = &self.deployment.settings;
        if request.class.0 >= settings.classes.len() {
            return Err(RejectReason::UnknownClass);
        }
        if !has_valid_parts(request, self.deployment.shards) {
            return Err(RejectReason::InvalidParts);
        }
        let deadline = request.deadline.min(self.shutdown_deadline);
        if deadline <= self.now {
            return Err(RejectReason::DeadlinePassed);
        }
        self.query_names.forget_reusable(self.now);
        if self.query_names.is_reserved(&request.name) {
            return Err(RejectReason::DuplicateName);
        }
        let open = self.queries.len() + self.queries.part_count();
        if open + 1 + request.parts.len() > settings.max_open {
            return Err(RejectReason::QueueFull);
        }
        Ok(deadline)
    }

    /// Adds a part to an open query.
    pub(super) fn add_part(&mut self, query_id: QueryId, new: NewPart) {
        let Some(query) = self.queries.get(query_id) else { return };
        let NewPart { shard, weight, text, first_phase } = new;
        let suffix = if first_phase.is_some() { SECOND_PHASE_SUFFIX } else { "" };
        let name = format!("{}.{}{suffix}", query.name, shard.0);
        let text = text.unwrap_or_else(|| query.text.clone());
        let request = PartRequest { name, shard, text, first_phase };
        if let Some(id) = self.queries.add_part(Part::new(query_id, weight, request)) {
            self.events.push(Event::PartArrived { id, query: query_id, shard, weight });
        }
    }
}

/// Whether a query names at least one part and each shard once, of `shards` (0: as many as there may be), with weights
/// that add up to one.
fn has_valid_parts(request: &QueryRequest, shards: u32) -> bool {
    let named: HashSet<ShardId> = request.parts.iter().map(|part| part.0).collect();
    let exist = named.iter().all(|shard| shards == 0 || shard.0 < shards);
    let all_positive = request.parts.iter().all(|part| part.1 > 0.0);
    let sum: f64 = request.parts.iter().map(|part| part.1).sum();
    let sum_is_one = (sum - 1.0).abs() <= WEIGHT_SUM_TOLERANCE;
    !named.is_empty() && named.len() == request.parts.len() && exist && all_positive && sum_is_one
}
