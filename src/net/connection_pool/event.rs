//! Inputs and outputs of the connection pool.

use crate::api::Outcome;
use crate::engine::{AttemptId, Dispatch, Value};
use crate::net::connection_pool::ConnectionId;
use crate::net::frame::{InboundFrame, OutboundFrame};

/// An event that the connection pool handles.
#[derive(Debug, Clone, PartialEq)]
pub enum Input {
    /// Sends attempts together, as one call.
    SendCall(Vec<Dispatch>),
    /// Cancels an attempt; the pool reports no end for it.
    CancelAttempt(AttemptId),
    /// Whether the data node accepts new attempts and health checks. If not, queued work immediately ends as not sent.
    AcceptsNewAttempts(bool),
    /// The data node's address has changed: existing connections get no new work.
    AddressChanged,
    /// Closes every open connection without work, regardless of the idle timeout.
    CloseIdleConnections,
    /// Sends a health check; ends in [`Output::HealthChecked`].
    CheckHealth,
    /// A connection was established.
    Connected(ConnectionId),
    /// A connection could not be opened.
    ConnectFailed(ConnectionId),
    /// No connection was attempted, because this process has no socket left.
    NoSocketAvailable(ConnectionId),
    /// The frame of the last [`Output::Write`] was written completely.
    FrameWritten(ConnectionId),
    /// Attempts were omitted from the frame of the last [`Output::Write`]; they never ran.
    AttemptsOmitted {
        /// The connection that the frame was for.
        connection: ConnectionId,
        /// The omitted attempts.
        attempts: Vec<AttemptId>,
    },
    /// The frame of the last [`Output::Write`] was a health check and was not written.
    HealthCheckOmitted(ConnectionId),
    /// The frame of the last [`Output::Write`] was not written completely.
    WriteFailed {
        /// The connection that the frame was for.
        connection: ConnectionId,
        /// Part of the frame was written, and the data node may have read it.
        partially_written: bool,
    },
    /// A complete frame was received.
    FrameReceived {
        /// The connection that received it.
        connection: ConnectionId,
        /// The decoded frame.
        frame: InboundFrame,
    },
    /// The beginning of a frame was received.
    PartialFrameReceived(ConnectionId),
    /// Malformed bytes were received: the connection is unusable, but the data node may still be usable.
    MalformedInput(ConnectionId),
    /// The connection's reader has ended: no more input will be received.
    ReadEnded(ConnectionId),
    /// Checks timeouts; sent periodically.
    Tick,
}

/// An action for the data node's actor.
#[derive(Debug, Clone, PartialEq)]
pub enum Output {
    /// Opens a connection; ends in `Connected`, `ConnectFailed` or `NoSocketAvailable`.
    Connect(ConnectionId),
    /// Writes a frame; ends in `FrameWritten` or `WriteFailed`.
    Write {
        /// The connection to write to.
        connection: ConnectionId,
        /// The frame, encoded when its first byte is written.
        frame: OutboundFrame,
    },
    /// Closes a connection; ends in `ReadEnded`.
    Close(ConnectionId),
    /// Reports the end of an attempt, at most once for each attempt.
    AttemptEnded {
        /// The attempt that ended.
        attempt: AttemptId,
        /// How it ended.
        outcome: Outcome,
        /// The returned value; `None` unless the attempt succeeded.
        value: Option<Value>,
    },
    /// Reports the outcome of a health check.
    HealthChecked(Outcome),
}
