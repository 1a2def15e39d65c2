//! What the HTTP fronts for people's programs have in common: problem documents, what becomes of a query without an
//! answer, and how long one may take.

use std::time::{Duration, SystemTime};

use serde_json::json;

use crate::api::{ClassId, Nanos};
use crate::engine::{QueryOutcome, RejectReason};
use crate::frontend::http_server::Reply;
use crate::limits::Limits;
use crate::net::coordinator::CoreHandle;
use crate::net::http;
use crate::runtime::nanos;

/// The media type of RFC 9457, section 3.
pub const PROBLEM: &str = "application/problem+json";

/// A problem of RFC 9457.
pub fn problem(status: u16, detail: &str) -> Reply {
    let body =
        json!({"type": "about:blank", "title": http::reason(status), "status": status, "detail": detail});
    Reply { status, kind: PROBLEM, more: String::new(), body: body.to_string().into_bytes() }
}

/// HTTP knows whole seconds only: rounded up.
pub fn retry_after(reply: Reply, hold_off: Nanos) -> Reply {
    reply.with("Retry-After", &hold_off.div_ceil(1_000_000_000).max(1).to_string())
}

/// The answer to a query that has none of its own.
pub fn unserved(ended: &Result<QueryOutcome, RejectReason>, full_hold_off: Nanos) -> Option<Reply> {
    match ended {
        Ok(QueryOutcome::Answered { .. }) => None,
        Ok(QueryOutcome::Rejected { retry_after: hold_off }) => {
            Some(retry_after(problem(503, "refused, try again"), *hold_off))
        }
        Ok(QueryOutcome::Failed) => Some(problem(504, "the data nodes did not answer in time")),
        Err(RejectReason::QueueFull) => {
            Some(retry_after(problem(503, "over the limit, try again"), full_hold_off))
        }
        Err(RejectReason::DeadlinePassed) => Some(problem(503, "no time is left")),
        Err(RejectReason::InvalidParts | RejectReason::UnknownClass | RejectReason::DuplicateName) => {
            Some(problem(500, "the query cannot be asked"))
        }
    }
}

/// Seconds of Unix time, by which cursors expire.
pub fn unix_now() -> u64 {
    SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).map_or(0, |d| d.as_secs())
}

/// Until when a query asked at `asked_at` may take: the class's deadline, or less if its client or the limits say so, less
/// the way of the answer.
pub fn valid_until(
    core: &CoreHandle,
    limits: &Limits,
    class: ClassId,
    wait: Duration,
    asked_at: Nanos,
) -> Nanos {
    let deadline = core.deployment().settings.classes[class.0].deadline;
    let wait = deadline.min(nanos(wait)).saturating_sub(nanos(limits.answer_margin));
    asked_at.saturating_add(wait)
}
