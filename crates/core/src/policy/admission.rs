//! Admission: which queued queries are sent, in which order, and which are shed.

use std::cmp::Ordering;

use super::attempt::AttemptKind;
use super::calls::BatchPlan;
use super::coverage::COVERAGE_TOLERANCE;
use super::query::{Query, QueryState};
use super::replica_selection::{Candidates, HealthTier};
use super::Policy;
use crate::api::{Nanos, PartId, QueryId, ServerId};

/// A query is not kept out by parts of others whose value is this many times less.
const OUTRANK_FACTOR: f64 = 1.5;
/// Queued queries are shed while more than this share of `max_open` is open.
const SHED_OPEN_RATIO: f64 = 0.9;
/// Throttled queries are admitted up to this many times the number of timely ones.
const THROTTLE_TIMELY_MULTIPLE: f64 = 1.25;
/// The largest share of queries that are throttled, so that no coordinator rejects all it gets.
const MAX_THROTTLE_RATIO: f64 = 0.75;

/// A queued query and what its place in the order of admission depends on.
#[derive(Debug, Clone, Copy)]
struct QueuedQuery {
    value_per_part: f64,
    submitted_at: Nanos,
    id: QueryId,
}

impl QueuedQuery {
    /// The greatest value per part comes first, then the longest wait.
    fn admission_order(&self, other: &Self) -> Ordering {
        other
            .value_per_part
            .total_cmp(&self.value_per_part)
            .then(self.submitted_at.cmp(&other.submitted_at))
            .then(self.id.cmp(&other.id))
    }
}

/// What a running query has in flight.
#[derive(Debug, Clone, Copy)]
struct RunningLoad {
    value_per_part: f64,
    parts_in_flight: usize,
}

/// Where the first attempt at a part goes.
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
    /// Sheds queued queries, and admits others while the in-flight limit allows it.
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

    /// The queued queries, the first to be admitted first.
    fn admission_order(&self) -> Vec<QueuedQuery> {
        let queued = |&id: &QueryId| {
            let query = &self.queries[&id];
            QueuedQuery { value_per_part: query.value_per_part(), submitted_at: query.submitted_at, id }
        };
        let mut order: Vec<QueuedQuery> = self.review_queue.queued.iter().map(queued).collect();
        order.sort_by(QueuedQuery::admission_order);
        order
    }

    /// Rejects queued queries that are beyond `max_open`, too late or throttled, the last in the order of
    /// admission first.
    fn shed(&mut self, order: &[QueuedQuery]) {
        let throttle_ratio = self.throttle_ratio();
        let max_open = (self.settings.max_open as f64 * SHED_OPEN_RATIO) as usize;
        let mut open = self.queries.len() + self.load.open_parts;
        for queued in order.iter().rev() {
            let query = &self.queries[&queued.id];
            let is_throttled = self.is_unpaced(query) && query.throttle_draw < throttle_ratio;
            if open > max_open || self.is_too_late(query) || is_throttled {
                open = open.saturating_sub(1 + query.parts.len());
                self.end_unserved(queued.id);
            }
        }
    }

    /// The share of unpaced queries to shed, by how many queries ended without a timely answer; 0 where
    /// traffic is not low, since the limits of endpoints pace then.
    fn throttle_ratio(&mut self) -> f64 {
        if !self.is_low_traffic() {
            return 0.0;
        }
        let ended = self.counts.ended_queries.count(self.now) as f64;
        let timely = self.counts.timely_queries.count(self.now) as f64;
        ((ended - THROTTLE_TIMELY_MULTIPLE * timely) / (ended + 1.0)).min(MAX_THROTTLE_RATIO)
    }

    /// Whether a query goes out at once whatever the in-flight limit, because it has more parts than that.
    fn is_unpaced(&self, query: &Query) -> bool {
        query.completed_parts == 0 && query.parts.len() as f64 > self.load.in_flight_limit
    }

    /// Whether too little of the latency objective is left for most parts.
    fn is_too_late(&self, query: &Query) -> bool {
        let objective = self.settings.classes[query.class.0].latency_objective;
        self.objective_ends_at(query) < self.now + self.hedge_delay(query.class).min(objective / 2)
    }

    /// What each running query has in flight.
    fn running_loads(&self) -> Vec<RunningLoad> {
        let running = self.queries.values().filter(|query| query.is_running());
        let load = |query: &Query| RunningLoad {
            value_per_part: query.value_per_part(),
            parts_in_flight: query.parts.iter().filter(|part| self.parts[part].is_in_flight()).count(),
        };
        running.map(load).collect()
    }

    /// Sends the first attempts of a query, if enough of its parts can be sent.
    fn admit_query(&mut self, id: QueryId) {
        let Some(plan) = self.plan_first_attempts(&self.queries[&id]) else { return };
        for planned in plan {
            self.start_attempt(planned.part, planned.server, AttemptKind::First);
        }
        self.queries.entry(id).and_modify(|query| query.state = QueryState::Running);
        self.review_queue.queued.remove(&id);
        self.schedule_review(id);
    }

    /// Where the parts go that a complete answer needs; the rest are spares. `None` where fewer can be sent
    /// than any answer needs.
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

    /// A plan in which nothing is planned yet, and each part could go to each of its replicas.
    fn batch_candidates(&self, unsent: &[PartId]) -> BatchPlan {
        let mut batches = BatchPlan::default();
        if self.calls_are_shared() {
            let replicas = unsent.iter().flat_map(|&part| self.replicas_of(part));
            replicas.for_each(|server| batches.add_candidate(server));
        }
        batches
    }

    /// Whether it pays to send parts of a query in one call.
    fn calls_are_shared(&self) -> bool {
        self.settings.layout.max_batch > 1 && self.settings.layout.call_overhead > 0
    }

    fn replicas_of(&self, part: PartId) -> impl Iterator<Item = ServerId> + '_ {
        self.endpoints.replicas(self.parts[&part].shard, self.settings.layout)
    }
}
