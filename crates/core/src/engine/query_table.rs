//! The open queries and their parts.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use super::attempt_table::AttemptId;
use super::cancellation::ClientLiveness;
use super::outcome::Value;
use super::request::PartRequest;
use super::validation::ResponseValidator;
use crate::api::{ClassId, Nanos, Outcome, PartId, QueryId, ShardId};

/// The current phase of a query.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum QueryPhase {
    First,
    Second {
        /// Whether the first phase ended with a complete answer.
        first_phase_complete: bool,
    },
}

/// A query without a final answer.
pub(super) struct Query {
    pub(super) name: String,
    pub(super) class: ClassId,
    pub(super) deadline: Nanos,
    /// The text of parts that have no text of their own.
    pub(super) text: Arc<str>,
    pub(super) validator: ResponseValidator,
    pub(super) client: ClientLiveness,
    pub(super) phase: QueryPhase,
    /// The parts of the current phase.
    pub(super) parts: Vec<PartId>,
}

/// An attempt of a part, whether it has ended or not.
struct StartedAttempt {
    started_at: Nanos,
    /// Whether its outcome proves that the data node never ran it.
    never_ran: bool,
}

/// An attempt of a part that has not ended.
struct InFlightAttempt {
    number: u32,
    id: AttemptId,
}

/// A part of an open query.
pub(super) struct Part {
    pub(super) query: QueryId,
    pub(super) shard: ShardId,
    pub(super) weight: f64,
    pub(super) request: Arc<PartRequest>,
    pub(super) value: Option<Value>,
    /// All attempts of the part, indexed by number.
    started: Vec<StartedAttempt>,
    in_flight: Vec<InFlightAttempt>,
}

impl Part {
    pub(super) fn new(query: QueryId, weight: f64, request: PartRequest) -> Self {
        Self {
            query,
            shard: request.shard,
            weight,
            request: Arc::new(request),
            value: None,
            started: Vec::new(),
            in_flight: Vec::new(),
        }
    }

    /// Records that an attempt starts now; returns its number.
    pub(super) fn record_start(&mut self, now: Nanos, id: AttemptId) -> u32 {
        let number = self.started.len() as u32;
        self.started.push(StartedAttempt { started_at: now, never_ran: false });
        self.in_flight.push(InFlightAttempt { number, id });
        number
    }

    /// Records the end of an attempt. The part keeps the value of its first successful attempt.
    pub(super) fn record_end(&mut self, id: AttemptId, number: u32, outcome: Outcome, value: Option<Value>) {
        self.started[number as usize].never_ran = outcome.never_ran();
        self.in_flight.retain(|attempt| attempt.id != id);
        if outcome == Outcome::Success && self.value.is_none() {
            self.value = value;
        }
    }

    /// Returns the start time of the first attempt that may have run.
    pub(super) fn first_possible_run(&self) -> Option<Nanos> {
        self.started.iter().find(|attempt| !attempt.never_ran).map(|attempt| attempt.started_at)
    }

    pub(super) fn has_attempt_in_flight(&self) -> bool {
        !self.in_flight.is_empty()
    }

    /// Returns the attempt with this number, or `None` if it has ended.
    pub(super) fn in_flight_attempt(&self, number: u32) -> Option<AttemptId> {
        self.in_flight.iter().find(|attempt| attempt.number == number).map(|attempt| attempt.id)
    }

    /// Returns the attempts that have not ended, in the order in which they started.
    pub(super) fn in_flight_attempts(&self) -> impl Iterator<Item = AttemptId> + '_ {
        self.in_flight.iter().map(|attempt| attempt.id)
    }
}

/// All open queries and the parts of their current phases. Every part belongs to an open query.
#[derive(Default)]
pub(super) struct QueryTable {
    queries: BTreeMap<QueryId, Query>,
    parts: HashMap<PartId, Part>,
    next_part: u64,
}

impl QueryTable {
    pub(super) fn insert(&mut self, id: QueryId, query: Query) {
        self.queries.insert(id, query);
    }

    pub(super) fn get(&self, id: QueryId) -> Option<&Query> {
        self.queries.get(&id)
    }

    pub(super) fn get_mut(&mut self, id: QueryId) -> Option<&mut Query> {
        self.queries.get_mut(&id)
    }

    pub(super) fn contains(&self, id: QueryId) -> bool {
        self.queries.contains_key(&id)
    }

    /// Removes a query, but not its parts: the caller removes them with [`Self::remove_part`].
    pub(super) fn remove(&mut self, id: QueryId) -> Option<Query> {
        self.queries.remove(&id)
    }

    pub(super) fn iter_mut(&mut self) -> impl Iterator<Item = (QueryId, &mut Query)> {
        self.queries.iter_mut().map(|(&id, query)| (id, query))
    }

    pub(super) fn len(&self) -> usize {
        self.queries.len()
    }

    /// Returns the number of parts of all open queries.
    pub(super) fn part_count(&self) -> usize {
        self.parts.len()
    }

    /// Adds a part to its query. Returns `None` if the query is not open.
    pub(super) fn add_part(&mut self, part: Part) -> Option<PartId> {
        let query = self.queries.get_mut(&part.query)?;
        let id = PartId(self.next_part);
        self.next_part += 1;
        query.parts.push(id);
        self.parts.insert(id, part);
        Some(id)
    }

    pub(super) fn part(&self, id: PartId) -> Option<&Part> {
        self.parts.get(&id)
    }

    pub(super) fn part_mut(&mut self, id: PartId) -> Option<&mut Part> {
        self.parts.get_mut(&id)
    }

    pub(super) fn remove_part(&mut self, id: PartId) -> Option<Part> {
        self.parts.remove(&id)
    }

    /// Returns the parts of a query's current phase that have a value, with their values.
    pub(super) fn answered_parts<'a>(
        &'a self,
        query: &'a Query,
    ) -> impl Iterator<Item = (&'a Part, &'a Value)> + 'a {
        let parts = query.parts.iter().filter_map(|id| self.parts.get(id));
        parts.filter_map(|part| part.value.as_ref().map(|value| (part, value)))
    }
}
