//! Times at which the engine acts without an event.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use super::attempt_table::AttemptId;
use crate::api::{Nanos, QueryId};

/// Keys that may be queued for each open attempt or query, ended ones included, before the ended ones are removed...
const MAX_KEYS_PER_OPEN: usize = 4;
/// ...and keys that may be queued in any case.
const MIN_DISCARDED: usize = 1024;

/// A key and the time at which it is due. Ordered by time first.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Deadline<K> {
    at: Nanos,
    key: K,
}

/// A priority queue of keys by the time at which they are due. A key whose attempt or query has ended stays until it is
/// due or [`DeadlineQueue::discard_ended`] removes it.
pub(super) struct DeadlineQueue<K>(BinaryHeap<Reverse<Deadline<K>>>);

impl<K: Ord + Copy> DeadlineQueue<K> {
    fn new() -> Self {
        Self(BinaryHeap::new())
    }

    pub(super) fn push(&mut self, at: Nanos, key: K) {
        self.0.push(Reverse(Deadline { at, key }));
    }

    /// Removes and returns the earliest key if it is due by `now`.
    pub(super) fn pop_due(&mut self, now: Nanos) -> Option<K> {
        if self.next()? > now {
            return None;
        }
        self.0.pop().map(|Reverse(deadline)| deadline.key)
    }

    /// Removes keys from the front of the queue up to the first one that has not ended, and all that have ended if
    /// they outnumber the `open` ones: a client may set deadlines that are far away, and end its queries at once.
    pub(super) fn discard_ended(&mut self, open: usize, has_ended: impl Fn(K) -> bool) {
        while self.0.peek().is_some_and(|Reverse(deadline)| has_ended(deadline.key)) {
            self.0.pop();
        }
        if self.0.len() > MAX_KEYS_PER_OPEN * open + MIN_DISCARDED {
            self.0.retain(|Reverse(deadline)| !has_ended(deadline.key));
        }
    }

    #[cfg(test)]
    pub(super) fn len(&self) -> usize {
        self.0.len()
    }

    /// Returns the time at which the earliest key is due.
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
    /// Timers set by the policy.
    pub(super) policy_timers: DeadlineQueue<()>,
    /// Timeouts of attempts.
    pub(super) attempts: DeadlineQueue<AttemptId>,
    /// Times at which the engine fails queries that the policy has left open.
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
