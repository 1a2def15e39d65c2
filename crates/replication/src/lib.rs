//! A key-value map replicated to several coordinators by raft.
//!
//! A group of 3 or 5 members keeps a replicated log with raft-rs (`raft`, of TiKV), and every member applies the same
//! commands to its own [`ReplicatedMap`]. A command is reported as committed only once a majority has it on disk. Reads
//! use a read index, so that a member on the minority side of a partition never returns a stale value. This crate does
//! no I/O and reads no clock: the driver passes ticks and received bytes to a [`Member`], which returns the records to
//! write, the messages to send and the requests that have completed. The driver in the root package performs these over
//! TCP and an embedded store.
//!
//! `docs/design/replication.md` compares the design options; `docs/replication.md` is for operators.

mod command;
pub mod disk_format;
mod limits;
pub mod member;
mod output;
mod raft_log;
mod replicated_map;
mod request;
mod value_kind;

pub use command::{Command, CommandOutcome, CommandRejection};
pub use limits::ReplicationLimits;
pub use member::{Member, MembershipChange, MessageError, StartError};
pub use output::{Completion, DurableWrites, MemberOutput, OutboundMessage};
pub use raft_log::RaftLog;
pub use replicated_map::{ReplicatedMap, VersionedValue};
pub use request::{RejectReason, RequestHandle, RequestOutcome};
