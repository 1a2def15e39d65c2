//! The actions that the policy requests.

use super::{Nanos, PartId, QueryId, ServerId};

/// An action for the embedder to perform at the time of the round, in the order returned.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Start an attempt for a part. The attempts of a part are numbered 0, 1, 2 and so on.
    StartAttempt {
        /// The part to send; it belongs to an open query.
        part: PartId,
        /// The server to send it to.
        server: ServerId,
        /// How long to wait for the response.
        timeout: Nanos,
    },
    /// Stop waiting for an attempt.
    CancelAttempt {
        /// The part that the attempt was started for.
        part: PartId,
        /// The attempt's number, from 0.
        attempt: u32,
    },
    /// Answer the query from the parts that have completed.
    Answer {
        /// The query; it stays open if its second phase follows.
        query: QueryId,
        /// Whether the answer is complete.
        complete: bool,
    },
    /// End the query as rejected: a retry by the client is harmless.
    Reject {
        /// The query, which ends with this action.
        query: QueryId,
        /// How long the client should wait before it retries; 0: no advice.
        retry_after: Nanos,
    },
    /// End the query as failed: a part may have run, and a retry by the client may run it again.
    Fail {
        /// The query, which ends with this action.
        query: QueryId,
    },
    /// Check the health of a server.
    CheckHealth {
        /// A server in a degraded zone.
        server: ServerId,
    },
    /// Close idle connections to a server, before any later action of the same round.
    CloseIdleConnections {
        /// The server whose idle connections may have been dropped on the network path.
        server: ServerId,
    },
    /// Send [`Event::TimerFired`](super::Event::TimerFired) after this long.
    SetTimer {
        /// Time until the timer fires, from the time of the round.
        after: Nanos,
    },
}
