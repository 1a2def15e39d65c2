//! Property test with random events: from the round that contains an update of the endpoint list on, inactive servers
//! get no attempts and no health checks, whichever decision would cause them. A round contains several events in any
//! order, as after a pause of the process: updates of the list, ends of attempts, queries.

mod common;

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};

use common::{class, record, settings, MS, START};
use curlewdeck_core::api::*;
use curlewdeck_core::Policy;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

const SERVERS: u32 = 6;
const PARTITION_GROUPS: u32 = 3;
const SHARDS: u32 = 3;
const ZONES: u32 = 2;

/// An event in a round.
#[derive(Debug, Clone)]
enum Step {
    Query { class: usize, parts: u32 },
    EndAttempt { pick: usize, outcome: Outcome },
    Delta { records: Vec<(u32, EndpointState)> },
    Snapshot { records: Vec<(u32, EndpointState)> },
    EmptyDelta,
    Disconnect { pick: usize },
}

/// Several simultaneous events, and the time in milliseconds until the next round.
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

fn state() -> impl Strategy<Value = EndpointState> {
    prop_oneof![2 => Just(EndpointState::Active), 2 => Just(EndpointState::Draining), 1 => Just(EndpointState::Removed)]
}

fn records(max_len: usize) -> impl Strategy<Value = Vec<(u32, EndpointState)>> {
    proptest::collection::vec((0..SERVERS, state()), 0..max_len)
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        5 => (0..3usize, 1..=SHARDS).prop_map(|(class, parts)| Step::Query { class, parts }),
        8 => (any::<usize>(), outcome()).prop_map(|(pick, outcome)| Step::EndAttempt { pick, outcome }),
        2 => records(4).prop_map(|records| Step::Delta { records }),
        1 => records(8).prop_map(|records| Step::Snapshot { records }),
        1 => Just(Step::EmptyDelta),
        1 => any::<usize>().prop_map(|pick| Step::Disconnect { pick }),
    ]
}

fn round() -> impl Strategy<Value = Round> {
    (proptest::collection::vec(step(), 0..6), prop_oneof![2 => 0..20u64, 1 => 20..800u64])
}

/// Counts over all cases: the test has exercised the rule only if each of them is large enough.
#[derive(Debug, Default)]
struct Exercised {
    sends: u32,
    retries: u32,
    hedges: u32,
    second_phase_attempts: u32,
    health_checks: u32,
}

#[derive(Debug)]
struct Query {
    class: usize,
    shards: Vec<ShardId>,
    is_second_phase: bool,
}

#[derive(Debug, Default)]
struct Part {
    attempts: u32,
    in_flight: BTreeSet<u32>,
    is_second_phase: bool,
}

struct Harness<'a> {
    settings: Settings,
    policy: Policy,
    now: Nanos,
    timer_at: Option<Nanos>,
    next_id: u64,
    queries: BTreeMap<QueryId, Query>,
    parts: BTreeMap<PartId, Part>,
    /// The servers that are active according to the updates so far.
    active: BTreeSet<ServerId>,
    in_flight: Vec<(PartId, u32, ServerId, Nanos)>,
    health_checks: Vec<(ServerId, Nanos)>,
    exercised: &'a RefCell<Exercised>,
}

/// Settings with two phases, partial answers, hedges, health checks and two zones. Only the limits of the classes apply
/// to attempts beyond the first.
fn settings_with_all_kinds_of_attempts() -> Settings {
    let mut settings = settings();
    settings.classes[0].second_phase_parts = 2;
    settings.classes[1] = Class {
        min_coverage: 0.4,
        complete_coverage: 1.0,
        late_value_ratio: 0.3,
        max_attempts: 4,
        ..class(RetrySafety::Idempotent)
    };
    settings.layout = ShardLayout {
        partition_groups: PARTITION_GROUPS,
        groups_per_shard: 2,
        max_batch: 1,
        call_overhead: 0,
    };
    Settings { zones: ZONES, retry_budget: None, connection_idle_timeout: Some(5000 * MS), ..settings }
}

impl<'a> Harness<'a> {
    fn new(exercised: &'a RefCell<Exercised>) -> Self {
        let settings = settings_with_all_kinds_of_attempts();
        let policy = Policy::new(settings.clone(), 11).unwrap();
        let mut harness = Self {
            settings,
            policy,
            now: START,
            timer_at: None,
            next_id: 0,
            queries: BTreeMap::new(),
            parts: BTreeMap::new(),
            active: BTreeSet::new(),
            in_flight: Vec::new(),
            health_checks: Vec::new(),
            exercised,
        };
        let all: Vec<(u32, EndpointState)> = (0..SERVERS).map(|s| (s, EndpointState::Active)).collect();
        let events = harness.events(&Step::Snapshot { records: all });
        harness.round(events);
        harness
    }

    /// Updates the model of the endpoint list, in which the last record of a server counts, and returns the event.
    fn update_list(&mut self, kind: EndpointUpdateKind, records: &[(u32, EndpointState)]) -> Event {
        if kind == EndpointUpdateKind::Snapshot {
            self.active.clear();
        }
        for &(server, state) in records {
            match state {
                EndpointState::Active => {
                    self.active.insert(ServerId(server));
                }
                EndpointState::Draining | EndpointState::Removed => {
                    self.active.remove(&ServerId(server));
                }
            }
        }
        let to_record = |&(server, state): &(u32, EndpointState)| EndpointRecord {
            partition_group: server % PARTITION_GROUPS,
            zone: Some(ZoneId(server / PARTITION_GROUPS % ZONES)),
            ..record(server, state)
        };
        Event::EndpointsUpdated { kind, records: records.iter().map(to_record).collect() }
    }

    fn events(&mut self, step: &Step) -> Vec<Event> {
        match step {
            Step::Query { class, parts } => self.query(*class, *parts),
            Step::EndAttempt { pick, outcome } if !self.in_flight.is_empty() => {
                let (part, attempt, server, sent) = self.in_flight.swap_remove(pick % self.in_flight.len());
                if let Some(p) = self.parts.get_mut(&part) {
                    p.in_flight.remove(&attempt);
                }
                let latency = self.now - sent;
                vec![Event::AttemptEnded { part, attempt, server, outcome: *outcome, latency }]
            }
            Step::EndAttempt { .. } => self.end_health_check().into_iter().collect(),
            Step::Delta { records } => vec![self.update_list(EndpointUpdateKind::Delta, records)],
            Step::Snapshot { records } => vec![self.update_list(EndpointUpdateKind::Snapshot, records)],
            Step::EmptyDelta => {
                vec![Event::EndpointsUpdated { kind: EndpointUpdateKind::Delta, records: Vec::new() }]
            }
            Step::Disconnect { pick } => {
                let id = self.queries.keys().nth(pick % self.queries.len().max(1)).copied();
                id.map(|id| (self.queries.remove(&id), Event::ClientDisconnected(id)).1).into_iter().collect()
            }
        }
    }

    fn end_health_check(&mut self) -> Option<Event> {
        let (server, sent) = self.health_checks.pop()?;
        Some(Event::HealthChecked { server, outcome: Outcome::ConnectFailed, latency: self.now - sent })
    }

    fn query(&mut self, class: usize, parts: u32) -> Vec<Event> {
        let id = QueryId(self.next_id);
        self.next_id += 1;
        let shards: Vec<ShardId> = (0..parts).map(ShardId).collect();
        self.queries.insert(id, Query { class, shards: shards.clone(), is_second_phase: false });
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

    fn add_parts(&mut self, query: QueryId, shards: &[ShardId], is_second_phase: bool) -> Vec<Event> {
        let weight = 1.0 / shards.len() as f64;
        let mut events = Vec::new();
        for &shard in shards {
            let id = PartId(self.next_id);
            self.next_id += 1;
            self.parts.insert(id, Part { is_second_phase, ..Part::default() });
            events.push(Event::PartArrived { id, query, shard, weight });
        }
        events
    }

    /// Runs a round, and further rounds at the same time until no more events result.
    fn round(&mut self, events: Vec<Event>) {
        let mut events = events;
        loop {
            let actions = self.policy.round(self.now, std::mem::take(&mut events));
            for action in actions {
                events.extend(self.execute(&action));
            }
            if events.is_empty() {
                return;
            }
        }
    }

    fn execute(&mut self, action: &Action) -> Vec<Event> {
        match *action {
            Action::StartAttempt { part, server, .. } => self.record_send(part, server),
            Action::CheckHealth { server } => {
                assert!(self.active.contains(&server), "health check of an inactive server");
                self.exercised.borrow_mut().health_checks += 1;
                self.health_checks.push((server, self.now));
            }
            Action::CancelAttempt { part, attempt } => return self.cancel_attempt(part, attempt),
            Action::Answer { query, .. } => return self.answer(query),
            Action::Reject { query, .. } | Action::Fail { query } => drop(self.queries.remove(&query)),
            Action::SetTimer { after } => {
                let at = self.now + after;
                self.timer_at = Some(self.timer_at.map_or(at, |timer| timer.min(at)));
            }
            Action::CloseIdleConnections { .. } => {}
        }
        Vec::new()
    }

    fn record_send(&mut self, id: PartId, server: ServerId) {
        assert!(self.active.contains(&server), "an attempt was sent to an inactive server");
        let Some(part) = self.parts.get_mut(&id) else { panic!("an attempt of an unknown part was sent") };
        let mut exercised = self.exercised.borrow_mut();
        exercised.sends += 1;
        exercised.retries += u32::from(part.attempts > 0);
        exercised.hedges += u32::from(!part.in_flight.is_empty());
        exercised.second_phase_attempts += u32::from(part.is_second_phase);
        part.in_flight.insert(part.attempts);
        self.in_flight.push((id, part.attempts, server, self.now));
        part.attempts += 1;
    }

    fn cancel_attempt(&mut self, part: PartId, attempt: u32) -> Vec<Event> {
        let Some(at) = self.in_flight.iter().position(|o| (o.0, o.1) == (part, attempt)) else {
            return Vec::new();
        };
        let (part, attempt, server, sent) = self.in_flight.swap_remove(at);
        if let Some(p) = self.parts.get_mut(&part) {
            p.in_flight.remove(&attempt);
        }
        vec![Event::AttemptEnded {
            part,
            attempt,
            server,
            outcome: Outcome::Cancelled,
            latency: self.now - sent,
        }]
    }

    fn answer(&mut self, id: QueryId) -> Vec<Event> {
        let has_second_phase =
            |q: &Query| self.settings.classes[q.class].second_phase_parts > 0 && !q.is_second_phase;
        match self.queries.get_mut(&id) {
            Some(query) if has_second_phase(query) => {
                query.is_second_phase = true;
                let shards = query.shards[..query.shards.len().min(2)].to_vec();
                self.add_parts(id, &shards, true)
            }
            _ => {
                self.queries.remove(&id);
                Vec::new()
            }
        }
    }

    /// Advances the time; the only events are the policy's own timers.
    fn advance(&mut self, span: Nanos) {
        let end = self.now + span;
        while let Some(at) = self.timer_at.filter(|&timer| timer <= end) {
            self.now = at.max(self.now);
            self.timer_at = None;
            self.round(vec![Event::TimerFired]);
        }
        self.now = end;
    }
}

#[test]
fn inactive_servers_get_no_attempts_from_the_round_of_the_update_on() {
    let exercised = RefCell::new(Exercised::default());
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[37; 32]);
    let config = Config { cases: 200, failure_persistence: None, ..Config::default() };
    let mut runner = TestRunner::new_with_rng(config, rng);
    let rounds = proptest::collection::vec(round(), 1..120);
    let result = runner.run(&rounds, |rounds| {
        let mut harness = Harness::new(&exercised);
        for (steps, ms) in &rounds {
            let events: Vec<Event> = steps.iter().flat_map(|step| harness.events(step)).collect();
            harness.round(events);
            harness.advance(ms * MS);
        }
        Ok(())
    });
    result.unwrap();
    let exercised = exercised.into_inner();
    println!("{exercised:?}");
    let all = [
        exercised.sends,
        exercised.retries,
        exercised.hedges,
        exercised.second_phase_attempts,
        exercised.health_checks,
    ];
    assert!(all.iter().all(|&times| times > 50), "{exercised:?}");
}
