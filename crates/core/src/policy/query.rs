//! The record of a query.

use std::collections::BTreeMap;

use super::part::Part;
use crate::api::{ClassId, Nanos, PartId};

/// How far a query has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum QueryState {
    /// It waits for admission.
    Queued,
    Running,
    /// Its first phase is answered, and the parts of the second have not arrived.
    BetweenPhases,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum QueryPhase {
    First,
    Second,
}

#[derive(Debug, Clone)]
pub(super) struct Query {
    pub(super) class: ClassId,
    /// Value of a complete and timely answer.
    pub(super) priority_weight: f64,
    /// When the client first submitted it, as far as that is known.
    pub(super) submitted_at: Nanos,
    /// When the client gives up.
    pub(super) deadline: Nanos,
    pub(super) state: QueryState,
    pub(super) phase: QueryPhase,
    pub(super) first_phase_complete: bool,
    /// The parts of its phase.
    pub(super) parts: Vec<PartId>,
    /// Hedges that completed parts have permitted and that are not used yet.
    pub(super) hedge_permits: u32,
    /// The most connections that one part has lost.
    pub(super) connection_losses: u32,
    pub(super) completed_parts: u32,
    /// One part is sent ahead, the rest once it is complete.
    pub(super) canary: bool,
    /// Random draw in 0..1; a throttled query below the throttle ratio is shed.
    pub(super) throttle_draw: f64,
}

impl Query {
    pub(super) fn new(class: ClassId, priority_weight: f64, submitted_at: Nanos, deadline: Nanos) -> Self {
        Self {
            class,
            priority_weight,
            submitted_at,
            deadline,
            state: QueryState::Queued,
            phase: QueryPhase::First,
            first_phase_complete: false,
            parts: Vec::new(),
            hedge_permits: 0,
            connection_losses: 0,
            completed_parts: 0,
            canary: false,
            throttle_draw: 1.0,
        }
    }

    pub(super) fn is_running(&self) -> bool {
        self.state == QueryState::Running
    }

    /// Whether it waits for its canary part.
    pub(super) fn awaits_canary(&self) -> bool {
        self.canary && self.completed_parts == 0
    }

    pub(super) fn begin_second_phase(&mut self) {
        self.state = QueryState::Running;
        self.phase = QueryPhase::Second;
        self.hedge_permits = 0;
    }

    /// Its incomplete parts with exactly one attempt in flight, the longest in flight first.
    pub(super) fn lone_attempts(&self, parts: &BTreeMap<PartId, Part>) -> Vec<LoneAttempt> {
        let mut lone: Vec<LoneAttempt> = Vec::new();
        for &id in &self.parts {
            let part = &parts[&id];
            let mut in_flight = part.in_flight();
            if let (Some((_, attempt)), None, false) = (in_flight.next(), in_flight.next(), part.complete) {
                lone.push(LoneAttempt { sent_at: attempt.sent_at, part: id });
            }
        }
        lone.sort_unstable();
        lone
    }
}

/// The only attempt in flight of a part. Ordered by the time of its send, then by part.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct LoneAttempt {
    pub(super) sent_at: Nanos,
    pub(super) part: PartId,
}
