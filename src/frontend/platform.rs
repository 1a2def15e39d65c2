//! The platform's protocol: one `POST` a query, its class the path's first part.

use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::api::{Nanos, ShardId};
use crate::counters::Counters;
use crate::engine::{ClientLiveness, QueryOutcome, QueryRequest, RejectReason, ResponseValidator};
use crate::frontend::http_server::{Answer, Frontend, Reply, Served, Service};
use crate::limits::Limits;
use crate::net::coordinator::CoreHandle;
use crate::net::http::{BadMessage, Request};
use crate::runtime::nanos;

const HEALTH: &str = "/_health";
const ID_BYTES: usize = 128;

/// The front of the platform's protocol.
pub struct Platform {
    /// The core.
    pub core: CoreHandle,
    /// Limits.
    pub limits: Arc<Limits>,
    /// The state of the process.
    pub service: Arc<Service>,
}

#[derive(Debug, Deserialize, PartialEq)]
struct Body {
    parts: Vec<BodyPart>,
    expr: String,
}

#[derive(Debug, Deserialize, PartialEq)]
struct BodyPart {
    id: u32,
    w: f64,
}

#[derive(Serialize)]
struct Served200<'a> {
    exact: bool,
    rows: Vec<RowOut<'a>>,
}

#[derive(Serialize)]
struct RowOut<'a> {
    id: u32,
    data: &'a str,
}

/// A number followed by `m` (milliseconds) or `u` (microseconds).
fn timeout(text: &str) -> Option<Duration> {
    let unit = text.chars().last()?;
    let number: f64 = text.strip_suffix(unit)?.parse().ok().filter(|n: &f64| n.is_finite() && *n >= 0.0)?;
    let seconds = match unit {
        'm' => number / 1e3,
        'u' => number / 1e6,
        _ => return None,
    };
    Duration::try_from_secs_f64(seconds).ok()
}

/// `Retry-After` in decimal seconds.
fn retry_after(reply: Reply, hold_off: Nanos) -> Reply {
    match hold_off {
        0 => reply,
        n => reply.with("Retry-After", &format!("{:.3}", n as f64 / 1e9)),
    }
}

fn answer(ended: Result<QueryOutcome, RejectReason>, full_hold_off: Nanos) -> Reply {
    match ended {
        Ok(QueryOutcome::Answered { complete, rows, .. }) => {
            let rows = rows.iter().map(|r| RowOut { id: r.shard.0, data: &r.data }).collect();
            match serde_json::to_vec(&Served200 { exact: complete, rows }) {
                Ok(body) => Reply { status: 200, kind: "application/json", more: String::new(), body },
                Err(_) => Reply::text(500, "the answer cannot be written"),
            }
        }
        Ok(QueryOutcome::Rejected { retry_after: hold_off }) => {
            retry_after(Reply::text(503, "refused"), hold_off)
        }
        Ok(QueryOutcome::Failed) => Reply::text(504, "given up"),
        Err(RejectReason::QueueFull) => retry_after(Reply::text(503, "over the limit"), full_hold_off),
        Err(RejectReason::DeadlinePassed) => Reply::text(503, "no time is left"),
        Err(RejectReason::InvalidParts) => {
            Reply::text(400, "parts: at least one, each shard once, their weights 1")
        }
        Err(RejectReason::DuplicateName) => Reply::text(409, "X-Request-ID: a request of this id is open"),
        Err(RejectReason::UnknownClass) => Reply::text(404, "unknown class"),
    }
}

impl Platform {
    fn ask(&self, request: &Request, asked_at: Nanos) -> Result<QueryRequest, Reply> {
        let class = request.path.split('/').nth(1).unwrap_or("");
        let info = self.core.deployment();
        let class = info.class_named(class).ok_or_else(|| Reply::text(404, "unknown class"))?;
        if request.method != "POST" {
            return Err(Reply::text(405, "queries are sent by POST").with("Allow", "POST"));
        }
        let name = request.headers.get("x-request-id").unwrap_or("");
        if name.is_empty() || name.len() > ID_BYTES || !name.bytes().all(|b| b.is_ascii_graphic()) {
            return Err(Reply::text(400, "X-Request-ID: 1 to 128 visible characters are needed"));
        }
        let wait = match request.headers.get("x-timeout") {
            Some(text) => timeout(text)
                .filter(|t| *t <= self.limits.max_client_timeout)
                .ok_or_else(|| Reply::text(400, "X-Timeout: a number and m or u, an hour at most"))?,
            None => Duration::from_nanos(info.settings.classes[class.0].deadline),
        };
        let body: Body = serde_json::from_slice(&request.body)
            .map_err(|e| Reply::text(400, &format!("the body is not as expected: {e}")))?;
        let wait = nanos(wait.saturating_sub(self.limits.answer_margin));
        Ok(QueryRequest {
            name: name.to_string(),
            class,
            is_retry: request.headers.get("x-retried") == Some("1"),
            deadline: asked_at.saturating_add(wait),
            parts: body.parts.iter().map(|p| (ShardId(p.id), p.w)).collect(),
            text: body.expr.into(),
            part_texts: Vec::new(),
            validator: ResponseValidator::default(),
            client: ClientLiveness::default(),
        })
    }

    fn health(&self, method: &str) -> Reply {
        match method {
            "GET" | "HEAD" => match self.service.why_not(&self.core) {
                None => Reply::text(200, "ok"),
                Some(why) => Reply::text(503, why),
            },
            _ => Reply::text(405, "health is read by GET").with("Allow", "GET, HEAD"),
        }
    }
}

impl Frontend for Platform {
    fn serve(&self, request: Request, out: Answer) -> Served {
        if request.path == HEALTH {
            out.send(self.health(&request.method));
            return Served::Now;
        }
        match self.ask(&request, out.received_at()) {
            Ok(ask) => {
                let ask = QueryRequest { client: out.client(), ..ask };
                let hold_off = self.core.queue_full_retry_after();
                let reply = Box::new(move |ended| out.send(answer(ended, hold_off)));
                Served::Later(self.core.submit(ask, reply))
            }
            Err(reply) => {
                Counters::add(&self.core.counters.bad_requests);
                out.send(reply);
                Served::Now
            }
        }
    }

    fn reject_malformed(&self, bad: BadMessage) -> Reply {
        Reply::text(bad.status, bad.why)
    }
}

#[cfg(test)]
mod tests;
