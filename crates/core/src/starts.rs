//! Since when a data node that has started counts as cold, by this process's own steady clock.
//!
//! The list gives a start in Unix time. Wall clocks may be stepped, forward or back, by seconds or by an hour, so a claimed
//! time is believed only where it agrees with what was heard when. A node taken for colder than it is gets a little less for
//! a while; one taken for warmer than it is falls.

use crate::api::Nanos;
use crate::Policy;

/// What speaks for a claimed time of a start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Evidence {
    /// Nothing was heard of the list before: what it tells may have happened at any time.
    FirstList,
    /// The list was last confirmed without this start at this time: it has happened since.
    ConfirmedWithout(Nanos),
    /// The wall clock was stepped: Unix times do not compare with this process's clock.
    WallClockStepped,
}

/// Since when a server counts as cold that the list, taken at `now`, says to have started at `claimed`.
pub(crate) fn cold_since(claimed: Nanos, now: Nanos, evidence: Evidence) -> Nanos {
    match evidence {
        Evidence::FirstList => claimed.min(now),
        Evidence::ConfirmedWithout(before) if (before..=now).contains(&claimed) => claimed,
        Evidence::ConfirmedWithout(_) | Evidence::WallClockStepped => now,
    }
}

impl Policy {
    /// The wall clock was stepped: what the list tells of starts from now on counts from when it is heard.
    pub fn wall_clock_stepped(&mut self) {
        self.fleet.wall_stepped();
    }
}
