//! The coroutine that writes the frames of one connection.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;

use crate::counters::Counters;
use crate::net::connection_pool::{ConnectionId, Input};
use crate::net::frame::{EncodedFrame, OutboundFrame};
use crate::net::messages::{DrainGate, NodeMessage, REQUEST_LOG_TARGET};
use crate::net::node::connection::report;
use crate::net::pending_updates::PendingUpdates;
use crate::runtime::{Clock, Receiver, Sender, Stream, WriteError};

/// Writes the frames of one connection.
pub(super) struct FrameWriter {
    pub(super) connection: ConnectionId,
    pub(super) address: SocketAddr,
    pub(super) stream: Arc<Stream>,
    /// The mailbox of the data node's actor.
    pub(super) node: Sender<NodeMessage>,
    pub(super) gate: DrainGate,
    /// Timeout of the write of one frame.
    pub(super) timeout: Duration,
    pub(super) counters: Arc<Counters>,
    pub(super) clock: Clock,
    pub(super) pending_updates: PendingUpdates,
}

impl FrameWriter {
    /// Writes frames until the actor drops the connection.
    pub(super) fn run(self, frames: &Receiver<OutboundFrame>) {
        for frame in frames.iter() {
            let (encoded, result) = self.write(&frame);
            self.report_written(&frame, encoded, &result);
        }
    }

    /// Writes the part of a frame that may be sent when its first byte is written. The coroutine does not yield between
    /// the last check and that byte, however long the socket was full before.
    fn write(&self, frame: &OutboundFrame) -> (EncodedFrame, Result<(), WriteError>) {
        let latest = RefCell::new(EncodedFrame::default());
        let current = || {
            if frame.is_call() {
                self.pending_updates.wait_until_current(&self.clock);
            }
            let now = self.clock.now();
            let mut encoded = frame.encode_at(now, self.gate.is_open_for(self.address, now));
            let bytes = encoded.bytes.take();
            latest.replace(encoded);
            bytes
        };
        let is_timely = || !frame.is_call() || self.pending_updates.is_current(self.clock.now());
        let is_wanted = || frame.is_wanted(&latest.borrow().sent);
        let result = self.stream.write_latest(current, is_timely, is_wanted, self.timeout);
        (latest.into_inner(), result)
    }

    /// Reports the result of a frame's write to the actor, after its omitted attempts and health check.
    fn report_written(&self, frame: &OutboundFrame, encoded: EncodedFrame, result: &Result<(), WriteError>) {
        let EncodedFrame { sent, omitted, health_check_omitted, .. } = encoded;
        log_written(self.connection, frame, sent.len(), result);
        let input = match result {
            Ok(()) => {
                self.counters.attempts_written.fetch_add(sent.len() as u64, Ordering::Relaxed);
                Input::FrameWritten(self.connection)
            }
            Err(error) => {
                Input::WriteFailed { connection: self.connection, partially_written: error.partially_written }
            }
        };
        if !omitted.is_empty() {
            report(&self.node, Input::AttemptsOmitted { connection: self.connection, attempts: omitted });
        }
        if health_check_omitted {
            report(&self.node, Input::HealthCheckOmitted(self.connection));
        }
        report(&self.node, input);
    }
}

fn log_written(
    connection: ConnectionId,
    frame: &OutboundFrame,
    attempts_sent: usize,
    result: &Result<(), WriteError>,
) {
    match result {
        Ok(()) => log::debug!(
            target: REQUEST_LOG_TARGET,
            connection = connection.0,
            frame:% = frame,
            attempts_sent = attempts_sent;
            "frame written"
        ),
        Err(error) => log::debug!(
            target: REQUEST_LOG_TARGET,
            connection = connection.0,
            frame:% = frame,
            attempts_sent = attempts_sent,
            error:% = error;
            "frame not written"
        ),
    }
}
