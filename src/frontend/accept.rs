//! Errors of `accept`: none of them ends a listener or keeps it busy, and they are logged at a limited rate.

use std::io::{Error, ErrorKind};
use std::time::Duration;

use crate::api::Nanos;
use crate::net::log_limit::LogRateLimit;

/// Between two attempts while the system lacks descriptors, memory or a network.
const RESOURCE_RETRY_PAUSE: Duration = Duration::from_millis(10);

/// Logs the errors of one listener, and decides how soon it tries again.
#[derive(Debug)]
pub struct AcceptErrors {
    listener: &'static str,
    log: LogRateLimit,
}

impl AcceptErrors {
    /// No errors so far at the listener of this name. It logs at most once in `log_interval`.
    pub fn new(listener: &'static str, log_interval: Nanos) -> Self {
        Self { listener, log: LogRateLimit::new(log_interval) }
    }

    /// Records an error at `now`; returns how long to wait before the next attempt.
    pub fn record(&mut self, now: Nanos, error: &Error) -> Duration {
        if let Some(occurrences) = self.log.occurred(now) {
            log::warn!(listener = self.listener, error:% = error, occurrences = occurrences; "accept failed");
        }
        retry_pause(error)
    }
}

/// How long to wait after an error: not at all after one that concerns a single connection or call.
fn retry_pause(error: &Error) -> Duration {
    match error.kind() {
        ErrorKind::ConnectionAborted | ErrorKind::ConnectionReset | ErrorKind::Interrupted => Duration::ZERO,
        _ => RESOURCE_RETRY_PAUSE,
    }
}

#[cfg(test)]
mod tests;
