//! The actor of one feature server: a data node that serves OGC API - Features over HTTP.
//!
//! A part requests a range's features, page by page on one connection. Each page is new work: before each request, the
//! actor checks the server's state and address and the attempt's deadlines again.

mod fetch;
mod response;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::RecvTimeoutError;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::api::{Outcome, ServerId};
use crate::counters::Counters;
use crate::engine::{AttemptId, CancellationToken, Dispatch};
use crate::net::feature_node::fetch::Fetch;
use crate::net::features::ParameterNames;
use crate::net::messages::{CoreMessage, DrainGate, NodeMessage};
use crate::net::node::NodeContext;
use crate::runtime::{channel, lock, nanos, spawn, spawn_critical, Receiver, Sender, Stream};

/// Interval between checks of the idle connections.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Starts the actor; returns its mailbox. `parameter_names` contains the query parameters of the requested range.
pub fn start(
    id: ServerId,
    gate: DrainGate,
    context: NodeContext,
    parameter_names: Arc<ParameterNames>,
) -> Sender<NodeMessage> {
    let (mailbox, inbox) = channel();
    let own_mailbox = mailbox.clone();
    let stack_words = context.limits.stack_words;
    spawn_critical("feature node", stack_words, move || {
        let actor = FeatureNodeActor {
            id,
            context,
            parameter_names,
            mailbox: own_mailbox,
            address: None,
            gate,
            fetches: HashMap::new(),
            idle: Vec::new(),
        };
        actor.run(&inbox);
    });
    mailbox
}

/// The actor's control over a running fetch.
struct FetchControl {
    /// The address that requests are sent to.
    address: SocketAddr,
    cancelled: AtomicBool,
    /// Whether the fetch waits for its connection. The side that clears this flag, the actor or the fetch, decides
    /// whether the attempt ends unsent or continues.
    awaits_connection: AtomicBool,
    stream: Mutex<Option<Arc<Stream>>>,
}

impl FetchControl {
    fn new(address: SocketAddr) -> Self {
        Self {
            address,
            cancelled: AtomicBool::new(false),
            awaits_connection: AtomicBool::new(true),
            stream: Mutex::new(None),
        }
    }

    fn cancel(&self) {
        self.cancelled.store(true, Ordering::Release);
        self.shut_down_stream();
    }

    fn shut_down_stream(&self) {
        if let Some(stream) = lock(&self.stream).as_deref() {
            stream.shutdown();
        }
    }

    fn set_stream(&self, stream: &Arc<Stream>) {
        *lock(&self.stream) = Some(stream.clone());
    }

    /// Ends the wait for a connection; returns whether the caller did so first and decides how the attempt continues.
    fn claim_unconnected(&self) -> bool {
        self.awaits_connection.swap(false, Ordering::AcqRel)
    }
}

/// A connection without a fetch.
struct IdleConnection {
    stream: Arc<Stream>,
    since: Instant,
}

struct FeatureNodeActor {
    id: ServerId,
    context: NodeContext,
    parameter_names: Arc<ParameterNames>,
    /// The actor's own mailbox, to which its fetches report.
    mailbox: Sender<NodeMessage>,
    address: Option<SocketAddr>,
    gate: DrainGate,
    fetches: HashMap<AttemptId, Arc<FetchControl>>,
    idle: Vec<IdleConnection>,
}

impl FeatureNodeActor {
    fn run(mut self, inbox: &Receiver<NodeMessage>) {
        loop {
            match inbox.recv_timeout(IDLE_CHECK_INTERVAL) {
                Ok(NodeMessage::Remove) => return,
                Ok(message) => self.handle_message(message),
                Err(RecvTimeoutError::Timeout) => self.close_unusable(),
                Err(RecvTimeoutError::Disconnected) => return,
            }
        }
    }

    fn handle_message(&mut self, message: NodeMessage) {
        match message {
            NodeMessage::Address(address) => self.set_address(address),
            NodeMessage::GateClosed => self.end_unconnected(),
            NodeMessage::Call(call) => call.into_iter().for_each(|dispatch| self.start_fetch(dispatch)),
            NodeMessage::CancelAttempt(attempt) => {
                if let Some(control) = self.fetches.get(&attempt) {
                    control.cancel();
                }
            }
            NodeMessage::CheckHealth => self.check_health(),
            NodeMessage::CloseIdleConnections => self.idle.clear(),
            NodeMessage::FetchEnded { attempt, reusable } => self.fetch_ended(attempt, reusable),
            // Only actors of the frame protocol receive these; `run` handles `Remove`.
            NodeMessage::Connection(_)
            | NodeMessage::FramesReceived { .. }
            | NodeMessage::Connected { .. }
            | NodeMessage::Remove => {}
        }
    }

    fn set_address(&mut self, address: SocketAddr) {
        if self.address.replace(address).is_some_and(|previous| previous != address) {
            self.idle.clear();
            self.end_unconnected();
        }
    }

    /// Ends the attempts that wait for a connection. The connection may take long, and other data nodes should get the
    /// attempts immediately.
    fn end_unconnected(&self) {
        for (&attempt, control) in &self.fetches {
            if control.claim_unconnected() {
                self.end_unsent(attempt);
            }
        }
    }

    fn end_unsent(&self, attempt: AttemptId) {
        let outcome = Outcome::NotSent;
        self.context.core.send(CoreMessage::AttemptEnded { attempt, outcome, value: None });
    }

    /// Keeps the connection of an ended fetch for reuse if it goes to the current address.
    fn fetch_ended(&mut self, attempt: AttemptId, reusable: Option<Arc<Stream>>) {
        let control = self.fetches.remove(&attempt);
        let is_current = control.is_some_and(|control| Some(control.address) == self.address);
        let idle = reusable.filter(|_| is_current);
        self.idle.extend(idle.map(|stream| IdleConnection { stream, since: Instant::now() }));
    }

    /// Closes idle connections that the server has closed or will close soon.
    fn close_unusable(&mut self) {
        let idle_timeout = Duration::from_nanos(self.context.connections.idle_timeout);
        let usable_for = self.context.limits.usable_idle(idle_timeout);
        self.idle.retain(|idle| idle.since.elapsed() < usable_for && !idle.stream.is_readable());
    }

    /// Takes an idle connection that the server is not expected to close during the next request.
    fn take_idle(&mut self) -> Option<Arc<Stream>> {
        self.close_unusable();
        self.idle.pop().map(|idle| idle.stream)
    }

    fn start_fetch(&mut self, dispatch: Dispatch) {
        let attempt = dispatch.attempt;
        let is_full = self.fetches.len() >= self.context.limits.queued_parts_per_node;
        let Some(address) = self.address.filter(|_| !is_full) else {
            return self.end_unsent(attempt);
        };
        let control = Arc::new(FetchControl::new(address));
        self.fetches.insert(attempt, control.clone());
        let fetch = Fetch {
            context: self.context.clone(),
            parameter_names: self.parameter_names.clone(),
            gate: self.gate.clone(),
            control,
            deadline: dispatch.deadline,
            start_deadline: dispatch.start_deadline,
            cancellation: dispatch.cancellation.clone(),
            request_sent: false,
        };
        let (mailbox, idle) = (self.mailbox.clone(), self.take_idle());
        let started = spawn("feature fetch", self.context.limits.core_stack_words, move || {
            run_fetch(fetch, &dispatch, idle, &mailbox);
        });
        if started.is_err() {
            self.fetches.remove(&attempt);
            self.end_unsent(attempt);
        }
    }

    /// Checks the server's health by requesting its landing page.
    fn check_health(&mut self) {
        let now = self.context.clock.now();
        if !self.gate.is_open(now) {
            return report_health(&self.context, self.id, Outcome::NotSent);
        }
        Counters::add(&self.context.counters.health_checks);
        let deadline = now + nanos(self.context.limits.health_check_timeout);
        let fetch = self.address.map(|address| Fetch {
            context: self.context.clone(),
            parameter_names: self.parameter_names.clone(),
            gate: self.gate.clone(),
            control: Arc::new(FetchControl::new(address)),
            deadline,
            start_deadline: deadline,
            cancellation: CancellationToken::new(),
            request_sent: false,
        });
        let (id, context) = (self.id, self.context.clone());
        let started = spawn("feature health check", self.context.limits.core_stack_words, move || {
            let outcome = fetch.map_or(Outcome::ConnectFailed, Fetch::check_health);
            report_health(&context, id, outcome);
        });
        if started.is_err() {
            report_health(&self.context, self.id, Outcome::ConnectFailed);
        }
    }
}

/// Runs a fetch and reports its result to the coordinator and the actor.
fn run_fetch(fetch: Fetch, dispatch: &Dispatch, idle: Option<Arc<Stream>>, mailbox: &Sender<NodeMessage>) {
    let core = fetch.context.core.clone();
    let attempt = dispatch.attempt;
    let ended = fetch.run(dispatch, idle);
    core.send(CoreMessage::AttemptEnded { attempt, outcome: ended.outcome, value: ended.value });
    // The send fails only after the actor has ended; the connection is then closed.
    let _ = mailbox.send(NodeMessage::FetchEnded { attempt, reusable: ended.reusable });
}

fn report_health(context: &NodeContext, server: ServerId, outcome: Outcome) {
    context.core.send(CoreMessage::HealthChecked { server, outcome });
}
