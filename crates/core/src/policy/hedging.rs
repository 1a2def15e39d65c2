//! Hedging: sends a second attempt for a slow part while the first is in flight.
//!
//! Each completed part permits one hedge for a sibling that has been in flight longer than the hedge delay.
//! The first response wins, and the other attempt is cancelled.

use super::attempt::AttemptKind;
use super::replica_selection::HealthTier;
use super::Policy;
use crate::api::{ClassId, Nanos, PartId, QueryId, RetrySafety, ServerId};

/// Hedge delay until there are enough latency samples, as a share of the class's latency objective.
const INITIAL_HEDGE_DELAY_OBJECTIVE_RATIO: f64 = 1.0 / 3.0;
/// Maximum ratio of hedges to first attempts.
const HEDGE_BUDGET_RATIO: f64 = 0.1;

impl Policy {
    /// Returns how long a part is in flight before it may be hedged.
    pub(super) fn hedge_delay(&self, class: ClassId) -> Nanos {
        let objective = self.settings.classes[class.0].latency_objective as f64;
        self.latency.tail.unwrap_or((objective * INITIAL_HEDGE_DELAY_OBJECTIVE_RATIO) as Nanos)
    }

    /// Spends a query's hedge permits on parts in flight for longer than the hedge delay, the longest first.
    pub(super) fn hedge_siblings(&mut self, id: QueryId) {
        let Some(query) = self.queries.get(&id) else { return };
        let (class, mut permits) = (query.class, query.hedge_permits);
        for lone in query.lone_attempts(&self.parts) {
            let is_due = self.now >= lone.sent_at.saturating_add(self.hedge_delay(class));
            if permits > 0 && is_due && self.hedge(lone.part) {
                permits -= 1;
            }
        }
        self.queries.entry(id).and_modify(|query| query.hedge_permits = permits);
    }

    /// Hedges a part if its class, the budgets and the health of the servers allow it; returns whether it
    /// did.
    pub(super) fn hedge(&mut self, id: PartId) -> bool {
        self.may_hedge(id)
            && self.hedge_budget_left()
            && self.send_to_best_replica(id, AttemptKind::Hedge, HealthTier::Healthy)
    }

    fn may_hedge(&self, id: PartId) -> bool {
        let part = &self.parts[&id];
        let class = &self.settings.classes[self.queries[&part.query].class.0];
        self.settings.may_hedge
            && class.retry_safety == RetrySafety::Idempotent
            && !part.is_hedged()
            && part.attempts.len() < class.max_attempts as usize
            && !self.load.is_overloaded()
            && !self.is_poison_query(part.query)
    }

    fn hedge_budget_left(&mut self) -> bool {
        let max_hedges = HEDGE_BUDGET_RATIO * self.counts.first_attempts.count(self.now) as f64;
        (self.counts.hedges.count(self.now) + 1) as f64 <= max_hedges
    }

    /// Whether a hedge at this server would need a new connection; the part may complete before that is
    /// established.
    pub(super) fn hedge_needs_connection(&self, server: ServerId) -> bool {
        self.settings.connection_idle_timeout.is_some()
            && !self.has_trusted_connection(&self.endpoints.servers[&server])
    }
}
