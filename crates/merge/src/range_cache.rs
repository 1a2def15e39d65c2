//! A bounded cache of what earlier answers told of ranges: the last known version of each range's data and, by query,
//! a summary of the range at that version. It bounds ranges that are missing from later answers.
//!
//! An entry is evicted by age and by size (least recently inserted first), and invalidated when a newer version of its
//! range is seen, when a data node of the range restarts (its data may be older), and when two summaries of one
//! version contradict each other.

use std::collections::{BTreeMap, HashMap};

use crate::aggregate::Aggregate;
use crate::range_bounds::RangeBounds;
use crate::{Range, Version};

/// Nanoseconds of a monotonic clock.
pub type Nanos = u64;

/// The shape of a query: [`crate::query::Query::digest`].
pub type Shape = [u8; 16];

/// What the cache holds of a range for one query.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RangeSummary {
    /// The aggregate of its rows.
    Total(Aggregate),
    /// The bounds of the measures of its rows.
    Rows(RangeBounds),
}

/// Limits of the cache.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CacheLimits {
    /// Entries that it holds.
    pub max_entries: usize,
    /// Ranges whose version it keeps.
    pub max_ranges: usize,
    /// The age at which an entry is evicted, in nanoseconds.
    pub max_age_ns: Nanos,
}

/// Counters of the cache.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct CacheCounts {
    /// Lookups that found an entry.
    pub hits: u64,
    /// Lookups that did not.
    pub misses: u64,
    /// Entries evicted by size or age.
    pub evicted: u64,
    /// Entries invalidated because their data has changed or may be older now.
    pub outdated: u64,
    /// Contradicting summaries of one version.
    pub contradictions: u64,
}

struct Entry {
    version: Version,
    summary: RangeSummary,
    inserted_at: Nanos,
    sequence: u64,
}

/// The cache.
pub struct RangeCache {
    limits: CacheLimits,
    versions: BTreeMap<Range, Version>,
    entries: HashMap<(Shape, Range), Entry>,
    /// The keys of the entries by sequence number: the least recently inserted first.
    by_recency: BTreeMap<u64, (Shape, Range)>,
    next_sequence: u64,
    counts: CacheCounts,
}

impl RangeCache {
    /// An empty cache.
    pub fn new(limits: CacheLimits) -> Self {
        Self {
            limits,
            versions: BTreeMap::new(),
            entries: HashMap::new(),
            by_recency: BTreeMap::new(),
            next_sequence: 0,
            counts: CacheCounts::default(),
        }
    }

    /// The counters so far.
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

    /// Records that a range's data was seen at this version.
    pub fn observe_version(&mut self, range: Range, version: Version) {
        if range as usize >= self.limits.max_ranges {
            return;
        }
        let known = self.versions.entry(range).or_insert(version);
        *known = (*known).max(version);
    }

    /// Inserts the summary of a range at a version.
    pub fn insert(
        &mut self,
        now: Nanos,
        shape: Shape,
        range: Range,
        version: Version,
        summary: RangeSummary,
    ) {
        self.observe_version(range, version);
        if self.versions.get(&range) != Some(&version) {
            return; // From a replica with older data: it bounds nothing.
        }
        if self
            .entries
            .get(&(shape, range))
            .is_some_and(|e| e.version == version && !is_consistent(&e.summary, &summary))
        {
            // Neither can be trusted.
            self.counts.contradictions += 1;
            self.remove_entry(&(shape, range));
            return;
        }
        self.remove_entry(&(shape, range));
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        self.by_recency.insert(sequence, (shape, range));
        self.entries.insert((shape, range), Entry { version, summary, inserted_at: now, sequence });
        while self.entries.len() > self.limits.max_entries {
            let Some((_, &oldest)) = self.by_recency.first_key_value() else { break };
            self.counts.evicted += 1;
            self.remove_entry(&oldest);
        }
    }

    /// The summary of a range and its version, which is the last one that was seen of its data.
    pub fn get(&mut self, now: Nanos, shape: Shape, range: Range) -> Option<(Version, RangeSummary)> {
        let key = (shape, range);
        let found = self.entries.get(&key).map(|e| (e.version, e.summary, e.inserted_at));
        let Some((version, summary, inserted_at)) = found else {
            self.counts.misses += 1;
            return None;
        };
        let old = now.saturating_sub(inserted_at) > self.limits.max_age_ns;
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
        Some((version, summary))
    }

    /// Drops what is known of a range: a data node that holds it has restarted, and its data may be older.
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
            self.by_recency.remove(&entry.sequence);
        }
    }
}

/// Whether two summaries of one version can both be true. Totals and the best row must be the same; how far a value
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
