//! Decides whether a restarted process may use the endpoint list of the previous process.

use curlewdeck_core::api::Nanos;

use crate::NOTIFIED_AFTER;

/// How long after the start an unconfirmed list is withheld. After that it is used without confirmation if discovery
/// has been unreachable all the time: a coordinator would otherwise reject all queries for as long as it is down.
const UNCONFIRMED_WAIT: Nanos = 5 * NOTIFIED_AFTER;

/// Whether discovery has confirmed the endpoint list of the previous process.
///
/// This process also counts as notified of the changes that were announced before its start, so it must not send
/// queries by a list that may lack some of them. A failed or late call confirms nothing: discovery may have been
/// reachable and had changes between the two processes. A call that reached it shows that it is not down, so the list
/// then stays unused until discovery sends something.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Confirmation {
    /// Nothing has been received from discovery since the start.
    Unconfirmed {
        /// When the process started.
        since: Nanos,
        /// Whether a call has reached discovery since then.
        was_reached: bool,
    },
    /// Discovery was unreachable for the whole wait for a confirmation, so the list is used without one.
    Assumed,
    /// Discovery confirmed the list or sent a newer one.
    Confirmed,
}

impl Confirmation {
    /// Creates the state of a process that starts at `now`.
    pub fn new(now: Nanos) -> Self {
        Self::Unconfirmed { since: now, was_reached: false }
    }

    /// Whether the list may be used.
    pub fn usable(self) -> bool {
        !matches!(self, Self::Unconfirmed { .. })
    }

    /// Records a snapshot, a delta, or a heartbeat on a watch from the version that the coordinator has.
    pub fn confirm(&mut self) {
        *self = Self::Confirmed;
    }

    /// Records that a call reached discovery, which sent nothing of the list.
    pub fn service_reached(&mut self) {
        if let Self::Unconfirmed { was_reached, .. } = self {
            *was_reached = true;
        }
    }

    /// When the list becomes usable without confirmation; `None` if it is usable, or only a confirmation makes it so.
    pub fn deadline(self) -> Option<Nanos> {
        match self {
            Self::Unconfirmed { since, was_reached: false } => Some(since.saturating_add(UNCONFIRMED_WAIT)),
            Self::Unconfirmed { was_reached: true, .. } | Self::Assumed | Self::Confirmed => None,
        }
    }

    /// Makes the list usable once its deadline has passed. Returns whether this call did so.
    pub fn expire(&mut self, now: Nanos) -> bool {
        let is_due = self.deadline().is_some_and(|deadline| deadline <= now);
        if is_due {
            *self = Self::Assumed;
        }
        is_due
    }
}
