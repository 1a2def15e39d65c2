//! Errors of `accept`: the listener retries after each of them, without a busy loop, and logs them at a limited rate.

use std::io::{Error, ErrorKind};
use std::time::Duration;

use crate::api::Nanos;
use crate::net::log_limit::LogRateLimit;

/// The pause between two attempts while the system lacks file descriptors, memory or a network.
const RESOURCE_RETRY_PAUSE: Duration = Duration::from_millis(10);

/// Logs the errors of one listener and chooses the pause before the next attempt.
#[derive(Debug)]
pub struct AcceptErrors {
    listener: &'static str,
    log: LogRateLimit,
}

impl AcceptErrors {
    /// Creates the record for the listener of this name. Errors are logged at most once per `log_interval`.
    pub fn new(listener: &'static str, log_interval: Nanos) -> Self {
        Self { listener, log: LogRateLimit::new(log_interval) }
    }

    /// Records an error at `now`. Returns how long to wait before the next attempt.
    pub fn record(&mut self, now: Nanos, error: &Error) -> Duration {
        if let Some(occurrences) = self.log.record(now) {
            log::warn!(listener = self.listener, error:% = error, occurrences = occurrences; "accept failed");
        }
        retry_pause(error)
    }
}

/// Returns how long to wait after an error: zero if it concerns only a single connection or call.
fn retry_pause(error: &Error) -> Duration {
    match error.kind() {
        ErrorKind::ConnectionAborted | ErrorKind::ConnectionReset | ErrorKind::Interrupted => Duration::ZERO,
        _ => RESOURCE_RETRY_PAUSE,
    }
}

#[cfg(test)]
mod tests;
