//! Scheduling of file writes: at a bounded rate, only if the contents have changed, and with exponential backoff after
//! failures.

use std::time::Duration;

/// Each consecutive failure doubles the delay before the next attempt, up to this number of doublings.
const MAX_BACKOFF_DOUBLINGS: u32 = 6;

/// Decides when a file is replaced. All times are measured from a common origin by a monotonic clock.
#[derive(Debug, Clone)]
pub struct WriteSchedule {
    interval: Duration,
    next_attempt: Duration,
    consecutive_failures: u32,
    written_checksum: Option<u32>,
}

impl WriteSchedule {
    /// Creates a schedule that allows a write at once, and then one every `interval`.
    pub fn new(interval: Duration) -> Self {
        Self {
            interval: interval.max(Duration::from_nanos(1)),
            next_attempt: Duration::ZERO,
            consecutive_failures: 0,
            written_checksum: None,
        }
    }

    /// The earliest time of the next attempt.
    pub fn next_attempt(&self) -> Duration {
        self.next_attempt
    }

    /// Returns whether these bytes must be written now. If an attempt is due, this consumes it, even when the bytes are
    /// unchanged.
    pub fn should_write(&mut self, now: Duration, bytes: &[u8]) -> bool {
        if now < self.next_attempt {
            return false;
        }
        self.next_attempt = now.saturating_add(self.interval);
        self.written_checksum != Some(crc32fast::hash(bytes))
    }

    /// Records the result of writing these bytes.
    pub fn record_write(&mut self, now: Duration, bytes: &[u8], succeeded: bool) {
        if succeeded {
            self.consecutive_failures = 0;
            self.written_checksum = Some(crc32fast::hash(bytes));
        } else {
            self.consecutive_failures = (self.consecutive_failures + 1).min(MAX_BACKOFF_DOUBLINGS);
            let backoff = self.interval.saturating_mul(1 << self.consecutive_failures);
            self.next_attempt = now.saturating_add(backoff);
        }
    }
}
