//! A member's log on disk, in one `redb` file: the entries by index, the hard state, the last snapshot, the member's id
//! and the number of its starts.
//!
//! The [`DurableWrites`] of a step form one transaction, which is synced before [`LogStorage::write`] returns, so that
//! the messages and completions of the step leave the process only after the sync. Each record has its own checksum in
//! addition to those of redb. If any record is corrupt, the entire folder is [quarantined](quarantine), and the member
//! rejoins as a new member.

use std::fmt;
use std::io::{self, ErrorKind};
use std::path::{Path, PathBuf};

use curlewdeck_replication::{disk_format, DurableWrites, RaftLog, StartError};
use curlewdeck_snapshot::RecordError;
use raft::eraftpb::{Entry, HardState, Snapshot};
use redb::{
    Database, ReadTransaction, ReadableDatabase, ReadableTable, TableDefinition, TableError, WriteTransaction,
};

const ENTRIES: TableDefinition<u64, &[u8]> = TableDefinition::new("entries");
const META: TableDefinition<&str, &[u8]> = TableDefinition::new("meta");
const MEMBER_ID_KEY: &str = "id";
const START_COUNT_KEY: &str = "boot";
const SNAPSHOT_KEY: &str = "image";
const HARD_STATE_KEY: &str = "hard";
const LOG_FILE: &str = "group.redb";
const MAX_QUARANTINED_FOLDERS: u32 = 999;

/// A member's folder cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum DiskError {
    /// redb reports its file as corrupt.
    #[error("the group's disk: {operation}: {source}")]
    CorruptStore {
        /// The operation that failed.
        operation: &'static str,
        /// The error of redb.
        source: redb::Error,
    },
    /// redb cannot read or write its file now, or another process uses it. The file may be intact.
    #[error("the group's disk: {operation}: {source}")]
    StoreUnavailable {
        /// The operation that failed.
        operation: &'static str,
        /// The error of redb.
        source: redb::Error,
    },
    /// A record is corrupt.
    #[error("the group's disk: the {record} is corrupt: {source}")]
    CorruptRecord {
        /// The kind of record.
        record: &'static str,
        /// The error of decoding it.
        source: RecordError,
    },
    /// A stored number does not have the length of its type.
    #[error("the group's disk: {0} has the wrong length")]
    CorruptNumber(&'static str),
    /// The log lacks the entry at this index.
    #[error("the group's disk: the log has no entry at index {0}")]
    LogGap(u64),
    /// The log is readable, but a member cannot start from it.
    #[error("the group's disk: {0}")]
    Unrecoverable(#[from] StartError),
    /// The folder cannot be created.
    #[error("the group's disk: cannot create {}: {source}", .folder.display())]
    CannotCreate {
        /// The folder from the configuration.
        folder: PathBuf,
        /// The error of the file system.
        source: io::Error,
    },
    /// The folder cannot be renamed to quarantine it.
    #[error("the group's disk: cannot quarantine {}: {source}", .folder.display())]
    CannotQuarantine {
        /// The folder from the configuration.
        folder: PathBuf,
        /// The error of the file system.
        source: io::Error,
    },
    /// All quarantine names of the folder are in use.
    #[error("the group's disk: {} has been quarantined {} times", .0.display(), MAX_QUARANTINED_FOLDERS)]
    TooManyQuarantined(PathBuf),
}

impl DiskError {
    /// Whether the stored data is corrupt. Otherwise it may be intact, and the folder must not be quarantined.
    pub fn is_corrupt(&self) -> bool {
        match self {
            Self::CorruptStore { .. }
            | Self::CorruptRecord { .. }
            | Self::CorruptNumber(_)
            | Self::LogGap(_)
            | Self::Unrecoverable(_) => true,
            Self::StoreUnavailable { .. }
            | Self::CannotCreate { .. }
            | Self::CannotQuarantine { .. }
            | Self::TooManyQuarantined(_) => false,
        }
    }

    fn of_store(operation: &'static str, error: impl Into<redb::Error>) -> Self {
        let source = error.into();
        let is_unavailable = match &source {
            // These kinds mean a truncated file, or one that is not of redb.
            redb::Error::Io(e) => !matches!(e.kind(), ErrorKind::UnexpectedEof | ErrorKind::InvalidData),
            redb::Error::PreviousIo | redb::Error::DatabaseAlreadyOpen => true,
            _ => false,
        };
        match is_unavailable {
            true => Self::StoreUnavailable { operation, source },
            false => Self::CorruptStore { operation, source },
        }
    }
}

fn open_error(error: impl Into<redb::Error>) -> DiskError {
    DiskError::of_store("cannot open the file", error)
}

fn read_error(error: impl Into<redb::Error>) -> DiskError {
    DiskError::of_store("read", error)
}

fn write_error(error: impl Into<redb::Error>) -> DiskError {
    DiskError::of_store("write", error)
}

fn sync_error(error: impl Into<redb::Error>) -> DiskError {
    DiskError::of_store("sync", error)
}

fn corrupt(record: &'static str) -> impl FnOnce(RecordError) -> DiskError {
    move |source| DiskError::CorruptRecord { record, source }
}

/// The contents of a member's folder when it is opened.
#[derive(Debug)]
pub enum StoredLog {
    /// The folder has no member yet.
    Empty,
    /// The folder holds the log of a member.
    Member {
        /// The member's id.
        id: u64,
        /// The snapshot, the hard state and the entries, all with matching checksums.
        log: Box<RaftLog>,
    },
}

/// An open member folder.
pub struct LogStorage {
    database: Database,
    folder: PathBuf,
}

impl fmt::Debug for LogStorage {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("LogStorage").field("folder", &self.folder).finish()
    }
}

impl LogStorage {
    /// Opens a folder, and reads its log. Creates the folder if it does not exist.
    ///
    /// # Errors
    /// The folder or the file cannot be created or opened, or a record is corrupt.
    pub fn open(folder: &Path) -> Result<(Self, StoredLog), DiskError> {
        std::fs::create_dir_all(folder)
            .map_err(|source| DiskError::CannotCreate { folder: folder.to_owned(), source })?;
        let database = Database::create(folder.join(LOG_FILE)).map_err(open_error)?;
        let storage = Self { database, folder: folder.to_owned() };
        let stored = storage.load()?;
        Ok((storage, stored))
    }

    fn load(&self) -> Result<StoredLog, DiskError> {
        let transaction = self.database.begin_read().map_err(read_error)?;
        let meta = match transaction.open_table(META) {
            Ok(meta) => meta,
            Err(TableError::TableDoesNotExist(_)) => return Ok(StoredLog::Empty),
            Err(e) => return Err(read_error(e)),
        };
        let get = |key: &str| -> Result<Option<Vec<u8>>, DiskError> {
            Ok(meta.get(key).map_err(read_error)?.map(|value| value.value().to_vec()))
        };
        let Some(id) = get(MEMBER_ID_KEY)? else { return Ok(StoredLog::Empty) };
        let id: [u8; 8] = id.try_into().map_err(|_| DiskError::CorruptNumber("the member's id"))?;
        let snapshot: Snapshot = match get(SNAPSHOT_KEY)? {
            Some(bytes) => disk_format::decode(&bytes).map_err(corrupt("snapshot"))?,
            None => Snapshot::default(),
        };
        let hard_state: HardState = match get(HARD_STATE_KEY)? {
            Some(bytes) => disk_format::decode(&bytes).map_err(corrupt("hard state"))?,
            None => HardState::default(),
        };
        let entries = load_entries(&transaction, snapshot.get_metadata().index + 1)?;
        let log = Box::new(RaftLog::recovered(snapshot, hard_state, entries));
        Ok(StoredLog::Member { id: u64::from_le_bytes(id), log })
    }

    /// Begins a transaction with a two-phase commit. With a one-phase commit, redb silently falls back to the previous
    /// commit if the last one is corrupt on disk, and the member would lose entries that it has acknowledged.
    fn begin_write(&self) -> Result<WriteTransaction, DiskError> {
        let mut transaction = self.database.begin_write().map_err(write_error)?;
        transaction.set_two_phase_commit(true);
        Ok(transaction)
    }

    /// Stores the id of the member that owns the folder.
    ///
    /// # Errors
    /// The file cannot be written.
    pub fn set_member_id(&self, id: u64) -> Result<(), DiskError> {
        let transaction = self.begin_write()?;
        {
            let mut meta = transaction.open_table(META).map_err(write_error)?;
            meta.insert(MEMBER_ID_KEY, id.to_le_bytes().as_slice()).map_err(write_error)?;
        }
        transaction.commit().map_err(sync_error)
    }

    /// Increments and returns the member's start number, which keeps its request handles unique across restarts.
    ///
    /// # Errors
    /// The number cannot be read or written.
    pub fn count_start(&self) -> Result<u32, DiskError> {
        let transaction = self.begin_write()?;
        let start = {
            let mut meta = transaction.open_table(META).map_err(write_error)?;
            let before = meta.get(START_COUNT_KEY).map_err(read_error)?;
            let before = before.map_or(Ok([0; 4]), |value| value.value().try_into());
            let before = before.map_err(|_| DiskError::CorruptNumber("the count of starts"))?;
            let start = u32::from_le_bytes(before).saturating_add(1);
            meta.insert(START_COUNT_KEY, start.to_le_bytes().as_slice()).map_err(write_error)?;
            start
        };
        transaction.commit().map_err(sync_error)?;
        Ok(start)
    }

    /// Writes the records of a step in one synced transaction.
    ///
    /// # Errors
    /// The records cannot be written. The member must then stop, since its messages may depend on them.
    pub fn write(&self, writes: &DurableWrites) -> Result<(), DiskError> {
        if writes.is_empty() {
            return Ok(());
        }
        let transaction = self.begin_write()?;
        {
            let mut entries = transaction.open_table(ENTRIES).map_err(write_error)?;
            let mut meta = transaction.open_table(META).map_err(write_error)?;
            if let Some(snapshot) = &writes.snapshot {
                let covered = snapshot.get_metadata().index;
                if writes.replaces_log {
                    entries.retain(|_, _| false).map_err(write_error)?;
                } else {
                    entries.retain_in(0u64..=covered, |_, _| false).map_err(write_error)?;
                }
                let bytes = disk_format::encode(snapshot);
                meta.insert(SNAPSHOT_KEY, bytes.as_slice()).map_err(write_error)?;
            }
            if let Some(first) = writes.entries.first() {
                // The first entry replaces the entry at its index and all after it.
                entries.retain_in(first.index.., |_, _| false).map_err(write_error)?;
            }
            for entry in &writes.entries {
                let bytes = disk_format::encode(entry);
                entries.insert(entry.index, bytes.as_slice()).map_err(write_error)?;
            }
            if let Some(hard_state) = &writes.hard_state {
                let bytes = disk_format::encode(hard_state);
                meta.insert(HARD_STATE_KEY, bytes.as_slice()).map_err(write_error)?;
            }
        }
        transaction.commit().map_err(sync_error)
    }
}

/// Reads the entries of the log, whose indices must be consecutive from `first`.
fn load_entries(transaction: &ReadTransaction, first: u64) -> Result<Vec<Entry>, DiskError> {
    let table = match transaction.open_table(ENTRIES) {
        Ok(table) => table,
        Err(TableError::TableDoesNotExist(_)) => return Ok(Vec::new()),
        Err(e) => return Err(read_error(e)),
    };
    let mut entries = Vec::new();
    for (expected, row) in (first..).zip(table.iter().map_err(read_error)?) {
        let (index, bytes) = row.map_err(read_error)?;
        let entry: Entry = disk_format::decode(bytes.value()).map_err(corrupt("log"))?;
        if index.value() != expected || entry.index != expected {
            return Err(DiskError::LogGap(expected));
        }
        entries.push(entry);
    }
    Ok(entries)
}

/// Renames an unusable folder to `NAME.aside-N`, with the first number that is not in use; returns the new path.
///
/// # Errors
/// The folder cannot be renamed, or all numbers are in use.
pub fn quarantine(folder: &Path) -> Result<PathBuf, DiskError> {
    for n in 1..=MAX_QUARANTINED_FOLDERS {
        let target = PathBuf::from(format!("{}.aside-{n}", folder.display()));
        if !target.exists() {
            std::fs::rename(folder, &target)
                .map_err(|source| DiskError::CannotQuarantine { folder: folder.to_owned(), source })?;
            return Ok(target);
        }
    }
    Err(DiskError::TooManyQuarantined(folder.to_owned()))
}

#[cfg(test)]
mod tests;
