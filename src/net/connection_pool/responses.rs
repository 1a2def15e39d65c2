//! Takes what data nodes send: matches responses to attempts, and closes connections that cannot be relied on.

use crate::api::{Nanos, Outcome};
use crate::engine::Value;
use crate::net::connection_pool::closed_attempts::CloseReason;
use crate::net::connection_pool::connection::{Connection, ConnectionState};
use crate::net::connection_pool::{ConnectionId, ConnectionPool, Output};
use crate::net::frame::InboundFrame;

impl ConnectionPool {
    pub(super) fn frame_begun(&mut self, id: ConnectionId) {
        if self.connections.get(&id).is_some_and(|connection| !connection.expects_input()) {
            self.close_malformed(id);
        }
    }

    pub(super) fn frame_received(&mut self, id: ConnectionId, frame: InboundFrame) {
        let Some(connection) = self.connections.get_mut(&id) else { return };
        if connection.state != ConnectionState::Connected {
            return;
        }
        connection.record_received(self.now);
        match frame {
            InboundFrame::Answer { part_name, outcome, value } => {
                self.answer_received(id, part_name, outcome, value);
            }
            InboundFrame::HealthCheckAnswer(outcome) => self.health_check_answered(id, outcome),
            InboundFrame::FrameRefused(_) => self.close(id),
        }
    }

    fn answer_received(
        &mut self,
        id: ConnectionId,
        part_name: String,
        outcome: Outcome,
        value: Option<Value>,
    ) {
        let limit = self.limits.closed_attempts;
        let Some(connection) = self.connections.get_mut(&id) else { return };
        let Some(answered) = connection.take_answered(&part_name) else {
            return self.unmatched_answer_received(id, &part_name);
        };
        connection.closed_attempts.add(part_name, CloseReason::Answered, limit);
        self.end_attempt(answered.attempt, outcome, value);
        self.close_overtaken(id, answered.written_at);
    }

    /// Takes an answer that belongs to no attempt.
    fn unmatched_answer_received(&mut self, id: ConnectionId, part_name: &str) {
        let Some(connection) = self.connections.get_mut(&id) else { return };
        match connection.closed_attempts.reason(part_name) {
            // It crossed the notice that the attempt is cancelled.
            Some(CloseReason::Cancelled) => connection.closed_attempts.mark_answered(part_name),
            // A duplicate costs the connection, but no attempt that is in flight on it.
            Some(CloseReason::Answered) if !connection.is_idle() => {}
            Some(CloseReason::Answered) | None => self.close_malformed(id),
        }
    }

    fn health_check_answered(&mut self, id: ConnectionId, outcome: Outcome) {
        let Some(connection) = self.connections.get_mut(&id) else { return };
        match connection.health_checks.pop_front() {
            Some(_) => self.outputs.push(Output::HealthChecked(outcome)),
            // It comes late, or was never asked for.
            None if !connection.is_idle() => {}
            None => self.close_malformed(id),
        }
    }

    /// A part written at `written_at` was answered on connection `by`: the data node is alive, so what is in flight on
    /// connections that have been silent since before then is lost. That says nothing of its other addresses.
    fn close_overtaken(&mut self, by: ConnectionId, written_at: Nanos) {
        let (now, silence_timeout) = (self.now, self.limits.silence_timeout);
        let address = self.connections.get(&by).map(|connection| connection.address_generation);
        let is_overtaken = |connection: &Connection| {
            connection.state == ConnectionState::Connected
                && Some(connection.address_generation) == address
                && connection.in_flight.iter().any(|in_flight| in_flight.written_at < written_at)
                && connection.is_silent(now, silence_timeout)
        };
        let overtaken: Vec<ConnectionId> = self
            .connections
            .iter()
            .filter(|(&id, connection)| id != by && is_overtaken(connection))
            .map(|(&id, _)| id)
            .collect();
        overtaken.into_iter().for_each(|id| self.close_malformed(id));
    }
}
