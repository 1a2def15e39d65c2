//! The actor of one feature server: a data node that speaks OGC API - Features over HTTP.
//!
//! A part is a range's features, read page by page on one connection. Each page is new work: before it is
//! asked for, the server's state and address and the attempt's time are looked at again.

use std::cell::Cell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::RecvTimeoutError;
use std::sync::Arc;
use std::time::{Duration, Instant};

use may::sync::mpsc::{channel, Receiver, Sender};

use crate::api::{Nanos, Outcome, ServerId};
use crate::counters::Counters;
use crate::engine::{AttemptId, CancellationToken, Dispatch, Value};
use crate::net::features::{self, Names, RangeQuery};
use crate::net::http;
use crate::net::messages::{CoreMessage, DrainGate, NodeMessage};
use crate::net::node::NodeContext;
use crate::runtime::{nanos, spawn, spawn_vital, Stream, WriteError};

/// How often connections at rest are looked at.
const LOOK: Duration = Duration::from_millis(500);

/// A connection at rest, and since when.
type Rested = (Arc<Stream>, Instant);

/// Starts the actor; returns its mailbox. The server is told the range in a parameter of `names`.
pub fn start(id: ServerId, gate: DrainGate, context: NodeContext, names: Arc<Names>) -> Sender<NodeMessage> {
    let (mail, inbox) = channel();
    let (own, words) = (mail.clone(), context.limits.stack_words);
    spawn_vital("feature node", words, move || {
        let (jobs, rested) = (HashMap::new(), Vec::new());
        FeatureNode { id, context, names, own, addr: None, gate, jobs, rested }.run(&inbox);
    });
    mail
}

/// What ends a job early.
struct Job {
    /// Where it goes.
    addr: SocketAddr,
    dropped: AtomicBool,
    /// It waits for its connection. Whoever clears this says how the attempt goes on.
    unconnected: AtomicBool,
    stream: may::sync::Mutex<Option<Arc<Stream>>>,
}

impl Job {
    fn new(addr: SocketAddr) -> Self {
        let (dropped, unconnected) = (AtomicBool::new(false), AtomicBool::new(true));
        Self { addr, dropped, unconnected, stream: may::sync::Mutex::new(None) }
    }
}

struct FeatureNode {
    id: ServerId,
    context: NodeContext,
    names: Arc<Names>,
    own: Sender<NodeMessage>,
    addr: Option<SocketAddr>,
    gate: DrainGate,
    jobs: HashMap<AttemptId, Arc<Job>>,
    rested: Vec<Rested>,
}

impl FeatureNode {
    fn run(mut self, inbox: &Receiver<NodeMessage>) {
        loop {
            match inbox.recv_timeout(LOOK) {
                Ok(NodeMessage::Remove) => return,
                Ok(message) => self.take(message),
                Err(RecvTimeoutError::Timeout) => self.prune(),
                Err(RecvTimeoutError::Disconnected) => return,
            }
        }
    }

    fn take(&mut self, message: NodeMessage) {
        match message {
            NodeMessage::Address(addr) => {
                if self.addr.replace(addr).is_some_and(|old| old != addr) {
                    self.rested.clear();
                    self.end_unconnected();
                }
            }
            NodeMessage::GateClosed => self.end_unconnected(),
            NodeMessage::Call(call) => call.into_iter().for_each(|d| self.fetch(d)),
            NodeMessage::CancelAttempt(attempt) => {
                if let Some(job) = self.jobs.get(&attempt) {
                    job.dropped.store(true, Ordering::Release);
                    if let Ok(Some(stream)) = job.stream.lock().as_deref() {
                        stream.shut();
                    }
                }
            }
            NodeMessage::CheckHealth => self.probe(),
            NodeMessage::CloseIdleConnections => self.rested.clear(),
            NodeMessage::ConnectionIdle(attempt, stream) => {
                let here = self.jobs.remove(&attempt).is_some_and(|job| Some(job.addr) == self.addr);
                self.rested.extend(stream.filter(|_| here).map(|s| (s, Instant::now())));
            }
            // Only actors that speak frames send these.
            NodeMessage::Connection(_)
            | NodeMessage::Read(..)
            | NodeMessage::ConnectionUp(..)
            | NodeMessage::Remove => {}
        }
    }

    /// Ends the attempts that wait for a connection: it may not come up for long, and others are to have them at once.
    fn end_unconnected(&self) {
        for (&attempt, job) in &self.jobs {
            if job.unconnected.swap(false, Ordering::AcqRel) {
                self.context.core.send(CoreMessage::AttemptEnded(attempt, Outcome::NotSent, None));
            }
        }
    }

    /// Closes connections that the server has closed, or soon will.
    fn prune(&mut self) {
        let idle = Duration::from_nanos(self.context.connections.idle);
        let most = self.context.limits.usable_idle(idle);
        self.rested.retain(|r| r.1.elapsed() < most && !r.0.readable());
    }

    /// A connection that the server will not close under the next request.
    fn rested(&mut self) -> Option<Arc<Stream>> {
        self.prune();
        self.rested.pop().map(|r| r.0)
    }

    fn fetch(&mut self, dispatch: Dispatch) {
        let attempt = dispatch.attempt;
        let full = self.jobs.len() >= self.context.limits.node_backlog;
        let Some(addr) = self.addr.filter(|_| !full) else {
            return self.context.core.send(CoreMessage::AttemptEnded(attempt, Outcome::NotSent, None));
        };
        let job = Arc::new(Job::new(addr));
        self.jobs.insert(attempt, job.clone());
        let fetch = Fetch {
            context: self.context.clone(),
            names: self.names.clone(),
            gate: self.gate.clone(),
            job,
            until: dispatch.deadline,
            begin_by: dispatch.start_deadline,
            wanted: dispatch.cancellation.clone(),
            asked: false,
        };
        let (own, rested) = (self.own.clone(), self.rested());
        let started = spawn("feature fetch", self.context.limits.core_stack_words, move || {
            let core = fetch.context.core.clone();
            let (outcome, value, stream) = fetch.run(&dispatch, rested);
            core.send(CoreMessage::AttemptEnded(attempt, outcome, value));
            // Nobody is left to be told once the actor has ended.
            let _ = own.send(NodeMessage::ConnectionIdle(attempt, stream));
        });
        if started.is_err() {
            self.jobs.remove(&attempt);
            self.context.core.send(CoreMessage::AttemptEnded(attempt, Outcome::NotSent, None));
        }
    }

    /// A feature server is sound when its landing page can be had.
    fn probe(&mut self) {
        let now = self.context.clock.now();
        if !self.gate.is_open(now) {
            return self.context.core.send(CoreMessage::HealthChecked(self.id, Outcome::NotSent));
        }
        Counters::add(&self.context.counters.probes);
        let (id, context, addr) = (self.id, self.context.clone(), self.addr);
        let until = now + nanos(context.limits.probe);
        let (names, gate) = (self.names.clone(), self.gate.clone());
        let started = spawn("feature probe", context.limits.core_stack_words, move || {
            let core = context.core.clone();
            let probe = |addr| {
                let mut fetch = Fetch {
                    context,
                    names,
                    gate,
                    job: Arc::new(Job::new(addr)),
                    until,
                    begin_by: until,
                    wanted: CancellationToken::new(),
                    asked: false,
                };
                match fetch.connect(None).and_then(|s| fetch.page(&s, "/")) {
                    Ok((200, ..)) => Outcome::Success,
                    Ok(_) => Outcome::ServerError,
                    Err(outcome) => outcome,
                }
            };
            core.send(CoreMessage::HealthChecked(id, addr.map_or(Outcome::ConnectFailed, probe)));
        });
        if started.is_err() {
            self.context.core.send(CoreMessage::HealthChecked(id, Outcome::ConnectFailed));
        }
    }
}

/// One attempt: its pages, one after the other.
struct Fetch {
    context: NodeContext,
    names: Arc<Names>,
    gate: DrainGate,
    job: Arc<Job>,
    until: Nanos,
    begin_by: Nanos,
    wanted: CancellationToken,
    /// A request was written whole: the attempt may have run.
    asked: bool,
}

type Ended = (Outcome, Option<Value>, Option<Arc<Stream>>);

impl Fetch {
    fn run(mut self, dispatch: &Dispatch, rested: Option<Arc<Stream>>) -> Ended {
        let part = &dispatch.part;
        let Some(query) = RangeQuery::new(&part.text, part.shard, &self.names) else {
            return (Outcome::NotSent, None, None);
        };
        match self.connect(rested).and_then(|stream| self.pages(&stream, query).map(|v| (v, stream))) {
            Ok(((data, keep), stream)) => {
                let value = Value { score: 0, data: data.into() };
                (Outcome::Success, Some(value), keep.then_some(stream))
            }
            Err(outcome) => {
                if let Ok(Some(stream)) = self.job.stream.lock().as_deref() {
                    stream.shut();
                }
                (outcome, None, None)
            }
        }
    }

    fn left(&self) -> Duration {
        Duration::from_nanos(self.until.saturating_sub(self.context.clock.now()))
    }

    fn connect(&self, rested: Option<Arc<Stream>>) -> Result<Arc<Stream>, Outcome> {
        let stream = match rested {
            Some(stream) => stream,
            None => {
                let permit = self.context.permits.take().ok_or(Outcome::ConnectFailed)?;
                Counters::add(&self.context.counters.dials);
                let within = Duration::from_nanos(self.context.connections.connect_timeout).min(self.left());
                let dialled = Stream::dial(&self.job.addr, within, Some(permit));
                Arc::new(dialled.map_err(|_| {
                    Counters::add(&self.context.counters.dials_failed);
                    Outcome::ConnectFailed
                })?)
            }
        };
        if let Ok(mut held) = self.job.stream.lock() {
            *held = Some(stream.clone());
        }
        match self.job.unconnected.swap(false, Ordering::AcqRel) {
            true => Ok(stream),
            false => Err(Outcome::NotSent),
        }
    }

    /// Whether the next page may be asked for. The first that may not never ran.
    fn may_ask(&self) -> Result<(), Outcome> {
        let dropped = self.job.dropped.load(Ordering::Acquire) || !self.wanted.is_active();
        let now = self.context.clock.now();
        let late = !self.asked && now >= self.begin_by;
        let over = dropped || late || self.left().is_zero();
        if over || !self.gate.is_open_for(self.job.addr, now) {
            return Err(if self.asked { Outcome::ServerError } else { Outcome::NotSent });
        }
        Ok(())
    }

    fn pages(&mut self, stream: &Stream, query: RangeQuery) -> Result<(String, bool), Outcome> {
        let (mut features, mut target) = (Vec::new(), query.target);
        for _ in 0..self.context.limits.pages {
            self.may_ask()?;
            let (status, body, keep) = self.page(stream, &target)?;
            match status {
                200 => {}
                404 if query.limit.is_none() => return Ok((features::value(&[]), keep)),
                429 | 503 if features.is_empty() => return Err(Outcome::Rejected),
                _ => return Err(Outcome::ServerError),
            }
            let page = features::parse_page(&body).map_err(|why| self.unusable(why))?;
            features.extend(page.features);
            let wanted = query.limit.unwrap_or(1);
            match page.next.filter(|_| features.len() < wanted) {
                Some(next) if keep => target = next,
                // The server ends the connection between pages: what is read is not the whole range.
                Some(_) => return Err(Outcome::ServerError),
                None => {
                    features.truncate(wanted);
                    return Ok((features::value(&features), keep));
                }
            }
        }
        Err(self.unusable("more pages than are read"))
    }

    fn unusable(&self, why: &'static str) -> Outcome {
        log::warn!("a feature server's answer cannot be used: {why}");
        Counters::add(&self.context.counters.bad_frames);
        Outcome::ServerError
    }

    /// Asks for one page and reads the answer whole.
    fn page(&mut self, stream: &Stream, target: &str) -> Result<(u16, String, bool), Outcome> {
        let accept = "application/geo+json, application/json";
        let request = format!("GET {target} HTTP/1.1\r\nHost: {}\r\nAccept: {accept}\r\n\r\n", self.job.addr);
        let within = self.context.limits.node_write.min(self.left());
        // Looked at again at the moment at which the first byte can go out.
        let may = Cell::new(Ok(()));
        let (clock, freshness) = (self.context.clock, &self.context.freshness);
        let current = || {
            freshness.establish(&clock);
            may.set(self.may_ask());
            may.get().is_ok().then(|| request.clone().into_bytes())
        };
        let written = stream.write_current(current, || freshness.holds(clock.now()), || true, within);
        let cut = |e: WriteError| {
            if self.asked || e.partially_written {
                Outcome::ConnectionReset
            } else {
                Outcome::ConnectFailed
            }
        };
        written.map_err(cut)?;
        may.get()?;
        self.asked = true;
        let (mut held, mut buf) = (Vec::new(), vec![0; 4096]);
        let most = self.context.limits.frame;
        loop {
            match http::parse_head(&held, &self.context.limits) {
                Ok(Some((head, size))) => {
                    let body = head.body(&held[size..], most).map_err(|e| self.unusable(e.why))?;
                    if let Some((body, used)) = body {
                        let text = String::from_utf8(body).map_err(|_| self.unusable("it is not text"))?;
                        // What follows belongs to no request: the answer is kept, the connection is not.
                        let alone = held.len() == size + used;
                        return Ok((head.status, text, head.keep_alive() && alone));
                    }
                }
                Ok(None) => {}
                Err(e) => return Err(self.unusable(e.why)),
            }
            match stream.read(&mut buf, self.left()) {
                Ok(0) => return self.ended(&held),
                Ok(n) if held.len() + n > most => return Err(self.unusable("it is too large")),
                Ok(n) => held.extend_from_slice(&buf[..n]),
                Err(e)
                    if matches!(e.kind(), std::io::ErrorKind::TimedOut | std::io::ErrorKind::WouldBlock) =>
                {
                    return Err(Outcome::TimedOut);
                }
                Err(_) => return Err(Outcome::ConnectionReset),
            }
        }
    }

    /// The connection has ended: that may be the end of the body, too.
    fn ended(&self, held: &[u8]) -> Result<(u16, String, bool), Outcome> {
        match http::parse_head(held, &self.context.limits) {
            Ok(Some((head, size))) if head.until_end() => {
                let text = String::from_utf8(held[size..].to_vec());
                Ok((head.status, text.map_err(|_| self.unusable("it is not text"))?, false))
            }
            _ => Err(Outcome::ConnectionReset),
        }
    }
}
