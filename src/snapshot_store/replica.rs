//! A replica of the state, which outlives the machine with its disk.

use std::fmt::Debug;
use std::time::{Duration, Instant};

use curlewdeck_snapshot::{record, RecordError};

use super::{SnapshotContents, STATE_RECORD};

/// What a replica holds.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReplicaValue {
    /// The sealed state; none if there is none yet.
    pub bytes: Option<Vec<u8>>,
    /// Its version; 0 if there is none.
    pub version: u64,
}

/// A replica of the state, written by compare-and-set.
pub trait SnapshotReplica: Send + Debug {
    /// Reads the replica; blocks until it is known what it holds, or until the deadline.
    ///
    /// # Errors
    /// Why that is not known.
    fn read(&mut self, deadline: Instant) -> Result<ReplicaValue, ReplicaError>;

    /// Writes the replica if it is still at `version`; returns the new version. Blocks until it is known whether that was
    /// done, or until the deadline.
    ///
    /// # Errors
    /// Why it is not known to be written.
    fn write(&mut self, bytes: &[u8], version: u64, deadline: Instant) -> Result<u64, ReplicaError>;

    /// How long a process that serves waits for a request.
    fn request_timeout(&self) -> Duration;
}

/// Why a replica cannot be read or written.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum ReplicaError {
    /// It is not known what it holds.
    #[error("the group does not say what it holds: {0}")]
    Unreadable(String),
    /// What it holds is not used.
    #[error("what the group holds is not believed, {0}")]
    Corrupt(#[source] RecordError),
    /// The replica does not take the value.
    #[error("{0}")]
    Rejected(String),
    /// It is not known whether the value was written.
    #[error("not promised: {0}")]
    NotCommitted(String),
    /// A value was written since the replica was read: another process's, or this one's if its outcome was not heard. The
    /// text is that of the group's outcome, which operators know.
    #[error("not promised: Promised(Stale {{ current: {current} }})")]
    VersionMismatch {
        /// The version of that value.
        current: u64,
    },
    /// An earlier write of this process still waits for the replica.
    #[error("not promised: an earlier write still waits")]
    WriteInProgress,
    /// A process that started later writes under the same name.
    #[error("another process has taken over under this name")]
    Superseded,
}

/// The replica with the version that this process wrote or read last.
#[derive(Debug)]
pub(super) struct TrackedReplica {
    replica: Box<dyn SnapshotReplica>,
    /// None after a write whose outcome is not known.
    version: Option<u64>,
}

impl TrackedReplica {
    pub(super) fn new(replica: Box<dyn SnapshotReplica>) -> Self {
        Self { replica, version: None }
    }

    /// How long a process that serves waits for a request.
    pub(super) fn request_timeout(&self) -> Duration {
        self.replica.request_timeout()
    }

    /// Reads the state and takes note of its version.
    pub(super) fn read(&mut self, deadline: Instant) -> Result<Option<SnapshotContents>, ReplicaError> {
        let value = self.replica.read(deadline)?;
        self.version = Some(value.version);
        let open = |bytes: Vec<u8>| record::open::<SnapshotContents>(STATE_RECORD, &bytes);
        value.bytes.map(open).transpose().map_err(ReplicaError::Corrupt)
    }

    /// Writes the state. After a write whose outcome is not known it is read first: what it holds then must not be of a
    /// later start than this one.
    pub(super) fn write(&mut self, bytes: &[u8], boots: u32, deadline: Instant) -> Result<(), ReplicaError> {
        if self.version.is_none() && self.read(deadline)?.is_some_and(|contents| contents.boots > boots) {
            return Err(ReplicaError::Superseded);
        }
        let version = self.version.take().unwrap_or(0);
        self.version = Some(self.replica.write(bytes, version, deadline)?);
        Ok(())
    }
}
