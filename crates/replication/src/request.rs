//! Requests of a member's own clients: their handles and their outcomes.

use serde::{Deserialize, Serialize};

use crate::command::CommandOutcome;
use crate::replicated_map::VersionedValue;

/// Identifies one proposal or read of a member. No two requests of a member have the same, over all its starts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RequestHandle(u64);

/// The lower bits of a handle number the requests of one start; the upper ones are the number of that start.
const REQUEST_NUMBER_BITS: u32 = 32;

impl RequestHandle {
    /// The first request of a start.
    pub(crate) fn first_of_start(start: u32) -> Self {
        Self((u64::from(start) << REQUEST_NUMBER_BITS) | 1)
    }

    /// The request after this one.
    pub(crate) fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

/// What became of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RequestOutcome {
    /// A proposal was committed, which means that a majority has it on disk, and applied.
    Committed(CommandOutcome),
    /// A linearizable read: the key's value as of a moment between the request and this outcome.
    Read(Option<VersionedValue>),
    /// Rejected at once: nothing was done, and nothing will be. One election timeout later it may be retried.
    Rejected(RejectReason),
    /// The request was pending for its timeout, which is
    /// [`request_timeout_ticks`](crate::ReplicationLimits::request_timeout_ticks) unless its caller gave one: the command
    /// may still be applied, or never.
    Unknown,
}

/// Why a member rejects a request at once.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum RejectReason {
    /// No leader is known: an election is on, or this member is on a minority side.
    #[error("no leader is known: an election is on or this member is cut off from most of the group")]
    NoLeader,
    /// [`max_pending_requests`](crate::ReplicationLimits::max_pending_requests) are pending already.
    #[error("too many proposals wait for the log")]
    TooManyPending,
    /// The member was removed from the group, or has stopped after an error.
    #[error("this member is no longer in the group")]
    Stopped,
}

/// What a proposer puts beside its command in the log, to recognise it once it is committed.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub(crate) struct ProposalTag {
    pub(crate) member: u64,
    #[serde(rename = "ticket")]
    pub(crate) request: RequestHandle,
}
