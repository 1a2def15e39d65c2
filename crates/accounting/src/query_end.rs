//! Final states of queries.

/// The final state of a query.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum QueryEnd {
    /// Answered completely, within the class's latency objective.
    CompleteInTime,
    /// Answered completely, after the class's latency objective.
    CompleteLate,
    /// Answered with part of the data.
    Partial,
    /// Rejected; the client can safely retry. Rejections by a full queue are counted separately.
    Rejected,
    /// Abandoned without an answer.
    Failed,
    /// The client disconnected before an answer was sent.
    ClientDisconnected,
}

impl QueryEnd {
    /// All ends, in the order of stored counts.
    pub const ALL: [Self; 6] = [
        Self::CompleteInTime,
        Self::CompleteLate,
        Self::Partial,
        Self::Rejected,
        Self::Failed,
        Self::ClientDisconnected,
    ];

    /// The name used in logs and in the MIB.
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
