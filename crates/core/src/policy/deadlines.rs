//! The moments that matter to a query, and when it is reviewed next.

use super::query::Query;
use super::Policy;
use crate::api::{Nanos, QueryId};

/// Late answers are waited for only where they earn more than this share: less does not pay for the servers'
/// work.
const MIN_LATE_VALUE_RATIO: f64 = 0.2;
/// Ticks before the latency objective at which an answer still reaches the client within it.
const ANSWER_LEAD_TICKS: u64 = 2;
/// Reviews in one hedge delay.
const REVIEWS_PER_HEDGE_DELAY: u64 = 16;

impl Policy {
    /// When the latency objective of a query ends.
    pub(super) fn objective_ends_at(&self, query: &Query) -> Nanos {
        query.submitted_at.saturating_add(self.settings.classes[query.class.0].latency_objective)
    }

    /// Until when an answer earns enough to be waited for.
    pub(super) fn useful_until(&self, query: &Query) -> Nanos {
        if self.settings.classes[query.class.0].late_value_ratio > MIN_LATE_VALUE_RATIO {
            query.deadline
        } else {
            query.deadline.min(self.objective_ends_at(query))
        }
    }

    /// When a query is given up: a tick before its deadline at the latest, so that the client hears of it.
    pub(super) fn give_up_at(&self, query: &Query) -> Nanos {
        self.useful_until(query).min(query.deadline.saturating_sub(self.settings.tick))
    }

    /// The last moment for an answer within the latency objective.
    pub(super) fn timely_answer_by(&self, query: &Query) -> Nanos {
        self.objective_ends_at(query).saturating_sub(ANSWER_LEAD_TICKS * self.settings.tick)
    }

    /// Schedules the next review of a query, at a full tick if it can be: one round reviews all queries that
    /// are due.
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
