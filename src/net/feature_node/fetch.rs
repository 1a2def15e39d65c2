//! One attempt at a feature server: requests its pages in sequence.

use std::cell::Cell;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;

use crate::api::{Nanos, Outcome};
use crate::counters::Counters;
use crate::engine::{CancellationToken, Dispatch, Value};
use crate::net::feature_node::response::PageResponse;
use crate::net::feature_node::FetchControl;
use crate::net::features::{self, ParameterNames, RangeQuery};
use crate::net::messages::DrainGate;
use crate::net::node::NodeContext;
use crate::runtime::{Stream, WriteError};

/// The path that health checks request.
const LANDING_PAGE: &str = "/";

/// The media types that pages are accepted in.
const ACCEPT: &str = "application/geo+json, application/json";

/// A running attempt or health check.
pub(super) struct Fetch {
    pub(super) context: NodeContext,
    pub(super) parameter_names: Arc<ParameterNames>,
    pub(super) gate: DrainGate,
    pub(super) control: Arc<FetchControl>,
    /// When the attempt times out.
    pub(super) deadline: Nanos,
    /// The first request is only sent before this time.
    pub(super) start_deadline: Nanos,
    pub(super) cancellation: CancellationToken,
    /// Whether a request was written completely, so that the attempt may have run.
    pub(super) request_sent: bool,
}

/// The result of an attempt.
pub(super) struct FetchEnd {
    pub(super) outcome: Outcome,
    pub(super) value: Option<Value>,
    /// The attempt's connection, if it can be used for another fetch.
    pub(super) reusable: Option<Arc<Stream>>,
}

impl FetchEnd {
    fn failed(outcome: Outcome) -> Self {
        Self { outcome, value: None, reusable: None }
    }
}

struct RangeValue {
    /// A JSON array of the range's features.
    data: String,
    /// Whether the connection can be used for another request.
    keep_alive: bool,
}

impl Fetch {
    /// Fetches the range of a part, over the idle connection if there is one, else over a new one.
    pub(super) fn run(mut self, dispatch: &Dispatch, idle: Option<Arc<Stream>>) -> FetchEnd {
        let part = &dispatch.part;
        let Some(query) = RangeQuery::new(&part.text, part.shard, &self.parameter_names) else {
            return FetchEnd::failed(Outcome::NotSent);
        };
        match self.fetch_range(query, idle) {
            Ok((range, stream)) => FetchEnd {
                outcome: Outcome::Success,
                value: Some(Value { score: 0, data: range.data.into() }),
                reusable: range.keep_alive.then_some(stream),
            },
            Err(outcome) => {
                self.control.shut_down_stream();
                FetchEnd::failed(outcome)
            }
        }
    }

    /// Requests the landing page; succeeds with status 200.
    pub(super) fn check_health(mut self) -> Outcome {
        let response = self.connect(None).and_then(|stream| self.fetch_page(&stream, LANDING_PAGE));
        match response {
            Ok(PageResponse { status: 200, .. }) => Outcome::Success,
            Ok(_) => Outcome::ServerError,
            Err(outcome) => outcome,
        }
    }

    fn fetch_range(
        &mut self,
        query: RangeQuery,
        idle: Option<Arc<Stream>>,
    ) -> Result<(RangeValue, Arc<Stream>), Outcome> {
        let stream = self.connect(idle)?;
        let range = self.fetch_pages(&stream, query)?;
        Ok((range, stream))
    }

    /// Returns the time until the deadline.
    pub(super) fn remaining(&self) -> Duration {
        Duration::from_nanos(self.deadline.saturating_sub(self.context.clock.now()))
    }

    fn connect(&self, idle: Option<Arc<Stream>>) -> Result<Arc<Stream>, Outcome> {
        let stream = match idle {
            Some(stream) => stream,
            None => Arc::new(self.open_connection()?),
        };
        self.control.set_stream(&stream);
        if self.control.claim_unconnected() {
            Ok(stream)
        } else {
            Err(Outcome::NotSent)
        }
    }

    fn open_connection(&self) -> Result<Stream, Outcome> {
        let permit = self.context.permits.take().ok_or(Outcome::ConnectFailed)?;
        Counters::add(&self.context.counters.dials);
        let connect_timeout = Duration::from_nanos(self.context.connections.connect_timeout);
        let timeout = connect_timeout.min(self.remaining());
        Stream::connect(&self.control.address, timeout, Some(permit)).map_err(|_| {
            Counters::add(&self.context.counters.dials_failed);
            Outcome::ConnectFailed
        })
    }

    /// Checks whether the next page may be requested. If not, the outcome is `NotSent` before the first request was
    /// sent, since the attempt never ran.
    fn check_may_request(&self) -> Result<(), Outcome> {
        let cancelled = self.control.cancelled.load(Ordering::Acquire) || !self.cancellation.is_active();
        let now = self.context.clock.now();
        let is_past_start = !self.request_sent && now >= self.start_deadline;
        let is_over = cancelled || is_past_start || self.remaining().is_zero();
        if !is_over && self.gate.is_open_for(self.control.address, now) {
            return Ok(());
        }
        Err(if self.request_sent { Outcome::ServerError } else { Outcome::NotSent })
    }

    fn fetch_pages(&mut self, stream: &Stream, query: RangeQuery) -> Result<RangeValue, Outcome> {
        let (mut features, mut target) = (Vec::new(), query.target);
        for _ in 0..self.context.limits.max_pages {
            self.check_may_request()?;
            let PageResponse { status, body, keep_alive } = self.fetch_page(stream, &target)?;
            match status {
                200 => {}
                404 if query.limit.is_none() => {
                    return Ok(RangeValue { data: features::encode_features(&[]), keep_alive });
                }
                429 | 503 if features.is_empty() => return Err(Outcome::Rejected),
                _ => return Err(Outcome::ServerError),
            }
            let page = features::parse_page(&body).map_err(|reason| self.malformed(reason))?;
            features.extend(page.features);
            let limit = query.limit.unwrap_or(1);
            match page.next.filter(|_| features.len() < limit) {
                Some(next) if keep_alive => target = next,
                // The server closes the connection between pages, so the range cannot be read completely.
                Some(_) => return Err(Outcome::ServerError),
                None => {
                    features.truncate(limit);
                    return Ok(RangeValue { data: features::encode_features(&features), keep_alive });
                }
            }
        }
        Err(self.malformed("range exceeds the page limit"))
    }

    /// Logs and counts a malformed response; returns the attempt's outcome.
    pub(super) fn malformed(&self, reason: &'static str) -> Outcome {
        log::warn!(reason = reason; "malformed response from a feature server");
        Counters::add(&self.context.counters.bad_frames);
        Outcome::ServerError
    }

    /// Requests one page and reads the response completely.
    fn fetch_page(&mut self, stream: &Stream, target: &str) -> Result<PageResponse, Outcome> {
        self.send_request(stream, target)?;
        self.request_sent = true;
        self.read_response(stream)
    }

    /// Sends the request for one page. Checks whether it may be sent when the first byte is written.
    fn send_request(&self, stream: &Stream, target: &str) -> Result<(), Outcome> {
        let host = self.control.address;
        let request = format!("GET {target} HTTP/1.1\r\nHost: {host}\r\nAccept: {ACCEPT}\r\n\r\n");
        let timeout = self.context.limits.node_write_timeout.min(self.remaining());
        let (clock, pending_updates) = (self.context.clock, &self.context.pending_updates);
        let permission = Cell::new(Ok(()));
        let current = || {
            pending_updates.wait_until_current(&clock);
            permission.set(self.check_may_request());
            permission.get().is_ok().then(|| request.clone().into_bytes())
        };
        let is_timely = || pending_updates.is_current(clock.now());
        let written = stream.write_latest(current, is_timely, || true, timeout);
        written.map_err(|error| self.write_failure(&error))?;
        permission.get()
    }

    fn write_failure(&self, error: &WriteError) -> Outcome {
        if self.request_sent || error.partially_written {
            Outcome::ConnectionReset
        } else {
            Outcome::ConnectFailed
        }
    }
}
