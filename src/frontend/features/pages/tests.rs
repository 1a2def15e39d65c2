use super::*;
use proptest::prelude::*;
use std::collections::BTreeSet;

fn feature(id: &str) -> Box<RawValue> {
    RawValue::from_string(format!(r#"{{"type":"Feature","id":"{id}"}}"#)).unwrap()
}

fn value(ids: &[&str]) -> String {
    features::encode_features(&ids.iter().map(|i| feature(i)).collect::<Vec<_>>())
}

#[test]
fn values_out_of_order_or_before_the_requested_position_are_rejected() {
    let after = Position::After("b".into());
    assert_eq!(check_ids(&value(&["c", "d"]), &after, 2), Ok(()));
    assert!(check_ids(&value(&["c", "d"]), &after, 1)
        .unwrap_err()
        .0
        .contains("more features than the requested limit"));
    assert!(check_ids(&value(&["b"]), &after, 2).unwrap_err().0.contains("precedes the requested position"));
    assert!(check_ids(&value(&["d", "c"]), &after, 2).unwrap_err().0.contains("order"));
    assert!(check_ids(&value(&["c", "c"]), &after, 2).unwrap_err().0.contains("order"));
    assert!(check_ids(r#"[{"type":"Feature","id":7}]"#, &after, 2).unwrap_err().0.contains("no id"));
    assert!(check_ids("7", &after, 2).is_err());
}

/// A feature that two ranges return must appear once. Advancing the progress of a missing range would skip its
/// features.
#[test]
fn a_feature_is_returned_once_and_a_missing_range_keeps_its_position() {
    let range = |shard, ids: &[&str]| (ShardId(shard), ids.iter().map(|i| feature(i)).collect());
    let ranges: Vec<RangeFeatures> = vec![range(0, &["a", "b"]), range(2, &["b"])];
    let (features, next) = by_id(&ranges, &vec![RangeProgress::default(); 3], 5).unwrap();
    assert_eq!(features.len(), 2);
    let positions: Vec<Position> = next.unwrap().into_iter().map(|r| r.position).collect();
    assert_eq!(positions, [Position::After("b".into()), Position::Start, Position::After("b".into())]);
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// Following the cursors returns every feature once and in order, for any number of features per range.
    #[test]
    fn pages_by_offset_neither_skip_nor_repeat_features(
        counts in proptest::collection::vec(0..7usize, 1..6),
        limit in 1..5usize,
    ) {
        let range = |s: u32, n: usize| (ShardId(s), (0..n).map(|i| feature(&format!("{s}-{i}"))).collect());
        let all: Vec<RangeFeatures> = (0..).zip(&counts).map(|(s, &n)| range(s, n)).collect();
        let expected: Vec<&str> = all.iter().flat_map(|r| r.1.iter().map(|f| f.get())).collect();
        let (mut cursor, mut returned) = (Cursor::START, Vec::new());
        for _ in 0..100 {
            // Each server returns at most `limit` features from the range's offset on.
            let served: Vec<RangeFeatures> = all
                .iter()
                .filter(|r| r.0 >= cursor.range)
                .map(|r| (r.0, r.1.iter().skip(cursor.offset_in(r.0)).take(limit).cloned().collect()))
                .collect();
            let (page, next) = by_offset(&served, cursor, limit);
            returned.extend(page.iter().map(|f| f.get().to_string()));
            match next {
                Some(next) => cursor = next,
                None => break,
            }
        }
        prop_assert_eq!(returned, expected);
    }

    /// Pages by id repeat no feature and skip none that exists throughout, while other features are inserted and
    /// removed and ranges are missing.
    #[test]
    fn pages_by_id_neither_skip_nor_repeat_features_during_changes(
        start in proptest::collection::vec(proptest::collection::btree_set("[a-e]{1,2}", 0..6), 1..4),
        steps in proptest::collection::vec((0..4usize, "[a-e]{1,2}", any::<bool>(), 0..5usize), 0..12),
        limit in 1..4usize,
    ) {
        // The range number at the end of each id keeps ids unique across ranges.
        let mut data: Vec<BTreeSet<String>> =
            start.iter().enumerate().map(|(r, ids)| ids.iter().map(|i| format!("{i}{r}")).collect()).collect();
        let mut present_throughout: BTreeSet<String> = data.iter().flatten().cloned().collect();
        let (mut returned, mut progress) = (Vec::new(), vec![RangeProgress::default(); data.len()]);
        let mut steps = steps.into_iter();
        for _ in 0..200 {
            let step = steps.next();
            if let Some((range, id, insert, _)) = &step {
                let range = range % data.len();
                let id = format!("{id}{range}");
                if *insert {
                    data[range].insert(id);
                } else {
                    data[range].remove(&id);
                    present_throughout.remove(&id);
                }
            }
            let missing = step.map_or(usize::MAX, |s| s.3);
            let served: Vec<RangeFeatures> = (0..data.len())
                .filter(|&r| r != missing)
                .map(|r| {
                    let ids = data[r].iter().filter(|id| progress[r].position.includes(id)).take(limit);
                    (ShardId(r as u32), ids.map(|i| feature(i)).collect())
                })
                .collect();
            let (page, next) = by_id(&served, &progress, limit).unwrap();
            returned.extend(page.iter().map(|f| id(f).unwrap().into_owned()));
            match next {
                Some(next) => progress = next,
                None => {
                    let unique: BTreeSet<&String> = returned.iter().collect();
                    prop_assert_eq!(unique.len(), returned.len(), "a feature was returned twice");
                    prop_assert!(
                        present_throughout.iter().all(|id| unique.contains(id)),
                        "{:?} of {:?}",
                        returned,
                        present_throughout
                    );
                    return Ok(());
                }
            }
        }
        prop_assert!(false, "the pages do not end");
    }
}
