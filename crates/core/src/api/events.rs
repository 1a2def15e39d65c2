//! What the policy is told.

use super::{
    ClassId, EndpointRecord, EndpointUpdateKind, KeyId, Nanos, PartId, QueryId, ServerId, ShardId, TenantId,
};

/// How an attempt or a health check ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// It was served.
    Success,
    /// The server returned an error; it may have run.
    ServerError,
    /// The server rejected it unseen; it never ran.
    Rejected,
    /// No response in time; it may have run or still run.
    TimedOut,
    /// No connection came up; it never ran.
    ConnectFailed,
    /// The connection was lost; it may have run.
    ConnectionReset,
    /// What came on its connection could not be read, and the connection was closed from this side; it may have run.
    MalformedResponse,
    /// It was cancelled from this side; it may have run.
    Cancelled,
    /// It was not sent; it never ran.
    NotSent,
}

impl Outcome {
    /// Whether this outcome proves that the attempt never ran.
    pub fn never_ran(self) -> bool {
        matches!(self, Self::Rejected | Self::ConnectFailed | Self::NotSent)
    }
}

/// What the policy is told.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// The lease of the endpoint list has ended: nothing may be sent by it until the next
    /// [`Event::EndpointsUpdated`].
    EndpointListExpired,
    /// The endpoint list, or a change to it.
    EndpointsUpdated {
        /// How the update relates to the list that is held.
        kind: EndpointUpdateKind,
        /// Its records.
        records: Vec<EndpointRecord>,
    },
    /// A query has come; its parts follow in the same round.
    QueryArrived {
        /// Its id.
        id: QueryId,
        /// Its class.
        class: ClassId,
        /// Its tenant, where there are tenants.
        tenant: Option<TenantId>,
        /// What it is about, where queries carry keys.
        key: Option<KeyId>,
        /// Whether the client marks it as a retry of its own.
        is_retry: bool,
        /// When the client gives up on it.
        deadline: Nanos,
    },
    /// The process is shutting down: no query takes longer than this, those that are queued included.
    ShuttingDown(Nanos),
    /// A part of a query that is open.
    PartArrived {
        /// Its id.
        id: PartId,
        /// The query it belongs to.
        query: QueryId,
        /// The shard that has its data.
        shard: ShardId,
        /// Its share of the weight of its phase of the query.
        weight: f64,
    },
    /// An attempt has ended. Comes once for each [`Action::StartAttempt`](super::Action::StartAttempt).
    AttemptEnded {
        /// The part.
        part: PartId,
        /// The attempt's number, from 0.
        attempt: u32,
        /// The server it went to.
        server: ServerId,
        /// How it ended.
        outcome: Outcome,
        /// The time since it was sent.
        latency: Nanos,
    },
    /// A health check has ended.
    HealthChecked {
        /// The server.
        server: ServerId,
        /// How it ended.
        outcome: Outcome,
        /// The time since it was sent.
        latency: Nanos,
    },
    /// The client has disconnected: the query is over, with all its parts.
    ClientDisconnected(QueryId),
    /// A timer set by [`Action::SetTimer`](super::Action::SetTimer) has fired.
    TimerFired,
}
