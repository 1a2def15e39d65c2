//! Why a member cannot start, and why it does not take a message.

use curlewdeck_snapshot::RecordError;

/// Why a member cannot start.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// A founding member must be among the founders.
    #[error("the member cannot start: member {id} is not among the founders {founders:?}")]
    NotAFounder {
        /// The member.
        id: u64,
        /// The founders.
        founders: Vec<u64>,
    },
    /// The snapshot on disk is torn or changed.
    #[error("the member cannot start: the snapshot on disk is not believed: {0}")]
    UnusableSnapshot(#[source] RecordError),
    /// raft-rs does not accept the configuration or the log.
    #[error("the member cannot start: {0}")]
    Raft(#[source] raft::Error),
}

/// Why a member does not take a message from another one.
#[derive(Debug, thiserror::Error)]
pub enum MessageError {
    /// It is no raft message.
    #[error("the bytes are no raft message")]
    Undecodable,
    /// It is for another member.
    #[error("the message is for member {0}")]
    WrongReceiver(u64),
    /// It carries a snapshot that is torn or changed.
    #[error("the snapshot in it is not believed: {0}")]
    UnusableSnapshot(#[source] RecordError),
    /// raft-rs rejects it: a local message type, a member that it does not know, and so on.
    #[error("raft refused it: {0}")]
    Raft(#[source] raft::Error),
    /// raft-rs panicked on it, or the member had stopped before.
    #[error("raft stopped on it; this member has stopped")]
    Stopped,
}
