//! A rate limit for log lines of one kind, as a pure function of the time passed in.

use crate::api::Nanos;

/// Permits one log line per interval and counts the occurrences suppressed in between.
#[derive(Debug)]
pub struct LogRateLimit {
    /// In nanoseconds.
    interval: Nanos,
    /// When the last line was permitted.
    last_line_at: Option<Nanos>,
    /// Occurrences that no line has reported.
    suppressed: u64,
}

impl LogRateLimit {
    /// Permits at most one line per `interval`, in nanoseconds.
    pub fn new(interval: Nanos) -> Self {
        Self { interval, last_line_at: None, suppressed: 0 }
    }

    /// Counts one occurrence. Returns the number of occurrences to report now, if a line is due.
    pub fn record(&mut self, now: Nanos) -> Option<u64> {
        self.suppressed += 1;
        self.take_due(now)
    }

    /// Returns the number of suppressed occurrences to report now, if there are any and a line is due.
    pub fn take_due(&mut self, now: Nanos) -> Option<u64> {
        let too_early = self.last_line_at.is_some_and(|last| now.saturating_sub(last) < self.interval);
        if too_early || self.suppressed == 0 {
            return None;
        }
        self.last_line_at = Some(now);
        Some(std::mem::take(&mut self.suppressed))
    }
}

#[cfg(test)]
mod tests;
