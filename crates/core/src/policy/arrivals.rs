//! Handles arriving queries and parts, and the shutdown of the process.

use super::part::Part;
use super::query::{Query, QueryState};
use super::Policy;
use crate::api::{ClassId, Nanos, PartId, QueryId, ShardId, TenantId};

/// The usual client timeout of a class is estimated by this quantile of its latest samples.
const CLIENT_TIMEOUT_QUANTILE: f64 = 0.75;
/// Samples of client timeouts kept for each class.
pub(super) const CLIENT_TIMEOUT_SAMPLES: usize = 32;
/// A timeout counts as shortened if it is below the estimate by more than the estimate divided by this.
const CLIENT_TIMEOUT_TOLERANCE_DIVISOR: u64 = 50;
/// A tenant is over its quota if its share of the traffic exceeds its share of all quotas by this factor.
const OVER_QUOTA_FACTOR: f64 = 1.25;

impl Policy {
    pub(super) fn handle_query_arrived(
        &mut self,
        id: QueryId,
        class: ClassId,
        tenant: Option<TenantId>,
        is_retry: bool,
        deadline: Nanos,
    ) {
        if class.0 >= self.settings.classes.len() || self.queries.contains_key(&id) {
            return;
        }
        self.counts.arrivals.add(self.now);
        let priority_weight = self.priority_weight(class, tenant);
        let submitted_at = self.first_submitted_at(class, is_retry, deadline);
        let throttle_draw = self.rng.f64();
        let query = Query::new(class, priority_weight, submitted_at, deadline);
        self.queries.insert(id, Query { throttle_draw, canary: is_retry, ..query });
        self.review_queue.queued.insert(id);
        self.review_queue.pending.insert(id);
    }

    /// Returns the value of a timely answer, reduced if the tenant is over its quota.
    fn priority_weight(&mut self, class: ClassId, tenant: Option<TenantId>) -> f64 {
        let priority_weight = self.settings.classes[class.0].priority_weight;
        let Some(tenant) = tenant.filter(|tenant| tenant.0 < self.tenant_arrivals.len()) else {
            return priority_weight;
        };
        self.tenant_arrivals[tenant.0].add(self.now);
        if self.is_over_quota(tenant) {
            priority_weight * self.settings.over_quota_value_ratio
        } else {
            priority_weight
        }
    }

    /// Whether a tenant's share of this coordinator's traffic exceeds its share of all quotas.
    fn is_over_quota(&mut self, tenant: TenantId) -> bool {
        let now = self.now;
        let arrivals: usize = self.tenant_arrivals.iter_mut().map(|tenant| tenant.count(now)).sum();
        let quotas: f64 = self.settings.tenants.iter().map(|tenant| tenant.quota).sum();
        let own_arrivals = self.tenant_arrivals[tenant.0].count(now) as f64;
        let own_quota = self.settings.tenants[tenant.0].quota;
        own_arrivals * quotas > OVER_QUOTA_FACTOR * own_quota * arrivals as f64
    }

    /// Estimates when the client first submitted the query. A timeout shorter than usual indicates a retry,
    /// and how much of the client's time has passed, unless the shutdown of the process shortens deadlines.
    fn first_submitted_at(&mut self, class: ClassId, is_retry: bool, deadline: Nanos) -> Nanos {
        if deadline >= self.shutdown_deadline {
            return self.now;
        }
        let timeouts = &mut self.client_timeouts[class.0];
        let timeout = deadline.saturating_sub(self.now);
        let client_timeout_estimate =
            timeouts.quantile(self.now, CLIENT_TIMEOUT_QUANTILE, CLIENT_TIMEOUT_SAMPLES / 4).unwrap_or(0);
        timeouts.add(self.now, timeout);
        let tolerance = client_timeout_estimate / CLIENT_TIMEOUT_TOLERANCE_DIVISOR;
        let is_shortened = timeout < client_timeout_estimate - tolerance;
        if !is_shortened || self.settings.clients_mark_retries && !is_retry {
            return self.now;
        }
        let elapsed = self.settings.classes[class.0].deadline.saturating_sub(timeout);
        self.now.saturating_sub(elapsed)
    }

    pub(super) fn handle_part_arrived(&mut self, id: PartId, query_id: QueryId, shard: ShardId, weight: f64) {
        let Some(query) = self.queries.get(&query_id) else { return };
        if self.parts.contains_key(&id) {
            return;
        }
        self.counts.arrivals.add(self.now);
        if query.state == QueryState::BetweenPhases {
            self.begin_second_phase(query_id);
        }
        self.queries.entry(query_id).and_modify(|query| query.parts.push(id));
        self.parts.insert(id, Part::new(query_id, shard, weight));
        self.load.open_parts += 1;
        self.review_queue.pending.insert(query_id);
    }

    fn begin_second_phase(&mut self, id: QueryId) {
        let Some(query) = self.queries.get_mut(&id) else { return };
        let first_phase_parts = std::mem::take(&mut query.parts);
        query.begin_second_phase();
        for part in first_phase_parts {
            self.forget_part(part);
        }
    }

    /// Moves the deadlines of all open queries to `deadline` at the latest.
    pub(super) fn handle_shutting_down(&mut self, deadline: Nanos) {
        self.shutdown_deadline = deadline;
        self.queries.values_mut().for_each(|query| query.deadline = query.deadline.min(deadline));
        self.review_queue.pending.extend(self.queries.keys());
    }
}
