//! Creation of a founding member's folder, and the start of a member from its folder.

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

/// Messages queued for the driver thread; when the queue is full, requests are rejected.
const QUEUE_CAPACITY: usize = 1024;
/// Stack of the driver thread, which decodes and applies the log.
const STACK_BYTES: usize = 2 * 1024 * 1024;
/// Attempts to open a folder that cannot be read or written at the start.
const OPEN_ATTEMPTS: usize = 10;
const OPEN_RETRY_INTERVAL: Duration = Duration::from_millis(200);
/// Random ids of joining members are drawn from this range, which is large enough that no id is likely to be reused.
const JOINING_IDS: std::ops::Range<u64> = 1 << 32..1 << 53;

/// A member cannot be founded or started.
#[derive(Debug, thiserror::Error)]
pub enum GroupStartError {
    /// The section `[group]` is invalid.
    #[error(transparent)]
    Config(#[from] GroupConfigError),
    /// The folder of a member cannot be used.
    #[error(transparent)]
    Disk(#[from] DiskError),
    /// The folder of a founding member cannot be created.
    #[error("{}: {source}", .folder.display())]
    FoundingDisk {
        /// The folder from the configuration.
        folder: PathBuf,
        /// The cause.
        source: Box<DiskError>,
    },
    /// The folder for a founding member already holds a log.
    #[error("{}: the folder already belongs to a member", .0.display())]
    FolderInUse(PathBuf),
    /// The founding member is rejected, for example because its id is not one of the founders'.
    #[error(transparent)]
    Member(#[from] StartError),
    /// The address for other members cannot be bound, or the accepting thread cannot be started.
    #[error("cannot listen for members at {address}: {source}")]
    ListenForMembers {
        /// The configured address.
        address: SocketAddr,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The address for clients cannot be bound, or the serving thread cannot be started.
    #[error("cannot listen for clients of the group at {address}: {source}")]
    ListenForClients {
        /// The configured address.
        address: SocketAddr,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The driver thread cannot be started.
    #[error("cannot start the group's thread: {0}")]
    Thread(#[source] io::Error),
}

/// A member whose driver thread is running.
#[derive(Debug)]
pub struct RunningMember {
    /// The member's id, from its folder.
    pub id: u64,
    /// The local address at which it listens for other members.
    pub listen: SocketAddr,
    /// Sends requests to the member.
    pub handle: MemberHandle,
    /// The member's status, updated by its thread.
    pub status: SharedStatus,
}

/// Creates the folder of a founding member. Each founder of a new group needs this once, before its first start.
///
/// # Errors
/// The configuration or the folder cannot be used. A folder that holds a log is not modified.
pub fn create_founder_folder(config: &GroupConfig, id: u64) -> Result<(), GroupStartError> {
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

/// Starts the member whose folder is configured.
///
/// # Errors
/// The configuration is invalid, the disk or an address cannot be used, or a thread cannot be started.
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

/// Opens the folder of a member, and restores the member from its log or creates a new one. A corrupt log is
/// quarantined, and the member rejoins under a new id: under its old id it could vote twice in a term, or lose an entry
/// that it has acknowledged.
fn open_member(config: &GroupConfig, limits: &ReplicationLimits) -> Result<(LogStorage, Member), DiskError> {
    let open = || open_log(config, limits);
    let (disk, member) = match retry_while_unavailable(open) {
        Ok(opened) => opened,
        // The log may be intact, and a member that rejoined as a new one would lose it.
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

/// Opens the folder, and restores the member whose log it holds, if any.
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

/// Retries while the disk fails with an error that may be temporary.
fn retry_while_unavailable<T>(mut open: impl FnMut() -> Result<T, DiskError>) -> Result<T, DiskError> {
    for _ in 1..OPEN_ATTEMPTS {
        match open() {
            Err(e) if !e.is_corrupt() => {
                log::warn!(target: "group", error:% = e; "member folder unavailable; retrying");
            }
            result => return result,
        }
        std::thread::sleep(OPEN_RETRY_INTERVAL);
    }
    open()
}

#[cfg(test)]
mod tests;
