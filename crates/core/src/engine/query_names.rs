//! The names of queries: responses are matched to queries by name.

use std::collections::{HashSet, VecDeque};

use crate::api::Nanos;

/// The name of a query that has ended.
struct EndedName {
    reusable_at: Nanos,
    name: String,
}

/// The names of open queries and of queries that ended recently: late responses may still carry those names.
pub(super) struct QueryNames {
    reserved: HashSet<String>,
    /// Names of ended queries, in the order in which they become reusable.
    ended: VecDeque<EndedName>,
    reuse_delay: Nanos,
}

impl QueryNames {
    /// Creates an empty set. A name may be reused `reuse_delay` after its query has ended.
    pub(super) fn new(reuse_delay: Nanos) -> Self {
        Self { reserved: HashSet::new(), ended: VecDeque::new(), reuse_delay }
    }

    /// Returns whether a query with this name is open, or ended less than `reuse_delay` ago.
    pub(super) fn is_reserved(&self, name: &str) -> bool {
        self.reserved.contains(name)
    }

    /// Reserves the name of a query that is being opened.
    pub(super) fn reserve(&mut self, name: &str) {
        self.reserved.insert(name.to_string());
    }

    /// Makes the name of an ended query reusable after `reuse_delay`.
    pub(super) fn release(&mut self, now: Nanos, name: String) {
        let reusable_at = now.saturating_add(self.reuse_delay);
        self.ended.push_back(EndedName { reusable_at, name });
    }

    /// Releases the names that may be reused at `now`.
    pub(super) fn forget_reusable(&mut self, now: Nanos) {
        while let Some(ended) = self.ended.front().filter(|ended| ended.reusable_at <= now) {
            self.reserved.remove(&ended.name);
            self.ended.pop_front();
        }
    }
}
