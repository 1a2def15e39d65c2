//! The state that persists across restarts: the number of starts, the management agent's engine id, and the totals of
//! the request ledger.
//!
//! A dedicated thread writes it to a file in the state folder, since file I/O blocks, and optionally to a replica. The
//! crate `curlewdeck-snapshot` defines the encoding of the file, the write schedule and the steps of replacing the
//! file. On the platform no state folder is configured, and nothing is written.

mod directory;
mod error;
mod replica;

use std::io;
use std::path::PathBuf;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use curlewdeck_accounting::saved::SavedLedger;
use curlewdeck_snapshot::record::{self, RecordKind};
use curlewdeck_snapshot::write_schedule::WriteSchedule;
use serde::{Deserialize, Serialize};

use crate::net::coordinator::CoreHandle;
use crate::runtime::{lock, lock_until};

use directory::SnapshotDirectory;
pub use error::{DirectoryError, SnapshotError};
use replica::TrackedReplica;
pub use replica::{ReplicaError, ReplicaValue, SnapshotReplica};

/// How long a start waits for the replica: long enough for an operator to add a member that has restarted with an empty
/// folder to its group.
const START_TIMEOUT: Duration = Duration::from_secs(60);

/// The section `[state]` of the edge's file.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StateConfig {
    /// The state folder. It must exist, and no other instance may use it.
    pub folder: PathBuf,
    /// Seconds between two writes; unchanged state is not written.
    #[serde(rename = "every_s", default = "default_write_interval_s")]
    pub write_interval_s: u64,
    /// Whether the state is also replicated to the group, under the coordinator's name.
    #[serde(rename = "copied", default)]
    pub replicated: bool,
}

fn default_write_interval_s() -> u64 {
    10
}

/// The kind of record that holds [`SnapshotContents`].
pub const STATE_RECORD: RecordKind = RecordKind { content: 1, version: 1 };

/// The persisted state. The serde names of its fields are those of the first version.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct SnapshotContents {
    /// The number of process starts with this state.
    pub boots: u32,
    /// The management agent's engine id, fixed at the first start.
    #[serde(rename = "engine")]
    pub engine_id: Vec<u8>,
    /// The totals of the request ledger.
    #[serde(rename = "books")]
    pub ledger: SavedLedger,
}

/// The persisted state of this process, with its state folder and its replica.
#[derive(Debug)]
pub struct SnapshotStore {
    directory: SnapshotDirectory,
    write_interval: Duration,
    /// Locked while the file is written.
    state: Mutex<State>,
    replica: Mutex<Option<TrackedReplica>>,
    /// The origin of the write schedule's times.
    started: Instant,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum WriteReason {
    /// The write interval has elapsed.
    Due,
    /// The process is shutting down, so the write schedule does not apply.
    Shutdown,
}

#[derive(Debug)]
struct State {
    contents: SnapshotContents,
    schedule: WriteSchedule,
}

impl SnapshotStore {
    /// Restores the state and counts this start: [`open`](Self::open) followed by
    /// [`count_start`](OpenState::count_start).
    ///
    /// # Errors
    /// The folder cannot be used, or the replica cannot be read or written before the start timeout.
    pub fn load(
        config: &StateConfig,
        engine_id: Vec<u8>,
        replica: Option<Box<dyn SnapshotReplica>>,
    ) -> Result<Self, SnapshotError> {
        Self::open(config)?.count_start(engine_id, replica)
    }

    /// Locks the folder and reads its state. An unusable file is quarantined, and the default state is used instead.
    ///
    /// # Errors
    /// The folder cannot be used.
    pub fn open(config: &StateConfig) -> Result<OpenState, SnapshotError> {
        let in_directory = |source| SnapshotError::Directory { directory: config.folder.clone(), source };
        if config.write_interval_s == 0 {
            return Err(in_directory(DirectoryError::ZeroWriteInterval));
        }
        let directory = SnapshotDirectory::lock(&config.folder).map_err(in_directory)?;
        let contents = read_or_quarantine(&directory).map_err(in_directory)?;
        let write_interval = Duration::from_secs(config.write_interval_s);
        Ok(OpenState { directory, contents, write_interval })
    }

    fn state(&self) -> MutexGuard<'_, State> {
        lock(&self.state)
    }

    /// The state as restored at this start, with the ledger as of the last write.
    pub fn contents(&self) -> SnapshotContents {
        self.state().contents.clone()
    }

    /// Starts the thread that writes the state periodically.
    ///
    /// # Errors
    /// The thread cannot be started.
    pub fn start_writing(self: &Arc<Self>, core: CoreHandle) -> io::Result<()> {
        let store = self.clone();
        std::thread::Builder::new().name("snapshot".into()).spawn(move || loop {
            std::thread::sleep(store.write_interval);
            store.write_if_due(&core);
        })?;
        Ok(())
    }

    /// Writes the state if its schedule allows it. Blocks.
    fn write_if_due(&self, core: &CoreHandle) {
        self.write(core, WriteReason::Due, None);
    }

    /// Writes the state before the process exits; waits for the replica until `replicate_by` at the latest.
    pub fn write_last(&self, core: &CoreHandle, replicate_by: Instant) {
        self.write(core, WriteReason::Shutdown, Some(replicate_by));
    }

    /// Writes the file, and then the replica: until `replicate_by`, or within the replica's request timeout if that is
    /// none.
    fn write(&self, core: &CoreHandle, reason: WriteReason, replicate_by: Option<Instant>) {
        let Some(ledger) = core.saved_ledger() else {
            log::warn!("state not written: the coordinator did not answer in time");
            return;
        };
        let mut state = self.state();
        state.contents.ledger = ledger;
        let Some(bytes) = record::seal(STATE_RECORD, &state.contents) else {
            log::error!("state not written: it exceeds the maximum record size");
            return;
        };
        let now = self.started.elapsed();
        if !state.schedule.should_write(now, &bytes) && reason == WriteReason::Due {
            return;
        }
        let written = self.directory.write(&bytes);
        state.schedule.record_write(now, &bytes, written.is_ok());
        let boots = state.contents.boots;
        drop(state);
        if let Err(e) = written {
            log::error!(directory:% = self.directory.path().display(), error:% = e; "state not written");
        }
        if let Err(e) = self.replicate(&bytes, boots, replicate_by) {
            log::error!(error:% = e; "state not replicated");
        }
    }

    /// Writes the replica, if there is one: until the deadline, or within the replica's request timeout if that is
    /// none.
    fn replicate(&self, bytes: &[u8], boots: u32, deadline: Option<Instant>) -> Result<(), ReplicaError> {
        let mut replica = match deadline {
            Some(deadline) => lock_until(&self.replica, deadline).ok_or(ReplicaError::WriteInProgress)?,
            None => lock(&self.replica),
        };
        let Some(replica) = &mut *replica else { return Ok(()) };
        let deadline = deadline.unwrap_or_else(|| Instant::now() + replica.request_timeout());
        replica.write(bytes, boots, deadline)
    }
}

/// A state folder that is locked and read, before this start is counted.
#[derive(Debug)]
pub struct OpenState {
    directory: SnapshotDirectory,
    contents: SnapshotContents,
    write_interval: Duration,
}

impl OpenState {
    /// Counts this start in the folder, and then in the replica. The count is on disk and in the replica before this
    /// returns, so that no two processes use the same start number. If another process with this name counts a start at
    /// the same time, this start gets the next number.
    ///
    /// # Errors
    /// The folder cannot be written, or the replica cannot be read or written before the start timeout.
    pub fn count_start(
        mut self,
        engine_id: Vec<u8>,
        replica: Option<Box<dyn SnapshotReplica>>,
    ) -> Result<SnapshotStore, SnapshotError> {
        let deadline = Instant::now() + START_TIMEOUT;
        let mut replica = replica.map(TrackedReplica::new);
        // If the file and the replica have the same count, the file is newer, since it is written before the replica.
        let mut file_is_newer = true;
        loop {
            if let Some(replica) = &mut replica {
                self.restore(replica, file_is_newer, deadline)?;
            }
            let bytes = self.write_next_start(&engine_id)?;
            match replica.as_mut().map(|replica| replica.write(&bytes, self.contents.boots, deadline)) {
                None | Some(Ok(())) => return Ok(self.into_store(replica)),
                Some(Err(ReplicaError::VersionMismatch { current })) if Instant::now() < deadline => {
                    log::warn!(
                        start = self.contents.boots, version = current;
                        "state replica was written concurrently; counting this start again"
                    )
                }
                Some(Err(e)) => return Err(SnapshotError::ReplicaWrite(e)),
            }
            // Another process has written the replica, possibly with the same count but with totals that this file
            // lacks.
            file_is_newer = false;
        }
    }

    /// Reads the replica, and adopts its state if that is of a later start than the file, or of the same start and
    /// newer.
    fn restore(
        &mut self,
        replica: &mut TrackedReplica,
        file_is_newer: bool,
        deadline: Instant,
    ) -> Result<(), SnapshotError> {
        let replicated = replica.read(deadline).map_err(|source| SnapshotError::ReplicaRead {
            directory: self.directory.path().to_owned(),
            source,
        })?;
        let min_adopted_boots = self.contents.boots.saturating_add(u32::from(file_is_newer));
        if let Some(replicated) = replicated.filter(|replicated| replicated.boots >= min_adopted_boots) {
            self.contents = replicated;
        }
        Ok(())
    }

    /// Increments the start count in the folder; returns the bytes written.
    fn write_next_start(&mut self, engine_id: &[u8]) -> Result<Vec<u8>, SnapshotError> {
        self.contents.boots = self.contents.boots.saturating_add(1);
        if self.contents.engine_id.is_empty() {
            self.contents.engine_id = engine_id.to_vec();
        }
        let bytes = record::seal(STATE_RECORD, &self.contents).ok_or(SnapshotError::TooLarge)?;
        match self.directory.write(&bytes) {
            Ok(()) => Ok(bytes),
            Err(e) => Err(SnapshotError::Directory {
                directory: self.directory.path().to_owned(),
                source: e.into(),
            }),
        }
    }

    fn into_store(self, replica: Option<TrackedReplica>) -> SnapshotStore {
        let Self { directory, contents, write_interval } = self;
        log::info!(start = contents.boots, directory:% = directory.path().display(); "state loaded");
        SnapshotStore {
            directory,
            write_interval,
            state: Mutex::new(State { contents, schedule: WriteSchedule::new(write_interval) }),
            replica: Mutex::new(replica),
            started: Instant::now(),
        }
    }
}

/// Reads the state file. A corrupt or foreign file is quarantined, and the default state is returned.
fn read_or_quarantine(directory: &SnapshotDirectory) -> Result<SnapshotContents, DirectoryError> {
    let Some(bytes) = directory.read()? else { return Ok(SnapshotContents::default()) };
    match record::open(STATE_RECORD, &bytes) {
        Ok(contents) => Ok(contents),
        Err(e) => {
            let name = directory.quarantine()?;
            log::error!(
                directory:% = directory.path().display(), quarantined_as = name.as_str(), error:% = e;
                "state file cannot be used: quarantined"
            );
            Ok(SnapshotContents::default())
        }
    }
}

#[cfg(test)]
mod tests;
