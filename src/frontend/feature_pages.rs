//! Pages of features, on the merge of the desk front (pure). Where the feature servers give features in the order of
//! their ids, a page goes on behind an id and so repeats and skips nothing when a server dies or features come and go;
//! elsewhere it passes over as many as were given.

use std::borrow::Cow;

use curlewdeck_merge::cursor::{Position, RangeProgress};
use curlewdeck_merge::error::InvalidValue;
use curlewdeck_merge::page::{self, Rows};
use curlewdeck_merge::value::{RowKey, MAX_KEY_BYTES};
use serde::Deserialize;
use serde_json::value::RawValue;

use crate::api::ShardId;
use crate::net::features::{self, Cursor};

/// A range that is in, with its features.
pub type Range = (ShardId, Vec<Box<RawValue>>);

/// A feature and its place in the order of a listing.
#[derive(Clone)]
struct Feature<'a> {
    key: Cow<'a, str>,
    feature: &'a RawValue,
}

impl<'a> RowKey<'a> for Feature<'a> {
    fn key(&self) -> &Cow<'a, str> {
        &self.key
    }
}

#[derive(Deserialize)]
struct WithId<'a> {
    #[serde(borrow)]
    id: Cow<'a, str>,
}

/// A feature's id, if it is a text.
fn id(feature: &RawValue) -> Option<Cow<'_, str>> {
    serde_json::from_str::<WithId>(feature.get()).ok().map(|f| f.id).filter(|id| id.len() <= MAX_KEY_BYTES)
}

/// Whether a range's value may be merged by id: what its server gave must be features in the order of the bytes of
/// their ids, behind the place that was asked for, and no more than were asked for.
///
/// # Errors
/// Says what is wrong.
pub fn check_ids(value: &str, place: &Position, limit: usize) -> Result<(), &'static str> {
    let features = features::features_of(value)?;
    if features.len() > limit {
        return Err("more features than were asked for");
    }
    let mut last: Option<String> = None;
    for feature in &features {
        let id = id(feature).ok_or("a feature has no id that is a text of at most 256 bytes")?;
        if !place.admits(&id) {
            return Err("features that were passed already");
        }
        if last.as_deref().is_some_and(|last| last >= &*id) {
            return Err("features are not in the order of their ids");
        }
        last = Some(id.into_owned());
    }
    Ok(())
}

/// The features of one page by range and place, and where the next begins if there may be more.
pub fn by_offset(ranges: &[Range], cursor: Cursor, limit: usize) -> (Vec<&RawValue>, Option<Cursor>) {
    // Their order is that of ranges and places: a key that sorts so.
    let key = |range: &ShardId, n: usize| Cow::Owned(format!("{:010}.{n:020}", range.0));
    let rows = ranges.iter().map(|(range, features)| {
        let rows = features.iter().enumerate();
        Rows {
            range: range.0,
            rows: rows.map(move |(n, f)| Ok(Feature { key: key(range, n), feature: f.as_ref() })),
            // One that gave as many as were asked for may have more.
            has_more: features.len() >= limit,
        }
    });
    // Rows that are held cannot be unreadable.
    let Ok(page) = page::merge(rows, limit) else { return (Vec::new(), None) };
    let given = |range: u32| page.rows.iter().filter(|r| r.0 == range).count();
    let next = page.more.then(|| match &page.last {
        Some((_, range)) => {
            let range_id = ShardId(*range);
            Cursor { range: range_id, offset: cursor.offset_in(range_id) + given(*range) }
        }
        None => cursor,
    });
    (page.rows.iter().map(|r| r.1.feature).collect(), next)
}

/// The features of one page by id, and where each range goes on if there may be more: one that is missing stays where
/// it was. A feature that lies in several ranges is given once.
///
/// # Errors
/// A feature has no id; [`check_ids`] finds it first.
pub fn by_id<'a>(
    ranges: &'a [Range],
    reached: &[RangeProgress],
    limit: usize,
) -> Result<(Vec<&'a RawValue>, Option<Vec<RangeProgress>>), InvalidValue> {
    let rows = ranges.iter().map(|(range, features)| Rows {
        range: range.0,
        rows: features.iter().map(|f| {
            let key = id(f).ok_or_else(|| InvalidValue::Malformed("a feature has no id".into()))?;
            Ok(Feature { key, feature: f.as_ref() })
        }),
        has_more: features.len() >= limit,
    });
    let page = page::merge(rows, limit)?;
    let there = |range: usize| ranges.iter().any(|r| r.0 .0 as usize == range);
    let place = |(range, reached): (usize, &RangeProgress)| match &page.last {
        Some((id, _)) if there(range) => RangeProgress {
            position: reached.position.furthest(&Position::After(id.clone())),
            ..reached.clone()
        },
        _ => reached.clone(),
    };
    let more = page.more || ranges.len() < reached.len();
    let next = more.then(|| reached.iter().enumerate().map(place).collect());
    let mut features: Vec<&RawValue> = Vec::with_capacity(page.rows.len());
    let mut last: Option<&Cow<str>> = None;
    for (_, row) in &page.rows {
        if last != Some(&row.key) {
            features.push(row.feature);
        }
        last = Some(&row.key);
    }
    Ok((features, next))
}

#[cfg(test)]
mod tests {
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
    fn values_out_of_order_or_place_are_refused() {
        let after = Position::After("b".into());
        assert_eq!(check_ids(&value(&["c", "d"]), &after, 2), Ok(()));
        assert!(check_ids(&value(&["c", "d"]), &after, 1).unwrap_err().contains("more features"));
        assert!(check_ids(&value(&["b"]), &after, 2).unwrap_err().contains("passed already"));
        assert!(check_ids(&value(&["d", "c"]), &after, 2).unwrap_err().contains("order"));
        assert!(check_ids(&value(&["c", "c"]), &after, 2).unwrap_err().contains("order"));
        assert!(check_ids(r#"[{"type":"Feature","id":7}]"#, &after, 2).unwrap_err().contains("no id"));
        assert!(check_ids("7", &after, 2).is_err());
    }

    /// Guards against giving a feature twice that two ranges hold, and against passing over what a range owes that
    /// was missing.
    #[test]
    fn a_feature_is_given_once_and_a_missing_range_waits() {
        let range = |shard, ids: &[&str]| (ShardId(shard), ids.iter().map(|i| feature(i)).collect());
        let ranges: Vec<Range> = vec![range(0, &["a", "b"]), range(2, &["b"])];
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
            let all: Vec<Range> = (0..).zip(&counts).map(|(s, &n)| range(s, n)).collect();
            let expected: Vec<&str> = all.iter().flat_map(|r| r.1.iter().map(|f| f.get())).collect();
            let (mut cursor, mut got) = (Cursor::START, Vec::new());
            for _ in 0..100 {
                // What servers give: from the range's offset on, at most the limit.
                let served: Vec<Range> = all
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
                let served: Vec<Range> = (0..data.len())
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
}
