//! Configuration and start of the coordinator's actor.

use std::sync::{Arc, Mutex};

use curlewdeck_accounting::node_table::NodeBounds;
use curlewdeck_accounting::saved::SavedLedger;
use curlewdeck_accounting::RequestLedger;

use crate::api::{DiscoveryMode, Nanos, ServerId, ShardId};
use crate::counters::Counters;
use crate::engine::Engine;
use crate::net::coordinator::actor::{CoreActor, EndpointListState};
use crate::net::coordinator::handle::CoreHandle;
use crate::net::endpoint_list_lease::EndpointListLease;
use crate::net::endpoints::EndpointUpdate;
use crate::net::messages::{CoreMailbox, CoreMessage, DiscoveryMessage, DrainGate, NodeMessage};
use crate::net::shortest_objective::ShortestLatencyObjective;
use crate::runtime::{spawn_critical, Clock, Receiver, Sender, Timer};
use crate::settings::Deployment;

/// The components and settings of the coordinator's actor.
pub struct CoreConfig {
    /// Schedules queries and attempts; without I/O.
    pub engine: Engine,
    /// The settings at the start.
    pub deployment: Arc<Deployment>,
    /// The interval in nanoseconds at which the process stats are published; `None` if they have no reader.
    pub stats_interval: Option<Nanos>,
    /// The clock of all deadlines.
    pub clock: Clock,
    /// The counters that the actor updates.
    pub counters: Arc<Counters>,
    /// Maximum number of queries in the mailbox; further ones are rejected.
    pub max_mailbox_queries: usize,
    /// Stack size of the actor's coroutine in words.
    pub stack_words: usize,
    /// The lease of the endpoint list, set by discovery.
    pub lease: EndpointListLease,
    /// Updated when the settings change; read by the data nodes' actors.
    pub shortest_latency_objective: ShortestLatencyObjective,
    /// Limits of the request ledger's table of data nodes.
    pub node_table_bounds: NodeBounds,
    /// The request ledger saved by an earlier process, if there is one.
    pub restored_ledger: Option<SavedLedger>,
    /// Called after each update of the endpoint list.
    pub on_endpoints_started: Option<OnEndpointsStarted>,
}

/// Callback that takes the shards whose data nodes are new or have restarted; there may be none.
pub type OnEndpointsStarted = Box<dyn Fn(&[ShardId]) + Send>;

/// Starts the actor of a data node, which checks the gate right before it sends anything new.
pub type StartNode = Box<dyn FnMut(ServerId, DrainGate) -> Sender<NodeMessage> + Send>;

/// Starts the actor; `known` is the endpoint list from before the start.
///
/// # Errors
/// The timer's thread cannot be started.
pub fn start(
    config: CoreConfig,
    mailbox: CoreMailbox,
    inbox: Receiver<CoreMessage>,
    known: EndpointUpdate,
    discovery: Sender<DiscoveryMessage>,
    start_node: StartNode,
) -> std::io::Result<CoreHandle> {
    let timer_mailbox = mailbox.clone();
    let timer = Timer::start(config.clock, move || timer_mailbox.send(CoreMessage::TimerFired))?;
    let handle = new_handle(&config, mailbox);
    let ledger = new_ledger(&config);
    if config.restored_ledger.is_some() {
        handle.counters.record_ledger(&ledger);
    }
    let stack_words = config.stack_words;
    let mut actor = CoreActor {
        poll_interval_max: poll_interval_max(&config.deployment),
        last_update_at: config.clock.now(),
        engine: config.engine,
        ledger,
        handle: handle.clone(),
        discovery,
        start_node,
        timer,
        nodes: Default::default(),
        replies: Default::default(),
        endpoint_list: EndpointListState::Unconfirmed,
        lease: config.lease,
        shortest_latency_objective: config.shortest_latency_objective,
        on_endpoints_started: config.on_endpoints_started,
        restored_ledger: config.restored_ledger,
        stats_interval: config.stats_interval,
        next_publication: 0,
    };
    spawn_critical("core", stack_words, move || {
        actor.handle_message(CoreMessage::EndpointsUpdated(known, None));
        actor.run(&inbox);
    });
    Ok(handle)
}

fn new_handle(config: &CoreConfig, mailbox: CoreMailbox) -> CoreHandle {
    CoreHandle {
        mailbox,
        next_query: Arc::default(),
        mailbox_queries: Arc::default(),
        max_mailbox_queries: config.max_mailbox_queries,
        ready: Arc::default(),
        rejected_queue_full: Arc::default(),
        deployment: Arc::new(Mutex::new(config.deployment.clone())),
        published_stats: Arc::default(),
        clock: config.clock,
        counters: config.counters.clone(),
    }
}

/// Creates the request ledger, restored from the one that an earlier process saved.
fn new_ledger(config: &CoreConfig) -> RequestLedger {
    let mut ledger = RequestLedger::new(
        &config.deployment.settings.classes,
        &config.deployment.class_names,
        config.node_table_bounds,
    );
    if let Some(saved) = &config.restored_ledger {
        ledger.restore(saved);
    }
    ledger
}

/// Longest expected interval between updates of the endpoint list; unlimited if discovery pushes updates.
fn poll_interval_max(deployment: &Deployment) -> Nanos {
    match deployment.settings.discovery {
        DiscoveryMode::Poll { poll_interval_max } => poll_interval_max,
        DiscoveryMode::Push => Nanos::MAX,
    }
}
