//! The core: queries and parts, attempts and their ends, values, timers and deadlines round the
//! [`Policy`]. It does no I/O, reads no clock and knows no wire: the embedder says what happened and when,
//! and carries out the [`Command`]s that [`Engine::run`] returns.
//!
//! It owns what a client may rely on, whatever the module does: each query gets exactly one final
//! answer, before its time is up; each attempt has exactly one end; an answer is made of values that data
//! nodes gave, is marked whole only when it is, and is never given below the class's floor.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap, HashSet, VecDeque};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;

use crate::api::{
    Action, ClassId, EndpointRecord, EndpointState, EndpointUpdateKind, Event, KeyId, Nanos, Outcome, PartId,
    QueryId, ServerId, SettingsError, ShardId, ZoneId,
};
use crate::settings::Deployment;
use crate::Policy;

/// An attempt, numbered by the engine for its life.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct AttemptId(pub u64);

/// Sums of weights may fall this much short.
const SLACK: f64 = 1e-4;

/// So far from 1 may the weights of a query's parts add up: clients round them.
const ROUNDING: f64 = 0.01;

/// Rounds that one moment may take: each follows from the ends and parts that the one before made.
const ROUNDS: usize = 16;

/// One record of the endpoint list, under the names that discovery uses.
#[derive(Debug, Clone, PartialEq)]
pub struct Endpoint {
    /// The data node's name: the same for all coordinators and after a restart.
    pub name: String,
    /// Its partition group.
    pub partition_group: u32,
    /// When its process last started; 0: long ago.
    pub started_at: Nanos,
    /// Its capacity in comparison with others.
    pub capacity: f64,
    /// Its state.
    pub state: EndpointState,
    /// Its zone's name.
    pub zone: Option<String>,
}

/// A frontend's check of a value before it counts as its part's. It is called once for each value that comes while
/// the part has none. Without a check every value counts.
#[derive(Clone, Default)]
pub struct ResponseValidator(Option<Arc<IsValid>>);

/// Whether a value may count for a shard.
pub type IsValid = dyn Fn(ShardId, &Value) -> bool + Send + Sync;

impl ResponseValidator {
    /// Accepts the values of which this holds.
    pub fn new(is_valid: impl Fn(ShardId, &Value) -> bool + Send + Sync + 'static) -> Self {
        Self(Some(Arc::new(is_valid)))
    }

    fn accepts(&self, shard: ShardId, value: &Value) -> bool {
        self.0.as_ref().is_none_or(|is_valid| is_valid(shard, value))
    }
}

impl std::fmt::Debug for ResponseValidator {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(if self.0.is_some() { "ResponseValidator(check)" } else { "ResponseValidator(any)" })
    }
}

impl PartialEq for ResponseValidator {
    fn eq(&self, other: &Self) -> bool {
        match (&self.0, &other.0) {
            (Some(a), Some(b)) => Arc::ptr_eq(a, b),
            (a, b) => a.is_none() && b.is_none(),
        }
    }
}

/// Whether the client of a query is still connected, as its frontend sees it at any moment. Without a check it is.
#[derive(Clone, Default)]
pub struct ClientLiveness(Option<Arc<IsConnected>>);

/// Whether a client is still connected.
pub type IsConnected = dyn Fn() -> bool + Send + Sync;

impl ClientLiveness {
    /// A client that is connected for as long as this holds.
    pub fn new(is_connected: impl Fn() -> bool + Send + Sync + 'static) -> Self {
        Self(Some(Arc::new(is_connected)))
    }

    /// Whether the client is still connected.
    pub fn is_connected(&self) -> bool {
        self.0.as_ref().is_none_or(|is_connected| is_connected())
    }
}

impl std::fmt::Debug for ClientLiveness {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(if self.0.is_some() { "ClientLiveness(check)" } else { "ClientLiveness(any)" })
    }
}

impl PartialEq for ClientLiveness {
    fn eq(&self, other: &Self) -> bool {
        match (&self.0, &other.0) {
            (Some(a), Some(b)) => Arc::ptr_eq(a, b),
            (a, b) => a.is_none() && b.is_none(),
        }
    }
}

/// A query as a frontend submits it.
#[derive(Debug, Clone, PartialEq)]
pub struct QueryRequest {
    /// Its name on the wire.
    pub name: String,
    /// Its class.
    pub class: ClassId,
    /// Whether the client marks it as a retry of its own.
    pub is_retry: bool,
    /// When the client gives up.
    pub deadline: Nanos,
    /// Shards and their shares of the answer.
    pub parts: Vec<(ShardId, f64)>,
    /// The text that each part carries.
    pub text: Arc<str>,
    /// The texts of the parts of the first phase, in their order, where they do not all carry the same.
    pub part_texts: Vec<Arc<str>>,
    /// The check of values.
    pub validator: ResponseValidator,
    /// Its client.
    pub client: ClientLiveness,
}

/// Why a query is not taken.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RejectReason {
    /// As many queries and parts are open as may be.
    QueueFull,
    /// It names no part, a shard that does not exist or one shard twice, or its weights do not add up to one.
    InvalidParts,
    /// A query of this name is open, or was a short while ago: data nodes answer by name.
    DuplicateName,
    /// There is no such class.
    UnknownClass,
    /// Its deadline has passed already.
    DeadlinePassed,
}

/// What a part carries to its data node.
#[derive(Debug, Clone, PartialEq)]
pub struct PartRequest {
    /// The part's name on the wire.
    pub name: String,
    /// Its shard.
    pub shard: ShardId,
    /// The query's text.
    pub text: Arc<str>,
    /// In a second phase: how the first one ended.
    pub first_phase: Option<FirstPhase>,
}

/// How the first phase of a query ended, as the parts of its second phase tell their data nodes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FirstPhase {
    /// The shards whose values were in.
    pub shards: Vec<ShardId>,
    /// Whether they made a complete answer.
    pub complete: bool,
}

/// Tells whether an attempt may still be sent. The engine cancels it the moment that the attempt has ended for it, ahead
/// of the query's answer; it is checked right before a frame's first byte, so that nothing is sent on for a
/// query that has its answer, whatever waits in whichever mailbox. The same holds for a query whose client has
/// disconnected.
#[derive(Debug, Clone, Default)]
pub struct CancellationToken {
    flag: Arc<AtomicBool>,
    client: ClientLiveness,
}

impl CancellationToken {
    /// Active until it is cancelled.
    pub fn new() -> Self {
        Self::for_client(ClientLiveness::default())
    }

    /// Active until it is cancelled or this client has disconnected.
    pub fn for_client(client: ClientLiveness) -> Self {
        Self { flag: Arc::new(AtomicBool::new(true)), client }
    }

    /// Whether the attempt may still be sent.
    pub fn is_active(&self) -> bool {
        self.flag.load(Ordering::Acquire) && self.client.is_connected()
    }

    fn cancel(&self) {
        self.flag.store(false, Ordering::Release);
    }
}

impl PartialEq for CancellationToken {
    fn eq(&self, other: &Self) -> bool {
        Arc::ptr_eq(&self.flag, &other.flag)
    }
}

/// An attempt on its way to a data node.
#[derive(Debug, Clone, PartialEq)]
pub struct Dispatch {
    /// The attempt.
    pub attempt: AttemptId,
    /// What it carries.
    pub part: Arc<PartRequest>,
    /// Until when its response is waited for.
    pub deadline: Nanos,
    /// It is not begun from then on: its class may be retried for so long only.
    pub start_deadline: Nanos,
    /// Whether it may still be sent.
    pub cancellation: CancellationToken,
}

/// A value from a data node.
#[derive(Debug, Clone, PartialEq)]
pub struct Value {
    /// Its score.
    pub score: u64,
    /// The value, unchanged.
    pub data: Arc<str>,
}

/// A row of an answer.
#[derive(Debug, Clone, PartialEq)]
pub struct Row {
    /// The shard.
    pub shard: ShardId,
    /// The value, unchanged.
    pub data: Arc<str>,
}

/// The one final answer of a query.
#[derive(Debug, Clone, PartialEq)]
pub enum QueryOutcome {
    /// Served.
    Answered {
        /// Whether the answer is complete.
        complete: bool,
        /// The share of the weight that is in.
        coverage: f64,
        /// The values that are in.
        rows: Vec<Row>,
    },
    /// Rejected; a retry is harmless.
    Rejected {
        /// How long the client should wait before it retries; 0: no advice.
        retry_after: Nanos,
    },
    /// Failed, with no promise.
    Failed,
}

impl QueryOutcome {
    /// In a word, for the log.
    pub fn word(&self) -> &'static str {
        match self {
            Self::Answered { complete: true, .. } => "complete",
            Self::Answered { .. } => "partial",
            Self::Rejected { .. } => "rejected",
            Self::Failed => "failed",
        }
    }
}

/// What became of an attempt, for the request ledger: each is started once and ends once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptEvent {
    /// It was started.
    Started {
        /// Where it goes.
        server: ServerId,
        /// Its number among those of its part, from 0.
        number: u32,
        /// Whether another of the part is in flight.
        hedge: bool,
    },
    /// It has ended, with regard to its value.
    Ended {
        /// Where it went.
        server: ServerId,
        /// How.
        outcome: Outcome,
    },
}

/// What the embedder is to do, in this order.
#[derive(Debug, Clone, PartialEq)]
pub enum Command {
    /// Send one call with these attempts.
    SendCall {
        /// Where to.
        server: ServerId,
        /// The parts of the call.
        call: Vec<Dispatch>,
    },
    /// Stop waiting for an attempt: its end has been recorded already.
    CancelAttempt {
        /// Where it went.
        server: ServerId,
        /// The attempt.
        attempt: AttemptId,
    },
    /// Check the health of a data node.
    CheckHealth {
        /// Which.
        server: ServerId,
    },
    /// Close idle connections to a data node.
    CloseIdleConnections {
        /// Which.
        server: ServerId,
    },
    /// Forget a data node: it has left the list, and no attempt is in flight there.
    ForgetServer {
        /// Which.
        server: ServerId,
    },
    /// Record this in the request ledger.
    RecordAttempt(AttemptEvent),
    /// Give a query its final answer.
    FinishQuery {
        /// The query.
        query: QueryId,
        /// The answer.
        outcome: QueryOutcome,
    },
}

struct Open {
    name: String,
    class: ClassId,
    deadline: Nanos,
    text: Arc<str>,
    validator: ResponseValidator,
    client: ClientLiveness,
    parts: Vec<PartId>,
    second: bool,
    first_whole: bool,
}

struct Part {
    query: QueryId,
    shard: ShardId,
    weight: f64,
    text: Arc<PartRequest>,
    /// Attempts out, by number.
    out: Vec<(u32, AttemptId)>,
    /// All attempts by number: when each was sent, and whether it is proved never to have run.
    attempts: Vec<(Nanos, bool)>,
    value: Option<Value>,
}

struct Attempt {
    part: PartId,
    number: u32,
    server: ServerId,
    sent: Nanos,
    wanted: CancellationToken,
}

struct Server {
    name: String,
    partition_group: u32,
    /// When it last started, once the list has said so.
    started_at: Option<Nanos>,
    state: EndpointState,
}

/// The core of one coordinator.
pub struct Engine {
    policy: Policy,
    info: Deployment,
    /// How long after a query's time the engine itself ends it.
    backstop: Nanos,
    now: Nanos,
    servers: BTreeMap<ServerId, Server>,
    next_server: u32,
    ids: HashMap<String, ServerId>,
    open: BTreeMap<QueryId, Open>,
    /// The names of open queries, and of those that ended a short while ago.
    names: HashSet<String>,
    /// The latter, and until when.
    rested: VecDeque<(Nanos, String)>,
    name_rest: Nanos,
    /// All is answered by then: the process ends.
    ends_by: Nanos,
    parts: HashMap<PartId, Part>,
    attempts: HashMap<AttemptId, Attempt>,
    probes: HashMap<ServerId, Vec<Nanos>>,
    next_part: u64,
    next_attempt: u64,
    events: Vec<Event>,
    commands: Vec<Command>,
    wakes: BinaryHeap<Reverse<Nanos>>,
    limits: BinaryHeap<Reverse<(Nanos, AttemptId)>>,
    ends: BinaryHeap<Reverse<(Nanos, QueryId)>>,
}

impl Engine {
    /// An engine that knows no data node yet. A query that the module leaves open is ended `backstop`
    /// after its time, and its name is not taken again for `name_rest`.
    ///
    /// # Errors
    /// Settings that cannot be used are named.
    pub fn new(
        info: Deployment,
        seed: u64,
        backstop: Nanos,
        name_rest: Nanos,
    ) -> Result<Self, SettingsError> {
        Ok(Self {
            policy: Policy::new(info.settings.clone(), seed)?,
            info,
            backstop,
            now: 0,
            servers: BTreeMap::new(),
            next_server: 0,
            ids: HashMap::new(),
            open: BTreeMap::new(),
            names: HashSet::new(),
            rested: VecDeque::new(),
            name_rest,
            ends_by: Nanos::MAX,
            parts: HashMap::new(),
            attempts: HashMap::new(),
            probes: HashMap::new(),
            next_part: 0,
            next_attempt: 0,
            events: Vec::new(),
            commands: Vec::new(),
            wakes: BinaryHeap::new(),
            limits: BinaryHeap::new(),
            ends: BinaryHeap::new(),
        })
    }

    /// Takes over what the settings say now. Queries that are open go on under the rules they came under.
    pub fn update_settings(&mut self, info: Deployment) -> &Deployment {
        self.info = info.carried_over_from(&self.info);
        self.policy.update_settings(self.info.settings.clone());
        &self.info
    }

    /// The data node's name.
    pub fn server_name(&self, id: ServerId) -> &str {
        self.servers.get(&id).map_or("", |s| &s.name)
    }

    /// How many queries are open.
    pub fn open_queries(&self) -> usize {
        self.open.len()
    }

    /// How many attempts are in flight.
    pub fn in_flight_attempts(&self) -> usize {
        self.attempts.len()
    }

    /// How many data nodes are in service by the endpoint list.
    pub fn active_servers(&self) -> usize {
        self.servers.values().filter(|s| s.state == EndpointState::Active).count()
    }

    /// How many data nodes are not forgotten.
    pub fn known_servers(&self) -> usize {
        self.servers.len()
    }

    /// How many data nodes the endpoint list has.
    pub fn listed_servers(&self) -> usize {
        self.servers.values().filter(|s| s.state != EndpointState::Removed).count()
    }

    /// How many data nodes of the endpoint list get no attempts now: they drain or are ejected.
    pub fn excluded_servers(&self) -> usize {
        self.policy.excluded_servers()
    }

    /// Takes a query under an id that the embedder has not used before.
    ///
    /// # Errors
    /// Says why it is not taken; then nothing is owed for it.
    pub fn submit(&mut self, now: Nanos, id: QueryId, request: QueryRequest) -> Result<(), RejectReason> {
        self.now = self.now.max(now);
        let settings = &self.info.settings;
        if request.class.0 >= settings.classes.len() {
            return Err(RejectReason::UnknownClass);
        }
        let shards: HashSet<ShardId> = request.parts.iter().map(|p| p.0).collect();
        let sum: f64 = request.parts.iter().map(|p| p.1).sum();
        let weights = request.parts.iter().all(|p| p.1 > 0.0) && (sum - 1.0).abs() <= ROUNDING;
        let known = shards.iter().all(|s| self.info.shards == 0 || s.0 < self.info.shards);
        if shards.is_empty() || shards.len() != request.parts.len() || !known || !weights {
            return Err(RejectReason::InvalidParts);
        }
        let deadline = request.deadline.min(self.ends_by);
        if deadline <= self.now {
            return Err(RejectReason::DeadlinePassed);
        }
        while let Some((_, name)) = self.rested.front().filter(|r| r.0 <= self.now) {
            self.names.remove(name);
            self.rested.pop_front();
        }
        if self.names.contains(&request.name) {
            return Err(RejectReason::DuplicateName);
        }
        if self.open.len() + self.parts.len() + 1 + request.parts.len() > settings.max_open {
            return Err(RejectReason::QueueFull);
        }
        let QueryRequest { name, class, is_retry, parts, text, part_texts, validator, client, .. } = request;
        let key = None::<KeyId>;
        self.events.push(Event::QueryArrived { id, class, tenant: None, key, is_retry, deadline });
        self.ends.push(Reverse((deadline.saturating_add(self.backstop), id)));
        self.names.insert(name.clone());
        let parts_of = Vec::with_capacity(parts.len());
        let open = Open {
            name,
            class,
            deadline,
            text,
            validator,
            client,
            parts: parts_of,
            second: false,
            first_whole: false,
        };
        self.open.insert(id, open);
        let mut part_texts = part_texts.into_iter();
        for (shard, weight) in parts {
            self.add_part(id, shard, weight, part_texts.next(), None);
        }
        Ok(())
    }

    fn add_part(
        &mut self,
        query: QueryId,
        shard: ShardId,
        weight: f64,
        own: Option<Arc<str>>,
        first_phase: Option<FirstPhase>,
    ) {
        let Some(open) = self.open.get_mut(&query) else { return };
        let id = PartId(self.next_part);
        self.next_part += 1;
        let suffix = if first_phase.is_some() { ".fetch" } else { "" };
        let name = format!("{}.{}{suffix}", open.name, shard.0);
        let text = Arc::new(PartRequest {
            name,
            shard,
            text: own.unwrap_or_else(|| open.text.clone()),
            first_phase,
        });
        open.parts.push(id);
        let part = Part { query, shard, weight, text, out: Vec::new(), attempts: Vec::new(), value: None };
        self.parts.insert(id, part);
        self.events.push(Event::PartArrived { id, query, shard, weight });
    }

    /// The process shuts down: whatever time clients give, all is answered by then, what is queued included.
    pub fn shut_down_by(&mut self, by: Nanos) {
        self.ends_by = self.ends_by.min(by);
        for (&id, open) in self.open.iter_mut().filter(|(_, o)| o.deadline > by) {
            open.deadline = by;
            self.ends.push(Reverse((by.saturating_add(self.backstop), id)));
        }
        self.events.push(Event::ShuttingDown(by));
    }

    /// The client of a query has disconnected.
    pub fn client_disconnected(&mut self, query: QueryId) {
        if self.close(query) {
            self.events.push(Event::ClientDisconnected(query));
        }
    }

    /// The wall clock was stepped: what the list tells of starts from now on counts from when it is heard.
    pub fn wall_clock_stepped(&mut self) {
        self.policy.wall_clock_stepped();
    }

    /// The list of data nodes, or a change to it. Names that leave a full list are gone. Returns the shards of
    /// which a holder is new or has started anew: what it has may be older than what was seen.
    pub fn update_endpoints(&mut self, kind: EndpointUpdateKind, endpoints: &[Endpoint]) -> Vec<ShardId> {
        let mut anew: Vec<u32> = Vec::new();
        if kind.is_complete() {
            self.servers.values_mut().for_each(|s| s.state = EndpointState::Removed);
        }
        let mut entries = Vec::with_capacity(endpoints.len());
        for endpoint in endpoints {
            if endpoint.state == EndpointState::Removed && !self.ids.contains_key(&endpoint.name) {
                continue;
            }
            let server = self.intern(&endpoint.name);
            let Some(known) = self.servers.get_mut(&server) else { continue };
            known.partition_group = endpoint.partition_group;
            known.state = endpoint.state;
            if known.started_at.replace(endpoint.started_at) != Some(endpoint.started_at) {
                anew.push(endpoint.partition_group);
            }
            let zone = endpoint.zone.as_ref().and_then(|z| self.info.zone_names.iter().position(|n| n == z));
            entries.push(EndpointRecord {
                server,
                partition_group: endpoint.partition_group,
                started_at: endpoint.started_at,
                capacity: endpoint.capacity,
                state: endpoint.state,
                zone: zone.map(|z| ZoneId(z as u32)),
            });
        }
        self.events.push(Event::EndpointsUpdated { kind, records: entries });
        self.retire();
        let shards = (0..self.info.shards).map(ShardId);
        shards.filter(|&s| anew.iter().any(|&group| self.group_holds(group, s))).collect()
    }

    /// The news of the list is overdue: nothing is sent by it until there is news.
    pub fn endpoint_list_expired(&mut self) {
        self.events.push(Event::EndpointListExpired);
    }

    /// Forgets the data nodes that have left the list, once nothing of them is out: those that replace them
    /// have other names.
    fn retire(&mut self) {
        if self.servers.values().all(|s| s.state != EndpointState::Removed) {
            return;
        }
        let used: HashSet<ServerId> = self.attempts.values().map(|a| a.server).collect();
        let over = |(id, s): &(&ServerId, &Server)| s.state == EndpointState::Removed && !used.contains(id);
        let over: Vec<ServerId> = self.servers.iter().filter(over).map(|(&id, _)| id).collect();
        for server in over {
            if let Some(gone) = self.servers.remove(&server) {
                self.ids.remove(&gone.name);
            }
            self.probes.remove(&server);
            self.commands.push(Command::ForgetServer { server });
        }
    }

    /// The id of a data node that is known.
    pub fn server_id(&self, name: &str) -> Option<ServerId> {
        self.ids.get(name).copied()
    }

    /// The id of a data node; ids are given in the order in which names are met, and never again.
    pub fn intern(&mut self, name: &str) -> ServerId {
        if let Some(&id) = self.ids.get(name) {
            return id;
        }
        let id = ServerId(self.next_server);
        self.next_server += 1;
        self.servers.insert(
            id,
            Server {
                name: name.to_string(),
                partition_group: u32::MAX,
                started_at: None,
                state: EndpointState::Removed,
            },
        );
        self.ids.insert(name.to_string(), id);
        id
    }

    /// An attempt has ended; only the first word on it counts. Returns how it has ended with regard to its value:
    /// one that its front does not accept is spoilt, and may have run.
    pub fn attempt_ended(
        &mut self,
        now: Nanos,
        id: AttemptId,
        outcome: Outcome,
        value: Option<Value>,
    ) -> Outcome {
        self.now = self.now.max(now);
        let Some(a) = self.attempts.remove(&id) else { return outcome };
        a.wanted.cancel();
        let outcome = match (outcome, &value, self.parts.get(&a.part).filter(|p| p.value.is_none())) {
            // A pass without a value serves nobody.
            (Outcome::Success, None, _) => Outcome::ServerError,
            (Outcome::Success, Some(value), Some(part)) => {
                let validator = self.open.get(&part.query).map(|o| o.validator.clone()).unwrap_or_default();
                if validator.accepts(part.shard, value) {
                    outcome
                } else {
                    Outcome::MalformedResponse
                }
            }
            _ => outcome,
        };
        if let Some(part) = self.parts.get_mut(&a.part) {
            part.attempts[a.number as usize].1 = outcome.never_ran();
            part.out.retain(|o| o.1 != id);
            if outcome == Outcome::Success && part.value.is_none() {
                part.value = value;
            }
        }
        self.commands.push(Command::RecordAttempt(AttemptEvent::Ended { server: a.server, outcome }));
        let latency = self.now.saturating_sub(a.sent);
        self.events.push(Event::AttemptEnded {
            part: a.part,
            attempt: a.number,
            server: a.server,
            outcome,
            latency,
        });
        outcome
    }

    /// A probe has ended.
    pub fn health_checked(&mut self, now: Nanos, server: ServerId, outcome: Outcome) {
        self.now = self.now.max(now);
        let Some(sent) = self.probes.get_mut(&server).filter(|p| !p.is_empty()).map(|p| p.remove(0)) else {
            return;
        };
        let latency = self.now.saturating_sub(sent);
        self.events.push(Event::HealthChecked { server, outcome, latency });
    }

    /// When [`Engine::run`] is next due with nothing else happening.
    pub fn next_deadline(&mut self) -> Option<Nanos> {
        while self.limits.peek().is_some_and(|l| !self.attempts.contains_key(&l.0 .1)) {
            self.limits.pop();
        }
        while self.ends.peek().is_some_and(|e| !self.open.contains_key(&e.0 .1)) {
            self.ends.pop();
        }
        if !self.events.is_empty() {
            return Some(self.now);
        }
        let wake = self.wakes.peek().map(|w| w.0);
        let limit = self.limits.peek().map(|l| l.0 .0);
        let end = self.ends.peek().map(|e| e.0 .0);
        [wake, limit, end].into_iter().flatten().min()
    }

    /// Lets the module act on all that was told, and on what is due.
    pub fn run(&mut self, now: Nanos) -> Vec<Command> {
        self.now = self.now.max(now);
        self.expire();
        self.end_overdue();
        for _ in 0..ROUNDS {
            if self.events.is_empty() {
                break;
            }
            let events = std::mem::take(&mut self.events);
            for action in self.policy.round(self.now, events) {
                self.act(action);
            }
        }
        self.join_calls()
    }

    fn expire(&mut self) {
        while self.wakes.peek().is_some_and(|w| w.0 <= self.now) {
            self.wakes.pop();
            if self.events.last() != Some(&Event::TimerFired) {
                self.events.push(Event::TimerFired);
            }
        }
        while let Some(&Reverse((_, id))) = self.limits.peek().filter(|l| l.0 .0 <= self.now) {
            self.limits.pop();
            self.give_up(id, Outcome::TimedOut);
        }
    }

    /// Ends an attempt from this side, and has the data node told.
    fn give_up(&mut self, id: AttemptId, outcome: Outcome) {
        if let Some(a) = self.attempts.get(&id) {
            self.commands.push(Command::CancelAttempt { server: a.server, attempt: id });
            self.attempt_ended(self.now, id, outcome, None);
        }
    }

    /// The guarantee that does not rest on the module: an answer in time.
    fn end_overdue(&mut self) {
        while let Some(&Reverse((_, id))) = self.ends.peek().filter(|e| e.0 .0 <= self.now) {
            self.ends.pop();
            if self.open.contains_key(&id) {
                self.finish(id, QueryOutcome::Failed);
                self.events.push(Event::ClientDisconnected(id));
            }
        }
    }

    fn act(&mut self, action: Action) {
        match action {
            Action::StartAttempt { part, server, timeout: within } => self.send(part, server, within),
            Action::CancelAttempt { part, attempt } => {
                let out = self.parts.get(&part).and_then(|p| p.out.iter().find(|o| o.0 == attempt));
                let id = out.map(|o| o.1).or_else(|| {
                    let same = |a: &&Attempt| a.part == part && a.number == attempt;
                    self.attempts.iter().find(|(_, a)| same(a)).map(|(&id, _)| id)
                });
                if let Some(id) = id {
                    self.give_up(id, Outcome::Cancelled);
                }
            }
            Action::Answer { query, complete: whole } => self.answer(query, whole),
            Action::Reject { query, retry_after } => {
                self.finish(query, QueryOutcome::Rejected { retry_after });
            }
            Action::Fail { query } => {
                self.finish(query, QueryOutcome::Failed);
            }
            Action::CheckHealth { server } => {
                if self.servers.contains_key(&server) {
                    self.probes.entry(server).or_default().push(self.now);
                    self.commands.push(Command::CheckHealth { server });
                }
            }
            Action::CloseIdleConnections { server } => {
                self.commands.push(Command::CloseIdleConnections { server })
            }
            Action::SetTimer { after } => self.wakes.push(Reverse(self.now.saturating_add(after.max(1)))),
        }
    }

    /// Whether a data node's cell holds a shard.
    fn holds(&self, server: ServerId, shard: ShardId) -> bool {
        self.servers.get(&server).is_some_and(|s| self.group_holds(s.partition_group, shard))
    }

    fn group_holds(&self, partition_group: u32, shard: ShardId) -> bool {
        let layout = self.info.settings.layout;
        let distance = u64::from(partition_group) + u64::from(layout.partition_groups);
        let distance =
            (distance - u64::from(shard.0 % layout.partition_groups)) % u64::from(layout.partition_groups);
        partition_group < layout.partition_groups && distance < u64::from(layout.groups_per_shard)
    }

    fn send(&mut self, part_id: PartId, server: ServerId, within: Nanos) {
        let id = AttemptId(self.next_attempt);
        self.next_attempt += 1;
        let Some(part) = self.parts.get_mut(&part_id) else { return };
        let number = part.attempts.len() as u32;
        let first = part.attempts.iter().find(|a| !a.1).map(|a| a.0);
        part.attempts.push((self.now, false));
        let (shard, text, copy) = (part.shard, part.text.clone(), !part.out.is_empty());
        let Some(query) = self.open.get(&part.query) else { return };
        let class = &self.info.settings.classes[query.class.0];
        let (max, begin_by) = (class.max_attempts, class.retry_deadline(first));
        let until = query.deadline.min(self.now.saturating_add(within));
        let wanted = CancellationToken::for_client(query.client.clone());
        let attempt = Attempt { part: part_id, number, server, sent: self.now, wanted: wanted.clone() };
        self.attempts.insert(id, attempt);
        self.commands.push(Command::RecordAttempt(AttemptEvent::Started { server, number, hedge: copy }));
        let state = self.servers.get(&server).map(|s| s.state);
        if number >= max
            || until.min(begin_by) <= self.now
            || state != Some(EndpointState::Active)
            || !self.holds(server, shard)
        {
            self.attempt_ended(self.now, id, Outcome::NotSent, None);
            return;
        }
        if let Some(part) = self.parts.get_mut(&part_id) {
            part.out.push((number, id));
        }
        self.limits.push(Reverse((until, id)));
        let call = vec![Dispatch {
            attempt: id,
            part: text,
            deadline: until,
            start_deadline: begin_by,
            cancellation: wanted,
        }];
        self.commands.push(Command::SendCall { server, call });
    }

    /// Sends of this moment to one data node share a call, up to the most that one carries.
    fn join_calls(&mut self) -> Vec<Command> {
        let most = self.info.settings.layout.max_batch as usize;
        let mut joined: Vec<Command> = Vec::with_capacity(self.commands.len());
        let mut calls: HashMap<ServerId, usize> = HashMap::new();
        for command in self.commands.drain(..) {
            if let Command::SendCall { server, call } = &command {
                if !call.iter().all(|d| self.attempts.contains_key(&d.attempt)) {
                    continue; // Ended within the same moment.
                }
                let place = calls.get(server).copied();
                if let Some(Command::SendCall { call: open, .. }) = place.and_then(|i| joined.get_mut(i)) {
                    if open.len() + call.len() <= most {
                        open.extend(call.iter().cloned());
                        continue;
                    }
                }
                calls.insert(*server, joined.len());
            }
            joined.push(command);
        }
        joined
    }

    fn answer(&mut self, id: QueryId, whole: bool) {
        let Some(open) = self.open.get(&id) else { return };
        let class = &self.info.settings.classes[open.class.0];
        let (need, floor) = match open.second {
            false => (class.complete_coverage, class.min_coverage),
            true => {
                (1.0, if class.min_coverage < class.complete_coverage { class.min_coverage } else { 1.0 })
            }
        };
        let mut rows = Vec::new();
        let mut scored = Vec::new();
        let mut weight = 0.0;
        for part in open.parts.iter().filter_map(|p| self.parts.get(p)) {
            let Some(value) = &part.value else { continue };
            weight += part.weight;
            rows.push(Row { shard: part.shard, data: value.data.clone() });
            scored.push((Reverse(value.score), part.shard));
        }
        if rows.is_empty() || weight < floor.min(need) - SLACK {
            return self.overruled(id);
        }
        let whole = whole && weight >= need - SLACK && (!open.second || open.first_whole);
        if open.second || class.second_phase_parts == 0 {
            self.finish(id, QueryOutcome::Answered { complete: whole, coverage: weight, rows });
            return;
        }
        self.second_step(id, whole, scored);
    }

    /// The module answered what may not be answered: the query ends honestly.
    fn overruled(&mut self, id: QueryId) {
        self.finish(id, QueryOutcome::Failed);
        self.events.push(Event::ClientDisconnected(id));
    }

    fn second_step(&mut self, id: QueryId, whole: bool, mut scored: Vec<(Reverse<u64>, ShardId)>) {
        let Some(open) = self.open.get_mut(&id) else { return };
        let most = self.info.settings.classes[open.class.0].second_phase_parts as usize;
        open.second = true;
        open.first_whole = whole;
        for part in std::mem::take(&mut open.parts) {
            self.drop_part(part);
        }
        let mut shards: Vec<ShardId> = scored.iter().map(|s| s.1).collect();
        shards.sort_unstable();
        scored.sort_unstable();
        scored.truncate(most);
        let weight = 1.0 / scored.len() as f64;
        for (_, shard) in scored {
            self.add_part(
                id,
                shard,
                weight,
                None,
                Some(FirstPhase { shards: shards.clone(), complete: whole }),
            );
        }
    }

    /// Forgets a part; what is out for it stays known until it has ended.
    fn drop_part(&mut self, id: PartId) {
        let Some(part) = self.parts.remove(&id) else { return };
        for (_, attempt) in part.out {
            self.give_up(attempt, Outcome::Cancelled);
        }
    }

    fn close(&mut self, id: QueryId) -> bool {
        let Some(open) = self.open.remove(&id) else { return false };
        self.rested.push_back((self.now.saturating_add(self.name_rest), open.name));
        open.parts.into_iter().for_each(|p| self.drop_part(p));
        true
    }

    fn finish(&mut self, query: QueryId, answer: QueryOutcome) {
        if self.close(query) {
            self.commands.push(Command::FinishQuery { query, outcome: answer });
        }
    }
}

#[cfg(test)]
mod tests;
