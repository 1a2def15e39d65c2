//! Values from data nodes, and the final answer of a query.

use std::sync::Arc;

use crate::api::{Nanos, ShardId};

/// A value from a data node.
#[derive(Debug, Clone, PartialEq)]
pub struct Value {
    /// Its score: the second phase of a query goes to the shards with the highest ones.
    pub score: u64,
    /// The value, unchanged.
    pub data: Arc<str>,
}

/// A row of an answer.
#[derive(Debug, Clone, PartialEq)]
pub struct Row {
    /// The shard.
    pub shard: ShardId,
    /// The value, unchanged.
    pub data: Arc<str>,
}

/// The one final answer of a query.
#[derive(Debug, Clone, PartialEq)]
pub enum QueryOutcome {
    /// Served.
    Answered {
        /// Whether the answer is complete.
        complete: bool,
        /// The share of the weight that the rows make up.
        coverage: f64,
        /// The values that were received.
        rows: Vec<Row>,
    },
    /// Rejected; a retry is harmless.
    Rejected {
        /// How long the client should wait before it retries; 0: no advice.
        retry_after: Nanos,
    },
    /// Failed: parts of the query may have run.
    Failed,
}

impl QueryOutcome {
    /// The outcome in a word, for logs.
    pub fn word(&self) -> &'static str {
        match self {
            Self::Answered { complete: true, .. } => "complete",
            Self::Answered { .. } => "partial",
            Self::Rejected { .. } => "rejected",
            Self::Failed => "failed",
        }
    }
}
