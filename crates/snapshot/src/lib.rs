//! Persistence of small state across restarts: the encoding, the write schedule, and the steps of replacing a file.
//!
//! [`record`] seals a value that occupies an entire file, [`tagged`] seals a value in an entry of a log. Both end in a
//! [`checksum`], so that corruption is detected before the value is used. [`atomic_write`] lists the steps of replacing
//! a file: whenever the process or the machine stops, the file has either its old or its new contents.
//! [`write_schedule`] limits how often the file is replaced. The crate does no I/O.

pub mod atomic_write;
pub mod checksum;
mod error;
pub mod record;
pub mod tagged;
pub mod write_schedule;

pub use error::RecordError;
