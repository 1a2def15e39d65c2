//! Requests and answers of the aggregation frontend, as `docs/desk-openapi.json` defines them.

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
    /// Where a listing continues.
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

/// A range that the answer does not cover.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct MissingRange {
    /// Its number.
    pub range: u32,
    /// The reason as a keyword.
    pub reason: String,
    /// The reason as a sentence.
    pub detail: String,
}

/// A range that the answer covers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
pub struct CoveredRange {
    /// Its number.
    pub range: u32,
    /// The version of its data.
    pub version: u64,
}

/// One figure.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct Figure {
    /// Its value over the ranges that are covered.
    pub value: Option<String>,
    /// Whether that is exact over all ranges.
    pub exact: bool,
    /// Rows that it is computed from.
    pub rows: u64,
    /// Bounds of the exact figure, if missing ranges still hold what they last reported.
    #[serde(default)]
    pub within: Option<Interval>,
}

/// The bounds of a figure.
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
    /// The range that holds it.
    #[serde(default)]
    pub range: Option<u32>,
    /// Whether the value is exact.
    pub exact: bool,
    /// Whether it adds to a group that an earlier page gave.
    #[serde(default)]
    pub late: bool,
    /// Its body, unchanged.
    #[serde(default)]
    pub body: Option<Box<RawValue>>,
}

/// An answer, or a page of one.
#[derive(Debug, Clone, Deserialize)]
pub struct Page {
    /// The operation.
    pub op: String,
    /// Whether every range is covered and everything in the page is exact.
    #[serde(rename = "whole")]
    pub complete: bool,
    /// The share of the ranges that is covered, rounded down.
    pub coverage: String,
    /// The ranges that are covered.
    pub ranges: Vec<CoveredRange>,
    /// The ranges that are not.
    pub missing: Vec<MissingRange>,
    /// Of a ranking: the number of leading rows that cannot be displaced.
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

/// The outcome of a request.
#[derive(Debug, Clone)]
pub enum Reply {
    /// An answer.
    Page(Box<Page>),
    /// A status other than 200, its problem, and the milliseconds of `Retry-After`, if it has one.
    Problem(u16, Problem, Option<u64>),
    /// No usable answer: the connection failed or the answer cannot be read.
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
