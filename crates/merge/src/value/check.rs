//! Validates a value on arrival: whether it has the published format, matches the query and is consistent.

use super::header::{Header, Remainder, Total};
use super::row::{Entry, Group, Row};
use super::{Value, MAX_KEY_BYTES};
use crate::aggregate::Aggregate;
use crate::cursor::Position;
use crate::error::{inconsistent, malformed, InvalidValue};
use crate::order::ranks_before;
use crate::query::{Op, Order, Query};
use crate::units::Units;
use crate::{Range, Version};

/// What a value must match, in addition to its query.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Expected {
    /// Requested range.
    pub range: Range,
    /// Position at which the rows must begin.
    pub position: Position,
    /// Minimum accepted version of the range's data; `None` accepts any.
    pub at_least: Option<Version>,
}

/// A valid value without its rows.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CheckedValue {
    /// Header, which matches the query and the rows.
    pub header: Header,
    /// Measures of the first and the last row; `None` if the value has no rows.
    pub first_and_last: Option<(Units, Units)>,
}

/// Validates a value in one pass, without keeping its rows.
///
/// # Errors
/// Returns the reason for rejecting the value.
pub fn check(text: &str, query: &Query, expected: &Expected) -> Result<CheckedValue, InvalidValue> {
    let value = Value::read(text)?;
    let header = &value.header;
    if header.range != expected.range {
        return Err(InvalidValue::WrongRange(header.range));
    }
    if header.version != header.version_at_end {
        return Err(InvalidValue::MixedVersions(header.version, header.version_at_end));
    }
    if let Some(least) = expected.at_least.filter(|&least| header.version < least) {
        return Err(InvalidValue::StaleVersion(header.version, least));
    }
    if header.scale != query.scale {
        return Err(malformed(format_args!("scale {} where {} is agreed", header.scale, query.scale)));
    }
    if header.too_large.is_some() {
        return Ok(CheckedValue { header: value.header, first_and_last: None });
    }
    let first_and_last = match (query.op.is_aggregate(), query.grouped) {
        (true, false) => {
            check_total_only(&value)?;
            None
        }
        (true, true) => check_rows::<Group>(&value, query, expected)?,
        (false, _) => check_rows::<Entry>(&value, query, expected)?,
    };
    Ok(CheckedValue { header: value.header, first_and_last })
}

/// Validates a value that consists of a total without rows.
fn check_total_only(value: &Value<'_>) -> Result<(), InvalidValue> {
    let header = &value.header;
    let total = header.total.ok_or_else(|| malformed("a total is expected"))?;
    if header.rows > 0 || header.remainder.is_some() || !value.rows.trim().is_empty() {
        return Err(malformed("a total has no rows"));
    }
    check_aggregate(&total.aggregate())
}

/// Checks that an aggregate is consistent: no minimum, maximum or sum without rows, and a sum that is possible with the
/// row count, minimum and maximum.
fn check_aggregate(aggregate: &Aggregate) -> Result<(), InvalidValue> {
    match (aggregate.rows, aggregate.min_max) {
        (0, None) if aggregate.sum == Units(0) => Ok(()),
        (1.., Some((min, max))) if min <= max => {
            let within = |low: Units, high: Units| low <= aggregate.sum && aggregate.sum <= high;
            match (min.times(aggregate.rows), max.times(aggregate.rows)) {
                (Ok(low), Ok(high)) if within(low, high) => Ok(()),
                // The sum is out of bounds, or a bound does not fit 128 bits.
                _ => Err(inconsistent("the sum does not fit the rows, the least and the greatest")),
            }
        }
        _ => Err(inconsistent("rows, sum, least and greatest do not fit each other")),
    }
}

/// Whether `next` may follow `last` in a value.
fn is_in_order<'a, R: CheckedRow<'a>>(last: &R, next: &R, query: &Query) -> bool {
    if query.op == Op::Rank {
        ranks_before(query.order, (last.measure(), last.key()), (next.measure(), next.key()))
    } else {
        last.key() < next.key()
    }
}

/// The properties of a row that validation needs.
trait CheckedRow<'a>: Row<'a> {
    fn measure(&self) -> Units;
    fn aggregate(&self) -> Result<Aggregate, InvalidValue>;
}

impl<'a> CheckedRow<'a> for Entry<'a> {
    fn measure(&self) -> Units {
        self.measure
    }

    fn aggregate(&self) -> Result<Aggregate, InvalidValue> {
        Ok(Aggregate::of_row(self.measure))
    }
}

impl<'a> CheckedRow<'a> for Group<'a> {
    fn measure(&self) -> Units {
        self.aggregate.sum
    }

    fn aggregate(&self) -> Result<Aggregate, InvalidValue> {
        check_aggregate(&self.aggregate)?;
        match self.aggregate.rows {
            0 => Err(inconsistent("a group without rows")),
            _ => Ok(self.aggregate),
        }
    }
}

/// Validates the rows of a value one at a time: their count, their order, and that they begin at the expected position.
struct RowChecker<'c, R> {
    query: &'c Query,
    expected: &'c Expected,
    declared_rows: usize,
    rows: usize,
    aggregate: Aggregate,
    first_measure: Option<Units>,
    last: Option<R>,
}

impl<'c, 'a, R: CheckedRow<'a>> RowChecker<'c, R> {
    fn new(query: &'c Query, expected: &'c Expected, declared_rows: usize) -> Self {
        let aggregate = Aggregate::default();
        Self { query, expected, declared_rows, rows: 0, aggregate, first_measure: None, last: None }
    }

    fn add(&mut self, row: R) -> Result<(), InvalidValue> {
        self.rows += 1;
        if self.rows > self.declared_rows {
            return Err(inconsistent("more rows than it declares"));
        }
        if row.key().len() > MAX_KEY_BYTES {
            return Err(malformed("a key is longer than 256 bytes"));
        }
        let begins_page = self.last.is_none() && self.query.op != Op::Rank;
        if begins_page && !self.expected.position.includes(row.key()) {
            return Err(inconsistent("rows that were passed already"));
        }
        if self.last.as_ref().is_some_and(|last| !is_in_order(last, &row, self.query)) {
            return Err(inconsistent("rows are out of order"));
        }
        self.aggregate = self.aggregate.merge(&row.aggregate()?).map_err(|e| inconsistent(&e.to_string()))?;
        self.first_measure = self.first_measure.or(Some(row.measure()));
        self.last = Some(row);
        Ok(())
    }
}

/// Validates the rows of a value against its header and the query. Returns the measures of the first and last row.
fn check_rows<'a, R: CheckedRow<'a>>(
    value: &Value<'a>,
    query: &Query,
    expected: &Expected,
) -> Result<Option<(Units, Units)>, InvalidValue> {
    let header = &value.header;
    if header.rows > query.limit {
        return Err(inconsistent("more rows than were asked for"));
    }
    let mut checker = RowChecker::<R>::new(query, expected, header.rows);
    for row in value.rows::<R>() {
        checker.add(row?)?;
    }
    if checker.rows != header.rows {
        return Err(inconsistent("fewer rows than it declares"));
    }
    if checker.rows == 0 && header.remainder.is_some() {
        return Err(inconsistent("rows follow, and none is given"));
    }
    let last_measure = checker.last.map(|row| row.measure());
    check_remainder(header, query, last_measure)?;
    // A total covers all rows of the range, so it is comparable only with a value that begins at the start.
    if let Some(total) = header.total.as_ref().filter(|_| expected.position == Position::Start) {
        check_total_matches(total, &checker.aggregate, header.remainder.as_ref())?;
    }
    Ok(checker.first_measure.zip(last_measure))
}

/// Checks the bounds of the remainder. In a ranking, none of its rows may be better than the last row of the value.
fn check_remainder(header: &Header, query: &Query, last: Option<Units>) -> Result<(), InvalidValue> {
    let (Some(remainder), Some(last)) = (&header.remainder, last) else { return Ok(()) };
    if remainder.rows == Some(0) {
        return Err(inconsistent("no rows follow, and yet some do"));
    }
    if remainder.max.zip(remainder.min).is_some_and(|(most, least)| least > most) {
        return Err(inconsistent("the bounds of what follows are the wrong way round"));
    }
    if query.op != Op::Rank {
        return Ok(());
    }
    let better = match query.order {
        Order::Desc => {
            remainder.max.is_some_and(|most| most > last) || remainder.min.is_some_and(|least| least > last)
        }
        Order::Asc => {
            remainder.min.is_some_and(|least| least < last) || remainder.max.is_some_and(|most| most < last)
        }
    };
    match better {
        true => Err(inconsistent("what follows is better than the last row")),
        false => Ok(()),
    }
}

/// Checks a total over the whole range against the rows in the value and the remainder.
fn check_total_matches(
    total: &Total,
    given: &Aggregate,
    remainder: Option<&Remainder>,
) -> Result<(), InvalidValue> {
    let mismatch = || inconsistent("the total does not match the rows");
    let all = total.aggregate();
    check_aggregate(&all)?;
    let remaining_rows = all.rows.checked_sub(given.rows).ok_or_else(mismatch)?;
    let is_match = match remainder {
        None => all == *given,
        Some(remainder) => {
            let sum = all.sum.minus(given.sum).map_err(|_| mismatch())?;
            let within = |bound: Option<Units>, low: bool| match bound.map(|b| b.times(remaining_rows)) {
                None => true,
                Some(Ok(b)) => (b <= sum) == low || b == sum,
                Some(Err(_)) => false,
            };
            remaining_rows > 0
                && remainder.rows.is_none_or(|rows| rows == remaining_rows)
                && within(remainder.min, true)
                && within(remainder.max, false)
        }
    };
    match is_match {
        true => Ok(()),
        false => Err(mismatch()),
    }
}
