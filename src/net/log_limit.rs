//! A rate limit for log lines of one kind. Pure: the time is passed in.

use crate::api::Nanos;

/// Lets one line through in each interval, and counts the occurrences that were suppressed in between.
#[derive(Debug)]
pub struct LogRateLimit {
    /// In nanoseconds.
    interval: Nanos,
    /// When the last line was let through.
    last_line_at: Option<Nanos>,
    /// Occurrences since then.
    suppressed: u64,
}

impl LogRateLimit {
    /// At most one line in `interval`, in nanoseconds.
    pub fn new(interval: Nanos) -> Self {
        Self { interval, last_line_at: None, suppressed: 0 }
    }

    /// It has occurred once more. Returns the occurrences that a line is to report now, if one is due.
    pub fn occurred(&mut self, now: Nanos) -> Option<u64> {
        self.suppressed += 1;
        self.due(now)
    }

    /// Time has passed. Returns the suppressed occurrences, if there are any and a line is due.
    pub fn due(&mut self, now: Nanos) -> Option<u64> {
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
