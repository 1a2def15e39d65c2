//! A member's log on disk, in one `redb` file: the entries by index, the hard state, the last snapshot and the member's
//! own id. Each [`Persist`] is written in one transaction, synced before it returns (redb's immediate durability), so a
//! step's messages and answers leave only after its writes are on disk. Each value carries a CRC-32 of ours beside
//! redb's own checksums; anything not believed sets the whole folder aside, and the member comes back as a new one.

use std::fmt;
use std::io::ErrorKind;
use std::path::{Path, PathBuf};

use curlewdeck_replication::codec::Unsound;
use curlewdeck_replication::store::{from_disk, to_disk};
use curlewdeck_replication::{Persist, Store};
use raft::eraftpb::{Entry, HardState, Snapshot};
use redb::{Database, ReadableDatabase, ReadableTable, TableDefinition, TableError, WriteTransaction};

const ENTRIES: TableDefinition<u64, &[u8]> = TableDefinition::new("entries");
const META: TableDefinition<&str, &[u8]> = TableDefinition::new("meta");
const FILE: &str = "group.redb";

/// Why a member's folder is of no use now.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum DiskError {
    /// What is on the disk is torn or changed, and is not believed.
    Unsound(String),
    /// It could not be read or written now, or another process uses it; what is on it may be sound.
    Failed(String),
}

impl fmt::Display for DiskError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (Self::Unsound(why) | Self::Failed(why)) = self;
        write!(f, "the group's disk: {why}")
    }
}

impl std::error::Error for DiskError {}

fn fault(what: &str, e: impl Into<redb::Error>) -> DiskError {
    let error = e.into();
    let why = format!("{what}: {error}");
    match error {
        // A file that ends too soon, or is none of the store's.
        redb::Error::Io(e) if matches!(e.kind(), ErrorKind::UnexpectedEof | ErrorKind::InvalidData) => {
            DiskError::Unsound(why)
        }
        redb::Error::Io(_) | redb::Error::PreviousIo | redb::Error::DatabaseAlreadyOpen => {
            DiskError::Failed(why)
        }
        _ => DiskError::Unsound(why),
    }
}

fn read_fault(e: impl Into<redb::Error>) -> DiskError {
    fault("read", e)
}

fn write_fault(e: impl Into<redb::Error>) -> DiskError {
    fault("write", e)
}

/// What was found in a member's folder.
#[derive(Debug)]
pub enum Found {
    /// Nothing: a new member, under a new id.
    Nothing,
    /// The member's id and its log.
    Member(u64, Box<Store>),
}

/// A member's folder, open.
pub struct Disk {
    db: Database,
    folder: PathBuf,
}

impl fmt::Debug for Disk {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Disk").field("folder", &self.folder).finish()
    }
}

impl Disk {
    /// Opens the folder, made if it is missing, and reads what it holds.
    ///
    /// # Errors
    /// If the folder or file cannot be made or opened, or a value in it is torn or changed. The caller then calls
    /// [`set_aside`] and opens it again.
    pub fn open(folder: &Path) -> Result<(Self, Found), DiskError> {
        std::fs::create_dir_all(folder)
            .map_err(|e| DiskError::Failed(format!("cannot make {}: {e}", folder.display())))?;
        let db = Database::create(folder.join(FILE)).map_err(|e| fault("cannot open the file", e))?;
        let disk = Self { db, folder: folder.to_owned() };
        let found = disk.load()?;
        Ok((disk, found))
    }

    fn load(&self) -> Result<Found, DiskError> {
        let tx = self.db.begin_read().map_err(read_fault)?;
        let meta = match tx.open_table(META) {
            Ok(meta) => meta,
            Err(TableError::TableDoesNotExist(_)) => return Ok(Found::Nothing),
            Err(e) => return Err(read_fault(e)),
        };
        let get = |key: &str| -> Result<Option<Vec<u8>>, DiskError> {
            Ok(meta.get(key).map_err(read_fault)?.map(|v| v.value().to_vec()))
        };
        let Some(id) = get("id")? else { return Ok(Found::Nothing) };
        let id: [u8; 8] = id.try_into().map_err(|_| DiskError::Unsound("the member's id is torn".into()))?;
        let unsound = |what: &'static str| {
            move |why: Unsound| DiskError::Unsound(format!("the {what} is not believed: {why}"))
        };
        let image: Snapshot = match get("image")? {
            Some(bytes) => from_disk(&bytes).map_err(unsound("snapshot"))?,
            None => Snapshot::default(),
        };
        let hard: HardState = match get("hard")? {
            Some(bytes) => from_disk(&bytes).map_err(unsound("hard state"))?,
            None => HardState::default(),
        };
        let mut entries = Vec::new();
        let table = match tx.open_table(ENTRIES) {
            Ok(table) => Some(table),
            Err(TableError::TableDoesNotExist(_)) => None,
            Err(e) => return Err(read_fault(e)),
        };
        if let Some(table) = table {
            let rows = table.iter().map_err(read_fault)?;
            for (want, row) in (image.get_metadata().index + 1..).zip(rows) {
                let (index, bytes) = row.map_err(read_fault)?;
                let entry: Entry = from_disk(bytes.value()).map_err(unsound("log"))?;
                if index.value() != want || entry.index != want {
                    return Err(DiskError::Unsound(format!("the log has a gap at {want}")));
                }
                entries.push(entry);
            }
        }
        Ok(Found::Member(u64::from_le_bytes(id), Box::new(Store::recovered(image, hard, entries))))
    }

    /// Committed in two phases: otherwise a store whose last commit has changed on disk goes back to the one before it,
    /// without a word, and the member takes back what it has promised.
    fn begin(&self) -> Result<WriteTransaction, DiskError> {
        let mut tx = self.db.begin_write().map_err(write_fault)?;
        tx.set_two_phase_commit(true);
        Ok(tx)
    }

    /// Marks the folder as the one of member `id`.
    ///
    /// # Errors
    /// If it cannot be written.
    pub fn claim(&self, id: u64) -> Result<(), DiskError> {
        let tx = self.begin()?;
        {
            let mut meta = tx.open_table(META).map_err(write_fault)?;
            meta.insert("id", id.to_le_bytes().as_slice()).map_err(write_fault)?;
        }
        tx.commit().map_err(|e| fault("sync", e))
    }

    /// Counts a start with this folder: tickets of this life then differ from those of earlier ones.
    ///
    /// # Errors
    /// If it cannot be read or written.
    pub fn boot(&self) -> Result<u32, DiskError> {
        let tx = self.begin()?;
        let boot = {
            let mut meta = tx.open_table(META).map_err(write_fault)?;
            let before = meta.get("boot").map_err(read_fault)?.map_or(Ok([0; 4]), |v| v.value().try_into());
            let before = before.map_err(|_| DiskError::Unsound("the count of starts is torn".into()))?;
            let boot = u32::from_le_bytes(before).saturating_add(1);
            meta.insert("boot", boot.to_le_bytes().as_slice()).map_err(write_fault)?;
            boot
        };
        tx.commit().map_err(|e| fault("sync", e))?;
        Ok(boot)
    }

    /// Writes what a step hands out, in one transaction, synced.
    ///
    /// # Errors
    /// If it cannot be written: the member must then stop, since what it would send next may rest on it.
    pub fn write(&self, persist: &Persist) -> Result<(), DiskError> {
        if persist.is_empty() {
            return Ok(());
        }
        let tx = self.begin()?;
        {
            let mut entries = tx.open_table(ENTRIES).map_err(write_fault)?;
            let mut meta = tx.open_table(META).map_err(write_fault)?;
            if let Some(image) = &persist.image {
                let index = image.get_metadata().index;
                if persist.fresh {
                    entries.retain(|_, _| false).map_err(write_fault)?;
                } else {
                    entries.retain_in(0u64..=index, |_, _| false).map_err(write_fault)?;
                }
                meta.insert("image", to_disk(image).as_slice()).map_err(write_fault)?;
            }
            if let Some(first) = persist.entries.first() {
                // An entry replaces any at its index and all after it.
                entries.retain_in(first.index.., |_, _| false).map_err(write_fault)?;
            }
            for entry in &persist.entries {
                entries.insert(entry.index, to_disk(entry).as_slice()).map_err(write_fault)?;
            }
            if let Some(hard) = &persist.hard {
                meta.insert("hard", to_disk(hard).as_slice()).map_err(write_fault)?;
            }
        }
        tx.commit().map_err(|e| fault("sync", e))
    }

    /// The folder.
    pub fn folder(&self) -> &Path {
        &self.folder
    }
}

/// Moves a folder that is not believed out of the way, never over anything: `NAME.aside-N`.
///
/// # Errors
/// If it cannot be moved.
pub fn set_aside(folder: &Path) -> Result<PathBuf, DiskError> {
    for n in 1..1000 {
        let aside = PathBuf::from(format!("{}.aside-{n}", folder.display()));
        if !aside.exists() {
            std::fs::rename(folder, &aside)
                .map_err(|e| DiskError::Failed(format!("cannot set {} aside: {e}", folder.display())))?;
            return Ok(aside);
        }
    }
    Err(DiskError::Failed(format!("{} has been set aside 999 times", folder.display())))
}

#[cfg(test)]
mod tests {
    use super::*;
    use curlewdeck_replication::{Bounds, Member};

    fn folder(name: &str) -> PathBuf {
        let dir = std::env::temp_dir().join(format!("curlewdeck-disk-{}-{name}", std::process::id()));
        let _ = std::fs::remove_dir_all(&dir);
        dir
    }

    #[test]
    fn what_a_member_wrote_comes_back_and_a_flipped_byte_sets_the_folder_aside() {
        let dir = folder("back");
        let (disk, found) = Disk::open(&dir).unwrap();
        assert!(matches!(found, Found::Nothing));
        disk.claim(41).unwrap();
        let (_, out) = Member::found(41, &[41], Bounds::default()).unwrap();
        disk.write(&out.persist).unwrap();
        let mut entries = Vec::new();
        for index in 2..6 {
            let mut e = Entry::default();
            (e.index, e.term) = (index, 2);
            entries.push(e);
        }
        disk.write(&Persist { entries: entries.clone(), ..Persist::default() }).unwrap();
        let mut replaced = Entry::default();
        (replaced.index, replaced.term) = (4, 3);
        disk.write(&Persist { entries: vec![replaced.clone()], ..Persist::default() }).unwrap();
        drop(disk);
        let (disk, found) = Disk::open(&dir).unwrap();
        let Found::Member(id, store) = found else { panic!("nothing found") };
        assert_eq!(id, 41);
        assert_eq!(store.log(), &[entries[0].clone(), entries[1].clone(), replaced]);
        assert_eq!(store.image_index(), 1);
        drop(disk);
        // A byte of the last entry flipped on disk: found, and the folder goes aside whole.
        flip(&dir.join(FILE), &to_disk(&store.log()[2]));
        let err = Disk::open(&dir).expect_err("a changed entry was believed");
        let said = err.to_string();
        assert!(["not believed", "read", "cannot open"].iter().any(|w| said.contains(w)), "{err}");
        assert!(matches!(err, DiskError::Unsound(_)), "{err:?}");
        let aside = set_aside(&dir).unwrap();
        let (_, found) = Disk::open(&dir).unwrap();
        assert!(matches!(found, Found::Nothing));
        let _ = std::fs::remove_dir_all(&dir);
        let _ = std::fs::remove_dir_all(aside);
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

    /// Guards against a store that goes back to the commit before the last where that one has changed, after a process
    /// was killed: the member had told others that it holds it.
    #[test]
    fn a_changed_last_commit_is_not_taken_back() {
        let (dir, killed) = (folder("last"), folder("killed"));
        let (disk, _) = Disk::open(&dir).unwrap();
        disk.claim(7).unwrap();
        let (_, out) = Member::found(7, &[7], Bounds::default()).unwrap();
        disk.write(&out.persist).unwrap();
        for index in 2..5 {
            let mut entry = Entry::default();
            (entry.index, entry.term) = (index, 2);
            entry.set_data(format!("the entry at {index}").into_bytes().into());
            disk.write(&Persist { entries: vec![entry], ..Persist::default() }).unwrap();
        }
        // What a process leaves that never came to close its file.
        std::fs::create_dir_all(&killed).unwrap();
        std::fs::copy(dir.join(FILE), killed.join(FILE)).unwrap();
        flip(&killed.join(FILE), b"the entry at 4");
        let opened = Disk::open(&killed);
        assert!(matches!(opened, Err(DiskError::Unsound(_))), "it came back without its last entry");
        let _ = std::fs::remove_dir_all(&dir);
        let _ = std::fs::remove_dir_all(killed);
    }
}
