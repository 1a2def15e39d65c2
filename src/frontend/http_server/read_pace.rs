//! The pace of readers that have more input than they can wait for.
//!
//! The worker polls for events only when no coroutine is runnable. Clients that send at full speed would keep it from
//! reading the requests of all others, even if each of them pauses: together they are always busy. So the pauses of all
//! connections follow each other, and each is as long as the work before it, twice.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use crate::api::Nanos;
use crate::runtime::nanos;

/// Time that a reader may be busy before it pauses.
pub(super) const MAX_BUSY: Duration = Duration::from_micros(250);
/// Time that is kept free of reading, as a multiple of the time that a reader was busy.
const PAUSE_FACTOR: u64 = 2;
/// The shortest pause.
const MIN_PAUSE: Duration = Duration::from_millis(1);
/// The longest pause: the close of a connection must be noticed well before 0.1 s.
const MAX_PAUSE: Duration = Duration::from_millis(50);

/// The pace of the readers of all connections.
#[derive(Debug, Default)]
pub(super) struct ReadPace {
    /// The end of the last pause, in nanoseconds.
    paused_until: AtomicU64,
}

impl ReadPace {
    /// Returns how long a reader must pause that was busy for this long until `now`.
    pub(super) fn pause(&self, now: Nanos, busy: Duration) -> Duration {
        let latest = now + nanos(MAX_PAUSE);
        let after = |paused_until: Nanos| (paused_until.max(now) + PAUSE_FACTOR * nanos(busy)).min(latest);
        let update = self
            .paused_until
            .fetch_update(Ordering::AcqRel, Ordering::Acquire, |paused_until| Some(after(paused_until)));
        // The update cannot fail: there is always a next time.
        let paused_until = update.map_or(latest, after);
        Duration::from_nanos(paused_until - now).max(MIN_PAUSE)
    }
}

#[cfg(test)]
mod tests;
