//! Names of parts whose attempts on a connection are over: their answers may come late or twice.

use std::collections::VecDeque;

/// Why an attempt is over.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum CloseReason {
    Cancelled,
    Answered,
}

#[derive(Debug)]
struct ClosedAttempt {
    part_name: String,
    reason: CloseReason,
}

/// The attempts of one connection that are over, the latest last.
#[derive(Debug, Default)]
pub(super) struct ClosedAttempts(VecDeque<ClosedAttempt>);

impl ClosedAttempts {
    /// Adds one; forgets the earliest if there are `limit` already.
    pub(super) fn add(&mut self, part_name: String, reason: CloseReason, limit: usize) {
        if self.0.len() >= limit {
            self.0.pop_front();
        }
        self.0.push_back(ClosedAttempt { part_name, reason });
    }

    /// Why this part's attempt is over, if it is remembered.
    pub(super) fn reason(&self, part_name: &str) -> Option<CloseReason> {
        self.0.iter().find(|closed| closed.part_name == part_name).map(|closed| closed.reason)
    }

    /// Notes that a cancelled attempt was answered all the same.
    pub(super) fn mark_answered(&mut self, part_name: &str) {
        if let Some(closed) = self.0.iter_mut().find(|closed| closed.part_name == part_name) {
            closed.reason = CloseReason::Answered;
        }
    }

    /// Whether a cancelled attempt may still be answered.
    pub(super) fn expects_answer(&self) -> bool {
        self.0.iter().any(|closed| closed.reason == CloseReason::Cancelled)
    }
}
