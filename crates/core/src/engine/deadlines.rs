//! When the engine has to act with nothing else happening.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use super::attempt_table::AttemptId;
use crate::api::{Nanos, QueryId};

/// What is due at a time. Ordered by time first.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Deadline<K> {
    at: Nanos,
    key: K,
}

/// Keys by the time at which they are due. A key whose matter is settled stays until it is due or
/// [`DeadlineQueue::discard_settled`] removes it.
pub(super) struct DeadlineQueue<K>(BinaryHeap<Reverse<Deadline<K>>>);

impl<K: Ord + Copy> DeadlineQueue<K> {
    fn new() -> Self {
        Self(BinaryHeap::new())
    }

    pub(super) fn push(&mut self, at: Nanos, key: K) {
        self.0.push(Reverse(Deadline { at, key }));
    }

    /// Removes the earliest key that is due by `now`.
    pub(super) fn pop_due(&mut self, now: Nanos) -> Option<K> {
        if self.next()? > now {
            return None;
        }
        self.0.pop().map(|Reverse(deadline)| deadline.key)
    }

    /// Removes keys from the front up to the first one that is not settled yet.
    pub(super) fn discard_settled(&mut self, is_settled: impl Fn(K) -> bool) {
        while self.0.peek().is_some_and(|Reverse(deadline)| is_settled(deadline.key)) {
            self.0.pop();
        }
    }

    /// When the earliest key is due.
    pub(super) fn next(&self) -> Option<Nanos> {
        self.0.peek().map(|Reverse(deadline)| deadline.at)
    }

    #[cfg(test)]
    pub(super) fn clear(&mut self) {
        self.0.clear();
    }
}

/// All deadlines of the engine.
pub(super) struct Deadlines {
    /// Timers that the policy has set.
    pub(super) policy_timers: DeadlineQueue<()>,
    /// When attempts time out.
    pub(super) attempts: DeadlineQueue<AttemptId>,
    /// When the engine itself ends queries that the policy has left open.
    pub(super) queries: DeadlineQueue<QueryId>,
}

impl Deadlines {
    pub(super) fn new() -> Self {
        Self {
            policy_timers: DeadlineQueue::new(),
            attempts: DeadlineQueue::new(),
            queries: DeadlineQueue::new(),
        }
    }

    /// The earliest of all deadlines.
    pub(super) fn next(&self) -> Option<Nanos> {
        let deadlines = [self.policy_timers.next(), self.attempts.next(), self.queries.next()];
        deadlines.into_iter().flatten().min()
    }
}
