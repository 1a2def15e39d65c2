//! Pages of features, merged from tag ranges. Pure.
//!
//! Where the feature servers return features in the order of their ids, a page continues after an id, and so repeats
//! and skips nothing when a server dies or features change. Elsewhere it continues at an offset.

use std::borrow::Cow;

use curlewdeck_merge::cursor::{Position, RangeProgress};
use curlewdeck_merge::error::InvalidValue;
use curlewdeck_merge::page::{self, Rows};
use curlewdeck_merge::value::{RowKey, MAX_KEY_BYTES};
use serde::Deserialize;
use serde_json::value::RawValue;

use crate::api::ShardId;
use crate::net::features::{self, Cursor};

/// The features of a range that has answered.
pub type RangeFeatures = (ShardId, Vec<Box<RawValue>>);

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
struct FeatureId<'a> {
    #[serde(borrow)]
    id: Cow<'a, str>,
}

/// The id of a feature, if it is a text.
fn id(feature: &RawValue) -> Option<Cow<'_, str>> {
    serde_json::from_str::<FeatureId>(feature.get()).ok().map(|f| f.id).filter(|id| id.len() <= MAX_KEY_BYTES)
}

/// Why the features of a range cannot be merged by id.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("{0}")]
pub struct InvalidFeatures(&'static str);

/// Checks that the value of a range may be merged by id: features in the order of the bytes of their ids, after the
/// requested place, and no more than `limit`.
///
/// # Errors
/// Says what is wrong with the value.
pub fn check_ids(value: &str, place: &Position, limit: usize) -> Result<(), InvalidFeatures> {
    let features = features::features_of(value).map_err(InvalidFeatures)?;
    if features.len() > limit {
        return Err(InvalidFeatures("more features than were asked for"));
    }
    let mut last: Option<String> = None;
    for feature in &features {
        let id =
            id(feature).ok_or(InvalidFeatures("a feature has no id that is a text of at most 256 bytes"))?;
        if !place.admits(&id) {
            return Err(InvalidFeatures("features that were passed already"));
        }
        if last.as_deref().is_some_and(|last| last >= &*id) {
            return Err(InvalidFeatures("features are not in the order of their ids"));
        }
        last = Some(id.into_owned());
    }
    Ok(())
}

/// The features of one page in the order of ranges and offsets, and the cursor of the next page if there may be more.
pub fn by_offset(ranges: &[RangeFeatures], cursor: Cursor, limit: usize) -> (Vec<&RawValue>, Option<Cursor>) {
    // Sorts by range, then by offset.
    let key = |range: &ShardId, n: usize| Cow::Owned(format!("{:010}.{n:020}", range.0));
    let rows = ranges.iter().map(|(range, features)| {
        let rows = features.iter().enumerate();
        Rows {
            range: range.0,
            rows: rows.map(move |(n, f)| Ok(Feature { key: key(range, n), feature: f.as_ref() })),
            // A range that returned as many as the limit may have more.
            has_more: features.len() >= limit,
        }
    });
    // Every row above is readable.
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

/// The features of one page in the order of their ids, and where each range continues if there may be more: a missing
/// range stays where it was. A feature of several ranges is returned once.
///
/// # Errors
/// A feature has no id; [`check_ids`] finds it first.
pub fn by_id<'a>(
    ranges: &'a [RangeFeatures],
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
mod tests;
