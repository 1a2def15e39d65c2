//! A member of a replication group (`crates/replication`) as part of this process: its disk, its connections to other
//! members, its thread, and the calls of its clients.
//!
//! There is one only if the operator's file names a group; on the platform, which gives no lasting disk and no connections
//! between instances, there is none. Queries never wait for it: it has threads of its own. `docs/replication.md` is for
//! operators.

mod api;
pub mod config;
pub mod disk;
pub mod driver;
pub mod member_handle;
mod peers;
mod snapshot_replica;
pub mod startup;
pub mod status;
pub mod tool;
pub mod wire;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use curlewdeck_replication::ReplicationLimits;

use crate::control;
use crate::limits::Limits;
use crate::snapshot_store::SnapshotReplica;
use api::ClientApi;
use config::GroupConfig;
use member_handle::MemberHandle;
use snapshot_replica::ReplicatedSnapshot;
pub use startup::GroupStartError;
use status::SharedStatus;

/// A member that runs in this process, with the calls of its clients.
#[derive(Debug)]
pub struct Group {
    /// Where its clients are served.
    pub clients_address: SocketAddr,
    /// Its status.
    pub status: SharedStatus,
    member: MemberHandle,
    request_timeout: Duration,
}

/// Starts the member, and serves its clients.
///
/// # Errors
/// The configuration is not usable, or the disk, an address or a thread cannot be had.
pub fn start(config: &GroupConfig, limits: &Arc<Limits>) -> Result<Group, GroupStartError> {
    let running = startup::start(config)?;
    let replication_limits = ReplicationLimits::default();
    let retry_after = config.retry_after(&replication_limits);
    let request_timeout = config.request_timeout(&replication_limits) + retry_after;
    let api = ClientApi {
        member: running.handle.clone(),
        status: running.status.clone(),
        request_timeout,
        retry_after,
    };
    let clients = control::start(config.control, Arc::new(api), limits.group_calls, limits.clone())
        .map_err(|source| GroupStartError::ListenForClients { address: config.control, source })?;
    log::info!(
        target: "group", member = running.id, members_address:% = running.listen,
        clients_address:% = clients;
        "member started"
    );
    Ok(Group { clients_address: clients, status: running.status, member: running.handle, request_timeout })
}

impl Group {
    /// The replica of the state of the coordinator with this name.
    pub fn snapshot_replica(&self, name: &str) -> Box<dyn SnapshotReplica> {
        Box::new(ReplicatedSnapshot::new(self.member.clone(), self.request_timeout, name))
    }
}
