//! Requests and responses of the aggregation frontend, as defined in `docs/desk-openapi.json`.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;

/// The body of an aggregation request.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize)]
#[serde(rename_all = "camelCase")]
pub struct Query {
    /// `rank`, `sum`, `count`, `min`, `max`, `mean` or `list`.
    pub op: String,
    /// The measure; defaults to the first one of the data set.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub measure: Option<String>,
    /// Sort order of rows: `desc` or `asc`.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub order: Option<String>,
    /// Whether rows with the same key are summed over all ranges.
    #[serde(skip_serializing_if = "std::ops::Not::not")]
    pub grouped: bool,
    /// Maximum number of rows in a response or page.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub limit: Option<usize>,
    /// Values that a row's fields must equal, by field name.
    #[serde(skip_serializing_if = "BTreeMap::is_empty")]
    pub filter: BTreeMap<String, String>,
    /// Cursor of the page to continue a listing from; `None` requests the first page.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub cursor: Option<String>,
    /// Time limit of the service, in milliseconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub timeout_ms: Option<u64>,
}

impl Query {
    /// Creates a query with this operation and no other parameters.
    pub fn new(op: &str) -> Self {
        Self { op: op.to_string(), ..Self::default() }
    }
}

/// A range missing from the response.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct MissingRange {
    /// Number of the range.
    pub range: u32,
    /// Machine-readable reason.
    pub reason: String,
    /// Human-readable reason.
    pub detail: String,
}

/// A range included in the response.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
pub struct CoveredRange {
    /// Number of the range.
    pub range: u32,
    /// Version of the range's data.
    pub version: u64,
}

/// A single aggregate value, such as a sum or a count.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct Figure {
    /// Decimal value over the covered ranges; `None` for the minimum, maximum or mean of no rows.
    pub value: Option<String>,
    /// Whether the value is exact over all ranges; a mean may be rounded.
    pub exact: bool,
    /// Number of rows that the value is computed from.
    pub rows: u64,
    /// Bounds of the exact value, assuming that the data of missing ranges is unchanged since their last report.
    #[serde(default)]
    pub within: Option<Interval>,
}

/// Bounds of a [`Figure`].
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct Interval {
    /// Inclusive lower bound.
    pub low: String,
    /// Inclusive upper bound.
    pub high: String,
}

/// A row of a page.
#[derive(Debug, Clone, Deserialize)]
pub struct Row {
    /// Key of the data item, or of the group in a grouped query.
    pub key: String,
    /// Value of the measure, or of the group in a grouped query, as a decimal.
    pub value: Option<String>,
    /// The range that holds the row; `None` if rows of several ranges were added up.
    #[serde(default)]
    pub range: Option<u32>,
    /// Whether the value is exact over all ranges.
    pub exact: bool,
    /// Whether the value adds to a group that an earlier page already contained.
    #[serde(default)]
    pub late: bool,
    /// The item's JSON body, unchanged.
    #[serde(default)]
    pub body: Option<Box<RawValue>>,
}

/// A response, or one page of it.
#[derive(Debug, Clone, Deserialize)]
pub struct Page {
    /// Operation of the query that the page answers.
    pub op: String,
    /// Whether every range is covered and everything in the page is exact.
    #[serde(rename = "whole")]
    pub complete: bool,
    /// Fraction of the ranges that is covered, a decimal rounded down.
    pub coverage: String,
    /// Ranges that are covered.
    pub ranges: Vec<CoveredRange>,
    /// Ranges that are not covered.
    pub missing: Vec<MissingRange>,
    /// For `rank`: the number of leading rows that data of missing ranges cannot displace.
    #[serde(default)]
    pub certain: Option<usize>,
    /// Result of an operation that returns a single value.
    #[serde(default)]
    pub figure: Option<Figure>,
    /// Cursor of the next page; `None` on the last one.
    #[serde(default)]
    pub next: Option<String>,
    /// Rows in the order of the query.
    pub rows: Vec<Row>,
}

/// A problem document (RFC 9457).
#[derive(Debug, Clone, PartialEq, Eq, Default, Deserialize)]
pub struct Problem {
    /// Explanation of the error.
    #[serde(default)]
    pub detail: String,
    /// Name of the invalid query field; empty if the error is not about a field.
    #[serde(default)]
    pub field: String,
}

/// The outcome of a request.
#[derive(Debug, Clone)]
pub enum Reply {
    /// A response with status 200.
    Page(Box<Page>),
    /// A status other than 200, its problem document, and the delay of its `Retry-After` header in milliseconds.
    Problem(u16, Problem, Option<u64>),
    /// The connection failed, or the response could not be parsed.
    Failed(String),
}

/// Parses a `Retry-After` header (RFC 9110, section 10.2.3) given in integer or decimal seconds, and returns
/// milliseconds. Dates are not supported.
pub fn parse_retry_after(text: &str) -> Option<u64> {
    let seconds: f64 = text.trim().parse().ok()?;
    // A delay of more than a day is considered an error of the server.
    (0.0..=86_400.0).contains(&seconds).then_some((seconds * 1000.0).ceil() as u64)
}

impl Reply {
    /// Parses a response from its status, `Retry-After` header and body.
    pub fn parse(status: u16, retry_after: Option<&str>, body: &str) -> Self {
        if status == 200 {
            return match serde_json::from_str(body) {
                Ok(page) => Self::Page(Box::new(page)),
                Err(e) => Self::Failed(format!("the response does not match the published schema: {e}")),
            };
        }
        let plain = || Problem { detail: body.trim().chars().take(200).collect(), ..Problem::default() };
        let problem = serde_json::from_str(body).unwrap_or_else(|_| plain());
        Self::Problem(status, problem, retry_after.and_then(parse_retry_after))
    }
}

#[cfg(test)]
mod tests;
