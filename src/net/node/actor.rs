//! The data node's actor: handles its mailbox and performs the pool's outputs.

use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::sync::mpsc::RecvTimeoutError;
use std::sync::Arc;
use std::time::Duration;

use crate::api::{Nanos, ServerId};
use crate::counters::Counters;
use crate::net::connection_pool::{ConnectionId, ConnectionPool, Input, Output, PoolLimits};
use crate::net::frame::OutboundFrame;
use crate::net::log_limit::LogRateLimit;
use crate::net::messages::{
    CoreMessage, DrainGate, NodeMessage, ReceivedFrames, TrailingBytes, REQUEST_LOG_TARGET,
};
use crate::net::node::connection::ConnectionTask;
use crate::net::node::NodeContext;
use crate::runtime::{lock, nanos, spawn, Receiver, Sender, Stream};

/// Interval between the pool's ticks.
const TICK_INTERVAL: Duration = Duration::from_millis(500);

/// Interval between the pool's ticks while a health check is unanswered.
const HEALTH_CHECK_TICK_INTERVAL: Duration = Duration::from_millis(50);

/// An established connection.
struct OpenConnection {
    stream: Arc<Stream>,
    /// The mailbox of its writer.
    writer: Sender<OutboundFrame>,
}

pub(super) struct NodeActor {
    id: ServerId,
    gate: DrainGate,
    context: NodeContext,
    /// The actor's own mailbox, to which its connections report.
    mailbox: Sender<NodeMessage>,
    pool: ConnectionPool,
    address: Option<SocketAddr>,
    open: HashMap<ConnectionId, OpenConnection>,
}

impl NodeActor {
    pub(super) fn new(
        id: ServerId,
        gate: DrainGate,
        context: NodeContext,
        mailbox: Sender<NodeMessage>,
    ) -> Self {
        let pool = ConnectionPool::new(pool_limits(&context));
        Self { id, gate, context, mailbox, pool, address: None, open: HashMap::new() }
    }

    pub(super) fn run(mut self, inbox: &Receiver<NodeMessage>) {
        loop {
            let interval =
                if self.pool.awaits_health_check() { HEALTH_CHECK_TICK_INTERVAL } else { TICK_INTERVAL };
            match inbox.recv_timeout(interval) {
                Ok(NodeMessage::Remove) => break,
                Ok(message) => self.handle_message(message),
                Err(RecvTimeoutError::Timeout) => {
                    self.step(Input::Tick);
                    self.log_no_socket(LogRateLimit::take_due);
                }
                Err(RecvTimeoutError::Disconnected) => break,
            }
        }
        self.open.values().for_each(|connection| connection.stream.shutdown());
    }

    pub(super) fn handle_message(&mut self, message: NodeMessage) {
        match message {
            NodeMessage::Address(address) => self.set_address(address),
            NodeMessage::GateClosed => {
                // The gate may have been opened again in the meantime.
                let open = self.gate.is_open(self.context.clock.now());
                self.step(Input::AcceptsNewAttempts(open));
            }
            NodeMessage::Call(call) => self.step(Input::SendCall(call)),
            NodeMessage::CancelAttempt(attempt) => self.step(Input::CancelAttempt(attempt)),
            NodeMessage::CheckHealth => {
                Counters::add(&self.context.counters.health_checks);
                self.step(Input::CheckHealth);
            }
            NodeMessage::CloseIdleConnections => self.step(Input::CloseIdleConnections),
            NodeMessage::Connection(input) => self.connection_changed(input),
            // The permit is released once the frames are handled.
            NodeMessage::FramesReceived { connection, received, permit: _permit } => {
                self.frames_received(connection, received);
            }
            NodeMessage::Connected { connection, stream, writer } => {
                log::debug!(target: REQUEST_LOG_TARGET, node = self.id.0, connection = connection.0; "connected");
                self.open.insert(connection, OpenConnection { stream, writer });
                self.step(Input::Connected(connection));
            }
            // Frame connections send no `FetchEnded`, and `run` handles `Remove`.
            NodeMessage::FetchEnded { .. } | NodeMessage::Remove => {}
        }
    }

    fn set_address(&mut self, address: SocketAddr) {
        if self.address.replace(address).is_some_and(|previous| previous != address) {
            self.step(Input::AddressChanged);
        }
    }

    fn connection_changed(&mut self, input: Input) {
        if let Input::ReadEnded(id) = &input {
            if self.open.remove(id).is_some() {
                Counters::add(&self.context.counters.connections_broken);
            }
        }
        self.step(input);
    }

    fn frames_received(&mut self, connection: ConnectionId, received: ReceivedFrames) {
        for frame in received.frames {
            log::debug!(
                target: REQUEST_LOG_TARGET,
                node = self.id.0,
                connection = connection.0,
                frame:% = frame;
                "frame received"
            );
            self.step(Input::FrameReceived { connection, frame });
        }
        match received.trailing {
            TrailingBytes::None => {}
            TrailingBytes::PartialFrame => self.step(Input::PartialFrameReceived(connection)),
            TrailingBytes::Malformed => self.step(Input::MalformedInput(connection)),
        }
    }

    /// Passes an input to the pool and performs its outputs. Checks the drain gate before each input, and whether new
    /// settings have changed the silence timeout.
    fn step(&mut self, input: Input) {
        self.pool.set_silence_timeout(nanos(self.context.connection_silence()));
        let now = self.context.clock.now();
        let accepts_new_attempts = self.gate.is_open(now);
        let mut outputs =
            VecDeque::from(self.pool.step(now, Input::AcceptsNewAttempts(accepts_new_attempts)));
        outputs.extend(self.pool.step(now, input));
        while let Some(output) = outputs.pop_front() {
            match output {
                Output::Connect(id) => {
                    if !self.connect(id) {
                        // Reported immediately, so that later work neither waits for this connection nor opens another.
                        outputs.extend(self.pool.step(now, Input::NoSocketAvailable(id)));
                    }
                }
                Output::Write { connection, frame } => self.write(connection, frame),
                Output::Close(id) => self.close(id),
                Output::AttemptEnded { attempt, outcome, value } => {
                    self.context.core.send(CoreMessage::AttemptEnded { attempt, outcome, value });
                }
                Output::HealthChecked(outcome) => {
                    self.context.core.send(CoreMessage::HealthChecked { server: self.id, outcome });
                }
            }
        }
    }

    fn write(&self, connection: ConnectionId, frame: OutboundFrame) {
        let is_sent = self.open.get(&connection).is_some_and(|open| open.writer.send(frame).is_ok());
        if !is_sent {
            let failed = Input::WriteFailed { connection, partially_written: false };
            // The send cannot fail, since the mailbox outlives the actor's loop.
            let _ = self.mailbox.send(NodeMessage::Connection(failed));
        }
    }

    fn close(&mut self, id: ConnectionId) {
        log::debug!(target: REQUEST_LOG_TARGET, node = self.id.0, connection = id.0; "connection closed");
        if let Some(connection) = self.open.remove(&id) {
            connection.stream.shutdown();
        }
    }

    /// Starts to open a connection; returns whether a socket was available.
    fn connect(&mut self, id: ConnectionId) -> bool {
        let permit = self.context.permits.take();
        let (Some(address), Some(permit)) = (self.address, permit) else {
            self.log_no_socket(LogRateLimit::record);
            return false;
        };
        Counters::add(&self.context.counters.dials);
        let task = ConnectionTask {
            id,
            address,
            gate: self.gate.clone(),
            context: self.context.clone(),
            node: self.mailbox.clone(),
        };
        spawn("connection", self.context.limits.stack_words, move || task.run(permit)).is_ok()
    }

    /// Logs that no socket was available, if `due` returns a number of occurrences to report.
    fn log_no_socket(&self, due: fn(&mut LogRateLimit, Nanos) -> Option<u64>) {
        let occurrences = due(&mut lock(&self.context.no_socket_log), self.context.clock.now());
        if let Some(occurrences) = occurrences {
            log::warn!(occurrences = occurrences; "no socket left for a connection to a data node");
        }
    }
}

fn pool_limits(context: &NodeContext) -> PoolLimits {
    let (connections, limits) = (&context.connections, &context.limits);
    PoolLimits {
        parts_per_connection: connections.max_parts_in_flight,
        idle_timeout: nanos(limits.usable_idle(Duration::from_nanos(connections.idle_timeout))),
        health_check_timeout: nanos(limits.health_check_timeout),
        queued_parts: limits.queued_parts_per_node,
        closed_attempts: limits.remembered_parts,
        silence_timeout: nanos(context.connection_silence()),
        no_socket_backoff: nanos(limits.no_socket_backoff),
    }
}
