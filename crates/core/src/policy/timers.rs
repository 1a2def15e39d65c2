//! Schedules the reviews of queries and the timer for the next one.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use super::Policy;
use crate::api::{Action, Nanos, QueryId};

/// A query that is due for review. Ordered by time, then by query.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct DueReview {
    at: Nanos,
    query: QueryId,
}

#[derive(Debug, Default)]
pub(super) struct Timers {
    reviews: BinaryHeap<Reverse<DueReview>>,
    armed_for: Option<Nanos>,
}

impl Timers {
    pub(super) fn schedule(&mut self, at: Nanos, query: QueryId) {
        self.reviews.push(Reverse(DueReview { at, query }));
    }

    pub(super) fn handle_fired(&mut self) {
        self.armed_for = None;
    }

    /// Removes and returns the queries that are due.
    pub(super) fn pop_due(&mut self, now: Nanos) -> Vec<QueryId> {
        let mut due = Vec::new();
        while let Some(&Reverse(review)) = self.reviews.peek().filter(|review| review.0.at <= now) {
            self.reviews.pop();
            due.push(review.query);
        }
        due
    }

    /// Returns the delay of the timer that the caller must set; `None` if no review is scheduled or an armed
    /// timer fires in time for the next one.
    fn arm(&mut self, now: Nanos) -> Option<Nanos> {
        let next = self.reviews.peek()?.0.at.max(now + 1);
        if self.armed_for.is_some_and(|armed| now < armed && armed <= next) {
            return None;
        }
        self.armed_for = Some(next);
        Some(next - now)
    }
}

impl Policy {
    /// Requests a timer for the next review if none is armed for it.
    pub(super) fn arm_timer(&mut self) {
        let timer = self.timers.arm(self.now).map(|after| Action::SetTimer { after });
        self.actions.extend(timer);
    }
}
