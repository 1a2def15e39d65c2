//! A member's log on disk, in one `redb` file: the entries by index, the hard state, the last snapshot, the member's id and
//! the number of its starts.
//!
//! The [`DurableWrites`] of a step are one transaction, which is synced before [`LogStorage::write`] returns, so that the
//! messages and completions of the step leave the process only after it. Each record carries a checksum of its own beside
//! those of redb. If anything is torn or changed the whole folder is [quarantined](quarantine), and the member comes back as a
//! new one.

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
/// The file in a member's folder.
const LOG_FILE: &str = "group.redb";
const MAX_QUARANTINED_FOLDERS: u32 = 999;

/// Why a member's folder cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum DiskError {
    /// redb finds its file torn or changed.
    #[error("the group's disk: {operation}: {source}")]
    CorruptStore {
        /// What was done.
        operation: &'static str,
        /// What redb found.
        source: redb::Error,
    },
    /// redb cannot read or write its file now, or another process uses it. What it holds may be sound.
    #[error("the group's disk: {operation}: {source}")]
    StoreUnavailable {
        /// What was done.
        operation: &'static str,
        /// Why it failed.
        source: redb::Error,
    },
    /// A record is torn or changed.
    #[error("the group's disk: the {record} is not believed: {source}")]
    CorruptRecord {
        /// Which one.
        record: &'static str,
        /// What is wrong with it.
        source: RecordError,
    },
    /// A number has another length than it should have.
    #[error("the group's disk: {0} is torn")]
    CorruptNumber(&'static str),
    /// An entry is missing.
    #[error("the group's disk: the log has a gap at {0}")]
    LogGap(u64),
    /// The member cannot start with the log.
    #[error("the group's disk: {0}")]
    Unrecoverable(#[from] StartError),
    /// The folder cannot be made.
    #[error("the group's disk: cannot make {}: {source}", .folder.display())]
    CannotCreate {
        /// The folder.
        folder: PathBuf,
        /// Why not.
        source: io::Error,
    },
    /// The folder cannot be quarantined.
    #[error("the group's disk: cannot set {} aside: {source}", .folder.display())]
    CannotQuarantine {
        /// The folder.
        folder: PathBuf,
        /// Why not.
        source: io::Error,
    },
    /// No name is free for one more folder.
    #[error("the group's disk: {} has been set aside {} times", .0.display(), MAX_QUARANTINED_FOLDERS)]
    TooManyQuarantined(PathBuf),
}

impl DiskError {
    /// Whether what is on the disk is torn or changed. If it is not, it may be sound, and must stay as it is.
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
            // A file that ends too soon, or is none of redb's.
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

/// What a member's folder holds when it is opened.
#[derive(Debug)]
pub enum StoredLog {
    /// Nothing: the member is new.
    Empty,
    /// A member's log.
    Member {
        /// The member's id.
        id: u64,
        /// The log.
        log: Box<RaftLog>,
    },
}

/// A member's folder, open.
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
    /// Opens a folder, which is made if it is missing, and reads what it holds.
    ///
    /// # Errors
    /// The folder or the file cannot be made or opened, or a record is torn or changed.
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

    /// Begins a transaction that is committed in two phases. Otherwise redb would silently go back to the commit before
    /// the last one if that has changed on disk, and the member would lose entries that it has acknowledged.
    fn begin_write(&self) -> Result<WriteTransaction, DiskError> {
        let mut transaction = self.database.begin_write().map_err(write_error)?;
        transaction.set_two_phase_commit(true);
        Ok(transaction)
    }

    /// Makes the folder the one of this member.
    ///
    /// # Errors
    /// It cannot be written.
    pub fn set_member_id(&self, id: u64) -> Result<(), DiskError> {
        let transaction = self.begin_write()?;
        {
            let mut meta = transaction.open_table(META).map_err(write_error)?;
            meta.insert(MEMBER_ID_KEY, id.to_le_bytes().as_slice()).map_err(write_error)?;
        }
        transaction.commit().map_err(sync_error)
    }

    /// Counts a start of the member, by which its requests differ from those of earlier starts; returns its number.
    ///
    /// # Errors
    /// It cannot be read or written.
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

    /// Writes what a step returns, in one synced transaction.
    ///
    /// # Errors
    /// It cannot be written. The member must then stop: what it would send next may rest on it.
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
                // It replaces the entry at its index and all after it.
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

/// The entries of the log, which must follow each other from `first` on.
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

/// Moves a folder that cannot be used out of the way, never over another one: to `NAME.aside-N`.
///
/// # Errors
/// It cannot be moved.
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
