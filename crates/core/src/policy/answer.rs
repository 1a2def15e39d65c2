//! Reviews queries, answers them and ends them.

use super::query::{Query, QueryPhase, QueryState};
use super::Policy;
use crate::api::{Action, Nanos, PartId, QueryId, RetrySafety};

/// Retry-after values are reduced by a random share up to this, so that clients do not retry at the same
/// time.
const RETRY_AFTER_SPREAD: f64 = 0.75;

impl Policy {
    /// Reviews a query after an event or when it is due: answers it, ends it or sends further attempts.
    pub(super) fn review(&mut self, id: QueryId) {
        let Some(query) = self.queries.get(&id) else { return };
        let is_running = query.is_running();
        if is_running && self.is_phase_complete(query) {
            let complete = query.phase == QueryPhase::First || query.first_phase_complete;
            return self.answer(id, complete);
        }
        if is_running && self.is_partial_answer_due(query) {
            return self.answer(id, false);
        }
        let is_over = self.now >= self.give_up_at(query);
        if is_over || is_running && self.is_unanswerable(query, self.is_poison_query(id)) {
            return self.give_up(id);
        }
        if is_running && self.endpoints.list_is_usable {
            self.send_missing_parts(id);
            self.retry_overdue(id);
            self.hedge_siblings(id);
        }
        self.schedule_review(id);
    }

    fn is_phase_complete(&self, query: &Query) -> bool {
        !query.parts.is_empty() && self.completed_coverage(query) >= self.required_coverage(query)
    }

    /// Answers the query's phase from its completed parts; ends the query after its last phase.
    fn answer(&mut self, id: QueryId, complete: bool) {
        let Some(query) = self.queries.get(&id) else { return };
        let timely = self.now < self.objective_ends_at(query);
        let second_phase_parts = self.settings.classes[query.class.0].second_phase_parts;
        let second_phase_follows = second_phase_parts > 0 && query.phase == QueryPhase::First;
        self.actions.push(Action::Answer { query: id, complete });
        if second_phase_follows {
            self.await_second_phase(id, complete);
        } else {
            self.end(id, timely);
        }
    }

    /// Cancels the rest of the first phase and waits for the parts of the second.
    fn await_second_phase(&mut self, id: QueryId, first_phase_complete: bool) {
        let Some(query) = self.queries.get_mut(&id) else { return };
        self.review_queue.queued.remove(&id);
        query.state = QueryState::BetweenPhases;
        query.first_phase_complete = first_phase_complete;
        for part in query.parts.clone() {
            self.cancel_in_flight(part);
        }
        self.schedule_review(id);
    }

    /// Ends a query without a complete answer: answers it partially if possible, else rejects it if a retry
    /// by the client is harmless, else fails it.
    pub(super) fn give_up(&mut self, id: QueryId) {
        let Some(query) = self.queries.get(&id) else { return };
        if self.is_partial_answer_possible(query) {
            return self.answer(id, false);
        }
        let may_reject = self.is_client_retry_harmless(query);
        let longest_retry_after = self.retry_after(query) as f64;
        let retry_after = (longest_retry_after * (1.0 - RETRY_AFTER_SPREAD * self.rng.f64())) as Nanos;
        self.actions.push(match may_reject {
            true => Action::Reject { query: id, retry_after },
            false => Action::Fail { query: id },
        });
        self.end(id, false);
    }

    fn is_client_retry_harmless(&self, query: &Query) -> bool {
        let is_idempotent = self.settings.classes[query.class.0].retry_safety == RetrySafety::Idempotent;
        let first_phase_ran = query.phase == QueryPhase::Second || query.state == QueryState::BetweenPhases;
        let never_ran = !first_phase_ran && query.parts.iter().all(|part| self.parts[part].never_ran());
        is_idempotent || never_ran
    }

    /// Returns the longest time that the client should wait before it retries: half of what remains of the
    /// latency objective, or the longest that clients follow once the objective cannot be met.
    fn retry_after(&self, query: &Query) -> Nanos {
        let Some(longest) = self.settings.max_retry_after else { return 0 };
        let answered_at = self.now.saturating_add(self.latency.median);
        match self.objective_ends_at(query).saturating_sub(answered_at) {
            0 => longest,
            left => longest.min(left / 2),
        }
    }

    fn end(&mut self, id: QueryId, timely: bool) {
        self.counts.query_ended(timely, self.now);
        self.forget_query(id);
    }

    /// Removes a query and cancels its attempts in flight.
    pub(super) fn forget_query(&mut self, id: QueryId) {
        let Some(query) = self.queries.remove(&id) else { return };
        self.review_queue.queued.remove(&id);
        for part in query.parts {
            self.cancel_in_flight(part);
            self.forget_part(part);
        }
    }

    pub(super) fn forget_part(&mut self, id: PartId) {
        if self.parts.remove(&id).is_some_and(|part| !part.complete) {
            self.load.open_parts -= 1;
        }
    }
}
