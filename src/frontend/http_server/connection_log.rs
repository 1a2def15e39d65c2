//! Log lines that say why the server ended a client connection or rejected a request, each kind at a limited rate.

use std::sync::Mutex;

use crate::api::Nanos;
use crate::net::http::{self, BadMessage};
use crate::net::log_limit::LogRateLimit;
use crate::runtime::{lock, Clock};

/// The log of all client connections. Connections are named by their key.
pub(super) struct ConnectionLog {
    clock: Clock,
    evicted: Mutex<LogRateLimit>,
    rejected: Mutex<LogRateLimit>,
    rejected_requests: Mutex<LogRateLimit>,
    out_of_memory: Mutex<LogRateLimit>,
    unanswered: Mutex<LogRateLimit>,
}

impl ConnectionLog {
    /// Logs each kind of event at most once per `interval`.
    pub(super) fn new(clock: Clock, interval: Nanos) -> Self {
        let limit = || Mutex::new(LogRateLimit::new(interval));
        Self {
            clock,
            evicted: limit(),
            rejected: limit(),
            rejected_requests: limit(),
            out_of_memory: limit(),
            unanswered: limit(),
        }
    }

    /// Logs a connection that is closed to make room for a new one, `idle` nanoseconds after its last answer.
    pub(super) fn evicted(&self, key: u64, idle: Nanos, has_served: bool) {
        if let Some(occurrences) = self.record(&self.evicted) {
            log::info!(
                connection = key, idle_ms = idle / NANOS_PER_MS, has_served = has_served, occurrences = occurrences;
                "connection closed for a new one"
            );
        }
    }

    /// Logs a new connection for which there is no room.
    pub(super) fn rejected(&self, open: usize) {
        if let Some(occurrences) = self.record(&self.rejected) {
            log::info!(open = open, occurrences = occurrences; "connection rejected: all slots are in use");
        }
    }

    /// Logs a request that is rejected without being served.
    pub(super) fn request_rejected(&self, key: u64, bad: BadMessage) {
        if bad == http::NO_REQUEST_MEMORY {
            if let Some(occurrences) = self.record(&self.out_of_memory) {
                log::warn!(occurrences = occurrences; "request rejected: the memory for requests is used up");
            }
        } else if let Some(occurrences) = self.record(&self.rejected_requests) {
            log::info!(
                connection = key, status = bad.status, reason = bad.reason, occurrences = occurrences;
                "request rejected"
            );
        }
    }

    /// Logs a client that disconnected without its answer, and how many bytes of the next request it had sent.
    pub(super) fn unanswered_disconnect(&self, key: u64, query: Option<u64>, received_bytes: usize) {
        if let Some(occurrences) = self.record(&self.unanswered) {
            log::info!(
                connection = key, query = query, received_bytes = received_bytes, occurrences = occurrences;
                "client disconnected without an answer"
            );
        }
    }

    fn record(&self, limit: &Mutex<LogRateLimit>) -> Option<u64> {
        let now = self.clock.now();
        lock(limit).record(now)
    }
}

const NANOS_PER_MS: Nanos = 1_000_000;
