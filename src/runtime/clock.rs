//! The clock of all deadlines.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::api::Nanos;

/// A steady clock: Unix time in nanoseconds at its start, monotonic from there on.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    /// Unix time at the start.
    base: Nanos,
    start: Instant,
}

impl Clock {
    /// A clock that starts now.
    pub fn start() -> Self {
        Self { base: unix_now(), start: Instant::now() }
    }

    /// The time.
    pub fn now(&self) -> Nanos {
        self.base + nanos(self.start.elapsed())
    }

    /// Whether the wall clock was stepped since the start: it differs from this clock by more than
    /// 50 ms and the time that reading both took.
    pub fn wall_stepped(&self) -> bool {
        let (before, wall, after) = (self.now(), unix_now(), self.now());
        let stepped_back = wall.saturating_add(WALL_CLOCK_TOLERANCE) < before;
        let stepped_forward = wall > after.saturating_add(WALL_CLOCK_TOLERANCE);
        stepped_back || stepped_forward
    }
}

/// The wall clock is slewed by less than this without a step, in nanoseconds.
const WALL_CLOCK_TOLERANCE: Nanos = 50_000_000;

/// Unix time in nanoseconds, by the wall clock.
fn unix_now() -> Nanos {
    nanos(SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default())
}

/// A span in nanoseconds; the longest that can be expressed if it is longer.
pub fn nanos(span: Duration) -> Nanos {
    u64::try_from(span.as_nanos()).unwrap_or(u64::MAX)
}

#[cfg(test)]
mod tests;
