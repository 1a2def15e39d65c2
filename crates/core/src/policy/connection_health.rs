//! Health of connections: whether idle ones are dropped unseen on the way, and whether new ones come up at
//! all.

use super::attempt::InFlightAttempt;
use super::decay::FailureRatio;
use super::server::Server;
use super::Policy;
use crate::api::{Action, Nanos, Outcome, ServerId};

/// A connection counts as idle from the shortest latency objective over this on.
const IDLE_OBJECTIVE_DIVISOR: u64 = 2;
/// Idle connections are suspect from this ratio of silent ones on.
const IDLE_FAILURE_THRESHOLD: f64 = 0.15;
/// Share of the latest outcome in the failure ratio of idle connections; higher than elsewhere, since there
/// are few.
const IDLE_OUTCOME_WEIGHT: f64 = 0.25;
/// Share of the latest outcome in the failure ratios of connections in use and of new ones.
const OUTCOME_WEIGHT: f64 = 1.0 / 6.0;
/// One in so many attempts still goes over a suspect connection, which shows whether it has recovered.
const SUSPECT_TRIAL_INTERVAL: u32 = 16;
/// From this ratio of failed connects on, they are no fault of single servers.
const CONNECT_FAILURE_THRESHOLD: f64 = 0.4;

/// Failure ratios of connections, over all servers.
#[derive(Debug, Default)]
pub(super) struct ConnectionHealth {
    /// Connections that had been idle.
    idle: FailureRatio,
    /// Connections in use, and new ones.
    in_use: FailureRatio,
    /// New connections: whether they came up.
    connects: FailureRatio,
}

impl ConnectionHealth {
    fn idle_is_suspect(&self) -> bool {
        self.idle.stands_out(self.in_use.get(), IDLE_FAILURE_THRESHOLD)
    }

    /// Whether connects fail at servers everywhere.
    pub(super) fn connects_fail_everywhere(&self) -> bool {
        self.connects.get() > CONNECT_FAILURE_THRESHOLD
    }

    /// Records whether a connection that was opened for the attempt came up; one over an open
    /// connection says nothing.
    pub(super) fn record_connect(&mut self, attempt: &InFlightAttempt, outcome: Outcome) {
        if attempt.connection_idle.is_none() {
            self.connects.record(outcome == Outcome::ConnectFailed, OUTCOME_WEIGHT);
        }
    }
}

impl Policy {
    /// Whether a connection that can be trusted is open to the server.
    pub(super) fn has_trusted_connection(&self, server: &Server) -> bool {
        let idle = server.connection_used_at.map_or(Nanos::MAX, |used_at| self.now.saturating_sub(used_at));
        let open_for = self.settings.connection_idle_timeout.unwrap_or(0);
        !server.in_flight.is_empty() || !self.may_be_dropped(idle) && idle < open_for
    }

    /// Whether a connection that has been idle for so long may have been dropped unseen.
    fn may_be_dropped(&self, idle: Nanos) -> bool {
        self.counts_as_idle(idle) && self.connections.idle_is_suspect()
    }

    fn counts_as_idle(&self, idle: Nanos) -> bool {
        idle > self.settings.shortest_latency_objective() / IDLE_OBJECTIVE_DIVISOR
    }

    /// How long the connection that the next attempt at a server uses has been idle; `None` where one is
    /// opened for it. A suspect one is closed first.
    pub(super) fn connection_for_attempt(&mut self, id: ServerId) -> Option<Nanos> {
        let server = self.endpoints.servers.get(&id)?;
        if let Some(other) = server.in_flight.last() {
            // Both use one connection: if it was dropped, both attempts are lost.
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

    /// Records an outcome for the connection it came over; returns whether the connection's idleness explains
    /// it.
    pub(super) fn record_connection_outcome(
        &mut self,
        attempt: &InFlightAttempt,
        outcome: Outcome,
        latency: Nanos,
    ) -> bool {
        let silent = match outcome {
            Outcome::ConnectionReset | Outcome::ConnectFailed => true,
            Outcome::Cancelled | Outcome::TimedOut => attempt.is_overdue(latency),
            _ => false,
        };
        let was_idle = attempt.connection_idle.is_some_and(|idle| self.counts_as_idle(idle));
        if was_idle {
            self.connections.idle.record(silent, IDLE_OUTCOME_WEIGHT);
        } else {
            self.connections.in_use.record(silent, OUTCOME_WEIGHT);
        }
        silent && was_idle && self.connections.idle_is_suspect()
    }
}
