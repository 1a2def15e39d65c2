//! The attempts that have not ended.

use std::collections::{HashMap, HashSet};

use super::cancellation::CancellationToken;
use crate::api::{Nanos, PartId, ServerId};

/// Identifies an attempt; unique over the lifetime of the engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct AttemptId(pub u64);

/// An attempt that has not ended.
pub(super) struct Attempt {
    pub(super) part: PartId,
    /// Index among the attempts of its part, from 0.
    pub(super) number: u32,
    pub(super) server: ServerId,
    pub(super) sent_at: Nanos,
    pub(super) cancellation: CancellationToken,
}

/// All attempts that have not ended.
#[derive(Default)]
pub(super) struct AttemptTable {
    attempts: HashMap<AttemptId, Attempt>,
    next_id: u64,
}

impl AttemptTable {
    /// Returns an id that was not used before.
    pub(super) fn allocate_id(&mut self) -> AttemptId {
        let id = AttemptId(self.next_id);
        self.next_id += 1;
        id
    }

    pub(super) fn insert(&mut self, id: AttemptId, attempt: Attempt) {
        self.attempts.insert(id, attempt);
    }

    pub(super) fn get(&self, id: AttemptId) -> Option<&Attempt> {
        self.attempts.get(&id)
    }

    pub(super) fn contains(&self, id: AttemptId) -> bool {
        self.attempts.contains_key(&id)
    }

    pub(super) fn remove(&mut self, id: AttemptId) -> Option<Attempt> {
        self.attempts.remove(&id)
    }

    pub(super) fn len(&self) -> usize {
        self.attempts.len()
    }

    /// Returns the servers that have attempts in flight.
    pub(super) fn servers(&self) -> HashSet<ServerId> {
        self.attempts.values().map(|attempt| attempt.server).collect()
    }
}
