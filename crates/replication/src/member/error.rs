//! Errors of starting a member, and of messages that a member rejects.

use curlewdeck_snapshot::RecordError;

/// A member could not start.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// The id of a founding member is not one of the founders' ids.
    #[error("the member cannot start: member {id} is not among the founders {founders:?}")]
    NotAFounder {
        /// The rejected id.
        id: u64,
        /// The ids of all founders, from the configuration.
        founders: Vec<u64>,
    },
    /// The snapshot on disk is corrupt.
    #[error("the member cannot start: the snapshot on disk is corrupt: {0}")]
    UnusableSnapshot(#[source] RecordError),
    /// raft-rs rejected the configuration or the log.
    #[error("the member cannot start: {0}")]
    Raft(#[source] raft::Error),
}

/// A member rejected a message from another member.
#[derive(Debug, thiserror::Error)]
pub enum MessageError {
    /// The bytes cannot be decoded as a raft message.
    #[error("cannot decode the raft message")]
    Undecodable,
    /// The message is addressed to another member, whose id this holds.
    #[error("the message is addressed to member {0}")]
    WrongReceiver(u64),
    /// The message carries a corrupt snapshot.
    #[error("the snapshot in the message is corrupt: {0}")]
    UnusableSnapshot(#[source] RecordError),
    /// raft-rs rejected the message, for example because it is of a local type or from an unknown member.
    #[error("raft rejected the message: {0}")]
    Raft(#[source] raft::Error),
    /// raft-rs panicked on this message, or the member was already stopped.
    #[error("raft panicked on the message, or this member had already stopped")]
    Stopped,
}
