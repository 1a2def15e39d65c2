//! Starts a coordinator process: each subsystem by a function of its own, in the order in which they need each other.
//!
//! Discovery's actor and the core come first, then the frontends, and the address for the platform's clients last, so
//! that nobody is accepted before all of it runs.

mod coordinator;
mod error;
mod frontends;
mod operations;
mod report;
mod subsystems;

use std::sync::Mutex;
use std::time::Duration;

use curlewdeck_listener::Inherited;

pub use coordinator::{ConfigChange, Coordinator};
pub use error::StartError;

use crate::config::{Config, Edge};
use crate::frontend::aggregation::Memory;
use crate::limits::Limits;
use crate::net::coordinator::{self as core_actor, CoreConfig};
use crate::net::endpoint_list_lease::EndpointListLease;
use crate::net::messages;
use crate::net::pending_updates::PendingUpdates;
use frontends::Frontends;
use subsystems::{node_starter, DiscoveryStart, ProcessContext};

/// How often a process that drains or ends looks for client connections that can be closed.
const CLOSING_CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// Configures the workers that run coroutines; once in a process, before anything else.
pub fn set_up_workers(limits: &Limits) {
    may::config().set_workers(limits.workers).set_stack_size(limits.stack_words).set_worker_pin(false);
}

/// Starts a coordinator.
///
/// # Errors
/// The first step that failed, in one line.
pub fn start(mut config: Config, edge: Edge) -> Result<Coordinator, StartError> {
    edge.check(&config.info)?;
    let applied_config = config.clone();
    let inherited = take_inherited_listener(&config)?;
    // Another version may serve beside this one from the same socket, within the same bounds.
    let other_processes = u32::from(inherited.is_some());
    let process = ProcessContext::new(&config, other_processes)?;
    let engine = process.engine(config.seed)?;

    let (core_mailbox, core_inbox) = messages::mailbox();
    let (pending_updates, lease) = (PendingUpdates::default(), EndpointListLease::default());
    let discovery = DiscoveryStart {
        address: config.discovery,
        seed: config.seed,
        known: config.known.take(),
        core: core_mailbox.clone(),
        pending_updates: pending_updates.clone(),
        lease: lease.clone(),
    };
    let (discovery, known_endpoints) = process.start_discovery(discovery)?;
    let start_node = node_starter(&edge.nodes, process.node_context(core_mailbox.clone(), pending_updates));

    let range_memory =
        edge.aggregation.as_ref().map(|_| Memory::new(&process.limits, process.deployment.shards));
    let group = process.start_replication(edge.group.as_ref())?;
    let snapshot_store = subsystems::load_snapshot_store(&edge, &config.name, group.as_ref())?;
    let restored = snapshot_store.as_ref().map(|store| store.kept());

    let core_config = CoreConfig {
        restored: restored.as_ref().map(|restored| restored.books.clone()),
        started: range_memory.as_ref().map(Memory::forgetting),
        ..process.core_config(engine, lease, config.control.is_some())
    };
    let core = core_actor::start(
        core_config,
        core_mailbox,
        core_inbox,
        known_endpoints,
        discovery.clone(),
        start_node,
    )
    .map_err(StartError::Core)?;

    let frontends = Frontends::new(&process, core.clone(), inherited.is_some());
    let features = frontends.start_features(edge.features.as_ref(), config.seed)?;
    let aggregation = frontends.start_aggregation(edge.aggregation.as_ref(), range_memory, config.seed)?;
    let stopping = frontends.start_alerts(edge.snmp.as_ref(), config.sockets)?;
    let snmp =
        frontends.start_snmp(edge.snmp.as_ref(), process.counters.clone(), group.as_ref(), restored)?;
    let control = frontends.start_control(config.control)?;
    let listen = frontends.listen_for_clients(config.listen, inherited)?;
    let service = frontends.service();
    service.lifecycle().listening();
    if let Some(control) = control {
        log::info!(name = config.name.as_str(), address:% = control; "listening for operators");
    }
    log::info!(name = config.name.as_str(), address:% = listen; "listening for clients");
    if let Some(store) = &snapshot_store {
        store.start(core.clone()).map_err(StartError::SnapshotWriter)?;
    }
    Ok(Coordinator {
        listen,
        control,
        ogc: features,
        desk: aggregation,
        snmp,
        group: group.map(|group| group.clients),
        core,
        service,
        limits: process.limits,
        discovery,
        snapshot_store,
        stopping,
        applied_config: Mutex::new(applied_config),
        edge,
        other_processes,
    })
}

/// The listening socket that another process handed over, if the environment names one.
fn take_inherited_listener(config: &Config) -> Result<Option<Inherited>, StartError> {
    let inherited = config.listen_fd.as_deref().map(Inherited::take).transpose();
    inherited.map_err(|error| StartError::InheritedListener(error.into()))
}
