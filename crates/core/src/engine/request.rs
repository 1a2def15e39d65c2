//! What a frontend submits, and what its parts carry to data nodes.

use std::sync::Arc;

use super::cancellation::ClientLiveness;
use super::validation::ResponseValidator;
use crate::api::{ClassId, Nanos, ShardId};

/// A query as a frontend submits it.
#[derive(Debug, Clone, PartialEq)]
pub struct QueryRequest {
    /// Its name on the wire.
    pub name: String,
    /// Its class.
    pub class: ClassId,
    /// Whether the client marks it as a retry of its own.
    pub is_retry: bool,
    /// When the client stops waiting.
    pub deadline: Nanos,
    /// Shards and their shares of the answer.
    pub parts: Vec<(ShardId, f64)>,
    /// The text that each part carries.
    pub text: Arc<str>,
    /// The texts of the parts of the first phase, in the order of `parts`, where they do not all carry `text`.
    pub part_texts: Vec<Arc<str>>,
    /// The check of values.
    pub validator: ResponseValidator,
    /// Its client.
    pub client: ClientLiveness,
}

/// Why a query is not accepted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RejectReason {
    /// As many queries and parts are open as the settings allow.
    QueueFull,
    /// It names no part, a shard that does not exist or one shard twice, or its weights do not add up to one.
    InvalidParts,
    /// A query of this name is open, or was a short while ago: data nodes answer by name.
    DuplicateName,
    /// There is no such class.
    UnknownClass,
    /// Its deadline has passed already.
    DeadlinePassed,
}

/// What a part carries to its data node.
#[derive(Debug, Clone, PartialEq)]
pub struct PartRequest {
    /// The part's name on the wire.
    pub name: String,
    /// Its shard.
    pub shard: ShardId,
    /// The query's text.
    pub text: Arc<str>,
    /// In a second phase: how the first one ended.
    pub first_phase: Option<FirstPhase>,
}

/// How the first phase of a query ended, as the parts of its second phase tell their data nodes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FirstPhase {
    /// The shards whose values were received, in ascending order.
    pub shards: Vec<ShardId>,
    /// Whether they made a complete answer.
    pub complete: bool,
}
