//! Promised state copied to further coordinators.
//!
//! A group of 3 or 5 coordinators keeps a replicated log with raft-rs (`raft`, of TiKV), and every member builds the
//! same map of promised keys from it ([`promised`]). A client is told "promised" only once a majority has the command
//! on disk; reads go by read index, so that a member cut off from most of the group never answers stale. This crate does
//! no I/O and reads no clock: [`member::Member`] is ticked and fed bytes, and hands back what to write, what to send and
//! what to answer. The driver in the root package carries that out over TCP and an embedded store.
//!
//! `docs/design/replication.md` weighs the options; `docs/replication.md` is for operators.

pub mod bounds;
pub mod codec;
pub mod member;
pub mod promised;
pub mod store;

pub use bounds::Bounds;
pub use member::{Answer, Letter, Member, Out, Persist, Refusal, Ticket};
pub use promised::{Command, Outcome, Promised, Slot};
pub use store::Store;
