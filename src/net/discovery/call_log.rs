//! Logs calls to discovery: their start, first answer and end.

use std::collections::HashMap;
use std::fmt;

use curlewdeck_membership::{AbandonReason, CallId, Request};

use super::NANOS_PER_MS;
use crate::api::Nanos;
use crate::net::log_limit::LogRateLimit;

/// Writes the log lines on calls, and keeps for each open call the data that they report.
#[derive(Debug)]
pub(super) struct CallLog {
    open: HashMap<CallId, OpenCall>,
    /// Limits the rate of log lines on failed calls.
    failures: LogRateLimit,
}

#[derive(Debug, Clone, Copy)]
struct OpenCall {
    request: Request,
    started_at: Nanos,
    answered_at: Option<Nanos>,
}

impl OpenCall {
    /// Milliseconds since the first answer, or since the start if there is no answer yet.
    fn elapsed_ms(&self, now: Nanos) -> u64 {
        now.saturating_sub(self.answered_at.unwrap_or(self.started_at)) / NANOS_PER_MS
    }
}

/// The first answer to a call.
#[derive(Debug, Clone, Copy)]
pub(super) enum FirstAnswer {
    /// The list has not changed.
    Heartbeat,
    /// An update with its version.
    Version(u64),
}

impl fmt::Display for FirstAnswer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Heartbeat => f.write_str("heartbeat"),
            Self::Version(version) => write!(f, "version:{version}"),
        }
    }
}

impl CallLog {
    /// Creates a log that writes at most one line on failures per `interval`.
    pub(super) fn new(interval: Nanos) -> Self {
        Self { open: HashMap::new(), failures: LogRateLimit::new(interval) }
    }

    pub(super) fn started(&mut self, call: CallId, request: Request, now: Nanos) {
        log::debug!(call = call.0, request:? = request; "discovery call started");
        self.open.insert(call, OpenCall { request, started_at: now, answered_at: None });
    }

    /// Logs that a call starts while a watch is open, either to verify the watch or because it is silent.
    pub(super) fn started_during_watch(&mut self, call: CallId, now: Nanos) {
        if let Some(failures) = self.failures.record(now) {
            log::warn!(
                call = call.0, failures_since_last_line = failures;
                "discovery call started while a watch is open"
            );
        }
    }

    /// Logs the first answer to a call, and ignores later ones.
    pub(super) fn answered(&mut self, call: CallId, answer: FirstAnswer, now: Nanos) {
        let Some(open) = self.open.get_mut(&call).filter(|open| open.answered_at.is_none()) else { return };
        let after_ms = open.elapsed_ms(now);
        open.answered_at = Some(now);
        log::info!(
            call = call.0, request:? = open.request, answer:% = answer, after_ms = after_ms;
            "discovery call answered"
        );
    }

    /// Logs that a call has ended with its connection.
    pub(super) fn ended(&mut self, call: CallId, reason: &str, now: Nanos) {
        let open = self.open.remove(&call);
        self.failed(call, open, reason, now);
    }

    /// Logs that the actor has abandoned a call; only an unanswered one counts as failed.
    pub(super) fn abandoned(&mut self, call: CallId, reason: AbandonReason, now: Nanos) {
        let open = self.open.remove(&call);
        match reason {
            AbandonReason::Unanswered => self.failed(call, open, "abandoned without an answer", now),
            AbandonReason::Superseded | AbandonReason::ServiceMoved => {
                log::debug!(call = call.0, reason:? = reason; "discovery call abandoned");
            }
        }
    }

    /// Logs a failed call, unless a line was logged within the interval.
    fn failed(&mut self, call: CallId, open: Option<OpenCall>, reason: &str, now: Nanos) {
        let (Some(failures), Some(open)) = (self.failures.record(now), open) else { return };
        log::warn!(
            call = call.0,
            request:? = open.request,
            answered = open.answered_at.is_some(),
            elapsed_ms = open.elapsed_ms(now),
            reason = reason,
            failures_since_last_line = failures;
            "discovery call failed"
        );
    }
}
