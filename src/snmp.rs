//! UDP server of the SNMP agent: a coroutine that reads requests, takes a ledger snapshot at the start of each walk,
//! and sends responses. The protocol is implemented in `curlewdeck-snmp`, the objects are defined in [`crate::mib`].

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, SystemTime};

use curlewdeck_snmp::agent::{Agent, Bounds, Incoming};
use curlewdeck_snmp::tree::Tree;
use curlewdeck_snmp::walkers::{self, TreeSource, Walkers};
use may::net::UdpSocket;
use thiserror::Error;

use crate::api::Nanos;
use crate::config::{SnmpConfig, SnmpConfigError};
use crate::counters::Counters;
use crate::limits::Limits;
use crate::mib;
use crate::net::coordinator::CoreHandle;
use crate::replication::driver::SharedStatus;
use crate::runtime::{channel, nanos, sleep, spawn, SpawnError};

/// Reason that the SNMP agent failed to start.
#[derive(Debug, Error)]
pub enum SnmpStartError {
    /// The configuration is invalid.
    #[error(transparent)]
    Config(#[from] SnmpConfigError),
    /// Binding a UDP socket failed.
    #[error("cannot listen at {address}: {source}")]
    Listen {
        /// The local address to bind.
        address: SocketAddr,
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// Starting the agent's coroutine failed.
    #[error("{0}")]
    Spawn(#[source] SpawnError),
}

/// Builds the agent from its configuration and the restored engine id and boots; `restored` is `None` if nothing was
/// restored.
///
/// # Errors
/// The configuration is invalid. The error message describes the fault and contains no secrets.
pub fn build_agent(
    config: &SnmpConfig,
    limits: &Limits,
    restored: Option<(Vec<u8>, u32)>,
) -> Result<Agent, SnmpConfigError> {
    let bounds = Bounds { bindings: limits.snmp_bindings, bytes: limits.snmp_bytes };
    // A configured engine id takes precedence over the restored one.
    let (engine, boots) = match restored {
        Some((engine, boots)) if config.engine_id.is_none() => (engine, boots),
        Some((_, boots)) => (config.engine_id()?, boots),
        None => (config.engine_id()?, boots_from_clock()),
    };
    let access = config.access()?;
    let mut agent = Agent::new(bounds, engine, boots, mib::object_oids());
    if let Some((community, view)) = access.community {
        agent.set_community(community, view);
    }
    for admitted in access.users {
        agent.add_user(admitted.user, admitted.salt);
    }
    Ok(agent)
}

/// Unix time that [`boots_from_clock`] counts from.
const BOOTS_EPOCH_S: u64 = 1_700_000_000;

/// Engine boots for a process without persistent storage: seconds since [`BOOTS_EPOCH_S`]. The value increases from one
/// start to the next unless the clock is set back, and fits 31 bits until the year 2091.
fn boots_from_clock() -> u32 {
    let now = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).map_or(0, |d| d.as_secs());
    u32::try_from(now.saturating_sub(BOOTS_EPOCH_S)).unwrap_or(i32::MAX as u32).clamp(1, i32::MAX as u32 - 1)
}

const NANOS_PER_SECOND: Nanos = 1_000_000_000;
/// Pause after a failed receive; prevents a busy loop.
const RECEIVE_ERROR_PAUSE: Duration = Duration::from_millis(10);
/// Longest wait for a ledger snapshot. The request is dropped on timeout; managers retry.
const SNAPSHOT_TIMEOUT: Duration = Duration::from_millis(500);

/// Handles the datagrams of SNMP managers.
struct SnmpServer {
    agent: Agent,
    core: CoreHandle,
    counters: Arc<Counters>,
    group_status: Option<SharedStatus>,
    walkers: Walkers<SocketAddr>,
    started_at: Nanos,
}

impl SnmpServer {
    /// Builds a tree of the current values of all objects; `time_s` is the engine time in seconds. Returns `None` if
    /// the ledger snapshot times out.
    fn current_tree(&self, time_s: u32) -> Option<Tree> {
        let (sender, receiver) = channel();
        // Sending fails after the timeout, when the receiver has been dropped.
        self.core.ledger_snapshot(move |snapshot| drop(sender.send(snapshot)));
        let ledger = receiver.recv_timeout(SNAPSHOT_TIMEOUT).ok()?;
        let status = self.group_status.as_ref().map(SharedStatus::latest);
        let mut objects = mib::objects(&self.counters, &ledger, self.started_at, status.as_deref());
        objects.extend(self.agent.objects(time_s));
        Some(Tree::new(objects))
    }

    /// Returns the response to a datagram; `None` if the datagram is dropped.
    fn respond(&mut self, bytes: &[u8], from: SocketAddr) -> Option<Vec<u8>> {
        let now = self.core.clock.now();
        let time_s = (now.saturating_sub(self.started_at) / NANOS_PER_SECOND) as u32;
        let incoming = self.agent.read(bytes, time_s);
        Counters::set(&self.counters.snmp_denied, self.agent.denied());
        let request = match incoming {
            Incoming::Drop => return None,
            Incoming::Reply(bytes) => return Some(bytes),
            Incoming::Request(request) => request,
        };
        let position = request.walk_position();
        let tree = match self.walkers.tree_for(now, &from, position.as_deref()) {
            TreeSource::Existing(tree) => tree,
            TreeSource::New => {
                let tree = self.current_tree(time_s)?;
                self.walkers.add_tree(now, &from, position.as_deref(), tree)
            }
        };
        let response = self.agent.answer(&request, &tree, time_s)?;
        Counters::add(&self.counters.snmp_requests);
        Some(response)
    }
}

/// Starts the SNMP agent and returns its local address.
///
/// # Errors
/// The configuration is invalid, the address cannot be bound, or the coroutine cannot be started.
pub fn start(
    config: &SnmpConfig,
    core: CoreHandle,
    counters: Arc<Counters>,
    group_status: Option<SharedStatus>,
    limits: Arc<Limits>,
    restored: Option<(Vec<u8>, u32)>,
) -> Result<SocketAddr, SnmpStartError> {
    let listen_error = |source| SnmpStartError::Listen { address: config.listen, source };
    let agent = build_agent(config, &limits, restored)?;
    let socket = UdpSocket::bind(config.listen).map_err(listen_error)?;
    let local = socket.local_addr().map_err(listen_error)?;
    let walkers = Walkers::new(walkers::Bounds {
        max_walkers: limits.snmp_walkers,
        max_objects: limits.snmp_objects,
        idle_timeout: nanos(limits.snmp_walk_idle),
        max_walk_age: nanos(limits.snmp_walk),
        max_shared_age: nanos(limits.snmp_snapshot_max_age),
    });
    let started_at = core.clock.now();
    let mut server = SnmpServer { agent, core, counters, group_status, walkers, started_at };
    spawn("snmp", limits.core_stack_words, move || {
        let mut buffer = vec![0; limits.snmp_bytes];
        loop {
            let Ok((size, from)) = socket.recv_from(&mut buffer) else {
                sleep(RECEIVE_ERROR_PAUSE);
                continue;
            };
            if let Some(response) = server.respond(&buffer[..size], from) {
                if let Err(e) = socket.send_to(&response, from) {
                    log::debug!(peer:% = from, error:% = e; "cannot send SNMP response");
                }
            }
        }
    })
    .map_err(SnmpStartError::Spawn)?;
    Ok(local)
}
