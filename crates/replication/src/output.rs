//! The output of one step of a member: writes, messages and completions for the driver.

use raft::eraftpb::{Entry, HardState, Snapshot};

use crate::request::{RequestHandle, RequestOutcome};

/// The output of one step of a member. The driver must process the fields in their order.
#[derive(Debug, Default)]
pub struct MemberOutput {
    /// Records to write and sync first.
    pub writes: DurableWrites,
    /// Messages to send to other members after the writes are synced.
    pub messages: Vec<OutboundMessage>,
    /// Requests to complete last.
    pub completions: Vec<Completion>,
}

impl MemberOutput {
    pub(crate) fn complete(&mut self, request: RequestHandle, outcome: RequestOutcome) {
        self.completions.push(Completion { request, outcome });
    }
}

/// Records that must be on disk before any message or completion of the same step leaves the process.
#[derive(Debug, Default)]
pub struct DurableWrites {
    /// A new snapshot. Once it is written, the entries up to its index may be dropped.
    pub snapshot: Option<Snapshot>,
    /// Whether the snapshot was received from the leader: it then replaces the entire log instead of only the entries
    /// that it covers.
    pub replaces_log: bool,
    /// Entries in ascending index order. The first one replaces the entry at its index and all after it.
    pub entries: Vec<Entry>,
    /// The term, the vote and the commit index; none if they have not changed.
    pub hard_state: Option<HardState>,
}

impl DurableWrites {
    /// Merges in the writes of a later step, so that one transaction covers both.
    pub fn extend(&mut self, later: Self) {
        if let Some(snapshot) = later.snapshot {
            let covered = snapshot.get_metadata().index;
            self.entries.retain(|e| !later.replaces_log && e.index > covered);
            self.snapshot = Some(snapshot);
            self.replaces_log |= later.replaces_log;
        }
        if let Some(first) = later.entries.first().map(|e| e.index) {
            self.entries.retain(|e| e.index < first);
            self.entries.extend(later.entries);
        }
        self.hard_state = later.hard_state.or(self.hard_state.take());
    }

    /// Whether the step needs no write.
    pub fn is_empty(&self) -> bool {
        self.snapshot.is_none() && self.entries.is_empty() && self.hard_state.is_none()
    }
}

/// A message to another member.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OutboundMessage {
    /// The id of the receiving member.
    pub to: u64,
    /// The raft message, encoded as protobuf.
    pub bytes: Vec<u8>,
    /// Whether the message carries a snapshot. The driver must then report success or failure of the delivery to
    /// [`Member::report_snapshot`](crate::Member::report_snapshot); raft-rs waits for that report without a timeout.
    pub has_snapshot: bool,
}

/// A request that has completed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Completion {
    /// The handle that the member returned when the request was made.
    pub request: RequestHandle,
    /// The final outcome; a request completes once.
    pub outcome: RequestOutcome,
}
