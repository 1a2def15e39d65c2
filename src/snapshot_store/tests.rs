use super::directory::STATE_FILE;
use super::*;
use std::fs;

/// A temporary state folder, removed on drop.
struct Folder(PathBuf);

impl Folder {
    fn new(name: &str) -> Self {
        let path = std::env::temp_dir().join(format!("curlewdeck-snapshot-{name}-{}", std::process::id()));
        let _ = fs::remove_dir_all(&path);
        fs::create_dir_all(&path).unwrap();
        Self(path)
    }

    fn config(&self) -> StateConfig {
        StateConfig { folder: self.0.clone(), write_interval_s: 1, replicated: false }
    }

    fn load(&self) -> Result<SnapshotStore, SnapshotError> {
        SnapshotStore::load(&self.config(), vec![1, 2, 3, 4, 5], None)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

#[test]
fn each_start_gets_a_new_number_and_the_engine_id_is_stable() {
    let folder = Folder::new("boots");
    for boots in 1..5 {
        let contents = folder.load().unwrap().contents();
        assert_eq!((contents.boots, contents.engine_id), (boots, vec![1, 2, 3, 4, 5]));
    }
}

/// An in-memory replica that can lose the responses to writes.
#[derive(Debug, Clone, Default)]
struct MemoryReplica(Arc<Mutex<MemoryReplicaState>>);

#[derive(Debug, Default)]
struct MemoryReplicaState {
    bytes: Option<Vec<u8>>,
    version: u64,
    responses_are_lost: bool,
    /// The value that another process with the same name writes right before the next write.
    concurrent_write: Option<Vec<u8>>,
}

impl SnapshotReplica for MemoryReplica {
    fn read(&mut self, _deadline: Instant) -> Result<ReplicaValue, ReplicaError> {
        let state = self.0.lock().unwrap();
        Ok(ReplicaValue { bytes: state.bytes.clone(), version: state.version })
    }

    fn write(&mut self, bytes: &[u8], version: u64, _deadline: Instant) -> Result<u64, ReplicaError> {
        let mut state = self.0.lock().unwrap();
        if let Some(other) = state.concurrent_write.take() {
            (state.bytes, state.version) = (Some(other), version + 1);
        }
        if state.version != version {
            return Err(ReplicaError::VersionMismatch { current: state.version });
        }
        (state.bytes, state.version) = (Some(bytes.to_vec()), version + 1);
        if state.responses_are_lost {
            Err(ReplicaError::NotCommitted("not known".into()))
        } else {
            Ok(version + 1)
        }
    }

    fn request_timeout(&self) -> Duration {
        Duration::from_secs(1)
    }
}

/// Fails if the start count is lost with the disk, if a process overwrites the state of a later one with the same name,
/// or if a write with an unknown outcome makes all later writes fail.
#[test]
fn replica_preserves_the_start_count_when_the_folder_is_lost() {
    let replica = MemoryReplica::default();
    let load =
        |folder: &Folder| SnapshotStore::load(&folder.config(), vec![7], Some(Box::new(replica.clone())));
    let first = Folder::new("replicated");
    drop(load(&first).unwrap());
    let lost = load(&first).unwrap();
    assert_eq!(lost.contents().boots, 2);
    let contents = SnapshotContents { boots: 2, ..SnapshotContents::default() };
    let bytes = record::seal(STATE_RECORD, &contents).unwrap();
    replica.0.lock().unwrap().responses_are_lost = true;
    assert!(lost.replicate(&bytes, 2, None).is_err());
    replica.0.lock().unwrap().responses_are_lost = false;
    lost.replicate(&bytes, 2, None).unwrap();
    let other = Folder::new("replaced");
    assert_eq!(load(&other).unwrap().contents().boots, 3);
    assert!(lost.replicate(&bytes, 2, None).is_err(), "it overwrote the state of a later process");
    assert_eq!(lost.replicate(&bytes, 2, None), Err(ReplicaError::Superseded));
    assert!(ReplicaError::Superseded.to_string().contains("another process"));
}

/// Fails if two processes with one name get the same start number, because the other one counts a start between this
/// process's read and write. This process must then use the next number, and the totals of the other process.
#[test]
fn start_counted_concurrently_by_another_process_gets_the_next_number() {
    let folder = Folder::new("meanwhile");
    for other_boots in [1, 4] {
        let replica = MemoryReplica::default();
        let ledger = SavedLedger { retries: 77, ..SavedLedger::default() };
        let other = SnapshotContents { boots: other_boots, engine_id: Vec::new(), ledger };
        replica.0.lock().unwrap().concurrent_write = Some(record::seal(STATE_RECORD, &other).unwrap());
        let _ = fs::remove_file(folder.0.join(STATE_FILE));
        let loaded = SnapshotStore::load(&folder.config(), vec![7], Some(Box::new(replica.clone()))).unwrap();
        assert_eq!(loaded.contents().boots, other_boots + 1);
        assert_eq!(loaded.contents().engine_id, [7]);
        assert_eq!(loaded.contents().ledger.retries, 77, "the other process's totals were lost");
        let held =
            record::open::<SnapshotContents>(STATE_RECORD, replica.0.lock().unwrap().bytes.as_ref().unwrap());
        assert_eq!(held.unwrap(), loaded.contents());
        let file = fs::read(folder.0.join(STATE_FILE)).unwrap();
        assert_eq!(record::open::<SnapshotContents>(STATE_RECORD, &file).unwrap(), loaded.contents());
    }
}

/// Fails if two processes share a folder, such as an old and a new version that would overwrite each other's totals.
#[test]
fn folder_is_locked_by_one_process_at_a_time() {
    let folder = Folder::new("lock");
    let first = folder.load().unwrap();
    assert!(folder.load().unwrap_err().to_string().contains("another process uses it"));
    drop(first);
    assert_eq!(folder.load().unwrap().contents().boots, 2);
}

/// A corrupt or foreign file is quarantined and never overwritten. The temporary file of an interrupted write is
/// ignored.
#[test]
fn unusable_file_is_quarantined() {
    let folder = Folder::new("quarantine");
    folder.load().unwrap();
    let good = fs::read(folder.0.join(STATE_FILE)).unwrap();
    fs::write(folder.0.join("books.new"), &good[..5]).unwrap();
    assert_eq!(folder.load().unwrap().contents().boots, 2);
    for (n, bad) in [&good[..good.len() - 1], b"somebody else's", b""].iter().enumerate() {
        fs::write(folder.0.join(STATE_FILE), bad).unwrap();
        assert_eq!(folder.load().unwrap().contents().boots, 1);
        let quarantined = folder.0.join(format!("books.bad-{}", n + 1));
        assert_eq!(fs::read(quarantined).unwrap(), *bad);
    }
    for _ in 3..9 {
        fs::write(folder.0.join(STATE_FILE), b"x").unwrap();
        folder.load().unwrap();
    }
    fs::write(folder.0.join(STATE_FILE), b"x").unwrap();
    assert!(folder.load().unwrap_err().to_string().contains("too many files"));
    assert_eq!(fs::read(folder.0.join(STATE_FILE)).unwrap(), b"x", "it was overwritten");
}

/// The error texts, which operators see if a process cannot start.
#[test]
fn errors_contain_the_folder_and_the_cause() {
    let config = StateConfig { folder: "/nowhere/at/all".into(), write_interval_s: 1, replicated: false };
    let error = SnapshotStore::load(&config, Vec::new(), None).unwrap_err().to_string();
    assert!(error.starts_with("state folder /nowhere/at/all: "), "{error}");
    let config = StateConfig { write_interval_s: 0, ..config };
    let error = SnapshotStore::load(&config, Vec::new(), None).unwrap_err().to_string();
    assert_eq!(error, "state folder /nowhere/at/all: every_s must be above 0");
}

/// Fails if the write at shutdown waits past its deadline for an earlier write that is blocked on the group.
#[test]
fn write_waits_for_an_earlier_one_until_its_deadline_at_the_latest() {
    let folder = Folder::new("waits");
    let store = folder.load().unwrap();
    let earlier = store.replica.lock().unwrap();
    let deadline = Instant::now() + Duration::from_millis(50);
    assert_eq!(store.replicate(b"state", 1, Some(deadline)), Err(ReplicaError::WriteInProgress));
    assert!(Instant::now() >= deadline);
    drop(earlier);
    assert_eq!(store.replicate(b"state", 1, Some(deadline)), Ok(()));
}
