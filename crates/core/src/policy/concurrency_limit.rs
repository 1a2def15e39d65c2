//! Limits of concurrency: of all attempts in flight, and of the calls in flight at one endpoint.
//!
//! Both rise additively with timely outcomes while they are in use, and fall by a factor with late or
//! rejected ones.

use super::attempt::InFlightAttempt;
use super::server::Server;
use super::Policy;
use crate::api::{Nanos, Outcome, ServerId};

/// Start of the limit of all attempts in flight, as a share of `max_open`.
const IN_FLIGHT_LIMIT_START_RATIO: f64 = 0.25;
/// What a late or failed outcome under overload leaves of the limit of all attempts in flight.
const IN_FLIGHT_LIMIT_DECREASE_FACTOR: f64 = 0.92;
/// Calls in flight at an endpoint at the start.
pub(super) const ENDPOINT_CONCURRENCY_LIMIT_START: f64 = 3.0;
/// What a late outcome leaves of an endpoint's limit.
const ENDPOINT_CONCURRENCY_LIMIT_DECREASE_FACTOR: f64 = 0.8;
/// What a rejection leaves of an endpoint's limit.
const ENDPOINT_CONCURRENCY_LIMIT_REJECTED_FACTOR: f64 = 0.5;
/// Largest increase of an endpoint's limit by one outcome, as a share of the limit.
const ENDPOINT_CONCURRENCY_LIMIT_INCREASE_STEP: f64 = 0.25;
/// Attempts at an endpoint that the least limits of all coordinators add up to.
const MIN_CONCURRENCY_PER_ENDPOINT: f64 = 2.0;
/// A limit rises only while more than this share of it is in use.
const IN_USE_RATIO: f64 = 0.5;
/// The least pause after a rejection is the shortest latency objective over this.
const PAUSE_OBJECTIVE_DIVISOR: u64 = 4;

/// The limit of all attempts in flight at the start.
pub(super) fn initial_in_flight_limit(max_open: usize) -> f64 {
    (max_open as f64 * IN_FLIGHT_LIMIT_START_RATIO).max(1.0)
}

impl Server {
    /// Time between attempts where the limit is below one call; otherwise 0.
    pub(super) fn pacing_interval(&self, median_latency: Nanos) -> Nanos {
        if self.concurrency_limit < 1.0 {
            (median_latency as f64 / self.concurrency_limit) as Nanos
        } else {
            0
        }
    }

    /// Lowers the limit, once for all attempts sent before it was last lowered.
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

    /// Whether enough of the limit is in use that a higher one would matter.
    fn uses_limit(&self) -> bool {
        f64::from(self.calls_in_flight() + 1) > self.concurrency_limit * IN_USE_RATIO
    }
}

impl Policy {
    /// Adapts the limit of all attempts in flight to an outcome that has no other known cause than load.
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
        // Below 1 where there are many coordinators: one attempt, then a pause.
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

    /// The least time without attempts for an endpoint that is paused.
    pub(super) fn min_pause(&self) -> Nanos {
        self.settings.shortest_latency_objective() / PAUSE_OBJECTIVE_DIVISOR
    }
}
