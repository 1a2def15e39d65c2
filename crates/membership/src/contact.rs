//! Tracks whether discovery has been unreachable ever since the last message from it.
//!
//! A refused call shows that discovery is unreachable now, but not that it was unreachable before. A watch that was
//! already silent may have missed a change from the time when discovery was still reachable.

use curlewdeck_core::api::Nanos;

use crate::{CALL_GAP, HEARTBEAT_INTERVAL, SAFETY_MARGIN};

/// The longest time between the last line and the end of a live watch. A longer one shows that the watch was silent.
const LIVE_WATCH_SILENCE: Nanos = HEARTBEAT_INTERVAL + SAFETY_MARGIN;
/// The longest time between two refused calls of one outage.
const OUTAGE_CALL_GAP: Nanos = CALL_GAP + SAFETY_MARGIN;

/// The last known state of discovery.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Contact {
    /// A message arrived from discovery at this time.
    Received(Nanos),
    /// Discovery was unreachable at this time, and no update can have been missed since its last message.
    Unreachable(Nanos),
    /// Discovery was reachable after its last message, and may have had a change that did not arrive.
    MayHaveMissedUpdate,
}

impl Contact {
    /// Records the end of the watch, for any reason, or a move to another service.
    pub(crate) fn watch_ended(&mut self, now: Nanos) {
        if let Self::Received(received_at) = *self {
            let was_live = now.saturating_sub(received_at) <= LIVE_WATCH_SILENCE;
            *self = if was_live { Self::Unreachable(now) } else { Self::MayHaveMissedUpdate };
        }
    }

    /// Records that the service was reached at this time without a watch on which it could have sent an update.
    pub(crate) fn service_reached(&mut self, at: Nanos) {
        if matches!(*self, Self::Received(since) | Self::Unreachable(since) if at > since) {
            *self = Self::MayHaveMissedUpdate;
        }
    }

    /// Records that a call begun at `begun_at` was refused. Returns whether discovery has been unreachable since its
    /// last message.
    pub(crate) fn call_refused(&mut self, begun_at: Nanos) -> bool {
        match *self {
            Self::Received(at) => begun_at.saturating_sub(at) <= LIVE_WATCH_SILENCE,
            Self::Unreachable(at) if begun_at.saturating_sub(at) <= OUTAGE_CALL_GAP => {
                *self = Self::Unreachable(at.max(begun_at));
                true
            }
            Self::Unreachable(_) | Self::MayHaveMissedUpdate => false,
        }
    }
}
