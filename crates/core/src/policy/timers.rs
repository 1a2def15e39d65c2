//! When queries are due for review, and the timer that is set for it.

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

    pub(super) fn fired(&mut self) {
        self.armed_for = None;
    }

    /// Takes out the queries that are due.
    pub(super) fn take_due(&mut self, now: Nanos) -> Vec<QueryId> {
        let mut due = Vec::new();
        while let Some(&Reverse(review)) = self.reviews.peek().filter(|review| review.0.at <= now) {
            self.reviews.pop();
            due.push(review.query);
        }
        due
    }

    /// How long until the next review, if no timer is armed for it yet; the caller arms one.
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
    /// Asks for a timer where the next review needs one.
    pub(super) fn arm_timer(&mut self) {
        let timer = self.timers.arm(self.now).map(|after| Action::SetTimer { after });
        self.actions.extend(timer);
    }
}
