//! Chooses the connection for a call, a health check or a cancellation.

use std::collections::VecDeque;

use crate::api::Outcome;
use crate::engine::Dispatch;
use crate::net::connection_pool::connection::{Connection, ConnectionState, QueuedWork};
use crate::net::connection_pool::{ConnectionId, ConnectionPool, Output};

impl ConnectionPool {
    /// Queues a call; ends its attempts as not sent if the queue limit is exceeded.
    pub(super) fn send_call(&mut self, dispatches: Vec<Dispatch>) {
        let queued: usize = self.connections.values().map(Connection::unwritten_part_count).sum();
        let work = QueuedWork::Attempts { dispatches, moved: false };
        if queued + work.part_count() > self.limits.queued_parts {
            return self.end_not_sent(work);
        }
        self.place(work);
    }

    /// Queues work on a connection, and opens a new connection if necessary.
    pub(super) fn place(&mut self, work: QueuedWork) {
        if !self.accepts_new_attempts && !matches!(work, QueuedWork::Cancel { .. }) {
            return self.end_not_sent(work);
        }
        match self.choose_connection(work.part_count()) {
            Some(id) => self.enqueue(id, work),
            None => self.place_without_socket(work),
        }
    }

    fn enqueue(&mut self, id: ConnectionId, work: QueuedWork) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.queued.push_back(work);
        }
        self.write_next(id);
    }

    /// Chooses a connection with capacity for `parts`: an open one, else one that is being opened, else a new one.
    /// Returns `None` if it needs a new one during the delay after a lack of sockets.
    fn choose_connection(&mut self, parts: usize) -> Option<ConnectionId> {
        let existing = self
            .find_usable(ConnectionState::Connected, parts)
            .or_else(|| self.find_usable(ConnectionState::Connecting, parts));
        if existing.is_some() {
            return existing;
        }
        if self.now < self.no_socket_until {
            return None;
        }
        Some(self.open_connection())
    }

    /// Finds the first connection in this state that goes to the current address, is neither silent nor past its idle
    /// timeout, and has capacity for `parts`. A connection without parts takes a call of any size.
    fn find_usable(&self, state: ConnectionState, parts: usize) -> Option<ConnectionId> {
        let limit = self.limits.parts_per_connection.max(parts);
        let usable = |connection: &Connection| {
            connection.state == state
                && connection.address_generation == self.address_generation
                && connection.part_count() + parts <= limit
                && self.is_fresh(connection)
        };
        self.connections.iter().find(|(_, connection)| usable(connection)).map(|(&id, _)| id)
    }

    /// Whether the data node is expected to read from this connection: it is neither silent nor past its idle timeout.
    fn is_fresh(&self, connection: &Connection) -> bool {
        let idle_for = self.now.saturating_sub(connection.last_used_at);
        let idle_too_long = connection.is_idle() && idle_for >= self.limits.idle_timeout;
        !connection.is_silent(self.now, self.limits.silence_timeout) && !idle_too_long
    }

    fn open_connection(&mut self) -> ConnectionId {
        let id = ConnectionId(self.next_id);
        self.next_id += 1;
        self.connections.insert(id, Connection::connecting(self.address_generation, self.now));
        self.outputs.push(Output::Connect(id));
        id
    }

    /// Ends work that may not be sent. It never ran, and the outcome does not count against the data node.
    pub(super) fn end_not_sent(&mut self, work: QueuedWork) {
        self.end_unsent(work, Outcome::NotSent);
    }

    /// Ends work that could not be sent because the data node was unreachable.
    fn end_connect_failed(&mut self, work: QueuedWork) {
        self.end_unsent(work, Outcome::ConnectFailed);
    }

    fn end_unsent(&mut self, work: QueuedWork, outcome: Outcome) {
        match work {
            QueuedWork::Attempts { dispatches, .. } => {
                dispatches.iter().for_each(|dispatch| self.end_attempt(dispatch.attempt, outcome, None));
            }
            QueuedWork::HealthCheck => self.outputs.push(Output::HealthChecked(outcome)),
            QueuedWork::Cancel { .. } => {}
        }
    }

    pub(super) fn connect_failed(&mut self, id: ConnectionId) {
        let Some(connection) = self.connections.remove(&id) else { return };
        connection.queued.into_iter().for_each(|work| self.end_connect_failed(work));
    }

    /// Delays further connections after this process had no socket for one, and moves its queued work.
    pub(super) fn no_socket_available(&mut self, id: ConnectionId) {
        let Some(connection) = self.connections.remove(&id) else { return };
        self.no_socket_until = self.now.saturating_add(self.limits.no_socket_backoff);
        connection.queued.into_iter().for_each(|work| self.place_without_socket(work));
    }

    /// Queues work on an open connection with capacity, even a silent one, when no socket is available. Without such a
    /// connection, attempts end as not sent, which does not count against the data node.
    fn place_without_socket(&mut self, work: QueuedWork) {
        let parts = work.part_count();
        let usable = |connection: &Connection| {
            connection.state == ConnectionState::Connected
                && connection.address_generation == self.address_generation
                && connection.part_count() + parts <= self.limits.parts_per_connection
        };
        let open = self.connections.iter().find(|(_, connection)| usable(connection)).map(|(&id, _)| id);
        match (open, work) {
            (Some(id), work) => self.enqueue(id, work),
            (None, work @ QueuedWork::Attempts { .. }) => self.end_not_sent(work),
            (None, work) => self.end_connect_failed(work),
        }
    }

    /// Moves work that was not completely written to another connection. Calls move once: data nodes may close
    /// connections at any time, and if the data node is down, opening the next connection fails.
    pub(super) fn move_to_another(&mut self, queued: VecDeque<QueuedWork>) {
        for work in queued {
            match work {
                QueuedWork::Attempts { dispatches, moved: false } => {
                    self.place(QueuedWork::Attempts { dispatches, moved: true });
                }
                QueuedWork::HealthCheck => self.place(QueuedWork::HealthCheck),
                work => self.end_connect_failed(work),
            }
        }
    }
}
