//! Replacing a file: after a stop at any point it holds the old or the new value, and the write rate is bounded.

use std::collections::BTreeMap;
use std::time::Duration;

use curlewdeck_snapshot::atomic_write::{quarantine_names, temporary_name, WriteStep, WRITE_STEPS};
use curlewdeck_snapshot::record::{open, seal, RecordKind};
use curlewdeck_snapshot::write_schedule::WriteSchedule;

const KIND: RecordKind = RecordKind { content: 1, version: 1 };

/// A directory after a machine crash: bytes that were not synced may be missing in part or entirely.
#[derive(Clone, Default)]
struct Directory(BTreeMap<&'static str, Vec<u8>>);

impl Directory {
    fn value(&self) -> Option<u64> {
        self.0.get("file").and_then(|bytes| open(KIND, bytes).ok())
    }
}

/// Replaces a file a thousand times, each time stopped at a different byte of a step. Fails if the file then holds
/// neither the old nor the new value. A leftover temporary file is overwritten by the next write.
#[test]
fn file_holds_the_old_or_the_new_value_after_a_stop_at_any_point() {
    let mut directory = Directory::default();
    let mut before = None;
    for value in 0..1000u64 {
        let bytes = seal(KIND, &value).unwrap();
        let stop = (value * 7919 % 4) as usize;
        let cut = (value * 104_729) as usize % (bytes.len() + 1);
        for (n, step) in WRITE_STEPS.iter().enumerate() {
            if n > stop {
                break;
            }
            match step {
                WriteStep::WriteTemporary => {
                    let cut = if n == stop { cut } else { bytes.len() };
                    directory.0.insert("file.new", bytes[..cut].to_vec());
                }
                WriteStep::Rename if n < stop || value % 2 == 0 => {
                    let new = directory.0.remove("file.new").unwrap();
                    directory.0.insert("file", new);
                }
                WriteStep::SyncTemporary | WriteStep::Rename | WriteStep::SyncDirectory => {}
            }
        }
        let found = directory.value();
        assert!(found == before || found == Some(value), "{found:?} after {before:?} and {value}");
        before = found;
    }
    assert!(before > Some(900));
}

/// Checks the test above: it would detect an implementation that writes to the file in place.
#[test]
fn partial_write_in_place_is_detected() {
    let (old, new) = (seal(KIND, &1u64).unwrap(), seal(KIND, &2u64).unwrap());
    // The new value is written, but its checksum is not.
    let at = new.len() - 4;
    let torn = [&new[..at], &old[at..]].concat();
    let directory = Directory([("file", torn)].into());
    assert_eq!(directory.value(), None);
}

#[test]
fn write_rate_is_bounded_and_reduced_after_a_failure() {
    let at = Duration::from_nanos;
    let mut schedule = WriteSchedule::new(at(100));
    assert!(schedule.should_write(at(0), b"a"));
    schedule.record_write(at(0), b"a", true);
    assert!(
        !schedule.should_write(at(99), b"b") && !schedule.should_write(at(100), b"a"),
        "too early, or unchanged"
    );
    assert!(!schedule.should_write(at(150), b"b") && schedule.should_write(at(200), b"b"));
    schedule.record_write(at(200), b"b", false);
    assert!(!schedule.should_write(at(399), b"b") && schedule.should_write(at(400), b"b"));
    schedule.record_write(at(400), b"b", false);
    assert_eq!(schedule.next_attempt(), at(800));
    assert_eq!(temporary_name("x"), "x.new");
    assert_eq!(quarantine_names("x").last().as_deref(), Some("x.bad-9"));
}
