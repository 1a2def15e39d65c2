//! The messages between the actors of the coordinator ("core"), discovery and the data nodes. The actors depend on this
//! module, not on each other.

use std::net::SocketAddr;
use std::sync::Arc;

use curlewdeck_accounting::saved::SavedLedger;
use curlewdeck_accounting::LedgerSnapshot;
use curlewdeck_membership::{CallEnd, CallId};

use crate::api::{Nanos, Outcome, QueryId, ServerId};
use crate::engine::{AttemptId, Dispatch, QueryOutcome, QueryRequest, RejectReason, Value};
use crate::net::connection_pool::{ConnectionId, Input};
use crate::net::endpoints::{DiscoveryUpdate, EndpointUpdate};
use crate::net::frame::OutboundFrame;
use crate::net::pending_updates::PendingUpdate;
use crate::runtime::{channel, Permit, Receiver, Sender, Stream};
use crate::settings::Deployment;

pub use crate::net::drain_gate::DrainGate;
pub use crate::net::received_frames::{ReceivedFrames, TrailingBytes};

/// Delivers a query's outcome to its frontend; called at most once.
pub type OutcomeCallback = Box<dyn FnOnce(Result<QueryOutcome, RejectReason>) + Send>;

/// A message to the coordinator.
pub enum CoreMessage {
    /// A query was submitted.
    Submit {
        /// The id that [`CoreMessage::ClientDisconnected`] refers to.
        query: QueryId,
        /// The parts, class and deadline of the query.
        request: QueryRequest,
        /// Receives the outcome.
        reply: OutcomeCallback,
    },
    /// A query's client has disconnected.
    ClientDisconnected(QueryId),
    /// An update of the endpoint list, and a guard that counts the update as pending until it is applied.
    EndpointsUpdated(EndpointUpdate, Option<PendingUpdate>),
    /// The endpoint list's lease has ended: nothing is sent until the next update.
    EndpointListExpired,
    /// Reports the outcome of an attempt, successful or not.
    AttemptEnded {
        /// The id that the engine assigned to the attempt.
        attempt: AttemptId,
        /// The result of the attempt.
        outcome: Outcome,
        /// The value received; `None` unless the attempt succeeded.
        value: Option<Value>,
    },
    /// A health check has ended.
    HealthChecked {
        /// The checked data node.
        server: ServerId,
        /// The result of the health check.
        outcome: Outcome,
    },
    /// The settings have changed.
    UpdateSettings(Box<Deployment>),
    /// The process shuts down: every query must be answered before this deadline.
    ShutDownBy(Nanos),
    /// The coordinator's timer has fired.
    TimerFired,
    /// Requests a snapshot of the request ledger.
    SnapshotLedger(Box<dyn FnOnce(LedgerSnapshot) + Send>),
    /// Requests the part of the request ledger that is saved across restarts.
    SaveLedger(Box<dyn FnOnce(SavedLedger) + Send>),
}

/// The coordinator's mailbox.
#[derive(Clone)]
pub struct CoreMailbox(Sender<CoreMessage>);

impl CoreMailbox {
    /// Sends a message without waiting; logs an error if the actor has ended.
    pub fn send(&self, message: CoreMessage) {
        if self.0.send(message).is_err() {
            log::error!("the coordinator's actor has ended");
        }
    }
}

/// Creates the coordinator's mailbox, which data nodes and discovery need before the coordinator's actor starts.
pub fn mailbox() -> (CoreMailbox, Receiver<CoreMessage>) {
    let (sender, inbox) = channel();
    (CoreMailbox(sender), inbox)
}

/// The log target that traces each request from its last byte received to its answer. Off by default;
/// `RUST_LOG=info,request=debug` turns it on.
pub const REQUEST_LOG_TARGET: &str = "request";

/// A message to the discovery actor.
#[derive(Debug)]
pub enum DiscoveryMessage {
    /// The discovery actor's timer has fired.
    TimerFired,
    /// A query waits for the endpoint list to be confirmed.
    QueryWaiting,
    /// A reload of the configuration has started, which may change discovery's address.
    ReloadStarted,
    /// The reload has been applied or rejected.
    ReloadFinished,
    /// Discovery's address has changed to this one.
    AddressChanged(SocketAddr),
    /// Updates of the previous service may have been applied, so that the move can go on.
    ContinueMove,
    /// A call has opened a connection.
    Connected(CallId, Arc<Stream>),
    /// A call has received the first bytes of a response.
    Responding(CallId),
    /// A watch reports that nothing has changed.
    Heartbeat(CallId, PendingUpdate),
    /// A call has received a snapshot or a delta.
    Update(CallId, DiscoveryUpdate, PendingUpdate),
    /// A call has ended.
    Ended(CallId, CallError),
}

/// Why a call to discovery has ended.
#[derive(Debug)]
pub struct CallError {
    /// The kind of end, which determines the next call.
    pub end: CallEnd,
    /// The cause, for the log.
    pub reason: String,
}

/// A message to the actor of a data node, for all protocols of data nodes.
#[derive(Debug)]
pub enum NodeMessage {
    /// The data node's current address.
    Address(SocketAddr),
    /// The drain gate was closed: queued attempts end at once, so that their parts can be sent to other data nodes.
    GateClosed,
    /// Sends one call with its attempts.
    Call(Vec<Dispatch>),
    /// Cancels an attempt that is queued or in flight.
    CancelAttempt(AttemptId),
    /// Checks the data node's health.
    CheckHealth,
    /// Closes the connections without attempts in flight.
    CloseIdleConnections,
    /// An event of a connection.
    Connection(Input),
    /// Frames were received on a connection.
    FramesReceived {
        /// The connection on which they were received.
        connection: ConnectionId,
        /// The complete frames of one read, and the state of the bytes after them.
        received: ReceivedFrames,
        /// Limits how far the reader may be ahead of the actor.
        permit: Permit,
    },
    /// A connection was established.
    Connected {
        /// The id of the connection.
        connection: ConnectionId,
        /// Used to shut down the connection.
        stream: Arc<Stream>,
        /// The mailbox of the coroutine that writes to the connection.
        writer: Sender<OutboundFrame>,
    },
    /// The data node was removed from the endpoint list and has no attempt in flight: the actor ends.
    Remove,
    /// An HTTP fetch has ended.
    FetchEnded {
        /// The attempt that the fetch served.
        attempt: AttemptId,
        /// The connection, if it can be reused.
        reusable: Option<Arc<Stream>>,
    },
}
