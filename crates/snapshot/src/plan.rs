//! What is to be done with files, and when: decided here, carried out elsewhere.

/// Nanoseconds of one clock that never runs backwards.
pub type Nanos = u64;

/// One step of writing a file, in this order. Stopped between any two, or in the middle of one, the file is the one
/// before or the new one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// Write all bytes to the other name, over whatever lies there.
    WriteOther,
    /// Sync that file.
    SyncOther,
    /// Rename it over the file.
    Rename,
    /// Sync the folder.
    SyncFolder,
}

/// The steps of writing a file.
pub const STEPS: [Step; 4] = [Step::WriteOther, Step::SyncOther, Step::Rename, Step::SyncFolder];

/// The other name.
pub fn other(name: &str) -> String {
    format!("{name}.new")
}

/// Names under which a file is put aside that is not believed, the first that is free being taken. After the last one
/// nothing is put aside any more, and nothing is written: the operator has to look.
pub fn aside(name: &str) -> impl Iterator<Item = String> + '_ {
    (1..=9).map(move |n| format!("{name}.bad-{n}"))
}

/// When to write: at a bounded rate, and only what has changed; after a failure later and later.
#[derive(Debug, Clone)]
pub struct Pace {
    every: Nanos,
    due: Nanos,
    failed: u32,
    last: Option<u32>,
}

/// A failure doubles the time to the next try, up to so many times.
const DOUBLINGS: u32 = 6;

impl Pace {
    /// Writes no more often than this; the first time at once.
    pub fn new(every: Nanos) -> Self {
        Self { every: every.max(1), due: 0, failed: 0, last: None }
    }

    /// When to look again.
    pub fn due(&self) -> Nanos {
        self.due
    }

    /// Whether these bytes are to be written now.
    pub fn wants(&mut self, now: Nanos, bytes: &[u8]) -> bool {
        if now < self.due {
            return false;
        }
        self.due = now.saturating_add(self.every);
        self.last != Some(crc32fast::hash(bytes))
    }

    /// These bytes were written, or could not be.
    pub fn wrote(&mut self, now: Nanos, bytes: &[u8], good: bool) {
        if good {
            (self.failed, self.last) = (0, Some(crc32fast::hash(bytes)));
        } else {
            self.failed = (self.failed + 1).min(DOUBLINGS);
            self.due = now.saturating_add(self.every << self.failed);
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::record::{open, seal, Kind};
    use std::collections::BTreeMap;

    const KIND: Kind = Kind { what: 1, form: 1 };

    /// A folder as a machine that stops leaves it: bytes that were not synced may be there in part or not at all.
    #[derive(Clone, Default)]
    struct Folder(BTreeMap<&'static str, Vec<u8>>);

    impl Folder {
        fn found(&self) -> Option<u64> {
            self.0.get("file").and_then(|bytes| open(KIND, bytes).ok())
        }
    }

    /// Stopped in the middle of any step, at any byte: what is found is the value before or the new one, and the next
    /// process writes over what lies about. A thousand values, each stopped at a place of its own.
    #[test]
    fn stopped_anywhere_the_value_is_the_old_or_the_new_one() {
        let mut folder = Folder::default();
        let mut before = None;
        for value in 0..1000u64 {
            let bytes = seal(KIND, &value).unwrap();
            let stop = (value * 7919 % 4) as usize;
            let cut = (value * 104_729) as usize % (bytes.len() + 1);
            for (n, step) in STEPS.iter().enumerate() {
                if n > stop {
                    break;
                }
                match step {
                    Step::WriteOther => {
                        let cut = if n == stop { cut } else { bytes.len() };
                        folder.0.insert("file.new", bytes[..cut].to_vec());
                    }
                    Step::Rename if n < stop || value % 2 == 0 => {
                        let new = folder.0.remove("file.new").unwrap();
                        folder.0.insert("file", new);
                    }
                    Step::SyncOther | Step::Rename | Step::SyncFolder => {}
                }
            }
            let found = folder.found();
            assert!(found == before || found == Some(value), "{found:?} after {before:?} and {value}");
            before = found;
        }
        assert!(before > Some(900));
    }

    /// The same check finds a plan that writes over the file itself.
    #[test]
    fn writing_in_place_would_be_found() {
        let (old, new) = (seal(KIND, &1u64).unwrap(), seal(KIND, &2u64).unwrap());
        // The new value is there, and its checksum is not yet.
        let at = new.len() - 4;
        let torn = [&new[..at], &old[at..]].concat();
        let folder = Folder([("file", torn)].into());
        assert_eq!(folder.found(), None);
    }

    #[test]
    fn the_rate_is_bounded_and_a_failure_slows_it() {
        let mut pace = Pace::new(100);
        assert!(pace.wants(0, b"a"));
        pace.wrote(0, b"a", true);
        assert!(!pace.wants(99, b"b") && !pace.wants(100, b"a"), "too early, or unchanged");
        assert!(!pace.wants(150, b"b") && pace.wants(200, b"b"));
        pace.wrote(200, b"b", false);
        assert!(!pace.wants(399, b"b") && pace.wants(400, b"b"));
        pace.wrote(400, b"b", false);
        assert_eq!(pace.due(), 800);
        assert_eq!(other("x"), "x.new");
        assert_eq!(aside("x").last().as_deref(), Some("x.bad-9"));
    }
}
