//! A member of a replication group (`crates/replication`) that runs in this process: its disk, its connections to other
//! members, its thread, and the calls of its clients.
//!
//! A member runs only if the operator's file has a section `[group]`. On the platform there is none, because instances
//! have no persistent disk and no connections between each other. The member has dedicated threads, so queries never
//! wait for it. `docs/replication.md` is for operators.

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

/// A running member and the server for its clients.
#[derive(Debug)]
pub struct Group {
    /// The address at which clients and operators are served.
    pub clients_address: SocketAddr,
    /// The member's status, updated by its thread.
    pub status: SharedStatus,
    member: MemberHandle,
    request_timeout: Duration,
}

/// Starts the member and the server for its clients.
///
/// # Errors
/// The configuration is invalid, the disk or an address cannot be used, or a thread cannot be started.
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
    /// Returns the replica of the state of the coordinator with this name.
    pub fn snapshot_replica(&self, name: &str) -> Box<dyn SnapshotReplica> {
        Box::new(ReplicatedSnapshot::new(self.member.clone(), self.request_timeout, name))
    }
}
