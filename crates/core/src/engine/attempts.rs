//! The lifecycle of an attempt: the policy starts it; a response, an error, a timeout or a cancellation ends it.

use super::attempt_table::{Attempt, AttemptId};
use super::cancellation::CancellationToken;
use super::command::{AttemptEvent, Command, Dispatch};
use super::outcome::Value;
use super::Engine;
use crate::api::{Event, Nanos, Outcome, PartId, ServerId};

impl Engine {
    /// Records the end of an attempt; later reports about the same attempt are ignored. Returns the outcome after
    /// validation: [`Outcome::MalformedResponse`] if the value is invalid.
    pub fn attempt_ended(
        &mut self,
        now: Nanos,
        id: AttemptId,
        outcome: Outcome,
        value: Option<Value>,
    ) -> Outcome {
        self.advance_to(now);
        let Some(attempt) = self.attempts.remove(id) else { return outcome };
        attempt.cancellation.cancel();
        let Attempt { part, number, server, sent_at, .. } = attempt;
        let outcome = self.validate(part, outcome, value.as_ref());
        if let Some(part) = self.queries.part_mut(part) {
            part.record_end(id, number, outcome, value);
        }
        self.commands.push(Command::RecordAttempt(AttemptEvent::Ended { server, outcome }));
        let latency = self.now.saturating_sub(sent_at);
        self.events.push(Event::AttemptEnded { part, attempt: number, server, outcome, latency });
        outcome
    }

    /// Validates the value of an attempt and returns the resulting outcome. A value is not used, and so not validated,
    /// if its part already has one or is no longer open.
    fn validate(&self, part: PartId, outcome: Outcome, value: Option<&Value>) -> Outcome {
        if outcome != Outcome::Success {
            return outcome;
        }
        let Some(value) = value else { return Outcome::ServerError };
        let Some(part) = self.queries.part(part).filter(|part| part.value.is_none()) else { return outcome };
        let query = self.queries.get(part.query);
        if query.is_none_or(|query| query.validator.accepts(part.shard, value)) {
            Outcome::Success
        } else {
            Outcome::MalformedResponse
        }
    }

    /// Starts an attempt. An attempt that must not be sent ends immediately with [`Outcome::NotSent`].
    pub(super) fn start_attempt(&mut self, part_id: PartId, server: ServerId, timeout: Nanos) {
        let id = self.attempts.allocate_id();
        let Some(part) = self.queries.part_mut(part_id) else { return };
        let first_possible_run = part.first_possible_run();
        let hedge = part.has_attempt_in_flight();
        let number = part.record_start(self.now, id);
        let (query, shard, request) = (part.query, part.shard, part.request.clone());
        let Some(query) = self.queries.get(query) else { return };
        let class = &self.deployment.settings.classes[query.class.0];
        let start_deadline = class.retry_deadline(first_possible_run);
        let deadline = query.deadline.min(self.now.saturating_add(timeout));
        let may_be_sent = number < class.max_attempts
            && deadline.min(start_deadline) > self.now
            && self.servers.is_active(server)
            && self.servers.holds(server, shard, &self.deployment.settings.layout);
        let cancellation = CancellationToken::for_client(query.client.clone());
        let dispatch = Dispatch {
            attempt: id,
            part: request,
            deadline,
            start_deadline,
            cancellation: cancellation.clone(),
        };
        self.attempts.insert(id, Attempt { part: part_id, number, server, sent_at: self.now, cancellation });
        self.commands.push(Command::RecordAttempt(AttemptEvent::Started { server, number, hedge }));
        if may_be_sent {
            self.deadlines.attempts.push(deadline, id);
            self.commands.push(Command::SendCall { server, call: vec![dispatch] });
        } else {
            self.attempt_ended(self.now, id, Outcome::NotSent, None);
        }
    }

    /// Ends an attempt with this outcome and cancels it at its data node.
    pub(super) fn cancel_attempt(&mut self, id: AttemptId, outcome: Outcome) {
        if let Some(attempt) = self.attempts.get(id) {
            self.commands.push(Command::CancelAttempt { server: attempt.server, attempt: id });
            self.attempt_ended(self.now, id, outcome, None);
        }
    }

    /// Ends the attempts whose timeout has passed.
    pub(super) fn time_out_attempts(&mut self) {
        while let Some(id) = self.deadlines.attempts.pop_due(self.now) {
            self.cancel_attempt(id, Outcome::TimedOut);
        }
    }
}
