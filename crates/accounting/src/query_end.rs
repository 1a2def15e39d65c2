//! How a query ends.

/// How a query ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum QueryEnd {
    /// Answered completely, within the class's latency objective.
    CompleteInTime,
    /// Answered completely, after it.
    CompleteLate,
    /// Answered in part.
    Partial,
    /// Rejected: the client may retry without harm.
    Rejected,
    /// Given up.
    Failed,
    /// Its client disconnected.
    ClientDisconnected,
}

impl QueryEnd {
    /// All ends, in the order in which they are counted and stored.
    pub const ALL: [Self; 6] = [
        Self::CompleteInTime,
        Self::CompleteLate,
        Self::Partial,
        Self::Rejected,
        Self::Failed,
        Self::ClientDisconnected,
    ];

    /// Its name in logs and in the management information base.
    pub fn name(self) -> &'static str {
        match self {
            Self::CompleteInTime => "wholeInTime",
            Self::CompleteLate => "wholeLate",
            Self::Partial => "partial",
            Self::Rejected => "refused",
            Self::Failed => "failed",
            Self::ClientDisconnected => "gone",
        }
    }
}
