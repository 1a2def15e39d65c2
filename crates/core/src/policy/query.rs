//! The record of a query.

use std::collections::BTreeMap;

use super::part::Part;
use crate::api::{ClassId, Nanos, PartId};

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum QueryState {
    /// Waiting for admission.
    Queued,
    Running,
    /// The first phase is answered, and no part of the second has arrived.
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
    /// When the client first submitted it; estimated.
    pub(super) submitted_at: Nanos,
    /// When the client stops waiting, or the process ends if that is earlier.
    pub(super) deadline: Nanos,
    pub(super) state: QueryState,
    pub(super) phase: QueryPhase,
    pub(super) first_phase_complete: bool,
    /// The parts of its current phase.
    pub(super) parts: Vec<PartId>,
    /// Unused hedge permits, granted by completed parts.
    pub(super) hedge_permits: u32,
    /// Maximum number of connections lost by any one part.
    pub(super) connection_losses: u32,
    pub(super) completed_parts: u32,
    /// Whether one part is sent first and the others only after it has completed.
    pub(super) canary: bool,
    /// Random number in 0..1; a query larger than the in-flight limit is shed if this is below the throttle
    /// ratio.
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

    /// Whether its canary part has yet to complete.
    pub(super) fn awaits_canary(&self) -> bool {
        self.canary && self.completed_parts == 0
    }

    pub(super) fn begin_second_phase(&mut self) {
        self.state = QueryState::Running;
        self.phase = QueryPhase::Second;
        self.hedge_permits = 0;
    }

    /// Returns its incomplete parts with exactly one attempt in flight, the longest in flight first.
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

/// The only attempt in flight of a part. Ordered by send time, then by part.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct LoneAttempt {
    pub(super) sent_at: Nanos,
    pub(super) part: PartId,
}
