//! What was learnt of ranges from earlier answers: the last version known of each range's data, and for a query's
//! shape the bounds of a range at that version. A range that is missing is bounded by it, and by nothing else.
//!
//! One bounded table. Entries go by age, by size (the one least recently learnt first), when a newer version of
//! their range is seen, when a data node of the range starts anew (what comes then may be older), and when a range
//! says two things of one version.

use std::collections::{BTreeMap, HashMap};

use crate::aggregate::Aggregate;
use crate::range_bounds::RangeBounds;
use crate::{Range, Version};

/// Nanoseconds of one clock that never runs backwards.
pub type Nanos = u64;

/// The shape of a query: [`crate::query::Query::digest`].
pub type Shape = [u8; 16];

/// What is remembered of a range for a query's shape.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RangeSummary {
    /// Its figures.
    Total(Aggregate),
    /// Between what its rows lie.
    Rows(RangeBounds),
}

/// Bounds of the table.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CacheLimits {
    /// Entries.
    pub max_entries: usize,
    /// Ranges of which a version is kept.
    pub max_ranges: usize,
    /// An entry is forgotten after this.
    pub max_age_ns: Nanos,
}

/// What has happened to the table.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct CacheCounts {
    /// A missing range was bounded.
    pub hits: u64,
    /// It was not.
    pub misses: u64,
    /// Entries that went by size or age.
    pub evicted: u64,
    /// Entries that went since their data changed or may be older now.
    pub outdated: u64,
    /// A range said two things of one version.
    pub contradictions: u64,
}

struct Entry {
    version: Version,
    fact: RangeSummary,
    at: Nanos,
    turn: u64,
}

/// The table.
pub struct RangeCache {
    limits: CacheLimits,
    versions: BTreeMap<Range, Version>,
    entries: HashMap<(Shape, Range), Entry>,
    /// By the turn in which they were last learnt.
    turns: BTreeMap<u64, (Shape, Range)>,
    next: u64,
    counts: CacheCounts,
}

impl RangeCache {
    /// An empty table.
    pub fn new(limits: CacheLimits) -> Self {
        Self {
            limits,
            versions: BTreeMap::new(),
            entries: HashMap::new(),
            turns: BTreeMap::new(),
            next: 0,
            counts: CacheCounts::default(),
        }
    }

    /// What has happened so far.
    pub fn counts(&self) -> CacheCounts {
        self.counts
    }

    /// Entries held.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether nothing is held.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// A range's data was seen at this version.
    pub fn observe_version(&mut self, range: Range, version: Version) {
        if range as usize >= self.limits.max_ranges {
            return;
        }
        let known = self.versions.entry(range).or_insert(version);
        *known = (*known).max(version);
    }

    /// What a range said at a version.
    pub fn insert(&mut self, now: Nanos, shape: Shape, range: Range, version: Version, fact: RangeSummary) {
        self.observe_version(range, version);
        if self.versions.get(&range) != Some(&version) {
            return; // Of an older replica: it bounds nothing.
        }
        if self
            .entries
            .get(&(shape, range))
            .is_some_and(|e| e.version == version && !is_consistent(&e.fact, &fact))
        {
            // Neither can be trusted.
            self.counts.contradictions += 1;
            self.remove_entry(&(shape, range));
            return;
        }
        self.remove_entry(&(shape, range));
        let turn = self.next;
        self.next += 1;
        self.turns.insert(turn, (shape, range));
        self.entries.insert((shape, range), Entry { version, fact, at: now, turn });
        while self.entries.len() > self.limits.max_entries {
            let Some((_, &oldest)) = self.turns.first_key_value() else { break };
            self.counts.evicted += 1;
            self.remove_entry(&oldest);
        }
    }

    /// What is known of a missing range, and at which version: the last one that was seen of its data.
    pub fn get(&mut self, now: Nanos, shape: Shape, range: Range) -> Option<(Version, RangeSummary)> {
        let key = (shape, range);
        let found = self.entries.get(&key).map(|e| (e.version, e.fact, e.at));
        let Some((version, fact, at)) = found else {
            self.counts.misses += 1;
            return None;
        };
        let old = now.saturating_sub(at) > self.limits.max_age_ns;
        let outdated = self.versions.get(&range).is_some_and(|&last| last != version);
        if old || outdated {
            match old {
                true => self.counts.evicted += 1,
                false => self.counts.outdated += 1,
            }
            self.counts.misses += 1;
            self.remove_entry(&key);
            return None;
        }
        self.counts.hits += 1;
        Some((version, fact))
    }

    /// A data node that holds this range has started anew: its data may be older than what was seen.
    pub fn invalidate_range(&mut self, range: Range) {
        self.versions.remove(&range);
        let keys: Vec<_> = self.entries.keys().filter(|k| k.1 == range).copied().collect();
        for key in keys {
            self.counts.outdated += 1;
            self.remove_entry(&key);
        }
    }

    fn remove_entry(&mut self, key: &(Shape, Range)) {
        if let Some(entry) = self.entries.remove(key) {
            self.turns.remove(&entry.turn);
        }
    }
}

/// Whether two facts of one version can both be true. Totals and the best row must be the same; how far a value
/// reached depends on the limit.
fn is_consistent(a: &RangeSummary, b: &RangeSummary) -> bool {
    match (a, b) {
        (RangeSummary::Total(a), RangeSummary::Total(b)) => a == b,
        (
            RangeSummary::Rows(RangeBounds::Within(l1, h1)),
            RangeSummary::Rows(RangeBounds::Within(l2, h2)),
        ) => l1.zip(*l2).is_none_or(|(a, b)| a == b) || h1.zip(*h2).is_none_or(|(a, b)| a == b),
        (RangeSummary::Rows(a), RangeSummary::Rows(b)) => {
            (*a == RangeBounds::Empty) == (*b == RangeBounds::Empty)
        }
        _ => false,
    }
}

#[cfg(test)]
mod tests;
