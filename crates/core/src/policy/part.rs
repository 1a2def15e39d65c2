//! The record of a part and its attempts.

use super::attempt::{Attempt, AttemptKind, AttemptState};
use crate::api::{Nanos, Outcome, QueryId, ServerId, ShardId};

#[derive(Debug, Clone)]
pub(super) struct Part {
    pub(super) query: QueryId,
    pub(super) shard: ShardId,
    /// Its share of the weight of its phase.
    pub(super) weight: f64,
    pub(super) complete: bool,
    pub(super) attempts: Vec<Attempt>,
    /// Attempts whose connection was reset.
    pub(super) connection_losses: u32,
}

impl Part {
    /// Creates a part without attempts. A weight that is not finite and positive counts as 0.
    pub(super) fn new(query: QueryId, shard: ShardId, weight: f64) -> Self {
        let weight = if weight.is_finite() { weight.max(0.0) } else { 0.0 };
        Self { query, shard, weight, complete: false, attempts: Vec::new(), connection_losses: 0 }
    }

    /// Returns the attempts in flight with their numbers.
    pub(super) fn in_flight(&self) -> impl Iterator<Item = (u32, &Attempt)> {
        let numbered = (0..).zip(&self.attempts);
        numbered.filter(|(_, attempt)| attempt.state == AttemptState::InFlight)
    }

    pub(super) fn is_in_flight(&self) -> bool {
        self.in_flight().next().is_some()
    }

    pub(super) fn is_unsent(&self) -> bool {
        self.attempts.is_empty()
    }

    pub(super) fn is_hedged(&self) -> bool {
        self.attempts.iter().any(|attempt| attempt.kind == AttemptKind::Hedge)
    }

    pub(super) fn has_tried(&self, server: ServerId) -> bool {
        self.attempts.iter().any(|attempt| attempt.server == server)
    }

    /// Whether no attempt so far can have run.
    pub(super) fn never_ran(&self) -> bool {
        self.attempts.iter().all(|attempt| attempt.state == AttemptState::Ended { never_ran: true })
    }

    /// Returns when the first attempt that may have run was sent.
    pub(super) fn first_possible_run(&self) -> Option<Nanos> {
        let may_have_run = |a: &&Attempt| a.state != AttemptState::Ended { never_ran: true };
        self.attempts.iter().find(may_have_run).map(|attempt| attempt.sent_at)
    }

    /// Returns when the first attempt was sent; `now` if there is none.
    pub(super) fn first_sent_at(&self, now: Nanos) -> Nanos {
        self.attempts.first().map_or(now, |attempt| attempt.sent_at)
    }

    /// Marks the attempts in flight as cancelled; returns their numbers.
    pub(super) fn cancel_in_flight(&mut self) -> Vec<u32> {
        let in_flight: Vec<u32> = self.in_flight().map(|(number, _)| number).collect();
        for &number in &in_flight {
            self.attempts[number as usize].state = AttemptState::Cancelled;
        }
        in_flight
    }

    /// Marks an attempt as ended; returns its previous state, or `None` if the attempt does not exist.
    pub(super) fn end_attempt(&mut self, number: u32, outcome: Outcome) -> Option<AttemptState> {
        let attempt = self.attempts.get_mut(number as usize)?;
        let ended = AttemptState::Ended { never_ran: outcome.never_ran() };
        let before = std::mem::replace(&mut attempt.state, ended);
        self.connection_losses += u32::from(outcome == Outcome::ConnectionReset);
        Some(before)
    }
}
