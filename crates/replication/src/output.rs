//! What a step of a member returns to its driver.

use raft::eraftpb::{Entry, HardState, Snapshot};

use crate::request::{RequestHandle, RequestOutcome};

/// What a step of a member returns, to be carried out in the order of the fields.
#[derive(Debug, Default)]
pub struct MemberOutput {
    /// First: what is to be on disk.
    pub writes: DurableWrites,
    /// Then: messages to other members.
    pub messages: Vec<OutboundMessage>,
    /// Last: requests that have completed.
    pub completions: Vec<Completion>,
}

impl MemberOutput {
    pub(crate) fn complete(&mut self, request: RequestHandle, outcome: RequestOutcome) {
        self.completions.push(Completion { request, outcome });
    }
}

/// What is to be on disk before any message or completion of the same step leaves the process.
#[derive(Debug, Default)]
pub struct DurableWrites {
    /// A snapshot. Once it is written, the entries up to its index may be dropped.
    pub snapshot: Option<Snapshot>,
    /// Whether the snapshot is the leader's: it then replaces the whole log, not only the entries that it covers.
    pub replaces_log: bool,
    /// Entries in order. The first one replaces the entry at its index and all after it.
    pub entries: Vec<Entry>,
    /// The hard state.
    pub hard_state: Option<HardState>,
}

impl DurableWrites {
    /// Adds the writes of a later step, so that both are written at once.
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

    /// Whether there is nothing to write.
    pub fn is_empty(&self) -> bool {
        self.snapshot.is_none() && self.entries.is_empty() && self.hard_state.is_none()
    }
}

/// A message to another member.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OutboundMessage {
    /// The other member's id.
    pub to: u64,
    /// The message, in protobuf's encoding.
    pub bytes: Vec<u8>,
    /// Whether it carries a snapshot. Whether that was delivered must be reported by
    /// [`Member::report_snapshot`](crate::Member::report_snapshot), or raft-rs waits for ever.
    pub has_snapshot: bool,
}

/// A request that has completed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Completion {
    /// The request.
    pub request: RequestHandle,
    /// Its outcome.
    pub outcome: RequestOutcome,
}
