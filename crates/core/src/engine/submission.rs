//! Validates submitted queries and opens those that are accepted.

use std::collections::HashSet;
use std::sync::Arc;

use super::query_table::{Part, Query, QueryPhase};
use super::request::{FirstPhase, PartRequest, QueryRequest, RejectReason};
use super::Engine;
use crate::api::{Event, Nanos, QueryId, ShardId};

/// Allowed difference between 1 and the sum of a query's weights, because clients round weights.
const WEIGHT_SUM_TOLERANCE: f64 = 0.01;

/// Appended to the names of parts of the second phase.
const SECOND_PHASE_SUFFIX: &str = ".fetch";

/// A part to add to an open query.
pub(super) struct NewPart {
    pub(super) shard: ShardId,
    pub(super) weight: f64,
    /// `None` if the part sends the query's text.
    pub(super) text: Option<Arc<str>>,
    /// The result of the first phase; `None` in the first phase.
    pub(super) first_phase: Option<FirstPhase>,
}

impl Engine {
    /// Opens a query under an id that the embedder has not used before.
    ///
    /// # Errors
    /// Returns the reason why the query was not accepted. The engine then returns no answer for it.
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

    /// Checks whether a query can be accepted. Returns its deadline, limited to that of the shutdown.
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

    /// Adds a part to a query and reports it to the policy, if the query is open.
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

/// Returns whether a query has at least one part, no shard twice, only shards below `shards` (0: no limit), and
/// positive weights that add up to 1.
fn has_valid_parts(request: &QueryRequest, shards: u32) -> bool {
    let named: HashSet<ShardId> = request.parts.iter().map(|part| part.0).collect();
    let all_known = named.iter().all(|shard| shards == 0 || shard.0 < shards);
    let all_positive = request.parts.iter().all(|part| part.1 > 0.0);
    let sum: f64 = request.parts.iter().map(|part| part.1).sum();
    let sum_is_one = (sum - 1.0).abs() <= WEIGHT_SUM_TOLERANCE;
    !named.is_empty() && named.len() == request.parts.len() && all_known && all_positive && sum_is_one
}
