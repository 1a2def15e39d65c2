//! The actor of one data node: carries out on sockets what [`ConnectionPool`] decides.

use std::cell::RefCell;
use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use std::sync::mpsc::RecvTimeoutError;

use may::sync::mpsc::{channel, Receiver, Sender};

use crate::api::{Nanos, ServerId};
use crate::counters::Counters;
use crate::limits::Limits;
use crate::net::connection_pool::{ConnectionId, ConnectionPool, Input, Output, PoolLimits};
use crate::net::dial_error::is_own_lack;
use crate::net::frame::{self, Current, Frame, FrameLimits};
use crate::net::log_limit::LogLimit;
use crate::net::messages::{
    CoreMailbox, CoreMessage, DrainGate, NodeMessage, ReceivedFrames, TrailingBytes, REQUEST,
};
use crate::net::pending_updates::PendingUpdates;
use crate::runtime::{lock, nanos, spawn, spawn_vital, Clock, Permit, Permits, Stream, WriteError};
use crate::settings::Connections;

/// What every actor of a data node needs.
#[derive(Clone)]
pub struct NodeContext {
    /// The core's mailbox.
    pub core: CoreMailbox,
    /// The process's limits.
    pub limits: Arc<Limits>,
    /// Figures of connections.
    pub connections: Connections,
    /// The shortest aim of all classes.
    pub shortest_aim: Duration,
    /// Sockets that data nodes may hold together.
    pub permits: Permits,
    /// Bounds the line that says that none is left.
    pub no_socket_log: Arc<Mutex<LogLimit>>,
    /// Counters.
    pub counters: Arc<Counters>,
    /// The clock.
    pub clock: Clock,
    /// How fresh the list is.
    pub freshness: PendingUpdates,
}

/// How often idle connections are looked at, and probes while one is out.
const LOOK: Duration = Duration::from_millis(500);
const LOOK_PROBING: Duration = Duration::from_millis(50);
const READ: usize = 4096;
/// Pieces of one connection that may wait in the actor's mailbox...
const READS_AHEAD: usize = 4;
/// ...and how often its reader looks for a place for the next.
const PLACE_PAUSE: Duration = Duration::from_millis(1);

/// Starts the actor; returns its mailbox.
pub fn start(id: ServerId, gate: DrainGate, context: NodeContext) -> Sender<NodeMessage> {
    let (mail, inbox) = channel();
    let own = mail.clone();
    spawn_vital("node", context.limits.stack_words, move || Node::new(id, gate, context, own).run(&inbox));
    mail
}

struct Node {
    id: ServerId,
    gate: DrainGate,
    context: NodeContext,
    own: Sender<NodeMessage>,
    links: ConnectionPool,
    addr: Option<SocketAddr>,
    open: HashMap<ConnectionId, (Arc<Stream>, Sender<Frame>)>,
}

impl Node {
    fn new(id: ServerId, gate: DrainGate, context: NodeContext, own: Sender<NodeMessage>) -> Self {
        let (connections, limits) = (context.connections, &context.limits);
        let links = ConnectionPool::new(PoolLimits {
            multiplex: connections.multiplex,
            idle: nanos(limits.usable_idle(Duration::from_nanos(connections.idle))),
            probe: nanos(limits.probe),
            backlog: limits.node_backlog,
            past: limits.past_parts,
            silence: nanos(limits.silence(context.shortest_aim)),
            no_socket_pause: nanos(limits.no_socket_pause),
        });
        Self { id, gate, context, own, links, addr: None, open: HashMap::new() }
    }

    fn run(mut self, inbox: &Receiver<NodeMessage>) {
        loop {
            let look = if self.links.probing() { LOOK_PROBING } else { LOOK };
            match inbox.recv_timeout(look) {
                Ok(NodeMessage::Remove) => break,
                Ok(message) => self.take(message),
                Err(RecvTimeoutError::Timeout) => {
                    self.step(Input::Tick);
                    self.log_no_socket(LogLimit::due);
                }
                Err(RecvTimeoutError::Disconnected) => break,
            }
        }
        self.open.values().for_each(|o| o.0.shut());
    }

    fn take(&mut self, message: NodeMessage) {
        match message {
            NodeMessage::Address(addr) => {
                if self.addr.replace(addr).is_some_and(|old| old != addr) {
                    self.step(Input::AddressChanged);
                }
            }
            NodeMessage::GateClosed => {
                // It may have been opened again meanwhile.
                let open = self.gate.is_open(self.context.clock.now());
                self.step(Input::TakesNew(open));
            }
            NodeMessage::Call(call) => self.step(Input::Call(call)),
            NodeMessage::CancelAttempt(id) => self.step(Input::Drop(id)),
            NodeMessage::CheckHealth => {
                Counters::add(&self.context.counters.probes);
                self.step(Input::Probe);
            }
            NodeMessage::CloseIdleConnections => self.step(Input::CloseIdle),
            NodeMessage::Connection(input) => {
                if let Input::ReadEnded(id) = &input {
                    if self.open.remove(id).is_some() {
                        Counters::add(&self.context.counters.links_broken);
                    }
                }
                self.step(input);
            }
            NodeMessage::Read(id, come, _place) => {
                for reply in come.frames {
                    log::debug!(target: REQUEST, "link {} of node {}: {reply} read", id.0, self.id.0);
                    self.step(Input::Frame(id, reply));
                }
                match come.trailing {
                    TrailingBytes::None => {}
                    TrailingBytes::FrameBegun => self.step(Input::Begun(id)),
                    TrailingBytes::Malformed => self.step(Input::Spoilt(id)),
                }
            }
            NodeMessage::ConnectionUp(id, stream, writer) => {
                log::debug!(target: REQUEST, "link {} of node {} is up", id.0, self.id.0);
                self.open.insert(id, (stream, writer));
                self.step(Input::Up(id));
            }
            // Only actors of feature servers send the one, and the loop takes the other.
            NodeMessage::ConnectionIdle(..) | NodeMessage::Remove => {}
        }
    }

    fn step(&mut self, input: Input) {
        let now = self.context.clock.now();
        let mut outputs = VecDeque::from(self.links.step(now, Input::TakesNew(self.gate.is_open(now))));
        outputs.extend(self.links.step(now, input));
        while let Some(output) = outputs.pop_front() {
            match output {
                Output::Dial(id) => {
                    if !self.dial(id) {
                        // At once, so that what comes next does not wait for this connection, or try for another.
                        outputs.extend(self.links.step(now, Input::NoSocket(id)));
                    }
                }
                Output::Write(id, frame) => {
                    let sent = self.open.get(&id).is_some_and(|o| o.1.send(frame).is_ok());
                    if !sent {
                        // The mailbox outlives the actor's own loop.
                        let _ = self.own.send(NodeMessage::Connection(Input::WriteFailed(id, false)));
                    }
                }
                Output::Shut(id) => {
                    log::debug!(target: REQUEST, "link {} of node {} is shut", id.0, self.id.0);
                    if let Some((stream, _)) = self.open.remove(&id) {
                        stream.shut();
                    }
                }
                Output::End(attempt, outcome, value) => {
                    self.context.core.send(CoreMessage::AttemptEnded(attempt, outcome, value));
                }
                Output::Probed(outcome) => {
                    self.context.core.send(CoreMessage::HealthChecked(self.id, outcome))
                }
            }
        }
    }

    /// Begins to open a connection; returns whether there was a socket for it.
    fn dial(&mut self, id: ConnectionId) -> bool {
        let permit = self.context.permits.take();
        let (Some(addr), Some(permit)) = (self.addr, permit) else {
            self.log_no_socket(LogLimit::occurred);
            return false;
        };
        Counters::add(&self.context.counters.dials);
        let (context, own) = (self.context.clone(), self.own.clone());
        let (gate, addr) = (self.gate.clone(), (addr, permit));
        spawn("link", context.limits.stack_words, move || connection(id, addr, gate, &context, &own)).is_ok()
    }

    /// Says that no socket was left, as often as the limit finds a line due.
    fn log_no_socket(&self, due: fn(&mut LogLimit, Nanos) -> Option<u64>) {
        let times = due(&mut lock(&self.context.no_socket_log), self.context.clock.now());
        if let Some(times) = times {
            log::warn!(
                "no socket left for a connection to a data node (tries since the last such line: {times})"
            );
        }
    }
}

fn word(written: &Result<(), WriteError>) -> String {
    written.as_ref().map_or_else(|e| e.source.to_string(), |()| "written whole".into())
}

/// Nobody is left to be told once the actor has ended.
fn tell(node: &Sender<NodeMessage>, news: Input) {
    let _ = node.send(NodeMessage::Connection(news));
}

/// Opens a connection, starts its writer and reads it to its end.
fn connection(
    id: ConnectionId,
    (addr, permit): (SocketAddr, Permit),
    gate: DrainGate,
    context: &NodeContext,
    node: &Sender<NodeMessage>,
) {
    let within = Duration::from_nanos(context.connections.connect_timeout);
    let stream = match Stream::dial(&addr, within, Some(permit)) {
        Ok(stream) => Arc::new(stream),
        Err(e) => {
            log::debug!("dial {addr}: {e}");
            Counters::add(&context.counters.dials_failed);
            // What is lacking here says nothing of the data node.
            let lack = is_own_lack(&e);
            return tell(node, if lack { Input::NoSocket(id) } else { Input::DialFailed(id) });
        }
    };
    let (frames, to_write) = channel::<Frame>();
    let (writer_stream, writer_node, within) = (stream.clone(), node.clone(), context.limits.node_write);
    let (counters, clock, freshness) = (context.counters.clone(), context.clock, context.freshness.clone());
    let writer = spawn("link writer", context.limits.stack_words, move || {
        for frame in to_write.iter() {
            // Nothing yields between the last look and the first byte, however long the socket was full before.
            let now = RefCell::new(Current::default());
            let current = || {
                if frame.is_call() {
                    freshness.establish(&clock);
                }
                let at = clock.now();
                let mut next = frame.current(at, gate.is_open_for(addr, at));
                let bytes = next.bytes.take();
                now.replace(next);
                bytes
            };
            let timely = || !frame.is_call() || freshness.holds(clock.now());
            let wanted = || frame.wanted(&now.borrow().sent);
            let written = writer_stream.write_current(current, timely, wanted, within);
            let Current { sent, stale, probe_left_out, .. } = now.into_inner();
            log::debug!(target: REQUEST, "link {}: {frame}, {} sent, {}", id.0, sent.len(), word(&written));
            let news = match &written {
                Ok(()) => {
                    counters.attempts_written.fetch_add(sent.len() as u64, Ordering::Relaxed);
                    Input::Written(id)
                }
                Err(e) => Input::WriteFailed(id, e.partially_written),
            };
            if !stale.is_empty() {
                tell(&writer_node, Input::LeftOut(id, stale));
            }
            if probe_left_out {
                tell(&writer_node, Input::ProbeLeftOut(id));
            }
            tell(&writer_node, news);
        }
    });
    if writer.is_err() {
        return tell(node, Input::DialFailed(id));
    }
    if node.send(NodeMessage::ConnectionUp(id, stream.clone(), frames)).is_err() {
        return; // The actor has ended, and nobody else would close this.
    }
    let places = Permits::new(READS_AHEAD);
    read_frames(&stream, context, |come| {
        // Nobody is left to be told once the actor has ended.
        let _ = node.send(NodeMessage::Read(id, come, place(&places)));
    });
    stream.shut();
    tell(node, Input::ReadEnded(id));
}

/// Waits until the actor has room for one more piece of a connection: a data node that sends without end is read no
/// faster than the actor takes it, which would otherwise not come to the end of its mailbox, and nobody else to a turn.
fn place(places: &Permits) -> Permit {
    loop {
        if let Some(place) = places.take() {
            return place;
        }
        may::coroutine::sleep(PLACE_PAUSE);
    }
}

fn read_frames(stream: &Stream, context: &NodeContext, tell: impl Fn(ReceivedFrames)) {
    let limits = &context.limits;
    let whole = limits.frame_read.max(limits.silence(context.shortest_aim));
    let bounds = FrameLimits { frame: limits.frame, line: limits.frame_line };
    let spoilt = |frames, why| {
        log::warn!("a data node's answers cannot be read: {why}");
        Counters::add(&context.counters.bad_frames);
        tell(ReceivedFrames { frames, trailing: TrailingBytes::Malformed });
    };
    let mut held: Vec<u8> = Vec::new();
    let mut buf = vec![0; READ];
    // When the frame began that is not yet whole.
    let mut begun: Option<Instant> = None;
    loop {
        let left = begun.map_or(LOOK * 120, |at| whole.saturating_sub(at.elapsed()));
        if left.is_zero() {
            return spoilt(Vec::new(), "a frame stopped midway");
        }
        match stream.read(&mut buf, left) {
            Ok(0) => return,
            Ok(n) => held.extend_from_slice(&buf[..n]),
            Err(e) if matches!(e.kind(), std::io::ErrorKind::TimedOut | std::io::ErrorKind::WouldBlock) => {
                continue
            }
            Err(_) => return,
        }
        let (mut taken, mut frames) = (0, Vec::new());
        loop {
            match frame::parse(&held[taken..], bounds) {
                Ok(Some((reply, used))) => {
                    taken += used;
                    if let frame::Reply::Refused(words) = &reply {
                        log::warn!("a data node could not use a frame: {words}");
                    }
                    frames.push(reply);
                }
                Ok(None) => break,
                Err(bad) => return spoilt(frames, bad.0),
            }
        }
        held.drain(..taken);
        begun = match (held.is_empty(), begun) {
            (true, _) => None,
            // The rest of the frame that began before.
            (false, Some(at)) if taken == 0 => Some(at),
            (false, _) => Some(Instant::now()),
        };
        let rest = if held.is_empty() { TrailingBytes::None } else { TrailingBytes::FrameBegun };
        tell(ReceivedFrames { frames, trailing: rest });
    }
}

#[cfg(test)]
mod tests;
