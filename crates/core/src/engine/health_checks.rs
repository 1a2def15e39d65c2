//! Health checks that have not been answered.

use std::collections::{HashMap, VecDeque};

use crate::api::{Nanos, ServerId};

/// When the unanswered health checks of each server were sent. They are answered in the order of their sending.
#[derive(Default)]
pub(super) struct PendingHealthChecks(HashMap<ServerId, VecDeque<Nanos>>);

impl PendingHealthChecks {
    pub(super) fn sent(&mut self, now: Nanos, server: ServerId) {
        self.0.entry(server).or_default().push_back(now);
    }

    /// The oldest check of a server has ended; returns when it was sent.
    pub(super) fn ended(&mut self, server: ServerId) -> Option<Nanos> {
        self.0.get_mut(&server)?.pop_front()
    }

    pub(super) fn forget(&mut self, server: ServerId) {
        self.0.remove(&server);
    }
}
