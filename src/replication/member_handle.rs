//! The bounded message queue through which other threads communicate with the driver thread, which owns the member.

use std::net::SocketAddr;
use std::sync::mpsc::{sync_channel, Receiver, SyncSender, TrySendError};
use std::time::Duration;

use curlewdeck_replication::{Command, RejectReason, RequestOutcome};

/// A request of a client or an operator.
#[derive(Debug)]
pub enum ClientRequest {
    /// Proposes a command once.
    Propose(Command),
    /// Sets a key if it is still at a version, and repeats the proposal across leader changes; see
    /// [`Member::compare_and_set_until_applied`](curlewdeck_replication::Member::compare_and_set_until_applied).
    CompareAndSetUntilApplied {
        /// The key to compare and set.
        key: String,
        /// The version that the key must have; 0 if it must be absent.
        version: u64,
        /// The new value.
        value: Vec<u8>,
        /// The time after which the request completes as unknown.
        timeout: Duration,
    },
    /// Reads a key linearizably.
    Read(String),
    /// Adds a voter, after committing its address to the replicated map.
    AddMember {
        /// The id of the new member.
        id: u64,
        /// The address at which it listens for other members.
        address: SocketAddr,
    },
    /// Removes the voter with this id.
    RemoveMember(u64),
    /// Creates a snapshot now, which drops the log entries that it covers.
    CreateSnapshot,
}

/// A message to the driver thread.
#[derive(Debug)]
pub enum MemberMessage {
    /// An encoded raft message from another member.
    Received(Vec<u8>),
    /// A request, and the channel for its outcome.
    Request(ClientRequest, SyncSender<RequestOutcome>),
    /// A message to the member with this id could not be sent.
    Unreachable(u64),
    /// The attempt to send a snapshot to a member has ended.
    SnapshotSent {
        /// The id of the receiving member.
        to: u64,
        /// Whether the snapshot was written to the connection.
        delivered: bool,
    },
}

/// Sends messages to the driver thread.
#[derive(Debug, Clone)]
pub struct MemberHandle(SyncSender<MemberMessage>);

impl MemberHandle {
    /// Creates a queue of this capacity; returns a handle for sending and the receiving end.
    pub fn with_capacity(capacity: usize) -> (Self, Receiver<MemberMessage>) {
        let (sender, receiver) = sync_channel(capacity);
        (Self(sender), receiver)
    }

    /// Sends a message, and blocks while the queue is full. Returns whether the driver thread is still running.
    pub(super) fn send(&self, message: MemberMessage) -> bool {
        self.0.send(message).is_ok()
    }

    /// Sends a message, or drops it if the queue is full.
    pub(super) fn send_or_drop(&self, message: MemberMessage) {
        // Raft detects lost messages and retries.
        let _ = self.0.try_send(message);
    }

    /// Makes a request and waits for its outcome. Returns [`RequestOutcome::Unknown`] after the timeout.
    pub fn request(&self, request: ClientRequest, timeout: Duration) -> RequestOutcome {
        let (reply, outcome) = sync_channel(1);
        match self.0.try_send(MemberMessage::Request(request, reply)) {
            Ok(()) => outcome.recv_timeout(timeout).unwrap_or(RequestOutcome::Unknown),
            Err(TrySendError::Full(_)) => RequestOutcome::Rejected(RejectReason::TooManyPending),
            Err(TrySendError::Disconnected(_)) => RequestOutcome::Rejected(RejectReason::Stopped),
        }
    }
}
