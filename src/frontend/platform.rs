//! The frontend of the platform's protocol: each `POST` is a query whose class is the first segment of the path.

mod wire;

use std::sync::Arc;
use std::time::Duration;

use crate::api::Nanos;
use crate::counters::Counters;
use crate::engine::{ClientLiveness, QueryOutcome, QueryRequest, RejectReason, ResponseValidator};
use crate::frontend::http_server::{Answer, Frontend, Reply, Served, Service};
use crate::limits::Limits;
use crate::net::coordinator::CoreHandle;
use crate::net::http::{BadMessage, Request};
use crate::runtime::nanos;
use wire::Body;

const HEALTH_PATH: &str = "/_health";
const MAX_REQUEST_ID_BYTES: usize = 128;

/// The frontend of the platform's protocol.
pub struct PlatformFrontend {
    /// Submits queries to the coordinator core.
    pub core: CoreHandle,
    /// The maximum client timeout, and the margin for sending the answer.
    pub limits: Arc<Limits>,
    /// The lifecycle of the process, by which health checks are answered.
    pub service: Arc<Service>,
}

impl PlatformFrontend {
    /// Converts a request to a query, or returns the reply to an invalid request.
    fn query_request(
        &self,
        request: &Request,
        received_at: Nanos,
        client: ClientLiveness,
    ) -> Result<QueryRequest, Reply> {
        let deployment = self.core.deployment();
        let class_name = request.path.split('/').nth(1).unwrap_or("");
        let class = deployment.class_named(class_name).ok_or_else(|| Reply::text(404, "unknown class"))?;
        if request.method != "POST" {
            return Err(Reply::text(405, "queries are sent by POST").with_header("Allow", "POST"));
        }
        let name = request_id(request)?.to_string();
        let class_deadline = Duration::from_nanos(deployment.settings.classes[class.0].deadline);
        let timeout = self.client_timeout(request)?.unwrap_or(class_deadline);
        let body: Body = serde_json::from_slice(&request.body)
            .map_err(|error| Reply::text(400, &format!("the body is not as expected: {error}")))?;
        let time_left = nanos(timeout.saturating_sub(self.limits.answer_margin));
        Ok(QueryRequest {
            name,
            class,
            is_retry: request.headers.get("x-retried") == Some("1"),
            deadline: received_at.saturating_add(time_left),
            parts: body.parts.iter().map(|part| part.shard_weight()).collect(),
            text: body.text.into(),
            part_texts: Vec::new(),
            validator: ResponseValidator::default(),
            client,
        })
    }

    /// The timeout in the `X-Timeout` header, or `None` without the header.
    fn client_timeout(&self, request: &Request) -> Result<Option<Duration>, Reply> {
        let Some(text) = request.headers.get("x-timeout") else { return Ok(None) };
        parse_timeout(text)
            .filter(|timeout| *timeout <= self.limits.max_client_timeout)
            .map(Some)
            .ok_or_else(|| Reply::text(400, "X-Timeout: a number and m or u, an hour at most"))
    }

    fn health(&self, method: &str) -> Reply {
        if !matches!(method, "GET" | "HEAD") {
            return Reply::text(405, "health is read by GET").with_header("Allow", "GET, HEAD");
        }
        match self.service.not_ready_reason(&self.core) {
            None => Reply::text(200, "ok"),
            Some(reason) => Reply::text(503, reason),
        }
    }
}

impl Frontend for PlatformFrontend {
    fn serve(&self, request: Request, answer: Answer) -> Served {
        if request.path == HEALTH_PATH {
            answer.send(self.health(&request.method));
            return Served::Answered;
        }
        match self.query_request(&request, answer.received_at(), answer.client()) {
            Ok(query) => {
                let queue_full_retry_after = self.core.queue_full_retry_after();
                let reply = Box::new(move |ended| answer.send(query_reply(ended, queue_full_retry_after)));
                Served::Submitted(self.core.submit(query, reply))
            }
            Err(reply) => {
                Counters::add(&self.core.counters.bad_requests);
                answer.send(reply);
                Served::Answered
            }
        }
    }

    fn reject_malformed(&self, bad: BadMessage) -> Reply {
        Reply::text(bad.status, bad.reason)
    }
}

/// Returns the valid `X-Request-ID` of a request, or the reply to a missing or invalid one.
fn request_id(request: &Request) -> Result<&str, Reply> {
    let id = request.headers.get("x-request-id").unwrap_or("");
    let is_visible = id.bytes().all(|byte| byte.is_ascii_graphic());
    if id.is_empty() || id.len() > MAX_REQUEST_ID_BYTES || !is_visible {
        return Err(Reply::text(400, "X-Request-ID: 1 to 128 visible characters are needed"));
    }
    Ok(id)
}

/// Parses a number followed by `m` (milliseconds) or `u` (microseconds).
fn parse_timeout(text: &str) -> Option<Duration> {
    let unit = text.chars().last()?;
    let number: f64 = text.strip_suffix(unit)?.parse().ok()?;
    if !number.is_finite() || number < 0.0 {
        return None;
    }
    let seconds = match unit {
        'm' => number / 1e3,
        'u' => number / 1e6,
        _ => return None,
    };
    Duration::try_from_secs_f64(seconds).ok()
}

/// The reply to a query that has ended, or that the core did not accept.
fn query_reply(ended: Result<QueryOutcome, RejectReason>, queue_full_retry_after: Nanos) -> Reply {
    match ended {
        Ok(QueryOutcome::Answered { complete, rows, .. }) => match wire::answer_body(complete, &rows) {
            Ok(body) => {
                Reply { status: 200, content_type: "application/json", extra_headers: String::new(), body }
            }
            Err(_) => Reply::text(500, "the answer cannot be written"),
        },
        Ok(QueryOutcome::Rejected { retry_after }) => {
            with_retry_after(Reply::text(503, "refused"), retry_after)
        }
        Ok(QueryOutcome::Failed) => Reply::text(504, "given up"),
        Err(RejectReason::QueueFull) => {
            with_retry_after(Reply::text(503, "over the limit"), queue_full_retry_after)
        }
        Err(RejectReason::DeadlinePassed) => Reply::text(503, "no time is left"),
        Err(RejectReason::InvalidParts) => {
            Reply::text(400, "parts: at least one, each shard once, their weights 1")
        }
        Err(RejectReason::DuplicateName) => Reply::text(409, "X-Request-ID: a request of this id is open"),
        Err(RejectReason::UnknownClass) => Reply::text(404, "unknown class"),
    }
}

/// Adds a `Retry-After` header in decimal seconds, unless the client may retry immediately.
fn with_retry_after(reply: Reply, retry_after: Nanos) -> Reply {
    match retry_after {
        0 => reply,
        wait => reply.with_header("Retry-After", &format!("{:.3}", wait as f64 / 1e9)),
    }
}

#[cfg(test)]
mod tests;
