use super::*;
use curlewdeck_replication::{Member, ReplicationLimits};

fn folder(name: &str) -> PathBuf {
    let dir = std::env::temp_dir().join(format!("curlewdeck-disk-{}-{name}", std::process::id()));
    let _ = std::fs::remove_dir_all(&dir);
    dir
}

#[test]
fn written_records_are_read_back_and_a_flipped_bit_is_detected() {
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
    // A flipped bit in the last entry on disk is detected, and the folder can be quarantined.
    flip_bit_in(&dir.join(LOG_FILE), &disk_format::encode(&log.entries_after_snapshot()[2]));
    let err = LogStorage::open(&dir).expect_err("a corrupt entry was accepted");
    let text = err.to_string();
    assert!(["is corrupt", "read", "cannot open"].iter().any(|w| text.contains(w)), "{err}");
    assert!(err.is_corrupt(), "{err:?}");
    let quarantined = quarantine(&dir).unwrap();
    let (_, stored) = LogStorage::open(&dir).unwrap();
    assert!(matches!(stored, StoredLog::Empty));
    let _ = std::fs::remove_dir_all(&dir);
    let _ = std::fs::remove_dir_all(quarantined);
}

/// Flips a bit in each occurrence of these bytes in the file.
fn flip_bit_in(file: &Path, pattern: &[u8]) {
    let mut bytes = std::fs::read(file).unwrap();
    let found = |(at, bytes): (usize, &[u8])| (bytes == pattern).then_some(at);
    let places: Vec<usize> = bytes.windows(pattern.len()).enumerate().filter_map(found).collect();
    assert!(!places.is_empty(), "the file does not contain the entry");
    places.into_iter().for_each(|at| bytes[at + 1] ^= 0x40);
    std::fs::write(file, bytes).unwrap();
}

/// Fails if the store silently falls back to the previous commit when the last one is corrupt after a process was
/// killed: the member has acknowledged the entries of the last commit.
#[test]
fn corrupt_last_commit_is_reported_and_not_rolled_back() {
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
    // The copy is the file of a killed process, which did not close it.
    std::fs::create_dir_all(&killed).unwrap();
    std::fs::copy(dir.join(LOG_FILE), killed.join(LOG_FILE)).unwrap();
    flip_bit_in(&killed.join(LOG_FILE), b"the entry at 4");
    let opened = LogStorage::open(&killed);
    assert!(opened.is_err_and(|e| e.is_corrupt()), "the file was opened without its last entry");
    let _ = std::fs::remove_dir_all(&dir);
    let _ = std::fs::remove_dir_all(killed);
}
