//! The parts whose attempts on a connection have ended; their answers may arrive late or twice.

use std::collections::VecDeque;

/// Why an attempt has ended.
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

/// The attempts that have ended on one connection, most recent last.
#[derive(Debug, Default)]
pub(super) struct ClosedAttempts(VecDeque<ClosedAttempt>);

impl ClosedAttempts {
    /// Adds an attempt; removes the oldest one if there are already `limit`.
    pub(super) fn add(&mut self, part_name: String, reason: CloseReason, limit: usize) {
        if self.0.len() >= limit {
            self.0.pop_front();
        }
        self.0.push_back(ClosedAttempt { part_name, reason });
    }

    /// Why this part's attempt has ended; `None` if it is not recorded.
    pub(super) fn reason(&self, part_name: &str) -> Option<CloseReason> {
        self.0.iter().find(|closed| closed.part_name == part_name).map(|closed| closed.reason)
    }

    /// Records that a cancelled attempt was answered nevertheless.
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
