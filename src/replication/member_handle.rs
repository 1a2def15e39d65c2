//! How other threads reach the thread that owns the member: a bounded queue of messages.

use std::net::SocketAddr;
use std::sync::mpsc::{sync_channel, Receiver, SyncSender, TrySendError};
use std::time::Duration;

use curlewdeck_replication::{Command, RejectReason, RequestOutcome};

/// A request of a client or an operator.
#[derive(Debug)]
pub enum ClientRequest {
    /// Commits a command.
    Propose(Command),
    /// Sets a key if it is still at a version, over changes of the leader:
    /// [`Member::compare_and_set_until_applied`](curlewdeck_replication::Member::compare_and_set_until_applied).
    CompareAndSetUntilApplied {
        /// The key.
        key: String,
        /// The version at which it must be.
        version: u64,
        /// Its new value.
        value: Vec<u8>,
        /// How long it is tried.
        timeout: Duration,
    },
    /// Reads a key linearizably.
    Read(String),
    /// Adds a member.
    AddMember {
        /// Its id.
        id: u64,
        /// Where it listens for other members.
        address: SocketAddr,
    },
    /// Removes the member with this id.
    RemoveMember(u64),
    /// Makes a snapshot now, so that the log before it is dropped.
    CreateSnapshot,
}

/// A message to the thread that owns the member.
#[derive(Debug)]
pub enum MemberMessage {
    /// A message from another member.
    Received(Vec<u8>),
    /// A request, and where its outcome is sent.
    Request(ClientRequest, SyncSender<RequestOutcome>),
    /// The member with this id could not be reached.
    Unreachable(u64),
    /// A snapshot was written to a member's connection, or could not be.
    SnapshotSent {
        /// The member's id.
        to: u64,
        /// Whether it was written.
        delivered: bool,
    },
}

/// Sends messages to the thread that owns the member.
#[derive(Debug, Clone)]
pub struct MemberHandle(SyncSender<MemberMessage>);

impl MemberHandle {
    /// A handle to a queue of this capacity, and the other end of the queue.
    pub fn with_capacity(capacity: usize) -> (Self, Receiver<MemberMessage>) {
        let (sender, receiver) = sync_channel(capacity);
        (Self(sender), receiver)
    }

    /// Sends a message, and waits while the queue is full. Returns whether the member still runs.
    pub(super) fn send(&self, message: MemberMessage) -> bool {
        self.0.send(message).is_ok()
    }

    /// Sends a message that is dropped if the queue is full.
    pub(super) fn send_or_drop(&self, message: MemberMessage) {
        // Raft retries, and learns of what was lost by itself.
        let _ = self.0.try_send(message);
    }

    /// Makes a request and waits for its outcome, which is [`RequestOutcome::Unknown`] after the timeout.
    pub fn request(&self, request: ClientRequest, timeout: Duration) -> RequestOutcome {
        let (reply, outcome) = sync_channel(1);
        match self.0.try_send(MemberMessage::Request(request, reply)) {
            Ok(()) => outcome.recv_timeout(timeout).unwrap_or(RequestOutcome::Unknown),
            Err(TrySendError::Full(_)) => RequestOutcome::Rejected(RejectReason::TooManyPending),
            Err(TrySendError::Disconnected(_)) => RequestOutcome::Rejected(RejectReason::Stopped),
        }
    }
}
