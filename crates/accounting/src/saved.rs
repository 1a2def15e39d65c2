//! What outlives a process.

use serde::{Deserialize, Serialize};

use crate::{QueryEnd, ATTEMPT_OUTCOMES};

/// One class.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SavedClass {
    /// Its name: by it the next process knows it.
    pub name: String,
    /// Queries turned away over the limit.
    pub full: u64,
    /// Ended, in the order of [`QueryEnd::ALL`].
    pub ended: [u64; QueryEnd::ALL.len()],
    /// Worth asked for by those, in millionths.
    pub asked: u64,
    /// Worth earned.
    pub earned: u64,
    /// Sum of the latencies of answers, in milliseconds.
    pub latency_sum_ms: u64,
}

/// Totals of what has ended, and what must not be given again.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Saved {
    /// By class.
    pub classes: Vec<SavedClass>,
    /// Attempts that were a part's second or later one.
    pub repeats: u64,
    /// Attempts that were started while another of the part was out.
    pub copies: u64,
    /// Attempts by how they ended, in the order of [`ATTEMPT_OUTCOMES`].
    pub ended: [u64; ATTEMPT_OUTCOMES.len()],
    /// The next index of a node.
    pub next_node: u32,
    /// Rows of nodes that went before their time.
    pub nodes_evicted: u64,
    /// Nodes that found no room.
    pub nodes_unlisted: u64,
}
