//! Statistics of the coordinator's load and of the timeliness of its queries and attempts.

use super::attempt::AttemptKind;
use super::decay::FailureRatio;
use super::sliding_window::SlidingCount;
use super::Policy;
use crate::api::{Nanos, Settings};

/// The coordinator counts as overloaded above this ratio of late or failed outcomes.
const OVERLOAD_THRESHOLD: f64 = 0.3;
/// Weight of the latest outcome in the overload ratio.
const OVERLOAD_OUTCOME_WEIGHT: f64 = 1.0 / 16.0;
/// Window of the traffic counts, as a multiple of the longest latency objective.
const TRAFFIC_WINDOW_OBJECTIVES: u64 = 4;
/// Traffic is low if the mean interval between first attempts at a server exceeds this multiple of the
/// shortest latency objective.
const LOW_TRAFFIC_OBJECTIVES: f64 = 2.0;

/// Current load of the coordinator.
#[derive(Debug)]
pub(super) struct LoadStats {
    /// Limit on all attempts in flight.
    pub(super) in_flight_limit: f64,
    pub(super) attempts_in_flight: usize,
    /// Parts of open queries that are not complete.
    pub(super) open_parts: usize,
    /// Total number of successful attempts.
    pub(super) completed_attempts: u64,
    /// Weighted share of late or failed outcomes.
    overload_ratio: FailureRatio,
}

impl LoadStats {
    pub(super) fn new(in_flight_limit: f64) -> Self {
        Self {
            in_flight_limit,
            attempts_in_flight: 0,
            open_parts: 0,
            completed_attempts: 0,
            overload_ratio: FailureRatio::default(),
        }
    }

    /// Whether the share of late or failed outcomes indicates overload.
    pub(super) fn is_overloaded(&self) -> bool {
        self.overload_ratio.get() > OVERLOAD_THRESHOLD
    }

    pub(super) fn record_timeliness(&mut self, timely: bool) {
        self.overload_ratio.record(!timely, OVERLOAD_OUTCOME_WEIGHT);
    }
}

/// Counts of arrivals, attempts and ended queries over sliding windows.
#[derive(Debug)]
pub(super) struct TrafficCounts {
    /// Queries and parts that arrived.
    pub(super) arrivals: SlidingCount,
    /// Attempts charged to the retry budget.
    pub(super) charged_attempts: SlidingCount,
    /// First attempts at parts.
    pub(super) first_attempts: SlidingCount,
    pub(super) hedges: SlidingCount,
    pub(super) ended_queries: SlidingCount,
    /// Queries answered within their latency objective.
    pub(super) timely_queries: SlidingCount,
}

impl TrafficCounts {
    pub(super) fn new(budget_window: Nanos, traffic_window: Nanos) -> Self {
        Self {
            arrivals: SlidingCount::new(budget_window),
            charged_attempts: SlidingCount::new(budget_window),
            first_attempts: SlidingCount::new(traffic_window),
            hedges: SlidingCount::new(traffic_window),
            ended_queries: SlidingCount::new(traffic_window),
            timely_queries: SlidingCount::new(traffic_window),
        }
    }

    /// Changes the lengths of the windows.
    pub(super) fn set_windows(&mut self, budget_window: Nanos, traffic_window: Nanos) {
        for count in [&mut self.arrivals, &mut self.charged_attempts] {
            count.set_window(budget_window);
        }
        let by_traffic =
            [&mut self.first_attempts, &mut self.hedges, &mut self.ended_queries, &mut self.timely_queries];
        for count in by_traffic {
            count.set_window(traffic_window);
        }
    }

    pub(super) fn attempt_started(&mut self, kind: AttemptKind, charged: bool, now: Nanos) {
        match kind {
            AttemptKind::First => self.first_attempts.add(now),
            AttemptKind::Hedge => self.hedges.add(now),
            AttemptKind::Retry => {}
        }
        if charged {
            self.charged_attempts.add(now);
        }
    }

    pub(super) fn query_ended(&mut self, timely: bool, now: Nanos) {
        self.ended_queries.add(now);
        if timely {
            self.timely_queries.add(now);
        }
    }
}

/// Returns the window of the retry budget.
pub(super) fn budget_window(settings: &Settings) -> Nanos {
    let traffic_window = traffic_window(settings.longest_latency_objective());
    settings.retry_budget.map_or(traffic_window, |budget| budget.window)
}

/// Returns the window over which traffic is counted.
pub(super) fn traffic_window(longest_objective: Nanos) -> Nanos {
    longest_objective.saturating_mul(TRAFFIC_WINDOW_OBJECTIVES)
}

impl Policy {
    /// Returns the mean time between this coordinator's first attempts at one server, in nanoseconds.
    pub(super) fn mean_send_interval(&self) -> f64 {
        let window = traffic_window(self.settings.longest_latency_objective()) as f64;
        let from = self.now.saturating_sub(window as Nanos);
        let sends = self.counts.first_attempts.count_since(from).max(1);
        window * self.endpoints.active.max(1) as f64 / sends as f64
    }

    /// Whether attempts at each server are too rare for a single outcome to be significant.
    pub(super) fn is_low_traffic(&self) -> bool {
        let threshold = LOW_TRAFFIC_OBJECTIVES * self.settings.shortest_latency_objective() as f64;
        self.mean_send_interval() > threshold
    }
}
