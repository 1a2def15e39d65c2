//! What the core, discovery and the data nodes tell each other: their messages, the core's mailbox and the gate
//! before a data node. It stands below all of their actors, which do not know each other.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};

use curlewdeck_accounting::saved::SavedLedger;
use curlewdeck_accounting::LedgerSnapshot;
use curlewdeck_membership::{CallEnd, CallId};
use may::sync::mpsc::{channel, Receiver, Sender};

use crate::api::{Nanos, Outcome, QueryId, ServerId};
use crate::engine::{AttemptId, Dispatch, QueryOutcome, QueryRequest, RejectReason, Value};
use crate::net::connection_pool::{ConnectionId, Input};
use crate::net::endpoint_list_lease::EndpointListLease;
use crate::net::endpoints::{DiscoveryUpdate, EndpointUpdate};
use crate::net::frame::{self, Frame};
use crate::net::pending_updates::PendingUpdate;
use crate::runtime::{lock, Permit, Stream};
use crate::settings::Deployment;

/// How a query ends, for its front: called once.
pub type Reply = Box<dyn FnOnce(Result<QueryOutcome, RejectReason>) + Send>;

/// What the core is told.
pub enum CoreMessage {
    /// A query.
    Submit(QueryId, QueryRequest, Reply),
    /// A query's client has disconnected.
    ClientDisconnected(QueryId),
    /// An update of the endpoint list, pending until it is taken.
    EndpointsUpdated(EndpointUpdate, Option<PendingUpdate>),
    /// The list's lease has ended: nothing is sent by it until there is news.
    EndpointListExpired,
    /// An attempt has ended.
    AttemptEnded(AttemptId, Outcome, Option<Value>),
    /// A health check has ended.
    HealthChecked(ServerId, Outcome),
    /// The settings have changed.
    UpdateSettings(Box<Deployment>),
    /// The process ends: all is answered by then.
    ShutDownBy(Nanos),
    /// The timer has fired.
    TimerFired,
    /// Take a snapshot of the request ledger.
    SnapshotLedger(Box<dyn FnOnce(LedgerSnapshot) + Send>),
    /// Take what of the request ledger outlives the process.
    SaveLedger(Box<dyn FnOnce(SavedLedger) + Send>),
}

/// The core's mailbox.
#[derive(Clone)]
pub struct CoreMailbox(Sender<CoreMessage>);

impl CoreMailbox {
    /// Hands a message in.
    pub fn send(&self, message: CoreMessage) {
        if self.0.send(message).is_err() {
            log::error!("the core has ended");
        }
    }
}

/// The core's mailbox before its actor runs: data nodes and the list need it first.
pub fn mailbox() -> (CoreMailbox, Receiver<CoreMessage>) {
    let (mail, inbox) = channel();
    (CoreMailbox(mail), inbox)
}

/// Whether a data node may be sent anything new, and at which address. The list's news holds at once, whatever waits
/// in the mailbox of the data node's actor, and nothing is open once the list's lease has ended.
#[derive(Debug, Clone, Default)]
pub struct DrainGate {
    state: Arc<GateState>,
    lease: Option<EndpointListLease>,
}

#[derive(Debug, Default)]
struct GateState {
    open: AtomicBool,
    /// None before the first address is told: then any will do.
    address: Mutex<Option<SocketAddr>>,
}

impl DrainGate {
    /// One that is shut, by a list under this lease.
    pub fn under(lease: EndpointListLease) -> Self {
        Self { state: Arc::default(), lease: Some(lease) }
    }

    /// Opens or shuts it; returns whether the list had it open.
    pub fn set_open(&self, open: bool) -> bool {
        self.state.open.swap(open, Ordering::AcqRel)
    }

    /// From now on only connections to this address may be sent anything new.
    pub fn move_to(&self, address: SocketAddr) {
        *lock(&self.state.address) = Some(address);
    }

    /// Whether it is open.
    pub fn is_open(&self, now: Nanos) -> bool {
        let listed = self.state.open.load(Ordering::Acquire);
        listed && self.lease.as_ref().is_none_or(|lease| lease.is_valid(now))
    }

    /// Whether it is open for connections to this address.
    pub fn is_open_for(&self, address: SocketAddr, now: Nanos) -> bool {
        self.is_open(now) && lock(&self.state.address).is_none_or(|current| current == address)
    }
}

/// The log's target under which one request can be followed from its last byte in to its answer. Off by default:
/// `RUST_LOG=info,request=debug` turns it on.
pub const REQUEST: &str = "request";

/// What the actor of discovery is told.
#[derive(Debug)]
pub enum DiscoveryMessage {
    /// Time has passed.
    TimePassed,
    /// A query waits for the list to be confirmed.
    QueryWaiting,
    /// The configuration is being read again, which may name another address of discovery.
    ReloadBegins,
    /// It is taken, or turned down for good.
    ReloadSettled,
    /// Discovery is at another address from now on.
    Moved(SocketAddr),
    /// A call has its connection.
    Up(CallId, Arc<Stream>),
    /// A watch says that nothing has changed.
    Heartbeat(CallId, PendingUpdate),
    /// A call has told a snapshot or a delta.
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

/// What the core tells the actor of a data node, whichever protocol that speaks.
#[derive(Debug)]
pub enum NodeMessage {
    /// Where it is.
    Address(SocketAddr),
    /// Its drain gate was closed: what is queued is to go elsewhere at once.
    GateClosed,
    /// Send one call.
    Call(Vec<Dispatch>),
    /// An attempt is cancelled.
    CancelAttempt(AttemptId),
    /// Check its health.
    CheckHealth,
    /// Close idle connections.
    CloseIdleConnections,
    /// Something has happened to a connection.
    Connection(Input),
    /// What came on a connection in one piece, and the place in the mailbox that its reader had for it.
    Read(ConnectionId, ReceivedFrames, Permit),
    /// A connection is up: its stream, and the mailbox of its writer.
    ConnectionUp(ConnectionId, Arc<Stream>, Sender<Frame>),
    /// It has left the list, and nothing of it is out: the actor ends.
    Remove,
    /// An attempt's connection, if it can be used again.
    ConnectionIdle(AttemptId, Option<Arc<Stream>>),
}

/// What came on a connection in one piece: taken together, so that nothing new is sent on one that turns out
/// to be spoilt.
#[derive(Debug)]
pub struct ReceivedFrames {
    /// Whole frames.
    pub frames: Vec<frame::Reply>,
    /// How what follows them looks.
    pub trailing: TrailingBytes,
}

/// How what follows the whole frames looks.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TrailingBytes {
    /// Nothing follows.
    None,
    /// A frame has begun.
    FrameBegun,
    /// They cannot be read.
    Malformed,
}
