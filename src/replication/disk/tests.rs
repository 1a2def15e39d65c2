use super::*;
use curlewdeck_replication::{Member, ReplicationLimits};

fn folder(name: &str) -> PathBuf {
    let dir = std::env::temp_dir().join(format!("curlewdeck-disk-{}-{name}", std::process::id()));
    let _ = std::fs::remove_dir_all(&dir);
    dir
}

#[test]
fn what_a_member_wrote_is_read_again_and_a_flipped_byte_is_found() {
    let dir = folder("back");
    let (disk, stored) = LogStorage::open(&dir).unwrap();
    assert!(matches!(stored, StoredLog::Empty));
    disk.set_member_id(41).unwrap();
    let (_, output) = Member::bootstrap(41, &[41], ReplicationLimits::default()).unwrap();
    disk.write(&output.writes).unwrap();
    let mut entries = Vec::new();
    for index in 2..6 {
        let mut e = Entry::default();
        (e.index, e.term) = (index, 2);
        entries.push(e);
    }
    disk.write(&DurableWrites { entries: entries.clone(), ..DurableWrites::default() }).unwrap();
    let mut replaced = Entry::default();
    (replaced.index, replaced.term) = (4, 3);
    disk.write(&DurableWrites { entries: vec![replaced.clone()], ..DurableWrites::default() }).unwrap();
    drop(disk);
    let (disk, stored) = LogStorage::open(&dir).unwrap();
    let StoredLog::Member { id, log } = stored else { panic!("nothing found") };
    assert_eq!(id, 41);
    assert_eq!(log.entries_after_snapshot(), &[entries[0].clone(), entries[1].clone(), replaced]);
    assert_eq!(log.snapshot_index(), 1);
    drop(disk);
    // A byte of the last entry flipped on disk: found, and the whole folder is quarantined.
    flip(&dir.join(LOG_FILE), &disk_format::encode(&log.entries_after_snapshot()[2]));
    let err = LogStorage::open(&dir).expect_err("a changed entry was believed");
    let said = err.to_string();
    assert!(["not believed", "read", "cannot open"].iter().any(|w| said.contains(w)), "{err}");
    assert!(err.is_corrupt(), "{err:?}");
    let quarantined = quarantine(&dir).unwrap();
    let (_, stored) = LogStorage::open(&dir).unwrap();
    assert!(matches!(stored, StoredLog::Empty));
    let _ = std::fs::remove_dir_all(&dir);
    let _ = std::fs::remove_dir_all(quarantined);
}

/// Flips a bit wherever the file has these bytes.
fn flip(file: &Path, mark: &[u8]) {
    let mut bytes = std::fs::read(file).unwrap();
    let found = |(at, bytes): (usize, &[u8])| (bytes == mark).then_some(at);
    let places: Vec<usize> = bytes.windows(mark.len()).enumerate().filter_map(found).collect();
    assert!(!places.is_empty(), "the entry is not on disk as written");
    places.into_iter().for_each(|at| bytes[at + 1] ^= 0x40);
    std::fs::write(file, bytes).unwrap();
}

/// Guards against a store that silently goes back to the commit before the last one if that has changed, after a process
/// was killed: the member has acknowledged it.
#[test]
fn a_changed_last_commit_is_not_silently_undone() {
    let (dir, killed) = (folder("last"), folder("killed"));
    let (disk, _) = LogStorage::open(&dir).unwrap();
    disk.set_member_id(7).unwrap();
    let (_, output) = Member::bootstrap(7, &[7], ReplicationLimits::default()).unwrap();
    disk.write(&output.writes).unwrap();
    for index in 2..5 {
        let mut entry = Entry::default();
        (entry.index, entry.term) = (index, 2);
        entry.set_data(format!("the entry at {index}").into_bytes().into());
        disk.write(&DurableWrites { entries: vec![entry], ..DurableWrites::default() }).unwrap();
    }
    // What a process leaves that never came to close its file.
    std::fs::create_dir_all(&killed).unwrap();
    std::fs::copy(dir.join(LOG_FILE), killed.join(LOG_FILE)).unwrap();
    flip(&killed.join(LOG_FILE), b"the entry at 4");
    let opened = LogStorage::open(&killed);
    assert!(opened.is_err_and(|e| e.is_corrupt()), "it came back without its last entry");
    let _ = std::fs::remove_dir_all(&dir);
    let _ = std::fs::remove_dir_all(killed);
}
