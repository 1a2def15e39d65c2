//! What the policy remembers: plain records, no decisions.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};

use crate::api::{
    ClassId, EndpointRecord, EndpointState, EndpointUpdateKind, Nanos, PartId, QueryId, ServerId, ShardId,
    ShardLayout, ZoneId,
};
use crate::starts::{cold_since, Evidence};
use crate::window::{Decaying, SlidingCount, Tally};

/// Why an attempt was sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Kind {
    First,
    Copy,
    Retry,
}

/// How far an attempt has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Fate {
    Out,
    Cancelled,
    Ended { never_ran: bool },
}

#[derive(Debug, Clone)]
pub(crate) struct Attempt {
    pub(crate) server: ServerId,
    pub(crate) sent: Nanos,
    pub(crate) kind: Kind,
    pub(crate) fate: Fate,
}

/// An attempt as its server's record sees it: kept until its outcome, also past its query.
#[derive(Debug, Clone)]
pub(crate) struct Pending {
    pub(crate) part: PartId,
    pub(crate) attempt: u32,
    pub(crate) sent: Nanos,
    pub(crate) call: u64,
    pub(crate) aim: Nanos,
    pub(crate) class: ClassId,
    /// How long the connection had been idle; nothing where it was opened for this.
    pub(crate) idle: Option<Nanos>,
}

#[derive(Debug, Clone)]
pub(crate) struct Part {
    pub(crate) query: QueryId,
    pub(crate) shard: ShardId,
    pub(crate) weight: f64,
    pub(crate) done: bool,
    pub(crate) attempts: Vec<Attempt>,
    /// Attempts whose connection broke.
    pub(crate) broken: u32,
}

impl Part {
    /// A weight that is no number counts nothing.
    pub(crate) fn new(query: QueryId, shard: ShardId, weight: f64) -> Self {
        let weight = if weight.is_finite() { weight.max(0.0) } else { 0.0 };
        Self { query, shard, weight, done: false, attempts: Vec::new(), broken: 0 }
    }

    pub(crate) fn out(&self) -> impl Iterator<Item = (u32, &Attempt)> {
        let numbered = self.attempts.iter().enumerate();
        numbered.filter(|(_, a)| a.fate == Fate::Out).map(|(i, a)| (i as u32, a))
    }

    pub(crate) fn is_out(&self) -> bool {
        self.out().next().is_some()
    }

    /// Whether every attempt so far is proved never to have run.
    pub(crate) fn proved_unrun(&self) -> bool {
        self.attempts.iter().all(|a| a.fate == Fate::Ended { never_ran: true })
    }

    /// When the first attempt that may have run was sent.
    pub(crate) fn first_possible_run(&self) -> Option<Nanos> {
        let may_have = |a: &&Attempt| a.fate != Fate::Ended { never_ran: true };
        self.attempts.iter().find(may_have).map(|a| a.sent)
    }

    /// When it was first sent; `now` if it was not.
    pub(crate) fn first_sent(&self, now: Nanos) -> Nanos {
        self.attempts.first().map_or(now, |a| a.sent)
    }

    /// Marks what is out as called off; returns the attempts' numbers.
    pub(crate) fn cancel(&mut self) -> Vec<u32> {
        let out: Vec<u32> = self.out().map(|(i, _)| i).collect();
        for &i in &out {
            self.attempts[i as usize].fate = Fate::Cancelled;
        }
        out
    }

    pub(crate) fn copied(&self) -> bool {
        self.attempts.iter().any(|a| a.kind == Kind::Copy)
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Stage {
    Held,
    Running,
    BetweenSteps,
}

#[derive(Debug, Clone)]
pub(crate) struct Query {
    pub(crate) class: ClassId,
    pub(crate) worth: f64,
    pub(crate) arrived: Nanos,
    pub(crate) valid_until: Nanos,
    pub(crate) stage: Stage,
    pub(crate) step: u32,
    pub(crate) first_whole: bool,
    pub(crate) parts: Vec<PartId>,
    /// Copies that answered parts have released and no sibling has taken yet.
    pub(crate) released: u32,
    /// Most connections that one part lost, and parts that came in.
    pub(crate) broken: u32,
    pub(crate) passes: u32,
    /// One part goes ahead, the rest once it is in.
    pub(crate) scout: bool,
    /// Below the share that is throttled it is turned away.
    pub(crate) chance: f64,
}

impl Query {
    pub(crate) fn second_step(&mut self) {
        self.stage = Stage::Running;
        self.step = 2;
        self.released = 0;
    }

    /// Its parts with exactly one attempt out, longest out first.
    pub(crate) fn lone_attempts(&self, parts: &BTreeMap<PartId, Part>) -> Vec<(Nanos, PartId)> {
        let mut lone: Vec<(Nanos, PartId)> = Vec::new();
        for &id in &self.parts {
            let part = &parts[&id];
            let mut out = part.out();
            if let (Some((_, a)), None, false) = (out.next(), out.next(), part.done) {
                lone.push((a.sent, id));
            }
        }
        lone.sort_unstable();
        lone
    }
}

/// Running figures of one coordinator.
#[derive(Debug, Default)]
pub(crate) struct Seen {
    /// Share of bad or slow outcomes among the latest.
    pub(crate) strain: f64,
    /// Attempts out, and parts that are not in.
    pub(crate) out: usize,
    pub(crate) open_parts: usize,
    /// Outcomes on connections that had rested, and on others.
    pub(crate) idle: Tally,
    pub(crate) fresh: Tally,
    /// Connections that had to be opened: bad where that failed.
    pub(crate) opened: Tally,
    /// Quantiles of our recent latencies.
    pub(crate) tail: Option<Nanos>,
    pub(crate) median: Nanos,
    pub(crate) quartile: Nanos,
    /// When they are to be taken again.
    pub(crate) measure_at: Nanos,
    /// Queries that are held, and those that have news or are due.
    pub(crate) held: BTreeSet<QueryId>,
    pub(crate) touched: BTreeSet<QueryId>,
    /// Calls made so far, and the open ones of this round with their parts.
    pub(crate) calls: u64,
    pub(crate) round_calls: BTreeMap<ServerId, (u64, u32)>,
    /// Parts that servers have completed.
    pub(crate) passes: u64,
    /// The list is from before the start and nothing has come since, or its news is overdue. What was told to the
    /// process before this one, or in the meantime, counts as told: nothing is sent by a list that may miss it.
    pub(crate) list_unusable: bool,
}

impl Query {
    pub(crate) fn new(class: ClassId, worth: f64, arrived: Nanos, valid_until: Nanos) -> Self {
        Self {
            class,
            worth,
            arrived,
            valid_until,
            stage: Stage::Held,
            step: 1,
            first_whole: false,
            parts: Vec::new(),
            released: 0,
            broken: 0,
            passes: 0,
            scout: false,
            chance: 1.0,
        }
    }
}

/// Parts that a cold server may be sent, as counted at some moment.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Credit {
    pub(crate) parts: f64,
    pub(crate) at: Nanos,
    /// What all servers had completed by then.
    pub(crate) passes: u64,
}

#[derive(Debug, Clone)]
pub(crate) struct Server {
    pub(crate) cell: u32,
    pub(crate) listed: bool,
    /// It has left the list.
    pub(crate) gone: bool,
    /// Since when it counts as cold; nothing once warm.
    pub(crate) cold_since: Option<Nanos>,
    pub(crate) started_at: Nanos,
    pub(crate) credit: Credit,
    pub(crate) pending: Vec<Pending>,
    pub(crate) zone: Option<ZoneId>,
    pub(crate) last_turn: u64,
    pub(crate) limit: f64,
    pub(crate) limit_cut_at: Nanos,
    /// Nothing is sent before this.
    pub(crate) next_at: Nanos,
    /// When its connection was last in use.
    pub(crate) used_at: Option<Nanos>,
    /// Doubt by all outcomes, and by those of each class.
    pub(crate) doubt: Decaying,
    pub(crate) class_doubt: Vec<Decaying>,
    pub(crate) failures: u32,
    /// When doubt was last added.
    pub(crate) doubted_at: Nanos,
    /// It could not be reached and nothing has passed since.
    pub(crate) broke: bool,
    /// When a connection broke or did not come up, if nothing has passed since; when the last one was lost.
    pub(crate) broke_at: Option<Nanos>,
    pub(crate) cut_at: Nanos,
}

impl Server {
    pub(crate) fn new(turn: u64, limit: f64, classes: usize) -> Self {
        Self {
            cell: 0,
            listed: false,
            gone: false,
            cold_since: None,
            started_at: 0,
            credit: Credit::default(),
            pending: Vec::new(),
            zone: None,
            last_turn: turn,
            limit,
            limit_cut_at: 0,
            next_at: 0,
            used_at: None,
            doubt: Decaying::default(),
            class_doubt: vec![Decaying::default(); classes],
            failures: 0,
            doubted_at: 0,
            broke: false,
            broke_at: None,
            cut_at: 0,
        }
    }

    /// Forgets what was known of the process before it restarted.
    pub(crate) fn restarted(&mut self, limit: f64) {
        self.limit = limit;
        self.failures = 0;
        self.broke = false;
        self.broke_at = None;
        self.used_at = None;
        self.doubt = Decaying::default();
        self.class_doubt.fill(Decaying::default());
    }

    /// Calls out here; parts sent in one round share one.
    pub(crate) fn calls_out(&self) -> u32 {
        let mut calls: Vec<u64> = self.pending.iter().map(|p| p.call).collect();
        calls.sort_unstable();
        calls.dedup();
        calls.len() as u32
    }
}

impl Seen {
    /// The number of the call that takes one more part for `server` in this round.
    pub(crate) fn call(&mut self, server: ServerId, batch: u32) -> u64 {
        let call = self.round_calls.entry(server).or_insert((0, batch));
        if call.1 >= batch {
            self.calls += 1;
            *call = (self.calls, 0);
        }
        call.1 += 1;
        call.0
    }
}

/// Parts of one query that are about to go to a server, and those not yet planned that it could take too.
#[derive(Debug, Default)]
pub(crate) struct Planned(BTreeMap<ServerId, (u32, i32)>);

impl Planned {
    pub(crate) fn send(&mut self, server: ServerId) {
        self.0.entry(server).or_default().0 += 1;
    }

    pub(crate) fn sent(&self, server: ServerId) -> u32 {
        self.0.get(&server).map_or(0, |p| p.0)
    }

    pub(crate) fn wanted(&mut self, server: ServerId, more: i32) {
        self.0.entry(server).or_default().1 += more;
    }

    /// How many of the parts could share its call: those planned and those that could join.
    pub(crate) fn mates(&self, server: ServerId) -> u32 {
        self.0.get(&server).map_or(0, |p| p.0 + p.1.max(0) as u32)
    }
}

/// When queries are to be looked at again, and the timer set for it.
#[derive(Debug, Default)]
pub(crate) struct Timers {
    dues: BinaryHeap<Reverse<(Nanos, QueryId)>>,
    armed: Option<Nanos>,
}

impl Timers {
    pub(crate) fn look_at(&mut self, at: Nanos, query: QueryId) {
        self.dues.push(Reverse((at, query)));
    }

    pub(crate) fn woken(&mut self) {
        self.armed = None;
    }

    /// Takes out what is due.
    pub(crate) fn due(&mut self, now: Nanos) -> Vec<QueryId> {
        let mut due = Vec::new();
        while let Some(&Reverse((_, query))) = self.dues.peek().filter(|d| d.0 .0 <= now) {
            self.dues.pop();
            due.push(query);
        }
        due
    }

    /// How long to the next moment, if no timer is set for it yet.
    pub(crate) fn arm(&mut self, now: Nanos) -> Option<Nanos> {
        let next = self.dues.peek()?.0 .0.max(now + 1);
        if self.armed.is_some_and(|a| now < a && a <= next) {
            return None;
        }
        self.armed = Some(next);
        Some(next - now)
    }
}

/// The servers, and which of them hold what.
#[derive(Debug)]
pub(crate) struct Fleet {
    pub(crate) servers: BTreeMap<ServerId, Server>,
    pub(crate) listed: usize,
    cells: Vec<Vec<ServerId>>,
    /// When the list was last confirmed, once it has been since the start of the process.
    confirmed_at: Option<Nanos>,
    wall_stepped: bool,
}

/// More cells than this are not kept: no server can be in them.
const MOST_CELLS: u32 = 1 << 20;

impl Fleet {
    pub(crate) fn new(cells: u32) -> Self {
        let cells = vec![Vec::new(); cells.min(MOST_CELLS) as usize];
        Self { servers: BTreeMap::new(), listed: 0, cells, confirmed_at: None, wall_stepped: false }
    }

    /// The wall clock was stepped: from now on no claimed time of a start is believed.
    pub(crate) fn wall_stepped(&mut self) {
        self.wall_stepped = true;
    }

    /// What is known of starts that a list tells now.
    fn evidence(&self) -> Evidence {
        match self.confirmed_at {
            _ if self.wall_stepped => Evidence::WallClockStepped,
            Some(before) => Evidence::ConfirmedWithout(before),
            None => Evidence::FirstList,
        }
    }

    /// Follows the list as it comes at `now`; returns the servers that have started anew.
    pub(crate) fn update(
        &mut self,
        now: Nanos,
        kind: EndpointUpdateKind,
        entries: Vec<EndpointRecord>,
        mut fresh: impl FnMut() -> Server,
    ) -> Vec<ServerId> {
        let evidence = self.evidence();
        if kind != EndpointUpdateKind::Unconfirmed {
            self.confirmed_at = Some(now);
        }
        if kind.is_complete() {
            self.servers.values_mut().for_each(|s| (s.listed, s.gone) = (false, true));
        }
        let mut started = Vec::new();
        for entry in entries {
            let s = self.servers.entry(entry.server).or_insert_with(&mut fresh);
            s.cell = entry.partition_group;
            s.zone = entry.zone;
            (s.listed, s.gone) =
                (entry.state == EndpointState::Active, entry.state == EndpointState::Removed);
            // Another time is another start, also an earlier one: the wall clock may have been stepped back.
            if entry.started_at != 0 && entry.started_at != s.started_at {
                s.started_at = entry.started_at;
                s.cold_since = Some(cold_since(entry.started_at, now, evidence));
                started.push(entry.server);
            }
        }
        // A server that is replaced never comes back under its id.
        self.servers.retain(|_, s| !s.gone || !s.pending.is_empty());
        self.cells.iter_mut().for_each(Vec::clear);
        self.listed = self.servers.values().filter(|s| s.listed).count();
        for (&id, s) in &self.servers {
            if let Some(cell) = self.cells.get_mut(s.cell as usize).filter(|_| s.listed) {
                cell.push(id);
            }
        }
        started
    }

    /// The listed servers that hold a shard.
    pub(crate) fn holders(&self, shard: ShardId, layout: ShardLayout) -> impl Iterator<Item = &ServerId> {
        (0..layout.groups_per_shard.min(layout.partition_groups)).flat_map(move |j| {
            let cell = (u64::from(shard.0) + u64::from(j)) % u64::from(layout.partition_groups);
            self.cells.get(cell as usize).into_iter().flatten()
        })
    }
}

/// Counts over sliding spans: what was taken and sent.
#[derive(Debug)]
pub(crate) struct Counts {
    pub(crate) taken: SlidingCount,
    pub(crate) extra: SlidingCount,
    pub(crate) first_sends: SlidingCount,
    pub(crate) copies: SlidingCount,
    /// Queries that this coordinator has ended, and those of them that were answered within their aim.
    pub(crate) ended: SlidingCount,
    pub(crate) timely: SlidingCount,
}

impl Counts {
    pub(crate) fn sent(&mut self, kind: Kind, attempt: u32, now: Nanos) {
        match kind {
            Kind::First => self.first_sends.add(now),
            Kind::Copy => self.copies.add(now),
            Kind::Retry => {}
        }
        if attempt > 0 {
            self.extra.add(now);
        }
    }

    pub(crate) fn ended(&mut self, timely: bool, now: Nanos) {
        self.ended.add(now);
        if timely {
            self.timely.add(now);
        }
    }

    pub(crate) fn new(budget_span: Nanos, copy_span: Nanos) -> Self {
        Self {
            taken: SlidingCount::new(budget_span),
            extra: SlidingCount::new(budget_span),
            first_sends: SlidingCount::new(copy_span),
            copies: SlidingCount::new(copy_span),
            ended: SlidingCount::new(copy_span),
            timely: SlidingCount::new(copy_span),
        }
    }
}
