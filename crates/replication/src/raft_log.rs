//! The in-memory log that raft-rs reads: the last snapshot, the entries after it, the hard state and the membership.
//! The driver loads it from disk at the start, and writes the additions of each step to disk before any message of that
//! step leaves the process.

use std::cell::Cell;

use raft::eraftpb::{ConfState, Entry, HardState, Snapshot};
use raft::{GetEntriesContext, RaftState, Storage, StorageError};

/// The log of one member.
#[derive(Debug, Clone, Default)]
pub struct RaftLog {
    hard_state: HardState,
    conf_state: ConfState,
    snapshot: Snapshot,
    entries: Vec<Entry>,
    /// Set when raft-rs needs a newer snapshot than the last one.
    snapshot_requested: Cell<bool>,
}

impl RaftLog {
    /// Creates the log of a founding member: a snapshot at index 1 of term 1 that lists the founders as voters. Since
    /// the log has no entry 1, a member that joins later always receives a snapshot, which contains the membership.
    pub fn bootstrap(voters: &[u64], map_snapshot: Vec<u8>) -> Self {
        let mut snapshot = Snapshot::default();
        snapshot.set_data(map_snapshot.into());
        let metadata = snapshot.mut_metadata();
        metadata.index = 1;
        metadata.term = 1;
        metadata.mut_conf_state().voters = voters.to_vec();
        let mut log = Self::default();
        log.install_snapshot(snapshot);
        log
    }

    /// Restores the log from stored records: the last snapshot, the hard state, and the entries after the snapshot in
    /// index order.
    pub fn recovered(snapshot: Snapshot, hard_state: HardState, entries: Vec<Entry>) -> Self {
        let mut log = Self::default();
        log.install_snapshot(snapshot);
        log.append(&entries);
        // Membership changes after the snapshot need no handling here: the member applies them again from the log.
        let (term, commit) = (log.hard_state.term, log.hard_state.commit);
        log.hard_state = hard_state;
        log.hard_state.term = log.hard_state.term.max(term);
        log.hard_state.commit = log.hard_state.commit.max(commit);
        log
    }

    /// The index of the last entry that the snapshot covers.
    pub fn snapshot_index(&self) -> u64 {
        self.snapshot.get_metadata().index
    }

    /// The snapshot that precedes the entries; the default one, with index 0, if none was created or received.
    pub fn last_snapshot(&self) -> &Snapshot {
        &self.snapshot
    }

    /// The membership as of the last applied change.
    pub fn conf_state(&self) -> &ConfState {
        &self.conf_state
    }

    /// The term, the vote and the commit index.
    pub fn hard_state(&self) -> &HardState {
        &self.hard_state
    }

    /// The entries with indices above [`snapshot_index`](Self::snapshot_index), in index order.
    pub fn entries_after_snapshot(&self) -> &[Entry] {
        &self.entries
    }

    /// Returns whether raft-rs has requested a newer snapshot since the last call.
    pub(crate) fn take_snapshot_request(&self) -> bool {
        self.snapshot_requested.replace(false)
    }

    fn first(&self) -> u64 {
        self.snapshot_index() + 1
    }

    fn last(&self) -> u64 {
        self.entries.last().map_or(self.snapshot_index(), |e| e.index)
    }

    pub(crate) fn set_hard_state(&mut self, hard_state: HardState) {
        self.hard_state = hard_state;
    }

    pub(crate) fn set_commit(&mut self, commit: u64) {
        self.hard_state.commit = commit;
    }

    pub(crate) fn set_conf_state(&mut self, conf_state: ConfState) {
        self.conf_state = conf_state;
    }

    /// Appends entries. The first one replaces the entry at its index and all after it.
    pub(crate) fn append(&mut self, entries: &[Entry]) {
        let first = self.first();
        let entries: Vec<&Entry> = entries.iter().filter(|e| e.index >= first).collect();
        let Some(head) = entries.first() else { return };
        let unchanged = usize::try_from(head.index - first).unwrap_or(usize::MAX);
        self.entries.truncate(unchanged);
        self.entries.extend(entries.into_iter().cloned());
    }

    /// Replaces the entire log with a snapshot from the leader, and the membership with that of the snapshot.
    pub(crate) fn install_snapshot(&mut self, snapshot: Snapshot) {
        let metadata = snapshot.get_metadata();
        self.hard_state.term = self.hard_state.term.max(metadata.term);
        self.hard_state.commit = self.hard_state.commit.max(metadata.index);
        self.conf_state = metadata.get_conf_state().clone();
        self.entries.clear();
        self.snapshot = snapshot;
    }

    /// Replaces the snapshot with a newer one that this member created, and drops the entries that it covers.
    pub(crate) fn compact(&mut self, snapshot: Snapshot) {
        let index = snapshot.get_metadata().index;
        self.entries.retain(|e| e.index > index);
        self.snapshot = snapshot;
    }
}

impl Storage for RaftLog {
    fn initial_state(&self) -> raft::Result<RaftState> {
        Ok(RaftState::new(self.hard_state.clone(), self.conf_state.clone()))
    }

    fn entries(
        &self,
        low: u64,
        high: u64,
        max_size: impl Into<Option<u64>>,
        _context: GetEntriesContext,
    ) -> raft::Result<Vec<Entry>> {
        if low < self.first() {
            return Err(raft::Error::Store(StorageError::Compacted));
        }
        if high > self.last() + 1 || low > high {
            return Err(raft::Error::Store(StorageError::Unavailable));
        }
        let from = usize::try_from(low - self.first()).unwrap_or(usize::MAX);
        let to = usize::try_from(high - self.first()).unwrap_or(usize::MAX);
        let mut entries = self.entries[from..to].to_vec();
        raft::util::limit_size(&mut entries, max_size.into());
        Ok(entries)
    }

    fn term(&self, index: u64) -> raft::Result<u64> {
        if index == self.snapshot_index() {
            return Ok(self.snapshot.get_metadata().term);
        }
        if index < self.first() {
            return Err(raft::Error::Store(StorageError::Compacted));
        }
        if index > self.last() {
            return Err(raft::Error::Store(StorageError::Unavailable));
        }
        let at = usize::try_from(index - self.first()).unwrap_or(usize::MAX);
        Ok(self.entries[at].term)
    }

    fn first_index(&self) -> raft::Result<u64> {
        Ok(self.first())
    }

    fn last_index(&self) -> raft::Result<u64> {
        Ok(self.last())
    }

    fn snapshot(&self, request_index: u64, to: u64) -> raft::Result<Snapshot> {
        // A member rejects a snapshot whose membership does not include it, such as one created before it was added.
        let members = self.snapshot.get_metadata().get_conf_state();
        let includes_receiver = members.voters.contains(&to) || members.learners.contains(&to);
        if self.snapshot_index() < request_index || !includes_receiver {
            self.snapshot_requested.set(true);
            return Err(raft::Error::Store(StorageError::SnapshotTemporarilyUnavailable));
        }
        Ok(self.snapshot.clone())
    }
}

#[cfg(test)]
mod tests;
