//! The messages between the actors of the coordinator ("core"), discovery and the data nodes. This module stands below
//! all of these actors, which do not know each other.

use std::net::SocketAddr;
use std::sync::Arc;

use curlewdeck_accounting::saved::SavedLedger;
use curlewdeck_accounting::LedgerSnapshot;
use curlewdeck_membership::{CallEnd, CallId};
use may::sync::mpsc::{channel, Receiver, Sender};

use crate::api::{Nanos, Outcome, QueryId, ServerId};
use crate::engine::{AttemptId, Dispatch, QueryOutcome, QueryRequest, RejectReason, Value};
use crate::net::connection_pool::{ConnectionId, Input};
use crate::net::endpoints::{DiscoveryUpdate, EndpointUpdate};
use crate::net::frame::OutboundFrame;
use crate::net::pending_updates::PendingUpdate;
use crate::runtime::{Permit, Stream};
use crate::settings::Deployment;

pub use crate::net::drain_gate::DrainGate;
pub use crate::net::received_frames::{ReceivedFrames, TrailingBytes};

/// Hands a query's outcome to its frontend; called at most once.
pub type Reply = Box<dyn FnOnce(Result<QueryOutcome, RejectReason>) + Send>;

/// A message to the coordinator.
pub enum CoreMessage {
    /// A query was submitted.
    Submit {
        /// Its id.
        query: QueryId,
        /// The query.
        request: QueryRequest,
        /// Takes its outcome.
        reply: Reply,
    },
    /// A query's client has disconnected.
    ClientDisconnected(QueryId),
    /// An update of the endpoint list, and the guard that counts it as pending until it is dropped.
    EndpointsUpdated(EndpointUpdate, Option<PendingUpdate>),
    /// The endpoint list's lease has ended: nothing is sent by it until an update has come.
    EndpointListExpired,
    /// An attempt has ended.
    AttemptEnded {
        /// The attempt.
        attempt: AttemptId,
        /// How it ended.
        outcome: Outcome,
        /// Its value, if it succeeded.
        value: Option<Value>,
    },
    /// A health check has ended.
    HealthChecked {
        /// The data node.
        server: ServerId,
        /// How it ended.
        outcome: Outcome,
    },
    /// The settings have changed.
    UpdateSettings(Box<Deployment>),
    /// The process shuts down: every query is answered by then.
    ShutDownBy(Nanos),
    /// The timer has fired.
    TimerFired,
    /// Take a snapshot of the request ledger.
    SnapshotLedger(Box<dyn FnOnce(LedgerSnapshot) + Send>),
    /// Take what of the request ledger outlives the process.
    SaveLedger(Box<dyn FnOnce(SavedLedger) + Send>),
}

/// The coordinator's mailbox.
#[derive(Clone)]
pub struct CoreMailbox(Sender<CoreMessage>);

impl CoreMailbox {
    /// Sends a message.
    pub fn send(&self, message: CoreMessage) {
        if self.0.send(message).is_err() {
            log::error!("the coordinator's actor has ended");
        }
    }
}

/// The coordinator's mailbox before its actor runs: data nodes and discovery need it first.
pub fn mailbox() -> (CoreMailbox, Receiver<CoreMessage>) {
    let (sender, inbox) = channel();
    (CoreMailbox(sender), inbox)
}

/// The log's target under which one request can be followed from its last byte in to its answer. Off by default:
/// `RUST_LOG=info,request=debug` turns it on.
pub const REQUEST_LOG_TARGET: &str = "request";

/// A message to the actor of discovery.
#[derive(Debug)]
pub enum DiscoveryMessage {
    /// Time has passed.
    TimePassed,
    /// A query waits for the endpoint list to be confirmed.
    QueryWaiting,
    /// The configuration is being reloaded, which may name another address of discovery.
    ReloadBegins,
    /// The reload has been applied or rejected.
    ReloadSettled,
    /// Discovery is at another address from now on.
    Moved(SocketAddr),
    /// A call has its connection.
    Connected(CallId, Arc<Stream>),
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
    /// What that means for the next call.
    pub end: CallEnd,
    /// The cause, for the log.
    pub why: String,
}

/// A message to the actor of a data node, whichever protocol that speaks.
#[derive(Debug)]
pub enum NodeMessage {
    /// The data node's address.
    Address(SocketAddr),
    /// Its drain gate was closed: what is queued is to go elsewhere at once.
    GateClosed,
    /// Send one call.
    Call(Vec<Dispatch>),
    /// Cancel an attempt.
    CancelAttempt(AttemptId),
    /// Check its health.
    CheckHealth,
    /// Close idle connections.
    CloseIdleConnections,
    /// Something has happened to a connection.
    Connection(Input),
    /// Frames were received on a connection.
    FramesReceived {
        /// The connection.
        connection: ConnectionId,
        /// The frames.
        received: ReceivedFrames,
        /// The permit with which the reader reads ahead of the actor.
        permit: Permit,
    },
    /// A connection is up.
    Connected {
        /// The connection.
        connection: ConnectionId,
        /// Its stream.
        stream: Arc<Stream>,
        /// The mailbox of its writer.
        writer: Sender<OutboundFrame>,
    },
    /// It has left the endpoint list, and no attempt is in flight there: the actor ends.
    Remove,
    /// A fetch has ended.
    FetchEnded {
        /// Its attempt.
        attempt: AttemptId,
        /// Its connection, if that can be used again.
        reusable: Option<Arc<Stream>>,
    },
}
