//! Deadlines of a query and the time of its next review.

use super::query::Query;
use super::Policy;
use crate::api::{Nanos, QueryId};

/// A late answer is worth waiting for only if it earns more than this share of its value: less does not pay
/// for the servers' work.
const MIN_LATE_VALUE_RATIO: f64 = 0.2;
/// An answer sent this many ticks before the end of the latency objective still reaches the client in time.
const ANSWER_LEAD_TICKS: u64 = 2;
/// Reviews during one hedge delay.
const REVIEWS_PER_HEDGE_DELAY: u64 = 16;

impl Policy {
    /// Returns when the latency objective of a query ends.
    pub(super) fn objective_ends_at(&self, query: &Query) -> Nanos {
        query.submitted_at.saturating_add(self.settings.classes[query.class.0].latency_objective)
    }

    /// Returns the time until which an answer earns enough to wait for it.
    pub(super) fn useful_until(&self, query: &Query) -> Nanos {
        if self.settings.classes[query.class.0].late_value_ratio > MIN_LATE_VALUE_RATIO {
            query.deadline
        } else {
            query.deadline.min(self.objective_ends_at(query))
        }
    }

    /// Returns when to give up a query: at least one tick before its deadline, so that the client still
    /// receives the reply.
    pub(super) fn give_up_at(&self, query: &Query) -> Nanos {
        self.useful_until(query).min(query.deadline.saturating_sub(self.settings.tick))
    }

    /// Returns the latest time to send an answer that arrives within the latency objective.
    pub(super) fn timely_answer_by(&self, query: &Query) -> Nanos {
        self.objective_ends_at(query).saturating_sub(ANSWER_LEAD_TICKS * self.settings.tick)
    }

    /// Schedules the next review of a query. Reviews are aligned to ticks where possible, so that one round
    /// covers many queries.
    pub(super) fn schedule_review(&mut self, id: QueryId) {
        let Some(query) = self.queries.get(&id) else { return };
        let tick = self.settings.tick;
        let interval = (self.hedge_delay(query.class) / REVIEWS_PER_HEDGE_DELAY).max(tick);
        let next_tick = (self.now + interval).div_ceil(tick) * tick;
        let answer_by = self.timely_answer_by(query);
        let answer_by = if answer_by > self.now { answer_by } else { Nanos::MAX };
        let at = next_tick.min(self.give_up_at(query)).min(answer_by);
        self.timers.schedule(at.max(self.now + 1), id);
    }
}
