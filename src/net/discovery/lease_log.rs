//! Logs when the endpoint list's lease is extended without an update, expires and is renewed.

use curlewdeck_membership::{CallEnd, CallId};

use super::NANOS_PER_MS;
use crate::api::Nanos;
use crate::net::log_limit::LogRateLimit;

/// Writes the log lines on the lease, and keeps the data that they report.
#[derive(Debug)]
pub(super) struct LeaseLog {
    /// When the lease expired; `None` while it is valid.
    expired_at: Option<Nanos>,
    /// Limits the rate of log lines on extensions.
    extensions: LogRateLimit,
}

impl LeaseLog {
    /// Creates a log that writes at most one line on extensions per `interval`.
    pub(super) fn new(interval: Nanos) -> Self {
        Self { expired_at: None, extensions: LogRateLimit::new(interval) }
    }

    /// Logs that a failed call has extended the lease until `until`: discovery has been unreachable since its last
    /// message.
    pub(super) fn extended(&mut self, call: CallId, call_end: CallEnd, until: Nanos, now: Nanos) {
        if let Some(extensions) = self.extensions.record(now) {
            log::info!(
                call = call.0, call_end:? = call_end,
                left_ms = until.saturating_sub(now) / NANOS_PER_MS, extensions_since_last_line = extensions;
                "endpoint list lease extended while discovery is unreachable"
            );
        }
    }

    /// Logs that the lease has expired.
    pub(super) fn expired(&mut self, now: Nanos) {
        log::warn!("endpoint list lease expired");
        self.expired_at = Some(now);
    }

    /// Logs the renewal of the lease if it had expired.
    pub(super) fn usable(&mut self, now: Nanos) {
        if let Some(at) = self.expired_at.take() {
            let expired_ms = now.saturating_sub(at) / NANOS_PER_MS;
            log::info!(expired_ms = expired_ms; "endpoint list lease renewed");
        }
    }
}
