//! Passes frames to connections and handles the results of their writes.

use std::collections::VecDeque;

use crate::api::Outcome;
use crate::engine::{AttemptId, Dispatch};
use crate::net::connection_pool::connection::{ConnectionState, QueuedWork};
use crate::net::connection_pool::{ConnectionId, ConnectionPool, Output};
use crate::net::frame::OutboundFrame;

impl ConnectionPool {
    /// Prepares the next queued work of a connection and passes its frame to the writer, unless a write is in progress.
    pub(super) fn write_next(&mut self, id: ConnectionId) {
        while let Some(work) = self.take_writable(id) {
            let Some((work, frame)) = self.prepare(work) else { continue };
            let Some(connection) = self.connections.get_mut(&id) else { return };
            if matches!(work, QueuedWork::HealthCheck) {
                connection.health_checks.push_back(self.now);
            }
            connection.writing = Some(work);
            self.outputs.push(Output::Write { connection: id, frame });
        }
    }

    /// Takes the next queued work if the connection is open and no write is in progress.
    fn take_writable(&mut self, id: ConnectionId) -> Option<QueuedWork> {
        let connection = self.connections.get_mut(&id)?;
        if connection.state != ConnectionState::Connected || connection.writing.is_some() {
            return None;
        }
        connection.queued.pop_front()
    }

    /// Returns the part of a call that may be sent now, with its frame. The other attempts immediately end as not sent.
    fn prepare(&mut self, work: QueuedWork) -> Option<(QueuedWork, OutboundFrame)> {
        match work {
            QueuedWork::Attempts { dispatches, moved } => {
                let dispatches = self.retain_sendable(dispatches);
                if dispatches.is_empty() {
                    return None;
                }
                let frame = OutboundFrame::Call(dispatches.clone());
                Some((QueuedWork::Attempts { dispatches, moved }, frame))
            }
            QueuedWork::Cancel { part_name } => {
                let frame = OutboundFrame::Cancel(part_name.clone());
                Some((QueuedWork::Cancel { part_name }, frame))
            }
            QueuedWork::HealthCheck => Some((QueuedWork::HealthCheck, OutboundFrame::HealthCheck)),
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
        if let Some(QueuedWork::Attempts { dispatches, .. }) = connection.writing.take() {
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

    /// Moves omitted attempts to the new address if their connection goes to a previous one; otherwise ends them.
    pub(super) fn attempts_omitted(&mut self, id: ConnectionId, attempts: &[AttemptId]) {
        let Some(connection) = self.connections.get_mut(&id) else { return };
        let is_outdated = connection.address_generation != self.address_generation;
        let Some(QueuedWork::Attempts { dispatches, moved }) = &mut connection.writing else { return };
        let moved = *moved;
        let is_omitted = |dispatch: &Dispatch| attempts.contains(&dispatch.attempt);
        let (omitted, sent): (Vec<_>, Vec<_>) = std::mem::take(dispatches).into_iter().partition(is_omitted);
        *dispatches = sent;
        if omitted.is_empty() {
            return;
        }
        let omitted = QueuedWork::Attempts { dispatches: omitted, moved };
        if is_outdated {
            self.place(omitted);
        } else {
            self.end_not_sent(omitted);
        }
    }

    /// Ends the health check that was passed to the connection last. It is the most recent unanswered one, unless it
    /// has timed out.
    pub(super) fn health_check_omitted(&mut self, id: ConnectionId) {
        let Some(connection) = self.connections.get_mut(&id) else { return };
        if connection.health_checks.pop_back().is_some() {
            self.end_not_sent(QueuedWork::HealthCheck);
        }
    }

    /// Moves a call of which no byte was written to another connection. The attempts of a partially written call end as
    /// if they may have run, although they should not have: the data node may have read the first bytes, and a part
    /// that may not be repeated is then lost.
    pub(super) fn write_failed(&mut self, id: ConnectionId, partially_written: bool) {
        let Some(connection) = self.connections.get_mut(&id) else { return };
        let outcome = connection.loss_outcome();
        let mut unsent = VecDeque::new();
        match connection.writing.take() {
            Some(QueuedWork::Attempts { dispatches, .. }) if partially_written => {
                dispatches.iter().for_each(|dispatch| self.end_attempt(dispatch.attempt, outcome, None));
            }
            Some(work @ QueuedWork::Attempts { .. }) => unsent.push_back(work),
            _ => {}
        }
        self.close(id);
        self.move_to_another(unsent);
    }
}
