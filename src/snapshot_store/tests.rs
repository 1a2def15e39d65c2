use super::directory::STATE_FILE;
use super::*;
use std::fs;

/// A state folder that is removed with it.
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
fn boots_never_come_twice_and_the_engine_stays() {
    let folder = Folder::new("boots");
    for boots in 1..5 {
        let contents = folder.load().unwrap().contents();
        assert_eq!((contents.boots, contents.engine_id), (boots, vec![1, 2, 3, 4, 5]));
    }
}

/// A replica in memory, whose answer to a write may be lost.
#[derive(Debug, Clone, Default)]
struct MemoryReplica(Arc<Mutex<MemoryReplicaState>>);

#[derive(Debug, Default)]
struct MemoryReplicaState {
    bytes: Option<Vec<u8>>,
    version: u64,
    answers_are_lost: bool,
    /// What another process of the same name writes right before the next write.
    written_meanwhile: Option<Vec<u8>>,
}

impl SnapshotReplica for MemoryReplica {
    fn read(&mut self, _deadline: Instant) -> Result<ReplicaValue, ReplicaError> {
        let state = self.0.lock().unwrap();
        Ok(ReplicaValue { bytes: state.bytes.clone(), version: state.version })
    }

    fn write(&mut self, bytes: &[u8], version: u64, _deadline: Instant) -> Result<u64, ReplicaError> {
        let mut state = self.0.lock().unwrap();
        if let Some(other) = state.written_meanwhile.take() {
            (state.bytes, state.version) = (Some(other), version + 1);
        }
        if state.version != version {
            return Err(ReplicaError::VersionMismatch { current: state.version });
        }
        (state.bytes, state.version) = (Some(bytes.to_vec()), version + 1);
        if state.answers_are_lost {
            Err(ReplicaError::NotCommitted("not known".into()))
        } else {
            Ok(version + 1)
        }
    }

    fn request_timeout(&self) -> Duration {
        Duration::from_secs(1)
    }
}

/// Guards against boots that go back with the disk, and against two that count under one name. After a write whose
/// outcome is not known it goes on.
#[test]
fn the_replica_outlives_the_folder() {
    let replica = MemoryReplica::default();
    let load =
        |folder: &Folder| SnapshotStore::load(&folder.config(), vec![7], Some(Box::new(replica.clone())));
    let first = Folder::new("replicated");
    drop(load(&first).unwrap());
    let lost = load(&first).unwrap();
    assert_eq!(lost.contents().boots, 2);
    let contents = SnapshotContents { boots: 2, ..SnapshotContents::default() };
    let bytes = record::seal(STATE_RECORD, &contents).unwrap();
    replica.0.lock().unwrap().answers_are_lost = true;
    assert!(lost.replicate(&bytes, 2, None).is_err());
    replica.0.lock().unwrap().answers_are_lost = false;
    lost.replicate(&bytes, 2, None).unwrap();
    let other = Folder::new("replaced");
    assert_eq!(load(&other).unwrap().contents().boots, 3);
    assert!(lost.replicate(&bytes, 2, None).is_err(), "it wrote over the one that took its place");
    assert_eq!(lost.replicate(&bytes, 2, None), Err(ReplicaError::Superseded));
    assert!(ReplicaError::Superseded.to_string().contains("another process"));
}

/// Guards against two processes of one name that count the same start, where the other one counts between this one's
/// read and its write; this one goes on, from the other one's totals.
#[test]
fn a_start_that_another_process_counted_meanwhile_is_counted_after_it() {
    let folder = Folder::new("meanwhile");
    for other_boots in [1, 4] {
        let replica = MemoryReplica::default();
        let ledger = SavedLedger { retries: 77, ..SavedLedger::default() };
        let other = SnapshotContents { boots: other_boots, engine_id: Vec::new(), ledger };
        replica.0.lock().unwrap().written_meanwhile = Some(record::seal(STATE_RECORD, &other).unwrap());
        let _ = fs::remove_file(folder.0.join(STATE_FILE));
        let loaded = SnapshotStore::load(&folder.config(), vec![7], Some(Box::new(replica.clone()))).unwrap();
        assert_eq!(loaded.contents().boots, other_boots + 1);
        assert_eq!(loaded.contents().engine_id, [7]);
        assert_eq!(loaded.contents().ledger.retries, 77, "totals went back");
        let held =
            record::open::<SnapshotContents>(STATE_RECORD, replica.0.lock().unwrap().bytes.as_ref().unwrap());
        assert_eq!(held.unwrap(), loaded.contents());
        let file = fs::read(folder.0.join(STATE_FILE)).unwrap();
        assert_eq!(record::open::<SnapshotContents>(STATE_RECORD, &file).unwrap(), loaded.contents());
    }
}

/// Guards against an old and a new version that write over each other's totals.
#[test]
fn a_folder_serves_one_process_at_a_time() {
    let folder = Folder::new("lock");
    let first = folder.load().unwrap();
    assert!(folder.load().unwrap_err().to_string().contains("another process uses it"));
    drop(first);
    assert_eq!(folder.load().unwrap().contents().boots, 2);
}

/// A torn or foreign file is quarantined, never overwritten; what is left of a write that was cut off is not read.
#[test]
fn a_file_that_cannot_be_used_is_quarantined() {
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

/// Guards the texts that an operator sees at the start.
#[test]
fn errors_name_the_folder_and_what_is_wrong_with_it() {
    let config = StateConfig { folder: "/nowhere/at/all".into(), write_interval_s: 1, replicated: false };
    let error = SnapshotStore::load(&config, Vec::new(), None).unwrap_err().to_string();
    assert!(error.starts_with("state folder /nowhere/at/all: "), "{error}");
    let config = StateConfig { write_interval_s: 0, ..config };
    let error = SnapshotStore::load(&config, Vec::new(), None).unwrap_err().to_string();
    assert_eq!(error, "state folder /nowhere/at/all: every_s must be above 0");
}

/// Guards the end of a process against an earlier write that still waits for its group.
#[test]
fn a_write_waits_no_longer_than_its_deadline_for_an_earlier_one() {
    let folder = Folder::new("waits");
    let store = folder.load().unwrap();
    let earlier = store.replica.lock().unwrap();
    let deadline = Instant::now() + Duration::from_millis(50);
    assert_eq!(store.replicate(b"state", 1, Some(deadline)), Err(ReplicaError::WriteInProgress));
    assert!(Instant::now() >= deadline);
    drop(earlier);
    assert_eq!(store.replicate(b"state", 1, Some(deadline)), Ok(()));
}
