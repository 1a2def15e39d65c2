//! The pool: takes what happens to its connections, and closes those that are of no more use.

use std::collections::BTreeMap;

use crate::api::{Nanos, Outcome};
use crate::engine::{AttemptId, Value};
use crate::net::connection_pool::closed_attempts::CloseReason;
use crate::net::connection_pool::connection::{Connection, ConnectionState, QueuedCall};
use crate::net::connection_pool::{ConnectionId, Input, Output};

/// Bounds and timeouts of the connections.
#[derive(Debug, Clone, Copy)]
pub struct PoolLimits {
    /// Parts that one connection carries.
    pub parts_per_connection: usize,
    /// A connection that was idle for this long is not used any more, in nanoseconds.
    pub idle_timeout: Nanos,
    /// A health check that was not answered for this long has failed, in nanoseconds.
    pub health_check_timeout: Nanos,
    /// Parts that may be queued for a connection or a write.
    pub queued_parts: usize,
    /// Closed attempts that a connection remembers.
    pub closed_attempts: usize,
    /// A connection that is silent for this long with attempts in flight gets nothing new, in nanoseconds.
    pub silence_timeout: Nanos,
    /// After a connection for which there was no socket, none is opened for this long, in nanoseconds.
    pub no_socket_pause: Nanos,
}

/// The connections to one data node.
#[derive(Debug)]
pub struct ConnectionPool {
    pub(super) limits: PoolLimits,
    pub(super) connections: BTreeMap<ConnectionId, Connection>,
    pub(super) accepts_new_attempts: bool,
    /// The address that new connections go to: the number of changes before it.
    pub(super) address_generation: u64,
    /// No connection is opened before this: there was no socket for the last.
    pub(super) no_socket_until: Nanos,
    pub(super) next_id: u64,
    pub(super) now: Nanos,
    pub(super) outputs: Vec<Output>,
}

impl ConnectionPool {
    /// A pool without a connection; nothing is sent before [`Input::AcceptsNewAttempts`].
    pub fn new(limits: PoolLimits) -> Self {
        Self {
            limits,
            connections: BTreeMap::new(),
            accepts_new_attempts: false,
            address_generation: 0,
            no_socket_until: 0,
            next_id: 0,
            now: 0,
            outputs: Vec::new(),
        }
    }

    /// Connections that are open, being opened or being closed.
    pub fn connection_count(&self) -> usize {
        self.connections.len()
    }

    /// Whether a health check was sent and not answered yet, so that [`Input::Tick`] is needed often.
    pub fn awaits_health_check(&self) -> bool {
        self.connections.values().any(|connection| !connection.health_checks.is_empty())
    }

    /// Takes what happened at `now`; returns what is to be done, in this order.
    pub fn step(&mut self, now: Nanos, input: Input) -> Vec<Output> {
        self.now = self.now.max(now);
        self.handle(input);
        self.close_outdated();
        std::mem::take(&mut self.outputs)
    }

    fn handle(&mut self, input: Input) {
        match input {
            Input::SendCall(call) => self.send_call(call),
            Input::CancelAttempt(attempt) => self.cancel_attempt(attempt),
            Input::AcceptsNewAttempts(accepts) => self.set_accepts_new_attempts(accepts),
            Input::AddressChanged => self.address_changed(),
            Input::CloseIdleConnections => self.close_idle(0),
            Input::CheckHealth => self.place(QueuedCall::HealthCheck),
            Input::Connected(id) => self.connected(id),
            Input::ConnectFailed(id) => self.connect_failed(id),
            Input::NoSocketAvailable(id) => self.no_socket_available(id),
            Input::FrameWritten(id) => self.frame_written(id),
            Input::AttemptsOmitted { connection, attempts } => self.attempts_omitted(connection, &attempts),
            Input::HealthCheckOmitted(id) => self.health_check_omitted(id),
            Input::WriteFailed { connection, partially_written } => {
                self.write_failed(connection, partially_written);
            }
            Input::FrameReceived { connection, frame } => self.frame_received(connection, frame),
            Input::FrameBegun(id) => self.frame_begun(id),
            Input::MalformedInput(id) => self.close_malformed(id),
            Input::ReadEnded(id) => self.read_ended(id),
            Input::Tick => self.tick(),
        }
    }

    pub(super) fn end_attempt(&mut self, attempt: AttemptId, outcome: Outcome, value: Option<Value>) {
        self.outputs.push(Output::AttemptEnded { attempt, outcome, value });
    }

    /// What is queued for a connection or a write goes elsewhere at once: it might wait for long.
    fn set_accepts_new_attempts(&mut self, accepts: bool) {
        if std::mem::replace(&mut self.accepts_new_attempts, accepts) && !accepts {
            self.take_queued_work(|_| true).into_iter().for_each(|call| self.refuse(call));
        }
    }

    /// What is in flight may end where it is. What is queued goes over connections to the new address.
    fn address_changed(&mut self) {
        self.address_generation += 1;
        let current = self.address_generation;
        let queued = self.take_queued_work(|connection| connection.address_generation != current);
        queued.into_iter().for_each(|call| self.place(call));
    }

    /// Takes the calls and health checks that are queued on such connections.
    fn take_queued_work(&mut self, on: impl Fn(&Connection) -> bool) -> Vec<QueuedCall> {
        let connections = self.connections.values_mut().filter(|connection| on(connection));
        connections.flat_map(Connection::take_queued_work).collect()
    }

    fn connected(&mut self, id: ConnectionId) {
        if let Some(connection) = self.connections.get_mut(&id) {
            if connection.state == ConnectionState::Connecting {
                connection.state = ConnectionState::Connected;
                connection.last_used_at = self.now;
            }
        }
        self.write_next(id);
    }

    fn cancel_attempt(&mut self, attempt: AttemptId) {
        let (now, silence_timeout) = (self.now, self.limits.silence_timeout);
        let cancelled = self.connections.iter_mut().find_map(|(&id, connection)| {
            connection.drop_queued(attempt);
            let part_name = connection.take_cancelled(attempt, now, silence_timeout)?;
            Some((id, part_name))
        });
        if let Some((id, part_name)) = cancelled {
            self.notify_cancelled(id, part_name);
        }
    }

    /// Tells the data node that an attempt is cancelled: by a frame, or by closing its connection.
    fn notify_cancelled(&mut self, id: ConnectionId, part_name: String) {
        let limit = self.limits.closed_attempts;
        let Some(connection) = self.connections.get_mut(&id) else { return };
        connection.closed_attempts.add(part_name.clone(), CloseReason::Cancelled, limit);
        if connection.state != ConnectionState::Connected {
            return;
        }
        let dead = connection.cancelled_in_silence && connection.is_idle();
        // A busy data node accepts a new connection late. What it would then read first is over.
        let unaccepted = !connection.has_received && connection.part_count() == 0;
        connection.queued.push_back(QueuedCall::Cancel { part_name });
        self.write_next(id);
        if dead || unaccepted {
            self.close(id);
        }
    }

    fn read_ended(&mut self, id: ConnectionId) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.read_ended = true;
        }
        self.close(id);
    }

    /// Closes a connection that is of no more use: all that was written may have run, what is queued has not.
    pub(super) fn close(&mut self, id: ConnectionId) {
        let Some(connection) = self.connections.get_mut(&id) else { return };
        if connection.state != ConnectionState::Closing {
            connection.state = ConnectionState::Closing;
            let in_flight = std::mem::take(&mut connection.in_flight);
            let queued = std::mem::take(&mut connection.queued);
            let health_checks = std::mem::take(&mut connection.health_checks);
            let outcome = connection.loss_outcome();
            self.outputs.push(Output::Close(id));
            in_flight.iter().for_each(|lost| self.end_attempt(lost.attempt, outcome, None));
            health_checks.iter().for_each(|_| self.outputs.push(Output::HealthChecked(outcome)));
            self.move_to_another(queued);
        }
        self.remove_if_closed(id);
    }

    /// Closes a connection on which nothing that is received can be relied on.
    pub(super) fn close_malformed(&mut self, id: ConnectionId) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.malformed |= connection.state == ConnectionState::Connected;
        }
        self.close(id);
    }

    /// Removes a connection once nothing more can happen to it.
    pub(super) fn remove_if_closed(&mut self, id: ConnectionId) {
        let is_closed = |connection: &Connection| {
            connection.state == ConnectionState::Closing
                && connection.read_ended
                && connection.writing.is_none()
        };
        if self.connections.get(&id).is_some_and(is_closed) {
            self.connections.remove(&id);
        }
    }

    fn tick(&mut self) {
        let (now, timeout) = (self.now, self.limits.health_check_timeout);
        for connection in self.connections.values_mut() {
            let overdue = |&sent_at: &Nanos| now.saturating_sub(sent_at) >= timeout;
            while connection.health_checks.front().is_some_and(overdue) {
                connection.health_checks.pop_front();
                self.outputs.push(Output::HealthChecked(Outcome::TimedOut));
            }
        }
        self.close_idle(self.limits.idle_timeout);
    }

    /// Closes connections that have been idle for so long.
    fn close_idle(&mut self, idle_for: Nanos) {
        let now = self.now;
        self.close_where(|connection| {
            connection.is_idle() && now.saturating_sub(connection.last_used_at) >= idle_for
        });
    }

    /// Closes connections to an earlier address once they are idle.
    fn close_outdated(&mut self) {
        let current = self.address_generation;
        self.close_where(|connection| connection.address_generation != current && connection.is_idle());
    }

    /// Closes those of the open connections.
    fn close_where(&mut self, is_unneeded: impl Fn(&Connection) -> bool) {
        let open = |connection: &&Connection| connection.state == ConnectionState::Connected;
        let unneeded: Vec<ConnectionId> = self
            .connections
            .iter()
            .filter(|(_, connection)| open(connection) && is_unneeded(connection))
            .map(|(&id, _)| id)
            .collect();
        unneeded.into_iter().for_each(|id| self.close(id));
    }
}
