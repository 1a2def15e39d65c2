//! What an earlier version has stored is read by this one, exactly, and a changed byte is found: the state folder's file, a
//! member's log, and sealed cursors with their keys.
//!
//! The fixtures were written by the program of commit 07ddbdb, before any stored type was renamed. They are never to be
//! written anew by a later version.

use std::collections::BTreeMap;
use std::path::{Path, PathBuf};

use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use base64::Engine;
use curlewdeck::replication::disk::{DiskError, LogStorage, StoredLog};
use curlewdeck::snapshot_store::{SnapshotContents, SnapshotStore, StateConfig, STATE_RECORD};
use curlewdeck_accounting::saved::{SavedClass, SavedLedger};
use curlewdeck_merge::cursor::{BadCursor, Cursor, Keys, Position, RangeProgress};
use curlewdeck_merge::query::{Op, Order, Query};
use curlewdeck_replication::{disk_format, Command, Member, RaftLog, ReplicationLimits};
use curlewdeck_snapshot::record;
use raft::eraftpb::EntryType;

fn fixture(path: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures").join(path)
}

/// A folder that is removed with it, with a copy of one file.
struct Copy {
    folder: PathBuf,
    file: PathBuf,
}

impl Copy {
    fn of(name: &str, file: &str, bytes: &[u8]) -> Self {
        let folder = std::env::temp_dir().join(format!("curlewdeck-stored-{name}-{}", std::process::id()));
        let _ = std::fs::remove_dir_all(&folder);
        std::fs::create_dir_all(&folder).unwrap();
        let file = folder.join(file);
        std::fs::write(&file, bytes).unwrap();
        Self { folder, file }
    }
}

impl Drop for Copy {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

// ---- The state folder. ----

/// What the process that wrote the fixture had counted at its first start.
fn state() -> SnapshotContents {
    let class = |name: &str, queue_full, ended, value_requested, value_served, latency_sum_ms| SavedClass {
        name: name.into(),
        queue_full,
        ended,
        value_requested,
        value_served,
        latency_sum_ms,
    };
    SnapshotContents {
        boots: 1,
        engine_id: vec![0x80, 0, 0x7e, 0xd9, 5, 1, 2, 3, 4, 5, 6, 7, 8],
        ledger: SavedLedger {
            classes: vec![
                class("monthly-settle", 0, [0; 6], 0, 0, 0),
                class("tag-lookup", 0, [7, 0, 0, 2, 0, 0], 9_000_000, 7_000_000, 15),
                class("plaza-ranking", 0, [3, 0, 0, 0, 0, 0], 9_000_000, 9_000_000, 13),
            ],
            retries: 0,
            hedges: 0,
            ended: [23, 0, 0, 0, 0, 0, 0, 2, 0],
            next_node_index: 4,
            nodes_evicted: 0,
            nodes_unlisted: 0,
        },
    }
}

fn load(folder: &Path) -> SnapshotContents {
    let config = StateConfig { folder: folder.to_owned(), write_interval_s: 1, replicated: false };
    SnapshotStore::load(&config, vec![9; 5], None).unwrap().contents()
}

#[test]
fn the_state_of_an_earlier_version_is_read() {
    let bytes = std::fs::read(fixture("state/books")).unwrap();
    assert_eq!(record::open(STATE_RECORD, &bytes), Ok(state()));
    assert_eq!(record::seal(STATE_RECORD, &state()), Some(bytes.clone()), "it is written in another form");
    let copy = Copy::of("state", "books", &bytes);
    let expected = SnapshotContents { boots: state().boots + 1, ..state() };
    assert_eq!(load(&copy.folder), expected);
}

#[test]
fn a_changed_byte_of_the_state_is_found() {
    let bytes = std::fs::read(fixture("state/books")).unwrap();
    for at in 0..bytes.len() {
        for bit in 0..8 {
            let mut changed = bytes.clone();
            changed[at] ^= 1 << bit;
            assert!(
                record::open::<SnapshotContents>(STATE_RECORD, &changed).is_err(),
                "bit {bit} of byte {at} changed and not found"
            );
        }
    }
    let mut changed = bytes.clone();
    changed[bytes.len() / 2] ^= 1;
    let copy = Copy::of("changed-state", "books", &changed);
    let begun_anew = SnapshotContents { boots: 1, engine_id: vec![9; 5], ..SnapshotContents::default() };
    assert_eq!(load(&copy.folder), begun_anew);
    let set_aside = std::fs::read(copy.folder.join("books.bad-1")).unwrap();
    assert_eq!(set_aside, changed, "it is lost");
}

// ---- A member's log. ----

const LOG_FILE: &str = "group.redb";

fn log_fixture() -> Vec<u8> {
    std::fs::read(fixture("replication").join(LOG_FILE)).unwrap()
}

/// What is stored, for comparison.
type MemberLog = (u64, RaftLog);

fn read_log(folder: &Path) -> Result<MemberLog, DiskError> {
    match LogStorage::open(folder)?.1 {
        StoredLog::Member { id, log } => Ok((id, *log)),
        StoredLog::Empty => panic!("the log is gone without a word"),
    }
}

/// What stands beside the commands: the member that proposed them, the number of its start and that of its request.
const PROPOSALS: [&str; 3] = ["03018580808010300c8634", "03018780808010505f464e", "0301888080801081c816cc"];

/// The commands after the snapshot, by their index.
fn commands() -> Vec<(u64, Command)> {
    let value = |text: &str| text.as_bytes().to_vec();
    vec![
        (7, Command::Put { key: "plaza-a".into(), value: value("value after the snapshot") }),
        (8, Command::CompareAndSet { key: "plaza-b".into(), version: 4, value: None }),
        (9, Command::Put { key: "plaza-d".into(), value: value("new key") }),
    ]
}

fn check_log((id, log): &MemberLog) {
    assert_eq!(*id, 1);
    let hard = log.hard_state();
    assert_eq!((hard.term, hard.vote, hard.commit), (2, 1, 9));
    assert_eq!(log.conf_state().voters, [1]);
    assert_eq!((log.snapshot_index(), log.last_snapshot().get_metadata().term), (6, 2));
    let entries: Vec<(u64, Command)> = log
        .entries_after_snapshot()
        .iter()
        .map(|e| (e.index, Command::from_entry_data(e.get_data()).unwrap()))
        .collect();
    assert_eq!(entries, commands());
    for (entry, request) in log.entries_after_snapshot().iter().zip(PROPOSALS) {
        assert_eq!((entry.term, entry.get_entry_type()), (2, EntryType::EntryNormal));
        assert_eq!(hex::encode(entry.get_context()), request);
    }
    let member = Member::recover(*id, log.clone(), ReplicationLimits::default()).unwrap();
    let map = member.map();
    let expected: [(&str, (&[u8], u64)); 4] = [
        ("lease", (b"holder 7", 6)),
        ("plaza-a", (b"value of plaza-a", 3)),
        ("plaza-b", (b"value of plaza-b", 4)),
        ("plaza-c", (b"value of plaza-c", 5)),
    ];
    for (key, (value, version)) in expected {
        let stored = map.get(key).unwrap_or_else(|| panic!("{key} is missing"));
        assert_eq!((&stored.value[..], stored.version), (value, version), "{key}");
    }
    assert_eq!((map.applied_index(), map.len()), (6, expected.len()));
}

#[test]
fn the_log_of_an_earlier_version_is_read() {
    let copy = Copy::of("log", LOG_FILE, &log_fixture());
    check_log(&read_log(&copy.folder).unwrap());
    assert_eq!(LogStorage::open(&copy.folder).unwrap().0.count_start().unwrap(), 2, "the count of starts");
    check_log(&read_log(&copy.folder).unwrap());
}

/// A changed byte of a record is found wherever it lies, since every record has a checksum of its own.
#[test]
fn a_changed_byte_of_a_record_of_the_log_is_found() {
    let bytes = log_fixture();
    let copy = Copy::of("changed-record", LOG_FILE, &bytes);
    let (_, log) = read_log(&copy.folder).unwrap();
    let mut records = vec![disk_format::encode(log.last_snapshot()), disk_format::encode(log.hard_state())];
    records.extend(log.entries_after_snapshot().iter().map(disk_format::encode));
    for record in records {
        let found = |(at, window): (usize, &[u8])| (window == record).then_some(at);
        let places: Vec<usize> = bytes.windows(record.len()).enumerate().filter_map(found).collect();
        assert!(!places.is_empty(), "a record is not on the disk as it is written now");
        for at in 0..record.len() {
            let mut changed = bytes.clone();
            places.iter().for_each(|place| changed[place + at] ^= 1);
            std::fs::write(&copy.file, changed).unwrap();
            let error = read_log(&copy.folder).expect_err("a changed record was believed");
            assert!(error.is_corrupt(), "{error}");
        }
    }
}

/// A byte that is changed anywhere in the file is found, or changes nothing of what is read: it lies where the store keeps
/// nothing any more.
#[test]
fn a_changed_byte_anywhere_in_the_log_never_changes_what_is_read() {
    let bytes = log_fixture();
    let copy = Copy::of("changed-log", LOG_FILE, &bytes);
    let (mut found, mut unchanged) = (0, 0);
    for at in (0..bytes.len()).step_by(149) {
        let mut changed = bytes.clone();
        changed[at] ^= 0x40;
        std::fs::write(&copy.file, changed).unwrap();
        match read_log(&copy.folder) {
            Ok(stored) => {
                check_log(&stored);
                unchanged += 1;
            }
            Err(error) => {
                assert!(error.is_corrupt(), "byte {at}: {error}");
                found += 1;
            }
        }
    }
    assert!(found > 0 && unchanged > 0, "{found} found, {unchanged} without effect");
}

// ---- Sealed cursors. ----

/// Cursors are of limited life: at this time, in seconds of Unix time, those of the fixtures can be used.
const NOW: u64 = 1_790_000_000;
/// The end of their life.
const UNTIL: u64 = 1_796_294_986;

fn text(name: &str) -> String {
    std::fs::read_to_string(fixture("cursors").join(name)).unwrap().trim().to_string()
}

fn keys() -> Keys {
    Keys::read(&text("keys")).unwrap()
}

/// The query whose first page gave the cursor of the aggregation frontend.
fn aggregation_query() -> Query {
    Query {
        set: "plazas".into(),
        op: Op::List,
        measure: "revenue".into(),
        scale: 2,
        order: Order::Desc,
        grouped: false,
        limit: 20,
        filter: BTreeMap::from([("zone".into(), "west".into())]),
    }
}

/// The query that the features frontend makes of `/collections/plazas/items?bbox=26,36,45,42&limit=5`.
fn features_query() -> Query {
    Query {
        set: "plazas".into(),
        op: Op::List,
        measure: "feature".into(),
        scale: 0,
        order: Order::Asc,
        grouped: false,
        limit: 5,
        filter: BTreeMap::from([("bbox".into(), "26,36,45,42".into())]),
    }
}

fn cursors() -> [(&'static str, Cursor); 2] {
    let reached = |place, version| RangeProgress { position: place, version };
    let after = reached(Position::After("plaza-04#1".into()), Some(1));
    let from = reached(Position::From("plaza-04#1".into()), Some(1));
    let aggregation = Cursor {
        query: aggregation_query().digest(),
        until: UNTIL,
        ranges: [vec![after; 2], vec![from; 4]].concat(),
    };
    let features = Cursor {
        query: features_query().digest(),
        until: UNTIL,
        ranges: vec![reached(Position::After("f0-4".into()), None); 6],
    };
    [("aggregation", aggregation), ("features", features)]
}

#[test]
fn cursors_of_an_earlier_version_are_opened() {
    for (name, cursor) in cursors() {
        let (text, ranges) = (text(name), cursor.ranges.len());
        assert_eq!(keys().open(&text, &cursor.query, ranges, NOW), Ok(cursor.clone()), "{name}");
        assert_eq!(keys().seal(&cursor), text, "{name}: it is sealed in another form");
        assert_eq!(
            keys().open(&text, &cursor.query, ranges, cursor.until),
            Err(BadCursor::Expired),
            "{name}"
        );
    }
}

#[test]
fn a_changed_byte_of_a_cursor_is_found() {
    for (name, cursor) in cursors() {
        let bytes = URL_SAFE_NO_PAD.decode(text(name)).unwrap();
        for at in 0..bytes.len() {
            for bit in 0..8 {
                let mut changed = bytes.clone();
                changed[at] ^= 1 << bit;
                let changed = URL_SAFE_NO_PAD.encode(changed);
                let opened = keys().open(&changed, &cursor.query, cursor.ranges.len(), NOW);
                // The first four bytes name the key.
                let expected = if at < 4 { BadCursor::UnknownKey } else { BadCursor::Forged };
                assert_eq!(opened, Err(expected), "{name}: bit {bit} of byte {at}");
            }
        }
    }
}
