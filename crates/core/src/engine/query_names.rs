//! The names of queries: responses are matched to queries by name.

use std::collections::hash_map::RandomState;
use std::collections::{HashSet, VecDeque};
use std::hash::BuildHasher;

use crate::api::Nanos;

/// Most names of ended queries that are kept. A client chooses how many names it sends in `reuse_delay`, and the memory
/// for them must not grow with that.
const MAX_ENDED_NAMES: usize = 16 * 1024;

/// The hash of a name, with keys that no client knows. Names are long and chosen by clients, so they are not stored.
type NameHash = u64;

/// The name of a query that has ended.
struct EndedName {
    reusable_at: Nanos,
    name: NameHash,
}

/// The names of open queries and of queries that ended recently: late responses may still carry those names.
pub(super) struct QueryNames {
    hasher: RandomState,
    reserved: HashSet<NameHash>,
    /// Names of ended queries, in the order in which they become reusable.
    ended: VecDeque<EndedName>,
    reuse_delay: Nanos,
}

impl QueryNames {
    /// Creates an empty set. A name may be reused `reuse_delay` after its query has ended.
    pub(super) fn new(reuse_delay: Nanos) -> Self {
        Self { hasher: RandomState::new(), reserved: HashSet::new(), ended: VecDeque::new(), reuse_delay }
    }

    /// Returns whether a query with this name is open, or ended less than `reuse_delay` ago.
    pub(super) fn is_reserved(&self, name: &str) -> bool {
        self.reserved.contains(&self.hasher.hash_one(name))
    }

    /// Reserves the name of a query that is being opened.
    pub(super) fn reserve(&mut self, name: &str) {
        self.reserved.insert(self.hasher.hash_one(name));
    }

    /// Makes the name of an ended query reusable after `reuse_delay`. If too many names are kept, the earliest one becomes
    /// reusable sooner.
    pub(super) fn release(&mut self, now: Nanos, name: &str) {
        if self.ended.len() >= MAX_ENDED_NAMES {
            self.forget_earliest();
        }
        let (reusable_at, name) = (now.saturating_add(self.reuse_delay), self.hasher.hash_one(name));
        self.ended.push_back(EndedName { reusable_at, name });
    }

    /// Releases the names that may be reused at `now`.
    pub(super) fn forget_reusable(&mut self, now: Nanos) {
        while self.ended.front().is_some_and(|ended| ended.reusable_at <= now) {
            self.forget_earliest();
        }
    }

    fn forget_earliest(&mut self) {
        if let Some(ended) = self.ended.pop_front() {
            self.reserved.remove(&ended.name);
        }
    }
}

#[cfg(test)]
mod tests;
