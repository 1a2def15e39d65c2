//! A query: its operation, measure and filter, and the request text for each range.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use crate::cursor::Position;
use crate::{Range, Version};

/// An operation over the rows of all ranges.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Op {
    /// First rows in the order of the measure.
    Rank,
    /// Sum of the measure.
    Sum,
    /// Number of rows.
    Count,
    /// Minimum of the measure.
    Min,
    /// Maximum of the measure.
    Max,
    /// Mean of the measure.
    Mean,
    /// Rows in key order, in pages.
    List,
}

impl Op {
    /// Whether the operation aggregates rows into one value, in total or for each group.
    pub fn is_aggregate(self) -> bool {
        !matches!(self, Self::Rank | Self::List)
    }
}

/// The order of a ranking.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Order {
    /// Greatest measure first.
    #[default]
    Desc,
    /// Least measure first.
    Asc,
}

/// A query over all ranges.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Query {
    /// Name of the data set.
    pub set: String,
    /// Operation to compute over all ranges.
    pub op: Op,
    /// Name of the measure.
    pub measure: String,
    /// Number of decimals of the measure.
    pub scale: u8,
    /// Order of a ranking.
    pub order: Order,
    /// Whether rows with the same key form a group, which is aggregated over all ranges.
    pub grouped: bool,
    /// Maximum number of rows of an answer, or of a page.
    pub limit: usize,
    /// Field values that rows must match, interpreted by the data nodes.
    pub filter: BTreeMap<String, String>,
}

/// The fields that the requests to all ranges have in common, in the order of the format.
#[derive(Serialize)]
struct CommonFields<'a> {
    #[serde(rename = "v")]
    format_version: u8,
    set: &'a str,
    op: Op,
    measure: &'a str,
    scale: u8,
    order: Order,
    grouped: bool,
    filter: &'a BTreeMap<String, String>,
}

#[derive(Serialize)]
struct RequestText<'a> {
    #[serde(flatten)]
    shape: CommonFields<'a>,
    limit: usize,
    range: Range,
    #[serde(skip_serializing_if = "Option::is_none")]
    after: Option<&'a str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    from: Option<&'a str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    at_least: Option<Version>,
}

/// Version of the format of requests and values.
pub const FORMAT_VERSION: u8 = 1;

impl Query {
    /// Whether the answer is returned in pages, in key order: listings and grouped aggregates.
    pub fn is_paged(&self) -> bool {
        self.op == Op::List || (self.op.is_aggregate() && self.grouped)
    }

    fn common_fields(&self) -> CommonFields<'_> {
        CommonFields {
            format_version: FORMAT_VERSION,
            set: &self.set,
            op: self.op,
            measure: &self.measure,
            scale: self.scale,
            order: self.order,
            grouped: self.grouped,
            filter: &self.filter,
        }
    }

    /// A digest of all fields except the limit. Cursors are bound to it, and the range cache uses it as a key.
    pub fn digest(&self) -> [u8; 16] {
        // Serializing text and numbers cannot fail.
        let text = serde_json::to_vec(&self.common_fields()).unwrap_or_default();
        let mut digest = [0; 16];
        digest.copy_from_slice(&Sha256::digest(&text)[..16]);
        digest
    }

    /// The request for one range as JSON (`docs/merge-format.md`), with the position at which its rows begin and the
    /// minimum accepted version of its data.
    pub fn text(&self, range: Range, position: &Position, at_least: Option<Version>) -> String {
        let (after, from) = match position {
            Position::Start => (None, None),
            Position::After(key) => (Some(key.as_ref()), None),
            Position::From(key) => (None, Some(key.as_ref())),
        };
        let text =
            RequestText { shape: self.common_fields(), limit: self.limit, range, after, from, at_least };
        serde_json::to_string(&text).unwrap_or_default()
    }
}
