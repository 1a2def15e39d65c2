//! Pages of a listing: the rows of all ranges in key order, each row once, whichever replicas serve the pages.
//!
//! For each range a cursor holds a position in key order instead of an offset. After a page, included ranges advance to
//! its last row; a missing range keeps its position, and its rows are returned on a later page.

use std::borrow::Cow;
use std::cmp::Ordering;
use std::collections::binary_heap::{BinaryHeap, PeekMut};
use std::sync::Arc;

use serde_json::value::RawValue;

use crate::aggregate::Aggregate;
use crate::cursor::Position;
use crate::error::{InvalidValue, RowError};
use crate::units::Units;
use crate::value::{Entry, Group, Row, RowKey, Value};
use crate::Range;

/// A row of a listing.
#[derive(Debug, Clone)]
pub struct ListedRow<'a> {
    /// Range that holds the row.
    pub range: Range,
    /// Key of the row, unique within its range.
    pub key: Cow<'a, str>,
    /// Measure in units of the query's scale.
    pub measure: Units,
    /// Body, returned unchanged; `None` if the row has none.
    pub body: Option<&'a RawValue>,
}

/// A group, aggregated over the included ranges.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct GroupRow<'a> {
    /// Key that the rows of the group have in common.
    pub key: Cow<'a, str>,
    /// Aggregate over the rows of the included ranges.
    pub aggregate: Aggregate,
}

/// The key and range of the last row of a page.
pub type LastRow = (Arc<str>, Range);

/// A page of a listing.
#[derive(Debug, Clone)]
pub struct Page<R> {
    /// Rows in key order.
    pub rows: Vec<R>,
    /// Key and range of the last row; `None` if the page is empty.
    pub last: Option<LastRow>,
    /// Whether the included ranges have, or may have, further rows.
    pub more: bool,
}

/// The key of a source's next row. The ordering is reversed, so that the max-heap returns the least key first.
#[derive(PartialEq, Eq)]
struct NextKey<'a> {
    key: Cow<'a, str>,
    range: Range,
    source: usize,
}

impl PartialOrd for NextKey<'_> {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for NextKey<'_> {
    fn cmp(&self, other: &Self) -> Ordering {
        (&other.key, other.range, other.source).cmp(&(&self.key, self.range, self.source))
    }
}

/// The next row of one range and an iterator over the rows after it.
struct Source<R, I> {
    row: R,
    following: I,
    /// Whether the range may have rows beyond these.
    has_more: bool,
}

/// A k-way merge of rows by key and range. Stops after the last returned row of a range that may have more rows.
struct Merge<'a, R, I> {
    next_keys: BinaryHeap<NextKey<'a>>,
    sources: Vec<Source<R, I>>,
    /// Whether the rows returned by a range that may have more are exhausted.
    is_truncated: bool,
}

impl<'a, R: RowKey<'a> + Clone, I: Iterator<Item = Result<R, InvalidValue>>> Merge<'a, R, I> {
    fn push(&mut self, range: Range, mut following: I, has_more: bool) -> Result<(), InvalidValue> {
        match following.next().transpose()? {
            Some(row) => {
                self.next_keys.push(NextKey { key: row.key().clone(), range, source: self.sources.len() });
                self.sources.push(Source { row, following, has_more });
            }
            None => self.is_truncated |= has_more,
        }
        Ok(())
    }

    fn next(&mut self) -> Result<Option<(Range, R)>, InvalidValue> {
        let Some(mut next_key) = self.next_keys.peek_mut() else { return Ok(None) };
        let source = &mut self.sources[next_key.source];
        let range = next_key.range;
        let row = match source.following.next().transpose()? {
            Some(next) => {
                // Dropping `next_key` sifts the heap once.
                next_key.key = next.key().clone();
                std::mem::replace(&mut source.row, next)
            }
            None => {
                self.is_truncated |= source.has_more;
                PeekMut::pop(next_key);
                source.row.clone()
            }
        };
        Ok(Some((range, row)))
    }

    fn peek_key(&self) -> Option<&str> {
        self.next_keys.peek().map(|h| &*h.key)
    }
}

/// The rows that one range returned, in strictly ascending key order.
pub struct Rows<I> {
    /// Range that returned the rows.
    pub range: Range,
    /// Iterator over the rows; an error ends the merge.
    pub rows: I,
    /// Whether the range may have rows beyond these.
    pub has_more: bool,
}

fn start_merge<'a, R: RowKey<'a> + Clone, I: Iterator<Item = Result<R, InvalidValue>>>(
    ranges: impl ExactSizeIterator<Item = Rows<I>>,
) -> Result<Merge<'a, R, I>, InvalidValue> {
    let (next_keys, sources) = (BinaryHeap::with_capacity(ranges.len()), Vec::with_capacity(ranges.len()));
    let mut merge = Merge { next_keys, sources, is_truncated: false };
    for Rows { range, rows, has_more } in ranges {
        merge.push(range, rows, has_more)?;
    }
    Ok(merge)
}

fn rows_of<'a, 'v, R: Row<'a>>(
    values: &'v [Value<'a>],
) -> impl ExactSizeIterator<Item = Rows<impl Iterator<Item = Result<R, InvalidValue>> + use<'a, R>>> + use<'a, 'v, R>
{
    values.iter().map(|v| Rows {
        range: v.header.range,
        rows: v.rows::<R>(),
        has_more: v.header.remainder.is_some(),
    })
}

/// Merges at most `limit` rows by key and range, each with its range. Stops after the last row of a range that may have
/// more rows, because the next row could be one that the range did not return.
///
/// # Errors
/// A row is malformed.
pub fn merge<'a, R: RowKey<'a> + Clone, I: Iterator<Item = Result<R, InvalidValue>>>(
    ranges: impl ExactSizeIterator<Item = Rows<I>>,
    limit: usize,
) -> Result<Page<(Range, R)>, InvalidValue> {
    let mut merge = start_merge(ranges)?;
    let mut rows: Vec<(Range, R)> = Vec::new();
    while rows.len() < limit && !merge.is_truncated {
        let Some(row) = merge.next()? else { break };
        rows.push(row);
    }
    let last = rows.last().map(|(range, row)| (Arc::from(&**row.key()), *range));
    Ok(Page { rows, last, more: merge.is_truncated || merge.peek_key().is_some() })
}

/// Builds a page of at most `limit` rows. Keeps one row of each range in memory besides the returned rows.
///
/// # Errors
/// A row is malformed.
pub fn list<'a>(values: &[Value<'a>], limit: usize) -> Result<Page<ListedRow<'a>>, InvalidValue> {
    let Page { rows, last, more } = merge(rows_of::<Entry>(values), limit)?;
    let listed = |(range, Entry { key, measure, body })| ListedRow { range, key, measure, body };
    Ok(Page { rows: rows.into_iter().map(listed).collect(), last, more })
}

/// Builds a page of at most `limit` groups, each aggregated over the included ranges.
///
/// # Errors
/// A row is malformed, a sum does not fit 128 bits, or a row count 64 bits.
pub fn groups<'a>(values: &[Value<'a>], limit: usize) -> Result<Page<GroupRow<'a>>, RowError> {
    let mut merge = start_merge(rows_of::<Group>(values))?;
    let mut rows: Vec<GroupRow> = Vec::new();
    while rows.len() < limit && !merge.is_truncated {
        let Some((_, Group { key, mut aggregate })) = merge.next()? else { break };
        // Rows of this group from other ranges follow immediately, since keys increase within each range.
        while merge.peek_key() == Some(&*key) {
            let Some((_, other)) = merge.next()? else { break };
            aggregate = aggregate.merge(&other.aggregate)?;
        }
        rows.push(GroupRow { key, aggregate });
    }
    // A group is complete for all included ranges at once, so every one of them continues after its key.
    let last = rows.last().map(|r| (Arc::from(&*r.key), Range::MAX));
    Ok(Page { rows, last, more: merge.is_truncated || merge.peek_key().is_some() })
}

/// The position at which an included range begins on the next page.
pub fn next_position(last: &LastRow, range: Range) -> Position {
    match range <= last.1 {
        true => Position::After(last.0.clone()),
        false => Position::From(last.0.clone()),
    }
}

#[cfg(test)]
mod tests;
