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
    /// The first rows by a measure.
    Rank,
    /// The measure's sum.
    Sum,
    /// How many rows there are.
    Count,
    /// The least measure.
    Min,
    /// The greatest measure.
    Max,
    /// The measure's mean.
    Mean,
    /// Rows in key order, page by page.
    List,
}

impl Op {
    /// Whether it aggregates rows into one figure.
    pub fn is_aggregate(self) -> bool {
        !matches!(self, Self::Rank | Self::List)
    }
}

/// The order of a ranking.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Order {
    /// Greatest first.
    #[default]
    Desc,
    /// Least first.
    Asc,
}

/// A query over all ranges.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Query {
    /// The set of data that it reads.
    pub set: String,
    /// The operation.
    pub op: Op,
    /// The measure.
    pub measure: String,
    /// Decimals of the measure.
    pub scale: u8,
    /// The order of a ranking.
    pub order: Order,
    /// Rows of one key are added up over all ranges first.
    pub grouped: bool,
    /// The most rows of an answer, or of a page.
    pub limit: usize,
    /// Fields that rows must match; the data nodes interpret them.
    pub filter: BTreeMap<String, String>,
}

/// What the requests to all ranges have in common, in the order of the format.
#[derive(Serialize)]
struct Shape<'a> {
    v: u8,
    set: &'a str,
    op: Op,
    measure: &'a str,
    scale: u8,
    order: Order,
    grouped: bool,
    filter: &'a BTreeMap<String, String>,
}

#[derive(Serialize)]
struct Text<'a> {
    #[serde(flatten)]
    shape: Shape<'a>,
    limit: usize,
    range: Range,
    #[serde(skip_serializing_if = "Option::is_none")]
    after: Option<&'a str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    from: Option<&'a str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    at_least: Option<Version>,
}

/// The version of the format of requests and values.
pub const FORMAT_VERSION: u8 = 1;

impl Query {
    /// Whether its answer comes page by page: listings, and grouped figures in the order of their keys.
    pub fn paged(&self) -> bool {
        self.op == Op::List || (self.op.is_aggregate() && self.grouped)
    }

    fn shape(&self) -> Shape<'_> {
        Shape {
            v: FORMAT_VERSION,
            set: &self.set,
            op: self.op,
            measure: &self.measure,
            scale: self.scale,
            order: self.order,
            grouped: self.grouped,
            filter: &self.filter,
        }
    }

    /// A digest of all that the answer depends on except the limit. Cursors are bound to it, and it is the key of
    /// the range cache.
    pub fn digest(&self) -> [u8; 16] {
        // Serializing text and numbers cannot fail.
        let text = serde_json::to_vec(&self.shape()).unwrap_or_default();
        let mut digest = [0; 16];
        digest.copy_from_slice(&Sha256::digest(&text)[..16]);
        digest
    }

    /// The request text for one range (JSON, `docs/merge-format.md`): the position at which its rows begin, and the
    /// least version of its data that is accepted.
    pub fn text(&self, range: Range, position: &Position, at_least: Option<Version>) -> String {
        let (after, from) = match position {
            Position::Start => (None, None),
            Position::After(key) => (Some(key.as_ref()), None),
            Position::From(key) => (None, Some(key.as_ref())),
        };
        let text = Text { shape: self.shape(), limit: self.limit, range, after, from, at_least };
        serde_json::to_string(&text).unwrap_or_default()
    }
}
