//! What the desk front is asked and answers, as `docs/desk-openapi.json` has it.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;

/// A query.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize)]
#[serde(rename_all = "camelCase")]
pub struct Query {
    /// `rank`, `sum`, `count`, `min`, `max`, `mean` or `list`.
    pub op: String,
    /// The measure; the set's first one where it is not given.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub measure: Option<String>,
    /// `desc` or `asc`.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub order: Option<String>,
    /// Rows of one key are added up over all ranges.
    #[serde(skip_serializing_if = "std::ops::Not::not")]
    pub grouped: bool,
    /// Rows of an answer or a page.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub limit: Option<usize>,
    /// Fields that rows must match.
    #[serde(skip_serializing_if = "BTreeMap::is_empty")]
    pub filter: BTreeMap<String, String>,
    /// Where a listing goes on.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub cursor: Option<String>,
    /// How long the service may take, in milliseconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub timeout_ms: Option<u64>,
}

impl Query {
    /// A query of an operation.
    pub fn new(op: &str) -> Self {
        Self { op: op.to_string(), ..Self::default() }
    }
}

/// A range that is missing.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Gap {
    /// Which.
    pub range: u32,
    /// A word for why.
    pub reason: String,
    /// The same in words.
    pub detail: String,
}

/// A range that is in.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
pub struct In {
    /// Which.
    pub range: u32,
    /// The version of its data.
    pub version: u64,
}

/// One figure.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct Figure {
    /// Over the ranges that are in.
    pub value: Option<String>,
    /// Whether that is exact over all ranges.
    pub exact: bool,
    /// Rows that it rests on.
    pub rows: u64,
    /// Where the exact figure lies, if missing ranges hold what they last said.
    #[serde(default)]
    pub within: Option<Interval>,
}

/// Between these lies a figure.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct Interval {
    /// The least that it can be.
    pub low: String,
    /// The greatest that it can be.
    pub high: String,
}

/// A row.
#[derive(Debug, Clone, Deserialize)]
pub struct Row {
    /// Its key.
    pub key: String,
    /// Its measure or figure, an exact decimal.
    pub value: Option<String>,
    /// Where it lies.
    #[serde(default)]
    pub range: Option<u32>,
    /// Whether the value is exact.
    pub exact: bool,
    /// Whether it adds to a group that an earlier page gave.
    #[serde(default)]
    pub late: bool,
    /// What it carries, to the letter.
    #[serde(default)]
    pub body: Option<Box<RawValue>>,
}

/// An answer, or a page of one.
#[derive(Debug, Clone, Deserialize)]
pub struct Page {
    /// The operation.
    pub op: String,
    /// Every range is in and all that is given is exact.
    pub whole: bool,
    /// The share of the ranges that are in, rounded down.
    pub coverage: String,
    /// Those that are in.
    pub ranges: Vec<In>,
    /// Those that are not.
    pub missing: Vec<Gap>,
    /// Of a ranking: so many leading rows are certain.
    #[serde(default)]
    pub certain: Option<usize>,
    /// The figure of an operation that gives one.
    #[serde(default)]
    pub figure: Option<Figure>,
    /// The cursor of the next page.
    #[serde(default)]
    pub next: Option<String>,
    /// The rows.
    pub rows: Vec<Row>,
}

/// A problem document (RFC 9457).
#[derive(Debug, Clone, PartialEq, Eq, Default, Deserialize)]
pub struct Problem {
    /// What is wrong.
    #[serde(default)]
    pub detail: String,
    /// The field of the query at fault.
    #[serde(default)]
    pub field: String,
}

/// What came back for a query.
#[derive(Debug, Clone)]
pub enum Reply {
    /// An answer.
    Page(Box<Page>),
    /// A status other than 200, its problem, and when to come back in milliseconds, where it says so.
    Problem(u16, Problem, Option<u64>),
    /// Nothing that can be used: the connection failed or the answer is no answer.
    Lost(String),
}

/// `Retry-After` (RFC 9110, section 10.2.3) in seconds, whole or decimal, as milliseconds; a date is not followed.
pub fn retry_after(text: &str) -> Option<u64> {
    let seconds: f64 = text.trim().parse().ok()?;
    // At most a day: what is longer is a mistake.
    (0.0..=86_400.0).contains(&seconds).then_some((seconds * 1000.0).ceil() as u64)
}

impl Reply {
    /// Reads an answer's status, `Retry-After` and body.
    pub fn read(status: u16, retry: Option<&str>, body: &str) -> Self {
        if status == 200 {
            return match serde_json::from_str(body) {
                Ok(page) => Self::Page(Box::new(page)),
                Err(e) => Self::Lost(format!("the answer is not as published: {e}")),
            };
        }
        let plain = || Problem { detail: body.trim().chars().take(200).collect(), ..Problem::default() };
        let problem = serde_json::from_str(body).unwrap_or_else(|_| plain());
        Self::Problem(status, problem, retry.and_then(retry_after))
    }
}

#[cfg(test)]
mod tests;
