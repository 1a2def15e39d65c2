//! The decisions. The interface (settings, events, actions) is `src/api.rs`.
//!
//! Ordinary path, after DESIGN: `first sends -> answered part releases a copy -> a sibling out past
//! the offset takes it -> the slower twin is cancelled`. The exceptions follow, each named.

use std::collections::BTreeMap;

use crate::api::*;
use crate::state::{
    Attempt, Counts, Credit, Fate, Fleet, Kind, Part, Pending, Planned, Query, Seen, Server, Stage, Timers,
};
use crate::window::{RecentSamples, SlidingCount, Tally};

/// Δ is this quantile of our recent part latencies (the design's choice).
const OFFSET_QUANTILE: f64 = 0.95;
/// Until there are `OFFSET_LEAST` samples: this times the class's aim (the design's choice).
const OFFSET_START: f64 = 1.0 / 3.0;
const OFFSET_LEAST: usize = 20;
/// Latency samples kept: enough for a steady tail, few enough to follow change; for so many longest aims.
const SAMPLES: usize = 200;
const SAMPLE_AIMS: u64 = 10;
/// Copies stay under this share of first sends, over so many of the longest aims.
const COPY_SHARE: f64 = 0.1;
const COPY_WINDOW_AIMS: u64 = 4;
/// A part out this share of its class's aim is overdue: what is left must be enough for another try.
const OVERDUE: f64 = 0.4;
/// Other tries stay under this share of what was taken, and `RETRY_FREE`, where no budget is told.
const RETRY_SHARE: f64 = 0.2;
const RETRY_FREE: f64 = 3.0;
/// Share of the budget open to queries that have their least answer in: more parts earn them little.
const SPARE_BUDGET: f64 = 0.5;
/// A try valid for less than this quantile of its class's latest was cut short by its client's deadline,
/// which tells when the client first asked. A quantile, so that a few patient clients do not mislead.
const PATIENCE: f64 = 0.75;
const PATIENCE_SAMPLES: usize = 32;
/// Strain: the share of bad or slow outcomes, the latest weighing this much; shared from `STRAINED` on.
const STRAIN_STEP: f64 = 1.0 / 16.0;
const STRAINED: f64 = 0.3;
/// An outcome is slow after this share of its aim and so many times what a quarter of our parts take.
const STRAIN_AIM: f64 = 0.25;
const STRAIN_TIMES: f64 = 2.0;
/// Bound of all our parts out: its start as a share of `max_open`, its shrinking under strain.
const ROOM_START: f64 = 0.25;
const ROOM_CUT: f64 = 0.92;
/// Bound of our parts out at a server: its start and its shrinking.
const LIMIT_START: f64 = 3.0;
const LIMIT_CUT: f64 = 0.8;
const LIMIT_GROWTH: f64 = 0.25;
/// The least bounds of all coordinators add up to so many parts a server: where there are many, each may fall
/// below one part, which paces (one part, then a pause).
const LIMIT_LEAST: f64 = 2.0;
/// Doubt of a server: what one outcome adds to it, and what a timely pass leaves of it. A lone failure puts
/// peers first (`DOUBTED`), no route or a second failure leaves it out while peers are sound. Connections
/// break and answers come spoilt at sound servers too: one is counted once, whatever was out on it.
const DOUBT_FAILED: f64 = 1.0;
const DOUBT_BROKEN: f64 = 2.0;
const DOUBT_LOST: f64 = 0.4;
const DOUBT_SLOW: f64 = 0.5;
const DOUBT_MOST: f64 = 4.0;
const DOUBT_CLEARED: f64 = 0.25;
const DOUBTED: f64 = 0.5;
const SHUNNED: f64 = 1.5;
/// A pass this many times slower than the typical one, and slow for its aim, speaks against its server.
const SLOW_TIMES: f64 = 2.5;
/// Doubt halves in the shortest aim, or in twice the time between our sends to one server where that is
/// longer (thin evidence lasts), up to so many aims or this part of the time in which a cold one is warm;
/// doubled by each failure in a row up to `DOUBLINGS`.
const DOUBT_AIMS: f64 = 6.0;
const DOUBT_WARM: f64 = 0.5;
const DOUBLINGS: u32 = 3;
/// Traffic is thin where we send to one server less than once in so many shortest aims. A pass takes back so
/// many failures there, and clears less.
const THIN_AIMS: f64 = 2.0;
const THIN_FORGIVEN: u32 = 2;
/// A server whose connection broke is tried at most this many times an aim.
const TRIAL_SHARE: u64 = 4;
/// Bad outcomes share a way (or idle connections) from this share there on, the latest weighing so much, if
/// elsewhere it is below half of that.
const WAY_BAD: f64 = 0.4;
const WAY_STEP: f64 = 1.0 / 6.0;
/// A connection idle for the shortest aim over `IDLE_SHARE` may have been dropped unseen. While suspected,
/// one send in `IDLE_TRIAL` still goes over such a one. A part lost on one weighs more: they are few.
const IDLE_SHARE: u64 = 2;
const IDLE_TRIAL: u32 = 16;
/// A few are enough, and opening one is cheap, so suspicion begins early.
const IDLE_STEP: f64 = 0.25;
const IDLE_BAD: f64 = 0.15;
/// Connections lost by one part, none of its query's in, that show the query to be their cause. One marked as
/// a repeat, whose first try may have broken elsewhere, sends one part ahead.
const KILLS: u32 = 2;
/// Part of a cold server's bound that one coordinator uses: beside its peers, and of one core's work.
const COLD_AS_PEERS: f64 = 0.75;
const COLD_ONE_CORE: f64 = 0.8;
/// A late answer must be worth this share, or its query ends at the aim: what it would still take at the
/// servers, and what ending later costs, is then more than the little that it may earn.
const LATE_LEAST: f64 = 0.2;
/// Rounds before the aim at which an answer from what is in still reaches the client within it.
const AIM_TICKS: u64 = 2;
/// A query worth so many times more for each part is not kept out by parts of others.
const OUTRANKS: f64 = 1.5;
/// Hold-offs lie in this last share of what they may be.
const HOLD_OFF_SPREAD: f64 = 0.75;
/// The held queue is cut once this share of `max_open` is in use.
const OPEN_SHARE: f64 = 0.9;
/// Queries of more parts than may be out, where traffic is thin: so many times those answered in time go in.
const THROTTLE: f64 = 1.25;
/// One in four goes in at least, or a coordinator may turn away all that it gets for seconds.
const THROTTLE_MOST: f64 = 0.75;
/// Sums of weights may fall this much short.
const SLACK: f64 = 5e-5;

/// One coordinator's decisions.
#[derive(Debug)]
pub struct Policy {
    set: Settings,
    rng: fastrand::Rng,
    now: Nanos,
    pub(crate) fleet: Fleet,
    queries: BTreeMap<QueryId, Query>,
    parts: BTreeMap<PartId, Part>,
    latencies: RecentSamples,
    room: f64,
    counts: Counts,
    tenant_taken: Vec<SlidingCount>,
    patience: Vec<RecentSamples>,
    ways: Vec<(Tally, Nanos)>,
    turn: u64,
    ends_by: Nanos,
    actions: Vec<Action>,
    seen: Seen,
    timers: Timers,
}

impl Policy {
    /// Makes an instance that knows nothing but its settings.
    ///
    /// # Errors
    /// Settings that cannot be used are named.
    pub fn new(set: Settings, seed: u64) -> Result<Self, SettingsError> {
        set.check()?;
        let longest = set.longest_latency_objective();
        let window = set.retry_budget.map_or(longest.saturating_mul(COPY_WINDOW_AIMS), |b| b.window);
        let kept = longest.saturating_mul(SAMPLE_AIMS);
        let copy_window = longest.saturating_mul(COPY_WINDOW_AIMS);
        Ok(Self {
            rng: fastrand::Rng::with_seed(seed),
            now: 0,
            fleet: Fleet::new(set.layout.partition_groups),
            queries: BTreeMap::new(),
            parts: BTreeMap::new(),
            latencies: RecentSamples::new(SAMPLES, kept),
            room: (set.max_open as f64 * ROOM_START).max(1.0),
            counts: Counts::new(window, copy_window),
            tenant_taken: vec![SlidingCount::new(copy_window); set.tenants.len()],
            patience: vec![RecentSamples::new(PATIENCE_SAMPLES, kept); set.classes.len()],
            ways: vec![Default::default(); set.zones as usize],
            turn: 64,
            ends_by: Nanos::MAX,
            actions: Vec::new(),
            set,
            seen: Seen::default(),
            timers: Timers::default(),
        })
    }

    /// Takes a round: what happened up to `now`, and returns what to do, in order.
    /// A clock that runs backwards is held at the latest time seen.
    pub fn round(&mut self, now: Nanos, events: Vec<Event>) -> Vec<Action> {
        self.now = self.now.max(now);
        self.seen.round_calls.clear();
        for event in events {
            self.take(event);
        }
        self.measure();
        self.seen.touched.extend(self.timers.due(self.now));
        for query in std::mem::take(&mut self.seen.touched) {
            self.review(query);
        }
        self.admit();
        self.probe_ways();
        self.arm();
        std::mem::take(&mut self.actions)
    }

    /// Takes over settings whose classes begin with those it has: see [`Settings::after`].
    pub fn update_settings(&mut self, set: Settings) {
        let (n, kept) = (set.classes.len(), set.longest_latency_objective().saturating_mul(SAMPLE_AIMS));
        self.patience.resize(n, RecentSamples::new(PATIENCE_SAMPLES, kept));
        self.fleet.servers.values_mut().for_each(|s| s.class_doubt.resize_with(n, Default::default));
        self.set = set;
    }

    /// How many servers it remembers.
    pub fn servers(&self) -> usize {
        self.fleet.servers.len()
    }

    /// How many servers in the list it sends nothing now; doubt or a bad way of a moment sends nobody away.
    pub fn excluded_servers(&self) -> usize {
        let since = self.now.saturating_sub(self.set.shortest_latency_objective() / TRIAL_SHARE);
        let shunned = |s: &Server| s.doubt.get(self.now) >= SHUNNED || self.way_bad(s.zone);
        let rests = |s: &Server| !s.listed || shunned(s) && s.used_at.is_none_or(|t| t < since);
        self.fleet.servers.values().filter(|s| !s.gone && rests(s)).count()
    }

    fn take(&mut self, event: Event) {
        match event {
            Event::EndpointsUpdated { kind, records: entries } => self.take_list(kind, entries),
            Event::EndpointListExpired => self.seen.list_unusable = true,
            Event::QueryArrived { id, class, tenant, key: _, is_retry: repeated, deadline: valid_until } => {
                self.take_query(id, class, tenant, repeated, valid_until);
            }
            Event::ShuttingDown(by) => {
                self.ends_by = by;
                self.queries.values_mut().for_each(|q| q.valid_until = q.valid_until.min(by));
                self.seen.touched.extend(self.queries.keys());
            }
            Event::PartArrived { id, query, shard, weight } => self.take_part(id, query, shard, weight),
            Event::AttemptEnded { part, attempt, server, outcome, latency } => {
                self.take_ended(part, attempt, server, outcome, latency);
            }
            // One that was not sent tells nothing.
            Event::HealthChecked { outcome: Outcome::NotSent, .. } => {}
            Event::HealthChecked { server, outcome, .. } => {
                let zone = self.fleet.servers.get(&server).and_then(|s| s.zone);
                self.judge_way(zone, outcome != Outcome::Success);
            }
            Event::ClientDisconnected(query) => self.forget(query),
            Event::TimerFired => self.timers.woken(),
        }
    }

    // ---- The ordinary path: first sends, releases, copies, cancels. ----

    /// Δ: the paper's replication offset, learnt from our own part latencies.
    fn offset(&self, class: ClassId) -> Nanos {
        self.seen.tail.unwrap_or((self.set.classes[class.0].latency_objective as f64 * OFFSET_START) as Nanos)
    }

    /// Quantiles of our recent latencies, once a tick: between ticks there may be many rounds.
    fn measure(&mut self) {
        if self.now < self.seen.measure_at {
            return;
        }
        self.seen.measure_at = self.now + self.set.tick;
        self.seen.tail = self.latencies.quantile(self.now, OFFSET_QUANTILE, OFFSET_LEAST);
        self.seen.median = self.latencies.quantile(self.now, 0.5, OFFSET_LEAST / 2).unwrap_or(0);
        self.seen.quartile = self.latencies.quantile(self.now, 0.25, OFFSET_LEAST / 2).unwrap_or(0);
    }

    /// The replica with the fewest of our calls out, ties at home first, then in turn; `None` when all are
    /// barred or full.
    /// Exceptions that act before that count: paced servers are barred, doubted ones come after
    /// the others, and a server at its bound of parts out takes no more.
    fn pick(&self, part: &Part, again: bool, planned: &Planned, worst: u8) -> Option<ServerId> {
        let class = self.queries.get(&part.query)?.class;
        let layout = self.set.layout;
        let mut sound = false;
        let mut best: Option<(Rank, ServerId)> = None;
        for &id in self.fleet.holders(part.shard, layout) {
            let server = &self.fleet.servers[&id];
            let extra = planned.sent(id);
            let tried = !again && part.attempts.iter().any(|a| a.server == id);
            let spent = self.cold_allowance(server).is_some_and(|most| most < f64::from(extra + 1));
            if tried || spent || self.now < server.next_at {
                continue;
            }
            let tier = self.tier(server, class, extra);
            sound |= tier < 2;
            // Counted with this part in: joining a call that is about to go adds none.
            let calls = server.calls_out() + (extra + 1).div_ceil(layout.max_batch);
            if tier > worst || f64::from(calls - 1) >= server.limit {
                continue;
            }
            let join = layout.max_batch - planned.mates(id).min(layout.max_batch);
            let away = self.set.local_zone.is_some() && server.zone != self.set.local_zone;
            let rank = (tier, calls, 2 * join + u32::from(!self.open(server)), away, server.last_turn);
            if best.is_none_or(|(b, _)| rank < b) {
                best = Some((rank, id));
            }
        }
        // A full server is no reason to send to a shunned one.
        best.filter(|(rank, _)| rank.0 < 2 || !sound).map(|(_, id)| id)
    }

    /// Whether a connection that can be trusted is open.
    fn open(&self, s: &Server) -> bool {
        let idle = s.used_at.map_or(Nanos::MAX, |t| self.now.saturating_sub(t));
        !s.pending.is_empty() || !self.stale(idle) && idle < self.set.connection_idle_timeout.unwrap_or(0)
    }

    fn stale(&self, idle: Nanos) -> bool {
        idle > self.set.shortest_latency_objective() / IDLE_SHARE
            && shares(&self.seen.idle, self.seen.fresh.share(), IDLE_BAD)
    }

    fn send(&mut self, id: PartId, server: ServerId, kind: Kind) {
        let now = self.now;
        let Some(query) = self.parts.get(&id).and_then(|p| self.queries.get(&p.query)) else { return };
        let (within, class) = (self.ends_at(query).saturating_sub(now), query.class);
        let free = self.parts.get(&id).is_some_and(|p| self.free(p));
        let Some(part) = self.parts.get_mut(&id) else { return };
        if within == 0 || part.attempts.len() >= self.set.classes[class.0].max_attempts as usize {
            return;
        }
        let attempt = part.attempts.len() as u32;
        part.attempts.push(Attempt { server, sent: now, kind, fate: Fate::Out });
        let aim = self.set.classes[class.0].latency_objective;
        let call = self.seen.call(server, self.set.layout.max_batch);
        self.turn += 1;
        let idle = self.connection(server);
        let allowance = self.fleet.servers.get(&server).and_then(|s| self.cold_allowance(s));
        if let Some(s) = self.fleet.servers.get_mut(&server) {
            s.pending.push(Pending { part: id, attempt, sent: now, call, aim, class, idle });
            s.used_at = Some(now);
            self.seen.out += 1;
            s.last_turn = self.turn;
            let pace = if s.limit < 1.0 { self.seen.median as f64 / s.limit } else { 0.0 };
            s.next_at = s.next_at.max(now + pace as Nanos);
            if let Some(allowance) = allowance {
                s.credit = Credit { parts: allowance - 1.0, at: now, passes: self.seen.passes };
            }
        }
        self.counts.sent(kind, if free { 0 } else { attempt }, now);
        self.actions.push(Action::StartAttempt { part: id, server, timeout: within });
    }

    /// A part is in: it releases one copy for a sibling (FJR), and its slower twin is cancelled.
    fn answered(&mut self, id: PartId) {
        let Some(part) = self.parts.get_mut(&id).filter(|p| !p.done) else { return };
        part.done = true;
        let (query, age) = (part.query, self.now.saturating_sub(part.first_sent(self.now)));
        self.seen.open_parts -= 1;
        self.latencies.add(self.now, age);
        self.cancel_out(id);
        if let Some(q) = self.queries.get_mut(&query) {
            q.released += 1;
            q.passes += 1;
            if q.scout && q.passes == 1 {
                self.seen.held.insert(query);
            }
        }
        self.seen.touched.insert(query);
    }

    /// Gives released copies to siblings that have been out past Δ, longest out first.
    fn copy_siblings(&mut self, query: QueryId) {
        let Some((class, mut left)) = self.queries.get(&query).map(|q| (q.class, q.released)) else { return };
        for (sent, id) in self.queries[&query].lone_attempts(&self.parts) {
            if left > 0 && self.now >= sent.saturating_add(self.offset(class)) && self.copy(id) {
                left -= 1;
            }
        }
        self.queries.entry(query).and_modify(|q| q.released = left);
    }

    /// Sends a second copy if the class, the tenth, the budget and the state of the servers allow one.
    fn copy(&mut self, id: PartId) -> bool {
        let part = &self.parts[&id];
        let class = self.queries[&part.query].class;
        let allowed = self.set.may_hedge
            && self.set.classes[class.0].retry_safety == RetrySafety::Idempotent
            && !part.copied()
            && part.attempts.len() < self.set.classes[class.0].max_attempts as usize;
        if !allowed || self.seen.strain > STRAINED || self.kills(part.query) {
            return false;
        }
        let cap = COPY_SHARE * self.counts.first_sends.count(self.now) as f64;
        (self.counts.copies.count(self.now) + 1) as f64 <= cap && self.resend(id, Kind::Copy, 0)
    }

    fn cancel_out(&mut self, id: PartId) {
        let Some(part) = self.parts.get_mut(&id) else { return };
        let cancels = part.cancel().into_iter().map(|attempt| Action::CancelAttempt { part: id, attempt });
        self.actions.extend(cancels.filter(|_| self.set.may_cancel));
    }

    // ---- Queries: taking, holding, reviewing, ending. ----

    fn take_query(&mut self, id: QueryId, class: ClassId, tenant: Option<TenantId>, again: bool, end: Nanos) {
        if class.0 >= self.set.classes.len() || self.queries.contains_key(&id) {
            return;
        }
        self.counts.taken.add(self.now);
        let mut worth = self.set.classes[class.0].priority_weight;
        if let Some(t) = tenant.filter(|t| t.0 < self.tenant_taken.len()) {
            self.tenant_taken[t.0].add(self.now);
            if self.over_share(t) {
                worth *= self.set.over_quota_value_ratio;
            }
        }
        // Cut at this process's end, its time tells nothing of the client.
        let first = if end < self.ends_by { self.first_asked(class, again, end) } else { self.now };
        let chance = self.rng.f64();
        self.queries.insert(id, Query { chance, scout: again, ..Query::new(class, worth, first, end) });
        self.seen.held.insert(id);
        self.seen.touched.insert(id);
    }

    /// When the client first asked, as far as the time left to this try tells.
    fn first_asked(&mut self, class: ClassId, repeated: bool, valid_until: Nanos) -> Nanos {
        let samples = &mut self.patience[class.0];
        let valid = valid_until.saturating_sub(self.now);
        let usual = samples.quantile(self.now, PATIENCE, PATIENCE_SAMPLES / 4).unwrap_or(0);
        samples.add(self.now, valid);
        let cut = valid < usual - usual / 50 && (repeated || !self.set.clients_mark_retries);
        let elapsed = if cut { self.set.classes[class.0].deadline.saturating_sub(valid) } else { 0 };
        self.now.saturating_sub(elapsed)
    }

    /// Whether the tenant takes more of this coordinator's traffic than its share of the service.
    fn over_share(&mut self, tenant: TenantId) -> bool {
        let now = self.now;
        let all: usize = self.tenant_taken.iter_mut().map(|t| t.count(now)).sum();
        let shares: f64 = self.set.tenants.iter().map(|t| t.quota).sum();
        let own = self.tenant_taken[tenant.0].count(now) as f64;
        own * shares > 1.25 * self.set.tenants[tenant.0].quota * all as f64
    }

    fn take_part(&mut self, id: PartId, query: QueryId, shard: ShardId, weight: f64) {
        let Some(q) = self.queries.get_mut(&query) else { return };
        if self.parts.contains_key(&id) {
            return;
        }
        self.counts.taken.add(self.now);
        if q.stage == Stage::BetweenSteps {
            for old in std::mem::take(&mut q.parts) {
                self.seen.open_parts -= usize::from(self.parts.remove(&old).is_some_and(|p| !p.done));
            }
            q.second_step();
        }
        q.parts.push(id);
        self.parts.insert(id, Part::new(query, shard, weight));
        self.seen.open_parts += 1;
        self.seen.touched.insert(query);
    }

    fn need(&self, q: &Query) -> f64 {
        let share = if q.step == 1 { self.set.classes[q.class.0].complete_coverage } else { 1.0 };
        share - SLACK
    }

    fn weight(&self, q: &Query, counts: impl Fn(&Part) -> bool) -> f64 {
        q.parts.iter().map(|id| &self.parts[id]).filter(|p| counts(p)).map(|p| p.weight).sum()
    }

    /// When nothing worth having can come any more.
    fn ends_at(&self, q: &Query) -> Nanos {
        let class = &self.set.classes[q.class.0];
        let aimed = q.arrived.saturating_add(class.latency_objective);
        if class.late_value_ratio > LATE_LEAST {
            q.valid_until
        } else {
            q.valid_until.min(aimed)
        }
    }

    /// The same, a tick early, to be inside the client's time.
    fn give_up_at(&self, q: &Query) -> Nanos {
        self.ends_at(q).min(q.valid_until.saturating_sub(self.set.tick))
    }

    /// The last moment for an answer within the aim.
    fn aim_at(&self, q: &Query) -> Nanos {
        q.arrived
            .saturating_add(self.set.classes[q.class.0].latency_objective)
            .saturating_sub(AIM_TICKS * self.set.tick)
    }

    /// Whether the parts that are in may make an answer that is not whole, and one that earns more at the
    /// aim than a whole one would after it.
    fn partial_due(&self, q: &Query) -> bool {
        let class = &self.set.classes[q.class.0];
        let last = class.second_phase_parts == 0 || q.step == 2;
        if self.now < self.aim_at(q) || !last || class.min_coverage >= class.complete_coverage {
            return false;
        }
        let done = self.weight(q, |p| p.done);
        let share = (done / class.complete_coverage.max(SLACK)).min(1.0);
        done >= class.min_coverage.max(SLACK)
            && class.partial_value_ratio.unwrap_or(1.0) * share >= class.late_value_ratio
    }

    /// Looks at a query after news or when it is due: answer, end, send what is missing, copy.
    fn review(&mut self, id: QueryId) {
        let Some(q) = self.queries.get(&id) else { return };
        let running = q.stage == Stage::Running;
        if running && !q.parts.is_empty() && self.weight(q, |p| p.done) >= self.need(q) {
            return self.answer(id, q.step == 1 || q.first_whole);
        }
        if running && self.partial_due(q) {
            return self.answer(id, false);
        }
        if self.now >= self.give_up_at(q) || running && self.hopeless(id) {
            return self.end_unserved(id);
        }
        if running && !self.seen.list_unusable {
            self.send_missing(id);
            self.chase_overdue(id);
            self.copy_siblings(id);
        }
        self.schedule(id);
    }

    fn answer(&mut self, id: QueryId, whole: bool) {
        let Some(q) = self.queries.get_mut(&id) else { return };
        let two_steps = self.set.classes[q.class.0].second_phase_parts > 0 && q.step == 1;
        let timely = self.now < q.arrived.saturating_add(self.set.classes[q.class.0].latency_objective);
        self.actions.push(Action::Answer { query: id, complete: whole });
        if !two_steps {
            return self.end(id, timely);
        }
        q.stage = Stage::BetweenSteps;
        q.first_whole = whole;
        for part in q.parts.clone() {
            self.cancel_out(part);
        }
        self.schedule(id);
    }

    /// Whether the parts that can still come in are too few for any answer.
    fn hopeless(&self, id: QueryId) -> bool {
        let q = &self.queries[&id];
        let class = &self.set.classes[q.class.0];
        let least = if class.min_coverage < class.complete_coverage {
            class.min_coverage - SLACK
        } else {
            self.need(q)
        };
        let kills = self.kills(id);
        self.weight(q, |p| p.done || p.is_out() || !kills && self.may_resend(p, q.class)) < least
    }

    /// Ends a query that cannot be served: at once, refused where trying again is harmless.
    fn end_unserved(&mut self, id: QueryId) {
        let Some(q) = self.queries.get(&id) else { return };
        let class = &self.set.classes[q.class.0];
        let partial = class.min_coverage < class.complete_coverage || q.step == 2 && class.min_coverage < 1.0;
        if partial && q.stage == Stage::Running && self.weight(q, |p| p.done) >= class.min_coverage.max(SLACK)
        {
            return self.answer(id, false);
        }
        let unrun = q.parts.iter().all(|p| self.parts[p].proved_unrun());
        let harmless =
            class.retry_safety == RetrySafety::Idempotent || (unrun && q.stage != Stage::BetweenSteps);
        // Others refuse at the same moment: their clients are not to come back at one.
        let hold_off = (self.hold_off(q) as f64 * (1.0 - HOLD_OFF_SPREAD * self.rng.f64())) as Nanos;
        self.actions.push(match harmless {
            true => Action::Reject { query: id, retry_after: hold_off },
            false => Action::Fail { query: id },
        });
        self.end(id, false);
    }

    fn end(&mut self, id: QueryId, timely: bool) {
        self.counts.ended(timely, self.now);
        self.forget(id);
    }

    /// When the client should come back: half way to its last useful moment, or as late as it will listen.
    fn hold_off(&self, q: &Query) -> Nanos {
        let Some(longest) = self.set.max_retry_after else { return 0 };
        let useful = q.arrived.saturating_add(self.set.classes[q.class.0].latency_objective);
        let left = useful.saturating_sub(self.now.saturating_add(self.seen.median));
        longest.min(if left > 0 { left / 2 } else { longest })
    }

    fn forget(&mut self, id: QueryId) {
        let Some(q) = self.queries.remove(&id) else { return };
        self.seen.held.remove(&id);
        for part in q.parts {
            self.cancel_out(part);
            self.seen.open_parts -= usize::from(self.parts.remove(&part).is_some_and(|p| !p.done));
        }
    }

    fn schedule(&mut self, id: QueryId) {
        let Some(q) = self.queries.get(&id) else { return };
        // At full ticks, so that one round looks at all queries that are due.
        let (span, tick) = ((self.offset(q.class) / 16).max(self.set.tick), self.set.tick);
        let look = (self.now + span).div_ceil(tick) * tick;
        let aim_at = Some(self.aim_at(q)).filter(|&t| t > self.now).unwrap_or(Nanos::MAX);
        self.timers.look_at(look.min(self.give_up_at(q)).min(aim_at).max(self.now + 1), id);
    }

    fn arm(&mut self) {
        self.actions.extend(self.timers.arm(self.now).map(|after| Action::SetTimer { after }));
    }

    // ---- Load: what is held back and what is shed first. ----

    /// Lets held queries go, worthiest for their parts first; those that can no longer make it end.
    fn admit(&mut self) {
        if self.seen.held.is_empty() {
            return;
        }
        let rank = |&id: &QueryId| {
            let q = &self.queries[&id];
            (q.worth / q.parts.len().max(1) as f64, q.arrived, id)
        };
        let mut order: Vec<(f64, Nanos, QueryId)> = self.seen.held.iter().map(rank).collect();
        order.sort_by(|a, b| b.0.total_cmp(&a.0).then(a.1.cmp(&b.1)).then(a.2.cmp(&b.2)));
        let (ended, timely) =
            (self.counts.ended.count(self.now) as f64, self.counts.timely.count(self.now) as f64);
        let thin = self.send_gap() > THIN_AIMS * self.set.shortest_latency_objective() as f64;
        let throttled = ((ended - THROTTLE * timely) / (ended + 1.0)).min(THROTTLE_MOST);
        let room = (self.set.max_open as f64 * OPEN_SHARE) as usize;
        let mut open = self.queries.len() + self.seen.open_parts;
        for &(_, _, id) in order.iter().rev() {
            let q = &self.queries[&id];
            let aim = self.set.classes[q.class.0].latency_objective;
            let too_late = q.arrived.saturating_add(aim) < self.now + self.offset(q.class).min(aim / 2);
            let unpaced = thin && q.passes == 0 && q.parts.len() as f64 > self.room;
            if open > room || too_late || unpaced && q.chance < throttled {
                open = open.saturating_sub(1 + q.parts.len());
                self.end_unserved(id);
            }
        }
        if self.seen.list_unusable {
            return;
        }
        // Parts out for less worth each do not keep out a query: room is given to worth, too.
        let running = self.queries.values().filter(|q| q.stage == Stage::Running);
        let out = |q: &Query| q.parts.iter().filter(|p| self.parts[p].is_out()).count();
        let busy: Vec<(f64, usize)> = running.map(|q| (q.worth / q.parts.len() as f64, out(q))).collect();
        for (worth, _, id) in order {
            let less: usize = busy.iter().filter(|b| b.0 < worth / OUTRANKS).map(|b| b.1).sum();
            if self.queries.contains_key(&id) && (self.seen.out as f64) < self.room + less as f64 {
                self.admit_one(id);
            }
        }
    }

    /// Sends the parts that a whole answer needs, the rest are kept as spares. All or none, but where an
    /// answer from fewer may be given, as many as can be reached: the others follow when they can.
    fn admit_one(&mut self, id: QueryId) {
        let q = &self.queries[&id];
        let need = if q.scout && q.passes == 0 { SLACK } else { self.need(q) };
        let least = need.min(self.set.classes[q.class.0].min_coverage);
        let (mut covered, mut planned, mut plan) =
            (self.weight(q, |p| p.done), Planned::default(), Vec::new());
        let unsent: Vec<PartId> =
            q.parts.iter().copied().filter(|p| self.parts[p].attempts.is_empty()).collect();
        let layout = self.set.layout;
        let shares = layout.max_batch > 1 && layout.call_overhead > 0;
        for part in unsent.iter().filter(|_| shares) {
            self.fleet.holders(self.parts[part].shard, layout).for_each(|&id| planned.wanted(id, 1));
        }
        for part in unsent {
            if covered >= need {
                break;
            }
            let p = &self.parts[&part];
            if shares {
                self.fleet.holders(p.shard, layout).for_each(|&id| planned.wanted(id, -1));
            }
            if let Some(server) = self.pick(p, false, &planned, 2) {
                planned.send(server);
                plan.push((part, server));
                covered += p.weight;
            }
        }
        if covered < least || q.parts.is_empty() {
            return;
        }
        for (part, server) in plan {
            self.send(part, server, Kind::First);
        }
        self.queries.entry(id).and_modify(|q| q.stage = Stage::Running);
        self.seen.held.remove(&id);
        self.schedule(id);
    }

    // ---- Further attempts. ----

    /// Whether another attempt at a part that is not out is allowed by its class and limits.
    fn may_resend(&self, part: &Part, class: ClassId) -> bool {
        let class = &self.set.classes[class.0];
        self.now < class.retry_deadline(part.first_possible_run())
            && part.attempts.len() < class.max_attempts as usize
    }

    /// Whether another try repeats no work: nothing of the part has run. A told budget counts all tries.
    fn free(&self, part: &Part) -> bool {
        self.set.retry_budget.is_none() && part.proved_unrun()
    }

    /// Whether the budget has room for another attempt; for a query that has an answer in already, beyond
    /// what is kept for those that would otherwise get none.
    fn budget_left(&mut self, query: QueryId) -> bool {
        let (free, ratio) =
            self.set.retry_budget.map_or((RETRY_FREE, RETRY_SHARE), |b| (b.base_attempts, b.ratio));
        let q = &self.queries[&query];
        let floor = self.set.classes[q.class.0].min_coverage;
        let spare = floor < self.need(q) && self.weight(q, |p| p.done) >= floor;
        let used = self.counts.extra.count(self.now) + 1;
        let share = if spare { SPARE_BUDGET } else { 1.0 };
        used as f64 <= (free + ratio * self.counts.taken.count(self.now) as f64) * share
    }

    /// Spares replace late or failed parts; then failed parts are tried again at another replica.
    fn send_missing(&mut self, id: QueryId) {
        if self.kills(id) {
            return;
        }
        let q = &self.queries[&id];
        let (class, need, parts) = (q.class, self.need(q), q.parts.clone());
        let alone = q.scout && (q.passes == 0 || self.seen.held.contains(&id));
        let patience =
            if self.seen.strain > STRAINED { self.overdue_after(class) } else { self.offset(class) };
        let late = self.now.saturating_sub(patience);
        let mut sure = self.weight(q, |p| p.done || p.out().any(|(_, a)| a.sent > late));
        let mut hoped = self.weight(q, |p| p.done || p.is_out());
        for id in parts.iter().copied().filter(|p| self.parts[p].attempts.is_empty()).collect::<Vec<_>>() {
            if sure < need && !alone && self.resend(id, Kind::First, 2) {
                sure += self.parts[&id].weight;
                hoped += self.parts[&id].weight;
            }
        }
        for id in parts {
            let p = &self.parts[&id];
            let failed = !p.done && !p.is_out() && !p.attempts.is_empty();
            if failed && hoped < need && self.may_resend(p, class) && self.resend(id, Kind::Retry, 2) {
                hoped += self.parts[&id].weight;
            }
        }
    }

    /// Sends a part to the best replica that may take it, one not tried yet if there is any.
    fn resend(&mut self, id: PartId, kind: Kind, worst: u8) -> bool {
        let retry = kind != Kind::First;
        if retry && !self.free(&self.parts[&id]) && !self.budget_left(self.parts[&id].query) {
            return false;
        }
        let p = &self.parts[&id];
        let again = || self.pick(p, true, &Planned::default(), worst).filter(|_| retry && !p.is_out());
        let Some(server) = self.pick(p, false, &Planned::default(), worst).or_else(again) else {
            return false;
        };
        // A copy that may prove needless is worth no connection; on a new one it may begin once it is over.
        if kind == Kind::Copy
            && self.set.connection_idle_timeout.is_some()
            && !self.open(&self.fleet.servers[&server])
        {
            return false;
        }
        if kind == Kind::Retry {
            self.cancel_out(id);
        }
        self.send(id, server, kind);
        true
    }

    fn overdue_after(&self, class: ClassId) -> Nanos {
        ((self.set.classes[class.0].latency_objective as f64 * OVERDUE) as Nanos).max(self.offset(class))
    }

    /// A silent or stalled server must not cost the whole aim: an overdue part gets its copy without a
    /// release, or is called off and tried elsewhere. Only while a sound replica is at hand.
    fn chase_overdue(&mut self, query: QueryId) {
        if self.seen.strain > STRAINED || self.kills(query) {
            return;
        }
        let (class, may) = (self.queries[&query].class, self.set.may_cancel || self.set.may_hedge);
        for (sent, id) in self.queries[&query].lone_attempts(&self.parts) {
            let due = self.now >= sent.saturating_add(self.overdue_after(class));
            let alone = due && !self.parts[&id].copied() && !self.copy(id);
            if alone && may && self.may_resend(&self.parts[&id], class) {
                self.resend(id, Kind::Retry, 0);
            }
        }
    }

    fn take_ended(&mut self, id: PartId, n: u32, server: ServerId, outcome: Outcome, latency: Nanos) {
        self.judge(id, n, server, outcome, latency);
        let Some(part) = self.parts.get_mut(&id) else { return };
        let (query, broken) = (part.query, part.broken + u32::from(outcome == Outcome::ConnectionReset));
        let Some(a) = part.attempts.get_mut(n as usize) else { return };
        let was_cancelled = a.fate == Fate::Cancelled;
        a.fate = Fate::Ended { never_ran: outcome.never_ran() };
        part.broken = broken;
        self.queries.entry(query).and_modify(|q| q.broken = q.broken.max(broken));
        if outcome == Outcome::Success && self.queries.get(&query).is_some_and(|q| q.stage == Stage::Running)
        {
            self.answered(id);
        } else if !was_cancelled {
            self.seen.touched.insert(query);
        }
    }

    // ---- Health: which of server, class, way, connection or query do bad outcomes share? ----

    /// Keeps the records that an outcome speaks for or against.
    fn judge(&mut self, part: PartId, n: u32, id: ServerId, outcome: Outcome, latency: Nanos) {
        let (now, typical) = (self.now, self.seen.median);
        let Some(s) = self.fleet.servers.get_mut(&id) else { return };
        let Some(at) = s.pending.iter().position(|p| p.part == part && p.attempt == n) else { return };
        let pending = s.pending.swap_remove(at);
        self.seen.out = self.seen.out.saturating_sub(1);
        if outcome == Outcome::Success {
            s.used_at = Some(now);
            self.seen.passes += 1;
        }
        let usual = STRAIN_TIMES * self.seen.quartile as f64;
        let long = latency as f64 > usual.max(STRAIN_AIM * pending.aim as f64);
        if outcome == Outcome::NotSent || outcome == Outcome::Cancelled && !long {
            return;
        }
        let (zone, doubt) = (s.zone, s.doubt.get(now));
        let timely = outcome == Outcome::Success && !long;
        let stale = !self.way_bad(zone) && self.judge_idle(&pending, outcome, latency);
        if !stale
            && !matches!(outcome, Outcome::Rejected | Outcome::ConnectionReset | Outcome::MalformedResponse)
        {
            self.judge_way(zone, !timely);
        }
        if stale || !timely && self.way_bad(zone) {
            return;
        }
        if matches!(outcome, Outcome::ConnectionReset | Outcome::MalformedResponse) {
            return self.lost(id, pending.class, outcome);
        }
        if doubt < DOUBTED {
            self.judge_load(timely);
        }
        self.adapt_limit(id, &pending, outcome, long);
        let overdue = latency as f64 >= OVERDUE * pending.aim as f64;
        let slow = long && latency as f64 > SLOW_TIMES * typical as f64;
        let shared = if self.seen.strain > STRAINED { 0.5 } else { 1.0 };
        // Connections that fail at servers everywhere are no fault of one: it only gets a pause.
        let step = if pending.idle.is_none() { WAY_STEP } else { 0.0 };
        self.seen.opened.add(outcome == Outcome::ConnectFailed, step);
        let amount = match outcome {
            Outcome::ConnectFailed if self.seen.opened.share() > WAY_BAD => return self.pause(id),
            Outcome::ConnectFailed => DOUBT_BROKEN,
            Outcome::ServerError => DOUBT_FAILED,
            Outcome::Cancelled | Outcome::TimedOut if overdue => DOUBT_FAILED * shared,
            Outcome::Success if slow => DOUBT_SLOW * shared,
            Outcome::Success => return self.cleared(id, pending.class),
            _ => return,
        };
        // What was sent before the last failure was seen belongs to that.
        if self.fleet.servers.get(&id).is_some_and(|s| pending.sent >= s.doubted_at) {
            self.doubt(id, pending.class, amount);
        }
    }

    /// Strain and the bound of all parts out. Not by outcomes with another known cause.
    fn judge_load(&mut self, timely: bool) {
        self.seen.strain += (f64::from(u8::from(!timely)) - self.seen.strain) * STRAIN_STEP;
        if timely && (self.seen.out + 1) as f64 > self.room / 2.0 {
            self.room += 1.0 / self.room;
        } else if !timely && self.seen.strain > STRAINED {
            let least = LIMIT_LEAST * self.fleet.listed as f64 / f64::from(self.set.coordinators);
            self.room = (self.room * ROOM_CUT).max(least.max(1.0));
        }
    }

    /// Bounds our parts out at a server by what is seen: answers that take too much of the aim lower the
    /// bound, timely ones raise it while it is in use.
    fn adapt_limit(&mut self, id: ServerId, pending: &Pending, outcome: Outcome, long: bool) {
        let least = (LIMIT_LEAST / f64::from(self.set.coordinators)).min(1.0);
        let (now, jitter) = (self.now, self.rng.f64());
        let pause = self.seen.median.max(self.set.shortest_latency_objective() / TRIAL_SHARE) as f64;
        let Some(s) = self.fleet.servers.get_mut(&id) else { return };
        let turned = outcome == Outcome::Rejected;
        if turned || long && !matches!(outcome, Outcome::ConnectFailed | Outcome::ServerError) {
            // What was sent before the bound was lowered was turned away for the same reason.
            if pending.sent >= s.limit_cut_at {
                s.limit = (s.limit * if turned { 0.5 } else { LIMIT_CUT }).max(least);
                s.limit_cut_at = now;
            }
        } else if outcome == Outcome::Success && f64::from(s.calls_out() + 1) > s.limit / 2.0 {
            s.limit += (LIMIT_GROWTH * s.limit).min(1.0 / s.limit);
        }
        if turned {
            s.next_at = s.next_at.max(now + (pause / s.limit * (0.5 + jitter)) as Nanos);
        }
    }

    /// Adds to the doubt of a server, at its class too: where only that class fails, passes of others
    /// clear the server but not the class.
    fn doubt(&mut self, id: ServerId, class: ClassId, amount: f64) {
        let (gap, aim, now) = (self.send_gap(), self.set.shortest_latency_objective(), self.now);
        let most = (DOUBT_AIMS * aim as f64).max(DOUBT_WARM * self.set.slow_start.warm_up_duration as f64);
        let base = (2.0 * gap).clamp(aim as f64, most) as Nanos;
        let Some(s) = self.fleet.servers.get_mut(&id) else { return };
        let half = base << s.failures.min(DOUBLINGS);
        s.failures += 1;
        s.doubted_at = now;
        for doubt in [&mut s.doubt, &mut s.class_doubt[class.0]] {
            doubt.set(now, (doubt.get(now) + amount).min(DOUBT_MOST), half);
        }
        if amount >= DOUBT_BROKEN {
            s.broke = true;
            s.broke_at.get_or_insert(now);
        }
        if s.broke {
            self.pause(id);
        }
    }

    /// A connection is lost, with all that was out on it. Only one that broke may mean that its server has
    /// died, and that shows at the next that does not come up.
    fn lost(&mut self, id: ServerId, class: ClassId, outcome: Outcome) {
        let now = self.now;
        let Some(s) = self.fleet.servers.get_mut(&id) else { return };
        if outcome == Outcome::ConnectionReset {
            s.broke_at.get_or_insert(now);
        }
        if std::mem::replace(&mut s.cut_at, now) != now {
            self.doubt(id, class, DOUBT_LOST);
        }
    }

    fn pause(&mut self, id: ServerId) {
        let until = self.now + self.set.shortest_latency_objective() / TRIAL_SHARE;
        self.fleet.servers.entry(id).and_modify(|s| s.next_at = s.next_at.max(until));
    }

    fn cleared(&mut self, id: ServerId, class: ClassId) {
        let now = self.now;
        // Where we seldom send, one pass tells little: a server that stands still now and then has many.
        let thin = self.send_gap() > THIN_AIMS * self.set.shortest_latency_objective() as f64;
        let Some(s) = self.fleet.servers.get_mut(&id) else { return };
        s.failures = if thin { s.failures.saturating_sub(THIN_FORGIVEN) } else { 0 };
        let left = if thin { DOUBT_CLEARED.sqrt() } else { DOUBT_CLEARED };
        s.doubt.scale(now, left);
        s.class_doubt[class.0].scale(now, left);
        s.broke = false;
        // One that is back within the time in which a cold one falls over has not been away.
        if s.broke_at.take().is_some_and(|at| now.saturating_sub(at) >= self.set.slow_start.overload_duration)
        {
            let credit = Credit { parts: 0.0, at: now, passes: self.seen.passes };
            (s.cold_since, s.credit) = (Some(now), credit);
        }
    }

    /// 0: sound; 1: doubted; 2: shunned, behind a bad way, or doubted with a part out.
    fn tier(&self, s: &Server, class: ClassId, planned: u32) -> u8 {
        let doubt = s.doubt.get(self.now).max(s.class_doubt[class.0].get(self.now));
        let busy = planned > 0 || !s.pending.is_empty();
        if doubt >= SHUNNED || self.way_bad(s.zone) || busy && (doubt >= DOUBTED || s.broke) {
            return 2;
        }
        u8::from(doubt >= DOUBTED)
    }

    /// The way: bad outcomes that share a zone while others are reached well are not their servers' fault.
    fn judge_way(&mut self, zone: Option<ZoneId>, bad: bool) {
        if let Some(way) = zone.and_then(|z| self.ways.get_mut(z.0 as usize)) {
            way.0.add(bad, WAY_STEP);
        }
    }

    fn way_bad(&self, zone: Option<ZoneId>) -> bool {
        let Some(way) = zone.and_then(|z| self.ways.get(z.0 as usize)) else { return false };
        let best = self.ways.iter().map(|w| w.0.share()).fold(1.0, f64::min);
        shares(&way.0, best, WAY_BAD)
    }

    /// A bad way gets few parts; a probe now and then tells when it is good again.
    fn probe_ways(&mut self) {
        if self.seen.list_unusable {
            return;
        }
        for z in 0..self.ways.len() {
            let zone = Some(ZoneId(z as u32));
            if self.now < self.ways[z].1 || !self.way_bad(zone) {
                continue;
            }
            self.ways[z].1 = self.now + self.set.shortest_latency_objective() / 2;
            let there = self.fleet.servers.iter().filter(|(_, s)| s.listed && s.zone == zone);
            let there: Vec<ServerId> = there.map(|(&id, _)| id).collect();
            match self.rng.choice(&there) {
                Some(&server) if self.set.may_check_health => {
                    self.actions.push(Action::CheckHealth { server })
                }
                _ => self.judge_way(zone, false),
            }
        }
    }

    /// How long the connection to a server has been idle; closed first where such connections are suspect.
    fn connection(&mut self, id: ServerId) -> Option<Nanos> {
        let s = self.fleet.servers.get(&id)?;
        if let Some(other) = s.pending.last() {
            return other.idle; // One connection: if it was dropped, this part is lost on it too.
        }
        let idle = self.now.saturating_sub(s.used_at?);
        if self.stale(idle) && self.rng.u32(0..IDLE_TRIAL) > 0 {
            self.actions.push(Action::CloseIdleConnections { server: id });
            return None;
        }
        self.set.connection_idle_timeout.is_none_or(|most| idle < most).then_some(idle)
    }

    /// The connection: parts never answered after idle times, while those on fresh ones are.
    fn judge_idle(&mut self, pending: &Pending, outcome: Outcome, latency: Nanos) -> bool {
        let silent = match outcome {
            Outcome::ConnectionReset | Outcome::ConnectFailed => true,
            Outcome::Cancelled | Outcome::TimedOut => latency as f64 >= OVERDUE * pending.aim as f64,
            _ => false,
        };
        let rested = pending.idle.is_some_and(|t| t > self.set.shortest_latency_objective() / IDLE_SHARE);
        let tally = if rested { &mut self.seen.idle } else { &mut self.seen.fresh };
        tally.add(silent, if rested { IDLE_STEP } else { WAY_STEP });
        silent && rested && shares(&self.seen.idle, self.seen.fresh.share(), IDLE_BAD)
    }

    /// Whether the query's own parts look like the cause: nothing more of it is sent.
    fn kills(&self, id: QueryId) -> bool {
        self.queries.get(&id).is_some_and(|q| q.passes == 0 && q.broken >= KILLS)
    }

    // ---- The list, drains and cold servers. ----

    fn take_list(&mut self, kind: EndpointUpdateKind, entries: Vec<EndpointRecord>) {
        self.seen.list_unusable = kind == EndpointUpdateKind::Unconfirmed;
        let (mut rng, classes) = (self.rng.fork(), self.set.classes.len());
        let start = self.set.burst_allowance().max(LIMIT_START);
        let fresh = || Server::new(rng.u64(1..64), start, classes);
        for id in self.fleet.update(self.now, kind, entries, fresh) {
            // Coordinators begin with different credit, or all would send to a cold server at once.
            let credit = Credit { parts: self.rng.f64(), at: self.now, passes: self.seen.passes };
            if let Some(s) = self.fleet.servers.get_mut(&id) {
                s.restarted(start);
                s.credit = credit;
            }
        }
    }

    /// How many parts a cold server may be sent now; nothing once it is warm. This grows by multiple x warmth
    /// x the larger of what servers complete for us on average and our share of what one core does then. No
    /// server completes more than it can do: together all keep the rule, whatever their number and traffic.
    fn cold_allowance(&self, s: &Server) -> Option<f64> {
        let cold = &self.set.slow_start;
        let since = s.cold_since.filter(|&since| self.now.saturating_sub(since) < cold.warm_up_duration)?;
        let warmth = |at: Nanos| {
            let age = at.saturating_sub(since) as f64 / cold.warm_up_duration as f64;
            cold.initial_capacity_ratio + (1.0 - cold.initial_capacity_ratio) * age
        };
        let mean = (warmth(s.credit.at) + warmth(self.now)) / 2.0;
        let completed = (self.seen.passes - s.credit.passes) as f64 / self.fleet.listed.max(1) as f64;
        let guess = if self.seen.quartile > 0 {
            self.seen.quartile
        } else {
            self.set.shortest_latency_objective() / 6
        };
        let span = self.now.saturating_sub(s.credit.at) as f64;
        let one_core = COLD_ONE_CORE * span / (guess.max(1) as f64 * self.set.slow_start_sharers());
        let grown = cold.overload_multiple * mean * (COLD_AS_PEERS * completed).max(one_core);
        Some((s.credit.parts + grown).min((self.set.burst_allowance() / LIMIT_START).max(1.0)))
    }

    /// Mean time between our first sends to one server.
    fn send_gap(&self) -> f64 {
        let span = self.set.longest_latency_objective().saturating_mul(COPY_WINDOW_AIMS) as f64;
        let sends = self.counts.first_sends.since(self.now.saturating_sub(span as Nanos)).max(1);
        span * self.fleet.listed.max(1) as f64 / sends as f64
    }
}

/// Replicas by tier, calls out, connection, way and turn: the least comes first.
type Rank = (u8, u32, u32, bool, u64);

/// Whether bad outcomes share what `tally` counts: many there, few elsewhere.
fn shares(tally: &Tally, elsewhere: f64, least: f64) -> bool {
    tally.share() > least && tally.share() > 2.0 * elsewhere
}
