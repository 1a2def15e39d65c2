//! The module's actor: the engine behind a mailbox, its commands handed on to data nodes, discovery and fronts.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use curlewdeck_accounting::node_table::NodeBounds;
use curlewdeck_accounting::process_stats::{self, ProcessGauges, ProcessStats};
use curlewdeck_accounting::saved::SavedLedger;
use curlewdeck_accounting::{LedgerSnapshot, QueryEnd, RequestLedger};
use may::sync::mpsc::{Receiver, Sender};

use crate::api::{
    ClassId, DiscoveryMode, EndpointState, EndpointUpdateKind, Nanos, QueryId, ServerId, ShardId,
};
use crate::counters::Counters;
use crate::engine::{AttemptEvent, Command, Engine, QueryOutcome, QueryRequest, RejectReason};
use crate::net::endpoint_list_lease::EndpointListLease;
use crate::net::endpoints::EndpointUpdate;
use crate::net::messages::{
    CoreMailbox, CoreMessage, DiscoveryMessage, DrainGate, NodeMessage, Reply, REQUEST,
};
use crate::runtime::{lock, spawn_vital, Alarm, Clock};
use crate::settings::Deployment;

/// What the fronts see of the core.
#[derive(Clone)]
pub struct CoreHandle {
    mail: CoreMailbox,
    next: Arc<AtomicU64>,
    backlog: Arc<AtomicUsize>,
    most: usize,
    ready: Arc<AtomicBool>,
    /// By class: queries turned away over the limit, which the accounts take over.
    full: Arc<Mutex<Vec<u64>>>,
    /// What the settings say now.
    info: Arc<Mutex<Arc<Deployment>>>,
    /// The figures of the last moment at which they were made.
    figures: Arc<Mutex<Arc<ProcessStats>>>,
    /// The clock of all deadlines.
    pub clock: Clock,
    /// Counters.
    pub counters: Arc<Counters>,
}

impl CoreHandle {
    /// Hands in a query. `reply` is called once, unless the query is told gone first.
    pub fn submit(&self, request: QueryRequest, reply: Reply) -> QueryId {
        let id = QueryId(self.next.fetch_add(1, Ordering::Relaxed));
        if self.backlog.fetch_add(1, Ordering::AcqRel) >= self.most {
            self.backlog.fetch_sub(1, Ordering::AcqRel);
            self.count_queue_full(request.class);
            reply(Err(RejectReason::QueueFull));
        } else {
            self.mail.send(CoreMessage::Submit(id, request, reply));
        }
        id
    }

    fn count_queue_full(&self, class: ClassId) {
        Counters::add(&self.counters.queries_full);
        let mut full = lock(&self.full);
        if full.len() <= class.0 {
            full.resize(class.0 + 1, 0);
        }
        full[class.0] += 1;
    }

    /// What the settings say now.
    pub fn info(&self) -> Arc<Deployment> {
        lock(&self.info).clone()
    }

    /// Takes over what the settings say from now on; queries that are open keep the rules they came under.
    pub fn update_settings(&self, info: Deployment) {
        self.mail.send(CoreMessage::UpdateSettings(Box::new(info)));
    }

    /// The process ends: all is answered by then, what is held included.
    pub fn shut_down_by(&self, by: Nanos) {
        self.mail.send(CoreMessage::ShutDownBy(by));
    }

    /// The figures of a moment a short while ago, without waiting for the core.
    pub fn process_stats(&self) -> Arc<ProcessStats> {
        lock(&self.figures).clone()
    }

    /// All figures of one moment, handed over once the core comes to it.
    pub fn ledger_snapshot(&self, take: impl FnOnce(LedgerSnapshot) + Send + 'static) {
        self.mail.send(CoreMessage::SnapshotLedger(Box::new(take)));
    }

    /// The same for a thread that waits; none if the core does not come to it within this. Not called from a coroutine.
    pub fn ledger_snapshot_within(&self, within: Duration) -> Option<LedgerSnapshot> {
        self.wait_for(within, CoreMessage::SnapshotLedger)
    }

    /// What of the accounts outlives the process; none if the core does not come to it in time. Not called from a
    /// coroutine.
    pub fn saved_ledger(&self) -> Option<SavedLedger> {
        self.wait_for(SAVED, CoreMessage::SaveLedger)
    }

    /// Asks the core for something, and waits.
    fn wait_for<T: Send + 'static>(
        &self,
        within: Duration,
        message: impl FnOnce(Box<dyn FnOnce(T) + Send>) -> CoreMessage,
    ) -> Option<T> {
        let (told, given) = std::sync::mpsc::channel();
        // Nobody waits any more after the time-out.
        self.mail.send(message(Box::new(move |it| drop(told.send(it)))));
        given.recv_timeout(within).ok()
    }

    /// The client of a query has left.
    pub fn client_disconnected(&self, id: QueryId) {
        self.mail.send(CoreMessage::ClientDisconnected(id));
    }

    /// Whether queries can be served: some data node is in service.
    pub fn ready(&self) -> bool {
        self.ready.load(Ordering::Acquire)
    }

    /// How long a client turned away over the limit should stay away.
    pub fn queue_full_retry_after(&self) -> Nanos {
        let settings = &self.info().settings;
        settings.max_retry_after.unwrap_or(0).min(settings.shortest_latency_objective() / 4)
    }
}

/// The core comes to what it is asked within this, or is so busy that it has to wait.
const SAVED: Duration = Duration::from_secs(2);

/// What the core's actor is made of.
pub struct CoreConfig {
    /// The engine.
    pub engine: Engine,
    /// What the settings say.
    pub info: Arc<Deployment>,
    /// Figures are made anew this often at most; none are made where nobody fetches them.
    pub figures_every: Option<Nanos>,
    /// The clock.
    pub clock: Clock,
    /// Counters.
    pub counters: Arc<Counters>,
    /// Messages that may wait.
    pub backlog: usize,
    /// Stack of the actor.
    pub stack_words: usize,
    /// Until when the list may be used.
    pub lease: EndpointListLease,
    /// Bounds of the accounts' table of nodes.
    pub nodes: NodeBounds,
    /// What an earlier process had booked.
    pub restored: Option<SavedLedger>,
    /// Told of the shards of which a holder is new or has started anew.
    pub started: Option<Started>,
}

/// What is told of shards whose holders have started anew.
pub type Started = Box<dyn Fn(&[ShardId]) + Send>;

/// Starts the actor of a data node; new work is looked at against the gate right before it goes out.
pub type StartNode = Box<dyn FnMut(ServerId, DrainGate) -> Sender<NodeMessage> + Send>;

/// A data node's actor, as the core knows it.
struct Node {
    mail: Sender<NodeMessage>,
    gate: DrainGate,
}

impl Node {
    /// Follows the list: where it is, and whether it may be sent anything new.
    fn follow(&self, phase: EndpointState, address: SocketAddr) {
        self.gate.move_to(address);
        tell(&self.mail, NodeMessage::Address(address));
        match phase {
            EndpointState::Active => drop(self.gate.set_open(true)),
            EndpointState::Draining | EndpointState::Removed => self.shut(),
        }
    }

    /// Nothing new is sent from now on, and what waits ends at once.
    fn shut(&self) {
        if self.gate.set_open(false) {
            tell(&self.mail, NodeMessage::GateClosed);
        }
    }
}

/// Starts the actor.
///
/// # Errors
/// There is no thread for its alarm.
pub fn start(
    config: CoreConfig,
    mail: CoreMailbox,
    inbox: Receiver<CoreMessage>,
    known: EndpointUpdate,
    discovery: Sender<DiscoveryMessage>,
    start_node: StartNode,
) -> std::io::Result<CoreHandle> {
    let rings = mail.clone();
    let alarm = Alarm::start(config.clock, move || rings.send(CoreMessage::TimerFired))?;
    let core = CoreHandle {
        mail,
        next: Arc::default(),
        backlog: Arc::default(),
        most: config.backlog,
        ready: Arc::default(),
        full: Arc::default(),
        info: Arc::new(Mutex::new(config.info.clone())),
        figures: Arc::default(),
        clock: config.clock,
        counters: config.counters.clone(),
    };
    let must_ask_in = match config.info.settings.discovery {
        DiscoveryMode::Poll { poll_interval_max: must_ask_in } => must_ask_in,
        DiscoveryMode::Push => Nanos::MAX,
    };
    let heard = config.clock.now();
    let mut account =
        RequestLedger::new(&config.info.settings.classes, &config.info.class_names, config.nodes);
    if let Some(saved) = &config.restored {
        account.restore(saved);
        core.counters.view(&account);
    }
    let mut actor = Actor {
        engine: config.engine,
        account,
        core: core.clone(),
        discovery,
        start_node,
        alarm,
        nodes: HashMap::new(),
        replies: HashMap::new(),
        must_ask_in,
        heard,
        list: ListStanding::Unconfirmed,
        lease: config.lease,
        started: config.started,
        restored: config.restored,
        figures_every: config.figures_every,
        figures_at: 0,
    };
    spawn_vital("core", config.stack_words, move || {
        actor.take(CoreMessage::EndpointsUpdated(known, None));
        actor.run(&inbox);
    });
    Ok(core)
}

/// How far the list of data nodes can be relied on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ListStanding {
    /// It is from before the start.
    Unconfirmed,
    /// The same, and a query waits for better.
    Awaited,
    /// It is in force.
    InForce,
    /// Its news is overdue.
    Expired,
}

struct Actor {
    engine: Engine,
    /// The one table of truth; the counters of queries and attempts are a view of it.
    account: RequestLedger,
    core: CoreHandle,
    discovery: Sender<DiscoveryMessage>,
    start_node: StartNode,
    alarm: Alarm,
    nodes: HashMap<ServerId, Node>,
    replies: HashMap<QueryId, Reply>,
    must_ask_in: Nanos,
    /// When the list was last heard of.
    heard: Nanos,
    list: ListStanding,
    lease: EndpointListLease,
    started: Option<Started>,
    restored: Option<SavedLedger>,
    figures_every: Option<Nanos>,
    /// When the figures are made anew.
    figures_at: Nanos,
}

impl Actor {
    fn run(&mut self, inbox: &Receiver<CoreMessage>) {
        loop {
            self.act();
            let figures_at = self.publish();
            if let Some(at) = self.engine.next_deadline().into_iter().chain(figures_at).min() {
                self.alarm.set(at);
            }
            let Ok(message) = inbox.recv() else { return };
            self.take(message);
            while let Ok(message) = inbox.try_recv() {
                self.take(message);
            }
        }
    }

    /// Makes the figures anew where that is due; returns when it is next, whatever else happens: what is avoided
    /// changes with time alone.
    fn publish(&mut self) -> Option<Nanos> {
        let every = self.figures_every?;
        let now = self.core.clock.now();
        if now < self.figures_at {
            return Some(self.figures_at);
        }
        self.figures_at = now.saturating_add(every);
        self.take_over_full();
        let (known, excluded) = (self.engine.listed_servers(), self.engine.excluded_servers());
        let counters = &self.core.counters;
        let count = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
        let beside = ProcessGauges {
            attempts_written: count(&counters.attempts_written),
            nodes_known: known,
            nodes_excluded: excluded,
            reloads_ok: count(&counters.reloads_ok),
            reloads_failed: count(&counters.reloads_failed),
        };
        let made = Arc::new(process_stats::process_stats(&self.account, self.restored.as_ref(), beside));
        *lock(&self.core.figures) = made;
        Some(self.figures_at)
    }

    fn take(&mut self, message: CoreMessage) {
        let now = self.core.clock.now();
        match message {
            CoreMessage::Submit(id, request, reply) => {
                self.core.backlog.fetch_sub(1, Ordering::AcqRel);
                let class = request.class;
                let name = if log::log_enabled!(target: REQUEST, log::Level::Debug) {
                    request.name.clone()
                } else {
                    String::new()
                };
                match self.engine.submit(now, id, request) {
                    Ok(()) => {
                        log::debug!(target: REQUEST, "{name} taken as query {}", id.0);
                        self.wait_for_list();
                        self.account.query_accepted(now, id, class);
                        self.replies.insert(id, reply);
                    }
                    Err(why) => {
                        log::debug!(target: REQUEST, "{name} not taken: {why:?}");
                        match why {
                            RejectReason::QueueFull => self.core.count_queue_full(class),
                            // Refused as any other; it was late before it could be taken.
                            RejectReason::DeadlinePassed => {
                                self.account.query_accepted(now, id, class);
                                self.account.query_ended(id, QueryEnd::Rejected);
                            }
                            _ => {}
                        }
                        reply(Err(why));
                    }
                }
            }
            CoreMessage::ClientDisconnected(id) => {
                if self.replies.remove(&id).is_some() {
                    log::debug!(target: REQUEST, "query {} ends: its client has left", id.0);
                    self.account.query_ended(id, QueryEnd::ClientDisconnected);
                    self.engine.client_disconnected(id);
                }
            }
            CoreMessage::EndpointsUpdated(news, on_the_way) => {
                self.take_list(news);
                drop(on_the_way);
            }
            // Seen before the next commands are carried out.
            CoreMessage::EndpointListExpired => {}
            CoreMessage::AttemptEnded(id, outcome, value) => {
                log::debug!(target: REQUEST, "attempt {} ended: {outcome:?}", id.0);
                let counted = self.engine.attempt_ended(now, id, outcome, value);
                if counted != outcome {
                    Counters::add(&self.core.counters.values_unfit);
                }
            }
            CoreMessage::SaveLedger(take) => {
                self.take_over_full();
                take(self.account.save());
            }
            CoreMessage::SnapshotLedger(take) => {
                self.take_over_full();
                let snapshot = self.account.snapshot(now);
                debug_assert_eq!(snapshot.check(), Ok(()));
                take(snapshot);
            }
            CoreMessage::UpdateSettings(info) => {
                let info = self.engine.update_settings(*info);
                self.account.add_classes(&info.settings.classes, &info.class_names);
                *lock(&self.core.info) = Arc::new(info.clone());
            }
            CoreMessage::ShutDownBy(by) => self.engine.shut_down_by(by),
            CoreMessage::TimerFired => self.alarm.rung(),
            CoreMessage::HealthChecked(server, outcome) => self.engine.health_checked(now, server, outcome),
        }
    }

    /// Has discovery called at once where the first query waits for the list to be confirmed.
    fn wait_for_list(&mut self) {
        if self.list != ListStanding::Unconfirmed {
            return;
        }
        self.list = ListStanding::Awaited;
        if self.discovery.send(DiscoveryMessage::QueryWaiting).is_err() {
            log::error!("the actor of discovery has ended");
        }
    }

    /// Queries that were turned away before they came here.
    fn take_over_full(&mut self) {
        for (class, &full) in lock(&self.core.full).iter().enumerate() {
            self.account.queries_rejected_queue_full(ClassId(class), full);
        }
    }

    fn take_list(&mut self, news: EndpointUpdate) {
        let now = self.core.clock.now();
        if now.saturating_sub(self.heard) > self.must_ask_in {
            log::warn!("the list was silent for longer than the settings allow");
            Counters::add(&self.core.counters.list_overdue);
        }
        self.heard = now;
        self.list = if news.kind == EndpointUpdateKind::Unconfirmed {
            ListStanding::Unconfirmed
        } else {
            ListStanding::InForce
        };
        if news.kind.is_complete() {
            let named =
                |id: &ServerId| news.endpoints.iter().any(|m| m.0.name == self.engine.server_name(*id));
            for (&id, node) in self.nodes.iter().filter(|(id, _)| !named(id)) {
                node.shut();
                self.account.node_state(now, id, "", EndpointState::Removed);
            }
        }
        let members: Vec<_> = news.endpoints.iter().map(|m| m.0.clone()).collect();
        for (member, addr) in &news.endpoints {
            if member.state == EndpointState::Removed {
                // One that is not known needs no actor to be gone.
                if let Some(id) = self.engine.server_id(&member.name) {
                    if let Some(node) = self.nodes.get(&id) {
                        node.shut();
                    }
                    self.account.node_state(now, id, &member.name, EndpointState::Removed);
                }
                continue;
            }
            let id = self.engine.intern(&member.name);
            self.account.node_state(now, id, &member.name, member.state);
            let (start, lease) = (&mut self.start_node, &self.lease);
            let node = self.nodes.entry(id).or_insert_with(|| {
                let gate = DrainGate::under(lease.clone());
                Node { mail: start(id, gate.clone()), gate }
            });
            node.follow(member.state, *addr);
        }
        if self.core.clock.wall_stepped() {
            self.engine.wall_clock_stepped();
        }
        let anew = self.engine.update_endpoints(news.kind, &members);
        if let Some(started) = &self.started {
            started(&anew);
        }
        self.core.ready.store(self.engine.active_servers() > 0, Ordering::Release);
        if !members.is_empty() {
            Counters::add(&self.core.counters.list_changes);
        }
    }

    /// Nothing is sent by a list whose lease has ended; what waits at the data nodes' actors ends at once.
    fn follow_lease(&mut self, now: Nanos) {
        if self.list != ListStanding::InForce || self.lease.is_valid(now) {
            return;
        }
        self.list = ListStanding::Expired;
        self.engine.endpoint_list_expired();
        self.nodes.values().for_each(|node| tell(&node.mail, NodeMessage::GateClosed));
    }

    fn act(&mut self) {
        let now = self.core.clock.now();
        self.follow_lease(now);
        let (mut given_up, mut answers) = (false, Vec::new());
        for command in self.engine.run(now) {
            match command {
                Command::RecordAttempt(AttemptEvent::Started { server, number, hedge: copy }) => {
                    self.account.attempt_started(server, number, copy);
                }
                Command::RecordAttempt(AttemptEvent::Ended { server, outcome }) => {
                    self.account.attempt_ended(server, outcome)
                }
                Command::SendCall { server, call } => {
                    for d in &call {
                        log::debug!(target: REQUEST, "{} attempt {} to node {}", d.part.name, d.attempt.0, server.0);
                    }
                    self.tell_node(server, NodeMessage::Call(call));
                }
                Command::CancelAttempt { server, attempt } => {
                    log::debug!(target: REQUEST, "attempt {} given up at node {}", attempt.0, server.0);
                    given_up = true;
                    self.tell_node(server, NodeMessage::CancelAttempt(attempt));
                }
                Command::ForgetServer { server } => {
                    self.account.node_removed(now, server);
                    if let Some(node) = self.nodes.remove(&server) {
                        tell(&node.mail, NodeMessage::Remove);
                    }
                }
                Command::CheckHealth { server } => self.tell_node(server, NodeMessage::CheckHealth),
                Command::CloseIdleConnections { server } => {
                    self.tell_node(server, NodeMessage::CloseIdleConnections)
                }
                Command::FinishQuery { query, outcome } => {
                    match &outcome {
                        QueryOutcome::Answered { complete, coverage, .. } => {
                            self.account.query_answered(now, query, *complete, *coverage);
                        }
                        QueryOutcome::Rejected { .. } => {
                            self.account.query_ended(query, QueryEnd::Rejected);
                        }
                        QueryOutcome::Failed => {
                            self.account.query_ended(query, QueryEnd::Failed);
                        }
                    }
                    // Whoever has the answer finds it counted.
                    self.core.counters.view(&self.account);
                    log::debug!(target: REQUEST, "query {} ends: {}", query.0, outcome.word());
                    answers.extend(self.replies.remove(&query).map(|reply| (reply, outcome)));
                }
            }
        }
        self.core.counters.view(&self.account);
        if given_up && !answers.is_empty() {
            // A data node that reads late must not come upon a part of a query that has its answer without the word
            // that it is given up: those words go out first. One turn is the data nodes' actors', one their writers'.
            (0..HOPS).for_each(|_| may::coroutine::yield_now());
        }
        answers.into_iter().for_each(|(reply, outcome)| reply(Ok(outcome)));
    }

    fn tell_node(&self, server: ServerId, message: NodeMessage) {
        if let Some(node) = self.nodes.get(&server) {
            tell(&node.mail, message);
        }
    }
}

/// From the core to a data node's connection there are two coroutines, which run in the order in which they are
/// woken: one worker runs them all. As many again, since a frame that is being written goes first.
const HOPS: usize = 4;

fn tell(mail: &Sender<NodeMessage>, message: NodeMessage) {
    if mail.send(message).is_err() {
        log::error!("a data node's actor has ended");
    }
}
