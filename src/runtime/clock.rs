//! The clock of all deadlines.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::api::Nanos;

/// A monotonic clock in nanoseconds that begins at the Unix time of its start.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    /// Unix time at the start.
    base: Nanos,
    start: Instant,
}

impl Clock {
    /// Creates a clock that begins at the wall clock's current time.
    pub fn start() -> Self {
        Self { base: unix_now(), start: Instant::now() }
    }

    /// Returns the Unix time at the start plus the elapsed time, in nanoseconds.
    pub fn now(&self) -> Nanos {
        self.base + nanos(self.start.elapsed())
    }

    /// Returns whether the wall clock was stepped since the start: it differs from this clock by more than 50 ms plus
    /// the time taken to read both.
    pub fn wall_stepped(&self) -> bool {
        let (before, wall, after) = (self.now(), unix_now(), self.now());
        let stepped_back = wall.saturating_add(WALL_CLOCK_TOLERANCE) < before;
        let stepped_forward = wall > after.saturating_add(WALL_CLOCK_TOLERANCE);
        stepped_back || stepped_forward
    }
}

/// Difference in nanoseconds up to which the wall clock is considered slewed, not stepped.
const WALL_CLOCK_TOLERANCE: Nanos = 50_000_000;

/// Returns the wall clock's Unix time in nanoseconds.
fn unix_now() -> Nanos {
    nanos(SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default())
}

/// Converts a duration to nanoseconds; saturates at the maximum.
pub fn nanos(span: Duration) -> Nanos {
    u64::try_from(span.as_nanos()).unwrap_or(u64::MAX)
}

#[cfg(test)]
mod tests;
