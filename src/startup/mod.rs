//! Starts a coordinator process. Subsystems start in the order of their dependencies.
//!
//! The discovery actor and the core start first, then the frontends. The listener for the platform's clients starts
//! last, so that no client is accepted before the whole process is running.

mod coordinator;
mod error;
mod frontends;
mod operations;
mod report;
mod subsystems;

use std::sync::Mutex;
use std::time::Duration;

use curlewdeck_listener::InheritedListener;

pub use coordinator::{ConfigChange, Coordinator};
pub use error::StartError;

use crate::config::{Config, EdgeConfig};
use crate::limits::Limits;
use frontends::{Frontends, StartedFrontends};
use subsystems::{ProcessContext, Subsystems};

/// The interval at which a draining or finishing process checks for client connections to close.
const CLOSING_CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// Configures the worker threads that run coroutines. Must be called once per process, before anything else.
pub fn set_up_workers(limits: &Limits) {
    may::config()
        .set_workers(limits.workers)
        .set_stack_size(limits.stack_words)
        .set_pool_capacity(limits.spare_stacks)
        .set_worker_pin(false);
}

/// Starts a coordinator that serves clients when this returns.
///
/// # Errors
/// The first step that failed.
pub fn start(mut config: Config, edge: EdgeConfig) -> Result<Coordinator, StartError> {
    edge.check(&config.deployment)?;
    let applied_config = config.clone();
    let inherited = take_inherited_listener(&config)?;
    // Another version of the program may still serve from the inherited socket; both share the platform's bounds.
    let other_processes = u32::from(inherited.is_some());
    let process = ProcessContext::new(&config, other_processes)?;
    if edge.group.is_some() {
        // Fails before the member starts: one that joins and exits again costs the group a vote.
        frontends::check_addresses(&config, &edge)?;
    }
    let mut subsystems = Subsystems::start(&process, &mut config, &edge)?;
    let frontends = Frontends::new(&process, subsystems.core.clone(), inherited.is_some());
    let started = frontends.start_all(&config, &edge, &mut subsystems, inherited)?;
    let service = frontends.service();
    service.lifecycle().listening();
    log_addresses(&config.name, &started);
    if let Some(store) = &subsystems.snapshot_store {
        store.start_writing(subsystems.core.clone()).map_err(StartError::SnapshotWriter)?;
    }
    Ok(Coordinator {
        listen: started.listen,
        control: started.control,
        features: started.features,
        aggregation: started.aggregation,
        snmp: started.snmp,
        group: subsystems.group.map(|group| group.clients_address),
        core: subsystems.core,
        service,
        limits: process.limits,
        discovery: subsystems.discovery,
        snapshot_store: subsystems.snapshot_store,
        stopping: started.stopping,
        applied_config: Mutex::new(applied_config),
        edge,
        other_processes,
    })
}

fn log_addresses(name: &str, started: &StartedFrontends) {
    if let Some(control) = started.control {
        log::info!(name = name, address:% = control; "listening for operators");
    }
    log::info!(name = name, address:% = started.listen; "listening for clients");
}

/// Takes over the listening socket of another process, if `LB_LISTEN_FD` names one.
fn take_inherited_listener(config: &Config) -> Result<Option<InheritedListener>, StartError> {
    let inherited = config.listen_fd.as_deref().map(InheritedListener::take).transpose();
    inherited.map_err(StartError::InheritedListener)
}
