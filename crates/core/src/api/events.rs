//! The events that the policy receives.

use super::{
    ClassId, EndpointRecord, EndpointUpdateKind, KeyId, Nanos, PartId, QueryId, ServerId, ShardId, TenantId,
};

/// How an attempt or a health check ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The server returned a result.
    Success,
    /// The server returned an error; the attempt may have run.
    ServerError,
    /// The server rejected the attempt before processing it; it never ran.
    Rejected,
    /// No response arrived in time; the attempt may have run or still be running.
    TimedOut,
    /// The connection could not be established; the attempt never ran.
    ConnectFailed,
    /// The connection was lost; the attempt may have run.
    ConnectionReset,
    /// The data received on the connection was malformed, and the coordinator closed it; the attempt may have run.
    MalformedResponse,
    /// The coordinator cancelled the attempt; it may have run.
    Cancelled,
    /// The attempt was not sent; it never ran.
    NotSent,
}

impl Outcome {
    /// Whether this outcome proves that the attempt never ran.
    pub fn never_ran(self) -> bool {
        matches!(self, Self::Rejected | Self::ConnectFailed | Self::NotSent)
    }
}

/// An input of [`Policy::round`](crate::Policy::round).
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// The lease of the endpoint list has expired: no attempt may be sent until the next
    /// [`Event::EndpointsUpdated`].
    EndpointListExpired,
    /// The endpoint list, or a change to it.
    EndpointsUpdated {
        /// How the update relates to the current list.
        kind: EndpointUpdateKind,
        /// All servers of the list or only the changed ones, depending on `kind`.
        records: Vec<EndpointRecord>,
    },
    /// A query has arrived; its parts follow in the same round.
    QueryArrived {
        /// Identifies the query in later events and actions.
        id: QueryId,
        /// Index into the classes of the current settings.
        class: ClassId,
        /// The tenant that submitted it; `None` if the deployment has no tenants.
        tenant: Option<TenantId>,
        /// Identifies the data that it needs; `None` if queries carry no keys.
        key: Option<KeyId>,
        /// Whether the client marks it as a retry.
        is_retry: bool,
        /// When the client stops waiting for the answer.
        deadline: Nanos,
    },
    /// The process is shutting down: every query, queued or running, ends by this time.
    ShuttingDown(Nanos),
    /// A part of an open query has arrived.
    PartArrived {
        /// Identifies the part in later events and actions.
        id: PartId,
        /// The query it belongs to.
        query: QueryId,
        /// The shard that has its data.
        shard: ShardId,
        /// Its share of the weight of its phase of the query.
        weight: f64,
    },
    /// An attempt has ended. Sent exactly once for each [`Action::StartAttempt`](super::Action::StartAttempt).
    AttemptEnded {
        /// The part that the attempt was started for.
        part: PartId,
        /// The attempt's number, from 0.
        attempt: u32,
        /// The server it was sent to.
        server: ServerId,
        /// How it ended.
        outcome: Outcome,
        /// The time since it was sent.
        latency: Nanos,
    },
    /// A health check has ended.
    HealthChecked {
        /// The server that was checked.
        server: ServerId,
        /// How the check ended.
        outcome: Outcome,
        /// The time since the check was sent.
        latency: Nanos,
    },
    /// The client has disconnected: the query and all its parts end.
    ClientDisconnected(QueryId),
    /// A timer set by [`Action::SetTimer`](super::Action::SetTimer) has fired.
    TimerFired,
}
