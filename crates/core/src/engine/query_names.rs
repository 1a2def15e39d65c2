//! The names of queries, which data nodes answer by.

use std::collections::{HashSet, VecDeque};

use crate::api::Nanos;

/// The name of a query that has ended.
struct EndedName {
    reusable_at: Nanos,
    name: String,
}

/// The names of open queries, and of those that ended a short while ago: late responses may still carry them.
pub(super) struct QueryNames {
    reserved: HashSet<String>,
    /// Those of ended queries, in the order in which they become reusable.
    ended: VecDeque<EndedName>,
    reuse_delay: Nanos,
}

impl QueryNames {
    /// No names yet. That of a query may be reused `reuse_delay` after its end.
    pub(super) fn new(reuse_delay: Nanos) -> Self {
        Self { reserved: HashSet::new(), ended: VecDeque::new(), reuse_delay }
    }

    /// Whether a query of this name is open, or ended too short a while ago.
    pub(super) fn is_reserved(&self, name: &str) -> bool {
        self.reserved.contains(name)
    }

    /// A query of this name has been opened.
    pub(super) fn reserve(&mut self, name: &str) {
        self.reserved.insert(name.to_string());
    }

    /// The query of this name has ended.
    pub(super) fn release(&mut self, now: Nanos, name: String) {
        let reusable_at = now.saturating_add(self.reuse_delay);
        self.ended.push_back(EndedName { reusable_at, name });
    }

    /// Forgets the names that may be reused by now.
    pub(super) fn forget_reusable(&mut self, now: Nanos) {
        while let Some(ended) = self.ended.front().filter(|ended| ended.reusable_at <= now) {
            self.reserved.remove(&ended.name);
            self.ended.pop_front();
        }
    }
}
