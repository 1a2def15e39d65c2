//! A merged answer and its JSON: the header first and the rows last, so that a long answer can be sent in pieces.

use serde::Serialize;
use serde_json::value::RawValue;

use crate::aggregate::{figure, Aggregate};
use crate::coverage::Coverage;
use crate::query::{Op, Query};
use crate::units::Units;
use crate::{Range, Version};

/// An answer's figure.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Figure {
    /// Over the ranges that are in. Without rows the minimum, the maximum and the mean are `None`.
    pub value: Option<String>,
    /// Whether that is the exact figure over all ranges: a mean may have been rounded.
    pub exact: bool,
    /// The rows that it is computed from.
    pub rows: u64,
    /// Their exact sum.
    pub sum: String,
    /// Bounds of the figure over all ranges, if those that are missing still hold what the cache has of them.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub within: Option<Interval>,
}

/// A closed interval that contains a figure.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Interval {
    /// Its lower end.
    pub low: String,
    /// Its upper end.
    pub high: String,
}

/// A range that is missing from an answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct MissingRange {
    /// The range.
    pub range: Range,
    /// The code of the reason.
    pub reason: &'static str,
    /// The reason in words.
    pub detail: String,
    /// The version of its data by which the answer is bounded all the same.
    #[serde(skip_serializing_if = "Option::is_none", rename = "boundedAtVersion")]
    pub bounded_at_version: Option<Version>,
}

/// A range that is in an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct IncludedRange {
    /// The range.
    pub range: Range,
    /// The version of its data.
    pub version: Version,
}

/// The part of an answer before its rows.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct AnswerHeader {
    /// The set of data.
    pub set: String,
    /// The operation.
    pub op: Op,
    /// The measure.
    pub measure: String,
    /// Whether every range is in and all that is given is exact.
    pub whole: bool,
    /// The share of the ranges that are in, rounded down.
    pub coverage: String,
    /// The ranges that are in.
    pub ranges: Vec<IncludedRange>,
    /// Those that are not.
    pub missing: Vec<MissingRange>,
    /// Of a ranking: how many rows, from the first on, stand in the exact answer at the same place.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub certain: Option<usize>,
    /// The figure of an operation that gives one.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub figure: Option<Figure>,
    /// Whether more rows follow.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub more: Option<bool>,
    /// The cursor of the next page, if there is one.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub next: Option<String>,
}

/// A row of an answer.
#[derive(Debug, Clone, Serialize)]
pub struct AnswerRow<'a> {
    /// Its key.
    pub key: &'a str,
    /// Its measure or figure, as a decimal.
    pub value: Option<String>,
    /// The range that holds it.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub range: Option<Range>,
    /// Of a group: how many rows.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub rows: Option<u64>,
    /// Of a group: their exact sum.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub sum: Option<String>,
    /// An earlier page gave this group, and ranges that were missing then now add to it.
    #[serde(skip_serializing_if = "std::ops::Not::not")]
    pub late: bool,
    /// Only where the value is not exact: its lower bound; null where unbounded.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub low: Option<Option<String>>,
    /// Only where the value is not exact: its upper bound; null where unbounded.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub high: Option<Option<String>>,
    /// Whether the value is exact.
    pub exact: bool,
    /// The body of the row, passed on unchanged.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub body: Option<&'a RawValue>,
}

/// A merged answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Answer {
    /// The part before the rows.
    pub head: AnswerHeader,
    /// The rows, each as JSON.
    pub rows: Vec<String>,
}

impl Answer {
    /// The answer's JSON in pieces of about this many bytes.
    pub fn pieces(&self, bytes: usize) -> impl Iterator<Item = String> + '_ {
        // Serializing text and numbers cannot fail.
        let mut first = serde_json::to_string(&self.head).unwrap_or_else(|_| "{}".into());
        first.pop();
        first.push_str(",\"rows\":[");
        let mut rows = self.rows.iter().enumerate().peekable();
        let mut piece = Some(first);
        std::iter::from_fn(move || {
            let mut text = piece.take()?;
            while text.len() < bytes {
                let Some((n, row)) = rows.next() else { break };
                if n > 0 {
                    text.push(',');
                }
                text.push_str(row);
            }
            match rows.peek() {
                Some(_) => piece = Some(String::new()),
                None => text.push_str("]}"),
            }
            Some(text)
        })
    }

    /// The answer's JSON.
    pub fn text(&self) -> String {
        self.pieces(usize::MAX).collect()
    }
}

/// The figure of an operation over all ranges that are in, with the interval of the exact one where it is bounded.
pub(crate) fn figure_of(query: &Query, known: &Aggregate, within: Option<&Aggregate>, whole: bool) -> Figure {
    let own = figure(query.op, known, query.scale);
    let within = within.filter(|_| !whole).and_then(|all| {
        let figure = figure(query.op, all, query.scale);
        // A rounded mean lies within a unit of the last decimal.
        let value = figure.value?;
        let (low, high) = match figure.exact {
            true => (value.clone(), value),
            false => {
                let mean = Units::parse(&value, query.scale)?;
                let shifted_by = |n| mean.plus(Units(n)).ok().map(|u| u.decimal(query.scale));
                (shifted_by(-1)?, shifted_by(1)?)
            }
        };
        Some(Interval { low, high })
    });
    Figure {
        value: own.value,
        exact: own.exact && whole,
        rows: known.rows,
        sum: known.sum.decimal(query.scale),
        within,
    }
}

/// The ranges of an answer, and what is known of those that are missing.
pub(crate) fn ranges(
    coverage: &Coverage,
    bounded: impl Fn(Range) -> Option<Version>,
) -> (Vec<IncludedRange>, Vec<MissingRange>) {
    let included =
        coverage.versions.iter().map(|(&range, &version)| IncludedRange { range, version }).collect();
    let missing_range = |(&range, reason): (&Range, &crate::coverage::MissingReason)| MissingRange {
        range,
        reason: reason.code(),
        detail: reason.to_string(),
        bounded_at_version: bounded(range),
    };
    (included, coverage.missing.iter().map(missing_range).collect())
}
