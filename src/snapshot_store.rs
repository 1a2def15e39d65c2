//! The state that outlives a process: how often it has started, the management agent's engine id, and the totals of the
//! request ledger.
//!
//! It is written to a file of the state folder, by a thread of its own since files block, and optionally to a replica.
//! How a file is sealed, when it is replaced and in which steps is decided in `curlewdeck-snapshot`. On the platform
//! there is no state folder, and nothing is written.

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

/// How long a start waits for the replica. A member that came back with an empty folder must be added to its group first.
const START_TIMEOUT: Duration = Duration::from_secs(60);

/// The section `[state]` of the edge's file.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StateConfig {
    /// The state folder; it must exist, and belong to this instance alone.
    pub folder: PathBuf,
    /// Seconds between two writes of a state that has changed.
    #[serde(rename = "every_s", default = "default_write_interval_s")]
    pub write_interval_s: u64,
    /// Whether the state is replicated to the group too, under the coordinator's name.
    #[serde(rename = "copied", default)]
    pub replicated: bool,
}

fn default_write_interval_s() -> u64 {
    10
}

/// The kind of record that holds [`SnapshotContents`].
pub const STATE_RECORD: RecordKind = RecordKind { content: 1, version: 1 };

/// The state. The words by which serde knows its fields are those of the stored form.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct SnapshotContents {
    /// How often a process has started with this state.
    pub boots: u32,
    /// The management agent's engine id.
    #[serde(rename = "engine")]
    pub engine_id: Vec<u8>,
    /// The totals of the request ledger.
    #[serde(rename = "books")]
    pub ledger: SavedLedger,
}

/// The state of this process, and where it is stored.
#[derive(Debug)]
pub struct SnapshotStore {
    directory: SnapshotDirectory,
    write_interval: Duration,
    /// Locked while the file is written.
    state: Mutex<State>,
    replica: Mutex<Option<TrackedReplica>>,
    /// The schedule's times are counted from here.
    started: Instant,
}

/// Why the state is written.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum WriteReason {
    /// Its write interval has passed.
    Due,
    /// The process ends.
    ProcessEnds,
}

/// The state as it was restored, with the number of this start, and when it is written next.
#[derive(Debug)]
struct State {
    contents: SnapshotContents,
    schedule: WriteSchedule,
}

impl SnapshotStore {
    /// Restores the state and counts this start: [`open`](Self::open), and then [`count_start`](OpenState::count_start).
    ///
    /// # Errors
    /// The folder cannot be used, or the replica cannot be read or written in time.
    pub fn load(
        config: &StateConfig,
        engine_id: Vec<u8>,
        replica: Option<Box<dyn SnapshotReplica>>,
    ) -> Result<Self, SnapshotError> {
        Self::open(config)?.count_start(engine_id, replica)
    }

    /// Locks the folder and reads its state. A file that cannot be used is quarantined, and the state begins anew.
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

    /// The state as it was restored, with the number of this start.
    pub fn contents(&self) -> SnapshotContents {
        self.state().contents.clone()
    }

    /// Starts the thread that writes the state.
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

    /// Writes the state, if its schedule allows it. Blocks.
    fn write_if_due(&self, core: &CoreHandle) {
        self.write(core, WriteReason::Due, None);
    }

    /// Writes the state once more before the process ends; waits for the replica no longer than until then.
    pub fn write_last(&self, core: &CoreHandle, replicate_by: Instant) {
        self.write(core, WriteReason::ProcessEnds, Some(replicate_by));
    }

    /// Writes the folder, and then the replica: by that time, or else within the time of a request.
    fn write(&self, core: &CoreHandle, reason: WriteReason, replicate_by: Option<Instant>) {
        let Some(ledger) = core.saved_ledger() else {
            log::warn!("state not written: the coordinator did not answer in time");
            return;
        };
        let mut state = self.state();
        state.contents.ledger = ledger;
        let Some(bytes) = record::seal(STATE_RECORD, &state.contents) else {
            log::error!("state not written: it is too large");
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

    /// Writes the replica, if there is one: by the deadline, or else within the time of a request.
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

/// A state folder that is locked and read, of which no start is counted yet.
#[derive(Debug)]
pub struct OpenState {
    directory: SnapshotDirectory,
    contents: SnapshotContents,
    write_interval: Duration,
}

impl OpenState {
    /// Counts this start in the folder, and then in the replica. The count is on the disk, and in the replica, before this
    /// returns, so that no two processes ever have the same one. Where another process of this name has counted one
    /// meanwhile, this one counts on from there.
    ///
    /// # Errors
    /// The folder cannot be written, or the replica cannot be read or written in time.
    pub fn count_start(
        mut self,
        engine_id: Vec<u8>,
        replica: Option<Box<dyn SnapshotReplica>>,
    ) -> Result<SnapshotStore, SnapshotError> {
        let deadline = Instant::now() + START_TIMEOUT;
        let mut replica = replica.map(TrackedReplica::new);
        // Of a file at the replica's count: it is written before the replica, and so the newer one of the two.
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
                        "state's replica was written meanwhile: start counted anew"
                    )
                }
                Some(Err(e)) => return Err(SnapshotError::ReplicaWrite(e)),
            }
            // What another process has written at the count of this file has totals that this file lacks.
            file_is_newer = false;
        }
    }

    /// Reads the replica, and takes what it holds if it is of a later start than the file, or of the same one and the
    /// newer of the two.
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
        let oldest_taken = self.contents.boots.saturating_add(u32::from(file_is_newer));
        if let Some(replicated) = replicated.filter(|replicated| replicated.boots >= oldest_taken) {
            self.contents = replicated;
        }
        Ok(())
    }

    /// Counts the next start in the folder; returns the bytes written.
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

/// The state of the file. One that is torn, changed or foreign is quarantined, and the state begins anew.
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
