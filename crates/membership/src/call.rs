//! Calls to discovery, as the embedder sees them.

/// A call to discovery, numbered for the life of its subscription.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallId(pub u64);

/// What a call requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Request {
    /// The complete list, and a watch from its version on.
    Snapshot,
    /// A watch on what has changed since a version.
    Watch {
        /// That version.
        since: u64,
    },
}

/// How a call has ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallEnd {
    /// This machine could not even try: no socket, port or memory for it.
    LocalFailure,
    /// No connection came up: refused, or out of reach.
    Unreachable,
    /// The connection has ended before any response, or none came for the call's lifetime.
    Unanswered,
    /// The service has answered that it is busy or down.
    Busy,
    /// The service has answered that it cannot do what was requested.
    Rejected,
    /// The response was complete, and no watch followed it.
    Complete,
    /// The service has ended the watch between two of its lines.
    WatchEnded,
    /// The connection has failed between two lines of the watch.
    Broken,
    /// The connection has ended or failed within a response's head or a line: what it would have said is lost.
    Truncated,
    /// What came could not be read, and may have been a change.
    Unreadable,
}

impl CallEnd {
    /// Whether the call may have gone on as a watch, which is to be reopened.
    pub(crate) fn may_have_been_watch(self) -> bool {
        matches!(self, Self::WatchEnded | Self::Broken | Self::Truncated | Self::Complete)
    }

    /// Whether the service may not have worked for the call at all: no response came.
    pub(crate) fn was_not_served(self) -> bool {
        matches!(self, Self::Unreachable | Self::Unanswered)
    }
}
