//! The pace of pipelined requests.
//!
//! A pipelined request is already in memory when the answer before it has been written, so that serving it needs no event
//! of a socket. The worker polls for events only when no coroutine is runnable: clients that send many requests at once
//! would otherwise keep it from reading the requests of all others.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use crate::api::Nanos;

/// The least interval between two pipelined requests of all connections together, in nanoseconds.
const INTERVAL: Nanos = 1_000_000;
/// Delays are rounded up to a multiple of this, in nanoseconds: a client that sends ahead alone is served this often.
const DELAY_STEP: Nanos = 5_000_000;
/// The longest delay of a request, in nanoseconds.
const MAX_DELAY: Nanos = 500_000_000;

/// The pace of the pipelined requests of all connections.
#[derive(Debug, Default)]
pub(super) struct PipelinePace {
    /// The time of the next request, in nanoseconds.
    next_at: AtomicU64,
}

impl PipelinePace {
    /// Returns how long a pipelined request that has been read must wait before it is served.
    pub(super) fn delay(&self, now: Nanos) -> Duration {
        let following = |next_at: Nanos| Some(next_at.max(now).min(now + MAX_DELAY) + INTERVAL);
        // The update cannot fail: there is always a next time.
        let next_at =
            self.next_at.fetch_update(Ordering::AcqRel, Ordering::Acquire, following).unwrap_or(now);
        let delay = next_at.saturating_sub(now).min(MAX_DELAY);
        Duration::from_nanos(delay.next_multiple_of(DELAY_STEP))
    }
}

#[cfg(test)]
mod tests;
