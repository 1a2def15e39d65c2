//! The state folder: what outlives the process, written by a thread of its own since files block. When and how is decided
//! in `curlewdeck-snapshot`; on the platform there is no such folder, and nothing is written.

use std::fs::{self, File, TryLockError};
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use curlewdeck_accounting::saved::SavedLedger;
use curlewdeck_snapshot::plan::{aside, other, Pace, Step, STEPS};
use curlewdeck_snapshot::record::{open, seal, Kind, MOST_BYTES};
use serde::{Deserialize, Serialize};

use crate::net::coordinator::CoreHandle;
use crate::runtime::{lock, nanos};

/// What the edge's file says of the state folder.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StateConfig {
    /// The folder; it must be there, and be this instance's own.
    pub folder: PathBuf,
    /// What has changed is written every so many seconds.
    #[serde(default = "ten")]
    pub every_s: u64,
    /// Whether it is copied to the group too, under the coordinator's name.
    #[serde(default)]
    pub copied: bool,
}

fn ten() -> u64 {
    10
}

/// A copy that outlives the machine with its disk.
pub trait SnapshotReplica: Send + std::fmt::Debug {
    /// What it holds, and at which version; waits until that is known.
    ///
    /// # Errors
    /// Why it is not.
    fn read(&mut self) -> Result<(Option<Vec<u8>>, u64), String>;

    /// Writes if it is still at that version; returns the new one.
    ///
    /// # Errors
    /// Why it is not known to be written.
    fn write(&mut self, bytes: &[u8], version: u64) -> Result<u64, String>;
}

/// The copy, and its version where that is known.
#[derive(Debug)]
struct Copied {
    copy: Box<dyn SnapshotReplica>,
    version: Option<u64>,
}

impl Copied {
    /// Reads it anew.
    fn found(&mut self) -> Result<Option<SnapshotContents>, String> {
        let (bytes, version) = self.copy.read()?;
        self.version = Some(version);
        match bytes.map(|bytes| open::<SnapshotContents>(KIND, &bytes)).transpose() {
            Ok(kept) => Ok(kept),
            Err(why) => Err(format!("what the group holds is not believed, {why}")),
        }
    }

    /// Writes it. After a write of which nothing is known it is read first: what it holds by then must be this process's.
    fn write(&mut self, bytes: &[u8], boots: u32) -> Result<(), String> {
        if self.version.is_none() && self.found()?.is_some_and(|kept| kept.boots > boots) {
            return Err("another process has taken over under this name".into());
        }
        let version = self.version.take().unwrap_or(0);
        self.version = Some(self.copy.write(bytes, version)?);
        Ok(())
    }
}

const FILE: &str = "books";
const LOCK: &str = "lock";
const KIND: Kind = Kind { what: 1, form: 1 };

/// What is kept.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct SnapshotContents {
    /// How often a process has begun with this folder.
    pub boots: u32,
    /// The management agent's engine id.
    pub engine: Vec<u8>,
    /// The books.
    pub books: SavedLedger,
}

/// The folder of this process.
#[derive(Debug)]
pub struct SnapshotStore {
    folder: PathBuf,
    every: Duration,
    /// As it was found, with this process's boots. Held while a file is written.
    kept: Mutex<(SnapshotContents, Pace)>,
    copied: Mutex<Option<Copied>>,
    begun: Instant,
    /// Locked for as long as this process lives: two that count in one folder would write over each other's totals, and
    /// give the same boots twice.
    _lock: File,
}

impl SnapshotStore {
    /// Reads the folder and counts this start; what is not believed is put aside. Nothing is served before the count is
    /// on the disk, so that no boots come twice.
    ///
    /// # Errors
    /// Names the folder and what is wrong with it.
    pub fn load(
        config: &StateConfig,
        engine: Vec<u8>,
        copy: Option<Box<dyn SnapshotReplica>>,
    ) -> Result<Self, String> {
        let folder = config.folder.clone();
        let wrong = |e: &dyn std::fmt::Display| format!("state folder {}: {e}", folder.display());
        if config.every_s == 0 {
            return Err(wrong(&"every_s must be above 0"));
        }
        let lock = File::create(folder.join(LOCK)).map_err(|e| wrong(&e))?;
        lock.try_lock().map_err(|e| match e {
            TryLockError::WouldBlock => wrong(&"another process uses it: end that one first"),
            TryLockError::Error(e) => wrong(&e),
        })?;
        let mut kept = match read(&folder.join(FILE)).map_err(|e| wrong(&e))? {
            None => SnapshotContents::default(),
            Some(bytes) => match open::<SnapshotContents>(KIND, &bytes) {
                Ok(kept) => kept,
                Err(why) => {
                    let name = put_aside(&folder).map_err(|e| wrong(&e))?;
                    log::error!(
                        "{}",
                        wrong(&format!("the books are not believed, {why}: put aside as {name}"))
                    );
                    SnapshotContents::default()
                }
            },
        };
        let mut copied = copy.map(|copy| Copied { copy, version: None });
        if let Some(copied) = &mut copied {
            // The folder is written first: at the same count it holds what is newer.
            match copied.found().map_err(|e| wrong(&e))? {
                Some(other) if other.boots > kept.boots => kept = other,
                _ => {}
            }
        }
        kept.boots = kept.boots.saturating_add(1);
        if kept.engine.is_empty() {
            kept.engine = engine;
        }
        let every = Duration::from_secs(config.every_s);
        let kept = Mutex::new((kept, Pace::new(nanos(every))));
        let copied = Mutex::new(copied);
        let keep = Self { folder, every, kept, copied, begun: Instant::now(), _lock: lock };
        let first = keep.lock().0.clone();
        let bytes = seal(KIND, &first).ok_or_else(|| "the state is too large".to_string())?;
        write(&keep.folder, &bytes).map_err(|e| format!("state folder {}: {e}", keep.folder.display()))?;
        keep.copy(&bytes, first.boots).map_err(|e| format!("the state's copy: {e}"))?;
        log::info!("start {} with the state in {}", first.boots, keep.folder.display());
        Ok(keep)
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, (SnapshotContents, Pace)> {
        lock(&self.kept)
    }

    /// What was found, with this process's boots.
    pub fn kept(&self) -> SnapshotContents {
        self.lock().0.clone()
    }

    /// Writes the books at their pace, in a thread of its own.
    ///
    /// # Errors
    /// There is no thread.
    pub fn start(self: &Arc<Self>, core: CoreHandle) -> io::Result<()> {
        let keep = self.clone();
        std::thread::Builder::new().name("keep".into()).spawn(move || loop {
            std::thread::sleep(keep.every);
            keep.write_now(&core, false);
        })?;
        Ok(())
    }

    /// Writes the books: if their pace allows, or in any case. Blocks.
    pub fn write_now(&self, core: &CoreHandle, in_any_case: bool) {
        let Some(books) = core.saved_ledger() else {
            return log::warn!("the books were not to be had in time");
        };
        let mut held = self.lock();
        let (kept, pace) = &mut *held;
        kept.books = books;
        let Some(bytes) = seal(KIND, kept) else { return log::error!("the state is too large to be kept") };
        let now = nanos(self.begun.elapsed());
        if !pace.wants(now, &bytes) && !in_any_case {
            return;
        }
        let written = write(&self.folder, &bytes);
        pace.wrote(now, &bytes, written.is_ok());
        let boots = kept.boots;
        drop(held);
        if let Err(e) = written {
            log::error!("state folder {}: {e}", self.folder.display());
        }
        if let Err(e) = self.copy(&bytes, boots) {
            log::error!("the state's copy: {e}");
        }
    }

    /// Copies it, where that is asked for.
    fn copy(&self, bytes: &[u8], boots: u32) -> Result<(), String> {
        let mut copied = lock(&self.copied);
        copied.as_mut().map_or(Ok(()), |copied| copied.write(bytes, boots))
    }
}

/// A file's bytes; none if it is not there.
fn read(path: &Path) -> io::Result<Option<Vec<u8>>> {
    match fs::metadata(path) {
        // A little more than any record has: it will not be believed.
        Ok(meta) if meta.len() > MOST_BYTES as u64 => Ok(Some(Vec::new())),
        Ok(_) => fs::read(path).map(Some),
        Err(e) if e.kind() == io::ErrorKind::NotFound => Ok(None),
        Err(e) => Err(e),
    }
}

/// Puts the file aside under the first name that is free.
fn put_aside(folder: &Path) -> io::Result<String> {
    let free = aside(FILE).find(|name| !folder.join(name).exists());
    let name = free.ok_or_else(|| io::Error::other("too many files were put aside: look at them"))?;
    fs::rename(folder.join(FILE), folder.join(&name))?;
    Ok(name)
}

/// Carries the steps out.
fn write(folder: &Path, bytes: &[u8]) -> io::Result<()> {
    let (file, new) = (folder.join(FILE), folder.join(other(FILE)));
    for step in STEPS {
        match step {
            Step::WriteOther => File::create(&new)?.write_all(bytes)?,
            Step::SyncOther => File::open(&new)?.sync_all()?,
            Step::Rename => fs::rename(&new, &file)?,
            Step::SyncFolder => File::open(folder)?.sync_all()?,
        }
    }
    Ok(())
}

#[cfg(test)]
mod tests {
    use super::*;

    /// A folder of its own that goes with it.
    struct Folder(PathBuf);

    impl Folder {
        fn new(name: &str) -> Self {
            let path =
                std::env::temp_dir().join(format!("curlewdeck-snapshot-{name}-{}", std::process::id()));
            let _ = fs::remove_dir_all(&path);
            fs::create_dir_all(&path).unwrap();
            Self(path)
        }

        fn config(&self) -> StateConfig {
            StateConfig { folder: self.0.clone(), every_s: 1, copied: false }
        }

        fn load(&self) -> Result<SnapshotStore, String> {
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
            let kept = folder.load().unwrap().kept();
            assert_eq!((kept.boots, kept.engine), (boots, vec![1, 2, 3, 4, 5]));
        }
    }

    /// A copy as a group keeps it, whose answer to a write may be lost.
    #[derive(Debug, Clone, Default)]
    struct Held(Arc<Mutex<Holding>>);

    /// The bytes, their version, and whether answers are lost.
    type Holding = (Option<Vec<u8>>, u64, bool);

    impl SnapshotReplica for Held {
        fn read(&mut self) -> Result<(Option<Vec<u8>>, u64), String> {
            let held = self.0.lock().unwrap();
            Ok((held.0.clone(), held.1))
        }

        fn write(&mut self, bytes: &[u8], version: u64) -> Result<u64, String> {
            let mut held = self.0.lock().unwrap();
            if held.1 != version {
                return Err(format!("it is at version {}", held.1));
            }
            (held.0, held.1) = (Some(bytes.to_vec()), version + 1);
            if held.2 {
                Err("not known".into())
            } else {
                Ok(version + 1)
            }
        }
    }

    /// Guards against boots that go back with the disk, and against two that count under one name. After a write of
    /// which nothing is known it goes on.
    #[test]
    fn the_copy_outlives_the_folder() {
        let held = Held::default();
        let load =
            |folder: &Folder| SnapshotStore::load(&folder.config(), vec![7], Some(Box::new(held.clone())));
        let first = Folder::new("copy");
        drop(load(&first).unwrap());
        let lost = load(&first).unwrap();
        assert_eq!(lost.kept().boots, 2);
        let bytes = seal(KIND, &SnapshotContents { boots: 2, ..SnapshotContents::default() }).unwrap();
        held.0.lock().unwrap().2 = true;
        assert!(lost.copy(&bytes, 2).is_err());
        held.0.lock().unwrap().2 = false;
        lost.copy(&bytes, 2).unwrap();
        let other = Folder::new("copied");
        assert_eq!(load(&other).unwrap().kept().boots, 3);
        assert!(lost.copy(&bytes, 2).is_err(), "it wrote over the one that took its place");
        assert!(lost.copy(&bytes, 2).unwrap_err().contains("another process"));
    }

    /// Guards against an old and a new version that write over each other's totals.
    #[test]
    fn a_folder_serves_one_process_at_a_time() {
        let folder = Folder::new("lock");
        let first = folder.load().unwrap();
        assert!(folder.load().unwrap_err().contains("another process uses it"));
        drop(first);
        assert_eq!(folder.load().unwrap().kept().boots, 2);
    }

    /// A torn or foreign file is put aside, never overwritten; what lies about of a write that was cut off is not read.
    #[test]
    fn what_is_not_believed_is_put_aside() {
        let folder = Folder::new("aside");
        folder.load().unwrap();
        let good = fs::read(folder.0.join(FILE)).unwrap();
        fs::write(folder.0.join("books.new"), &good[..5]).unwrap();
        assert_eq!(folder.load().unwrap().kept().boots, 2);
        for (n, bad) in [&good[..good.len() - 1], b"somebody else's", b""].iter().enumerate() {
            fs::write(folder.0.join(FILE), bad).unwrap();
            assert_eq!(folder.load().unwrap().kept().boots, 1);
            let aside = folder.0.join(format!("books.bad-{}", n + 1));
            assert_eq!(fs::read(aside).unwrap(), *bad);
        }
        for _ in 3..9 {
            fs::write(folder.0.join(FILE), b"x").unwrap();
            folder.load().unwrap();
        }
        fs::write(folder.0.join(FILE), b"x").unwrap();
        assert!(folder.load().unwrap_err().contains("too many files"));
        assert_eq!(fs::read(folder.0.join(FILE)).unwrap(), b"x", "it was overwritten");
    }

    #[test]
    fn a_folder_that_is_not_there_is_named() {
        let config = StateConfig { folder: "/nowhere/at/all".into(), every_s: 1, copied: false };
        assert!(SnapshotStore::load(&config, Vec::new(), None).unwrap_err().contains("/nowhere/at/all"));
    }
}
