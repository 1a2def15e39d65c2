//! The coroutine of one connection: opens it, starts its writer and reads it to its end.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::counters::Counters;
use crate::net::connection_pool::{ConnectionId, Input};
use crate::net::dial_error::is_local_resource_error;
use crate::net::frame::OutboundFrame;
use crate::net::messages::{DrainGate, NodeMessage};
use crate::net::node::reader::read_frames;
use crate::net::node::writer::FrameWriter;
use crate::net::node::NodeContext;
use crate::runtime::{channel, sleep, spawn, Permit, Permits, Sender, Stream};

/// Maximum number of reads of one connection that wait in the actor's mailbox.
const READ_AHEAD_LIMIT: usize = 4;

/// Interval between the reader's attempts to take a permit.
const PERMIT_RETRY_INTERVAL: Duration = Duration::from_millis(1);

/// Reports to a data node's actor; the report is discarded if the actor has ended.
pub(super) fn report(node: &Sender<NodeMessage>, input: Input) {
    let _ = node.send(NodeMessage::Connection(input));
}

/// The task of one connection, from opening it to its end.
pub(super) struct ConnectionTask {
    pub(super) id: ConnectionId,
    pub(super) address: SocketAddr,
    pub(super) gate: DrainGate,
    pub(super) context: NodeContext,
    /// The mailbox of the data node's actor.
    pub(super) node: Sender<NodeMessage>,
}

impl ConnectionTask {
    /// Opens the connection, starts its writer and reads until it ends.
    pub(super) fn run(self, permit: Permit) {
        let Some(stream) = self.connect(permit) else { return };
        let Some(writer) = self.start_writer(stream.clone()) else {
            return report(&self.node, Input::ConnectFailed(self.id));
        };
        let connected = NodeMessage::Connected { connection: self.id, stream: stream.clone(), writer };
        if self.node.send(connected).is_err() {
            return; // The actor has ended and would not shut the stream down to end the reads.
        }
        self.read(&stream);
        stream.shutdown();
        report(&self.node, Input::ReadEnded(self.id));
    }

    fn connect(&self, permit: Permit) -> Option<Arc<Stream>> {
        let timeout = Duration::from_nanos(self.context.connections.connect_timeout);
        match Stream::connect(&self.address, timeout, Some(permit)) {
            Ok(stream) => Some(Arc::new(stream)),
            Err(error) => {
                log::debug!(address:% = self.address, error:% = error; "failed to open a connection to a data node");
                Counters::add(&self.context.counters.dials_failed);
                // A lack of local resources does not count against the data node.
                let input = if is_local_resource_error(&error) {
                    Input::NoSocketAvailable
                } else {
                    Input::ConnectFailed
                };
                report(&self.node, input(self.id));
                None
            }
        }
    }

    /// Starts the connection's writer; returns its mailbox.
    fn start_writer(&self, stream: Arc<Stream>) -> Option<Sender<OutboundFrame>> {
        let (mailbox, frames) = channel();
        let writer = FrameWriter {
            connection: self.id,
            address: self.address,
            stream,
            node: self.node.clone(),
            gate: self.gate.clone(),
            timeout: self.context.limits.node_write_timeout,
            counters: self.context.counters.clone(),
            clock: self.context.clock,
            pending_updates: self.context.pending_updates.clone(),
        };
        let stack_words = self.context.limits.stack_words;
        spawn("connection writer", stack_words, move || writer.run(&frames)).ok()?;
        Some(mailbox)
    }

    fn read(&self, stream: &Stream) {
        let permits = Permits::new(READ_AHEAD_LIMIT);
        read_frames(stream, &self.context, |received| {
            let permit = wait_for_permit(&permits);
            let message = NodeMessage::FramesReceived { connection: self.id, received, permit };
            // The send fails only after the actor has ended; the input is then discarded.
            let _ = self.node.send(message);
        });
    }
}

/// Waits for a permit to send the next read to the actor. A data node that sends continuously is read no faster than
/// the actor handles its input. Otherwise the actor's mailbox would never be empty, and other coroutines would starve.
fn wait_for_permit(permits: &Permits) -> Permit {
    loop {
        if let Some(permit) = permits.take() {
            return permit;
        }
        sleep(PERMIT_RETRY_INTERVAL);
    }
}
