//! The endpoint list: which servers there are and in which state.

use super::{Nanos, ServerId, ZoneId};

/// The state of a server in the endpoint list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndpointState {
    /// In service.
    Active,
    /// Finishing its work; it gets no new attempt.
    Draining,
    /// It has left the list.
    Removed,
}

/// One record of the endpoint list.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct EndpointRecord {
    /// The server.
    pub server: ServerId,
    /// Its partition group, which determines its shards: see [`ShardLayout`](super::ShardLayout).
    pub partition_group: u32,
    /// When its process last started; 0: long ago.
    pub started_at: Nanos,
    /// Its capacity in comparison with others.
    pub capacity: f64,
    /// Its state.
    pub state: EndpointState,
    /// Its zone, where that is known.
    pub zone: Option<ZoneId>,
}

/// How an update of the endpoint list relates to the list that is held.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndpointUpdateKind {
    /// Only the records that changed.
    Delta,
    /// The complete list; servers that are missing have left.
    Snapshot,
    /// The complete list as it was held before the start of the process. It may be out of date: nothing is sent by
    /// it until any other update has come, if only an empty one.
    Unconfirmed,
}

impl EndpointUpdateKind {
    /// Whether servers that are missing from the update have left the list.
    pub fn is_complete(self) -> bool {
        matches!(self, Self::Snapshot | Self::Unconfirmed)
    }
}
