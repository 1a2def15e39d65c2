//! What the engine wants its embedder to do.

use std::sync::Arc;

use super::attempt_table::AttemptId;
use super::cancellation::CancellationToken;
use super::outcome::QueryOutcome;
use super::request::PartRequest;
use crate::api::{Nanos, Outcome, QueryId, ServerId};

/// An attempt on its way to a data node.
#[derive(Debug, Clone, PartialEq)]
pub struct Dispatch {
    /// The attempt.
    pub attempt: AttemptId,
    /// What it carries.
    pub part: Arc<PartRequest>,
    /// Until when its response is waited for.
    pub deadline: Nanos,
    /// Sending it may not begin from this time on: its class allows retries only until then.
    pub start_deadline: Nanos,
    /// Whether it may still be sent.
    pub cancellation: CancellationToken,
}

/// A change of an attempt, for the request ledger: each attempt is started once and ends once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptEvent {
    /// It was started.
    Started {
        /// Where it goes.
        server: ServerId,
        /// Its number among those of its part, from 0.
        number: u32,
        /// Whether another attempt of the part is in flight.
        hedge: bool,
    },
    /// It has ended, and its value has been validated.
    Ended {
        /// Where it went.
        server: ServerId,
        /// How it ended.
        outcome: Outcome,
    },
}

/// What the embedder is to do, in the order in which commands are returned.
#[derive(Debug, Clone, PartialEq)]
pub enum Command {
    /// Send one call with these attempts.
    SendCall {
        /// Where to.
        server: ServerId,
        /// The attempts of the call.
        call: Vec<Dispatch>,
    },
    /// Stop waiting for an attempt: its end has been recorded already.
    CancelAttempt {
        /// Where it went.
        server: ServerId,
        /// The attempt.
        attempt: AttemptId,
    },
    /// Check the health of a data node.
    CheckHealth {
        /// Which.
        server: ServerId,
    },
    /// Close idle connections to a data node.
    CloseIdleConnections {
        /// Which.
        server: ServerId,
    },
    /// Forget a data node: it has left the endpoint list, and no attempt is in flight there.
    ForgetServer {
        /// Which.
        server: ServerId,
    },
    /// Record this in the request ledger.
    RecordAttempt(AttemptEvent),
    /// Give a query its final answer.
    FinishQuery {
        /// The query.
        query: QueryId,
        /// The answer.
        outcome: QueryOutcome,
    },
}
