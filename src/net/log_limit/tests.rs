use super::*;
use proptest::prelude::*;

const INTERVAL: Nanos = 100;

/// The first occurrence is logged immediately. Occurrences after the last line are reported without waiting for another
/// occurrence.
#[test]
fn the_first_occurrence_is_reported_immediately_and_the_rest_together() {
    let mut limit = LogRateLimit::new(INTERVAL);
    assert_eq!(limit.take_due(5), None);
    assert_eq!(limit.record(5), Some(1));
    assert!((0..953).all(|_| limit.record(5).is_none()));
    assert_eq!(limit.take_due(5 + INTERVAL - 1), None);
    assert_eq!(limit.take_due(5 + INTERVAL), Some(953));
    assert_eq!(limit.take_due(5 + 2 * INTERVAL), None);
    assert_eq!(limit.record(5 + 2 * INTERVAL), Some(1));
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// No two lines are within one interval, and every occurrence is reported exactly once.
    #[test]
    fn lines_are_an_interval_apart_and_report_every_occurrence(
        steps in proptest::collection::vec((any::<bool>(), 0..INTERVAL), 0..200),
    ) {
        let (mut limit, mut now) = (LogRateLimit::new(INTERVAL), 0);
        let (mut lines, mut occurred, mut reported) = (Vec::new(), 0, 0);
        for (occurs, wait) in steps {
            now += wait;
            occurred += u64::from(occurs);
            let line = if occurs { limit.record(now) } else { limit.take_due(now) };
            if let Some(count) = line {
                reported += count;
                lines.push(now);
            }
        }
        reported += limit.take_due(now + INTERVAL).unwrap_or(0);
        prop_assert_eq!(reported, occurred);
        prop_assert!(lines.windows(2).all(|pair| pair[1] - pair[0] >= INTERVAL), "{:?}", lines);
    }
}
