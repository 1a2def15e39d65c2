//! How queries end: answered from the parts that are in, rejected, failed, or closed by their clients.

use super::command::Command;
use super::outcome::{QueryOutcome, Row};
use super::query_table::{Query, QueryPhase};
use super::second_phase::ScoredShard;
use super::Engine;
use crate::api::{Class, Event, Outcome, PartId, QueryId};

/// Sums of weights may fall this much short of a bound.
const COVERAGE_TOLERANCE: f64 = 1e-4;

/// What the class of a query asks of the answer of a phase, as shares of its weight.
struct RequiredCoverage {
    /// For a complete answer.
    complete: f64,
    /// For any answer.
    minimum: f64,
}

impl RequiredCoverage {
    fn of(class: &Class, phase: QueryPhase) -> Self {
        match phase {
            QueryPhase::First => Self { complete: class.complete_coverage, minimum: class.min_coverage },
            QueryPhase::Second { .. } if class.min_coverage < class.complete_coverage => {
                Self { complete: 1.0, minimum: class.min_coverage }
            }
            QueryPhase::Second { .. } => Self { complete: 1.0, minimum: 1.0 },
        }
    }

    fn allows_answer(&self, coverage: f64) -> bool {
        coverage >= self.minimum.min(self.complete) - COVERAGE_TOLERANCE
    }

    fn is_complete(&self, coverage: f64) -> bool {
        coverage >= self.complete - COVERAGE_TOLERANCE
    }
}

/// The values that the parts of a phase have.
#[derive(Default)]
struct CollectedValues {
    rows: Vec<Row>,
    scored: Vec<ScoredShard>,
    coverage: f64,
}

impl Engine {
    /// Ends the phase of a query with the values that are in. It is marked complete only if the policy says so and its
    /// class agrees; an answer that its class does not allow becomes a failure.
    pub(super) fn answer(&mut self, id: QueryId, complete: bool) {
        let Some(query) = self.queries.get(id) else { return };
        let class = &self.deployment.settings.classes[query.class.0];
        let required = RequiredCoverage::of(class, query.phase);
        let CollectedValues { rows, scored, coverage } = self.collect_values(query);
        if rows.is_empty() || !required.allows_answer(coverage) {
            return self.fail_against_policy(id);
        }
        let complete = complete && required.is_complete(coverage);
        match query.phase {
            QueryPhase::First if class.second_phase_parts > 0 => {
                self.begin_second_phase(id, complete, scored);
            }
            QueryPhase::First => self.finish(id, QueryOutcome::Answered { complete, coverage, rows }),
            QueryPhase::Second { first_phase_complete } => {
                let complete = complete && first_phase_complete;
                self.finish(id, QueryOutcome::Answered { complete, coverage, rows });
            }
        }
    }

    fn collect_values(&self, query: &Query) -> CollectedValues {
        let mut collected = CollectedValues::default();
        for (part, value) in self.queries.answered_parts(query) {
            collected.coverage += part.weight;
            collected.rows.push(Row { shard: part.shard, data: value.data.clone() });
            collected.scored.push(ScoredShard { score: value.score, shard: part.shard });
        }
        collected
    }

    /// Fails the queries that the policy has left open for too long after their deadlines.
    pub(super) fn fail_overdue_queries(&mut self) {
        while let Some(id) = self.deadlines.queries.pop_due(self.now) {
            if self.queries.contains(id) {
                self.fail_against_policy(id);
            }
        }
    }

    /// Fails a query that the policy takes to be open, or answered in a way that is not allowed.
    fn fail_against_policy(&mut self, id: QueryId) {
        self.finish(id, QueryOutcome::Failed);
        self.events.push(Event::ClientDisconnected(id));
    }

    /// Gives a query its final answer, if it is open.
    pub(super) fn finish(&mut self, query: QueryId, outcome: QueryOutcome) {
        if self.close(query) {
            self.commands.push(Command::FinishQuery { query, outcome });
        }
    }

    /// Closes a query and cancels its attempts; returns whether it was open.
    pub(super) fn close(&mut self, id: QueryId) -> bool {
        let Some(query) = self.queries.remove(id) else { return false };
        self.query_names.release(self.now, query.name);
        query.parts.into_iter().for_each(|part| self.remove_part(part));
        true
    }

    /// Forgets a part and cancels its attempts.
    pub(super) fn remove_part(&mut self, id: PartId) {
        let Some(part) = self.queries.remove_part(id) else { return };
        for attempt in part.in_flight_attempts() {
            self.cancel_attempt(attempt, Outcome::Cancelled);
        }
    }
}
