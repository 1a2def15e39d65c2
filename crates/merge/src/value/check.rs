//! Checks a value when it comes: whether it has the published form, answers the query and is consistent.

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

/// What a value must match, besides its query.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Expected {
    /// The range that was asked.
    pub range: Range,
    /// The position at which its rows have to begin.
    pub position: Position,
    /// The least version of its data that is accepted.
    pub at_least: Option<Version>,
}

/// A valid value, as far as it is kept.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CheckedValue {
    /// Its header.
    pub header: Header,
    /// The measures of its first and its last row.
    pub first_and_last: Option<(Units, Units)>,
}

/// Checks a value in one pass, without keeping its rows.
///
/// # Errors
/// Says why the value is refused.
pub fn check(text: &str, query: &Query, expected: &Expected) -> Result<CheckedValue, InvalidValue> {
    let value = Value::read(text)?;
    let header = &value.header;
    if header.range != expected.range {
        return Err(InvalidValue::WrongRange(header.range));
    }
    if header.version != header.until {
        return Err(InvalidValue::MixedVersions(header.version, header.until));
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

/// Checks a value that consists of a total alone.
fn check_total_only(value: &Value<'_>) -> Result<(), InvalidValue> {
    let header = &value.header;
    let total = header.total.ok_or_else(|| malformed("a total is expected"))?;
    if header.rows > 0 || header.remainder.is_some() || !value.rows.trim().is_empty() {
        return Err(malformed("a total has no rows"));
    }
    check_aggregate(&total.aggregate())
}

/// Checks an aggregate by itself: no figures without rows, and a sum that its rows, minimum and maximum allow.
fn check_aggregate(aggregate: &Aggregate) -> Result<(), InvalidValue> {
    match (aggregate.rows, aggregate.min_max) {
        (0, None) if aggregate.sum == Units(0) => Ok(()),
        (1.., Some((min, max))) if min <= max => {
            let within = |low: Units, high: Units| low <= aggregate.sum && aggregate.sum <= high;
            match (min.times(aggregate.rows), max.times(aggregate.rows)) {
                (Ok(low), Ok(high)) if within(low, high) => Ok(()),
                // Rows that cannot add up to a figure that fits.
                _ => Err(inconsistent("the sum does not fit the rows, the least and the greatest")),
            }
        }
        _ => Err(inconsistent("rows, sum, least and greatest do not fit each other")),
    }
}

/// Whether a row may follow another one.
fn is_in_order<'a, R: CheckedRow<'a>>(last: &R, next: &R, query: &Query) -> bool {
    if query.op == Op::Rank {
        ranks_before(query.order, (last.measure(), last.key()), (next.measure(), next.key()))
    } else {
        last.key() < next.key()
    }
}

/// A row as the checks see it.
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

/// Checks the rows of a value one by one: their count, their order, and that they begin at the expected position.
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
        if begins_page && !self.expected.position.admits(row.key()) {
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

/// Checks the rows of a value against its header and the query; returns the measures of the first and last row.
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
    // A total is over all rows of the range: only a value that begins at the start can be compared with it.
    if let Some(total) = header.total.as_ref().filter(|_| expected.position == Position::Start) {
        check_total_matches(total, &checker.aggregate, header.remainder.as_ref())?;
    }
    Ok(checker.first_measure.zip(last_measure))
}

/// Checks the bounds of the remainder; in a ranking none of its rows may be better than the last row.
fn check_remainder(header: &Header, query: &Query, last: Option<Units>) -> Result<(), InvalidValue> {
    let (Some(rest), Some(last)) = (&header.remainder, last) else { return Ok(()) };
    if rest.rows == Some(0) {
        return Err(inconsistent("no rows follow, and yet some do"));
    }
    if rest.max.zip(rest.min).is_some_and(|(most, least)| least > most) {
        return Err(inconsistent("the bounds of what follows are the wrong way round"));
    }
    if query.op != Op::Rank {
        return Ok(());
    }
    let better = match query.order {
        Order::Desc => rest.max.is_some_and(|most| most > last) || rest.min.is_some_and(|least| least > last),
        Order::Asc => rest.min.is_some_and(|least| least < last) || rest.max.is_some_and(|most| most < last),
    };
    match better {
        true => Err(inconsistent("what follows is better than the last row")),
        false => Ok(()),
    }
}

/// Checks a total over the whole range against the rows that are given and the remainder.
fn check_total_matches(
    total: &Total,
    given: &Aggregate,
    rest: Option<&Remainder>,
) -> Result<(), InvalidValue> {
    let wrong = || inconsistent("the total does not match the rows");
    let all = total.aggregate();
    check_aggregate(&all)?;
    let follow = all.rows.checked_sub(given.rows).ok_or_else(wrong)?;
    let fits = match rest {
        None => all == *given,
        Some(rest) => {
            let sum = all.sum.minus(given.sum).map_err(|_| wrong())?;
            let within = |bound: Option<Units>, low: bool| match bound.map(|b| b.times(follow)) {
                None => true,
                Some(Ok(b)) => (b <= sum) == low || b == sum,
                Some(Err(_)) => false,
            };
            follow > 0
                && rest.rows.is_none_or(|rows| rows == follow)
                && within(rest.min, true)
                && within(rest.max, false)
        }
    };
    match fits {
        true => Ok(()),
        false => Err(wrong()),
    }
}
