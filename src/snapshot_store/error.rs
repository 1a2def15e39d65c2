//! Why the state of a process cannot be restored or stored.

use std::io;
use std::path::PathBuf;

use super::replica::ReplicaError;

/// Why the state cannot be restored or stored.
#[derive(Debug, thiserror::Error)]
pub enum SnapshotError {
    /// The state folder cannot be used.
    #[error("state folder {}: {source}", .directory.display())]
    Directory {
        /// The folder.
        directory: PathBuf,
        /// What is wrong with it.
        source: DirectoryError,
    },
    /// The replica cannot be read at the start.
    #[error("state folder {}: {source}", .directory.display())]
    ReplicaRead {
        /// The folder whose replica it is.
        directory: PathBuf,
        /// Why it cannot be read.
        source: ReplicaError,
    },
    /// The replica cannot be written at the start.
    #[error("the state's copy: {0}")]
    ReplicaWrite(#[source] ReplicaError),
    /// The state is larger than a file may be.
    #[error("the state is too large")]
    TooLarge,
}

/// What is wrong with a state folder.
#[derive(Debug, thiserror::Error)]
pub enum DirectoryError {
    /// The configuration asks for a write at no interval.
    #[error("every_s must be above 0")]
    ZeroWriteInterval,
    /// Another process holds the folder's lock.
    #[error("another process uses it: end that one first")]
    InUse,
    /// No name is free for one more file that cannot be used.
    #[error("too many files were put aside: look at them")]
    TooManyQuarantined,
    /// A file cannot be read or written.
    #[error(transparent)]
    Io(#[from] io::Error),
}
