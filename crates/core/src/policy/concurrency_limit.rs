//! Concurrency limits: on all attempts in flight, and on the calls in flight at each endpoint.
//!
//! Both use additive increase and multiplicative decrease (AIMD): timely outcomes raise a limit that is in
//! use, late or rejected ones lower it.

use super::attempt::InFlightAttempt;
use super::server::Server;
use super::Policy;
use crate::api::{Nanos, Outcome, ServerId};

/// Initial in-flight limit, as a share of `max_open`.
const IN_FLIGHT_LIMIT_START_RATIO: f64 = 0.25;
/// Factor applied to the in-flight limit by a late or failed outcome under overload.
const IN_FLIGHT_LIMIT_DECREASE_FACTOR: f64 = 0.92;
/// Initial limit of calls in flight at an endpoint.
pub(super) const ENDPOINT_CONCURRENCY_LIMIT_START: f64 = 3.0;
/// Factor applied to an endpoint's limit by a late outcome.
const ENDPOINT_CONCURRENCY_LIMIT_DECREASE_FACTOR: f64 = 0.8;
/// Factor applied to an endpoint's limit by a rejection.
const ENDPOINT_CONCURRENCY_LIMIT_REJECTED_FACTOR: f64 = 0.5;
/// Largest increase of an endpoint's limit by one outcome, as a share of the limit.
const ENDPOINT_CONCURRENCY_LIMIT_INCREASE_STEP: f64 = 0.25;
/// Sum over all coordinators of their minimum limits for one endpoint.
const MIN_CONCURRENCY_PER_ENDPOINT: f64 = 2.0;
/// A limit increases only while more than this share of it is in use.
const IN_USE_RATIO: f64 = 0.5;
/// The minimum pause of an endpoint is the shortest latency objective divided by this.
const PAUSE_OBJECTIVE_DIVISOR: u64 = 4;

/// Returns the initial limit on all attempts in flight.
pub(super) fn initial_in_flight_limit(max_open: usize) -> f64 {
    (max_open as f64 * IN_FLIGHT_LIMIT_START_RATIO).max(1.0)
}

impl Server {
    /// Returns the time between attempts if the limit is below one call; otherwise 0.
    pub(super) fn pacing_interval(&self, median_latency: Nanos) -> Nanos {
        if self.concurrency_limit < 1.0 {
            (median_latency as f64 / self.concurrency_limit) as Nanos
        } else {
            0
        }
    }

    /// Lowers the limit, unless the attempt was sent before the limit was last lowered.
    fn decrease_limit(&mut self, attempt: &InFlightAttempt, factor: f64, min_limit: f64, now: Nanos) {
        if attempt.sent_at >= self.limit_decreased_at {
            self.concurrency_limit = (self.concurrency_limit * factor).max(min_limit);
            self.limit_decreased_at = now;
        }
    }

    fn increase_limit(&mut self) {
        let step = ENDPOINT_CONCURRENCY_LIMIT_INCREASE_STEP * self.concurrency_limit;
        self.concurrency_limit += step.min(1.0 / self.concurrency_limit);
    }

    /// Whether enough of the limit is in use to justify an increase.
    fn uses_limit(&self) -> bool {
        f64::from(self.calls_in_flight() + 1) > self.concurrency_limit * IN_USE_RATIO
    }
}

impl Policy {
    /// Adapts the limit on all attempts in flight to an outcome that is not attributed to another cause than
    /// load.
    pub(super) fn adapt_in_flight_limit(&mut self, timely: bool) {
        self.load.record_timeliness(timely);
        let limit = self.load.in_flight_limit;
        if timely && (self.load.attempts_in_flight + 1) as f64 > limit * IN_USE_RATIO {
            self.load.in_flight_limit += 1.0 / limit;
        } else if !timely && self.load.is_overloaded() {
            let coordinators = f64::from(self.settings.coordinators);
            let min_limit = MIN_CONCURRENCY_PER_ENDPOINT * self.endpoints.active as f64 / coordinators;
            self.load.in_flight_limit = (limit * IN_FLIGHT_LIMIT_DECREASE_FACTOR).max(min_limit.max(1.0));
        }
    }

    /// Adapts an endpoint's limit to an outcome, and pauses the endpoint after a rejection.
    pub(super) fn adapt_endpoint_limit(
        &mut self,
        id: ServerId,
        attempt: &InFlightAttempt,
        outcome: Outcome,
        late: bool,
    ) {
        // Below 1 with more than two coordinators: each sends single attempts with pauses between them.
        let min_limit = (MIN_CONCURRENCY_PER_ENDPOINT / f64::from(self.settings.coordinators)).min(1.0);
        let (now, jitter) = (self.now, self.rng.f64());
        let pause = self.latency.median.max(self.min_pause()) as f64;
        let Some(server) = self.endpoints.servers.get_mut(&id) else { return };
        match outcome {
            Outcome::Rejected => {
                server.decrease_limit(attempt, ENDPOINT_CONCURRENCY_LIMIT_REJECTED_FACTOR, min_limit, now);
                let spread_pause = pause / server.concurrency_limit * (0.5 + jitter);
                server.pause_until(now + spread_pause as Nanos);
            }
            Outcome::ConnectFailed | Outcome::ServerError => {}
            _ if late => {
                server.decrease_limit(attempt, ENDPOINT_CONCURRENCY_LIMIT_DECREASE_FACTOR, min_limit, now);
            }
            Outcome::Success if server.uses_limit() => server.increase_limit(),
            _ => {}
        }
    }

    /// Returns the minimum time for which an endpoint is paused.
    pub(super) fn min_pause(&self) -> Nanos {
        self.settings.shortest_latency_objective() / PAUSE_OBJECTIVE_DIVISOR
    }
}
