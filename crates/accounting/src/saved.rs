//! What outlives a process, in its stored form: postcard, so that the order and the types of the fields must stay. The
//! words by which serde knows the fields are those of the first version.

use serde::{Deserialize, Serialize};

use crate::attempt_counts::ATTEMPT_OUTCOMES;
use crate::query_end::QueryEnd;

/// The totals of one class.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SavedClass {
    /// Its name, by which the next process knows it.
    pub name: String,
    /// Queries rejected because the queue was full.
    #[serde(rename = "full")]
    pub queue_full: u64,
    /// Queries that have ended, in the order of [`QueryEnd::ALL`].
    pub ended: [u64; QueryEnd::ALL.len()],
    /// Value requested by those, in millionths.
    #[serde(rename = "asked")]
    pub value_requested: u64,
    /// Value served, in millionths.
    #[serde(rename = "earned")]
    pub value_served: u64,
    /// The sum of the latencies of answers, in milliseconds.
    pub latency_sum_ms: u64,
}

/// The totals of what has ended, and the node index that is used next.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct SavedLedger {
    /// By class.
    pub classes: Vec<SavedClass>,
    /// Attempts that were not the first one of their part.
    #[serde(rename = "repeats")]
    pub retries: u64,
    /// Attempts that were started while another one of their part was in flight.
    #[serde(rename = "copies")]
    pub hedges: u64,
    /// Attempts that have ended, in the order of [`ATTEMPT_OUTCOMES`].
    pub ended: [u64; ATTEMPT_OUTCOMES.len()],
    /// The index of the next node.
    #[serde(rename = "next_node")]
    pub next_node_index: u32,
    /// Rows of removed nodes that were evicted before their retention was over.
    pub nodes_evicted: u64,
    /// Nodes for which there was no row.
    pub nodes_unlisted: u64,
}
