//! What the actor is made of, and its start.

use std::sync::{Arc, Mutex};

use curlewdeck_accounting::node_table::NodeBounds;
use curlewdeck_accounting::saved::SavedLedger;
use curlewdeck_accounting::RequestLedger;
use may::sync::mpsc::{Receiver, Sender};

use crate::api::{DiscoveryMode, Nanos, ServerId, ShardId};
use crate::counters::Counters;
use crate::engine::Engine;
use crate::net::coordinator::actor::{CoreActor, EndpointListState};
use crate::net::coordinator::handle::CoreHandle;
use crate::net::endpoint_list_lease::EndpointListLease;
use crate::net::endpoints::EndpointUpdate;
use crate::net::messages::{CoreMailbox, CoreMessage, DiscoveryMessage, DrainGate, NodeMessage};
use crate::runtime::{spawn_vital, Clock, Timer};
use crate::settings::Deployment;

/// What the coordinator's actor is made of.
pub struct CoreConfig {
    /// The engine.
    pub engine: Engine,
    /// The settings.
    pub deployment: Arc<Deployment>,
    /// The interval at which the process stats are published, in nanoseconds; none if nobody fetches them.
    pub stats_interval: Option<Nanos>,
    /// The clock.
    pub clock: Clock,
    /// Counters.
    pub counters: Arc<Counters>,
    /// Queries that may wait in the mailbox.
    pub max_mailbox_queries: usize,
    /// The stack of the actor, in words.
    pub stack_words: usize,
    /// Until when the endpoint list may be used.
    pub lease: EndpointListLease,
    /// Bounds of the request ledger's table of nodes.
    pub node_table_bounds: NodeBounds,
    /// The request ledger that an earlier process saved.
    pub restored_ledger: Option<SavedLedger>,
    /// Called with the shards of which a data node is new or has restarted.
    pub on_endpoints_started: Option<OnEndpointsStarted>,
}

/// Called with the shards whose data nodes are new or have restarted.
pub type OnEndpointsStarted = Box<dyn Fn(&[ShardId]) + Send>;

/// Starts the actor of a data node. It checks the gate right before anything new is sent.
pub type StartNode = Box<dyn FnMut(ServerId, DrainGate) -> Sender<NodeMessage> + Send>;

/// Starts the actor; `known` is the endpoint list as it was before the start.
///
/// # Errors
/// The thread of its timer cannot be started.
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
        on_endpoints_started: config.on_endpoints_started,
        restored_ledger: config.restored_ledger,
        stats_interval: config.stats_interval,
        next_publication: 0,
    };
    spawn_vital("core", stack_words, move || {
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

/// A request ledger that goes on with what an earlier process saved.
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

/// How long the endpoint list may go without an update; any span where discovery pushes updates.
fn poll_interval_max(deployment: &Deployment) -> Nanos {
    match deployment.settings.discovery {
        DiscoveryMode::Poll { poll_interval_max } => poll_interval_max,
        DiscoveryMode::Push => Nanos::MAX,
    }
}
