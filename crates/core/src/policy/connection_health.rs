//! Health of connections: detects idle connections that the network path has silently dropped, and connects
//! that fail at all servers.

use super::attempt::InFlightAttempt;
use super::decay::FailureRatio;
use super::server::Server;
use super::Policy;
use crate::api::{Action, Nanos, Outcome, ServerId};

/// A connection counts as idle after the shortest latency objective divided by this.
const IDLE_OBJECTIVE_DIVISOR: u64 = 2;
/// Idle connections are suspect above this ratio of unresponsive ones.
const IDLE_FAILURE_THRESHOLD: f64 = 0.15;
/// Weight of the latest outcome in the failure ratio of idle connections; higher than for other outcomes
/// because few attempts use an idle connection.
const IDLE_OUTCOME_WEIGHT: f64 = 0.25;
/// Weight of the latest outcome in the failure ratios of connections in use and of connects.
const OUTCOME_WEIGHT: f64 = 1.0 / 6.0;
/// One in this many attempts is still sent over a suspect connection, to detect recovery.
const SUSPECT_TRIAL_INTERVAL: u32 = 16;
/// Above this ratio of failed connects, the failures are not attributed to individual servers.
const CONNECT_FAILURE_THRESHOLD: f64 = 0.4;

/// Failure ratios of connections, over all servers.
#[derive(Debug, Default)]
pub(super) struct ConnectionHealth {
    /// Connections that had been idle.
    idle: FailureRatio,
    /// Connections in use, and new ones.
    in_use: FailureRatio,
    /// Connects that failed.
    connects: FailureRatio,
}

impl ConnectionHealth {
    fn idle_is_suspect(&self) -> bool {
        self.idle.exceeds_baseline(self.in_use.get(), IDLE_FAILURE_THRESHOLD)
    }

    /// Whether the ratio of failed connects is too high for individual servers to be the cause.
    pub(super) fn connects_fail_everywhere(&self) -> bool {
        self.connects.get() > CONNECT_FAILURE_THRESHOLD
    }

    /// Records whether the connect for an attempt failed; ignores attempts that used an open connection.
    pub(super) fn record_connect(&mut self, attempt: &InFlightAttempt, outcome: Outcome) {
        if attempt.connection_idle.is_none() {
            self.connects.record(outcome == Outcome::ConnectFailed, OUTCOME_WEIGHT);
        }
    }
}

impl Policy {
    /// Whether a connection to the server is open and not suspect.
    pub(super) fn has_trusted_connection(&self, server: &Server) -> bool {
        let idle = server.connection_used_at.map_or(Nanos::MAX, |used_at| self.now.saturating_sub(used_at));
        let open_for = self.settings.connection_idle_timeout.unwrap_or(0);
        !server.in_flight.is_empty() || !self.may_be_dropped(idle) && idle < open_for
    }

    /// Whether a connection idle for this long may have been dropped silently.
    fn may_be_dropped(&self, idle: Nanos) -> bool {
        self.counts_as_idle(idle) && self.connections.idle_is_suspect()
    }

    fn counts_as_idle(&self, idle: Nanos) -> bool {
        idle > self.settings.shortest_latency_objective() / IDLE_OBJECTIVE_DIVISOR
    }

    /// Returns how long the connection for the next attempt at a server has been idle; `None` if the attempt
    /// opens a new one. Closes a suspect connection first.
    pub(super) fn connection_for_attempt(&mut self, id: ServerId) -> Option<Nanos> {
        let server = self.endpoints.servers.get(&id)?;
        if let Some(other) = server.in_flight.last() {
            // Both attempts share a connection: if it was dropped, both are lost.
            return other.connection_idle;
        }
        let idle = self.now.saturating_sub(server.connection_used_at?);
        if self.may_be_dropped(idle) && self.rng.u32(0..SUSPECT_TRIAL_INTERVAL) > 0 {
            self.actions.push(Action::CloseIdleConnections { server: id });
            return None;
        }
        let is_open = self.settings.connection_idle_timeout.is_none_or(|timeout| idle < timeout);
        is_open.then_some(idle)
    }

    /// Records an outcome for the connection that the attempt used; returns whether the outcome is attributed
    /// to a dropped idle connection.
    pub(super) fn record_connection_outcome(
        &mut self,
        attempt: &InFlightAttempt,
        outcome: Outcome,
        latency: Nanos,
    ) -> bool {
        let unresponsive = match outcome {
            Outcome::ConnectionReset | Outcome::ConnectFailed => true,
            Outcome::Cancelled | Outcome::TimedOut => attempt.is_overdue(latency),
            _ => false,
        };
        let was_idle = attempt.connection_idle.is_some_and(|idle| self.counts_as_idle(idle));
        if was_idle {
            self.connections.idle.record(unresponsive, IDLE_OUTCOME_WEIGHT);
        } else {
            self.connections.in_use.record(unresponsive, OUTCOME_WEIGHT);
        }
        unresponsive && was_idle && self.connections.idle_is_suspect()
    }
}
