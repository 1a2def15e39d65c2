//! Errors of `accept`: none of them ends a listener or keeps it busy, and a line tells of them once in a while.

use std::io::{Error, ErrorKind};
use std::time::Duration;

use crate::api::Nanos;
use crate::net::log_limit::LogRateLimit;

/// Between two tries where the system lacks something: descriptors, memory, a network.
const LACK_PAUSE: Duration = Duration::from_millis(10);

/// What a listener has met, and how soon it tries again.
#[derive(Debug)]
pub struct AcceptErrors {
    listener: &'static str,
    log: LogRateLimit,
}

impl AcceptErrors {
    /// None so far at the listener of this name; a line in `interval` at most.
    pub fn new(listener: &'static str, interval: Nanos) -> Self {
        Self { listener, log: LogRateLimit::new(interval) }
    }

    /// Takes note of one at `now`; returns how long to wait before the next try.
    pub fn met(&mut self, now: Nanos, error: &Error) -> Duration {
        if let Some(times) = self.log.occurred(now) {
            log::warn!("accept at the {}: {error} (errors since the last such line: {times})", self.listener);
        }
        pause(error)
    }
}

/// One connection that was lost before it was accepted, or a call that was interrupted, says nothing of the next one.
fn pause(error: &Error) -> Duration {
    match error.kind() {
        ErrorKind::ConnectionAborted | ErrorKind::ConnectionReset | ErrorKind::Interrupted => Duration::ZERO,
        _ => LACK_PAUSE,
    }
}

#[cfg(test)]
mod tests;
