//! Membership of the data nodes as reported by service discovery, without I/O or a clock.
//!
//! [`Subscription`] decides when to begin, keep open and abandon calls to discovery; [`Pacing`] limits their rate.
//! [`Confirmation`] decides whether the endpoint list of the previous process may be used, and [`Lease`] how long any
//! list may be used. [`MembershipTable`] decides which update of a data node is newer. The embedder executes the
//! commands and reports events.

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
pub use pacing::{HedgeDelays, Pacing};
pub use subscription::{AbandonReason, Command, Event, Subscription};
pub use table::{Line, MembershipTable, State, Update};

use curlewdeck_core::api::Nanos;

const MILLISECOND: Nanos = 1_000_000;
const SECOND: Nanos = 1_000 * MILLISECOND;

/// The interval between heartbeats on an open watch without changes.
pub const HEARTBEAT_INTERVAL: Nanos = 2 * SECOND;

/// Subtracted from time limits to allow for the transit of the last update and for a stall of the process before it
/// writes.
const SAFETY_MARGIN: Nanos = 200 * MILLISECOND;

/// The time after which a coordinator counts as notified of a change, once discovery had the change and was reachable.
pub const NOTIFIED_AFTER: Nanos = 6 * SECOND;

/// The longest time between the starts of two calls while none is answered. The rest of [`NOTIFIED_AFTER`] is left for
/// the answer to the later call.
pub const CALL_GAP: Nanos = NOTIFIED_AFTER / 5 * 3;

/// How long a call may stay unanswered, or a watch silent, before it is abandoned. At most two calls are open, one
/// [`CALL_GAP`] after the other, so that the answer of a slow service is still received.
pub const CALL_LIFETIME: Nanos = 2 * CALL_GAP;
