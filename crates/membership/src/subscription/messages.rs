//! What a subscription is told, and what it wants done.

use crate::call::{CallEnd, CallId, Request};

/// What the subscription is told.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Event {
    /// Time has passed.
    TimePassed,
    /// A query waits for the list to be confirmed.
    QueryWaiting,
    /// A configuration is being read again, which may name another service.
    ReloadBegins,
    /// It is in use, or rejected for good.
    ReloadSettled,
    /// The service is at another address.
    ServiceMoved,
    /// A watch has reported that nothing has changed.
    Heartbeat(CallId),
    /// A call has sent an update, a snapshot or a delta, of this version.
    Told(CallId, u64),
    /// A call has ended.
    Ended(CallId, CallEnd),
}

/// What is to be done.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Command {
    /// Begin a call: ends in [`Event::Ended`], or is never heard of.
    Begin(CallId, Request),
    /// Close a call's connection; it is not heard any more.
    Abandon(CallId, Abandoned),
    /// The list from before the start may be used, though nothing has confirmed it.
    UseUnconfirmedList,
    /// The list may not be used any more, until there is an update, a heartbeat or [`Command::ListRestored`].
    ListExpired,
    /// The list may be used again without an update: discovery was down when the list seemed to be expired.
    ListRestored,
}

/// Why a call is abandoned by the coordinator itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Abandoned {
    /// A later call has been answered.
    Superseded,
    /// The service is at another address.
    ServiceMoved,
    /// Nothing was heard of it for its lifetime, or for as long as another may wait beside it.
    Unanswered,
}
