//! Coverage: the share of a query's weight that is complete, and the share that an answer requires.

use super::part::Part;
use super::query::{Query, QueryPhase};
use super::Policy;

/// Tolerance for rounding errors in sums of weights.
pub(super) const COVERAGE_TOLERANCE: f64 = 5e-5;

impl Policy {
    /// Returns the coverage that completes the query's current phase.
    pub(super) fn required_coverage(&self, query: &Query) -> f64 {
        let complete = match query.phase {
            QueryPhase::First => self.settings.classes[query.class.0].complete_coverage,
            QueryPhase::Second => 1.0,
        };
        complete - COVERAGE_TOLERANCE
    }

    /// Returns the total weight of a query's parts that satisfy the predicate.
    pub(super) fn coverage(&self, query: &Query, predicate: impl Fn(&Part) -> bool) -> f64 {
        let parts = query.parts.iter().map(|id| &self.parts[id]);
        parts.filter(|part| predicate(part)).map(|part| part.weight).sum()
    }

    pub(super) fn completed_coverage(&self, query: &Query) -> f64 {
        self.coverage(query, |part| part.complete)
    }

    /// Whether a partial answer is due: the latency objective is about to end, and the partial answer earns
    /// no less than a late complete one.
    pub(super) fn is_partial_answer_due(&self, query: &Query) -> bool {
        let class = &self.settings.classes[query.class.0];
        let is_last_phase = class.second_phase_parts == 0 || query.phase == QueryPhase::Second;
        let may_be_partial = class.min_coverage < class.complete_coverage;
        if self.now < self.timely_answer_by(query) || !is_last_phase || !may_be_partial {
            return false;
        }
        let completed = self.completed_coverage(query);
        let share = (completed / class.complete_coverage.max(COVERAGE_TOLERANCE)).min(1.0);
        completed >= class.min_coverage.max(COVERAGE_TOLERANCE)
            && class.partial_value_ratio.unwrap_or(1.0) * share >= class.late_value_ratio
    }

    /// Whether the completed parts suffice for a partial answer when the query is given up.
    pub(super) fn is_partial_answer_possible(&self, query: &Query) -> bool {
        let class = &self.settings.classes[query.class.0];
        let may_be_partial = class.min_coverage < class.complete_coverage
            || query.phase == QueryPhase::Second && class.min_coverage < 1.0;
        may_be_partial
            && query.is_running()
            && self.completed_coverage(query) >= class.min_coverage.max(COVERAGE_TOLERANCE)
    }

    /// Whether too few parts can still complete for any answer.
    pub(super) fn is_unanswerable(&self, query: &Query, is_poison: bool) -> bool {
        let class = &self.settings.classes[query.class.0];
        let min_coverage = if class.min_coverage < class.complete_coverage {
            class.min_coverage - COVERAGE_TOLERANCE
        } else {
            self.required_coverage(query)
        };
        let may_complete = |part: &Part| {
            part.complete || part.is_in_flight() || !is_poison && self.may_retry(part, query.class)
        };
        self.coverage(query, may_complete) < min_coverage
    }
}
