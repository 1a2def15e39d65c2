use super::*;
use proptest::prelude::*;
use std::collections::BTreeSet;

fn feature(id: &str) -> Box<RawValue> {
    RawValue::from_string(format!(r#"{{"type":"Feature","id":"{id}"}}"#)).unwrap()
}

fn value(ids: &[&str]) -> String {
    features::value(&ids.iter().map(|i| feature(i)).collect::<Vec<_>>())
}

#[test]
fn values_out_of_order_or_place_are_rejected() {
    let after = Position::After("b".into());
    assert_eq!(check_ids(&value(&["c", "d"]), &after, 2), Ok(()));
    assert!(check_ids(&value(&["c", "d"]), &after, 1).unwrap_err().0.contains("more features"));
    assert!(check_ids(&value(&["b"]), &after, 2).unwrap_err().0.contains("passed already"));
    assert!(check_ids(&value(&["d", "c"]), &after, 2).unwrap_err().0.contains("order"));
    assert!(check_ids(&value(&["c", "c"]), &after, 2).unwrap_err().0.contains("order"));
    assert!(check_ids(r#"[{"type":"Feature","id":7}]"#, &after, 2).unwrap_err().0.contains("no id"));
    assert!(check_ids("7", &after, 2).is_err());
}

/// Guards against giving a feature twice that two ranges hold, and against passing over what a range owes that
/// was missing.
#[test]
fn a_feature_is_given_once_and_a_missing_range_waits() {
    let range = |shard, ids: &[&str]| (ShardId(shard), ids.iter().map(|i| feature(i)).collect());
    let ranges: Vec<RangeFeatures> = vec![range(0, &["a", "b"]), range(2, &["b"])];
    let (given, next) = by_id(&ranges, &vec![RangeProgress::default(); 3], 5).unwrap();
    assert_eq!(given.len(), 2);
    let places: Vec<Position> = next.unwrap().into_iter().map(|r| r.position).collect();
    assert_eq!(places, [Position::After("b".into()), Position::Start, Position::After("b".into())]);
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// Following the cursors gives every feature once, in order, whatever the ranges hold.
    #[test]
    fn offsets_follow_each_other_without_gap_or_repeat(
        counts in proptest::collection::vec(0..7usize, 1..6),
        limit in 1..5usize,
    ) {
        let range = |s: u32, n: usize| (ShardId(s), (0..n).map(|i| feature(&format!("{s}-{i}"))).collect());
        let all: Vec<RangeFeatures> = (0..).zip(&counts).map(|(s, &n)| range(s, n)).collect();
        let expected: Vec<&str> = all.iter().flat_map(|r| r.1.iter().map(|f| f.get())).collect();
        let (mut cursor, mut got) = (Cursor::START, Vec::new());
        for _ in 0..100 {
            // What servers give: from the range's offset on, at most the limit.
            let served: Vec<RangeFeatures> = all
                .iter()
                .filter(|r| r.0 >= cursor.range)
                .map(|r| (r.0, r.1.iter().skip(cursor.offset_in(r.0)).take(limit).cloned().collect()))
                .collect();
            let (taken, next) = by_offset(&served, cursor, limit);
            got.extend(taken.iter().map(|f| f.get().to_string()));
            match next {
                Some(next) => cursor = next,
                None => break,
            }
        }
        prop_assert_eq!(got, expected);
    }

    /// By id, while features come and go and ranges are missing: none twice, and none skipped that stayed.
    #[test]
    fn ids_follow_each_other_whatever_changes(
        start in proptest::collection::vec(proptest::collection::btree_set("[a-e]{1,2}", 0..6), 1..4),
        steps in proptest::collection::vec((0..4usize, "[a-e]{1,2}", any::<bool>(), 0..5usize), 0..12),
        limit in 1..4usize,
    ) {
        // Each id in one range only: a number makes it so.
        let mut data: Vec<BTreeSet<String>> =
            start.iter().enumerate().map(|(r, ids)| ids.iter().map(|i| format!("{i}{r}")).collect()).collect();
        let mut stayed: BTreeSet<String> = data.iter().flatten().cloned().collect();
        let (mut got, mut reached) = (Vec::new(), vec![RangeProgress::default(); data.len()]);
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
                    stayed.remove(&id);
                }
            }
            let missing = step.map_or(usize::MAX, |s| s.3);
            let served: Vec<RangeFeatures> = (0..data.len())
                .filter(|&r| r != missing)
                .map(|r| {
                    let ids = data[r].iter().filter(|id| reached[r].position.admits(id)).take(limit);
                    (ShardId(r as u32), ids.map(|i| feature(i)).collect())
                })
                .collect();
            let (given, next) = by_id(&served, &reached, limit).unwrap();
            got.extend(given.iter().map(|f| id(f).unwrap().into_owned()));
            match next {
                Some(next) => reached = next,
                None => {
                    let unique: BTreeSet<&String> = got.iter().collect();
                    prop_assert_eq!(unique.len(), got.len(), "a feature came twice");
                    prop_assert!(stayed.iter().all(|id| unique.contains(id)), "{:?} of {:?}", got, stayed);
                    return Ok(());
                }
            }
        }
        prop_assert!(false, "the listing does not end");
    }
}
