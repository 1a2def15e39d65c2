//! The events that a subscription handles and the commands that it returns.

use crate::call::{CallEnd, CallId, Request};

/// An event reported by the embedder.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Event {
    /// A deadline may have passed; the subscription compares its deadlines with the current time.
    TimerFired,
    /// A query is waiting for a confirmed list.
    QueryWaiting,
    /// A reload of the configuration has begun, which may name another service.
    ReloadStarted,
    /// The reloaded configuration is in use, or was rejected without further retries.
    ReloadFinished,
    /// The configuration names another address of the service.
    ServiceMoved,
    /// The connection of a call was established.
    Connected(CallId),
    /// The first bytes of a call's response arrived.
    Responding(CallId),
    /// A call sent a heartbeat: nothing has changed.
    Heartbeat(CallId),
    /// A call sent a snapshot or a delta of this version.
    Updated(CallId, u64),
    /// A call ended, for the given reason.
    Ended(CallId, CallEnd),
}

/// An action that the embedder carries out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Command {
    /// Begin a call. The embedder reports its end with [`Event::Ended`]; if it never does, the call's lifetime ends it.
    Begin(CallId, Request),
    /// Close a call's connection. Later events of this call are ignored.
    Abandon(CallId, AbandonReason),
    /// The list of the previous process may be used without confirmation.
    UseUnconfirmedList,
    /// The list must not be used until the next update, heartbeat or [`Command::ListRestored`].
    ListExpired,
    /// The list may be used again without an update, since discovery was down when the list appeared to expire.
    ListRestored,
}

/// The reason why the coordinator abandons a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AbandonReason {
    /// A later call was answered.
    Superseded,
    /// The service moved to another address.
    ServiceMoved,
    /// No message arrived within the call's lifetime, or before another call had to replace it.
    Unanswered,
}
