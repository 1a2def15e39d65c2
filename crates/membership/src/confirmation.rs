//! Whether the endpoint list from before the start of the process may be used.

use curlewdeck_core::api::Nanos;

use crate::NOTIFIED_AFTER;

/// Where discovery cannot be heard for this long after the start, the list from before it is used all the same: a
/// coordinator that never serves anybody helps nobody.
const UNCONFIRMED_WAIT: Nanos = 5 * NOTIFIED_AFTER;

/// How far the endpoint list from before the start has been confirmed.
///
/// Changes that the previous process was notified of count for this one too, and a list that may lack some of them is no
/// basis for sending. A call that fails or is late confirms nothing: discovery may have had changes, and been reachable,
/// while this process was away.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Confirmation {
    /// Discovery has not been heard since the start.
    Unconfirmed {
        /// When the process started.
        since: Nanos,
    },
    /// Discovery could not be heard for so long that the list is used unconfirmed.
    Assumed,
    /// Discovery has confirmed the list or sent a newer one.
    Confirmed,
}

impl Confirmation {
    /// The state of a process that starts now.
    pub fn new(now: Nanos) -> Self {
        Self::Unconfirmed { since: now }
    }

    /// Whether the list may be used.
    pub fn usable(self) -> bool {
        !matches!(self, Self::Unconfirmed { .. })
    }

    /// Discovery was heard: a snapshot, a delta, or a heartbeat on a watch from the version that is held.
    pub fn confirm(&mut self) {
        *self = Self::Confirmed;
    }

    /// When the list is used unconfirmed, if discovery is not heard before.
    pub fn deadline(self) -> Option<Nanos> {
        match self {
            Self::Unconfirmed { since } => Some(since.saturating_add(UNCONFIRMED_WAIT)),
            Self::Assumed | Self::Confirmed => None,
        }
    }

    /// Time has passed. Returns whether the list has become usable just now.
    pub fn expire(&mut self, now: Nanos) -> bool {
        let is_due = self.deadline().is_some_and(|deadline| deadline <= now);
        if is_due {
            *self = Self::Assumed;
        }
        is_due
    }
}
