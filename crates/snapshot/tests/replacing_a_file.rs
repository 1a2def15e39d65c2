//! Replacing a file: stopped anywhere it holds the old value or the new one, and it is replaced at a bounded rate.

use std::collections::BTreeMap;
use std::time::Duration;

use curlewdeck_snapshot::atomic_write::{quarantine_names, temporary_name, WriteStep, WRITE_STEPS};
use curlewdeck_snapshot::record::{open, seal, RecordKind};
use curlewdeck_snapshot::write_schedule::WriteSchedule;

const KIND: RecordKind = RecordKind { content: 1, version: 1 };

/// A directory as a machine that stops leaves it: bytes that were not synced may be there in part or not at all.
#[derive(Clone, Default)]
struct Directory(BTreeMap<&'static str, Vec<u8>>);

impl Directory {
    fn value(&self) -> Option<u64> {
        self.0.get("file").and_then(|bytes| open(KIND, bytes).ok())
    }
}

/// Stopped in the middle of any step, at any byte: the value is the old or the new one, and the next process writes over
/// what is left of the temporary file. A thousand values, each stopped at a place of its own.
#[test]
fn stopped_anywhere_the_value_is_the_old_or_the_new_one() {
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

/// The same check finds steps that write over the file itself.
#[test]
fn writing_in_place_would_be_found() {
    let (old, new) = (seal(KIND, &1u64).unwrap(), seal(KIND, &2u64).unwrap());
    // The new value is there, and its checksum is not yet.
    let at = new.len() - 4;
    let torn = [&new[..at], &old[at..]].concat();
    let directory = Directory([("file", torn)].into());
    assert_eq!(directory.value(), None);
}

#[test]
fn the_rate_is_bounded_and_a_failure_slows_it() {
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
