//! Starts the frontends: one for each protocol of clients, SNMP managers and operators.

use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::sync::Arc;

use curlewdeck_lifecycle::{DrainTimings, Lifecycle};
use curlewdeck_listener::InheritedListener;

use super::operations::CoordinatorOperations;
use super::subsystems::{ProcessContext, Subsystems};
use super::StartError;
use crate::alerts::{self, ShutdownSignal};
use crate::config::{AggregationConfig, Config, EdgeConfig, FeaturesConfig, SnmpConfig};
use crate::control::{self, Operations};
use crate::frontend::aggregation::{AggregationFrontend, SharedRangeCache};
use crate::frontend::features::FeaturesFrontend;
use crate::frontend::http_server::{self, Frontend, FrontendContext, Service};
use crate::frontend::platform::PlatformFrontend;
use crate::net::coordinator::CoreHandle;
use crate::replication::{Group, GroupStartError};
use crate::runtime::{nanos, Permits};
use crate::snapshot_store::SnapshotContents;
use crate::snmp::{self, SnmpStartError};

/// Starts frontends that share the limits on client connections and the lifecycle of the process.
pub(super) struct Frontends {
    shared: FrontendContext,
}

/// The addresses of the frontends; `None` for one that is disabled.
pub(super) struct StartedFrontends {
    /// The address for the platform's clients.
    pub(super) listen: SocketAddr,
    pub(super) control: Option<SocketAddr>,
    pub(super) features: Option<SocketAddr>,
    pub(super) aggregation: Option<SocketAddr>,
    pub(super) snmp: Option<SocketAddr>,
    /// Triggers the notification that the process is shutting down; `None` if there are no receivers.
    pub(super) stopping: Option<ShutdownSignal>,
}

/// Checks that the process can listen at the addresses of all frontends and of the group's clients, and closes the
/// sockets again. Another process may still take an address before its frontend starts.
pub(super) fn check_addresses(config: &Config, edge: &EdgeConfig) -> Result<(), StartError> {
    let clients = config.listen_fd.is_none().then_some(config.listen);
    let features = edge.features.as_ref().map(|features| features.listen);
    let aggregation = edge.aggregation.as_ref().map(|aggregation| aggregation.listen);
    for address in [clients, features, aggregation].into_iter().flatten() {
        TcpListener::bind(address).map_err(|source| StartError::Listen { address, source })?;
    }
    if let Some(address) = config.control {
        TcpListener::bind(address).map_err(|source| StartError::ListenControl { address, source })?;
    }
    if let Some(group) = &edge.group {
        let address = group.control;
        TcpListener::bind(address).map_err(|source| GroupStartError::ListenForClients { address, source })?;
    }
    if let Some(snmp) = &edge.snmp {
        let address = snmp.listen;
        UdpSocket::bind(address).map_err(|source| SnmpStartError::Listen { address, source })?;
    }
    Ok(())
}

impl Frontends {
    pub(super) fn new(process: &ProcessContext, core: CoreHandle, shared_listener: bool) -> Self {
        let limits = process.limits.clone();
        let timings = DrainTimings {
            drain_notice: nanos(limits.drain_notice),
            idle_close_delay: nanos(limits.drain_idle_close_delay),
            shared_listener,
        };
        let service = Service::new(process.clock, Lifecycle::new(timings), nanos(limits.client_log_interval));
        let permits = Permits::new(limits.clients + limits.closing_clients);
        let rejected = Permits::new(limits.rejected_clients);
        let request_memory = Permits::new(limits.request_memory);
        let service = Arc::new(service);
        Self { shared: FrontendContext { core, limits, service, permits, rejected, request_memory } }
    }

    /// The open client connections and the lifecycle of the process.
    pub(super) fn service(&self) -> Arc<Service> {
        self.shared.service.clone()
    }

    /// Starts all enabled frontends, the one for the platform's clients last.
    pub(super) fn start_all(
        &self,
        config: &Config,
        edge: &EdgeConfig,
        subsystems: &mut Subsystems,
        inherited: Option<InheritedListener>,
    ) -> Result<StartedFrontends, StartError> {
        let range_cache = subsystems.range_cache.take();
        let restored = subsystems.restored.take();
        let features = self.start_features(edge.features.as_ref(), config.seed)?;
        let aggregation = self.start_aggregation(edge.aggregation.as_ref(), range_cache, config.seed)?;
        let stopping = self.start_alerts(edge.snmp.as_ref(), config.sockets)?;
        let snmp = self.start_snmp(edge.snmp.as_ref(), subsystems.group.as_ref(), restored)?;
        let control = self.start_control(config.control)?;
        let listen = self.listen_for_clients(config.listen, inherited)?;
        Ok(StartedFrontends { listen, control, features, aggregation, snmp, stopping })
    }

    fn start_features(
        &self,
        config: Option<&FeaturesConfig>,
        seed: u64,
    ) -> Result<Option<SocketAddr>, StartError> {
        let Some(config) = config else { return Ok(None) };
        let FrontendContext { core, limits, .. } = self.shared.clone();
        let frontend = FeaturesFrontend::new(config, core, limits, seed)?;
        self.listen(config.listen, Arc::new(frontend)).map(Some)
    }

    /// Starts the aggregation frontend with its range cache. Both are `None` if its section is missing.
    fn start_aggregation(
        &self,
        config: Option<&AggregationConfig>,
        range_cache: Option<SharedRangeCache>,
        seed: u64,
    ) -> Result<Option<SocketAddr>, StartError> {
        let Some((config, range_cache)) = config.zip(range_cache) else { return Ok(None) };
        let FrontendContext { core, limits, .. } = self.shared.clone();
        let frontend = AggregationFrontend::new(config, core, limits, range_cache, seed)?;
        self.listen(config.listen, Arc::new(frontend)).map(Some)
    }

    /// Starts the sender of notifications, if any receivers are configured.
    fn start_alerts(
        &self,
        config: Option<&SnmpConfig>,
        sockets: usize,
    ) -> Result<Option<ShutdownSignal>, StartError> {
        let Some(config) = config else { return Ok(None) };
        Ok(alerts::start(config, self.shared.core.clone(), &self.shared.limits, sockets)?)
    }

    /// Starts the management agent with the restored engine id and boot count, if there are any.
    fn start_snmp(
        &self,
        config: Option<&SnmpConfig>,
        group: Option<&Group>,
        restored: Option<SnapshotContents>,
    ) -> Result<Option<SocketAddr>, StartError> {
        let Some(config) = config else { return Ok(None) };
        let FrontendContext { core, limits, .. } = self.shared.clone();
        let engine = restored
            .filter(|restored| !restored.engine_id.is_empty())
            .map(|restored| (restored.engine_id, restored.boots));
        let group_status = group.map(|group| group.status.clone());
        let counters = core.counters.clone();
        Ok(Some(snmp::start(config, core, counters, group_status, limits, engine)?))
    }

    /// Starts to answer operators at the second address, if configured.
    fn start_control(&self, address: Option<SocketAddr>) -> Result<Option<SocketAddr>, StartError> {
        let Some(address) = address else { return Ok(None) };
        let FrontendContext { core, limits, service, .. } = self.shared.clone();
        let max_calls = limits.control_calls;
        let operations = Operations(CoordinatorOperations { core, service, limits: limits.clone() });
        let started = control::start(address, Arc::new(operations), max_calls, limits);
        started.map(Some).map_err(|source| StartError::ListenControl { address, source })
    }

    /// Starts to serve the platform's clients from the inherited socket, or else at the address.
    fn listen_for_clients(
        &self,
        address: SocketAddr,
        inherited: Option<InheritedListener>,
    ) -> Result<SocketAddr, StartError> {
        let FrontendContext { core, limits, service, .. } = self.shared.clone();
        let frontend = Arc::new(PlatformFrontend { core, limits, service });
        let Some(inherited) = inherited else { return self.listen(address, frontend) };
        http_server::listen_inherited(inherited, frontend, self.shared.clone())
            .map_err(StartError::ListenInherited)
    }

    fn listen(&self, address: SocketAddr, frontend: Arc<dyn Frontend>) -> Result<SocketAddr, StartError> {
        http_server::listen(address, frontend, self.shared.clone())
            .map_err(|source| StartError::Listen { address, source })
    }
}
