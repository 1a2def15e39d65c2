//! The life of an attempt: started by the policy, ended by its data node, its timeout or a cancellation.

use super::attempt_table::{Attempt, AttemptId};
use super::cancellation::CancellationToken;
use super::command::{AttemptEvent, Command, Dispatch};
use super::outcome::Value;
use super::Engine;
use crate::api::{Event, Nanos, Outcome, PartId, ServerId};

impl Engine {
    /// An attempt has ended; reports after the first one are ignored. Returns the outcome that counts: a value that is
    /// not valid makes it [`Outcome::MalformedResponse`].
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

    /// The outcome of an attempt once its value has been validated. The value of a part that has one already, or is not
    /// open any more, is not used, and so not validated.
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

    /// Starts an attempt. One that may not be sent ends at once as [`Outcome::NotSent`].
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

    /// Ends an attempt from this side, and has its data node told.
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
