//! Attempts by outcome.

use curlewdeck_core::api::Outcome;

/// The outcomes of attempts with their names, in the order in which they are counted and stored.
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

/// An outcome's index in [`ATTEMPT_OUTCOMES`].
fn outcome_index(outcome: Outcome) -> usize {
    ATTEMPT_OUTCOMES.iter().position(|o| o.0 == outcome).unwrap_or(ATTEMPT_OUTCOMES.len() - 1)
}

/// How many attempts were started and how they ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct AttemptCounts {
    /// Started.
    pub started: u64,
    /// Of them: not the first one of their part.
    pub retries: u64,
    /// Of them: started while another one of their part was in flight.
    pub hedges: u64,
    /// Ended, in the order of [`ATTEMPT_OUTCOMES`].
    pub ended: [u64; ATTEMPT_OUTCOMES.len()],
}

impl AttemptCounts {
    /// Counts an attempt that starts, by its number in its part (0 is the first one).
    pub(crate) fn record_start(&mut self, number: u32, hedge: bool) {
        self.started += 1;
        self.retries += u64::from(number > 0);
        self.hedges += u64::from(hedge);
    }

    /// Counts an attempt that has ended.
    pub(crate) fn record_end(&mut self, outcome: Outcome) {
        self.ended[outcome_index(outcome)] += 1;
    }

    /// All that have ended.
    pub fn total_ended(&self) -> u64 {
        self.ended.iter().sum()
    }

    /// Those that are in flight.
    pub fn in_flight(&self) -> u64 {
        self.started - self.total_ended()
    }

    /// Those that ended with this outcome.
    pub fn ended_with(&self, outcome: Outcome) -> u64 {
        self.ended[outcome_index(outcome)]
    }
}
