//! Handles frames from data nodes: matches responses to attempts and closes connections with unexpected input.

use crate::api::{Nanos, Outcome};
use crate::engine::Value;
use crate::net::connection_pool::closed_attempts::CloseReason;
use crate::net::connection_pool::connection::{Connection, ConnectionState};
use crate::net::connection_pool::{ConnectionId, ConnectionPool, Output};
use crate::net::frame::InboundFrame;

impl ConnectionPool {
    pub(super) fn partial_frame_received(&mut self, id: ConnectionId) {
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
        self.close_stalled(id, answered.written_at);
    }

    /// Handles an answer that matches no attempt in progress.
    fn unmatched_answer_received(&mut self, id: ConnectionId, part_name: &str) {
        let Some(connection) = self.connections.get_mut(&id) else { return };
        match connection.closed_attempts.reason(part_name) {
            // The data node sent the answer before it received the cancellation.
            Some(CloseReason::Cancelled) => connection.closed_attempts.mark_answered(part_name),
            // A duplicate answer closes an idle connection, but does not fail attempts in flight.
            Some(CloseReason::Answered) if !connection.is_idle() => {}
            Some(CloseReason::Answered) | None => self.close_malformed(id),
        }
    }

    fn health_check_answered(&mut self, id: ConnectionId, outcome: Outcome) {
        let Some(connection) = self.connections.get_mut(&id) else { return };
        match connection.health_checks.pop_front() {
            Some(_) => self.outputs.push(Output::HealthChecked(outcome)),
            // The answer is late, or no health check was sent.
            None if !connection.is_idle() => {}
            None => self.close_malformed(id),
        }
    }

    /// Closes connections that stalled, after a part written at `written_at` was answered on connection `answered_on`.
    /// The data node is alive, so attempts written earlier on silent connections are lost. The answer proves nothing
    /// about connections to the data node's other addresses.
    fn close_stalled(&mut self, answered_on: ConnectionId, written_at: Nanos) {
        let (now, silence_timeout) = (self.now, self.limits.silence_timeout);
        let address = self.connections.get(&answered_on).map(|connection| connection.address_generation);
        let is_stalled = |connection: &Connection| {
            connection.state == ConnectionState::Connected
                && Some(connection.address_generation) == address
                && connection.in_flight.iter().any(|in_flight| in_flight.written_at < written_at)
                && connection.is_silent(now, silence_timeout)
        };
        let stalled: Vec<ConnectionId> = self
            .connections
            .iter()
            .filter(|(&id, connection)| id != answered_on && is_stalled(connection))
            .map(|(&id, _)| id)
            .collect();
        stalled.into_iter().for_each(|id| self.close_malformed(id));
    }
}
