//! Values from data nodes, and the final answer of a query.

use std::sync::Arc;

use crate::api::{Nanos, ShardId};

/// A value from a data node.
#[derive(Debug, Clone, PartialEq)]
pub struct Value {
    /// The second phase of a query goes to the shards with the highest scores.
    pub score: u64,
    /// The content as the data node returned it.
    pub data: Arc<str>,
}

/// A row of an answer.
#[derive(Debug, Clone, PartialEq)]
pub struct Row {
    /// The shard that the value was requested for.
    pub shard: ShardId,
    /// The content of the value as the data node returned it.
    pub data: Arc<str>,
}

/// The final answer of a query. Each query gets exactly one.
#[derive(Debug, Clone, PartialEq)]
pub enum QueryOutcome {
    /// Answered with the values of some or all parts.
    Answered {
        /// Whether the policy and the coverage rules of the class both count every phase as complete.
        complete: bool,
        /// Share of the last phase's weight that the rows cover, from 0 to 1.
        coverage: f64,
        /// The values received in the last phase.
        rows: Vec<Row>,
    },
    /// Rejected; the client can safely retry.
    Rejected {
        /// How long the client should wait before it retries; 0 for no advice.
        retry_after: Nanos,
    },
    /// Failed; parts of the query may have run.
    Failed,
}

impl QueryOutcome {
    /// Returns the outcome as a single word for logs.
    pub fn as_str(&self) -> &'static str {
        match self {
            Self::Answered { complete: true, .. } => "complete",
            Self::Answered { .. } => "partial",
            Self::Rejected { .. } => "rejected",
            Self::Failed => "failed",
        }
    }
}
