//! Starts the internal subsystems: the engine, discovery, the data nodes' actors, the replication group, the stored
//! state and the core.

use std::sync::{Arc, Mutex};

use curlewdeck_accounting::node_table::NodeBounds;

use super::StartError;
use crate::config::{Config, EdgeConfig, NodeProtocol, NodesConfig, SnmpConfig};
use crate::counters::Counters;
use crate::engine::Engine;
use crate::frontend::aggregation::SharedRangeCache;
use crate::limits::Limits;
use crate::net::coordinator::{self, CoreConfig, CoreHandle, StartNode};
use crate::net::discovery::{self, DiscoveryConfig, DiscoveryContext};
use crate::net::endpoint_list_lease::EndpointListLease;
use crate::net::endpoints::EndpointUpdate;
use crate::net::feature_node;
use crate::net::features::ParameterNames;
use crate::net::log_limit::LogRateLimit;
use crate::net::messages::{self, CoreMailbox, DiscoveryMessage};
use crate::net::node::{self, NodeContext};
use crate::net::pending_updates::PendingUpdates;
use crate::net::shortest_objective::ShortestLatencyObjective;
use crate::replication::config::GroupConfig;
use crate::replication::{self, Group};
use crate::runtime::{nanos, Clock, Permits, Sender};
use crate::settings::Deployment;
use crate::snapshot_store::{SnapshotContents, SnapshotReplica, SnapshotStore};

/// The objects that all subsystems of the process share.
pub(super) struct ProcessContext {
    pub(super) limits: Arc<Limits>,
    pub(super) clock: Clock,
    pub(super) counters: Arc<Counters>,
    pub(super) deployment: Arc<Deployment>,
    pub(super) shortest_latency_objective: ShortestLatencyObjective,
}

/// The started subsystems, and the data that the frontends need from them.
pub(super) struct Subsystems {
    pub(super) core: CoreHandle,
    pub(super) discovery: Sender<DiscoveryMessage>,
    pub(super) group: Option<Group>,
    pub(super) snapshot_store: Option<Arc<SnapshotStore>>,
    /// The state that an earlier process stored.
    pub(super) restored: Option<SnapshotContents>,
    /// The aggregation frontend's range cache, if the frontend is enabled.
    pub(super) range_cache: Option<SharedRangeCache>,
}

/// The handles that discovery, the core and the data nodes' actors share.
#[derive(Clone)]
struct EndpointListState {
    core: CoreMailbox,
    pending_updates: PendingUpdates,
    lease: EndpointListLease,
}

impl Subsystems {
    /// Starts all subsystems. Moves the known endpoint list out of the configuration.
    pub(super) fn start(
        process: &ProcessContext,
        config: &mut Config,
        edge: &EdgeConfig,
    ) -> Result<Self, StartError> {
        let engine = process.engine(config.seed)?;
        let (core_mailbox, core_inbox) = messages::mailbox();
        let list_state = EndpointListState {
            core: core_mailbox.clone(),
            pending_updates: PendingUpdates::default(),
            lease: EndpointListLease::default(),
        };
        let (discovery, known_endpoints) = process.start_discovery(config, list_state.clone())?;
        let start_node = node_starter(&edge.nodes, process.node_context(&list_state));
        let range_cache = edge
            .aggregation
            .as_ref()
            .map(|_| SharedRangeCache::new(&process.limits, process.deployment.shards));
        let open_state = edge.state.as_ref().map(SnapshotStore::open).transpose()?;
        let engine_id = edge.snmp.as_ref().map_or(Ok(Vec::new()), SnmpConfig::engine_id)?;
        // Started after all steps that may fail without it: a member that joins and exits again costs the group a vote.
        let group = process.start_replication(edge.group.as_ref())?;
        let replica = snapshot_replica(edge, &config.name, group.as_ref());
        let snapshot_store =
            open_state.map(|state| state.count_start(engine_id, replica)).transpose()?.map(Arc::new);
        let restored = snapshot_store.as_ref().map(|store| store.contents());
        let core_config = CoreConfig {
            restored_ledger: restored.as_ref().map(|restored| restored.ledger.clone()),
            on_endpoints_started: range_cache.as_ref().map(SharedRangeCache::invalidation_callback),
            ..process.core_config(engine, list_state.lease, config.control.is_some())
        };
        let to_discovery = discovery.clone();
        let core = coordinator::start(
            core_config,
            core_mailbox,
            core_inbox,
            known_endpoints,
            to_discovery,
            start_node,
        );
        let core = core.map_err(StartError::Core)?;
        Ok(Self { core, discovery, group, snapshot_store, restored, range_cache })
    }
}

impl ProcessContext {
    pub(super) fn new(config: &Config, other_processes: u32) -> Result<Self, StartError> {
        let shortest_latency_objective = config.deployment.settings.shortest_latency_objective();
        Ok(Self {
            limits: Arc::new(Limits::within(config.platform_bounds(other_processes as usize))?),
            clock: Clock::start(),
            counters: Arc::default(),
            deployment: Arc::new(config.deployment.clone().with_sibling_processes(other_processes)),
            shortest_latency_objective: ShortestLatencyObjective::new(shortest_latency_objective),
        })
    }

    fn engine(&self, seed: u64) -> Result<Engine, StartError> {
        let (deployment, limits) = (Deployment::clone(&self.deployment), &self.limits);
        Ok(Engine::new(
            deployment,
            seed,
            nanos(limits.deadline_backstop),
            nanos(limits.query_name_quarantine),
        )?)
    }

    /// Starts the discovery actor. Returns its mailbox and the endpoint list that was known before the start.
    fn start_discovery(
        &self,
        config: &mut Config,
        list_state: EndpointListState,
    ) -> Result<(Sender<DiscoveryMessage>, EndpointUpdate), StartError> {
        let config = DiscoveryConfig {
            address: config.discovery,
            discovery: self.deployment.settings.discovery,
            coordinators: self.deployment.settings.coordinators,
            seed: config.seed,
            known: config.known_endpoints.take(),
        };
        let context = DiscoveryContext {
            core: list_state.core,
            limits: self.limits.clone(),
            counters: self.counters.clone(),
            clock: self.clock,
            pending_updates: list_state.pending_updates,
            lease: list_state.lease,
        };
        discovery::start(config, context).map_err(StartError::Discovery)
    }

    /// The context for the actor of each data node.
    fn node_context(&self, list_state: &EndpointListState) -> NodeContext {
        NodeContext {
            core: list_state.core.clone(),
            limits: self.limits.clone(),
            connections: self.deployment.connections,
            shortest_latency_objective: self.shortest_latency_objective.clone(),
            permits: Permits::new(self.limits.node_sockets),
            no_socket_log: Arc::new(Mutex::new(LogRateLimit::new(nanos(self.limits.no_socket_log_interval)))),
            counters: self.counters.clone(),
            clock: self.clock,
            pending_updates: list_state.pending_updates.clone(),
        }
    }

    fn start_replication(&self, group: Option<&GroupConfig>) -> Result<Option<Group>, StartError> {
        let Some(group) = group else { return Ok(None) };
        Ok(Some(replication::start(group, &self.limits)?))
    }

    /// The core's configuration without a restored ledger and without a callback for new and restarted data nodes.
    fn core_config(&self, engine: Engine, lease: EndpointListLease, has_control: bool) -> CoreConfig {
        let limits = &self.limits;
        CoreConfig {
            engine,
            deployment: self.deployment.clone(),
            stats_interval: has_control.then(|| nanos(limits.stats_interval)),
            clock: self.clock,
            counters: self.counters.clone(),
            max_mailbox_queries: limits.core_backlog,
            stack_words: limits.core_stack_words,
            lease,
            shortest_latency_objective: self.shortest_latency_objective.clone(),
            node_table_bounds: NodeBounds {
                max_rows: limits.node_rows,
                retention: nanos(limits.node_row_retention),
            },
            restored_ledger: None,
            on_endpoints_started: None,
        }
    }
}

/// Returns the function that starts a data node's actor for the configured protocol.
fn node_starter(nodes: &NodesConfig, context: NodeContext) -> StartNode {
    match nodes.protocol {
        NodeProtocol::Frames => Box::new(move |id, gate| node::start(id, gate, context.clone())),
        NodeProtocol::Features => {
            let names = Arc::new(ParameterNames {
                range: nodes.range_parameter.clone(),
                after: nodes.after_parameter.clone(),
            });
            Box::new(move |id, gate| feature_node::start(id, gate, context.clone(), names.clone()))
        }
    }
}

/// The replica of the coordinator's state in the group, if the edge file enables it.
fn snapshot_replica(
    edge: &EdgeConfig,
    name: &str,
    group: Option<&Group>,
) -> Option<Box<dyn SnapshotReplica>> {
    let is_replicated = edge.state.as_ref().is_some_and(|state| state.replicated);
    group.filter(|_| is_replicated).map(|group| group.snapshot_replica(name))
}
