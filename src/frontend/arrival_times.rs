//! When the buffered bytes of a connection arrived. A pipelined request waits until the requests before it are
//! answered, and its timeout includes that wait. This module has no clock: callers pass the time in.

use std::collections::VecDeque;

use crate::api::Nanos;

/// Bytes that arrive within this many nanoseconds share the arrival time of the first of them.
const COALESCING_NS: Nanos = 5_000_000;

/// The arrival times of a connection's buffered bytes.
#[derive(Debug, Default)]
pub struct ArrivalTimes {
    /// The number of bytes received since the connection opened.
    received_bytes: u64,
    /// The buffered bytes, in the order of their arrival.
    runs: VecDeque<Run>,
}

/// Bytes that share an arrival time.
#[derive(Debug, Clone, Copy)]
struct Run {
    /// The position after the last byte, counted from the opening of the connection.
    end: u64,
    arrived_at: Nanos,
}

impl ArrivalTimes {
    /// Records the arrival of `bytes` bytes at `now`.
    pub fn record(&mut self, bytes: usize, now: Nanos) {
        self.received_bytes += bytes as u64;
        match self.runs.back_mut() {
            Some(last) if now.saturating_sub(last.arrived_at) < COALESCING_NS => {
                last.end = self.received_bytes;
            }
            _ => self.runs.push_back(Run { end: self.received_bytes, arrived_at: now }),
        }
    }

    /// Removes a request from the buffer; `buffered` bytes remain after it. Returns when the last byte of the request
    /// arrived, or `now` if no bytes are recorded.
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
