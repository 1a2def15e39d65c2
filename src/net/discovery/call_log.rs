//! What the log says of calls to discovery: when each began, when it was answered, and how it ended.

use std::collections::HashMap;
use std::fmt;

use curlewdeck_membership::{Abandoned, CallId, Request};

use super::NANOS_PER_MS;
use crate::api::Nanos;
use crate::net::log_limit::LogRateLimit;

/// The calls that are open, as the log knows them.
#[derive(Debug)]
pub(super) struct CallLog {
    open: HashMap<CallId, OpenCall>,
    /// Bounds the lines on calls that fail.
    failures: LogRateLimit,
}

#[derive(Debug, Clone, Copy)]
struct OpenCall {
    request: Request,
    begun: Nanos,
    answered: Option<Nanos>,
}

impl OpenCall {
    /// Milliseconds since the call was answered, or since it began if it was not.
    fn elapsed_ms(&self, now: Nanos) -> u64 {
        now.saturating_sub(self.answered.unwrap_or(self.begun)) / NANOS_PER_MS
    }
}

/// What a call was answered with first.
#[derive(Debug, Clone, Copy)]
pub(super) enum FirstAnswer {
    /// Nothing has changed.
    Heartbeat,
    /// An update of this version.
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
    /// No call is open; a line on failures in `interval` at most.
    pub(super) fn new(interval: Nanos) -> Self {
        Self { open: HashMap::new(), failures: LogRateLimit::new(interval) }
    }

    /// A call begins.
    pub(super) fn begins(&mut self, call: CallId, request: Request, now: Nanos) {
        log::debug!(call = call.0, request:? = request; "discovery call begins");
        self.open.insert(call, OpenCall { request, begun: now, answered: None });
    }

    /// A call begins although a watch is open: that one is verified, or was silent for too long.
    pub(super) fn begins_beside_watch(&mut self, call: CallId, now: Nanos) {
        if let Some(failures) = self.failures.occurred(now) {
            log::warn!(
                call = call.0, failures_since_last_line = failures;
                "discovery call begins beside a watch"
            );
        }
    }

    /// A call has brought something: its first answer is logged.
    pub(super) fn answered(&mut self, call: CallId, answer: FirstAnswer, now: Nanos) {
        let Some(open) = self.open.get_mut(&call).filter(|open| open.answered.is_none()) else { return };
        let after_ms = open.elapsed_ms(now);
        open.answered = Some(now);
        log::info!(
            call = call.0, request:? = open.request, answer:% = answer, after_ms = after_ms;
            "discovery call answered"
        );
    }

    /// A call has ended with its connection.
    pub(super) fn ended(&mut self, call: CallId, reason: &str, now: Nanos) {
        let open = self.open.remove(&call);
        self.failed(call, open, reason, now);
    }

    /// A call is abandoned.
    pub(super) fn abandoned(&mut self, call: CallId, reason: Abandoned, now: Nanos) {
        let open = self.open.remove(&call);
        match reason {
            Abandoned::Unanswered => self.failed(call, open, "abandoned unanswered", now),
            Abandoned::Superseded | Abandoned::ServiceMoved => {
                log::debug!(call = call.0, reason:? = reason; "discovery call abandoned");
            }
        }
    }

    /// One line on a failed call, unless there was one within the interval.
    fn failed(&mut self, call: CallId, open: Option<OpenCall>, reason: &str, now: Nanos) {
        let (Some(failures), Some(open)) = (self.failures.occurred(now), open) else { return };
        log::warn!(
            call = call.0,
            request:? = open.request,
            answered = open.answered.is_some(),
            elapsed_ms = open.elapsed_ms(now),
            reason = reason,
            failures_since_last_line = failures;
            "discovery call failed"
        );
    }
}
