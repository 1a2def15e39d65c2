//! Random steps over the decisions: from the round on in which an update of the list comes, nothing is sent
//! to a server that is not up, and none such is health checked, whichever way leads there. A round holds
//! several events in any order, as after a pause of the process: updates of the list, ends of attempts,
//! queries.

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

/// What happens in a round.
#[derive(Debug, Clone)]
enum Step {
    Query { class: usize, parts: u32 },
    End { pick: usize, outcome: Outcome },
    Delta { records: Vec<(u32, EndpointState)> },
    Snapshot { records: Vec<(u32, EndpointState)> },
    EmptyDelta,
    Disconnect { pick: usize },
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

fn state() -> impl Strategy<Value = EndpointState> {
    prop_oneof![2 => Just(EndpointState::Active), 2 => Just(EndpointState::Draining), 1 => Just(EndpointState::Removed)]
}

fn records(most: usize) -> impl Strategy<Value = Vec<(u32, EndpointState)>> {
    proptest::collection::vec((0..SERVERS, state()), 0..most)
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        5 => (0..3usize, 1..=SHARDS).prop_map(|(class, parts)| Step::Query { class, parts }),
        8 => (any::<usize>(), outcome()).prop_map(|(pick, outcome)| Step::End { pick, outcome }),
        2 => records(4).prop_map(|records| Step::Delta { records }),
        1 => records(8).prop_map(|records| Step::Snapshot { records }),
        1 => Just(Step::EmptyDelta),
        1 => any::<usize>().prop_map(|pick| Step::Disconnect { pick }),
    ]
}

fn round() -> impl Strategy<Value = Round> {
    (proptest::collection::vec(step(), 0..6), prop_oneof![2 => 0..20u64, 1 => 20..800u64])
}

/// What was seen over all cases: without each of these the rule was not tried.
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
    wake: Option<Nanos>,
    next: u64,
    queries: BTreeMap<QueryId, Query>,
    parts: BTreeMap<PartId, Part>,
    /// The servers that are up by the updates so far.
    up: BTreeSet<ServerId>,
    in_flight: Vec<(PartId, u32, ServerId, Nanos)>,
    health_checks: Vec<(ServerId, Nanos)>,
    exercised: &'a RefCell<Exercised>,
}

/// Two phases, partial answers, hedges and health checks, two zones, and no bound on further attempts but
/// those of the classes.
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
            wake: None,
            next: 0,
            queries: BTreeMap::new(),
            parts: BTreeMap::new(),
            up: BTreeSet::new(),
            in_flight: Vec::new(),
            health_checks: Vec::new(),
            exercised,
        };
        let all: Vec<(u32, EndpointState)> = (0..SERVERS).map(|s| (s, EndpointState::Active)).collect();
        let events = harness.events(&Step::Snapshot { records: all });
        harness.round(events);
        harness
    }

    /// The model of the list: the last word on a server holds.
    fn list(&mut self, kind: EndpointUpdateKind, records: &[(u32, EndpointState)]) -> Event {
        if kind == EndpointUpdateKind::Snapshot {
            self.up.clear();
        }
        for &(server, state) in records {
            match state {
                EndpointState::Active => drop(self.up.insert(ServerId(server))),
                EndpointState::Draining | EndpointState::Removed => drop(self.up.remove(&ServerId(server))),
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
            Step::End { pick, outcome } if !self.in_flight.is_empty() => {
                let (part, attempt, server, sent) = self.in_flight.swap_remove(pick % self.in_flight.len());
                if let Some(p) = self.parts.get_mut(&part) {
                    p.in_flight.remove(&attempt);
                }
                let latency = self.now - sent;
                vec![Event::AttemptEnded { part, attempt, server, outcome: *outcome, latency }]
            }
            Step::End { .. } => self.health_checked().into_iter().collect(),
            Step::Delta { records } => vec![self.list(EndpointUpdateKind::Delta, records)],
            Step::Snapshot { records } => vec![self.list(EndpointUpdateKind::Snapshot, records)],
            Step::EmptyDelta => {
                vec![Event::EndpointsUpdated { kind: EndpointUpdateKind::Delta, records: Vec::new() }]
            }
            Step::Disconnect { pick } => {
                let id = self.queries.keys().nth(pick % self.queries.len().max(1)).copied();
                id.map(|id| (self.queries.remove(&id), Event::ClientDisconnected(id)).1).into_iter().collect()
            }
        }
    }

    fn health_checked(&mut self) -> Option<Event> {
        let (server, sent) = self.health_checks.pop()?;
        Some(Event::HealthChecked { server, outcome: Outcome::ConnectFailed, latency: self.now - sent })
    }

    fn query(&mut self, class: usize, parts: u32) -> Vec<Event> {
        let id = QueryId(self.next);
        self.next += 1;
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
            let id = PartId(self.next);
            self.next += 1;
            self.parts.insert(id, Part { is_second_phase, ..Part::default() });
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
                assert!(self.up.contains(&server), "health check of an inactive server");
                self.exercised.borrow_mut().health_checks += 1;
                self.health_checks.push((server, self.now));
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
        assert!(self.up.contains(&server), "sent to an inactive server");
        let Some(part) = self.parts.get_mut(&id) else { panic!("sent what is not known") };
        let mut exercised = self.exercised.borrow_mut();
        exercised.sends += 1;
        exercised.retries += u32::from(part.attempts > 0);
        exercised.hedges += u32::from(!part.in_flight.is_empty());
        exercised.second_phase_attempts += u32::from(part.is_second_phase);
        part.in_flight.insert(part.attempts);
        self.in_flight.push((id, part.attempts, server, self.now));
        part.attempts += 1;
    }

    fn cancelled(&mut self, part: PartId, attempt: u32) -> Vec<Event> {
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

    fn answered(&mut self, id: QueryId) -> Vec<Event> {
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

    /// Time passes: only the policy's own timers wake it.
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
fn no_attempt_goes_to_an_inactive_server_from_the_round_of_the_update_on() {
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
            harness.pass(ms * MS);
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
