//! Shared by the features and aggregation frontends: problem documents, replies to queries without an answer, and query
//! deadlines.

use std::time::{Duration, SystemTime};

use serde_json::json;

use crate::api::{ClassId, Nanos};
use crate::engine::{QueryOutcome, RejectReason};
use crate::frontend::http_server::Reply;
use crate::limits::Limits;
use crate::net::coordinator::CoreHandle;
use crate::net::http;
use crate::runtime::nanos;

const NANOS_PER_SECOND: Nanos = 1_000_000_000;

/// The media type of problem documents (RFC 9457, section 3).
pub const PROBLEM_MEDIA_TYPE: &str = "application/problem+json";

/// Creates a reply with a problem document (RFC 9457).
pub fn problem(status: u16, detail: &str) -> Reply {
    let body = json!({"type": "about:blank", "title": http::reason_phrase(status), "status": status, "detail": detail});
    Reply {
        status,
        content_type: PROBLEM_MEDIA_TYPE,
        extra_headers: String::new(),
        body: body.to_string().into_bytes(),
    }
}

/// Adds a `Retry-After` header, rounded up to full seconds and at least 1, as HTTP has no smaller unit.
pub fn with_retry_after(reply: Reply, retry_after: Nanos) -> Reply {
    let seconds = retry_after.div_ceil(NANOS_PER_SECOND).max(1);
    reply.with_header("Retry-After", &seconds.to_string())
}

/// The reply to a query that was not answered, or `None` if it was answered.
pub fn unanswered_reply(
    ended: &Result<QueryOutcome, RejectReason>,
    queue_full_retry_after: Nanos,
) -> Option<Reply> {
    match ended {
        Ok(QueryOutcome::Answered { .. }) => None,
        Ok(QueryOutcome::Rejected { retry_after }) => {
            Some(with_retry_after(problem(503, "refused, try again"), *retry_after))
        }
        Ok(QueryOutcome::Failed) => Some(problem(504, "the data nodes did not answer in time")),
        Err(RejectReason::QueueFull) => {
            Some(with_retry_after(problem(503, "over the limit, try again"), queue_full_retry_after))
        }
        Err(RejectReason::DeadlinePassed) => Some(problem(503, "no time is left")),
        Err(RejectReason::InvalidParts | RejectReason::UnknownClass | RejectReason::DuplicateName) => {
            Some(problem(500, "the query cannot be asked"))
        }
    }
}

/// The current Unix time in seconds. Cursors expire by this clock.
pub fn unix_now() -> u64 {
    SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).map_or(0, |d| d.as_secs())
}

/// The deadline of a query that was received at `received_at`. The timeout is the smaller of its class's and its
/// client's, less `answer_margin`, which leaves time for the answer to reach the client.
pub fn query_deadline(
    core: &CoreHandle,
    limits: &Limits,
    class: ClassId,
    client_timeout: Duration,
    received_at: Nanos,
) -> Nanos {
    let class_deadline = core.deployment().settings.classes[class.0].deadline;
    let timeout = class_deadline.min(nanos(client_timeout));
    received_at.saturating_add(timeout.saturating_sub(nanos(limits.answer_margin)))
}
