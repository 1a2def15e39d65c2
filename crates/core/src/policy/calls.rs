//! Calls: parts that are sent to one server in one round share a call.

use std::collections::BTreeMap;

use super::attempt::CallId;
use crate::api::ServerId;

#[derive(Debug, Clone, Copy)]
struct OpenCall {
    id: CallId,
    parts: u32,
}

/// Numbers calls and fills them with parts.
#[derive(Debug, Default)]
pub(super) struct Calls {
    last: u64,
    /// Calls of this round.
    open: BTreeMap<ServerId, OpenCall>,
}

impl Calls {
    /// Closes the calls of the round before.
    pub(super) fn begin_round(&mut self) {
        self.open.clear();
    }

    /// The call that takes one more part for `server` in this round.
    pub(super) fn assign(&mut self, server: ServerId, max_batch: u32) -> CallId {
        let full = OpenCall { id: CallId(0), parts: max_batch };
        let call = self.open.entry(server).or_insert(full);
        if call.parts >= max_batch {
            self.last += 1;
            *call = OpenCall { id: CallId(self.last), parts: 0 };
        }
        call.parts += 1;
        call.id
    }
}

/// Parts of one query that are planned for a server, and those that could still be.
#[derive(Debug, Clone, Copy, Default)]
struct PlannedCall {
    planned: u32,
    candidates: i32,
}

/// Where the parts of one query are about to be sent, so that parts which may share a call are sent together.
#[derive(Debug, Default)]
pub(super) struct BatchPlan(BTreeMap<ServerId, PlannedCall>);

impl BatchPlan {
    pub(super) fn add_planned(&mut self, server: ServerId) {
        self.0.entry(server).or_default().planned += 1;
    }

    pub(super) fn planned(&self, server: ServerId) -> u32 {
        self.0.get(&server).map_or(0, |call| call.planned)
    }

    /// Counts a part that is not planned yet and could go to the server.
    pub(super) fn add_candidate(&mut self, server: ServerId) {
        self.0.entry(server).or_default().candidates += 1;
    }

    pub(super) fn remove_candidate(&mut self, server: ServerId) {
        self.0.entry(server).or_default().candidates -= 1;
    }

    /// How many parts could share a call to the server: planned ones and candidates.
    pub(super) fn batch_peers(&self, server: ServerId) -> u32 {
        self.0.get(&server).map_or(0, |call| call.planned + call.candidates.max(0) as u32)
    }
}
