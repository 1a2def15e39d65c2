//! Whether discovery has been out of reach ever since it was last heard.
//!
//! A call that is refused shows that discovery is out of reach now, not that it was before: a watch that had fallen silent
//! may have missed a change that discovery had, and could be reached for, until then.

use curlewdeck_core::api::Nanos;

use crate::{CALL_GAP, HEARTBEAT_INTERVAL, SAFETY_MARGIN};

/// A watch that broke later than this after its last line had fallen silent before.
const LIVE_WATCH_SILENCE: Nanos = HEARTBEAT_INTERVAL + SAFETY_MARGIN;
/// Two calls that were refused, the one this long after the other, belong to one outage.
const OUTAGE_CALL_GAP: Nanos = CALL_GAP + SAFETY_MARGIN;

/// The last that is known of discovery.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Contact {
    /// It was heard at this time.
    Heard(Nanos),
    /// It was out of reach at this time, and nothing can have been missed since it was heard.
    OutOfReach(Nanos),
    /// It could be reached after it was heard, and may have had a change that did not arrive.
    MayHaveMissed,
}

impl Contact {
    /// The watch has ended, in whatever way, or its service is left.
    pub(crate) fn watch_ended(&mut self, now: Nanos) {
        if let Self::Heard(heard_at) = *self {
            let was_live = now.saturating_sub(heard_at) <= LIVE_WATCH_SILENCE;
            *self = if was_live { Self::OutOfReach(now) } else { Self::MayHaveMissed };
        }
    }

    /// A call that began at this time has reached the service, which sent no update.
    pub(crate) fn reached(&mut self, begun_at: Nanos) {
        if matches!(*self, Self::OutOfReach(since) if begun_at > since) {
            *self = Self::MayHaveMissed;
        }
    }

    /// A call that began at this time was refused. Returns whether discovery has been out of reach since it was last heard.
    pub(crate) fn refused(&mut self, begun_at: Nanos) -> bool {
        match *self {
            Self::Heard(at) => begun_at.saturating_sub(at) <= LIVE_WATCH_SILENCE,
            Self::OutOfReach(at) if begun_at.saturating_sub(at) <= OUTAGE_CALL_GAP => {
                *self = Self::OutOfReach(at.max(begun_at));
                true
            }
            Self::OutOfReach(_) | Self::MayHaveMissed => false,
        }
    }
}
