//! Client requests of a member: handles and outcomes.

use serde::{Deserialize, Serialize};

use crate::command::CommandOutcome;
use crate::replicated_map::VersionedValue;

/// Identifies one proposal or read of a member. Handles of a member are unique, also across restarts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RequestHandle(u64);

/// The lower bits of a handle number the requests since a start; the upper bits hold the number of that start.
const REQUEST_NUMBER_BITS: u32 = 32;

impl RequestHandle {
    /// The handle of the first request after a start.
    pub(crate) fn first_of_start(start: u32) -> Self {
        Self((u64::from(start) << REQUEST_NUMBER_BITS) | 1)
    }

    pub(crate) fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

/// The outcome of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RequestOutcome {
    /// The proposal was committed, which means that a majority has it on disk, and applied.
    Committed(CommandOutcome),
    /// The result of a linearizable read: the key's value at some moment between the request and its completion; none
    /// if the key was absent.
    Read(Option<VersionedValue>),
    /// The request was rejected: it had no effect and never will. The client may retry it after an election timeout.
    Rejected(RejectReason),
    /// The request timed out, after [`request_timeout_ticks`](crate::ReplicationLimits::request_timeout_ticks) or the
    /// caller's own timeout. The command may still be applied later, or never.
    Unknown,
}

/// The reason for which a member rejects a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum RejectReason {
    /// No leader is known: an election is in progress, or this member is on the minority side of a partition.
    #[error(
        "no leader is known: an election is in progress, or this member cannot reach a majority of the group"
    )]
    NoLeader,
    /// The number of pending requests has reached
    /// [`max_pending_requests`](crate::ReplicationLimits::max_pending_requests).
    #[error("too many requests are pending")]
    TooManyPending,
    /// The member was removed from the group, or has stopped after an error.
    #[error("this member is no longer in the group")]
    Stopped,
}

/// The context of a log entry, by which its proposer recognises it once it is committed.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub(crate) struct ProposalTag {
    pub(crate) member: u64,
    #[serde(rename = "ticket")]
    pub(crate) request: RequestHandle,
}
