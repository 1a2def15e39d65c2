//! Hands frames to connections, and takes how their writing went.

use std::collections::VecDeque;

use crate::api::Outcome;
use crate::engine::{AttemptId, Dispatch};
use crate::net::connection_pool::connection::{ConnectionState, QueuedCall};
use crate::net::connection_pool::{ConnectionId, ConnectionPool, Output};
use crate::net::frame::OutboundFrame;

impl ConnectionPool {
    /// Hands the next frame to a connection that has none to write.
    pub(super) fn write_next(&mut self, id: ConnectionId) {
        while let Some(call) = self.take_writable(id) {
            let Some((call, frame)) = self.prepare(call) else { continue };
            let Some(connection) = self.connections.get_mut(&id) else { return };
            if matches!(call, QueuedCall::HealthCheck) {
                connection.health_checks.push_back(self.now);
            }
            connection.writing = Some(call);
            self.outputs.push(Output::Write { connection: id, frame });
        }
    }

    /// The next call that is queued on a connection that can take it now.
    fn take_writable(&mut self, id: ConnectionId) -> Option<QueuedCall> {
        let connection = self.connections.get_mut(&id)?;
        if connection.state != ConnectionState::Connected || connection.writing.is_some() {
            return None;
        }
        connection.queued.pop_front()
    }

    /// What of a call may be sent now, and its frame. Attempts that may not end at once.
    fn prepare(&mut self, call: QueuedCall) -> Option<(QueuedCall, OutboundFrame)> {
        match call {
            QueuedCall::Attempts { dispatches, moved } => {
                let dispatches = self.retain_sendable(dispatches);
                if dispatches.is_empty() {
                    return None;
                }
                let frame = OutboundFrame::Call(dispatches.clone());
                Some((QueuedCall::Attempts { dispatches, moved }, frame))
            }
            QueuedCall::Cancel { part_name } => {
                let frame = OutboundFrame::Cancel(part_name.clone());
                Some((QueuedCall::Cancel { part_name }, frame))
            }
            QueuedCall::HealthCheck => Some((QueuedCall::HealthCheck, OutboundFrame::HealthCheck)),
        }
    }

    fn retain_sendable(&mut self, dispatches: Vec<Dispatch>) -> Vec<Dispatch> {
        let (accepts, now) = (self.accepts_new_attempts, self.now);
        let is_sendable = |dispatch: &Dispatch| accepts && dispatch.deadline > now;
        let (sendable, stale): (Vec<_>, Vec<_>) = dispatches.into_iter().partition(is_sendable);
        stale.iter().for_each(|dispatch| self.end_attempt(dispatch.attempt, Outcome::NotSent, None));
        sendable
    }

    pub(super) fn frame_written(&mut self, id: ConnectionId) {
        let Some(connection) = self.connections.get_mut(&id) else { return };
        connection.last_used_at = self.now;
        if let Some(QueuedCall::Attempts { dispatches, .. }) = connection.writing.take() {
            if connection.state == ConnectionState::Closing {
                let outcome = connection.loss_outcome();
                dispatches.iter().for_each(|dispatch| self.end_attempt(dispatch.attempt, outcome, None));
            } else {
                connection.record_in_flight(dispatches, self.now);
            }
        }
        self.write_next(id);
        self.remove_if_closed(id);
    }

    /// What was omitted on a connection to an earlier address goes over one to the new address.
    pub(super) fn attempts_omitted(&mut self, id: ConnectionId, attempts: &[AttemptId]) {
        let Some(connection) = self.connections.get_mut(&id) else { return };
        let is_outdated = connection.address_generation != self.address_generation;
        let Some(QueuedCall::Attempts { dispatches, moved }) = &mut connection.writing else { return };
        let moved = *moved;
        let is_omitted = |dispatch: &Dispatch| attempts.contains(&dispatch.attempt);
        let (omitted, sent): (Vec<_>, Vec<_>) = std::mem::take(dispatches).into_iter().partition(is_omitted);
        *dispatches = sent;
        if omitted.is_empty() {
            return;
        }
        let omitted = QueuedCall::Attempts { dispatches: omitted, moved };
        if is_outdated {
            self.place(omitted);
        } else {
            self.refuse(omitted);
        }
    }

    /// The health check last handed out is the last of those that are awaited, unless it has timed out.
    pub(super) fn health_check_omitted(&mut self, id: ConnectionId) {
        let Some(connection) = self.connections.get_mut(&id) else { return };
        if connection.health_checks.pop_back().is_some() {
            self.refuse(QueuedCall::HealthCheck);
        }
    }

    /// What was not begun goes over another connection. What was cut off in its frame ends as one that may have run,
    /// though it should not have: its first bytes may have been read, and a part that may not be repeated is lost then.
    pub(super) fn write_failed(&mut self, id: ConnectionId, partially_written: bool) {
        let Some(connection) = self.connections.get_mut(&id) else { return };
        let outcome = connection.loss_outcome();
        let mut unsent = VecDeque::new();
        match connection.writing.take() {
            Some(QueuedCall::Attempts { dispatches, .. }) if partially_written => {
                dispatches.iter().for_each(|dispatch| self.end_attempt(dispatch.attempt, outcome, None));
            }
            Some(call @ QueuedCall::Attempts { .. }) => unsent.push_back(call),
            _ => {}
        }
        self.close(id);
        self.move_to_another(unsent);
    }
}
