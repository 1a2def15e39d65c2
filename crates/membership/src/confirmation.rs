//! Whether the list that was held before the start of the process may be used.

use curlewdeck_core::api::Nanos;

use crate::TOLD_AFTER;

/// With discovery out of reach since the start, the list from before it is used after this long: nobody can learn
/// anything newer then.
const UNREACHABLE_WAIT: Nanos = TOLD_AFTER;

/// With discovery within reach but failing, the list from before the start is used after this long all the same.
const FAILING_WAIT: Nanos = 5 * TOLD_AFTER;

/// How far the list from before the start has been confirmed.
///
/// What discovery told to the process before this one counts as told to this one, too. A list that may miss some of
/// that is no basis for sending.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Confirmation {
    /// Discovery has not spoken since the start.
    Unconfirmed {
        /// When the process started.
        since: Nanos,
        /// Whether discovery has answered a call, if only to turn it down.
        reached: bool,
    },
    /// Discovery could not be heard for so long that the list is used unconfirmed.
    Assumed,
    /// Discovery has confirmed the list or told a newer one.
    Confirmed,
}

impl Confirmation {
    /// The state of a process that starts now.
    pub fn new(now: Nanos) -> Self {
        Self::Unconfirmed { since: now, reached: false }
    }

    /// Whether the list may be used.
    pub fn usable(self) -> bool {
        !matches!(self, Self::Unconfirmed { .. })
    }

    /// Discovery has spoken: by a snapshot, a delta, or a heartbeat on a watch from the version that is held.
    pub fn confirm(&mut self) {
        *self = Self::Confirmed;
    }

    /// Discovery has answered a call without telling anything.
    pub fn turned_down(&mut self) {
        if let Self::Unconfirmed { reached, .. } = self {
            *reached = true;
        }
    }

    /// When the list is used unconfirmed, if nothing is heard before.
    pub fn deadline(self) -> Option<Nanos> {
        match self {
            Self::Unconfirmed { since, reached } => {
                let wait = if reached { FAILING_WAIT } else { UNREACHABLE_WAIT };
                Some(since.saturating_add(wait))
            }
            Self::Assumed | Self::Confirmed => None,
        }
    }

    /// Time has passed. Returns whether the list has become usable just now.
    pub fn expire(&mut self, now: Nanos) -> bool {
        let due = self.deadline().is_some_and(|deadline| deadline <= now);
        if due {
            *self = Self::Assumed;
        }
        due
    }
}
