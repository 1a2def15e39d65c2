//! What a connection's reader hands to the data node's actor.

use crate::net::frame::InboundFrame;

/// What was received on a connection in one piece. It is handled together, so that nothing new is sent on a connection
/// that turns out to be malformed.
#[derive(Debug)]
pub struct ReceivedFrames {
    /// Complete frames.
    pub frames: Vec<InboundFrame>,
    /// What follows them.
    pub trailing: TrailingBytes,
}

/// What follows the complete frames.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TrailingBytes {
    /// Nothing.
    None,
    /// The beginning of a frame.
    FrameBegun,
    /// Bytes that can never become a frame.
    Malformed,
}
