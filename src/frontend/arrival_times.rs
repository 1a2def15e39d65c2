//! When the buffered bytes of a connection arrived: a request that was sent ahead waits for the answers before it, and
//! its client's time runs meanwhile. Pure: the time is passed in.

use std::collections::VecDeque;

use crate::api::Nanos;

/// Bytes that arrive within this time count as arrived with the first of them, in nanoseconds.
const COALESCING_NS: Nanos = 5_000_000;

/// The bytes of a connection, and when they arrived.
#[derive(Debug, Default)]
pub struct ArrivalTimes {
    /// All bytes so far.
    received_bytes: u64,
    /// The bytes that are buffered, in the order of their arrival.
    runs: VecDeque<Run>,
}

/// Bytes that arrived together.
#[derive(Debug, Clone, Copy)]
struct Run {
    /// The position behind the last of them.
    end: u64,
    arrived_at: Nanos,
}

impl ArrivalTimes {
    /// Records that so many bytes have arrived.
    pub fn record(&mut self, bytes: usize, now: Nanos) {
        self.received_bytes += bytes as u64;
        match self.runs.back_mut() {
            Some(last) if now.saturating_sub(last.arrived_at) < COALESCING_NS => {
                last.end = self.received_bytes;
            }
            _ => self.runs.push_back(Run { end: self.received_bytes, arrived_at: now }),
        }
    }

    /// Takes out a request that leaves so many bytes buffered. Returns when its last byte arrived; `now` if none did.
    pub fn take_request(&mut self, buffered: usize, now: Nanos) -> Nanos {
        let end = self.received_bytes.saturating_sub(buffered as u64);
        while self.runs.front().is_some_and(|run| run.end < end) {
            self.runs.pop_front();
        }
        let arrived_at = self.runs.front().map_or(now, |run| run.arrived_at);
        if buffered == 0 {
            self.runs.clear();
        }
        arrived_at
    }
}

#[cfg(test)]
mod tests;
