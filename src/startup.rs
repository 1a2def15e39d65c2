//! Puts the parts together: the core, the data nodes, discovery and the fronts.

use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use curlewdeck_accounting::node_table::NodeBounds;
use curlewdeck_accounting::{query_value, LedgerSnapshot, QueryEnd, ATTEMPT_OUTCOMES};
use curlewdeck_lifecycle::{Called, Closing, Finish, Lifecycle, Spans};
use curlewdeck_listener::Inherited;
use may::sync::mpsc::Sender;

use crate::alerts::{self, Stopping};
use crate::api::EndpointState;
use crate::config::{Config, ConfigError, Edge, NodeProtocol};
use crate::control::{self, Operations, OperatorCommands};
use crate::counters::Counters;
use crate::engine::Engine;
use crate::frontend::aggregation::{AggregationFrontend, Memory};
use crate::frontend::features::FeaturesFrontend;
use crate::frontend::http_server::{self, Frontend, Service, Shared};
use crate::frontend::platform::Platform;
use crate::limits::Limits;
use crate::net::coordinator::{self, CoreHandle};
use crate::net::discovery::{self, DiscoveryContext, DiscoveryPlan};
use crate::net::endpoint_list_lease::EndpointListLease;
use crate::net::feature_node;
use crate::net::features::Names;
use crate::net::log_limit::LogLimit;
use crate::net::messages::{self, DiscoveryMessage};
use crate::net::node::{self, NodeContext};
use crate::net::pending_updates::PendingUpdates;
use crate::replication;
use crate::runtime::{lock, nanos, thread, Clock, Permits, SMALL_STACK};
use crate::settings::Deployment;
use crate::snapshot_store::SnapshotStore;
use crate::snmp::{self, SnmpConfig};

/// A coordinator that serves.
pub struct Coordinator {
    /// Where clients connect.
    pub listen: SocketAddr,
    /// The second address, if there is one.
    pub control: Option<SocketAddr>,
    /// Where the feature front listens, if it is on.
    pub ogc: Option<SocketAddr>,
    /// Where the desk front listens, if it is on.
    pub desk: Option<SocketAddr>,
    /// Where the management agent listens, if it is on.
    pub snmp: Option<SocketAddr>,
    /// Where clients of the group are answered, if this process is a member of one.
    pub group: Option<SocketAddr>,
    /// The core.
    pub core: CoreHandle,
    service: Arc<Service>,
    limits: Arc<Limits>,
    discovery: Sender<DiscoveryMessage>,
    keep: Option<Arc<SnapshotStore>>,
    /// Tells whoever is to be told that the process ends.
    stopping: Option<Stopping>,
    /// The configuration that was last taken.
    taken: Mutex<Config>,
    edge: Edge,
    /// Other processes that may serve from the same socket.
    others: u32,
}

/// A configuration that was taken while the process runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Taken {
    /// It differs from the one before.
    Changed,
    /// It says the same.
    Unchanged,
}

/// Sets the coroutines' workers up; once in a process, before anything else.
pub fn set_up_workers(limits: &Limits) {
    may::config().set_workers(limits.workers).set_stack_size(limits.stack_words).set_worker_pin(false);
}

/// Starts to serve.
///
/// # Errors
/// Says in one line what is out of place or cannot be had.
pub fn start(config: Config, edge: Edge) -> Result<Coordinator, String> {
    edge.check(&config.info)?;
    let taken = config.clone();
    let inherited = config.listen_fd.as_deref().map(Inherited::take);
    let inherited = inherited.transpose().map_err(|why| format!("LB_LISTEN_FD: {why}"))?;
    // Another version may serve beside this one from the same socket, within the same bounds.
    let others = u32::from(inherited.is_some());
    let limits = Arc::new(Limits::within(config.platform(others as usize))?);
    let (clock, counters) = (Clock::start(), Arc::<Counters>::default());
    let info = Arc::new(config.info.sharing_with(others));
    let engine =
        Engine::new(Deployment::clone(&info), config.seed, nanos(limits.backstop), nanos(limits.name_rest))
            .map_err(|e| e.to_string())?;
    let (core_mail, inbox) = messages::mailbox();
    let plan = DiscoveryPlan {
        address: config.discovery,
        discovery: info.settings.discovery,
        coordinators: info.settings.coordinators,
        seed: config.seed,
        known: config.known,
    };
    let (freshness, lease) = (PendingUpdates::default(), EndpointListLease::default());
    let context = DiscoveryContext {
        core: core_mail.clone(),
        limits: limits.clone(),
        counters: counters.clone(),
        clock,
        pending_updates: freshness.clone(),
        lease: lease.clone(),
    };
    let (discovery, known) =
        discovery::start(plan, context).map_err(|e| format!("cannot start the actor of discovery: {e}"))?;
    let context = NodeContext {
        core: core_mail.clone(),
        limits: limits.clone(),
        connections: info.connections,
        shortest_aim: Duration::from_nanos(info.settings.shortest_latency_objective()),
        permits: Permits::new(limits.node_sockets),
        no_socket_log: Arc::new(Mutex::new(LogLimit::new(nanos(limits.no_socket_log)))),
        counters: counters.clone(),
        clock,
        freshness,
    };
    let nodes = edge.nodes.clone();
    let names = Arc::new(Names { range: nodes.range_parameter, after: nodes.after_parameter });
    let start_node: coordinator::StartNode = match edge.nodes.protocol {
        NodeProtocol::Frames => Box::new(move |id, gate| node::start(id, gate, context.clone())),
        NodeProtocol::Features => {
            Box::new(move |id, gate| feature_node::start(id, gate, context.clone(), names.clone()))
        }
    };
    let memory = edge.desk.as_ref().map(|_| Memory::new(&limits, info.shards));
    let group = edge.group.as_ref().map(|group| replication::start(group, &limits)).transpose()?;
    let keep = match &edge.state {
        Some(state) => {
            let engine = edge.snmp.as_ref().map_or(Ok(Vec::new()), SnmpConfig::engine)?;
            let copy = group.as_ref().filter(|_| state.copied).map(|g| g.copy_of(&config.name));
            Some(Arc::new(SnapshotStore::load(state, engine, copy)?))
        }
        None => None,
    };
    let kept = keep.as_ref().map(|k| k.kept());
    let parts = coordinator::CoreConfig {
        restored: kept.as_ref().map(|k| k.books.clone()),
        nodes: NodeBounds { max_rows: limits.node_rows, retention: nanos(limits.node_row_keep) },
        figures_every: config.control.map(|_| nanos(limits.figures_every)),
        started: memory.as_ref().map(Memory::forgetting),
        engine,
        info,
        lease,
        clock,
        counters: counters.clone(),
        backlog: limits.core_backlog,
        stack_words: limits.core_stack_words,
    };
    let core = coordinator::start(parts, core_mail, inbox, known, discovery.clone(), start_node);
    let core = core.map_err(|e| format!("cannot start the core: {e}"))?;
    let spans = Spans {
        drain_notice: nanos(limits.drain_notice),
        drain_rest: nanos(limits.drain_rest),
        shared_listener: inherited.is_some(),
    };
    let service = Arc::new(Service::new(clock, Lifecycle::new(spans), nanos(limits.client_log)));
    let permits = Permits::new(limits.clients);
    let turned_away = Permits::new(limits.turned_away);
    let shared =
        Shared { core: core.clone(), limits: limits.clone(), service: service.clone(), permits, turned_away };
    let open = |addr, front: Arc<dyn Frontend>| {
        let cannot = |e: io::Error| format!("cannot listen at {addr}: {e}");
        http_server::listen(addr, front, shared.clone()).map_err(cannot)
    };
    let ogc = match &edge.ogc {
        Some(ogc) => {
            let front = FeaturesFrontend::new(ogc, core.clone(), limits.clone(), config.seed)?;
            Some(open(ogc.listen, Arc::new(front))?)
        }
        None => None,
    };
    let desk = match (&edge.desk, memory) {
        (Some(desk), Some(memory)) => {
            let front = AggregationFrontend::new(desk, core.clone(), limits.clone(), memory, config.seed)?;
            Some(open(desk.listen, Arc::new(front))?)
        }
        _ => None,
    };
    let mut stopping = None;
    let snmp = match &edge.snmp {
        Some(agent) => {
            stopping = alerts::start(agent, core.clone(), &limits, config.sockets)?;
            let engine = kept.filter(|k| !k.engine.is_empty()).map(|k| (k.engine, k.boots));
            let standings = group.as_ref().map(|g| g.standings.clone());
            Some(snmp::start(agent, core.clone(), counters, standings, limits.clone(), engine)?)
        }
        None => None,
    };
    let platform = Platform { core: core.clone(), limits: limits.clone(), service: service.clone() };
    let control = match config.control {
        Some(addr) => {
            let operated = Arc::new(Operations(Operation {
                core: core.clone(),
                service: service.clone(),
                limits: limits.clone(),
            }));
            let cannot = |e| format!("cannot listen at the second address {addr}: {e}");
            Some(control::start(addr, operated, limits.control_calls, limits.clone()).map_err(cannot)?)
        }
        None => None,
    };
    let listen = match inherited {
        Some(inherited) => http_server::listen_inherited(inherited, Arc::new(platform), shared.clone())
            .map_err(|e| format!("cannot listen at the inherited socket: {e}"))?,
        None => open(config.listen, Arc::new(platform))?,
    };
    service.lifecycle().listening();
    if let Some(control) = control {
        log::info!("{} is operated at {control}", config.name);
    }
    log::info!("{} serves at {listen}", config.name);
    if let Some(keep) = &keep {
        keep.start(core.clone()).map_err(|e| format!("cannot start to keep the state: {e}"))?;
    }
    let taken = Mutex::new(taken);
    Ok(Coordinator {
        keep,
        stopping,
        listen,
        control,
        ogc,
        desk,
        snmp,
        group: group.map(|g| g.clients),
        core,
        service,
        limits,
        discovery,
        taken,
        edge,
        others,
    })
}

/// What operators call at the second address.
struct Operation {
    core: CoreHandle,
    service: Arc<Service>,
    limits: Arc<Limits>,
}

impl OperatorCommands for Operation {
    fn ready(&self) -> Result<(), &'static str> {
        self.service.why_not(&self.core).map_or(Ok(()), Err)
    }

    fn figures(&self) -> String {
        self.core.process_stats().text()
    }

    fn drain(&self) -> Result<(), &'static str> {
        let (service, limits) = (self.service.clone(), self.limits.clone());
        let (called, change) = {
            let mut life = service.lifecycle();
            (life.drain_start(service.now()), life.changes())
        };
        if called == Called::Changed {
            log::info!("drained by an operator");
            // Ends with the drain.
            let empty = move || {
                while service.lifecycle().changes() == change {
                    if service.closing() == Closing::Resting {
                        service.close_idle(limits.client_silent, limits.linger);
                    }
                    std::thread::sleep(LOOK);
                }
            };
            if let Err(e) = thread("drain", SMALL_STACK, empty) {
                log::error!("no thread to close connections at rest: {e}");
            }
        }
        Ok(())
    }

    fn resume(&self) -> Result<(), &'static str> {
        match self.service.lifecycle().drain_stop() {
            Called::Changed => log::info!("takes clients again"),
            Called::Already => {}
            Called::Finishing => return Err("the process ends"),
        }
        Ok(())
    }
}

const LOOK: Duration = Duration::from_millis(10);
/// The core comes to what it is asked within this, or is so busy that its figures have to wait.
const ACCOUNTS: Duration = Duration::from_secs(2);

/// The word of the report for the state of a data node: those who read reports rely on it.
fn state_word(state: EndpointState) -> &'static str {
    match state {
        EndpointState::Active => "In",
        EndpointState::Draining => "Draining",
        EndpointState::Removed => "Out",
    }
}

/// A snapshot as lines of text.
pub fn report(snapshot: &LedgerSnapshot) -> String {
    let mut text = String::new();
    let line = |text: &mut String, words: String| {
        text.push_str(&words);
        text.push('\n');
    };
    for class in &snapshot.classes {
        let ends: Vec<String> =
            QueryEnd::ALL.iter().zip(class.ended).map(|(end, n)| format!("{}={n}", end.name())).collect();
        let latency =
            class.latency_ms.map(|l| format!(" p50_ms={} p99_ms={}", l[0], l[3])).unwrap_or_default();
        let (open, ends) = (class.open(), ends.join(" "));
        let (asked, earned) = (
            class.value_requested as f64 / query_value::MILLIONTHS,
            class.value_served as f64 / query_value::MILLIONTHS,
        );
        let head =
            format!("class {} taken={} open={open} full={}", class.name, class.accepted, class.queue_full);
        line(&mut text, format!("{head} {ends} asked={asked} earned={earned}{latency}"));
    }
    for node in &snapshot.nodes {
        let a = &node.attempts;
        let ends: Vec<String> =
            ATTEMPT_OUTCOMES.iter().zip(a.ended).map(|(o, n)| format!("{}={n}", o.1)).collect();
        let state = state_word(node.state);
        let head = format!("node {} {} {state} drains={}", node.index, node.name, node.drains);
        let sent =
            format!("started={} repeats={} copies={} out={}", a.started, a.retries, a.hedges, a.in_flight());
        line(&mut text, format!("{head} {sent} {}", ends.join(" ")));
    }
    text
}

impl Coordinator {
    /// After SIGHUP: takes over what a new configuration says of discovery and of the settings, or nothing of it. All else
    /// that it says holds from the next start on. Not called from a coroutine, since it waits for a lock.
    ///
    /// # Errors
    /// Says in one line what is missing or out of place.
    pub fn take(&self, config: Config) -> Result<Taken, ConfigError> {
        let mut taken = lock(&self.taken);
        config.follows(&taken)?;
        self.edge.check_settings(&config.info).map_err(ConfigError::Invalid)?;
        if taken.discovery_in_file != config.discovery_in_file {
            self.tell_discovery(DiscoveryMessage::Moved(config.discovery_in_file));
        }
        if taken.document["settings"] != config.document["settings"] {
            self.core.update_settings(config.info.clone().sharing_with(self.others));
        }
        let changed = if taken.document == config.document { Taken::Unchanged } else { Taken::Changed };
        *taken = config;
        log::info!("the configuration is taken: {} classes", taken.info.class_names.len());
        Ok(changed)
    }

    /// SIGHUP has come, and the configuration is read again from now on.
    pub fn reload_begins(&self) {
        self.tell_discovery(DiscoveryMessage::ReloadBegins);
    }

    /// Nothing of the configuration is read any more.
    pub fn reload_settled(&self) {
        self.tell_discovery(DiscoveryMessage::ReloadSettled);
    }

    fn tell_discovery(&self, message: DiscoveryMessage) {
        if self.discovery.send(message).is_err() {
            log::error!("the actor of discovery has ended");
        }
    }

    /// All figures of one moment; none if the core does not come to it in time. Not called from a coroutine.
    pub fn accounts(&self) -> Option<LedgerSnapshot> {
        self.core.ledger_snapshot_within(ACCOUNTS)
    }

    /// The counters, and the accounts by class and by data node, a line each. Not called from a coroutine.
    pub fn report(&self) -> String {
        let accounts = self.accounts().map_or_else(String::new, |s| report(&s));
        format!("{}{accounts}", self.core.counters.text())
    }

    /// After SIGTERM: goes on for a while, then finishes what is held and closes what is idle. Returns once
    /// all is answered, or when the time for that is over.
    pub fn finish(&self) {
        let info = self.core.info();
        let longest = info.settings.classes.iter().map(|c| c.deadline).max().unwrap_or(0);
        let (accept, answered) = self.limits.term(Duration::from_nanos(longest));
        if let Some(stopping) = &self.stopping {
            stopping.now();
        }
        let finish = Finish { accept: nanos(accept), answered: nanos(answered) };
        let answered_by = {
            let mut life = self.service.lifecycle();
            life.term(self.service.now(), finish);
            life.answered_by()
        };
        self.core.shut_down_by(answered_by);
        while self.service.closing() < Closing::Resting {
            std::thread::sleep(LOOK);
        }
        let start = Instant::now();
        let mut at_rest = 0;
        // Twice, so that what came while connections were closed is seen.
        while at_rest < 2 && start.elapsed() < self.limits.term_finish {
            at_rest = if self.service.close_idle(self.limits.client_silent, self.limits.linger) {
                at_rest + 1
            } else {
                0
            };
            std::thread::sleep(LOOK);
        }
        if let Some(keep) = &self.keep {
            keep.write_now(&self.core, true);
        }
    }
}
