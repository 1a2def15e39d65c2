//! A bounded cache of range summaries from earlier answers: the last known version of each range's data and, for each
//! query, a summary of the range at that version. The summaries bound ranges that are missing from later answers.
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

/// Digest that identifies a query regardless of its limit: [`crate::query::Query::digest`].
pub type QueryDigest = [u8; 16];

/// The cached summary of a range for one query.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RangeSummary {
    /// Aggregate of the range's rows.
    Total(Aggregate),
    /// Bounds of the measures of the range's rows.
    Rows(RangeBounds),
}

/// Size and age limits of the cache.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CacheLimits {
    /// Maximum number of entries.
    pub max_entries: usize,
    /// Number of ranges whose version is recorded; ranges with a greater index are not cached.
    pub max_ranges: usize,
    /// Maximum age of an entry, in nanoseconds; checked on lookup.
    pub max_age_ns: Nanos,
}

/// Counters of the cache since its creation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct CacheCounts {
    /// Lookups that found an entry.
    pub hits: u64,
    /// Lookups that found no valid entry.
    pub misses: u64,
    /// Entries evicted because of the size or age limit.
    pub evicted: u64,
    /// Entries invalidated because the data has changed, or may be older after a restart.
    pub invalidated: u64,
    /// Conflicts between two summaries of the same version.
    pub contradictions: u64,
}

struct Entry {
    version: Version,
    summary: RangeSummary,
    inserted_at: Nanos,
    sequence: u64,
}

/// A cache of range summaries, limited in size and in the age of its entries.
pub struct RangeCache {
    limits: CacheLimits,
    versions: BTreeMap<Range, Version>,
    entries: HashMap<(QueryDigest, Range), Entry>,
    /// Keys of the entries by sequence number, least recently inserted first.
    by_recency: BTreeMap<u64, (QueryDigest, Range)>,
    next_sequence: u64,
    counts: CacheCounts,
}

impl RangeCache {
    /// Creates an empty cache.
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

    /// The current values of the counters.
    pub fn counts(&self) -> CacheCounts {
        self.counts
    }

    /// The number of entries, including expired ones that have not been looked up since.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether the cache has no entries.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Records that a range's data was seen at `version`, unless a newer version is known.
    pub fn observe_version(&mut self, range: Range, version: Version) {
        if range as usize >= self.limits.max_ranges {
            return;
        }
        let known = self.versions.entry(range).or_insert(version);
        *known = (*known).max(version);
    }

    /// Inserts the summary of a range at a version. Ignores summaries of versions older than the last known one.
    pub fn insert(
        &mut self,
        now: Nanos,
        digest: QueryDigest,
        range: Range,
        version: Version,
        summary: RangeSummary,
    ) {
        self.observe_version(range, version);
        if self.versions.get(&range) != Some(&version) {
            return; // The replica has older data, which gives no valid bounds.
        }
        if self
            .entries
            .get(&(digest, range))
            .is_some_and(|e| e.version == version && !is_consistent(&e.summary, &summary))
        {
            // It is unknown which of the two is correct, so neither is kept.
            self.counts.contradictions += 1;
            self.remove_entry(&(digest, range));
            return;
        }
        self.remove_entry(&(digest, range));
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        self.by_recency.insert(sequence, (digest, range));
        self.entries.insert((digest, range), Entry { version, summary, inserted_at: now, sequence });
        while self.entries.len() > self.limits.max_entries {
            let Some((_, &oldest)) = self.by_recency.first_key_value() else { break };
            self.counts.evicted += 1;
            self.remove_entry(&oldest);
        }
    }

    /// The summary of a range and its version, if that is still the last known version of the range's data.
    pub fn get(&mut self, now: Nanos, digest: QueryDigest, range: Range) -> Option<(Version, RangeSummary)> {
        let key = (digest, range);
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
                false => self.counts.invalidated += 1,
            }
            self.counts.misses += 1;
            self.remove_entry(&key);
            return None;
        }
        self.counts.hits += 1;
        Some((version, summary))
    }

    /// Removes the version and all entries of a range. Called when a data node that holds the range has restarted,
    /// since its data may be older than the last known version.
    pub fn invalidate_range(&mut self, range: Range) {
        self.versions.remove(&range);
        let keys: Vec<_> = self.entries.keys().filter(|k| k.1 == range).copied().collect();
        for key in keys {
            self.counts.invalidated += 1;
            self.remove_entry(&key);
        }
    }

    fn remove_entry(&mut self, key: &(QueryDigest, Range)) {
        if let Some(entry) = self.entries.remove(key) {
            self.by_recency.remove(&entry.sequence);
        }
    }
}

/// Whether two summaries of one version can both be correct. Totals and the measure of the best row must be equal; the
/// other bound depends on how many rows the query's limit allowed.
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
