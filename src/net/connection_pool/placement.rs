//! Chooses the connection on which something is sent.

use std::collections::VecDeque;

use crate::api::Outcome;
use crate::engine::Dispatch;
use crate::net::connection_pool::connection::{Connection, ConnectionState, QueuedCall};
use crate::net::connection_pool::{ConnectionId, ConnectionPool, Output};

impl ConnectionPool {
    /// Queues a call, unless too much is queued already.
    pub(super) fn send_call(&mut self, dispatches: Vec<Dispatch>) {
        let queued: usize = self.connections.values().map(Connection::unwritten_part_count).sum();
        let call = QueuedCall::Attempts { dispatches, moved: false };
        if queued + call.part_count() > self.limits.queued_parts {
            return self.refuse(call);
        }
        self.place(call);
    }

    /// Queues something on a connection.
    pub(super) fn place(&mut self, call: QueuedCall) {
        if !self.accepts_new_attempts && !matches!(call, QueuedCall::Cancel { .. }) {
            return self.refuse(call);
        }
        match self.choose_connection(call.part_count()) {
            Some(id) => self.enqueue(id, call),
            None => self.place_without_socket(call),
        }
    }

    fn enqueue(&mut self, id: ConnectionId, call: QueuedCall) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.queued.push_back(call);
        }
        self.write_next(id);
    }

    /// A connection with capacity for so many parts: an open one, one that is being opened, or a new one. None if that
    /// would have to be a new one, and there was no socket for one a moment ago.
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

    /// The first connection in this state that goes to the current address, is neither silent nor idle for too long, and
    /// has capacity for so many parts. One without any part takes a call of any size.
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

    /// Whether the data node can be expected to read what is sent on this connection.
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

    /// Ends what may not be sent: it never ran, which says nothing of the data node.
    pub(super) fn refuse(&mut self, call: QueuedCall) {
        self.end_unsent(call, Outcome::NotSent);
    }

    /// Ends what could not be sent because the data node was not reached.
    fn fail(&mut self, call: QueuedCall) {
        self.end_unsent(call, Outcome::ConnectFailed);
    }

    fn end_unsent(&mut self, call: QueuedCall, outcome: Outcome) {
        match call {
            QueuedCall::Attempts { dispatches, .. } => {
                dispatches.iter().for_each(|dispatch| self.end_attempt(dispatch.attempt, outcome, None));
            }
            QueuedCall::HealthCheck => self.outputs.push(Output::HealthChecked(outcome)),
            QueuedCall::Cancel { .. } => {}
        }
    }

    pub(super) fn connect_failed(&mut self, id: ConnectionId) {
        let Some(connection) = self.connections.remove(&id) else { return };
        connection.queued.into_iter().for_each(|call| self.fail(call));
    }

    /// This process has no socket for a connection: for a moment, no other one is tried.
    pub(super) fn no_socket_available(&mut self, id: ConnectionId) {
        let Some(connection) = self.connections.remove(&id) else { return };
        self.no_socket_until = self.now.saturating_add(self.limits.no_socket_pause);
        connection.queued.into_iter().for_each(|call| self.place_without_socket(call));
    }

    /// What this process has no socket for goes over an open connection with capacity, silent or not. If there is none,
    /// attempts were not sent, which says nothing of the data node.
    fn place_without_socket(&mut self, call: QueuedCall) {
        let parts = call.part_count();
        let usable = |connection: &Connection| {
            connection.state == ConnectionState::Connected
                && connection.address_generation == self.address_generation
                && connection.part_count() + parts <= self.limits.parts_per_connection
        };
        let open = self.connections.iter().find(|(_, connection)| usable(connection)).map(|(&id, _)| id);
        match (open, call) {
            (Some(id), call) => self.enqueue(id, call),
            (None, call @ QueuedCall::Attempts { .. }) => self.refuse(call),
            (None, call) => self.fail(call),
        }
    }

    /// What was not written completely goes over another connection, once: data nodes close connections whenever they
    /// like. One that is down shows it when the next connection cannot be opened.
    pub(super) fn move_to_another(&mut self, calls: VecDeque<QueuedCall>) {
        for call in calls {
            match call {
                QueuedCall::Attempts { dispatches, moved: false } => {
                    self.place(QueuedCall::Attempts { dispatches, moved: true });
                }
                QueuedCall::HealthCheck => self.place(QueuedCall::HealthCheck),
                call => self.fail(call),
            }
        }
    }
}
