//! Pages of features, merged from tag ranges. This module does no I/O.
//!
//! If the feature servers return features in the order of their ids, a page continues after an id. Such pages neither
//! repeat nor skip features when a server fails or features change. Otherwise a page continues at an offset.

use std::borrow::Cow;

use curlewdeck_merge::cursor::{Position, RangeProgress};
use curlewdeck_merge::error::InvalidValue;
use curlewdeck_merge::page::{self, Rows};
use curlewdeck_merge::value::{RowKey, MAX_KEY_BYTES};
use serde::Deserialize;
use serde_json::value::RawValue;

use crate::api::ShardId;
use crate::net::features::{self, Cursor};

/// A range that has answered, and its features in the order received.
pub type RangeFeatures = (ShardId, Vec<Box<RawValue>>);

/// A feature and its sort key.
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

/// Returns the id of a feature, or `None` if it is missing, not a string or longer than [`MAX_KEY_BYTES`].
fn id(feature: &RawValue) -> Option<Cow<'_, str>> {
    serde_json::from_str::<FeatureId>(feature.get()).ok().map(|f| f.id).filter(|id| id.len() <= MAX_KEY_BYTES)
}

/// Why the features of a range cannot be merged in the order of their ids.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("{0}")]
pub struct InvalidFeatures(&'static str);

/// Checks that the value of a range can be merged in the order of ids: at most `limit` features, sorted by the bytes of
/// their ids, all at or after the requested position.
///
/// # Errors
/// Returns the reason why the value is invalid.
pub fn check_ids(value: &str, position: &Position, limit: usize) -> Result<(), InvalidFeatures> {
    let features = features::parse_features(value).map_err(InvalidFeatures)?;
    if features.len() > limit {
        return Err(InvalidFeatures("more features than the requested limit"));
    }
    let mut last: Option<String> = None;
    for feature in &features {
        let id = id(feature)
            .ok_or(InvalidFeatures("a feature has no id that is a string of at most 256 bytes"))?;
        if !position.includes(&id) {
            return Err(InvalidFeatures("a feature precedes the requested position"));
        }
        if last.as_deref().is_some_and(|last| last >= &*id) {
            return Err(InvalidFeatures("features are not in the order of their ids"));
        }
        last = Some(id.into_owned());
    }
    Ok(())
}

/// Merges one page in the order of ranges and offsets. Returns its features, and the cursor of the next page if there
/// may be more features.
pub fn by_offset(ranges: &[RangeFeatures], cursor: Cursor, limit: usize) -> (Vec<&RawValue>, Option<Cursor>) {
    // The zero-padded key sorts by range, then by offset.
    let key = |range: &ShardId, n: usize| Cow::Owned(format!("{:010}.{n:020}", range.0));
    let rows = ranges.iter().map(|(range, features)| {
        let rows = features.iter().enumerate();
        Rows {
            range: range.0,
            rows: rows.map(move |(n, f)| Ok(Feature { key: key(range, n), feature: f.as_ref() })),
            // A range that returned `limit` features may have more.
            has_more: features.len() >= limit,
        }
    });
    // The merge fails only on an invalid row, and every row above is valid.
    let Ok(page) = page::merge(rows, limit) else { return (Vec::new(), None) };
    let returned_count = |range: u32| page.rows.iter().filter(|r| r.0 == range).count();
    let next = page.more.then(|| match &page.last {
        Some((_, range)) => {
            let range_id = ShardId(*range);
            Cursor { range: range_id, offset: cursor.offset_in(range_id) + returned_count(*range) }
        }
        None => cursor,
    });
    (page.rows.iter().map(|r| r.1.feature).collect(), next)
}

/// Merges one page in the order of feature ids. Returns its features, and the progress of each range if there may be
/// more features. The progress of a missing range stays unchanged. A feature that several ranges return is included
/// once.
///
/// # Errors
/// Fails if a feature has no id. [`check_ids`] rejects such a value earlier.
pub fn by_id<'a>(
    ranges: &'a [RangeFeatures],
    progress: &[RangeProgress],
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
    let has_answered = |range: usize| ranges.iter().any(|r| r.0 .0 as usize == range);
    let next_progress = |(range, progress): (usize, &RangeProgress)| match &page.last {
        Some((id, _)) if has_answered(range) => RangeProgress {
            position: progress.position.later_of(&Position::After(id.clone())),
            ..progress.clone()
        },
        _ => progress.clone(),
    };
    let has_more = page.more || ranges.len() < progress.len();
    let next = has_more.then(|| progress.iter().enumerate().map(next_progress).collect());
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
