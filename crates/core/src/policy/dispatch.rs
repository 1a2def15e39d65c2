//! Sends and cancels attempts, and handles their results.

use super::attempt::{Attempt, AttemptKind, AttemptState, InFlightAttempt};
use super::slow_start::SlowStartBudget;
use super::Policy;
use crate::api::{Action, ClassId, Nanos, Outcome, PartId, ServerId};

/// The fields of [`Event::AttemptEnded`](crate::api::Event::AttemptEnded).
#[derive(Debug, Clone, Copy)]
pub(super) struct AttemptEnd {
    pub(super) part: PartId,
    pub(super) attempt: u32,
    pub(super) server: ServerId,
    pub(super) outcome: Outcome,
    pub(super) latency: Nanos,
}

impl Policy {
    /// Starts an attempt for a part unless its query has no useful time left or the part has reached the
    /// maximum number of attempts.
    pub(super) fn start_attempt(&mut self, id: PartId, server: ServerId, kind: AttemptKind) {
        let Some(part) = self.parts.get(&id) else { return };
        let Some(query) = self.queries.get(&part.query) else { return };
        let class = query.class;
        let timeout = self.useful_until(query).saturating_sub(self.now);
        let max_attempts = self.settings.classes[class.0].max_attempts as usize;
        if timeout == 0 || part.attempts.len() >= max_attempts {
            return;
        }
        let attempt = part.attempts.len() as u32;
        let charged = attempt > 0 && !self.is_free_retry(part);
        let record = Attempt { server, sent_at: self.now, kind, state: AttemptState::InFlight };
        self.parts.entry(id).and_modify(|part| part.attempts.push(record));
        self.record_in_flight(server, id, attempt, class);
        self.counts.attempt_started(kind, charged, self.now);
        self.actions.push(Action::StartAttempt { part: id, server, timeout });
    }

    /// Records an attempt with its server.
    fn record_in_flight(&mut self, id: ServerId, part: PartId, attempt: u32, class: ClassId) {
        let now = self.now;
        let call = self.calls.assign(id, self.settings.layout.max_batch);
        let objective = self.settings.classes[class.0].latency_objective;
        self.dispatches += 1;
        let connection_idle = self.connection_for_attempt(id);
        let allowance = self.endpoints.servers.get(&id).and_then(|server| self.slow_start_allowance(server));
        let Some(server) = self.endpoints.servers.get_mut(&id) else { return };
        let record = InFlightAttempt { part, attempt, sent_at: now, call, class, objective, connection_idle };
        server.in_flight.push(record);
        self.load.attempts_in_flight += 1;
        server.connection_used_at = Some(now);
        server.last_dispatch = self.dispatches;
        server.pause_until(now + server.pacing_interval(self.latency.median));
        if let Some(allowance) = allowance {
            let completed_attempts = self.load.completed_attempts;
            server.slow_start_budget =
                SlowStartBudget { parts: allowance - 1.0, counted_at: now, completed_attempts };
        }
    }

    /// Cancels a part's attempts in flight.
    pub(super) fn cancel_in_flight(&mut self, id: PartId) {
        let Some(part) = self.parts.get_mut(&id) else { return };
        let cancelled = part.cancel_in_flight();
        if self.settings.may_cancel {
            let cancels = cancelled.into_iter().map(|attempt| Action::CancelAttempt { part: id, attempt });
            self.actions.extend(cancels);
        }
    }

    pub(super) fn handle_attempt_ended(&mut self, end: AttemptEnd) {
        self.record_outcome(&end);
        let Some(part) = self.parts.get_mut(&end.part) else { return };
        let Some(state_before) = part.end_attempt(end.attempt, end.outcome) else { return };
        let (query_id, losses) = (part.query, part.connection_losses);
        let Some(query) = self.queries.get_mut(&query_id) else { return };
        query.connection_losses = query.connection_losses.max(losses);
        if end.outcome == Outcome::Success && query.is_running() {
            self.complete_part(end.part);
        } else if state_before != AttemptState::Cancelled {
            self.review_queue.pending.insert(query_id);
        }
    }

    /// Marks a part as complete, cancels its other attempts and grants its query a hedge permit.
    fn complete_part(&mut self, id: PartId) {
        let Some(part) = self.parts.get_mut(&id).filter(|part| !part.complete) else { return };
        part.complete = true;
        let (query_id, latency) = (part.query, self.now.saturating_sub(part.first_sent_at(self.now)));
        self.load.open_parts -= 1;
        self.latency.record(self.now, latency);
        self.cancel_in_flight(id);
        if let Some(query) = self.queries.get_mut(&query_id) {
            query.hedge_permits += 1;
            query.completed_parts += 1;
            if query.canary && query.completed_parts == 1 {
                self.review_queue.queued.insert(query_id);
            }
        }
        self.review_queue.pending.insert(query_id);
    }
}
