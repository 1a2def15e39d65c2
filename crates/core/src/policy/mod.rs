//! The routing policy of one coordinator: replica selection, hedging, retries and load shedding.
//!
//! [`Policy::round`] maps events to actions. A new query (`arrivals`) is queued for `admission`, which sends
//! its parts to the best replicas (`replica_selection`, `dispatch`). After each event and at intervals, a
//! review (`answer`) answers the query, ends it, or sends further attempts (`retry`, `hedging`).
//! `outcome_attribution` assigns each outcome to a cause: a server (`outlier_detection`), a zone
//! (`zone_health`), a connection (`connection_health`) or load (`concurrency_limit`). `slow_start` limits
//! what is sent to a server that has just started.
//!
//! The other modules define records and statistics.

mod admission;
mod answer;
mod arrivals;
mod attempt;
mod calls;
mod concurrency_limit;
mod connection_health;
mod coverage;
mod deadlines;
mod decay;
mod dispatch;
mod endpoints;
mod hedging;
mod latency_stats;
mod load_stats;
mod outcome_attribution;
mod outlier_detection;
mod part;
mod query;
mod replica_selection;
mod retry;
mod review_queue;
mod server;
mod sliding_window;
mod slow_start;
mod timers;
mod zone_health;

#[cfg(test)]
mod tests;

use std::collections::BTreeMap;

use crate::api::{Action, Event, Nanos, PartId, QueryId, Settings, SettingsError};
use arrivals::CLIENT_TIMEOUT_SAMPLES;
use calls::Calls;
use connection_health::ConnectionHealth;
use dispatch::AttemptEnd;
use endpoints::{Endpoints, FIRST_DISPATCH};
use latency_stats::LatencyStats;
use load_stats::{LoadStats, TrafficCounts};
use part::Part;
use query::Query;
use review_queue::ReviewQueue;
use sliding_window::{RecentSamples, SlidingCount};
use timers::Timers;
use zone_health::ZoneHealth;

/// The routing policy of one coordinator: replica selection, hedging, retries and load shedding.
#[derive(Debug)]
pub struct Policy {
    settings: Settings,
    rng: fastrand::Rng,
    now: Nanos,
    endpoints: Endpoints,
    queries: BTreeMap<QueryId, Query>,
    parts: BTreeMap<PartId, Part>,
    review_queue: ReviewQueue,
    timers: Timers,
    calls: Calls,
    /// Number of the last attempt sent; starts at [`FIRST_DISPATCH`].
    dispatches: u64,
    latency: LatencyStats,
    load: LoadStats,
    counts: TrafficCounts,
    connections: ConnectionHealth,
    zones: Vec<ZoneHealth>,
    /// Queries that arrived, by tenant.
    tenant_arrivals: Vec<SlidingCount>,
    /// Time from a query's arrival to its deadline, by class.
    client_timeouts: Vec<RecentSamples>,
    /// When the process ends; [`Nanos::MAX`] unless it is shutting down.
    shutdown_deadline: Nanos,
    /// Actions of the current round.
    actions: Vec<Action>,
}

impl Policy {
    /// Creates a policy with no servers and no queries. Equal settings, seeds and events give equal actions.
    ///
    /// # Errors
    /// Returns the first invalid setting.
    pub fn new(settings: Settings, seed: u64) -> Result<Self, SettingsError> {
        settings.check()?;
        let longest_objective = settings.longest_latency_objective();
        let traffic_window = load_stats::traffic_window(longest_objective);
        let budget_window = load_stats::budget_window(&settings);
        let in_flight_limit = concurrency_limit::initial_in_flight_limit(settings.max_open);
        Ok(Self {
            rng: fastrand::Rng::with_seed(seed),
            now: 0,
            endpoints: Endpoints::new(settings.layout.partition_groups),
            queries: BTreeMap::new(),
            parts: BTreeMap::new(),
            review_queue: ReviewQueue::default(),
            timers: Timers::default(),
            calls: Calls::default(),
            dispatches: FIRST_DISPATCH,
            latency: LatencyStats::new(longest_objective),
            load: LoadStats::new(in_flight_limit),
            counts: TrafficCounts::new(budget_window, traffic_window),
            connections: ConnectionHealth::default(),
            zones: vec![ZoneHealth::default(); settings.zones as usize],
            tenant_arrivals: vec![SlidingCount::new(traffic_window); settings.tenants.len()],
            client_timeouts: vec![client_timeout_samples(longest_objective); settings.classes.len()],
            shutdown_deadline: Nanos::MAX,
            actions: Vec::new(),
            settings,
        })
    }

    /// Processes the events up to `now` and returns the resulting actions in order.
    /// If `now` is earlier than in a previous round, the latest time seen is used instead.
    pub fn round(&mut self, now: Nanos, events: Vec<Event>) -> Vec<Action> {
        self.now = self.now.max(now);
        self.calls.begin_round();
        for event in events {
            self.handle_event(event);
        }
        self.refresh_latency_quantiles();
        self.review_pending();
        self.admit();
        self.probe_degraded_zones();
        self.arm_timer();
        std::mem::take(&mut self.actions)
    }

    fn review_pending(&mut self) {
        let due = self.timers.pop_due(self.now);
        self.review_queue.pending.extend(due);
        for query in std::mem::take(&mut self.review_queue.pending) {
            self.review(query);
        }
    }

    fn handle_event(&mut self, event: Event) {
        match event {
            Event::EndpointListExpired => self.endpoints.list_is_usable = false,
            Event::EndpointsUpdated { kind, records } => self.update_endpoints(kind, records),
            Event::QueryArrived { id, class, tenant, key: _, is_retry, deadline } => {
                self.handle_query_arrived(id, class, tenant, is_retry, deadline);
            }
            Event::PartArrived { id, query, shard, weight } => {
                self.handle_part_arrived(id, query, shard, weight);
            }
            Event::AttemptEnded { part, attempt, server, outcome, latency } => {
                self.handle_attempt_ended(AttemptEnd { part, attempt, server, outcome, latency });
            }
            Event::HealthChecked { server, outcome, latency: _ } => {
                self.handle_health_checked(server, outcome);
            }
            Event::ClientDisconnected(query) => self.forget_query(query),
            Event::ShuttingDown(deadline) => self.handle_shutting_down(deadline),
            Event::TimerFired => self.timers.handle_fired(),
        }
    }

    /// Replaces the settings; the current classes must keep their indices, see
    /// [`Settings::merged_with_previous`].
    pub fn update_settings(&mut self, settings: Settings) {
        let classes = settings.classes.len();
        let longest_objective = settings.longest_latency_objective();
        let traffic_window = load_stats::traffic_window(longest_objective);
        self.counts.set_windows(load_stats::budget_window(&settings), traffic_window);
        self.tenant_arrivals.iter_mut().for_each(|arrivals| arrivals.set_window(traffic_window));
        self.latency.set_longest_objective(longest_objective);
        let max_sample_age = latency_stats::max_sample_age(longest_objective);
        self.client_timeouts.iter_mut().for_each(|timeouts| timeouts.set_max_age(max_sample_age));
        self.client_timeouts.resize(classes, client_timeout_samples(longest_objective));
        for server in self.endpoints.servers.values_mut() {
            server.class_outlier_scores.resize_with(classes, Default::default);
        }
        self.settings = settings;
    }

    /// Returns the number of tracked servers: those in the endpoint list, and removed ones with attempts in
    /// flight.
    pub fn servers(&self) -> usize {
        self.endpoints.servers.len()
    }
}

fn client_timeout_samples(longest_objective: Nanos) -> RecentSamples {
    RecentSamples::new(CLIENT_TIMEOUT_SAMPLES, latency_stats::max_sample_age(longest_objective))
}
