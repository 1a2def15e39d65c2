//! Makes the folder of a founding member, and starts a member from its folder.

use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use curlewdeck_replication::{Member, ReplicationLimits, StartError};

use super::config::{GroupConfig, GroupConfigError};
use super::disk::{self, DiskError, LogStorage, StoredLog};
use super::driver::Driver;
use super::member_handle::MemberHandle;
use super::peers::{self, Peers};
use super::status::SharedStatus;
use crate::runtime::thread;

/// Messages that wait for the member; past them requests are rejected.
const QUEUE_CAPACITY: usize = 1024;
/// The log is parsed and applied on this stack.
const STACK_BYTES: usize = 2 * 1024 * 1024;
/// A folder that cannot be read or written at the start is tried this often.
const OPEN_ATTEMPTS: usize = 10;
const OPEN_RETRY_INTERVAL: Duration = Duration::from_millis(200);
/// The ids of members that join: drawn from far more than there will ever be members, so that none is used again.
const JOINING_IDS: std::ops::Range<u64> = 1 << 32..1 << 53;

/// Why a member cannot be founded or started.
#[derive(Debug, thiserror::Error)]
pub enum GroupStartError {
    /// The configuration is not usable.
    #[error(transparent)]
    Config(#[from] GroupConfigError),
    /// The folder of a member cannot be used.
    #[error(transparent)]
    Disk(#[from] DiskError),
    /// The folder of a founding member cannot be made.
    #[error("{}: {source}", .folder.display())]
    FoundingDisk {
        /// The folder.
        folder: PathBuf,
        /// Why not.
        source: Box<DiskError>,
    },
    /// The folder of a founding member holds a log.
    #[error("{}: it belongs to a member already", .0.display())]
    FolderInUse(PathBuf),
    /// The member cannot be founded.
    #[error(transparent)]
    Member(#[from] StartError),
    /// The address for other members cannot be used.
    #[error("cannot listen for members at {address}: {source}")]
    ListenForMembers {
        /// The address.
        address: SocketAddr,
        /// Why not.
        source: io::Error,
    },
    /// The address for clients cannot be used.
    #[error("cannot listen for clients of the group at {address}: {source}")]
    ListenForClients {
        /// The address.
        address: SocketAddr,
        /// Why not.
        source: io::Error,
    },
    /// The member's thread cannot be started.
    #[error("no thread for the group: {0}")]
    Thread(#[source] io::Error),
}

/// A member that runs.
#[derive(Debug)]
pub struct RunningMember {
    /// Its id.
    pub id: u64,
    /// Where it listens for other members.
    pub listen: SocketAddr,
    /// Sends requests to it.
    pub handle: MemberHandle,
    /// Its status.
    pub status: SharedStatus,
}

/// Makes the folder of a founding member: once for each founder of a new group, before it first starts.
///
/// # Errors
/// The configuration or the folder cannot be used. A folder that holds a log is left as it is.
pub fn found(config: &GroupConfig, id: u64) -> Result<(), GroupStartError> {
    config.check()?;
    let voters: Vec<u64> = config.members()?.into_keys().collect();
    let in_folder = |e| GroupStartError::FoundingDisk { folder: config.folder.clone(), source: Box::new(e) };
    let (disk, stored) = LogStorage::open(&config.folder).map_err(in_folder)?;
    if !matches!(stored, StoredLog::Empty) {
        return Err(GroupStartError::FolderInUse(config.folder.clone()));
    }
    let (_, output) = Member::bootstrap(id, &voters, ReplicationLimits::default())?;
    disk.write(&output.writes).and_then(|()| disk.set_member_id(id)).map_err(in_folder)
}

/// Starts the member of a folder.
///
/// # Errors
/// The configuration is not usable, or the disk, an address or a thread cannot be had.
pub fn start(config: &GroupConfig) -> Result<RunningMember, GroupStartError> {
    config.check()?;
    let configured_addresses = config.members()?;
    let (disk, member) = open_member(config, &ReplicationLimits::default())?;
    let (handle, messages) = MemberHandle::with_capacity(QUEUE_CAPACITY);
    let id = member.id();
    let listen = peers::listen(config.listen, handle.clone())
        .map_err(|source| GroupStartError::ListenForMembers { address: config.listen, source })?;
    let peers = Peers::new(id, handle.clone());
    let mut driver = Driver::new(member, disk, peers, configured_addresses, config.tick());
    let status = driver.status();
    thread("group", STACK_BYTES, move || driver.run(&messages)).map_err(GroupStartError::Thread)?;
    Ok(RunningMember { id, listen, handle, status })
}

/// Opens the folder of a member: with its log, or new. A log that is torn or changed is quarantined, and the member comes
/// back as a new one: under its old id it might take back a vote, or an entry that it has acknowledged.
fn open_member(config: &GroupConfig, limits: &ReplicationLimits) -> Result<(LogStorage, Member), DiskError> {
    let open = || open_log(config, limits);
    let (disk, member) = match retry_while_unavailable(open) {
        Ok(opened) => opened,
        // The log may be sound, and a member that came back as a new one would no longer hold it.
        Err(e) if !e.is_corrupt() => return Err(e),
        Err(e) => {
            let quarantined = disk::quarantine(&config.folder)?;
            log::error!(
                target: "group", error:% = e, quarantined_as:% = quarantined.display();
                "log cannot be used: folder quarantined"
            );
            open()?
        }
    };
    let start = disk.count_start()?;
    let member = match member {
        Some(member) => member,
        None => join_as_new_member(&disk, limits)?,
    };
    Ok((disk, member.with_start_number(start)))
}

/// The folder, and the member whose log it holds, if any.
fn open_log(
    config: &GroupConfig,
    limits: &ReplicationLimits,
) -> Result<(LogStorage, Option<Member>), DiskError> {
    match LogStorage::open(&config.folder)? {
        (disk, StoredLog::Empty) => Ok((disk, None)),
        (disk, StoredLog::Member { id, log }) => {
            let member = Member::recover(id, *log, limits.clone())?;
            Ok((disk, Some(member)))
        }
    }
}

fn join_as_new_member(disk: &LogStorage, limits: &ReplicationLimits) -> Result<Member, DiskError> {
    let id = fastrand::u64(JOINING_IDS);
    disk.set_member_id(id)?;
    log::info!(target: "group", member = id; "new member waits to be added: curlewdeck group add");
    Ok(Member::join(id, limits.clone())?)
}

/// Tries again while a disk fails that may recover.
fn retry_while_unavailable<T>(mut open: impl FnMut() -> Result<T, DiskError>) -> Result<T, DiskError> {
    for _ in 1..OPEN_ATTEMPTS {
        match open() {
            Err(e) if !e.is_corrupt() => {
                log::warn!(target: "group", error:% = e; "folder cannot be used now");
            }
            result => return result,
        }
        std::thread::sleep(OPEN_RETRY_INTERVAL);
    }
    open()
}

#[cfg(test)]
mod tests;
