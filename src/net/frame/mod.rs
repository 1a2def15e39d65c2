//! The frames exchanged with data nodes, and their encoding: pure functions over bytes.
//!
//! A frame consists of a four-byte little-endian length, a one-byte frame type and a payload. The length covers the
//! type and the payload. Only this module defines the protocol's type bytes and keywords.

mod inbound;
mod outbound;

pub use inbound::{parse, FrameError, FrameLimits, InboundFrame};
pub use outbound::{EncodedFrame, OutboundFrame};

/// Size of a frame's length field.
const LENGTH_BYTES: usize = 4;

/// Frame types.
mod frame_type {
    /// To a data node: a call.
    pub(super) const CALL: u8 = b'D';
    /// To a data node: cancels an attempt.
    pub(super) const CANCEL: u8 = b'K';
    /// In both directions: a health check and its answer.
    pub(super) const HEALTH_CHECK: u8 = b'I';
    /// In both directions: a health check that requests a load report, and its answer.
    pub(super) const LOAD_CHECK: u8 = b'U';
    /// From a data node: the answer to a part.
    pub(super) const ANSWER: u8 = b'O';
    /// From a data node: the previous frame was refused.
    pub(super) const REFUSED: u8 = b'Z';
}

/// Parameters of a part in a call.
mod parameter {
    /// Timeout of the part's answer, in milliseconds.
    pub(super) const TIMEOUT_MS: &str = "d";
    /// The shards that answered in the first phase of the query.
    pub(super) const FIRST_PHASE_SHARDS: &str = "from";
    /// Whether the first phase was complete.
    pub(super) const FIRST_PHASE_COMPLETE: &str = "whole";
}

/// Status codes of parts and health checks.
mod status {
    /// The part succeeded.
    pub(super) const SUCCESS: &[u8] = b"200";
    /// The part or the health check failed.
    pub(super) const SERVER_ERROR: &[u8] = b"500";
    /// The data node rejected the part.
    pub(super) const REJECTED: &[u8] = b"503";
}

/// Encodes a frame of this type.
fn encode(frame_type: u8, payload: &[u8]) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(LENGTH_BYTES + 1 + payload.len());
    bytes.extend_from_slice(&(payload.len() as u32 + 1).to_le_bytes());
    bytes.push(frame_type);
    bytes.extend_from_slice(payload);
    bytes
}

#[cfg(test)]
mod tests;
