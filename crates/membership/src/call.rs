//! Calls to discovery: their identifiers, requests and results.

/// The identifier of a call to discovery, unique within its subscription.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallId(pub u64);

/// What a call requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Request {
    /// The complete list, followed by a watch for later changes.
    Snapshot,
    /// A watch for the changes after a version.
    Watch {
        /// The last version that the coordinator has.
        since: u64,
    },
}

/// The reason why a call ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallEnd {
    /// The call failed on this machine before it was sent: no socket, port or memory was available.
    LocalFailure,
    /// No connection was established: refused or unreachable.
    Unreachable,
    /// The connection ended before a response, or no response arrived within the call's lifetime.
    Unanswered,
    /// The service responded that it is busy or down.
    Busy,
    /// The service responded that it does not accept the request.
    Rejected,
    /// The response was complete, without a watch after it.
    Complete,
    /// The service ended the watch between two lines.
    WatchEnded,
    /// The connection failed between two lines of the watch.
    Broken,
    /// The connection ended or failed within a response head or a line, which is lost.
    Truncated,
    /// The received data could not be parsed and may have been a change.
    Unreadable,
}

impl CallEnd {
    /// Whether the call may have become a watch, which has to be reopened.
    pub(crate) fn may_have_been_watch(self) -> bool {
        matches!(self, Self::WatchEnded | Self::Broken | Self::Truncated | Self::Complete)
    }

    /// Whether no response arrived, so that the call may have cost the service no work.
    pub(crate) fn was_not_served(self) -> bool {
        matches!(self, Self::Unreachable | Self::Unanswered)
    }
}
