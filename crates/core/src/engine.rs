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
use crate::settings::Info;
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

/// One line of the list of data nodes, under the names that the list uses.
#[derive(Debug, Clone, PartialEq)]
pub struct Member {
    /// The data node's name: the same for all coordinators and after a restart.
    pub name: String,
    /// Its cell.
    pub cell: u32,
    /// When it last started; 0: long ago.
    pub started_at: Nanos,
    /// Its size for comparison.
    pub rating: f64,
    /// Its phase.
    pub phase: EndpointState,
    /// Its zone's name.
    pub zone: Option<String>,
}

/// What a front demands of a value before it counts as its part's. It is asked once for each value that comes while
/// the part has none. Without a demand every value counts.
#[derive(Clone, Default)]
pub struct Accept(Option<Arc<Judge>>);

/// Whether a value may count for a shard.
pub type Judge = dyn Fn(ShardId, &Value) -> bool + Send + Sync;

impl Accept {
    /// Demands that this holds of a value.
    pub fn only(judge: impl Fn(ShardId, &Value) -> bool + Send + Sync + 'static) -> Self {
        Self(Some(Arc::new(judge)))
    }

    fn admits(&self, shard: ShardId, value: &Value) -> bool {
        self.0.as_ref().is_none_or(|judge| judge(shard, value))
    }
}

impl std::fmt::Debug for Accept {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(if self.0.is_some() { "Accept(demand)" } else { "Accept(any)" })
    }
}

impl PartialEq for Accept {
    fn eq(&self, other: &Self) -> bool {
        match (&self.0, &other.0) {
            (Some(a), Some(b)) => Arc::ptr_eq(a, b),
            (a, b) => a.is_none() && b.is_none(),
        }
    }
}

/// The client of a query, as its front sees it at any moment: whether it is still there. Without a look it is.
#[derive(Clone, Default)]
pub struct Client(Option<Arc<Look>>);

/// Whether a client is still there.
pub type Look = dyn Fn() -> bool + Send + Sync;

impl Client {
    /// One that is there for as long as this holds.
    pub fn seen(look: impl Fn() -> bool + Send + Sync + 'static) -> Self {
        Self(Some(Arc::new(look)))
    }

    /// Whether it is.
    pub fn here(&self) -> bool {
        self.0.as_ref().is_none_or(|look| look())
    }
}

impl std::fmt::Debug for Client {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(if self.0.is_some() { "Client(seen)" } else { "Client(any)" })
    }
}

impl PartialEq for Client {
    fn eq(&self, other: &Self) -> bool {
        match (&self.0, &other.0) {
            (Some(a), Some(b)) => Arc::ptr_eq(a, b),
            (a, b) => a.is_none() && b.is_none(),
        }
    }
}

/// A query as a front hands it in.
#[derive(Debug, Clone, PartialEq)]
pub struct Ask {
    /// Its name on the wire.
    pub name: String,
    /// Its class.
    pub class: ClassId,
    /// Whether the client says that it repeats.
    pub repeated: bool,
    /// When the client gives up.
    pub valid_until: Nanos,
    /// Shards and their shares of the answer.
    pub parts: Vec<(ShardId, f64)>,
    /// What each part asks.
    pub text: Arc<str>,
    /// What the parts of the first step ask, in their order, where they do not all ask the same.
    pub texts: Vec<Arc<str>>,
    /// What is demanded of a value.
    pub accept: Accept,
    /// Its client.
    pub client: Client,
}

/// Why a query is not taken.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Rejected {
    /// As many queries and parts are held as may be.
    Full,
    /// It names no part, a shard that does not exist or one shard twice, or its weights are no shares of one
    /// whole.
    BadParts,
    /// A query of this name is open, or was a short while ago: data nodes answer by name.
    SameName,
    /// There is no such class.
    UnknownClass,
    /// Its time has run out already.
    Late,
}

/// What a part carries to its data node.
#[derive(Debug, Clone, PartialEq)]
pub struct PartText {
    /// The part's name on the wire.
    pub name: String,
    /// Its shard.
    pub shard: ShardId,
    /// The query's text.
    pub text: Arc<str>,
    /// In a second step: the shards that were in, and whether the first step was whole.
    pub after: Option<(Vec<ShardId>, bool)>,
}

/// Whether an attempt is still wanted. The engine clears it the moment that the attempt has ended for it, ahead
/// of the query's answer; it is looked at right before a frame's first byte, so that nothing is sent on for a
/// query that has its answer, whatever waits in whichever mailbox. The same holds for a query whose client has
/// left: while its parts go out one after the other, nobody else has come to read that.
#[derive(Debug, Clone, Default)]
pub struct Wanted {
    flag: Arc<AtomicBool>,
    client: Client,
}

impl Wanted {
    /// Wanted until it is cleared.
    pub fn new() -> Self {
        Self::by(Client::default())
    }

    /// Wanted until it is cleared, by this client.
    pub fn by(client: Client) -> Self {
        Self { flag: Arc::new(AtomicBool::new(true)), client }
    }

    /// Whether it still is.
    pub fn yes(&self) -> bool {
        self.flag.load(Ordering::Acquire) && self.client.here()
    }

    fn clear(&self) {
        self.flag.store(false, Ordering::Release);
    }
}

impl PartialEq for Wanted {
    fn eq(&self, other: &Self) -> bool {
        Arc::ptr_eq(&self.flag, &other.flag)
    }
}

/// An attempt on its way to a data node.
#[derive(Debug, Clone, PartialEq)]
pub struct Dispatch {
    /// The attempt.
    pub attempt: AttemptId,
    /// What it asks.
    pub part: Arc<PartText>,
    /// Until when its answer is waited for.
    pub until: Nanos,
    /// It is not begun from then on: its class may be repeated for so long only.
    pub begin_by: Nanos,
    /// Whether it is still wanted.
    pub wanted: Wanted,
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
pub enum Final {
    /// Served.
    Answered {
        /// Whether the answer is whole.
        whole: bool,
        /// The share of the weight that is in.
        share: f64,
        /// The values that are in.
        rows: Vec<Row>,
    },
    /// Turned away; trying again is harmless.
    Refused {
        /// How long to stay away; 0: no advice.
        hold_off: Nanos,
    },
    /// Given up.
    Failed,
}

impl Final {
    /// In a word, for the log.
    pub fn word(&self) -> &'static str {
        match self {
            Self::Answered { whole: true, .. } => "answered whole",
            Self::Answered { .. } => "answered in part",
            Self::Refused { .. } => "refused",
            Self::Failed => "failed",
        }
    }
}

/// What became of an attempt, for the books: each is started once and ends once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Note {
    /// It was started.
    Started {
        /// Where it goes.
        server: ServerId,
        /// Its number among those of its part, from 0.
        number: u32,
        /// Whether another of the part is out.
        copy: bool,
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
    Send {
        /// Where to.
        server: ServerId,
        /// The parts of the call.
        call: Vec<Dispatch>,
    },
    /// Stop waiting for an attempt: its end has been told already.
    Drop {
        /// Where it went.
        server: ServerId,
        /// The attempt.
        attempt: AttemptId,
    },
    /// Probe a data node.
    Probe {
        /// Which.
        server: ServerId,
    },
    /// Close idle connections to a data node.
    CloseIdle {
        /// Which.
        server: ServerId,
    },
    /// Forget a data node: it has left the list, and nothing of it is out.
    Retire {
        /// Which.
        server: ServerId,
    },
    /// Book this.
    Book(Note),
    /// Give a query its final answer.
    Finish {
        /// The query.
        query: QueryId,
        /// The answer.
        answer: Final,
    },
}

struct Open {
    name: String,
    class: ClassId,
    valid_until: Nanos,
    text: Arc<str>,
    accept: Accept,
    client: Client,
    parts: Vec<PartId>,
    second: bool,
    first_whole: bool,
}

struct Part {
    query: QueryId,
    shard: ShardId,
    weight: f64,
    text: Arc<PartText>,
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
    wanted: Wanted,
}

struct Server {
    name: String,
    cell: u32,
    /// When it last started, once the list has said so.
    started_at: Option<Nanos>,
    phase: EndpointState,
}

/// The core of one coordinator.
pub struct Engine {
    policy: Policy,
    info: Info,
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
    pub fn new(info: Info, seed: u64, backstop: Nanos, name_rest: Nanos) -> Result<Self, SettingsError> {
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
    pub fn reset(&mut self, info: Info) -> &Info {
        self.info = info.after(&self.info);
        self.policy.reset(self.info.settings.clone());
        &self.info
    }

    /// The data node's name.
    pub fn server_name(&self, id: ServerId) -> &str {
        self.servers.get(&id).map_or("", |s| &s.name)
    }

    /// Queries held.
    pub fn held(&self) -> usize {
        self.open.len()
    }

    /// Attempts whose end is not yet told.
    pub fn out(&self) -> usize {
        self.attempts.len()
    }

    /// Data nodes in service, as the list has it.
    pub fn in_service(&self) -> usize {
        self.servers.values().filter(|s| s.phase == EndpointState::Active).count()
    }

    /// Data nodes that are not forgotten.
    pub fn known(&self) -> usize {
        self.servers.len()
    }

    /// Data nodes in the list, and how many of those get nothing now: they drain, or the module avoids them.
    pub fn listed(&self) -> (usize, usize) {
        (self.servers.values().filter(|s| s.phase != EndpointState::Removed).count(), self.policy.avoided())
    }

    /// Takes a query under an id that the embedder has not used before.
    ///
    /// # Errors
    /// Says why it is not taken; then nothing is owed for it.
    pub fn ask(&mut self, now: Nanos, id: QueryId, ask: Ask) -> Result<(), Rejected> {
        self.now = self.now.max(now);
        let settings = &self.info.settings;
        if ask.class.0 >= settings.classes.len() {
            return Err(Rejected::UnknownClass);
        }
        let shards: HashSet<ShardId> = ask.parts.iter().map(|p| p.0).collect();
        let sum: f64 = ask.parts.iter().map(|p| p.1).sum();
        let weights = ask.parts.iter().all(|p| p.1 > 0.0) && (sum - 1.0).abs() <= ROUNDING;
        let known = shards.iter().all(|s| self.info.ranges == 0 || s.0 < self.info.ranges);
        if shards.is_empty() || shards.len() != ask.parts.len() || !known || !weights {
            return Err(Rejected::BadParts);
        }
        let valid_until = ask.valid_until.min(self.ends_by);
        if valid_until <= self.now {
            return Err(Rejected::Late);
        }
        while let Some((_, name)) = self.rested.front().filter(|r| r.0 <= self.now) {
            self.names.remove(name);
            self.rested.pop_front();
        }
        if self.names.contains(&ask.name) {
            return Err(Rejected::SameName);
        }
        if self.open.len() + self.parts.len() + 1 + ask.parts.len() > settings.max_open {
            return Err(Rejected::Full);
        }
        let Ask { name, class, repeated, parts, text, texts, accept, client, .. } = ask;
        let key = None::<KeyId>;
        self.events.push(Event::QueryArrived {
            id,
            class,
            tenant: None,
            key,
            is_retry: repeated,
            deadline: valid_until,
        });
        self.ends.push(Reverse((valid_until.saturating_add(self.backstop), id)));
        self.names.insert(name.clone());
        let parts_of = Vec::with_capacity(parts.len());
        let open = Open {
            name,
            class,
            valid_until,
            text,
            accept,
            client,
            parts: parts_of,
            second: false,
            first_whole: false,
        };
        self.open.insert(id, open);
        let mut texts = texts.into_iter();
        for (shard, weight) in parts {
            self.add_part(id, shard, weight, texts.next(), None);
        }
        Ok(())
    }

    fn add_part(
        &mut self,
        query: QueryId,
        shard: ShardId,
        weight: f64,
        own: Option<Arc<str>>,
        after: Option<(Vec<ShardId>, bool)>,
    ) {
        let Some(open) = self.open.get_mut(&query) else { return };
        let id = PartId(self.next_part);
        self.next_part += 1;
        let suffix = if after.is_some() { ".fetch" } else { "" };
        let name = format!("{}.{}{suffix}", open.name, shard.0);
        let text = Arc::new(PartText { name, shard, text: own.unwrap_or_else(|| open.text.clone()), after });
        open.parts.push(id);
        let part = Part { query, shard, weight, text, out: Vec::new(), attempts: Vec::new(), value: None };
        self.parts.insert(id, part);
        self.events.push(Event::PartArrived { id, query, shard, weight });
    }

    /// The process ends: whatever time clients give, all is answered by then, what is held included.
    pub fn ending(&mut self, by: Nanos) {
        self.ends_by = self.ends_by.min(by);
        for (&id, open) in self.open.iter_mut().filter(|(_, o)| o.valid_until > by) {
            open.valid_until = by;
            self.ends.push(Reverse((by.saturating_add(self.backstop), id)));
        }
        self.events.push(Event::ShuttingDown(by));
    }

    /// The client of a query has left.
    pub fn gone(&mut self, query: QueryId) {
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
    pub fn list(&mut self, kind: EndpointUpdateKind, members: &[Member]) -> Vec<ShardId> {
        let mut anew: Vec<u32> = Vec::new();
        if kind.is_complete() {
            self.servers.values_mut().for_each(|s| s.phase = EndpointState::Removed);
        }
        let mut entries = Vec::with_capacity(members.len());
        for m in members {
            if m.phase == EndpointState::Removed && !self.ids.contains_key(&m.name) {
                continue;
            }
            let server = self.intern(&m.name);
            let Some(known) = self.servers.get_mut(&server) else { continue };
            known.cell = m.cell;
            known.phase = m.phase;
            if known.started_at.replace(m.started_at) != Some(m.started_at) {
                anew.push(m.cell);
            }
            let zone = m.zone.as_ref().and_then(|z| self.info.zones.iter().position(|n| n == z));
            entries.push(EndpointRecord {
                server,
                partition_group: m.cell,
                started_at: m.started_at,
                capacity: m.rating,
                state: m.phase,
                zone: zone.map(|z| ZoneId(z as u32)),
            });
        }
        self.events.push(Event::EndpointsUpdated { kind, records: entries });
        self.retire();
        let shards = (0..self.info.ranges).map(ShardId);
        shards.filter(|&s| anew.iter().any(|&cell| self.cell_holds(cell, s))).collect()
    }

    /// The news of the list is overdue: nothing is sent by it until there is news.
    pub fn list_expired(&mut self) {
        self.events.push(Event::EndpointListExpired);
    }

    /// Forgets the data nodes that have left the list, once nothing of them is out: those that replace them
    /// have other names.
    fn retire(&mut self) {
        if self.servers.values().all(|s| s.phase != EndpointState::Removed) {
            return;
        }
        let used: HashSet<ServerId> = self.attempts.values().map(|a| a.server).collect();
        let over = |(id, s): &(&ServerId, &Server)| s.phase == EndpointState::Removed && !used.contains(id);
        let over: Vec<ServerId> = self.servers.iter().filter(over).map(|(&id, _)| id).collect();
        for server in over {
            if let Some(gone) = self.servers.remove(&server) {
                self.ids.remove(&gone.name);
            }
            self.probes.remove(&server);
            self.commands.push(Command::Retire { server });
        }
    }

    /// The id of a data node that is known.
    pub fn id(&self, name: &str) -> Option<ServerId> {
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
                cell: u32::MAX,
                started_at: None,
                phase: EndpointState::Removed,
            },
        );
        self.ids.insert(name.to_string(), id);
        id
    }

    /// An attempt has ended; only the first word on it counts. Returns how it has ended with regard to its value:
    /// one that its front does not accept is spoilt, and may have run.
    pub fn ended(&mut self, now: Nanos, id: AttemptId, outcome: Outcome, value: Option<Value>) -> Outcome {
        self.now = self.now.max(now);
        let Some(a) = self.attempts.remove(&id) else { return outcome };
        a.wanted.clear();
        let outcome = match (outcome, &value, self.parts.get(&a.part).filter(|p| p.value.is_none())) {
            // A pass without a value serves nobody.
            (Outcome::Success, None, _) => Outcome::ServerError,
            (Outcome::Success, Some(value), Some(part)) => {
                let accept = self.open.get(&part.query).map(|o| o.accept.clone()).unwrap_or_default();
                if accept.admits(part.shard, value) {
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
        self.commands.push(Command::Book(Note::Ended { server: a.server, outcome }));
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
    pub fn probed(&mut self, now: Nanos, server: ServerId, outcome: Outcome) {
        self.now = self.now.max(now);
        let Some(sent) = self.probes.get_mut(&server).filter(|p| !p.is_empty()).map(|p| p.remove(0)) else {
            return;
        };
        let latency = self.now.saturating_sub(sent);
        self.events.push(Event::HealthChecked { server, outcome, latency });
    }

    /// When [`Engine::run`] is next due with nothing else happening.
    pub fn next_due(&mut self) -> Option<Nanos> {
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
            self.commands.push(Command::Drop { server: a.server, attempt: id });
            self.ended(self.now, id, outcome, None);
        }
    }

    /// The guarantee that does not rest on the module: an answer in time.
    fn end_overdue(&mut self) {
        while let Some(&Reverse((_, id))) = self.ends.peek().filter(|e| e.0 .0 <= self.now) {
            self.ends.pop();
            if self.open.contains_key(&id) {
                self.finish(id, Final::Failed);
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
            Action::Reject { query, retry_after: hold_off } => {
                self.finish(query, Final::Refused { hold_off });
            }
            Action::Fail { query } => {
                self.finish(query, Final::Failed);
            }
            Action::CheckHealth { server } => {
                if self.servers.contains_key(&server) {
                    self.probes.entry(server).or_default().push(self.now);
                    self.commands.push(Command::Probe { server });
                }
            }
            Action::CloseIdleConnections { server } => self.commands.push(Command::CloseIdle { server }),
            Action::SetTimer { after } => self.wakes.push(Reverse(self.now.saturating_add(after.max(1)))),
        }
    }

    /// Whether a data node's cell holds a shard.
    fn holds(&self, server: ServerId, shard: ShardId) -> bool {
        self.servers.get(&server).is_some_and(|s| self.cell_holds(s.cell, shard))
    }

    fn cell_holds(&self, cell: u32, shard: ShardId) -> bool {
        let layout = self.info.settings.layout;
        let distance = u64::from(cell) + u64::from(layout.partition_groups);
        let distance =
            (distance - u64::from(shard.0 % layout.partition_groups)) % u64::from(layout.partition_groups);
        cell < layout.partition_groups && distance < u64::from(layout.groups_per_shard)
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
        let until = query.valid_until.min(self.now.saturating_add(within));
        let wanted = Wanted::by(query.client.clone());
        let attempt = Attempt { part: part_id, number, server, sent: self.now, wanted: wanted.clone() };
        self.attempts.insert(id, attempt);
        self.commands.push(Command::Book(Note::Started { server, number, copy }));
        let phase = self.servers.get(&server).map(|s| s.phase);
        if number >= max
            || until.min(begin_by) <= self.now
            || phase != Some(EndpointState::Active)
            || !self.holds(server, shard)
        {
            self.ended(self.now, id, Outcome::NotSent, None);
            return;
        }
        if let Some(part) = self.parts.get_mut(&part_id) {
            part.out.push((number, id));
        }
        self.limits.push(Reverse((until, id)));
        let call = vec![Dispatch { attempt: id, part: text, until, begin_by, wanted }];
        self.commands.push(Command::Send { server, call });
    }

    /// Sends of this moment to one data node share a call, up to the most that one carries.
    fn join_calls(&mut self) -> Vec<Command> {
        let most = self.info.settings.layout.max_batch as usize;
        let mut joined: Vec<Command> = Vec::with_capacity(self.commands.len());
        let mut calls: HashMap<ServerId, usize> = HashMap::new();
        for command in self.commands.drain(..) {
            if let Command::Send { server, call } = &command {
                if !call.iter().all(|d| self.attempts.contains_key(&d.attempt)) {
                    continue; // Ended within the same moment.
                }
                let place = calls.get(server).copied();
                if let Some(Command::Send { call: open, .. }) = place.and_then(|i| joined.get_mut(i)) {
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
            self.finish(id, Final::Answered { whole, share: weight, rows });
            return;
        }
        self.second_step(id, whole, scored);
    }

    /// The module answered what may not be answered: the query ends honestly.
    fn overruled(&mut self, id: QueryId) {
        self.finish(id, Final::Failed);
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
            self.add_part(id, shard, weight, None, Some((shards.clone(), whole)));
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

    fn finish(&mut self, query: QueryId, answer: Final) {
        if self.close(query) {
            self.commands.push(Command::Finish { query, answer });
        }
    }
}

#[cfg(test)]
mod tests;
