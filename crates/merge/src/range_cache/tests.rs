use super::*;
use crate::units::Units;
use proptest::prelude::*;

const DIGEST: QueryDigest = [1; 16];

fn cache() -> RangeCache {
    RangeCache::new(CacheLimits { max_entries: 3, max_ranges: 8, max_age_ns: 100 })
}

fn total(sum: i128) -> RangeSummary {
    RangeSummary::Total(Aggregate::of_row(Units(sum)))
}

#[test]
fn only_the_last_known_version_is_returned() {
    let mut cache = cache();
    cache.insert(0, DIGEST, 1, 7, total(5));
    assert_eq!(cache.get(100, DIGEST, 1), Some((7, total(5))));
    assert_eq!(cache.get(101, DIGEST, 1), None, "too old");
    cache.insert(0, DIGEST, 1, 7, total(5));
    // Another query has seen a newer version.
    cache.observe_version(1, 8);
    assert_eq!(cache.get(1, DIGEST, 1), None);
    cache.insert(1, DIGEST, 1, 7, total(5));
    assert_eq!(cache.get(1, DIGEST, 1), None, "inserted from an older replica");
    assert_eq!((cache.counts().hits, cache.counts().misses), (1, 3));
    assert_eq!((cache.counts().evicted, cache.counts().invalidated), (1, 1));
}

#[test]
fn restart_and_contradiction_remove_entries() {
    let mut cache = cache();
    cache.insert(0, DIGEST, 1, 7, total(5));
    cache.invalidate_range(1);
    assert_eq!(cache.get(0, DIGEST, 1), None);
    // After a restart the data may be older, so an older version than before is accepted.
    cache.insert(0, DIGEST, 1, 6, total(4));
    assert_eq!(cache.get(0, DIGEST, 1), Some((6, total(4))));
    cache.insert(0, DIGEST, 1, 6, total(9));
    assert_eq!((cache.get(0, DIGEST, 1), cache.counts().contradictions), (None, 1));
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// The cache stays within its limits, and its two indices match, after any sequence of operations.
    #[test]
    fn cache_stays_within_its_limits(steps in proptest::collection::vec((0..5u8, 0..10u32, 0..4u64, any::<u8>()), 0..100)) {
        let mut cache = cache();
        for (now, (kind, range, version, digest)) in (0..).step_by(30).zip(steps) {
            let digest = [digest % 3; 16];
            match kind {
                0..=2 => cache.insert(now, digest, range, version, total(version.into())),
                3 => cache.invalidate_range(range),
                _ => drop(cache.get(now, digest, range)),
            }
            prop_assert!(cache.len() <= 3 && cache.versions.len() <= 8);
            prop_assert_eq!(cache.by_recency.len(), cache.len());
            prop_assert!(cache.by_recency.iter().all(|(sequence, key)| cache.entries[key].sequence == *sequence));
        }
    }
}
