//! What a range answers: one JSON line that heads it, then a JSON array for each row, each on a line of its own
//! (`docs/merge-format.md`). Rows are read one by one where they are needed, never all at once.

use std::borrow::Cow;
use std::fmt;
use std::marker::PhantomData;

use serde::de::{self, SeqAccess, Visitor};
use serde::{Deserialize, Deserializer};
use serde_json::value::RawValue;

use crate::aggregate::Aggregate;
use crate::cursor::Position;
use crate::query::{Op, Order, Query, FORM};
use crate::units::{Units, MAX_SCALE};
use crate::{Range, Version};

/// Bytes of a key.
pub const KEY_BYTES: usize = 256;

/// What stands before a value's rows.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Header {
    v: u8,
    /// The range that it speaks for.
    pub range: Range,
    /// The version of the range's data when reading began.
    pub version: Version,
    /// And when it ended: the same, or the value is of two versions.
    until: Version,
    /// Decimals of the measure.
    scale: u8,
    /// Rows that follow this line.
    #[serde(default)]
    pub rows: usize,
    /// Rows of the range that follow the value's last one.
    #[serde(default, rename = "rest")]
    pub remainder: Option<Remainder>,
    /// All rows of the range that match, whatever the value holds of them.
    #[serde(default)]
    pub total: Option<Total>,
    /// There is a row that no value can hold: it can be had from no replica.
    #[serde(default)]
    pub too_large: Option<TooLarge>,
}

/// Rows that follow a value's last one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(from = "wire::Rest")]
pub struct Remainder {
    /// How many, where the range knows.
    pub rows: Option<u64>,
    /// None of them has a greater measure.
    pub max: Option<Units>,
    /// None of them has a lesser one.
    pub min: Option<Units>,
}

/// Exact figures over all rows of a range.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Total {
    /// How many rows.
    pub rows: u64,
    /// The sum of the measure.
    pub sum: Units,
    /// The least; none where there are no rows.
    #[serde(default)]
    pub min: Option<Units>,
    /// The greatest; none where there are no rows.
    #[serde(default)]
    pub max: Option<Units>,
}

/// A row that no value can hold.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TooLarge {
    /// Its key.
    pub key: String,
    /// Its bytes.
    #[serde(default)]
    pub bytes: u64,
}

/// The remainder as values write it.
mod wire {
    use serde::Deserialize;

    use crate::units::Units;

    #[derive(Deserialize)]
    #[serde(deny_unknown_fields)]
    pub struct Rest {
        #[serde(default)]
        rows: Option<u64>,
        #[serde(default)]
        most: Option<Units>,
        #[serde(default)]
        least: Option<Units>,
    }

    impl From<Rest> for super::Remainder {
        fn from(rest: Rest) -> Self {
            Self { rows: rest.rows, max: rest.most, min: rest.least }
        }
    }
}

/// Why a value does not count: it is spoilt or old, and its attempt is as one that may have run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum InvalidValue {
    /// It is not in the form that is published; what is wrong with it.
    Malformed(String),
    /// It speaks for this range, and another was asked.
    WrongRange(Range),
    /// Its data changed from one version to another while it was read.
    MixedVersions(Version, Version),
    /// Its data is older than what the client has seen already: its version, and the least that will do.
    StaleVersion(Version, Version),
    /// It contradicts itself or the query.
    Inconsistent(String),
}

impl fmt::Display for InvalidValue {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Malformed(what) => write!(f, "the value is malformed: {what}"),
            Self::WrongRange(range) => write!(f, "the value speaks for range {range}"),
            Self::MixedVersions(a, b) => {
                write!(f, "the data changed from version {a} to {b} while it was read")
            }
            Self::StaleVersion(at, least) => {
                write!(f, "the replica is at version {at}, and {least} has been seen")
            }
            Self::Inconsistent(what) => write!(f, "the value contradicts itself: {what}"),
        }
    }
}

impl std::error::Error for InvalidValue {}

fn malformed(what: impl fmt::Display) -> InvalidValue {
    InvalidValue::Malformed(what.to_string())
}

fn contradiction(what: &str) -> InvalidValue {
    InvalidValue::Inconsistent(what.to_string())
}

/// A row of a ranking or a listing: `["key", measure]` or `["key", measure, body]`.
#[derive(Debug, Clone)]
pub struct Entry<'a> {
    /// Its key: unique within its range.
    pub key: Cow<'a, str>,
    /// Its measure.
    pub measure: Units,
    /// More of it, passed on to the letter.
    pub body: Option<&'a RawValue>,
}

/// A row of a grouped figure: `["key", rows, sum, min, max]`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Group<'a> {
    /// The group's key.
    pub key: Cow<'a, str>,
    /// The figures of the group's rows in this range.
    pub aggregate: Aggregate,
}

/// What has a key.
pub trait RowKey<'a> {
    /// Its key.
    fn key(&self) -> &Cow<'a, str>;
}

/// A row of either kind.
pub trait Row<'a>: Deserialize<'a> + RowKey<'a> + 'a {}

impl<'a> Row<'a> for Entry<'a> {}

impl<'a> Row<'a> for Group<'a> {}

impl<'a> RowKey<'a> for Entry<'a> {
    fn key(&self) -> &Cow<'a, str> {
        &self.key
    }
}

impl<'a> RowKey<'a> for Group<'a> {
    fn key(&self) -> &Cow<'a, str> {
        &self.key
    }
}

/// A key that borrows from the text where it can.
struct Key<'a>(Cow<'a, str>);

struct KeyVisitor<'a>(PhantomData<&'a ()>);

impl<'de: 'a, 'a> Visitor<'de> for KeyVisitor<'a> {
    type Value = Key<'a>;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a key")
    }

    fn visit_borrowed_str<E: de::Error>(self, text: &'de str) -> Result<Key<'a>, E> {
        Ok(Key(Cow::Borrowed(text)))
    }

    fn visit_str<E: de::Error>(self, text: &str) -> Result<Key<'a>, E> {
        Ok(Key(Cow::Owned(text.to_string())))
    }
}

impl<'de: 'a, 'a> Deserialize<'de> for Key<'a> {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_str(KeyVisitor(PhantomData))
    }
}

struct RowVisitor<R>(PhantomData<R>);

fn need<'de, T: Deserialize<'de>, A: SeqAccess<'de>>(seq: &mut A, what: &'static str) -> Result<T, A::Error> {
    seq.next_element()?.ok_or_else(|| de::Error::custom(format_args!("a row has no {what}")))
}

impl<'de> Visitor<'de> for RowVisitor<Entry<'de>> {
    type Value = Entry<'de>;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a row: key, measure and perhaps a body")
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<Entry<'de>, A::Error> {
        let Key(key) = need(&mut seq, "key")?;
        Ok(Entry { key, measure: need(&mut seq, "measure")?, body: seq.next_element()? })
    }
}

impl<'de> Visitor<'de> for RowVisitor<Group<'de>> {
    type Value = Group<'de>;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a group: key, rows, sum, min and max")
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<Group<'de>, A::Error> {
        let Key(key) = need(&mut seq, "key")?;
        let (rows, sum) = (need(&mut seq, "count of rows")?, need(&mut seq, "sum")?);
        let (min, max): (Units, Units) = (need(&mut seq, "least")?, need(&mut seq, "greatest")?);
        Ok(Group { key, aggregate: Aggregate { rows, sum, ends: Some((min, max)) } })
    }
}

impl<'de: 'a, 'a> Deserialize<'de> for Entry<'a> {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_seq(RowVisitor::<Entry>(PhantomData))
    }
}

impl<'de: 'a, 'a> Deserialize<'de> for Group<'a> {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_seq(RowVisitor::<Group>(PhantomData))
    }
}

/// A value whose header is read; its rows are read on demand.
#[derive(Debug, Clone)]
pub struct Value<'a> {
    /// What stands before the rows.
    pub header: Header,
    rows: &'a str,
}

impl<'a> Value<'a> {
    /// Reads the first line.
    ///
    /// # Errors
    /// It is not in the form.
    pub fn read(text: &'a str) -> Result<Self, InvalidValue> {
        let (line, rows) = text.split_once('\n').unwrap_or((text, ""));
        let header: Header = serde_json::from_str(line).map_err(malformed)?;
        if header.v != FORM {
            return Err(malformed(format_args!("form {} is not known, this is {FORM}", header.v)));
        }
        if header.scale > MAX_SCALE {
            return Err(malformed("the scale is beyond 18"));
        }
        Ok(Self { header, rows })
    }

    /// Its rows, one by one.
    pub fn rows<R: Row<'a> + 'a>(&self) -> impl Iterator<Item = Result<R, InvalidValue>> + 'a {
        let rows = serde_json::Deserializer::from_str(self.rows).into_iter::<R>();
        rows.map(|r| r.map_err(malformed))
    }
}

/// What a value is checked against: it must answer this query, for this range, from this place on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Expected {
    /// The range that was asked.
    pub range: Range,
    /// Where its rows were to begin.
    pub position: Position,
    /// The least version that will do.
    pub at_least: Option<Version>,
}

/// A value that counts.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Checked {
    /// What stands before its rows.
    pub header: Header,
    /// The measures of its first and its last row.
    pub ends: Option<(Units, Units)>,
}

/// Checks a value once it has come, in one pass without keeping anything.
///
/// # Errors
/// Says why it does not count.
pub fn check(text: &str, query: &Query, expected: &Expected) -> Result<Checked, InvalidValue> {
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
        return Ok(Checked { header: value.header, ends: None });
    }
    let ends = match (query.op.is_aggregate(), query.grouped) {
        (true, false) => {
            check_total(&value)?;
            None
        }
        (true, true) => check_rows::<Group>(&value, query, expected)?,
        (false, _) => check_rows::<Entry>(&value, query, expected)?,
    };
    Ok(Checked { header: value.header, ends })
}

fn check_total(value: &Value<'_>) -> Result<(), InvalidValue> {
    let header = &value.header;
    let total = header.total.ok_or_else(|| malformed("a total is expected"))?;
    if header.rows > 0 || header.remainder.is_some() || !value.rows.trim().is_empty() {
        return Err(malformed("a total has no rows"));
    }
    check_fold(&total.aggregate())
}

/// A aggregate's own figures: none without rows, and the sum within what they allow.
fn check_fold(aggregate: &Aggregate) -> Result<(), InvalidValue> {
    match (aggregate.rows, aggregate.ends) {
        (0, None) if aggregate.sum == Units(0) => Ok(()),
        (1.., Some((min, max))) if min <= max => {
            let within = |low: Units, high: Units| low <= aggregate.sum && aggregate.sum <= high;
            match (min.times(aggregate.rows), max.times(aggregate.rows)) {
                (Ok(low), Ok(high)) if within(low, high) => Ok(()),
                // Rows that cannot add up to a figure that fits.
                _ => Err(contradiction("the sum does not fit the rows, the least and the greatest")),
            }
        }
        _ => Err(contradiction("rows, sum, least and greatest do not fit each other")),
    }
}

impl Total {
    /// The same as a aggregate.
    pub fn aggregate(&self) -> Aggregate {
        Aggregate { rows: self.rows, sum: self.sum, ends: self.min.zip(self.max) }
    }
}

/// Whether a row may follow another.
fn follows<'a, R: Tally<'a>>(last: &R, next: &R, query: &Query) -> bool {
    if query.op == Op::Rank {
        crate::rank::before(query.order, (last.measure(), last.key()), (next.measure(), next.key()))
    } else {
        last.key() < next.key()
    }
}

/// What a row adds to the check.
trait Tally<'a>: Row<'a> {
    fn measure(&self) -> Units;
    fn aggregate(&self) -> Result<Aggregate, InvalidValue>;
}

impl<'a> Tally<'a> for Entry<'a> {
    fn measure(&self) -> Units {
        self.measure
    }

    fn aggregate(&self) -> Result<Aggregate, InvalidValue> {
        Ok(Aggregate::of_row(self.measure))
    }
}

impl<'a> Tally<'a> for Group<'a> {
    fn measure(&self) -> Units {
        self.aggregate.sum
    }

    fn aggregate(&self) -> Result<Aggregate, InvalidValue> {
        check_fold(&self.aggregate)?;
        match self.aggregate.rows {
            0 => Err(contradiction("a group without rows")),
            _ => Ok(self.aggregate),
        }
    }
}

/// Rows must be as many as declared and no more than asked for, in strict order, behind the place that was asked
/// for; and with what follows them they must fit the total.
fn check_rows<'a, R: Tally<'a>>(
    value: &Value<'a>,
    query: &Query,
    expected: &Expected,
) -> Result<Option<(Units, Units)>, InvalidValue> {
    let header = &value.header;
    if header.rows > query.limit {
        return Err(contradiction("more rows than were asked for"));
    }
    let (mut count, mut aggregate) = (0, Aggregate::default());
    let mut last: Option<R> = None;
    let mut first = None;
    for row in value.rows::<R>() {
        let row = row?;
        count += 1;
        if count > header.rows {
            return Err(contradiction("more rows than it declares"));
        }
        if row.key().len() > KEY_BYTES {
            return Err(malformed("a key is longer than 256 bytes"));
        }
        let begins = last.is_none() && query.op != Op::Rank;
        if begins && !expected.position.admits(row.key()) {
            return Err(contradiction("rows that were passed already"));
        }
        if last.as_ref().is_some_and(|last| !follows(last, &row, query)) {
            return Err(contradiction("rows are out of order"));
        }
        aggregate = aggregate.merge(&row.aggregate()?).map_err(|e| contradiction(&e.to_string()))?;
        first = first.or(Some(row.measure()));
        last = Some(row);
    }
    if count != header.rows {
        return Err(contradiction("fewer rows than it declares"));
    }
    if count == 0 && header.remainder.is_some() {
        return Err(contradiction("rows follow, and none is given"));
    }
    let last = last.map(|r| r.measure());
    check_rest(header, query, last)?;
    // A total speaks for all rows of the range: only a value that begins at the start can be held against it.
    match &header.total {
        Some(total) if expected.position == Position::Start => {
            check_against(total, &aggregate, header.remainder.as_ref())?
        }
        _ => {}
    }
    Ok(first.zip(last))
}

/// What follows in a ranking is bounded, and no better than the last row.
fn check_rest(header: &Header, query: &Query, last: Option<Units>) -> Result<(), InvalidValue> {
    let (Some(rest), Some(last)) = (&header.remainder, last) else { return Ok(()) };
    if rest.rows == Some(0) {
        return Err(contradiction("no rows follow, and yet some do"));
    }
    if rest.max.zip(rest.min).is_some_and(|(most, least)| least > most) {
        return Err(contradiction("the bounds of what follows are the wrong way round"));
    }
    if query.op != Op::Rank {
        return Ok(());
    }
    let better = match query.order {
        Order::Desc => rest.max.is_some_and(|most| most > last) || rest.min.is_some_and(|least| least > last),
        Order::Asc => rest.min.is_some_and(|least| least < last) || rest.max.is_some_and(|most| most < last),
    };
    match better {
        true => Err(contradiction("what follows is better than the last row")),
        false => Ok(()),
    }
}

fn check_against(total: &Total, given: &Aggregate, rest: Option<&Remainder>) -> Result<(), InvalidValue> {
    let wrong = || contradiction("the total does not match the rows");
    let all = total.aggregate();
    check_fold(&all)?;
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

#[cfg(test)]
mod tests;
