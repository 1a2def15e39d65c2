//! A member of a group (`crates/replication`), carried out: its disk, the frames between members, its thread and the calls of
//! its clients. Off unless the operator's file names a group; never on the platform, which gives no lasting disk and no
//! talk between instances. Queries never wait for it: it has threads of its own. `docs/replication.md` is for operators.

pub mod api;
pub mod config;
pub mod disk;
pub mod driver;
pub mod peers;
pub mod tool;
pub mod wire;

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use curlewdeck_replication::{Answer, Bounds, Command, Outcome};

use crate::control;
use crate::limits::Limits;
use crate::snapshot_store::{ReplicaError, ReplicaValue, SnapshotReplica};
use config::GroupConfig;
use driver::{Ask, Inbox, Standings};

/// A member that runs in this process.
#[derive(Debug)]
pub struct Group {
    /// Where its clients are answered.
    pub clients: SocketAddr,
    /// How it stands.
    pub standings: Standings,
    inbox: Inbox,
    wait: Duration,
}

/// Starts the member and its calls.
///
/// # Errors
/// Says in one line what is out of place or cannot be had.
pub fn start(config: &GroupConfig, limits: &Arc<Limits>) -> Result<Group, String> {
    let running = driver::start(config)?;
    let bounds = Bounds::default();
    let retry_after = config.retry_after(&bounds);
    let wait = config.wait(&bounds) + retry_after;
    let (inbox, standings) = (running.inbox, running.standings);
    let api = api::Api { inbox: inbox.clone(), standings: standings.clone(), wait, retry_after };
    let cannot = |e: io::Error| format!("cannot listen for clients of the group at {}: {e}", config.control);
    let clients =
        control::start(config.control, Arc::new(api), limits.group_calls, limits.clone()).map_err(cannot)?;
    log::info!(target: "group", "member {} listens at {}, its clients at {clients}", running.id, running.listen);
    Ok(Group { clients, standings, inbox, wait })
}

impl Group {
    /// A copy of the state of the coordinator of that name.
    pub fn copy_of(&self, name: &str) -> Box<dyn SnapshotReplica> {
        Box::new(StateCopy { inbox: self.inbox.clone(), wait: self.wait, key: format!("state/{name}") })
    }
}

/// A coordinator's state as a key of the group.
#[derive(Debug)]
struct StateCopy {
    inbox: Inbox,
    wait: Duration,
    key: String,
}

/// A start waits so long for the group: one that came back with an empty folder has to be added first.
const START: Duration = Duration::from_secs(60);
const AGAIN: Duration = Duration::from_millis(200);

impl SnapshotReplica for StateCopy {
    fn read(&mut self) -> Result<ReplicaValue, ReplicaError> {
        let begun = Instant::now();
        loop {
            match self.inbox.ask(Ask::Read(self.key.clone()), self.wait) {
                Answer::Read(Some(slot)) => {
                    return Ok(ReplicaValue { bytes: Some(slot.value), version: slot.version })
                }
                Answer::Read(None) => return Ok(ReplicaValue { bytes: None, version: 0 }),
                _ if begun.elapsed() < START => std::thread::sleep(AGAIN),
                answer => return Err(ReplicaError::Unreadable(format!("{answer:?}"))),
            }
        }
    }

    fn write(&mut self, bytes: &[u8], version: u64) -> Result<u64, ReplicaError> {
        let swap = Command::Swap { key: self.key.clone(), version, value: Some(bytes.to_vec()) };
        match self.inbox.ask(Ask::Do(swap), self.wait) {
            Answer::Promised(Outcome::Written { version }) => Ok(version),
            Answer::Promised(Outcome::Refused(why)) => Err(ReplicaError::Rejected(why.to_string())),
            answer => Err(ReplicaError::NotCommitted(format!("{answer:?}"))),
        }
    }
}
