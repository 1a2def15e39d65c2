//! The state folder: its lock, and the state file, which is replaced atomically by the steps of
//! [`curlewdeck_snapshot::atomic_write`].

use std::fs::{self, File, TryLockError};
use std::io::{self, Write};
use std::path::{Path, PathBuf};

use curlewdeck_snapshot::atomic_write::{quarantine_names, temporary_name, WriteStep, WRITE_STEPS};
use curlewdeck_snapshot::record::MAX_RECORD_BYTES;

use super::error::DirectoryError;

pub(super) const STATE_FILE: &str = "books";
const LOCK_FILE: &str = "lock";

/// A state folder that this process has locked.
///
/// The lock is held until this value is dropped. Two processes that share a folder would overwrite each other's totals,
/// and use the same start number twice.
#[derive(Debug)]
pub(super) struct SnapshotDirectory {
    path: PathBuf,
    _lock: File,
}

impl SnapshotDirectory {
    /// Locks the folder, which must exist.
    pub(super) fn lock(path: &Path) -> Result<Self, DirectoryError> {
        let lock = File::create(path.join(LOCK_FILE))?;
        lock.try_lock().map_err(|e| match e {
            TryLockError::WouldBlock => DirectoryError::InUse,
            TryLockError::Error(e) => DirectoryError::Io(e),
        })?;
        Ok(Self { path: path.to_owned(), _lock: lock })
    }

    pub(super) fn path(&self) -> &Path {
        &self.path
    }

    /// Reads the state file; none if it does not exist. A file that exceeds the maximum record size is returned as
    /// empty bytes, which are not a valid record either.
    pub(super) fn read(&self) -> io::Result<Option<Vec<u8>>> {
        let file = self.path.join(STATE_FILE);
        match fs::metadata(&file) {
            Ok(metadata) if metadata.len() > MAX_RECORD_BYTES as u64 => Ok(Some(Vec::new())),
            Ok(_) => fs::read(&file).map(Some),
            Err(e) if e.kind() == io::ErrorKind::NotFound => Ok(None),
            Err(e) => Err(e),
        }
    }

    /// Replaces the state file atomically, and syncs it.
    pub(super) fn write(&self, bytes: &[u8]) -> io::Result<()> {
        let (file, temporary) = (self.path.join(STATE_FILE), self.path.join(temporary_name(STATE_FILE)));
        for step in WRITE_STEPS {
            match step {
                WriteStep::WriteTemporary => File::create(&temporary)?.write_all(bytes)?,
                WriteStep::SyncTemporary => File::open(&temporary)?.sync_all()?,
                WriteStep::Rename => fs::rename(&temporary, &file)?,
                WriteStep::SyncDirectory => File::open(&self.path)?.sync_all()?,
            }
        }
        Ok(())
    }

    /// Renames an unusable state file without overwriting an earlier one; returns the new name.
    pub(super) fn quarantine(&self) -> Result<String, DirectoryError> {
        let name = quarantine_names(STATE_FILE)
            .find(|name| !self.path.join(name).exists())
            .ok_or(DirectoryError::TooManyQuarantined)?;
        fs::rename(self.path.join(STATE_FILE), self.path.join(&name))?;
        Ok(name)
    }
}
