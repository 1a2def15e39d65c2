//! Calls: parts sent to one server in the same round share a call, up to the maximum batch.

use std::collections::BTreeMap;

use super::attempt::CallId;
use crate::api::ServerId;

#[derive(Debug, Clone, Copy)]
struct OpenCall {
    id: CallId,
    parts: u32,
}

/// Assigns parts to calls.
#[derive(Debug, Default)]
pub(super) struct Calls {
    last_id: u64,
    /// The last call of the current round to each server.
    open: BTreeMap<ServerId, OpenCall>,
}

impl Calls {
    /// Closes the calls of the previous round.
    pub(super) fn begin_round(&mut self) {
        self.open.clear();
    }

    /// Adds a part to a call to `server` in the current round; opens a call if the last one is full.
    pub(super) fn assign(&mut self, server: ServerId, max_batch: u32) -> CallId {
        let full = OpenCall { id: CallId(0), parts: max_batch };
        let call = self.open.entry(server).or_insert(full);
        if call.parts >= max_batch {
            self.last_id += 1;
            *call = OpenCall { id: CallId(self.last_id), parts: 0 };
        }
        call.parts += 1;
        call.id
    }
}

/// Number of parts of one query planned for a server, and of unplanned ones that could be sent to it.
#[derive(Debug, Clone, Copy, Default)]
struct PlannedCall {
    planned: u32,
    candidates: i32,
}

/// Planned destinations of one query's parts; selects common replicas so that parts share calls.
#[derive(Debug, Default)]
pub(super) struct BatchPlan(BTreeMap<ServerId, PlannedCall>);

impl BatchPlan {
    pub(super) fn add_planned(&mut self, server: ServerId) {
        self.0.entry(server).or_default().planned += 1;
    }

    pub(super) fn planned(&self, server: ServerId) -> u32 {
        self.0.get(&server).map_or(0, |call| call.planned)
    }

    /// Counts an unplanned part that could be sent to the server.
    pub(super) fn add_candidate(&mut self, server: ServerId) {
        self.0.entry(server).or_default().candidates += 1;
    }

    pub(super) fn remove_candidate(&mut self, server: ServerId) {
        self.0.entry(server).or_default().candidates -= 1;
    }

    /// Returns the number of parts, planned and candidates, that could share a call to the server.
    pub(super) fn batch_peers(&self, server: ServerId) -> u32 {
        self.0.get(&server).map_or(0, |call| call.planned + call.candidates.max(0) as u32)
    }
}
