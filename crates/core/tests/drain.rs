//! Random steps over the decisions: from the round on in which the list's news come, nothing is sent to a server that is
//! not up, and none such is probed, whichever way leads there. A round holds several events in any order, as after a
//! pause of the process: news of the list, ends of attempts, queries.

mod common;

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};

use common::{class, entry, settings, MS, START};
use curlewdeck_core::api::*;
use curlewdeck_core::Policy;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

const SERVERS: u32 = 6;
const CELLS: u32 = 3;
const SHARDS: u32 = 3;
const ZONES: u32 = 2;

/// What happens in a round.
#[derive(Debug, Clone)]
enum Step {
    Query { class: usize, parts: u32 },
    End { pick: usize, outcome: Outcome },
    Change { lines: Vec<(u32, EndpointState)> },
    Whole { lines: Vec<(u32, EndpointState)> },
    NoChange,
    Leave { pick: usize },
}

/// Several events at one moment, and the time that passes behind them.
type Round = (Vec<Step>, u64);

fn outcome() -> impl Strategy<Value = Outcome> {
    prop_oneof![
        5 => Just(Outcome::Success),
        1 => Just(Outcome::ServerError),
        1 => Just(Outcome::Rejected),
        2 => Just(Outcome::ConnectFailed),
        1 => Just(Outcome::ConnectionReset),
        1 => Just(Outcome::MalformedResponse),
        1 => Just(Outcome::TimedOut),
        2 => Just(Outcome::NotSent),
    ]
}

fn phase() -> impl Strategy<Value = EndpointState> {
    prop_oneof![2 => Just(EndpointState::Active), 2 => Just(EndpointState::Draining), 1 => Just(EndpointState::Removed)]
}

fn lines(most: usize) -> impl Strategy<Value = Vec<(u32, EndpointState)>> {
    proptest::collection::vec((0..SERVERS, phase()), 0..most)
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        5 => (0..3usize, 1..=SHARDS).prop_map(|(class, parts)| Step::Query { class, parts }),
        8 => (any::<usize>(), outcome()).prop_map(|(pick, outcome)| Step::End { pick, outcome }),
        2 => lines(4).prop_map(|lines| Step::Change { lines }),
        1 => lines(8).prop_map(|lines| Step::Whole { lines }),
        1 => Just(Step::NoChange),
        1 => any::<usize>().prop_map(|pick| Step::Leave { pick }),
    ]
}

fn round() -> impl Strategy<Value = Round> {
    (proptest::collection::vec(step(), 0..6), prop_oneof![2 => 0..20u64, 1 => 20..800u64])
}

/// What was seen over all cases: without each of these the rule was not tried.
#[derive(Debug, Default)]
struct Tried {
    sends: u32,
    repeats: u32,
    copies: u32,
    second_steps: u32,
    probes: u32,
}

#[derive(Debug)]
struct Query {
    class: usize,
    shards: Vec<ShardId>,
    second: bool,
}

#[derive(Debug, Default)]
struct Part {
    attempts: u32,
    out: BTreeSet<u32>,
    second: bool,
}

struct World<'a> {
    set: Settings,
    policy: Policy,
    now: Nanos,
    wake: Option<Nanos>,
    next: u64,
    queries: BTreeMap<QueryId, Query>,
    parts: BTreeMap<PartId, Part>,
    /// The servers that are up by the news told so far.
    up: BTreeSet<ServerId>,
    out: Vec<(PartId, u32, ServerId, Nanos)>,
    probes: Vec<(ServerId, Nanos)>,
    tried: &'a RefCell<Tried>,
}

/// Two steps, partial answers, copies and probes, two zones, and no bound on further attempts but those of the classes.
fn all_ways() -> Settings {
    let mut set = settings();
    set.classes[0].second_phase_parts = 2;
    set.classes[1] = Class {
        min_coverage: 0.4,
        complete_coverage: 1.0,
        late_value_ratio: 0.3,
        max_attempts: 4,
        ..class(RetrySafety::Idempotent)
    };
    set.layout = ShardLayout { partition_groups: CELLS, groups_per_shard: 2, max_batch: 1, call_overhead: 0 };
    Settings { zones: ZONES, retry_budget: None, connection_idle_timeout: Some(5000 * MS), ..set }
}

impl<'a> World<'a> {
    fn new(tried: &'a RefCell<Tried>) -> Self {
        let set = all_ways();
        let policy = Policy::new(set.clone(), 11).unwrap();
        let mut world = Self {
            set,
            policy,
            now: START,
            wake: None,
            next: 0,
            queries: BTreeMap::new(),
            parts: BTreeMap::new(),
            up: BTreeSet::new(),
            out: Vec::new(),
            probes: Vec::new(),
            tried,
        };
        let all: Vec<(u32, EndpointState)> = (0..SERVERS).map(|s| (s, EndpointState::Active)).collect();
        let events = world.events(&Step::Whole { lines: all });
        world.round(events);
        world
    }

    /// The model of the list: the last word on a server holds.
    fn list(&mut self, kind: EndpointUpdateKind, lines: &[(u32, EndpointState)]) -> Event {
        if kind == EndpointUpdateKind::Snapshot {
            self.up.clear();
        }
        for &(server, phase) in lines {
            match phase {
                EndpointState::Active => drop(self.up.insert(ServerId(server))),
                EndpointState::Draining | EndpointState::Removed => drop(self.up.remove(&ServerId(server))),
            }
        }
        let line = |&(server, phase): &(u32, EndpointState)| EndpointRecord {
            partition_group: server % CELLS,
            zone: Some(ZoneId(server / CELLS % ZONES)),
            ..entry(server, phase)
        };
        Event::EndpointsUpdated { kind, records: lines.iter().map(line).collect() }
    }

    fn events(&mut self, step: &Step) -> Vec<Event> {
        match step {
            Step::Query { class, parts } => self.query(*class, *parts),
            Step::End { pick, outcome } if !self.out.is_empty() => {
                let (part, attempt, server, sent) = self.out.swap_remove(pick % self.out.len());
                if let Some(p) = self.parts.get_mut(&part) {
                    p.out.remove(&attempt);
                }
                let latency = self.now - sent;
                vec![Event::AttemptEnded { part, attempt, server, outcome: *outcome, latency }]
            }
            Step::End { .. } => self.probed().into_iter().collect(),
            Step::Change { lines } => vec![self.list(EndpointUpdateKind::Delta, lines)],
            Step::Whole { lines } => vec![self.list(EndpointUpdateKind::Snapshot, lines)],
            Step::NoChange => {
                vec![Event::EndpointsUpdated { kind: EndpointUpdateKind::Delta, records: Vec::new() }]
            }
            Step::Leave { pick } => {
                let id = self.queries.keys().nth(pick % self.queries.len().max(1)).copied();
                id.map(|id| (self.queries.remove(&id), Event::ClientDisconnected(id)).1).into_iter().collect()
            }
        }
    }

    fn probed(&mut self) -> Option<Event> {
        let (server, sent) = self.probes.pop()?;
        Some(Event::HealthChecked { server, outcome: Outcome::ConnectFailed, latency: self.now - sent })
    }

    fn query(&mut self, class: usize, parts: u32) -> Vec<Event> {
        let id = QueryId(self.next);
        self.next += 1;
        let shards: Vec<ShardId> = (0..parts).map(ShardId).collect();
        self.queries.insert(id, Query { class, shards: shards.clone(), second: false });
        let mut events = vec![Event::QueryArrived {
            id,
            class: ClassId(class),
            tenant: None,
            key: None,
            is_retry: false,
            deadline: self.now + 3000 * MS,
        }];
        events.extend(self.add_parts(id, &shards, false));
        events
    }

    fn add_parts(&mut self, query: QueryId, shards: &[ShardId], second: bool) -> Vec<Event> {
        let weight = 1.0 / shards.len() as f64;
        let mut events = Vec::new();
        for &shard in shards {
            let id = PartId(self.next);
            self.next += 1;
            self.parts.insert(id, Part { second, ..Part::default() });
            events.push(Event::PartArrived { id, query, shard, weight });
        }
        events
    }

    /// One round, and those that follow from it at the same moment.
    fn round(&mut self, events: Vec<Event>) {
        let mut events = events;
        loop {
            let actions = self.policy.round(self.now, std::mem::take(&mut events));
            for action in actions {
                events.extend(self.act(&action));
            }
            if events.is_empty() {
                return;
            }
        }
    }

    fn act(&mut self, action: &Action) -> Vec<Event> {
        match *action {
            Action::StartAttempt { part, server, .. } => self.sent(part, server),
            Action::CheckHealth { server } => {
                assert!(self.up.contains(&server), "probed one that is not up");
                self.tried.borrow_mut().probes += 1;
                self.probes.push((server, self.now));
            }
            Action::CancelAttempt { part, attempt } => return self.cancelled(part, attempt),
            Action::Answer { query, .. } => return self.answered(query),
            Action::Reject { query, .. } | Action::Fail { query } => drop(self.queries.remove(&query)),
            Action::SetTimer { after } => {
                let at = self.now + after;
                self.wake = Some(self.wake.map_or(at, |w| w.min(at)));
            }
            Action::CloseIdleConnections { .. } => {}
        }
        Vec::new()
    }

    fn sent(&mut self, id: PartId, server: ServerId) {
        assert!(self.up.contains(&server), "sent to one that is not up");
        let Some(part) = self.parts.get_mut(&id) else { panic!("sent what is not known") };
        let mut tried = self.tried.borrow_mut();
        tried.sends += 1;
        tried.repeats += u32::from(part.attempts > 0);
        tried.copies += u32::from(!part.out.is_empty());
        tried.second_steps += u32::from(part.second);
        part.out.insert(part.attempts);
        self.out.push((id, part.attempts, server, self.now));
        part.attempts += 1;
    }

    fn cancelled(&mut self, part: PartId, attempt: u32) -> Vec<Event> {
        let Some(at) = self.out.iter().position(|o| (o.0, o.1) == (part, attempt)) else { return Vec::new() };
        let (part, attempt, server, sent) = self.out.swap_remove(at);
        if let Some(p) = self.parts.get_mut(&part) {
            p.out.remove(&attempt);
        }
        vec![Event::AttemptEnded {
            part,
            attempt,
            server,
            outcome: Outcome::Cancelled,
            latency: self.now - sent,
        }]
    }

    fn answered(&mut self, id: QueryId) -> Vec<Event> {
        let two = |q: &Query| self.set.classes[q.class].second_phase_parts > 0 && !q.second;
        match self.queries.get_mut(&id) {
            Some(query) if two(query) => {
                query.second = true;
                let shards = query.shards[..query.shards.len().min(2)].to_vec();
                self.add_parts(id, &shards, true)
            }
            _ => {
                self.queries.remove(&id);
                Vec::new()
            }
        }
    }

    /// Time passes: only the module's own timers wake it.
    fn pass(&mut self, span: Nanos) {
        let end = self.now + span;
        while let Some(at) = self.wake.filter(|&w| w <= end) {
            self.now = at.max(self.now);
            self.wake = None;
            self.round(vec![Event::TimerFired]);
        }
        self.now = end;
    }
}

#[test]
fn nothing_is_sent_to_a_server_that_is_not_up_from_the_round_of_the_news_on() {
    let tried = RefCell::new(Tried::default());
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[37; 32]);
    let config = Config { cases: 200, failure_persistence: None, ..Config::default() };
    let mut runner = TestRunner::new_with_rng(config, rng);
    let rounds = proptest::collection::vec(round(), 1..120);
    let result = runner.run(&rounds, |rounds| {
        let mut world = World::new(&tried);
        for (steps, ms) in &rounds {
            let events: Vec<Event> = steps.iter().flat_map(|step| world.events(step)).collect();
            world.round(events);
            world.pass(ms * MS);
        }
        Ok(())
    });
    result.unwrap();
    let tried = tried.into_inner();
    println!("{tried:?}");
    let all = [tried.sends, tried.repeats, tried.copies, tried.second_steps, tried.probes];
    assert!(all.iter().all(|&times| times > 50), "{tried:?}");
}
