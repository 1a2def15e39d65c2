//! A merged answer and its JSON: what it rests on first, its rows last, so that a long one can be sent in pieces.

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
    /// Over the ranges that are in; none where there are no rows, for least, greatest and mean.
    pub value: Option<String>,
    /// Whether that is the exact figure over all ranges: a mean may have been rounded.
    pub exact: bool,
    /// Rows that it rests on.
    pub rows: u64,
    /// Their exact sum.
    pub sum: String,
    /// The figure over all ranges, if those that are missing hold what they last said: see their versions.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub within: Option<Interval>,
}

/// Between these lies a figure, both included.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Interval {
    /// The least that it can be.
    pub low: String,
    /// The greatest that it can be.
    pub high: String,
}

/// A range that is missing.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct MissingRange {
    /// Which.
    pub range: Range,
    /// A word for why.
    pub reason: &'static str,
    /// The same in words.
    pub detail: String,
    /// What the answer says in spite of it rests on this version of its data.
    #[serde(skip_serializing_if = "Option::is_none", rename = "boundedAtVersion")]
    pub bounded_at: Option<Version>,
}

/// A range that is in.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct IncludedRange {
    /// Which.
    pub range: Range,
    /// The version of its data.
    pub version: Version,
}

/// What stands before an answer's rows.
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
    /// Of a ranking: so many rows, from the first on, stand in the exact answer at that place.
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

/// A row as answers write it.
#[derive(Debug, Clone, Serialize)]
pub struct AnswerRow<'a> {
    /// Its key.
    pub key: &'a str,
    /// Its measure or figure, as a decimal.
    pub value: Option<String>,
    /// Where it lies.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub range: Option<Range>,
    /// Of a group: how many rows.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub rows: Option<u64>,
    /// Of a group: their exact sum.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub sum: Option<String>,
    /// Of a group that an earlier page gave: ranges that were missing then add this to it.
    #[serde(skip_serializing_if = "std::ops::Not::not")]
    pub late: bool,
    /// Only where it is not exact: the least that the value can be; null: not bounded.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub low: Option<Option<String>>,
    /// And the greatest.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub high: Option<Option<String>>,
    /// Whether the value is exact.
    pub exact: bool,
    /// What the row carries, to the letter.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub body: Option<&'a RawValue>,
}

/// A merged answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Answer {
    /// What stands before the rows.
    pub head: AnswerHeader,
    /// The rows, each as JSON.
    pub rows: Vec<String>,
}

impl Answer {
    /// The answer's JSON in pieces of about this many bytes.
    pub fn pieces(&self, bytes: usize) -> impl Iterator<Item = String> + '_ {
        // A struct of text and numbers is always written.
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
                let by = |n| mean.plus(Units(n)).ok().map(|u| u.decimal(query.scale));
                (by(-1)?, by(1)?)
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
    let there = coverage.versions.iter().map(|(&range, &version)| IncludedRange { range, version }).collect();
    let gap = |(&range, reason): (&Range, &crate::coverage::MissingReason)| MissingRange {
        range,
        reason: reason.code(),
        detail: reason.to_string(),
        bounded_at: bounded(range),
    };
    (there, coverage.missing.iter().map(gap).collect())
}
