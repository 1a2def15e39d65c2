//! A bound on how often one line is logged. Pure: the time is told.

use crate::api::Nanos;

/// Lets one line through in each interval, and counts what is left unsaid in between.
#[derive(Debug)]
pub struct LogLimit {
    interval: Nanos,
    /// When the last line was let through.
    last: Option<Nanos>,
    /// Occurrences since then.
    unsaid: u64,
}

impl LogLimit {
    /// One line in `interval` at most.
    pub fn new(interval: Nanos) -> Self {
        Self { interval, last: None, unsaid: 0 }
    }

    /// It has occurred once more. Returns the occurrences that a line has to tell now, if one is due.
    pub fn occurred(&mut self, now: Nanos) -> Option<u64> {
        self.unsaid += 1;
        self.due(now)
    }

    /// Time has passed. Returns the occurrences left unsaid, if there are any and a line is due.
    pub fn due(&mut self, now: Nanos) -> Option<u64> {
        let early = self.last.is_some_and(|last| now.saturating_sub(last) < self.interval);
        if early || self.unsaid == 0 {
            return None;
        }
        self.last = Some(now);
        Some(std::mem::take(&mut self.unsaid))
    }
}

#[cfg(test)]
mod tests;
