//! Errors of restoring and storing the state of a process.

use std::io;
use std::path::PathBuf;

use super::replica::ReplicaError;

/// The state cannot be restored or stored.
#[derive(Debug, thiserror::Error)]
pub enum SnapshotError {
    /// The state folder cannot be used.
    #[error("state folder {}: {source}", .directory.display())]
    Directory {
        /// The folder from the configuration.
        directory: PathBuf,
        /// The cause.
        source: DirectoryError,
    },
    /// The replica cannot be read at the start.
    #[error("state folder {}: {source}", .directory.display())]
    ReplicaRead {
        /// The state folder whose contents are replicated.
        directory: PathBuf,
        /// The cause.
        source: ReplicaError,
    },
    /// The replica cannot be written at the start.
    #[error("cannot write the state replica: {0}")]
    ReplicaWrite(#[source] ReplicaError),
    /// The state exceeds the maximum size of a record.
    #[error("the state is too large")]
    TooLarge,
}

/// The state folder cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum DirectoryError {
    /// The configured write interval is 0.
    #[error("every_s must be above 0")]
    ZeroWriteInterval,
    /// Another process holds the folder's lock.
    #[error("another process uses it: end that one first")]
    InUse,
    /// All quarantine names are in use, so that an unusable state file cannot be quarantined.
    #[error("too many files are in quarantine: inspect them")]
    TooManyQuarantined,
    /// A file cannot be read or written.
    #[error(transparent)]
    Io(#[from] io::Error),
}
