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
use crate::limits::Limits;
use frontends::{Frontends, StartedFrontends};
use subsystems::{ProcessContext, Subsystems};

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
    edge.check(&config.deployment)?;
    let applied_config = config.clone();
    let inherited = take_inherited_listener(&config)?;
    // Another version may serve beside this one from the same socket, within the same bounds.
    let other_processes = u32::from(inherited.is_some());
    let process = ProcessContext::new(&config, other_processes)?;
    if edge.group.is_some() {
        // A member whose process ends again is a vote that the others lose.
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

/// The listening socket that another process handed over, if the environment names one.
fn take_inherited_listener(config: &Config) -> Result<Option<Inherited>, StartError> {
    let inherited = config.listen_fd.as_deref().map(Inherited::take).transpose();
    inherited.map_err(StartError::InheritedListener)
}
