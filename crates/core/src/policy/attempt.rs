//! Records of attempts: the part keeps one, and the server another until the attempt's outcome arrives.

use crate::api::{ClassId, Nanos, PartId, ServerId};

/// An attempt is overdue after this share of its latency objective.
pub(super) const OVERDUE_OBJECTIVE_RATIO: f64 = 0.4;

/// Why an attempt was sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum AttemptKind {
    First,
    Hedge,
    Retry,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum AttemptState {
    InFlight,
    Cancelled,
    Ended { never_ran: bool },
}

/// The record of an attempt kept with its part.
#[derive(Debug, Clone)]
pub(super) struct Attempt {
    pub(super) server: ServerId,
    pub(super) sent_at: Nanos,
    pub(super) kind: AttemptKind,
    pub(super) state: AttemptState,
}

/// The record of an attempt kept with its server until its outcome, which may arrive after its query has
/// ended.
#[derive(Debug, Clone)]
pub(super) struct InFlightAttempt {
    pub(super) part: PartId,
    /// Its number among the attempts of the part, from 0.
    pub(super) attempt: u32,
    pub(super) sent_at: Nanos,
    /// The call that carries it; the call may carry other parts too.
    pub(super) call: CallId,
    pub(super) class: ClassId,
    /// The class's latency objective when it was sent.
    pub(super) objective: Nanos,
    /// How long its connection had been idle; `None` if it opened a new connection.
    pub(super) connection_idle: Option<Nanos>,
}

impl InFlightAttempt {
    pub(super) fn is_overdue(&self, latency: Nanos) -> bool {
        latency as f64 >= OVERDUE_OBJECTIVE_RATIO * self.objective as f64
    }
}

/// Number of a call to a server, assigned by the policy.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct CallId(pub(super) u64);
