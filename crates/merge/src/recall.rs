//! What was learnt of ranges from earlier answers: the last version known of each range's data, and for a query's
//! shape the bounds of a range at that version. A range that is missing is bounded by it, and by nothing else.
//!
//! One bounded table. Entries go by age, by size (the one least recently learnt first), when a newer version of
//! their range is seen, when a data node of the range starts anew (what comes then may be older), and when a range
//! says two things of one version.

use std::collections::{BTreeMap, HashMap};

use crate::fold::Fold;
use crate::rank::Known;
use crate::{Range, Version};

/// Nanoseconds of one clock that never runs backwards.
pub type Nanos = u64;

/// The shape of a query: [`crate::query::Query::digest`].
pub type Shape = [u8; 16];

/// What is remembered of a range for a query's shape.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fact {
    /// Its figures.
    Total(Fold),
    /// Between what its rows lie.
    Rows(Known),
}

/// Bounds of the table.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Bounds {
    /// Entries.
    pub entries: usize,
    /// Ranges of which a version is kept.
    pub ranges: usize,
    /// An entry is forgotten after this.
    pub age: Nanos,
}

/// What has happened to the table.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Counts {
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
    fact: Fact,
    at: Nanos,
    turn: u64,
}

/// The table.
pub struct Recall {
    bounds: Bounds,
    versions: BTreeMap<Range, Version>,
    entries: HashMap<(Shape, Range), Entry>,
    /// By the turn in which they were last learnt.
    turns: BTreeMap<u64, (Shape, Range)>,
    next: u64,
    counts: Counts,
}

impl Recall {
    /// An empty table.
    pub fn new(bounds: Bounds) -> Self {
        Self {
            bounds,
            versions: BTreeMap::new(),
            entries: HashMap::new(),
            turns: BTreeMap::new(),
            next: 0,
            counts: Counts::default(),
        }
    }

    /// What has happened so far.
    pub fn counts(&self) -> Counts {
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
    pub fn seen(&mut self, range: Range, version: Version) {
        if range as usize >= self.bounds.ranges {
            return;
        }
        let known = self.versions.entry(range).or_insert(version);
        *known = (*known).max(version);
    }

    /// What a range said at a version.
    pub fn learn(&mut self, now: Nanos, shape: Shape, range: Range, version: Version, fact: Fact) {
        self.seen(range, version);
        if self.versions.get(&range) != Some(&version) {
            return; // Of an older replica: it bounds nothing.
        }
        if self.entries.get(&(shape, range)).is_some_and(|e| e.version == version && !fits(&e.fact, &fact)) {
            // Neither can be trusted.
            self.counts.contradictions += 1;
            self.forget(&(shape, range));
            return;
        }
        self.forget(&(shape, range));
        let turn = self.next;
        self.next += 1;
        self.turns.insert(turn, (shape, range));
        self.entries.insert((shape, range), Entry { version, fact, at: now, turn });
        while self.entries.len() > self.bounds.entries {
            let Some((_, &oldest)) = self.turns.first_key_value() else { break };
            self.counts.evicted += 1;
            self.forget(&oldest);
        }
    }

    /// What is known of a missing range, and at which version: the last one that was seen of its data.
    pub fn recall(&mut self, now: Nanos, shape: Shape, range: Range) -> Option<(Version, Fact)> {
        let key = (shape, range);
        let found = self.entries.get(&key).map(|e| (e.version, e.fact, e.at));
        let Some((version, fact, at)) = found else {
            self.counts.misses += 1;
            return None;
        };
        let old = now.saturating_sub(at) > self.bounds.age;
        let outdated = self.versions.get(&range).is_some_and(|&last| last != version);
        if old || outdated {
            match old {
                true => self.counts.evicted += 1,
                false => self.counts.outdated += 1,
            }
            self.counts.misses += 1;
            self.forget(&key);
            return None;
        }
        self.counts.hits += 1;
        Some((version, fact))
    }

    /// A data node that holds this range has started anew: its data may be older than what was seen.
    pub fn restarted(&mut self, range: Range) {
        self.versions.remove(&range);
        let keys: Vec<_> = self.entries.keys().filter(|k| k.1 == range).copied().collect();
        for key in keys {
            self.counts.outdated += 1;
            self.forget(&key);
        }
    }

    fn forget(&mut self, key: &(Shape, Range)) {
        if let Some(entry) = self.entries.remove(key) {
            self.turns.remove(&entry.turn);
        }
    }
}

/// Whether two facts of one version can both be true. Totals and the best row must be the same; how far a value
/// reached depends on the limit.
fn fits(a: &Fact, b: &Fact) -> bool {
    match (a, b) {
        (Fact::Total(a), Fact::Total(b)) => a == b,
        (Fact::Rows(Known::Within(l1, h1)), Fact::Rows(Known::Within(l2, h2))) => {
            l1.zip(*l2).is_none_or(|(a, b)| a == b) || h1.zip(*h2).is_none_or(|(a, b)| a == b)
        }
        (Fact::Rows(a), Fact::Rows(b)) => (*a == Known::Empty) == (*b == Known::Empty),
        _ => false,
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::units::Units;
    use proptest::prelude::*;

    const SHAPE: Shape = [1; 16];

    fn table() -> Recall {
        Recall::new(Bounds { entries: 3, ranges: 8, age: 100 })
    }

    fn total(sum: i128) -> Fact {
        Fact::Total(Fold::one(Units(sum)))
    }

    #[test]
    fn only_the_last_version_known_bounds_a_range() {
        let mut t = table();
        t.learn(0, SHAPE, 1, 7, total(5));
        assert_eq!(t.recall(100, SHAPE, 1), Some((7, total(5))));
        assert_eq!(t.recall(101, SHAPE, 1), None, "too old");
        t.learn(0, SHAPE, 1, 7, total(5));
        // Another query saw that the data has changed.
        t.seen(1, 8);
        assert_eq!(t.recall(1, SHAPE, 1), None);
        t.learn(1, SHAPE, 1, 7, total(5));
        assert_eq!(t.recall(1, SHAPE, 1), None, "learnt of an older replica");
        assert_eq!((t.counts().hits, t.counts().misses), (1, 3));
        assert_eq!((t.counts().evicted, t.counts().outdated), (1, 1));
    }

    #[test]
    fn a_restart_and_a_contradiction_forget() {
        let mut t = table();
        t.learn(0, SHAPE, 1, 7, total(5));
        t.restarted(1);
        assert_eq!(t.recall(0, SHAPE, 1), None);
        // The data may be older now, and is not measured against what was seen before.
        t.learn(0, SHAPE, 1, 6, total(4));
        assert_eq!(t.recall(0, SHAPE, 1), Some((6, total(4))));
        t.learn(0, SHAPE, 1, 6, total(9));
        assert_eq!((t.recall(0, SHAPE, 1), t.counts().contradictions), (None, 1));
    }

    proptest! {
        #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

        /// Whatever is learnt: the table stays bounded, and its two indices agree.
        #[test]
        fn the_table_stays_bounded(steps in proptest::collection::vec((0..5u8, 0..10u32, 0..4u64, any::<u8>()), 0..100)) {
            let mut t = table();
            for (now, (kind, range, version, shape)) in (0..).step_by(30).zip(steps) {
                let shape = [shape % 3; 16];
                match kind {
                    0..=2 => t.learn(now, shape, range, version, total(version.into())),
                    3 => t.restarted(range),
                    _ => drop(t.recall(now, shape, range)),
                }
                prop_assert!(t.len() <= 3 && t.versions.len() <= 8);
                prop_assert_eq!(t.turns.len(), t.len());
                prop_assert!(t.turns.iter().all(|(turn, key)| t.entries[key].turn == *turn));
            }
        }
    }
}
