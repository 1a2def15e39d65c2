//! The pool: handles events of its connections and closes unusable connections.

use std::collections::BTreeMap;

use crate::api::{Nanos, Outcome};
use crate::engine::{AttemptId, Value};
use crate::net::connection_pool::closed_attempts::CloseReason;
use crate::net::connection_pool::connection::{Connection, ConnectionState, QueuedWork};
use crate::net::connection_pool::{ConnectionId, Input, Output};

/// Limits and timeouts of the connections.
#[derive(Debug, Clone, Copy)]
pub struct PoolLimits {
    /// Maximum number of parts in progress on one connection.
    pub parts_per_connection: usize,
    /// Idle time after which a connection is not used again, in nanoseconds.
    pub idle_timeout: Nanos,
    /// Time after which an unanswered health check fails, in nanoseconds.
    pub health_check_timeout: Nanos,
    /// Maximum number of parts that wait for a connection or a write.
    pub queued_parts: usize,
    /// Maximum number of ended attempts that a connection records.
    pub closed_attempts: usize,
    /// Time without a complete frame, with attempts in flight, after which a connection gets no new work, in
    /// nanoseconds.
    pub silence_timeout: Nanos,
    /// Delay before another connection is opened when no socket was available, in nanoseconds.
    pub no_socket_backoff: Nanos,
}

/// The connections to one data node.
#[derive(Debug)]
pub struct ConnectionPool {
    pub(super) limits: PoolLimits,
    pub(super) connections: BTreeMap<ConnectionId, Connection>,
    pub(super) accepts_new_attempts: bool,
    /// The generation of the current address: the number of address changes so far.
    pub(super) address_generation: u64,
    /// No connection is opened before this time, because no socket was available for the last one.
    pub(super) no_socket_until: Nanos,
    pub(super) next_id: u64,
    pub(super) now: Nanos,
    pub(super) outputs: Vec<Output>,
}

impl ConnectionPool {
    /// Creates a pool without connections; it sends nothing before [`Input::AcceptsNewAttempts`].
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

    /// Changes [`PoolLimits::silence_timeout`], also for the connections that are open.
    pub fn set_silence_timeout(&mut self, silence_timeout: Nanos) {
        self.limits.silence_timeout = silence_timeout;
    }

    /// Number of connections that are open, being opened or being closed.
    pub fn connection_count(&self) -> usize {
        self.connections.len()
    }

    /// Whether a health check is unanswered, so that [`Input::Tick`] is needed more often.
    pub fn awaits_health_check(&self) -> bool {
        self.connections.values().any(|connection| !connection.health_checks.is_empty())
    }

    /// Handles an input at `now`; returns the outputs in the order in which to carry them out.
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
            Input::CheckHealth => self.place(QueuedWork::HealthCheck),
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
            Input::PartialFrameReceived(id) => self.partial_frame_received(id),
            Input::MalformedInput(id) => self.close_malformed(id),
            Input::ReadEnded(id) => self.read_ended(id),
            Input::Tick => self.tick(),
        }
    }

    pub(super) fn end_attempt(&mut self, attempt: AttemptId, outcome: Outcome, value: Option<Value>) {
        self.outputs.push(Output::AttemptEnded { attempt, outcome, value });
    }

    /// Ends queued work as not sent when the data node stops accepting it, since its connection or write might take
    /// long.
    fn set_accepts_new_attempts(&mut self, accepts: bool) {
        if std::mem::replace(&mut self.accepts_new_attempts, accepts) && !accepts {
            self.take_queued_work(|_| true).into_iter().for_each(|work| self.end_not_sent(work));
        }
    }

    /// Moves queued work to connections to the new address. Attempts in flight may end at the previous address.
    fn address_changed(&mut self) {
        self.address_generation += 1;
        let current = self.address_generation;
        let queued = self.take_queued_work(|connection| connection.address_generation != current);
        queued.into_iter().for_each(|work| self.place(work));
    }

    /// Takes the queued calls and health checks of the selected connections.
    fn take_queued_work(&mut self, is_selected: impl Fn(&Connection) -> bool) -> Vec<QueuedWork> {
        let connections = self.connections.values_mut().filter(|connection| is_selected(connection));
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

    /// Cancels an attempt at the data node, by a frame or by closing the connection.
    fn notify_cancelled(&mut self, id: ConnectionId, part_name: String) {
        let limit = self.limits.closed_attempts;
        let Some(connection) = self.connections.get_mut(&id) else { return };
        connection.closed_attempts.add(part_name.clone(), CloseReason::Cancelled, limit);
        if connection.state != ConnectionState::Connected {
            return;
        }
        let is_unresponsive = connection.cancelled_in_silence && connection.is_idle();
        // A busy data node accepts a new connection late. Without the close it would first read the cancelled attempt.
        let is_unaccepted = !connection.has_received && connection.part_count() == 0;
        connection.queued.push_back(QueuedWork::Cancel { part_name });
        self.write_next(id);
        if is_unresponsive || is_unaccepted {
            self.close(id);
        }
    }

    fn read_ended(&mut self, id: ConnectionId) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.read_ended = true;
        }
        self.close(id);
    }

    /// Closes an unusable connection. Written attempts may have run; queued attempts have not.
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

    /// Closes a connection whose input is malformed or cannot be matched to its attempts.
    pub(super) fn close_malformed(&mut self, id: ConnectionId) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.malformed |= connection.state == ConnectionState::Connected;
        }
        self.close(id);
    }

    /// Removes a connection once it is closing, its reader has ended and no write is in progress.
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

    /// Closes open connections that have been idle for at least `idle_for`.
    fn close_idle(&mut self, idle_for: Nanos) {
        let now = self.now;
        self.close_where(|connection| {
            connection.is_idle() && now.saturating_sub(connection.last_used_at) >= idle_for
        });
    }

    /// Closes idle connections to previous addresses.
    fn close_outdated(&mut self) {
        let current = self.address_generation;
        self.close_where(|connection| connection.address_generation != current && connection.is_idle());
    }

    /// Closes the open connections that satisfy the predicate.
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
