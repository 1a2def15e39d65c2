//! Retries: further attempts at failed or overdue parts, and the retry budget.

use super::attempt::{AttemptKind, OVERDUE_OBJECTIVE_RATIO};
use super::calls::BatchPlan;
use super::part::Part;
use super::query::Query;
use super::replica_selection::{Candidates, HealthTier};
use super::Policy;
use crate::api::{ClassId, Nanos, PartId, QueryId, ServerId};

/// Default retry budget: this many attempts...
const DEFAULT_BASE_ATTEMPTS: f64 = 3.0;
/// ...and this share of the queries and parts that arrived.
const DEFAULT_BUDGET_RATIO: f64 = 0.2;
/// Share of the budget available to queries that can already be answered partially.
const ANSWERABLE_BUDGET_SHARE: f64 = 0.5;
/// A query is treated as the cause of lost connections once one of its parts has lost this many and none of
/// its parts has completed.
const POISON_CONNECTION_LOSSES: u32 = 2;

impl Policy {
    /// Whether the rules of its class allow another attempt at a part.
    pub(super) fn may_retry(&self, part: &Part, class: ClassId) -> bool {
        let class = &self.settings.classes[class.0];
        self.now < class.retry_deadline(part.first_possible_run())
            && part.attempts.len() < class.max_attempts as usize
    }

    /// Whether another attempt is not charged to the budget: it repeats no work because no attempt so far can
    /// have run. A budget from the settings is charged for it too.
    pub(super) fn is_free_retry(&self, part: &Part) -> bool {
        self.settings.retry_budget.is_none() && part.never_ran()
    }

    /// Whether a query is the presumed cause of lost connections; no further attempts are sent for it.
    pub(super) fn is_poison_query(&self, id: QueryId) -> bool {
        let is_poison =
            |query: &Query| query.completed_parts == 0 && query.connection_losses >= POISON_CONNECTION_LOSSES;
        self.queries.get(&id).is_some_and(is_poison)
    }

    /// Whether the retry budget allows another attempt. Part of the budget is reserved for queries that
    /// cannot be answered yet.
    fn retry_budget_left(&mut self, id: QueryId) -> bool {
        let query = &self.queries[&id];
        let min_coverage = self.settings.classes[query.class.0].min_coverage;
        let is_answerable =
            min_coverage < self.required_coverage(query) && self.completed_coverage(query) >= min_coverage;
        let (base_attempts, ratio) = self
            .settings
            .retry_budget
            .map_or((DEFAULT_BASE_ATTEMPTS, DEFAULT_BUDGET_RATIO), |b| (b.base_attempts, b.ratio));
        let share = if is_answerable { ANSWERABLE_BUDGET_SHARE } else { 1.0 };
        let used = self.counts.charged_attempts.count(self.now) + 1;
        let arrivals = self.counts.arrivals.count(self.now) as f64;
        used as f64 <= (base_attempts + ratio * arrivals) * share
    }

    /// Sends spare parts to replace late or failed ones, then retries failed parts while coverage is missing.
    pub(super) fn send_missing_parts(&mut self, id: QueryId) {
        if self.is_poison_query(id) {
            return;
        }
        let mut attempted_coverage = self.send_spares(id);
        let query = &self.queries[&id];
        let (class, required) = (query.class, self.required_coverage(query));
        for part_id in query.parts.clone() {
            let part = &self.parts[&part_id];
            let has_failed = !part.complete && !part.is_in_flight() && !part.is_unsent();
            if has_failed
                && attempted_coverage < required
                && self.may_retry(part, class)
                && self.send_to_best_replica(part_id, AttemptKind::Retry, HealthTier::Ejected)
            {
                attempted_coverage += self.parts[&part_id].weight;
            }
        }
    }

    /// Sends unsent parts while the parts that are complete or on time do not cover a complete answer.
    /// Returns the resulting coverage of parts that are complete or in flight.
    fn send_spares(&mut self, id: QueryId) -> f64 {
        let query = &self.queries[&id];
        let awaits_canary_or_admission =
            query.awaits_canary() || query.canary && self.review_queue.queued.contains(&id);
        let required = self.required_coverage(query);
        let late_before = self.now.saturating_sub(self.spare_delay(query.class));
        let is_on_time = |part: &Part| part.in_flight().any(|(_, attempt)| attempt.sent_at > late_before);
        let mut on_time_coverage = self.coverage(query, |part| part.complete || is_on_time(part));
        let mut attempted_coverage = self.coverage(query, |part| part.complete || part.is_in_flight());
        for part in self.unsent_parts(query) {
            if on_time_coverage < required
                && !awaits_canary_or_admission
                && self.send_to_best_replica(part, AttemptKind::First, HealthTier::Ejected)
            {
                on_time_coverage += self.parts[&part].weight;
                attempted_coverage += self.parts[&part].weight;
            }
        }
        attempted_coverage
    }

    /// Returns how long a part is in flight before a spare replaces it.
    fn spare_delay(&self, class: ClassId) -> Nanos {
        if self.load.is_overloaded() {
            self.overdue_after(class)
        } else {
            self.hedge_delay(class)
        }
    }

    pub(super) fn unsent_parts(&self, query: &Query) -> Vec<PartId> {
        query.parts.iter().copied().filter(|id| self.parts[id].is_unsent()).collect()
    }

    /// Returns how long a part is in flight before it is overdue.
    fn overdue_after(&self, class: ClassId) -> Nanos {
        let objective = self.settings.classes[class.0].latency_objective as f64;
        ((objective * OVERDUE_OBJECTIVE_RATIO) as Nanos).max(self.hedge_delay(class))
    }

    /// Hedges overdue parts without a permit, or cancels and retries them at another replica, so that an
    /// unresponsive server does not use up the latency objective.
    pub(super) fn retry_overdue(&mut self, id: QueryId) {
        if self.load.is_overloaded() || self.is_poison_query(id) {
            return;
        }
        let query = &self.queries[&id];
        let (class, overdue_after) = (query.class, self.overdue_after(query.class));
        let may_replace = self.settings.may_cancel || self.settings.may_hedge;
        for lone in query.lone_attempts(&self.parts) {
            let is_overdue = self.now >= lone.sent_at.saturating_add(overdue_after);
            if !is_overdue || self.parts[&lone.part].is_hedged() || self.hedge(lone.part) {
                continue;
            }
            if may_replace && self.may_retry(&self.parts[&lone.part], class) {
                self.send_to_best_replica(lone.part, AttemptKind::Retry, HealthTier::Healthy);
            }
        }
    }

    /// Sends a part to the best replica that is not worse than `worst_tier`, if the budget allows it; returns
    /// whether it did.
    pub(super) fn send_to_best_replica(
        &mut self,
        id: PartId,
        kind: AttemptKind,
        worst_tier: HealthTier,
    ) -> bool {
        let is_charged = kind != AttemptKind::First && !self.is_free_retry(&self.parts[&id]);
        if is_charged && !self.retry_budget_left(self.parts[&id].query) {
            return false;
        }
        let Some(server) = self.replica_for(id, kind, worst_tier) else { return false };
        if kind == AttemptKind::Hedge && self.hedge_needs_connection(server) {
            return false;
        }
        if kind == AttemptKind::Retry {
            self.cancel_in_flight(id);
        }
        self.start_attempt(id, server, kind);
        true
    }

    /// Returns the best untried replica; for a retry of a part not in flight, falls back to a tried one.
    fn replica_for(&self, id: PartId, kind: AttemptKind, worst_tier: HealthTier) -> Option<ServerId> {
        let (part, plan) = (&self.parts[&id], BatchPlan::default());
        let untried = self.select_replica(part, Candidates::Untried, &plan, worst_tier);
        if untried.is_some() || kind == AttemptKind::First || part.is_in_flight() {
            return untried;
        }
        self.select_replica(part, Candidates::All, &plan, worst_tier)
    }
}
