//! The stored form of the counts. It is encoded with postcard, so the order and the types of the fields must not
//! change. The serde names of the fields are those of the first version.

use serde::{Deserialize, Serialize};

use crate::attempt_counts::ATTEMPT_OUTCOMES;
use crate::query_end::QueryEnd;

/// Stored totals of one class.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SavedClass {
    /// Name of the class, by which the next process matches it.
    pub name: String,
    /// Queries rejected because the queue was full.
    #[serde(rename = "full")]
    pub queue_full: u64,
    /// Queries that have ended, by end in the order of [`QueryEnd::ALL`].
    pub ended: [u64; QueryEnd::ALL.len()],
    /// Value requested by the queries that have ended, in millionths.
    #[serde(rename = "asked")]
    pub value_requested: u64,
    /// Value served by answers, in millionths.
    #[serde(rename = "earned")]
    pub value_served: u64,
    /// Sum of the latencies of answers, in milliseconds.
    pub latency_sum_ms: u64,
}

/// Stored totals of ended queries and attempts, and the next node index.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct SavedLedger {
    /// Totals by class, in the order of the settings.
    pub classes: Vec<SavedClass>,
    /// Attempts started after the first one of their part.
    #[serde(rename = "repeats")]
    pub retries: u64,
    /// Attempts started while an earlier attempt of the same part was in flight.
    #[serde(rename = "copies")]
    pub hedges: u64,
    /// Attempts that have ended, by outcome in the order of [`ATTEMPT_OUTCOMES`].
    pub ended: [u64; ATTEMPT_OUTCOMES.len()],
    /// Index that the next new node row gets.
    #[serde(rename = "next_node")]
    pub next_node_index: u32,
    /// Number of rows of removed nodes evicted before their retention had passed.
    pub nodes_evicted: u64,
    /// Number of nodes that got no row because the table was full.
    pub nodes_unlisted: u64,
}
