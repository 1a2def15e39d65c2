//! What the policy asks for.

use super::{Nanos, PartId, QueryId, ServerId};

/// What the policy wants done, in this order, at the time of the round.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Start an attempt for a part. The attempts of a part are numbered 0, 1, 2 and so on.
    StartAttempt {
        /// The part.
        part: PartId,
        /// Where to.
        server: ServerId,
        /// How long its response is waited for.
        timeout: Nanos,
    },
    /// Stop waiting for an attempt.
    CancelAttempt {
        /// The part.
        part: PartId,
        /// The attempt's number.
        attempt: u32,
    },
    /// Answer the query from the parts that are in.
    Answer {
        /// The query.
        query: QueryId,
        /// Whether the answer is complete.
        complete: bool,
    },
    /// End the query as rejected: a retry by the client is harmless.
    Reject {
        /// The query.
        query: QueryId,
        /// How long the client should wait before it retries; 0: no advice.
        retry_after: Nanos,
    },
    /// End the query as failed, with no promise.
    Fail {
        /// The query.
        query: QueryId,
    },
    /// Check the health of a server.
    CheckHealth {
        /// The server.
        server: ServerId,
    },
    /// Close idle connections to a server, before what is sent in the same round.
    CloseIdleConnections {
        /// The server.
        server: ServerId,
    },
    /// Send [`Event::TimerFired`](super::Event::TimerFired) after this long.
    SetTimer {
        /// How long from now.
        after: Nanos,
    },
}
