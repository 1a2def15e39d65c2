//! Records of attempts: one kept with the part, one with the server until the attempt's outcome is known.

use crate::api::{ClassId, Nanos, PartId, ServerId};

/// An attempt that has taken this share of its latency objective is overdue.
pub(super) const OVERDUE_OBJECTIVE_RATIO: f64 = 0.4;

/// Why an attempt was sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum AttemptKind {
    First,
    Hedge,
    Retry,
}

/// How far an attempt has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum AttemptState {
    InFlight,
    Cancelled,
    Ended { never_ran: bool },
}

/// An attempt as its part's record holds it.
#[derive(Debug, Clone)]
pub(super) struct Attempt {
    pub(super) server: ServerId,
    pub(super) sent_at: Nanos,
    pub(super) kind: AttemptKind,
    pub(super) state: AttemptState,
}

/// An attempt as its server's record holds it: until its outcome, which may come after its query has ended.
#[derive(Debug, Clone)]
pub(super) struct InFlightAttempt {
    pub(super) part: PartId,
    /// Its number among the attempts of the part, from 0.
    pub(super) attempt: u32,
    pub(super) sent_at: Nanos,
    /// The call that carries it, perhaps with other parts.
    pub(super) call: CallId,
    pub(super) class: ClassId,
    /// The class's latency objective when it was sent.
    pub(super) objective: Nanos,
    /// How long its connection had been idle; `None` where one is opened for it.
    pub(super) connection_idle: Option<Nanos>,
}

impl InFlightAttempt {
    pub(super) fn is_overdue(&self, latency: Nanos) -> bool {
        latency as f64 >= OVERDUE_OBJECTIVE_RATIO * self.objective as f64
    }
}

/// A call to a server, numbered by the policy.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct CallId(pub(super) u64);
