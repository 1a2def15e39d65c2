//! The input that a connection's reader sends to the data node's actor.

use crate::net::frame::InboundFrame;

/// The result of one read from a connection. The actor handles all of it before it sends anything new, since the
/// input may end with malformed bytes.
#[derive(Debug)]
pub struct ReceivedFrames {
    /// The complete frames, in the order received.
    pub frames: Vec<InboundFrame>,
    /// The bytes after the last complete frame.
    pub trailing: TrailingBytes,
}

/// The kind of bytes after the complete frames.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TrailingBytes {
    /// No bytes follow.
    None,
    /// The beginning of a frame.
    PartialFrame,
    /// Bytes that cannot be the beginning of a valid frame.
    Malformed,
}
