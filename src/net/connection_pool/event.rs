//! What the connection pool is told, and what it tells its actor to do.

use crate::api::Outcome;
use crate::engine::{AttemptId, Dispatch, Value};
use crate::net::connection_pool::ConnectionId;
use crate::net::frame::{InboundFrame, OutboundFrame};

/// What happens to the connections.
#[derive(Debug, Clone, PartialEq)]
pub enum Input {
    /// Send a call.
    SendCall(Vec<Dispatch>),
    /// Cancel an attempt; its end has been reported.
    CancelAttempt(AttemptId),
    /// Whether the data node may be sent anything new. What is queued ends at once if it may not.
    AcceptsNewAttempts(bool),
    /// The data node is at another address: nothing new goes over the present connections.
    AddressChanged,
    /// Close the connections that are idle.
    CloseIdleConnections,
    /// Send a health check.
    CheckHealth,
    /// A connection is up.
    Connected(ConnectionId),
    /// A connection could not be opened.
    ConnectFailed(ConnectionId),
    /// A connection was not even tried: this process holds as many sockets as it may.
    NoSocketAvailable(ConnectionId),
    /// The frame last handed out was written completely.
    FrameWritten(ConnectionId),
    /// These attempts were omitted from the frame last handed out: they never run.
    AttemptsOmitted {
        /// The frame's connection.
        connection: ConnectionId,
        /// The attempts.
        attempts: Vec<AttemptId>,
    },
    /// The frame last handed out was a health check, and it was not written.
    HealthCheckOmitted(ConnectionId),
    /// The frame last handed out could not be written completely.
    WriteFailed {
        /// The frame's connection.
        connection: ConnectionId,
        /// Some of it was written, and may have been read.
        partially_written: bool,
    },
    /// A frame was received.
    FrameReceived {
        /// On which connection.
        connection: ConnectionId,
        /// The frame.
        frame: InboundFrame,
    },
    /// Part of a frame was received.
    FrameBegun(ConnectionId),
    /// What was received is malformed: the connection is of no more use, its data node may be.
    MalformedInput(ConnectionId),
    /// Nothing more will be received.
    ReadEnded(ConnectionId),
    /// Time has passed.
    Tick,
}

/// What is to be done.
#[derive(Debug, Clone, PartialEq)]
pub enum Output {
    /// Open a connection: ends in `Connected`, `ConnectFailed` or `NoSocketAvailable`.
    Connect(ConnectionId),
    /// Write a frame: ends in `FrameWritten` or `WriteFailed`.
    Write {
        /// On which connection.
        connection: ConnectionId,
        /// The frame.
        frame: OutboundFrame,
    },
    /// Close a connection: ends in `ReadEnded`.
    Close(ConnectionId),
    /// An attempt has ended.
    AttemptEnded {
        /// The attempt.
        attempt: AttemptId,
        /// How it ended.
        outcome: Outcome,
        /// Its value, if it succeeded.
        value: Option<Value>,
    },
    /// A health check has ended.
    HealthChecked(Outcome),
}
