//! The frames that are exchanged with data nodes, and their encoding: pure functions over bytes.
//!
//! A frame is a four-byte length, least significant byte first, one letter and the rest; the length covers the letter
//! and the rest. The protocol's letters and words stand in this module alone.

mod inbound;
mod outbound;

pub use inbound::{parse, FrameError, FrameLimits, InboundFrame};
pub use outbound::{EncodedFrame, OutboundFrame};

/// Bytes of a frame's length.
const LENGTH_BYTES: usize = 4;

/// The letters of frames.
mod letter {
    /// To a data node: a call.
    pub(super) const CALL: u8 = b'D';
    /// To a data node: an attempt is cancelled.
    pub(super) const CANCEL: u8 = b'K';
    /// Both ways: a health check, and its answer.
    pub(super) const HEALTH_CHECK: u8 = b'I';
    /// Both ways: a health check for a load report, and its answer.
    pub(super) const LOAD_CHECK: u8 = b'U';
    /// From a data node: the answer to a part.
    pub(super) const ANSWER: u8 = b'O';
    /// From a data node: the frame before could not be used.
    pub(super) const REFUSED: u8 = b'Z';
}

/// The parameters of a part in a call.
mod parameter {
    /// Milliseconds for which the answer is waited for.
    pub(super) const TIMEOUT_MS: &str = "d";
    /// The shards that were answered in the first phase of a query.
    pub(super) const FIRST_PHASE_SHARDS: &str = "from";
    /// Whether the first phase was complete.
    pub(super) const FIRST_PHASE_COMPLETE: &str = "whole";
}

/// How parts and health checks end.
mod status {
    /// A part was answered.
    pub(super) const SUCCESS: &[u8] = b"200";
    /// A part or a health check failed.
    pub(super) const SERVER_ERROR: &[u8] = b"500";
    /// A part was rejected.
    pub(super) const REJECTED: &[u8] = b"503";
}

/// A frame of this letter.
fn encode(letter: u8, rest: &[u8]) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(LENGTH_BYTES + 1 + rest.len());
    bytes.extend_from_slice(&(rest.len() as u32 + 1).to_le_bytes());
    bytes.push(letter);
    bytes.extend_from_slice(rest);
    bytes
}

#[cfg(test)]
mod tests;
