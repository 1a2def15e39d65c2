//! Health checks in flight.

use std::collections::{HashMap, VecDeque};

use crate::api::{Nanos, ServerId};

/// The send times of each server's health checks in flight. They end in the order in which they were sent.
#[derive(Default)]
pub(super) struct PendingHealthChecks(HashMap<ServerId, VecDeque<Nanos>>);

impl PendingHealthChecks {
    pub(super) fn sent(&mut self, now: Nanos, server: ServerId) {
        self.0.entry(server).or_default().push_back(now);
    }

    /// Removes the oldest check of a server and returns its send time.
    pub(super) fn ended(&mut self, server: ServerId) -> Option<Nanos> {
        self.0.get_mut(&server)?.pop_front()
    }

    pub(super) fn forget(&mut self, server: ServerId) {
        self.0.remove(&server);
    }
}
