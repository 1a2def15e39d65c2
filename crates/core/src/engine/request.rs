//! Queries as frontends submit them, and the requests that their parts send to data nodes.

use std::sync::Arc;

use super::cancellation::ClientLiveness;
use super::validation::ResponseValidator;
use crate::api::{ClassId, Nanos, ShardId};

/// A query as a frontend submits it.
#[derive(Debug, Clone, PartialEq)]
pub struct QueryRequest {
    /// Identifies the query on the wire; the names of its parts begin with it.
    pub name: String,
    /// Index of the query's class in the settings, which determines its rules for coverage, retries and admission.
    pub class: ClassId,
    /// Whether the client marked the query as a retry.
    pub is_retry: bool,
    /// The time at which the client stops waiting.
    pub deadline: Nanos,
    /// Each shard with its share of the answer; the shares add up to 1.
    pub parts: Vec<(ShardId, f64)>,
    /// The text that parts send if they have none of their own.
    pub text: Arc<str>,
    /// The texts of the first phase's parts, in the order of `parts`; empty if all parts send `text`.
    pub part_texts: Vec<Arc<str>>,
    /// Checks each value before it counts for a part.
    pub validator: ResponseValidator,
    /// Whether the client is still connected.
    pub client: ClientLiveness,
}

/// The reason why a query was not accepted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RejectReason {
    /// The query and its parts would exceed the limit on open queries and parts.
    QueueFull,
    /// The query has no parts, an unknown shard, the same shard twice, a weight that is not positive, or weights that
    /// do not add up to 1.
    InvalidParts,
    /// A query with this name is open or ended recently. Responses are matched to queries by name.
    DuplicateName,
    /// The settings do not contain the class.
    UnknownClass,
    /// The query's deadline has passed.
    DeadlinePassed,
}

/// The request that a part sends to a data node.
#[derive(Debug, Clone, PartialEq)]
pub struct PartRequest {
    /// Identifies the part on the wire: the query's name, the shard and, in the second phase, a suffix.
    pub name: String,
    /// The shard to query.
    pub shard: ShardId,
    /// The text of the query, or the part's own text.
    pub text: Arc<str>,
    /// The result of the first phase; `None` in the first phase.
    pub first_phase: Option<FirstPhase>,
}

/// The result of a query's first phase, which the parts of the second phase send to their data nodes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FirstPhase {
    /// The shards whose values were received, in ascending order.
    pub shards: Vec<ShardId>,
    /// Whether the first phase ended with a complete answer.
    pub complete: bool,
}
