//! A merged answer and its JSON: the header precedes the rows, so that a long answer can be sent in pieces.

use serde::Serialize;
use serde_json::value::RawValue;

use crate::aggregate::{figure, Aggregate};
use crate::coverage::Coverage;
use crate::query::{Op, Query};
use crate::units::Units;
use crate::{Range, Version};

/// The result of an aggregate operation, as written in an answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Figure {
    /// The value over the included ranges; `None` for the minimum, maximum and mean of no rows.
    pub value: Option<String>,
    /// Whether `value` is exact over all ranges: no range is missing, and no mean was rounded.
    pub exact: bool,
    /// Number of rows that the value is computed from.
    pub rows: u64,
    /// Exact sum of these rows, as a decimal.
    pub sum: String,
    /// Bounds of the value over all ranges, assuming that the missing ones are unchanged since they were cached. `None`
    /// if no range is missing, or one has no cached total.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub within: Option<Interval>,
}

/// A closed interval that contains the exact value.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Interval {
    /// Lower bound, as a decimal.
    pub low: String,
    /// Upper bound, as a decimal.
    pub high: String,
}

/// A range that is missing from an answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct MissingRange {
    /// Index of the missing range.
    pub range: Range,
    /// Reason code; see [`crate::coverage::MissingReason::code`].
    pub reason: &'static str,
    /// Human-readable reason.
    pub detail: String,
    /// Version of the cached summary that bounds the range; `None` if the cache holds none.
    #[serde(skip_serializing_if = "Option::is_none", rename = "boundedAtVersion")]
    pub bounded_at_version: Option<Version>,
}

/// A range that an answer includes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct IncludedRange {
    /// Index of the included range.
    pub range: Range,
    /// Version of its data that the answer was computed from.
    pub version: Version,
}

/// The part of an answer before its rows.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct AnswerHeader {
    /// Name of the data set.
    pub set: String,
    /// Operation of the query.
    pub op: Op,
    /// Name of the measure.
    pub measure: String,
    /// Whether every range is included. A ranking must also be exact, certain and not cut short.
    pub whole: bool,
    /// Fraction of the ranges that are included, as a decimal with six digits, rounded down.
    pub coverage: String,
    /// Included ranges with their versions.
    pub ranges: Vec<IncludedRange>,
    /// Missing ranges with the reasons.
    pub missing: Vec<MissingRange>,
    /// Number of leading rows that are certain to have the same rank in the exact answer; rankings only.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub certain: Option<usize>,
    /// Result of an ungrouped aggregate operation; `None` for other operations.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub figure: Option<Figure>,
    /// Whether more rows may follow; `None` for an ungrouped aggregate operation.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub more: Option<bool>,
    /// Cursor of the next page; `None` on the last page and for answers without pages.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub next: Option<String>,
}

/// A row of an answer.
#[derive(Debug, Clone, Serialize)]
pub struct AnswerRow<'a> {
    /// Key of the row or group.
    pub key: &'a str,
    /// Measure of the row or result of the group, as a decimal.
    pub value: Option<String>,
    /// Range that holds the row; `None` for a group.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub range: Option<Range>,
    /// Number of rows of the group, in pages of groups only.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub rows: Option<u64>,
    /// Exact sum of the group's rows, in pages of groups only.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub sum: Option<String>,
    /// Whether an earlier page may have returned this group: the row then covers only ranges that were missing on that
    /// page.
    #[serde(skip_serializing_if = "std::ops::Not::not")]
    pub late: bool,
    /// Lower bound of an inexact value in a ranking, `Some(None)` (null) if unbounded; `None` (omitted) otherwise.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub low: Option<Option<String>>,
    /// Upper bound of an inexact value in a ranking, `Some(None)` (null) if unbounded; `None` (omitted) otherwise.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub high: Option<Option<String>>,
    /// Whether `value` is the exact value over all ranges.
    pub exact: bool,
    /// Body of the row, returned unchanged.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub body: Option<&'a RawValue>,
}

/// A merged answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Answer {
    /// The part before the rows.
    pub header: AnswerHeader,
    /// Rows, each serialized as JSON.
    pub rows: Vec<String>,
}

impl Answer {
    /// Serializes the answer as JSON in pieces of about `bytes` bytes each.
    pub fn pieces(&self, bytes: usize) -> impl Iterator<Item = String> + '_ {
        // Serializing text and numbers cannot fail.
        let mut first = serde_json::to_string(&self.header).unwrap_or_else(|_| "{}".into());
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

    /// Serializes the answer as JSON in one piece.
    pub fn text(&self) -> String {
        self.pieces(usize::MAX).collect()
    }
}

/// Computes the result over the included ranges, with an interval for the exact result if the missing ranges are
/// bounded.
pub(crate) fn figure_of(query: &Query, known: &Aggregate, within: Option<&Aggregate>, whole: bool) -> Figure {
    let own = figure(query.op, known, query.scale);
    let within = within.filter(|_| !whole).and_then(|all| {
        let figure = figure(query.op, all, query.scale);
        // A rounded mean is within one unit of the last decimal of the exact mean.
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

/// Lists the included and the missing ranges of an answer; `bounded` returns the cached version of a missing range.
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
