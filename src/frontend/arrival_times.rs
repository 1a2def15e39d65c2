//! When the bytes came that a connection holds: a request that was sent ahead waits for the answers before it, and its
//! client's time runs meanwhile. Pure: the time is told.

use std::collections::VecDeque;

use crate::api::Nanos;

/// Bytes that came within this count as come with the first of them: the client then has that much less time at most.
const STEP: Nanos = 5_000_000;

/// Bytes of a connection, and when they came.
#[derive(Debug, Default)]
pub struct ArrivalTimes {
    /// All bytes so far.
    came: u64,
    /// Bytes up to here came then; the oldest first, and only those that are held.
    marks: VecDeque<Mark>,
}

#[derive(Debug, Clone, Copy)]
struct Mark {
    end: u64,
    at: Nanos,
}

impl ArrivalTimes {
    /// So many bytes have come.
    pub fn came(&mut self, bytes: usize, now: Nanos) {
        self.came += bytes as u64;
        match self.marks.back_mut() {
            Some(last) if now.saturating_sub(last.at) < STEP => last.end = self.came,
            _ => self.marks.push_back(Mark { end: self.came, at: now }),
        }
    }

    /// A request has been taken out, and so many bytes are still held: when its last byte came, `now` if none did.
    pub fn taken(&mut self, held: usize, now: Nanos) -> Nanos {
        let end = self.came.saturating_sub(held as u64);
        while self.marks.front().is_some_and(|m| m.end < end) {
            self.marks.pop_front();
        }
        let at = self.marks.front().map_or(now, |m| m.at);
        if held == 0 {
            self.marks.clear();
        }
        at
    }
}

#[cfg(test)]
mod tests;
