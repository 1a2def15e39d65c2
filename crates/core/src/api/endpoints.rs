//! The endpoint list: the servers and their states.

use super::{Nanos, ServerId, ZoneId};

/// The state of a server in the endpoint list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndpointState {
    /// In service.
    Active,
    /// Completing the attempts in flight; receives no new ones.
    Draining,
    /// No longer in the list.
    Removed,
}

/// One record of the endpoint list.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct EndpointRecord {
    /// The server that the record describes; an id is never reused for another one.
    pub server: ServerId,
    /// Its partition group, which determines its shards: see [`ShardLayout`](super::ShardLayout).
    pub partition_group: u32,
    /// When its process last started; 0: long ago.
    pub started_at: Nanos,
    /// Its capacity relative to other servers.
    pub capacity: f64,
    /// Whether it may receive new attempts.
    pub state: EndpointState,
    /// Its zone; `None` if unknown.
    pub zone: Option<ZoneId>,
}

/// How an update of the endpoint list relates to the current list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndpointUpdateKind {
    /// Only the records that changed.
    Delta,
    /// The complete list; servers that are missing have left.
    Snapshot,
    /// The complete list as known before the process started. It may be out of date: no attempt is sent until an
    /// update of another kind, possibly empty, arrives.
    Unconfirmed,
}

impl EndpointUpdateKind {
    /// Whether servers that are missing from the update have left the list.
    pub fn is_complete(self) -> bool {
        matches!(self, Self::Snapshot | Self::Unconfirmed)
    }
}
