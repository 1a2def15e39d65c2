//! Listings page by page: the rows of all ranges in key order, each row once, whichever replica serves a page.
//!
//! For each range a cursor holds the place that it has reached, never an offset. Ranges that were in stand at the
//! last row of the page; one that was missing stays where it was, and gives what it owes on a later page.

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
    /// Where it lies.
    pub range: Range,
    /// Its key.
    pub key: Cow<'a, str>,
    /// Its measure.
    pub measure: Units,
    /// More of it, to the letter.
    pub body: Option<&'a RawValue>,
}

/// A group, its rows added up over all ranges.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct GroupRow<'a> {
    /// Its key.
    pub key: Cow<'a, str>,
    /// Its figures.
    pub aggregate: Aggregate,
}

/// The key and range of the last row of a page.
pub type LastRow = (Arc<str>, Range);

/// A page.
#[derive(Debug, Clone)]
pub struct Page<R> {
    /// Its rows in key order.
    pub rows: Vec<R>,
    /// The last row's key and range; none where there is no row.
    pub last: Option<LastRow>,
    /// Whether ranges that are in have more.
    pub more: bool,
}

/// Where the next row of a range stands; the greatest in the heap is the one that comes first.
#[derive(PartialEq, Eq)]
struct Head<'a> {
    key: Cow<'a, str>,
    range: Range,
    source: usize,
}

impl PartialOrd for Head<'_> {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Head<'_> {
    fn cmp(&self, other: &Self) -> Ordering {
        (&other.key, other.range, other.source).cmp(&(&self.key, self.range, self.source))
    }
}

/// The rows of one range: the next one, and those behind it.
struct Source<R, I> {
    row: R,
    left: I,
    /// The range may have more rows than these.
    rest: bool,
}

/// The k-way merge: rows by key and range, until one of a range comes behind which that range may have more that
/// it did not give.
struct Merge<'a, R, I> {
    heads: BinaryHeap<Head<'a>>,
    sources: Vec<Source<R, I>>,
    /// A range has given all that it gave, and has more.
    cut: bool,
}

impl<'a, R: RowKey<'a> + Clone, I: Iterator<Item = Result<R, InvalidValue>>> Merge<'a, R, I> {
    fn push(&mut self, range: Range, mut left: I, rest: bool) -> Result<(), InvalidValue> {
        match left.next().transpose()? {
            Some(row) => {
                self.heads.push(Head { key: row.key().clone(), range, source: self.sources.len() });
                self.sources.push(Source { row, left, rest });
            }
            None => self.cut |= rest,
        }
        Ok(())
    }

    fn next(&mut self) -> Result<Option<(Range, R)>, InvalidValue> {
        let Some(mut head) = self.heads.peek_mut() else { return Ok(None) };
        let source = &mut self.sources[head.source];
        let range = head.range;
        let row = match source.left.next().transpose()? {
            Some(next) => {
                // Sinks to its place once, when it is let go.
                head.key = next.key().clone();
                std::mem::replace(&mut source.row, next)
            }
            None => {
                self.cut |= source.rest;
                PeekMut::pop(head);
                source.row.clone()
            }
        };
        Ok(Some((range, row)))
    }

    fn next_key(&self) -> Option<&str> {
        self.heads.peek().map(|h| &*h.key)
    }
}

/// The rows of one range in key order, each key once, and whether the range may have more than these.
pub struct Rows<I> {
    /// The range.
    pub range: Range,
    /// Its rows.
    pub rows: I,
    /// Whether more may follow.
    pub rest: bool,
}

fn start<'a, R: RowKey<'a> + Clone, I: Iterator<Item = Result<R, InvalidValue>>>(
    ranges: impl ExactSizeIterator<Item = Rows<I>>,
) -> Result<Merge<'a, R, I>, InvalidValue> {
    let (heads, sources) = (BinaryHeap::with_capacity(ranges.len()), Vec::with_capacity(ranges.len()));
    let mut merge = Merge { heads, sources, cut: false };
    for Rows { range, rows, rest } in ranges {
        merge.push(range, rows, rest)?;
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
        rest: v.header.remainder.is_some(),
    })
}

/// At most `limit` rows of these ranges by key and range, with the range of each. Ends behind the last row of a range
/// that may have more: nothing may come after that but what it did not give.
///
/// # Errors
/// A row cannot be read.
pub fn merge<'a, R: RowKey<'a> + Clone, I: Iterator<Item = Result<R, InvalidValue>>>(
    ranges: impl ExactSizeIterator<Item = Rows<I>>,
    limit: usize,
) -> Result<Page<(Range, R)>, InvalidValue> {
    let mut merge = start(ranges)?;
    let mut rows: Vec<(Range, R)> = Vec::new();
    while rows.len() < limit && !merge.cut {
        let Some(row) = merge.next()? else { break };
        rows.push(row);
    }
    let last = rows.last().map(|(range, row)| (Arc::from(&**row.key()), *range));
    Ok(Page { rows, last, more: merge.cut || merge.next_key().is_some() })
}

/// At most `limit` rows. Holds a row of each range beside what it gives.
///
/// # Errors
/// A row cannot be read.
pub fn list<'a>(values: &[Value<'a>], limit: usize) -> Result<Page<ListedRow<'a>>, InvalidValue> {
    let Page { rows, last, more } = merge(rows_of::<Entry>(values), limit)?;
    let listed = |(range, Entry { key, measure, body })| ListedRow { range, key, measure, body };
    Ok(Page { rows: rows.into_iter().map(listed).collect(), last, more })
}

/// At most `limit` groups, each added up over the ranges that are in.
///
/// # Errors
/// A row cannot be read, or a sum does not fit.
pub fn groups<'a>(values: &[Value<'a>], limit: usize) -> Result<Page<GroupRow<'a>>, RowError> {
    let mut merge = start(rows_of::<Group>(values))?;
    let mut rows: Vec<GroupRow> = Vec::new();
    while rows.len() < limit && !merge.cut {
        let Some((_, Group { key, mut aggregate })) = merge.next()? else { break };
        // The same key of other ranges: they are next, and none can come later, since keys grow in each range.
        while merge.next_key() == Some(&*key) {
            let Some((_, other)) = merge.next()? else { break };
            aggregate = aggregate.merge(&other.aggregate)?;
        }
        rows.push(GroupRow { key, aggregate });
    }
    // A group is over for all ranges at once.
    let last = rows.last().map(|r| (Arc::from(&*r.key), Range::MAX));
    Ok(Page { rows, last, more: merge.cut || merge.next_key().is_some() })
}

/// Where a range that was in begins on the next page.
pub fn next_position(last: &LastRow, range: Range) -> Position {
    match range <= last.1 {
        true => Position::After(last.0.clone()),
        false => Position::From(last.0.clone()),
    }
}

#[cfg(test)]
mod tests;
