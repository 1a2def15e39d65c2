//! Attributes each outcome to a cause: server, class, zone, connection or load.

use super::attempt::InFlightAttempt;
use super::dispatch::AttemptEnd;
use super::outlier_detection::{CONNECT_FAILURE_SCORE, FAILURE_SCORE, SLOW_SCORE};
use super::Policy;
use crate::api::{Nanos, Outcome};

/// An outcome is late after this share of its latency objective...
const LATE_OBJECTIVE_RATIO: f64 = 0.25;
/// ...and this many times the lower quartile of recent latencies.
const LATE_QUARTILE_MULTIPLE: f64 = 2.0;
/// A late success raises its server's outlier score if it takes more than this many times the median latency.
const SLOW_MEDIAN_MULTIPLE: f64 = 2.5;
/// Factor applied to timeouts and slow successes under overload, since load may be their cause.
const OVERLOADED_SCORE_FACTOR: f64 = 0.5;

impl Policy {
    /// Removes an attempt from its server's record and attributes its outcome to a cause.
    pub(super) fn record_outcome(&mut self, end: &AttemptEnd) {
        let Some(attempt) = self.take_in_flight(end) else { return };
        let (outcome, late) = (end.outcome, self.is_late(&attempt, end.latency));
        if outcome == Outcome::NotSent || outcome == Outcome::Cancelled && !late {
            return;
        }
        if self.record_path_outcome(&attempt, end, late) {
            return;
        }
        if loses_connection(outcome) {
            return self.record_connection_loss(end.server, attempt.class, outcome);
        }
        let timely = outcome == Outcome::Success && !late;
        if self.endpoints.servers.get(&end.server).is_some_and(|server| !server.is_suspect(self.now)) {
            self.adapt_in_flight_limit(timely);
        }
        self.adapt_endpoint_limit(end.server, &attempt, outcome, late);
        self.connections.record_connect(&attempt, outcome);
        self.record_server_outcome(&attempt, end, late);
    }

    fn take_in_flight(&mut self, end: &AttemptEnd) -> Option<InFlightAttempt> {
        let server = self.endpoints.servers.get_mut(&end.server)?;
        let is_this = |a: &InFlightAttempt| a.part == end.part && a.attempt == end.attempt;
        let index = server.in_flight.iter().position(is_this)?;
        let attempt = server.in_flight.swap_remove(index);
        self.load.attempts_in_flight = self.load.attempts_in_flight.saturating_sub(1);
        if end.outcome == Outcome::Success {
            server.connection_used_at = Some(self.now);
            self.load.completed_attempts += 1;
        }
        Some(attempt)
    }

    fn is_late(&self, attempt: &InFlightAttempt, latency: Nanos) -> bool {
        let usual = LATE_QUARTILE_MULTIPLE * self.latency.lower_quartile as f64;
        latency as f64 > usual.max(LATE_OBJECTIVE_RATIO * attempt.objective as f64)
    }

    /// Records an outcome for the connection and the zone; returns whether it is attributed to one of them.
    fn record_path_outcome(&mut self, attempt: &InFlightAttempt, end: &AttemptEnd, late: bool) -> bool {
        let zone = self.endpoints.zone_of(end.server);
        let timely = end.outcome == Outcome::Success && !late;
        let lost_on_idle_connection =
            !self.is_zone_degraded(zone) && self.record_connection_outcome(attempt, end.outcome, end.latency);
        if !lost_on_idle_connection && end.outcome != Outcome::Rejected && !loses_connection(end.outcome) {
            self.record_zone_outcome(zone, !timely);
        }
        lost_on_idle_connection || !timely && self.is_zone_degraded(zone)
    }

    /// Records an outcome that is attributed to the server.
    fn record_server_outcome(&mut self, attempt: &InFlightAttempt, end: &AttemptEnd, late: bool) {
        let overload_factor = if self.load.is_overloaded() { OVERLOADED_SCORE_FACTOR } else { 1.0 };
        let slow = late && end.latency as f64 > SLOW_MEDIAN_MULTIPLE * self.latency.median as f64;
        let score = match end.outcome {
            Outcome::ConnectFailed if self.connections.connects_fail_everywhere() => {
                return self.pause_endpoint(end.server);
            }
            Outcome::ConnectFailed => CONNECT_FAILURE_SCORE,
            Outcome::ServerError => FAILURE_SCORE,
            Outcome::Cancelled | Outcome::TimedOut if attempt.is_overdue(end.latency) => {
                FAILURE_SCORE * overload_factor
            }
            Outcome::Success if slow => SLOW_SCORE * overload_factor,
            Outcome::Success => return self.lower_outlier_score(end.server, attempt.class),
            _ => return,
        };
        // Attempts sent before the last failure was recorded count as part of that failure.
        let raised_at = self.endpoints.servers.get(&end.server).map(|server| server.outlier_score_raised_at);
        if raised_at.is_some_and(|raised_at| attempt.sent_at >= raised_at) {
            self.raise_outlier_score(end.server, attempt.class, score);
        }
    }
}

/// Whether an outcome means that the connection and all attempts in flight on it are lost.
fn loses_connection(outcome: Outcome) -> bool {
    matches!(outcome, Outcome::ConnectionReset | Outcome::MalformedResponse)
}
