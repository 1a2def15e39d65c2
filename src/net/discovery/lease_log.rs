//! What the log says of the endpoint list's lease: when it is extended without an update, expires and is renewed.

use super::NANOS_PER_MS;
use crate::api::Nanos;
use crate::net::log_limit::LogRateLimit;

/// The lease, as the log knows it.
#[derive(Debug)]
pub(super) struct LeaseLog {
    /// When it expired, while it has not been renewed.
    expired_at: Option<Nanos>,
    /// Bounds the lines on extensions.
    extensions: LogRateLimit,
}

impl LeaseLog {
    /// No lease has begun; a line on extensions in `interval` at most.
    pub(super) fn new(interval: Nanos) -> Self {
        Self { expired_at: None, extensions: LogRateLimit::new(interval) }
    }

    /// A refused call has extended it: discovery has been out of reach since it was last heard.
    pub(super) fn extended(&mut self, end: Nanos, now: Nanos) {
        if let Some(extensions) = self.extensions.occurred(now) {
            log::info!(
                left_ms = end.saturating_sub(now) / NANOS_PER_MS, extensions_since_last_line = extensions;
                "endpoint list lease extended while discovery is out of reach"
            );
        }
    }

    /// The list may not be used any more.
    pub(super) fn expired(&mut self, now: Nanos) {
        log::warn!("endpoint list lease expired");
        self.expired_at = Some(now);
    }

    /// The list may be used.
    pub(super) fn usable(&mut self, now: Nanos) {
        if let Some(at) = self.expired_at.take() {
            let expired_ms = now.saturating_sub(at) / NANOS_PER_MS;
            log::info!(expired_ms = expired_ms; "endpoint list lease renewed");
        }
    }
}
