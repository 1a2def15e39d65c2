//! The rows of a value: ranked or listed entries, and groups.

use std::borrow::Cow;
use std::fmt;
use std::marker::PhantomData;

use serde::de::{self, SeqAccess, Visitor};
use serde::{Deserialize, Deserializer};
use serde_json::value::RawValue;

use crate::aggregate::Aggregate;
use crate::units::Units;

/// A row of a ranking or a listing: `["key", measure]` or `["key", measure, body]`.
#[derive(Debug, Clone)]
pub struct Entry<'a> {
    /// Key, unique within the range.
    pub key: Cow<'a, str>,
    /// Measure in units of the query's scale.
    pub measure: Units,
    /// Body, returned unchanged; `None` if the row has none.
    pub body: Option<&'a RawValue>,
}

/// A row of a grouped aggregate: `["key", rows, sum, min, max]`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Group<'a> {
    /// Key of the group, unique within the range.
    pub key: Cow<'a, str>,
    /// Aggregate over the group's rows in this range.
    pub aggregate: Aggregate,
}

/// A row that can be merged in key order.
pub trait RowKey<'a> {
    /// The key that the rows are ordered by.
    fn key(&self) -> &Cow<'a, str>;
}

/// A row that can be parsed from a value.
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

/// A key that borrows from the text unless it contains escape sequences.
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

fn next_field<'de, T: Deserialize<'de>, A: SeqAccess<'de>>(
    seq: &mut A,
    what: &'static str,
) -> Result<T, A::Error> {
    seq.next_element()?.ok_or_else(|| de::Error::custom(format_args!("a row has no {what}")))
}

impl<'de> Visitor<'de> for RowVisitor<Entry<'de>> {
    type Value = Entry<'de>;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a row: key, measure and perhaps a body")
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<Entry<'de>, A::Error> {
        let Key(key) = next_field(&mut seq, "key")?;
        Ok(Entry { key, measure: next_field(&mut seq, "measure")?, body: seq.next_element()? })
    }
}

impl<'de> Visitor<'de> for RowVisitor<Group<'de>> {
    type Value = Group<'de>;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a group: key, rows, sum, min and max")
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<Group<'de>, A::Error> {
        let Key(key) = next_field(&mut seq, "key")?;
        let (rows, sum) = (next_field(&mut seq, "count of rows")?, next_field(&mut seq, "sum")?);
        let (min, max): (Units, Units) = (next_field(&mut seq, "least")?, next_field(&mut seq, "greatest")?);
        Ok(Group { key, aggregate: Aggregate { rows, sum, min_max: Some((min, max)) } })
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
