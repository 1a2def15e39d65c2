//! The commands that the engine returns to its embedder.

use std::sync::Arc;

use super::attempt_table::AttemptId;
use super::cancellation::CancellationToken;
use super::outcome::QueryOutcome;
use super::request::PartRequest;
use crate::api::{Nanos, Outcome, QueryId, ServerId};

/// An attempt to send to a data node.
#[derive(Debug, Clone, PartialEq)]
pub struct Dispatch {
    /// Identifies the attempt in the report of its end.
    pub attempt: AttemptId,
    /// The content of the request.
    pub part: Arc<PartRequest>,
    /// The time at which the engine stops waiting for a response.
    pub deadline: Nanos,
    /// The first byte must be sent before this time, at which the class's retry window closes.
    pub start_deadline: Nanos,
    /// Checked before the first byte is sent: a cancelled attempt must not be sent.
    pub cancellation: CancellationToken,
}

/// The start or end of an attempt, for the request ledger. Each attempt starts once and ends once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptEvent {
    /// The policy started the attempt.
    Started {
        /// The data node that it goes to.
        server: ServerId,
        /// Index among the attempts of its part, from 0.
        number: u32,
        /// Whether another attempt of the part is in flight.
        hedge: bool,
    },
    /// The attempt has ended, and its value has been validated.
    Ended {
        /// The data node that it went to.
        server: ServerId,
        /// The outcome after validation.
        outcome: Outcome,
    },
}

/// A command for the embedder. Commands are executed in the order in which they are returned.
#[derive(Debug, Clone, PartialEq)]
pub enum Command {
    /// Send one call with these attempts.
    SendCall {
        /// The data node to send it to.
        server: ServerId,
        /// The attempts that the call carries, at least one.
        call: Vec<Dispatch>,
    },
    /// Stop waiting for an attempt. Its end has been recorded already.
    CancelAttempt {
        /// The data node that it went to.
        server: ServerId,
        /// The attempt to cancel, sent or still waiting to be sent.
        attempt: AttemptId,
    },
    /// Check the health of a data node.
    CheckHealth {
        /// The data node to check.
        server: ServerId,
    },
    /// Close idle connections to a data node.
    CloseIdleConnections {
        /// The data node that the connections lead to.
        server: ServerId,
    },
    /// Forget a data node that has left the endpoint list and has no attempt in flight.
    ForgetServer {
        /// The data node to forget. Its id is not reused.
        server: ServerId,
    },
    /// Record the start or end of an attempt in the request ledger.
    RecordAttempt(AttemptEvent),
    /// Give a query its final answer.
    FinishQuery {
        /// The query, which is no longer open.
        query: QueryId,
        /// The final answer.
        outcome: QueryOutcome,
    },
}
