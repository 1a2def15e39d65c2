//! A replica of the state, which survives the loss of the machine and its disk.

use std::fmt::Debug;
use std::time::{Duration, Instant};

use curlewdeck_snapshot::{record, RecordError};

use super::{SnapshotContents, STATE_RECORD};

/// The value of a replica, with its version.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReplicaValue {
    /// The sealed state; none if the replica was never written.
    pub bytes: Option<Vec<u8>>,
    /// The version for the next compare-and-set; 0 if the replica was never written.
    pub version: u64,
}

/// A replica of the state, written by compare-and-set.
pub trait SnapshotReplica: Send + Debug {
    /// Reads the replica; blocks until the value is read or the deadline passes.
    ///
    /// # Errors
    /// The value could not be read before the deadline.
    fn read(&mut self, deadline: Instant) -> Result<ReplicaValue, ReplicaError>;

    /// Writes the replica if it is still at `version`; returns the new version. Blocks until the outcome is known or
    /// the deadline passes.
    ///
    /// # Errors
    /// The write was rejected, or its outcome is unknown.
    fn write(&mut self, bytes: &[u8], version: u64, deadline: Instant) -> Result<u64, ReplicaError>;

    /// The timeout of a write while the process is serving queries.
    fn request_timeout(&self) -> Duration;
}

/// The replica cannot be read or written.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum ReplicaError {
    /// The group did not return the value; holds the outcome of the last attempt.
    #[error("cannot read the state from the group: {0}")]
    Unreadable(String),
    /// The value cannot be opened as a record of the state.
    #[error("the state in the group is corrupt: {0}")]
    Corrupt(#[source] RecordError),
    /// The group rejected the value, because of one of its limits.
    #[error("{0}")]
    Rejected(String),
    /// The write was not confirmed; it may still take effect.
    #[error("not promised: {0}")]
    NotCommitted(String),
    /// The replica was written after it was read: by another process, or by an earlier write of this process whose
    /// outcome was lost. The text is that of the group's outcome, which operators know from earlier versions.
    #[error("not promised: Promised(Stale {{ current: {current} }})")]
    VersionMismatch {
        /// The version that the replica has now.
        current: u64,
    },
    /// An earlier write of this process to the replica is still in progress.
    #[error("not promised: an earlier write is still in progress")]
    WriteInProgress,
    /// A process that started later under the same name has written the replica.
    #[error("another process with this name has started later")]
    Superseded,
}

/// A replica, and the version that this process last read or wrote.
#[derive(Debug)]
pub(super) struct TrackedReplica {
    replica: Box<dyn SnapshotReplica>,
    /// None after a write whose outcome is unknown.
    version: Option<u64>,
}

impl TrackedReplica {
    pub(super) fn new(replica: Box<dyn SnapshotReplica>) -> Self {
        Self { replica, version: None }
    }

    pub(super) fn request_timeout(&self) -> Duration {
        self.replica.request_timeout()
    }

    /// Reads the state and records its version.
    pub(super) fn read(&mut self, deadline: Instant) -> Result<Option<SnapshotContents>, ReplicaError> {
        let value = self.replica.read(deadline)?;
        self.version = Some(value.version);
        let open = |bytes: Vec<u8>| record::open::<SnapshotContents>(STATE_RECORD, &bytes);
        value.bytes.map(open).transpose().map_err(ReplicaError::Corrupt)
    }

    /// Writes the state. If the outcome of the previous write is unknown, reads the replica first, and fails if its
    /// state is of a later start than this one.
    pub(super) fn write(&mut self, bytes: &[u8], boots: u32, deadline: Instant) -> Result<(), ReplicaError> {
        if self.version.is_none() && self.read(deadline)?.is_some_and(|contents| contents.boots > boots) {
            return Err(ReplicaError::Superseded);
        }
        let version = self.version.take().unwrap_or(0);
        self.version = Some(self.replica.write(bytes, version, deadline)?);
        Ok(())
    }
}
