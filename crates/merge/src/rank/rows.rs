//! Rankings of rows, each of which belongs to one range: a k-way merge.

use std::cmp::Ordering;
use std::collections::BinaryHeap;

use super::{best_following, RankedRow, Ranking};
use crate::error::InvalidValue;
use crate::order::{compare_measures, compare_rows};
use crate::query::Order;
use crate::range_bounds::RangeBounds;
use crate::units::Units;
use crate::value::{Entry, Value};
use crate::Range;

/// The unseen rows of one range.
#[derive(Debug, Clone)]
struct UnseenRows {
    /// Best possible measure of these rows; `None` if unbounded.
    best: Option<Units>,
    /// The last row that the range returned; the unseen rows rank after it. `None` for a missing range.
    after: Option<(Units, String)>,
}

impl UnseenRows {
    /// The rows of a missing range; `None` if it is known to be empty.
    fn of_missing(order: Order, bounds: RangeBounds) -> Option<Self> {
        let best = match (bounds, order) {
            (RangeBounds::Empty, _) => return None,
            (RangeBounds::Unknown, _) => None,
            (RangeBounds::Within(_, most), Order::Desc) => most,
            (RangeBounds::Within(least, _), Order::Asc) => least,
        };
        Some(Self { best, after: None })
    }

    /// Whether all unseen rows are certain to rank after `row`.
    fn rank_after(&self, order: Order, row: (Units, &str)) -> bool {
        let Some(best) = self.best else { return false };
        match compare_measures(order, row.0, best) {
            Ordering::Less => true,
            Ordering::Greater => false,
            // With equal measures, the keys decide: they must be known to be greater.
            Ordering::Equal => self.after.as_ref().is_some_and(|(m, k)| *m == best && row.1 <= k.as_str()),
        }
    }
}

/// The next row of a range. The ordering is reversed, so that the max-heap returns the best row first.
struct NextRow<'a, I> {
    order: Order,
    row: Entry<'a>,
    range: Range,
    following: I,
    /// `None` if the range has no remainder, else the best measure that it declares for the remainder, if any.
    remainder: Option<Option<Units>>,
}

impl<I> NextRow<'_, I> {
    fn compare_rank(&self, other: &Self) -> Ordering {
        let (own, others) = ((self.row.measure, &*self.row.key), (other.row.measure, &*other.row.key));
        compare_rows(self.order, own, others).then(self.range.cmp(&other.range))
    }
}

impl<I> PartialEq for NextRow<'_, I> {
    fn eq(&self, other: &Self) -> bool {
        self.compare_rank(other) == Ordering::Equal
    }
}

impl<I> Eq for NextRow<'_, I> {}

impl<I> PartialOrd for NextRow<'_, I> {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl<I> Ord for NextRow<'_, I> {
    fn cmp(&self, other: &Self) -> Ordering {
        other.compare_rank(self)
    }
}

/// Creates a heap with the first row of each range that has rows.
fn first_rows<'a>(
    values: &[Value<'a>],
    order: Order,
) -> Result<BinaryHeap<NextRow<'a, impl Iterator<Item = Result<Entry<'a>, InvalidValue>>>>, InvalidValue> {
    let mut heap = BinaryHeap::with_capacity(values.len());
    for value in values {
        let mut following = value.rows::<Entry>();
        let remainder = value.header.remainder.map(|r| if order == Order::Desc { r.max } else { r.min });
        if let Some(row) = following.next().transpose()? {
            heap.push(NextRow { order, row, range: value.header.range, following, remainder });
        }
    }
    Ok(heap)
}

/// Merges the first `limit` rows of the values. Reads one more row of each range than it returns.
///
/// # Errors
/// A row is malformed.
pub fn merge<'a>(
    values: &[Value<'a>],
    missing: &[RangeBounds],
    order: Order,
    limit: usize,
) -> Result<Ranking<'a>, InvalidValue> {
    let mut heap = first_rows(values, order)?;
    let mut unseen: Vec<UnseenRows> =
        missing.iter().filter_map(|&bounds| UnseenRows::of_missing(order, bounds)).collect();
    let mut rows: Vec<RankedRow> = Vec::with_capacity(limit.min(1024));
    while rows.len() < limit {
        let Some(mut next) = heap.pop() else { break };
        let Entry { key, measure, body } = next.row;
        if let Some(row) = next.following.next().transpose()? {
            heap.push(NextRow { row, ..next });
        } else if let Some(declared) = next.remainder.take() {
            let best = Some(best_following(order, declared, measure));
            unseen.push(UnseenRows { best, after: Some((measure, key.to_string())) });
        }
        let range = Some(next.range);
        rows.push(RankedRow { key, measure, low: Some(measure), high: Some(measure), range, body });
    }
    // Ranges with rows left in the heap add no uncertainty: their unseen rows rank after all returned rows.
    let is_certain = |row: &RankedRow| unseen.iter().all(|u| u.rank_after(order, (row.measure, &row.key)));
    let certain = rows.iter().take_while(|row| is_certain(row)).count();
    let more = !heap.is_empty() || !unseen.is_empty();
    Ok(Ranking { rows, certain, more })
}
