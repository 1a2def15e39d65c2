//! When a file is replaced: at a bounded rate, only if its contents have changed, and with exponential backoff after a
//! failure.

use std::time::Duration;

/// Each failure in a row doubles the wait for the next attempt, up to this many doublings.
const MAX_BACKOFF_DOUBLINGS: u32 = 6;

/// Decides when a file is replaced. Times are counted from one moment by a clock that never runs backwards.
#[derive(Debug, Clone)]
pub struct WriteSchedule {
    interval: Duration,
    next_attempt: Duration,
    consecutive_failures: u32,
    written_checksum: Option<u32>,
}

impl WriteSchedule {
    /// Allows a write at once, and from then on one every `interval`.
    pub fn new(interval: Duration) -> Self {
        Self {
            interval: interval.max(Duration::from_nanos(1)),
            next_attempt: Duration::ZERO,
            consecutive_failures: 0,
            written_checksum: None,
        }
    }

    /// The time of the next attempt.
    pub fn next_attempt(&self) -> Duration {
        self.next_attempt
    }

    /// Whether these bytes are to be written now. Takes the attempt if one is due.
    pub fn should_write(&mut self, now: Duration, bytes: &[u8]) -> bool {
        if now < self.next_attempt {
            return false;
        }
        self.next_attempt = now.saturating_add(self.interval);
        self.written_checksum != Some(crc32fast::hash(bytes))
    }

    /// Records whether these bytes could be written.
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
