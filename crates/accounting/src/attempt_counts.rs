//! Counts of attempts by outcome.

use curlewdeck_core::api::Outcome;

/// The outcomes of attempts and their names in logs and in the MIB, in the order of stored counts.
pub const ATTEMPT_OUTCOMES: [(Outcome, &str); 9] = [
    (Outcome::Success, "pass"),
    (Outcome::ServerError, "fault"),
    (Outcome::Rejected, "noRoom"),
    (Outcome::TimedOut, "tooSlow"),
    (Outcome::ConnectFailed, "noRoute"),
    (Outcome::ConnectionReset, "cut"),
    (Outcome::MalformedResponse, "spoilt"),
    (Outcome::Cancelled, "undone"),
    (Outcome::NotSent, "staleSend"),
];

/// Index of an outcome in [`ATTEMPT_OUTCOMES`].
fn outcome_index(outcome: Outcome) -> usize {
    ATTEMPT_OUTCOMES.iter().position(|o| o.0 == outcome).unwrap_or(ATTEMPT_OUTCOMES.len() - 1)
}

/// Counts of attempts started and ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct AttemptCounts {
    /// Attempts started, including retries and hedges.
    pub started: u64,
    /// Attempts started after the first one of their part; hedges included.
    pub retries: u64,
    /// Attempts started while an earlier attempt of the same part was in flight.
    pub hedges: u64,
    /// Attempts ended, by outcome in the order of [`ATTEMPT_OUTCOMES`].
    pub ended: [u64; ATTEMPT_OUTCOMES.len()],
}

impl AttemptCounts {
    /// Counts the start of an attempt; `number` is its number in its part, from 0.
    pub(crate) fn record_start(&mut self, number: u32, hedge: bool) {
        self.started += 1;
        self.retries += u64::from(number > 0);
        self.hedges += u64::from(hedge);
    }

    /// Counts the end of an attempt.
    pub(crate) fn record_end(&mut self, outcome: Outcome) {
        self.ended[outcome_index(outcome)] += 1;
    }

    /// Number of attempts that have ended, with any outcome.
    pub fn total_ended(&self) -> u64 {
        self.ended.iter().sum()
    }

    /// Number of attempts started but not ended.
    pub fn in_flight(&self) -> u64 {
        self.started - self.total_ended()
    }

    /// Number of attempts that ended with this outcome.
    pub fn ended_with(&self, outcome: Outcome) -> u64 {
        self.ended[outcome_index(outcome)]
    }
}
