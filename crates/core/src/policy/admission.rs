//! Admission control: selects the queued queries to start and those to shed.

use std::cmp::Ordering;

use super::attempt::AttemptKind;
use super::calls::BatchPlan;
use super::coverage::COVERAGE_TOLERANCE;
use super::query::{Query, QueryState};
use super::replica_selection::{Candidates, HealthTier};
use super::Policy;
use crate::api::{Nanos, PartId, QueryId, ServerId};

/// Parts whose value is lower than a query's by more than this factor do not count against its admission.
const OUTRANK_FACTOR: f64 = 1.5;
/// Queued queries are shed while more than this share of `max_open` is open.
const SHED_OPEN_RATIO: f64 = 0.9;
/// Queries are throttled once the number that ended exceeds this multiple of the number answered in time.
const THROTTLE_TIMELY_MULTIPLE: f64 = 1.25;
/// Largest share of queries to throttle: a coordinator must not reject all of its queries.
const MAX_THROTTLE_RATIO: f64 = 0.75;

/// A queued query with the keys of its admission order.
#[derive(Debug, Clone, Copy)]
struct QueuedQuery {
    value_per_part: f64,
    submitted_at: Nanos,
    id: QueryId,
}

impl QueuedQuery {
    /// Orders by greatest value per part, then by longest wait.
    fn admission_order(&self, other: &Self) -> Ordering {
        other
            .value_per_part
            .total_cmp(&self.value_per_part)
            .then(self.submitted_at.cmp(&other.submitted_at))
            .then(self.id.cmp(&other.id))
    }
}

/// The parts that a running query has in flight, and their value.
#[derive(Debug, Clone, Copy)]
struct RunningLoad {
    value_per_part: f64,
    parts_in_flight: usize,
}

/// The replica selected for the first attempt at a part.
#[derive(Debug, Clone, Copy)]
struct PlannedAttempt {
    part: PartId,
    server: ServerId,
}

impl Query {
    fn value_per_part(&self) -> f64 {
        self.priority_weight / self.parts.len().max(1) as f64
    }
}

impl Policy {
    /// Sheds queued queries and admits others up to the in-flight limit.
    pub(super) fn admit(&mut self) {
        if self.review_queue.queued.is_empty() {
            return;
        }
        let order = self.admission_order();
        self.shed(&order);
        if !self.endpoints.list_is_usable {
            return;
        }
        let running = self.running_loads();
        for queued in order {
            let outranked =
                |load: &&RunningLoad| load.value_per_part < queued.value_per_part / OUTRANK_FACTOR;
            let parts: usize = running.iter().filter(outranked).map(|load| load.parts_in_flight).sum();
            let limit = self.load.in_flight_limit + parts as f64;
            let is_queued = self.review_queue.queued.contains(&queued.id);
            if is_queued && (self.load.attempts_in_flight as f64) < limit {
                self.admit_query(queued.id);
            }
        }
    }

    /// Returns the queued queries in admission order.
    fn admission_order(&self) -> Vec<QueuedQuery> {
        let queued = |&id: &QueryId| {
            let query = &self.queries[&id];
            QueuedQuery { value_per_part: query.value_per_part(), submitted_at: query.submitted_at, id }
        };
        let mut order: Vec<QueuedQuery> = self.review_queue.queued.iter().map(queued).collect();
        order.sort_by(QueuedQuery::admission_order);
        order
    }

    /// Ends queued queries that exceed `max_open`, are too late or are throttled, in reverse admission order.
    fn shed(&mut self, order: &[QueuedQuery]) {
        let throttle_ratio = self.throttle_ratio();
        let max_open = (self.settings.max_open as f64 * SHED_OPEN_RATIO) as usize;
        let mut open = self.queries.len() + self.load.open_parts;
        for queued in order.iter().rev() {
            let query = &self.queries[&queued.id];
            let is_throttled = self.exceeds_in_flight_limit(query) && query.throttle_draw < throttle_ratio;
            if open > max_open || self.is_too_late(query) || is_throttled {
                open = open.saturating_sub(1 + query.parts.len());
                self.give_up(queued.id);
            }
        }
    }

    /// Returns the share to shed of queries larger than the in-flight limit, from the number of queries that
    /// ended without a timely answer. 0 unless traffic is low: otherwise the endpoint limits pace the
    /// attempts.
    fn throttle_ratio(&mut self) -> f64 {
        if !self.is_low_traffic() {
            return 0.0;
        }
        let ended = self.counts.ended_queries.count(self.now) as f64;
        let timely = self.counts.timely_queries.count(self.now) as f64;
        ((ended - THROTTLE_TIMELY_MULTIPLE * timely) / (ended + 1.0)).min(MAX_THROTTLE_RATIO)
    }

    /// Whether a query has more parts than the in-flight limit, which therefore does not pace it.
    fn exceeds_in_flight_limit(&self, query: &Query) -> bool {
        query.completed_parts == 0 && query.parts.len() as f64 > self.load.in_flight_limit
    }

    /// Whether too little of the latency objective remains for most parts to complete.
    fn is_too_late(&self, query: &Query) -> bool {
        let objective = self.settings.classes[query.class.0].latency_objective;
        self.objective_ends_at(query) < self.now + self.hedge_delay(query.class).min(objective / 2)
    }

    /// Returns the parts in flight of each running query.
    fn running_loads(&self) -> Vec<RunningLoad> {
        let running = self.queries.values().filter(|query| query.is_running());
        let load = |query: &Query| RunningLoad {
            value_per_part: query.value_per_part(),
            parts_in_flight: query.parts.iter().filter(|part| self.parts[part].is_in_flight()).count(),
        };
        running.map(load).collect()
    }

    /// Starts a query if enough of its parts can be sent.
    fn admit_query(&mut self, id: QueryId) {
        let Some(plan) = self.plan_first_attempts(&self.queries[&id]) else { return };
        for planned in plan {
            self.start_attempt(planned.part, planned.server, AttemptKind::First);
        }
        self.queries.entry(id).and_modify(|query| query.state = QueryState::Running);
        self.review_queue.queued.remove(&id);
        self.schedule_review(id);
    }

    /// Selects replicas for as many parts as a complete answer requires; the other parts are spares. Returns
    /// `None` if too few can be sent even for a partial answer.
    fn plan_first_attempts(&self, query: &Query) -> Option<Vec<PlannedAttempt>> {
        let required = if query.awaits_canary() { COVERAGE_TOLERANCE } else { self.required_coverage(query) };
        let min_coverage = required.min(self.settings.classes[query.class.0].min_coverage);
        let unsent = self.unsent_parts(query);
        let mut batches = self.batch_candidates(&unsent);
        let mut covered = self.completed_coverage(query);
        let mut plan = Vec::new();
        for id in unsent {
            if covered >= required {
                break;
            }
            let part = &self.parts[&id];
            if self.calls_are_shared() {
                self.replicas_of(id).for_each(|server| batches.remove_candidate(server));
            }
            let replica = self.select_replica(part, Candidates::Untried, &batches, HealthTier::Ejected);
            if let Some(server) = replica {
                batches.add_planned(server);
                plan.push(PlannedAttempt { part: id, server });
                covered += part.weight;
            }
        }
        let suffices = covered >= min_coverage && !query.parts.is_empty();
        suffices.then_some(plan)
    }

    /// Returns a plan with no planned parts, in which each part is a candidate at each of its replicas.
    fn batch_candidates(&self, unsent: &[PartId]) -> BatchPlan {
        let mut batches = BatchPlan::default();
        if self.calls_are_shared() {
            let replicas = unsent.iter().flat_map(|&part| self.replicas_of(part));
            replicas.for_each(|server| batches.add_candidate(server));
        }
        batches
    }

    /// Whether sending several parts in one call saves work.
    fn calls_are_shared(&self) -> bool {
        self.settings.layout.max_batch > 1 && self.settings.layout.call_overhead > 0
    }

    fn replicas_of(&self, part: PartId) -> impl Iterator<Item = ServerId> + '_ {
        self.endpoints.replicas(self.parts[&part].shard, self.settings.layout)
    }
}
