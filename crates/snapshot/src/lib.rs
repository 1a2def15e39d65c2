//! Small state that outlives a process: how it is encoded, when it is written, and in which steps a file is replaced.
//!
//! [`record`] seals a value for a file of its own, [`tagged`] seals one for an entry of a log; both end in a
//! [`checksum`], so that torn or changed bytes are found before they are used. [`atomic_write`] names the steps in
//! which a file is replaced: whenever the process or the machine stops, the file is the old one or the new one.
//! [`write_schedule`] bounds how often it is replaced. The crate does no I/O.

pub mod atomic_write;
pub mod checksum;
mod error;
pub mod record;
pub mod tagged;
pub mod write_schedule;

pub use error::RecordError;
