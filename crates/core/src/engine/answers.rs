//! Ends queries: with an answer from the values received so far, as rejected, as failed, or on client disconnect.

use super::command::Command;
use super::outcome::{QueryOutcome, Row};
use super::query_table::{Query, QueryPhase};
use super::second_phase::ScoredShard;
use super::Engine;
use crate::api::{Class, Event, Outcome, PartId, QueryId};

/// Sums of weights may fall short of a bound by this much.
const COVERAGE_TOLERANCE: f64 = 1e-4;

/// The coverage that a query's class requires of a phase's answer, as shares of the phase's weight.
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

/// The values received for the parts of a phase.
#[derive(Default)]
struct CollectedValues {
    rows: Vec<Row>,
    scored: Vec<ScoredShard>,
    coverage: f64,
}

impl Engine {
    /// Ends the current phase of a query with the values received so far. The result is marked complete only if the
    /// policy marks it so and the coverage meets the requirement of the class. The query fails if its class does not
    /// allow the answer.
    pub(super) fn answer(&mut self, id: QueryId, complete: bool) {
        let Some(query) = self.queries.get(id) else { return };
        let class = &self.deployment.settings.classes[query.class.0];
        let required = RequiredCoverage::of(class, query.phase);
        let CollectedValues { rows, scored, coverage } = self.collect_values(query);
        if rows.is_empty() || !required.allows_answer(coverage) {
            return self.fail_despite_policy(id);
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

    /// Fails the queries that are still open when their deadline and grace period have passed.
    pub(super) fn fail_overdue_queries(&mut self) {
        while let Some(id) = self.deadlines.queries.pop_due(self.now) {
            if self.queries.contains(id) {
                self.fail_despite_policy(id);
            }
        }
    }

    /// Fails a query that the policy left open or answered in a way that its class does not allow. The disconnect event
    /// makes the policy forget the query.
    fn fail_despite_policy(&mut self, id: QueryId) {
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
        self.query_names.release(self.now, &query.name);
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
