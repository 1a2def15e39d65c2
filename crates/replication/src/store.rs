//! The log as raft-rs reads it: the last snapshot, the entries after it, the hard state and the members, all in
//! memory. The driver fills it from disk at start and writes to disk what each step adds, before anything of that step
//! leaves the process.

use raft::eraftpb::{ConfState, Entry, HardState, Snapshot};
use raft::{GetEntriesContext, RaftState, Storage, StorageError};

use crate::codec::{self, Unsound};

/// The log of one member.
#[derive(Debug, Clone, Default)]
pub struct Store {
    hard: HardState,
    conf: ConfState,
    image: Snapshot,
    entries: Vec<Entry>,
    /// raft-rs asked for a snapshot that the last one could not serve: the member makes a new one.
    wanted: std::cell::Cell<bool>,
}

impl Store {
    /// What a founding member starts from: an image at index 1 of term 1 that names the founders, so that a member
    /// that comes later cannot be sent entry 1 and must be sent a snapshot, which tells it the members.
    pub fn founding(voters: &[u64], image: Vec<u8>) -> Self {
        let mut snap = Snapshot::default();
        snap.set_data(image.into());
        let meta = snap.mut_metadata();
        meta.index = 1;
        meta.term = 1;
        meta.mut_conf_state().voters = voters.to_vec();
        let mut store = Self::default();
        store.install(snap);
        store
    }

    /// The index of the snapshot's last entry.
    pub fn image_index(&self) -> u64 {
        self.image.get_metadata().index
    }

    /// The snapshot.
    pub fn image(&self) -> &Snapshot {
        &self.image
    }

    /// The members as of the last change applied.
    pub fn conf(&self) -> &ConfState {
        &self.conf
    }

    /// The hard state: term, vote, commit.
    pub fn hard(&self) -> &HardState {
        &self.hard
    }

    /// The entries after the snapshot.
    pub fn log(&self) -> &[Entry] {
        &self.entries
    }

    /// Whether a newer snapshot was asked for since the last call.
    pub(crate) fn take_wanted(&self) -> bool {
        self.wanted.replace(false)
    }

    fn first(&self) -> u64 {
        self.image_index() + 1
    }

    fn last(&self) -> u64 {
        self.entries.last().map_or(self.image_index(), |e| e.index)
    }

    pub(crate) fn set_hard(&mut self, hard: HardState) {
        self.hard = hard;
    }

    pub(crate) fn set_commit(&mut self, commit: u64) {
        self.hard.commit = commit;
    }

    pub(crate) fn set_conf(&mut self, conf: ConfState) {
        self.conf = conf;
    }

    /// Adds entries; those that conflict with what is there (same index) replace it and all after it.
    pub(crate) fn append(&mut self, ents: &[Entry]) {
        let first = self.first();
        let ents: Vec<&Entry> = ents.iter().filter(|e| e.index >= first).collect();
        let Some(head) = ents.first() else { return };
        let keep = usize::try_from(head.index - first).unwrap_or(usize::MAX);
        self.entries.truncate(keep);
        self.entries.extend(ents.into_iter().cloned());
    }

    /// Takes a snapshot: the members it names, and nothing of the log up to its index.
    pub(crate) fn install(&mut self, snap: Snapshot) {
        let meta = snap.get_metadata();
        self.hard.term = self.hard.term.max(meta.term);
        self.hard.commit = self.hard.commit.max(meta.index);
        self.conf = meta.get_conf_state().clone();
        self.entries.clear();
        self.image = snap;
    }

    /// Puts a newer snapshot of our own in place and drops the entries it covers.
    pub(crate) fn compact(&mut self, snap: Snapshot) {
        let index = snap.get_metadata().index;
        self.entries.retain(|e| e.index > index);
        self.image = snap;
    }

    /// Builds the log again from what the driver found on disk: the last snapshot, the hard state, and the entries
    /// after the snapshot in order.
    pub fn recovered(image: Snapshot, hard: HardState, entries: Vec<Entry>) -> Self {
        let mut store = Self::default();
        store.install(image);
        store.append(&entries);
        // Changes of members after the snapshot are applied again from the log by the member itself.
        let (term, commit) = (store.hard.term, store.hard.commit);
        store.hard = hard;
        store.hard.term = store.hard.term.max(term);
        store.hard.commit = store.hard.commit.max(commit);
        store
    }
}

impl Storage for Store {
    fn initial_state(&self) -> raft::Result<RaftState> {
        Ok(RaftState::new(self.hard.clone(), self.conf.clone()))
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
        let mut ents = self.entries[from..to].to_vec();
        raft::util::limit_size(&mut ents, max_size.into());
        Ok(ents)
    }

    fn term(&self, idx: u64) -> raft::Result<u64> {
        if idx == self.image_index() {
            return Ok(self.image.get_metadata().term);
        }
        if idx < self.first() {
            return Err(raft::Error::Store(StorageError::Compacted));
        }
        if idx > self.last() {
            return Err(raft::Error::Store(StorageError::Unavailable));
        }
        let at = usize::try_from(idx - self.first()).unwrap_or(usize::MAX);
        Ok(self.entries[at].term)
    }

    fn first_index(&self) -> raft::Result<u64> {
        Ok(self.first())
    }

    fn last_index(&self) -> raft::Result<u64> {
        Ok(self.last())
    }

    fn snapshot(&self, request_index: u64, to: u64) -> raft::Result<Snapshot> {
        // A snapshot that does not name the member it is for would be refused by it: one made before it was added.
        let conf = self.image.get_metadata().get_conf_state();
        if self.image_index() < request_index || !(conf.voters.contains(&to) || conf.learners.contains(&to)) {
            self.wanted.set(true);
            return Err(raft::Error::Store(StorageError::SnapshotTemporarilyUnavailable));
        }
        Ok(self.image.clone())
    }
}

/// An entry, a hard state or a snapshot as bytes on disk: protobuf's encoding and a CRC-32 after it.
pub fn to_disk<M: protobuf::Message>(value: &M) -> Vec<u8> {
    codec::checked(value.write_to_bytes().unwrap_or_default())
}

/// Reads back what [`to_disk`] wrote.
///
/// # Errors
/// Torn or changed bytes, or bytes that are not of this type.
pub fn from_disk<M: protobuf::Message>(bytes: &[u8]) -> Result<M, Unsound> {
    M::parse_from_bytes(codec::verified(bytes)?).map_err(|_| Unsound::Unreadable)
}

#[cfg(test)]
mod tests {
    use super::*;

    fn entry(index: u64, term: u64) -> Entry {
        Entry { index, term, ..Entry::default() }
    }

    #[test]
    fn a_conflicting_tail_is_replaced_and_compacted_entries_are_gone() {
        let mut store = Store::founding(&[1, 2, 3], Vec::new());
        store.append(&[entry(2, 1), entry(3, 1), entry(4, 1)]);
        store.append(&[entry(3, 2)]);
        assert_eq!(store.last_index().unwrap(), 3);
        assert_eq!(store.term(3).unwrap(), 2);
        assert_eq!(store.term(1).unwrap(), 1);
        let mut snap = Snapshot::default();
        snap.mut_metadata().index = 2;
        snap.mut_metadata().term = 1;
        store.compact(snap);
        assert_eq!(store.first_index().unwrap(), 3);
        assert_eq!(store.term(2).unwrap(), 1);
        assert!(store.term(1).is_err());
        assert!(store.entries(2, 4, None, GetEntriesContext::empty(false)).is_err());
        assert_eq!(store.entries(3, 4, None, GetEntriesContext::empty(false)).unwrap().len(), 1);
    }
}
