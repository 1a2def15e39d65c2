use super::*;
use crate::units::Units;
use proptest::prelude::*;

const SHAPE: Shape = [1; 16];

fn table() -> RangeCache {
    RangeCache::new(CacheLimits { max_entries: 3, max_ranges: 8, max_age_ns: 100 })
}

fn total(sum: i128) -> RangeSummary {
    RangeSummary::Total(Aggregate::of_row(Units(sum)))
}

#[test]
fn only_the_last_version_known_bounds_a_range() {
    let mut t = table();
    t.insert(0, SHAPE, 1, 7, total(5));
    assert_eq!(t.get(100, SHAPE, 1), Some((7, total(5))));
    assert_eq!(t.get(101, SHAPE, 1), None, "too old");
    t.insert(0, SHAPE, 1, 7, total(5));
    // Another query saw that the data has changed.
    t.observe_version(1, 8);
    assert_eq!(t.get(1, SHAPE, 1), None);
    t.insert(1, SHAPE, 1, 7, total(5));
    assert_eq!(t.get(1, SHAPE, 1), None, "learnt of an older replica");
    assert_eq!((t.counts().hits, t.counts().misses), (1, 3));
    assert_eq!((t.counts().evicted, t.counts().outdated), (1, 1));
}

#[test]
fn a_restart_and_a_contradiction_forget() {
    let mut t = table();
    t.insert(0, SHAPE, 1, 7, total(5));
    t.invalidate_range(1);
    assert_eq!(t.get(0, SHAPE, 1), None);
    // The data may be older now, and is not measured against what was seen before.
    t.insert(0, SHAPE, 1, 6, total(4));
    assert_eq!(t.get(0, SHAPE, 1), Some((6, total(4))));
    t.insert(0, SHAPE, 1, 6, total(9));
    assert_eq!((t.get(0, SHAPE, 1), t.counts().contradictions), (None, 1));
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
                0..=2 => t.insert(now, shape, range, version, total(version.into())),
                3 => t.invalidate_range(range),
                _ => drop(t.get(now, shape, range)),
            }
            prop_assert!(t.len() <= 3 && t.versions.len() <= 8);
            prop_assert_eq!(t.by_recency.len(), t.len());
            prop_assert!(t.by_recency.iter().all(|(sequence, key)| t.entries[key].sequence == *sequence));
        }
    }
}
