//! Membership of the data nodes as service discovery reports it, without I/O or clock.
//!
//! [`Subscription`] decides when a call to discovery is begun, kept open and abandoned, at the pace that [`Pacing`] sets.
//! [`Confirmation`] decides whether the endpoint list from before the start of the process may be used, and [`Lease`] for
//! how long any list may be used. [`MembershipTable`] decides which update of a data node is the newer one. The embedder
//! carries the commands out and reports what has happened.

mod call;
mod confirmation;
mod contact;
mod lease;
mod pacing;
mod subscription;
mod table;

pub use call::{CallEnd, CallId, Request};
pub use confirmation::Confirmation;
pub use lease::Lease;
pub use pacing::{Pacing, Spans};
pub use subscription::{Abandoned, Command, Event, Subscription};
pub use table::{Line, MembershipTable, State, Update};

use curlewdeck_core::api::Nanos;

const MILLISECOND: Nanos = 1_000_000;
const SECOND: Nanos = 1_000 * MILLISECOND;

/// An open watch sends a heartbeat this often while nothing changes.
pub const HEARTBEAT_INTERVAL: Nanos = 2 * SECOND;

/// Kept back of each span: the transit of the last update to here, and the time that a process may be stalled before it
/// writes.
const SAFETY_MARGIN: Nanos = 200 * MILLISECOND;

/// A coordinator counts as notified of a change at the latest this long after discovery had it and could be reached.
pub const NOTIFIED_AFTER: Nanos = 6 * SECOND;

/// The most between the beginnings of two calls while none is answered: the rest of [`NOTIFIED_AFTER`] is the later
/// one's.
pub const CALL_GAP: Nanos = NOTIFIED_AFTER / 5 * 3;

/// How long a call may go unanswered, and a watch silent, before it is abandoned. Two calls are open at most, one
/// [`CALL_GAP`] after the other, so that a slow service is still heard.
pub const CALL_LIFETIME: Nanos = 2 * CALL_GAP;
