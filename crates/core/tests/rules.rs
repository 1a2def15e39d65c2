//! Property tests with a fixed seed: arbitrary legal event streams, the six rules asserted.

mod common;

use std::collections::BTreeMap;

use common::{entry, settings, MS, START};
use curlewdeck_core::api::*;
use curlewdeck_core::Policy;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

#[derive(Debug, Clone)]
enum Step {
    Query { class: usize, parts: u64 },
    End { pick: usize, outcome: Outcome },
    List { server: u32, phase: EndpointState, restart: bool },
    Leave { pick: usize },
    Pass { ms: u64 },
}

fn outcome() -> impl Strategy<Value = Outcome> {
    prop_oneof![
        4 => Just(Outcome::Success),
        1 => Just(Outcome::ServerError),
        1 => Just(Outcome::Rejected),
        1 => Just(Outcome::ConnectFailed),
        1 => Just(Outcome::ConnectionReset),
    ]
}

fn phase() -> impl Strategy<Value = EndpointState> {
    prop_oneof![3 => Just(EndpointState::Active), 1 => Just(EndpointState::Draining), 1 => Just(EndpointState::Removed)]
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (0..3usize, 0..5u64).prop_map(|(class, parts)| Step::Query { class, parts }),
        8 => (any::<usize>(), outcome()).prop_map(|(pick, outcome)| Step::End { pick, outcome }),
        1 => (0..4u32, phase(), any::<bool>()).prop_map(|(server, phase, restart)| Step::List { server, phase, restart }),
        1 => any::<usize>().prop_map(|pick| Step::Leave { pick }),
        4 => (1..400u64).prop_map(|ms| Step::Pass { ms }),
    ]
}

#[derive(Debug)]
struct Attempt {
    sent: Nanos,
    outcome: Option<Outcome>,
}

#[derive(Debug)]
struct Part {
    query: QueryId,
    weight: f64,
    attempts: Vec<Attempt>,
    passed: bool,
}

#[derive(Debug)]
struct Query {
    class: usize,
    valid_until: Nanos,
    finals: u32,
    gone: bool,
}

/// What the outside sees: it plays the servers and checks every action against the rules.
struct World {
    set: Settings,
    policy: Policy,
    now: Nanos,
    wake: Option<Nanos>,
    next: u64,
    queries: BTreeMap<QueryId, Query>,
    parts: BTreeMap<PartId, Part>,
    listed: BTreeMap<ServerId, bool>,
    out: Vec<(PartId, u32, ServerId, Nanos)>,
    taken: Vec<Nanos>,
    extra: Vec<Nanos>,
    log: Vec<Action>,
}

impl World {
    fn new(set: Settings) -> Self {
        let policy = Policy::new(set.clone(), 11).unwrap();
        let mut world = Self {
            set,
            policy,
            now: START,
            wake: None,
            next: 0,
            queries: BTreeMap::new(),
            parts: BTreeMap::new(),
            listed: (0..4).map(|s| (ServerId(s), true)).collect(),
            out: Vec::new(),
            taken: Vec::new(),
            extra: Vec::new(),
            log: Vec::new(),
        };
        let line = |s| EndpointRecord { zone: Some(ZoneId(s % 3)), ..entry(s, EndpointState::Active) };
        let entries = (0..4).map(line).collect();
        world.round(vec![Event::EndpointsUpdated { kind: EndpointUpdateKind::Snapshot, records: entries }]);
        world
    }

    fn round(&mut self, events: Vec<Event>) {
        let actions = self.policy.round(self.now, events);
        for action in &actions {
            self.check(action);
        }
        self.log.extend(actions);
    }

    fn check(&mut self, action: &Action) {
        match action {
            Action::StartAttempt { part, server, timeout: within } => {
                self.check_send(*part, *server, *within)
            }
            Action::CancelAttempt { part, attempt } => {
                assert!((*attempt as usize) < self.parts[part].attempts.len(), "cancel of nothing sent");
            }
            Action::Answer { query, complete: whole } => {
                self.close(*query);
                let class = &self.set.classes[self.queries[query].class];
                let weight: f64 =
                    self.parts.values().filter(|p| p.query == *query && p.passed).map(|p| p.weight).sum();
                assert!(weight >= class.min_coverage - 1e-4, "answer under the floor");
                assert!(!whole || weight >= class.complete_coverage - 1e-4, "marked whole and is not");
            }
            Action::Reject { query, .. } => {
                self.close(*query);
                let unsafe_class =
                    self.set.classes[self.queries[query].class].retry_safety == RetrySafety::AtMostOnce;
                let unrun = self
                    .parts
                    .values()
                    .filter(|p| p.query == *query)
                    .all(|p| p.attempts.iter().all(|a| a.outcome.is_some_and(Outcome::never_ran)));
                assert!(!unsafe_class || unrun, "refused what may have run");
            }
            Action::Fail { query } => self.close(*query),
            Action::CheckHealth { .. } => assert!(self.set.may_check_health, "a probe where none is allowed"),
            Action::SetTimer { after } => {
                let at = self.now + after;
                self.wake = Some(self.wake.map_or(at, |w| w.min(at)));
            }
            _ => {}
        }
    }

    fn close(&mut self, query: QueryId) {
        let q = self.queries.get_mut(&query).unwrap();
        q.finals += 1;
        assert!(!q.gone && q.finals == 1, "a second final answer");
        assert!(self.now <= q.valid_until + 20 * MS, "final answer too late");
    }

    fn check_send(&mut self, part: PartId, server: ServerId, within: Nanos) {
        assert!(self.listed[&server], "sent to a server that drains or is gone");
        let p = self.parts.get_mut(&part).unwrap();
        let q = &self.queries[&p.query];
        assert!(q.finals == 0 && !q.gone, "sent after the end");
        assert!(self.now + within <= q.valid_until);
        let class = &self.set.classes[q.class];
        let may_have_run = p.attempts.iter().find(|a| !a.outcome.is_some_and(Outcome::never_ran));
        match class.retry_safety {
            RetrySafety::Idempotent => {}
            RetrySafety::AtMostOnce => assert!(may_have_run.is_none(), "an unsafe part sent twice"),
            RetrySafety::Deduplicated => {
                assert!(
                    may_have_run.is_none_or(|a| self.now <= a.sent + class.retry_window),
                    "past the window"
                );
            }
        }
        p.attempts.push(Attempt { sent: self.now, outcome: None });
        let number = p.attempts.len() as u32 - 1;
        assert!(p.attempts.len() <= class.max_attempts as usize);
        self.out.push((part, number, server, self.now));
        if number > 0 {
            self.extra.push(self.now);
            let budget = self.set.retry_budget.unwrap();
            let from = self.now - budget.window;
            let count = |times: &[Nanos]| times.iter().filter(|&&t| t > from).count() as f64;
            assert!(
                count(&self.extra) <= budget.base_attempts + budget.ratio * count(&self.taken),
                "over the budget"
            );
        }
    }

    fn step(&mut self, step: &Step) {
        match *step {
            Step::Query { class, parts } => self.query(class, parts),
            Step::End { pick, outcome } if !self.out.is_empty() => {
                let (part, attempt, server, sent) = self.out.swap_remove(pick % self.out.len());
                let p = self.parts.get_mut(&part).unwrap();
                p.attempts[attempt as usize].outcome = Some(outcome);
                p.passed |= outcome == Outcome::Success;
                let latency = self.now - sent;
                self.round(vec![Event::AttemptEnded { part, attempt, server, outcome, latency }]);
            }
            Step::End { .. } => {}
            Step::List { server, phase, restart } => {
                self.listed.insert(ServerId(server), phase == EndpointState::Active);
                let started_at = if restart { self.now } else { 0 };
                let zone = Some(ZoneId(server % 3));
                let entries = vec![EndpointRecord { started_at, zone, ..entry(server, phase) }];
                self.round(vec![Event::EndpointsUpdated {
                    kind: EndpointUpdateKind::Delta,
                    records: entries,
                }]);
            }
            Step::Leave { pick } => {
                let open: Vec<QueryId> = self
                    .queries
                    .iter()
                    .filter(|(_, q)| q.finals == 0 && !q.gone)
                    .map(|(&id, _)| id)
                    .collect();
                if !open.is_empty() {
                    let id = open[pick % open.len()];
                    self.queries.get_mut(&id).unwrap().gone = true;
                    self.round(vec![Event::ClientDisconnected(id)]);
                }
            }
            Step::Pass { ms } => self.pass(ms * MS),
        }
    }

    fn query(&mut self, class: usize, parts: u64) {
        let id = QueryId(self.next);
        self.next += 1 + parts;
        let valid_until = self.now + 3000 * MS;
        self.queries.insert(id, Query { class, valid_until, finals: 0, gone: false });
        self.taken.push(self.now);
        let mut events = vec![Event::QueryArrived {
            id,
            class: ClassId(class),
            tenant: None,
            key: Some(KeyId(parts)),
            is_retry: parts % 2 == 1,
            deadline: valid_until,
        }];
        for p in 1..=parts {
            let (part, weight) = (PartId(id.0 + p), 1.0 / parts as f64);
            self.parts.insert(part, Part { query: id, weight, attempts: Vec::new(), passed: false });
            self.taken.push(self.now);
            events.push(Event::PartArrived { id: part, query: id, shard: ShardId(0), weight });
        }
        self.round(events);
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

fn run(steps: &[Step], set: Settings) -> Vec<Action> {
    let mut world = World::new(set);
    for step in steps {
        world.step(step);
    }
    world.pass(10_000 * MS);
    let lost = world.queries.values().filter(|q| q.finals == 0 && !q.gone).count();
    assert_eq!(lost, 0, "queries without a final answer");
    world.log
}

fn mixed() -> Settings {
    let mut set = settings();
    set.classes[0].complete_coverage = 0.7;
    set.classes[0].min_coverage = 0.4;
    set.classes[2].late_value_ratio = 0.3;
    // One zone less than the list names: a zone out of range is not known.
    set.zones = 2;
    set.connection_idle_timeout = Some(5000 * MS);
    set.clients_mark_retries = true;
    set
}

/// Partial answers, late worth, shared calls, a tenth as budget and no probes.
fn partial() -> Settings {
    let mut set = mixed();
    for (class, (floor, late_worth)) in set.classes.iter_mut().zip([(0.5, 0.1), (1.0, 0.0), (0.6, 0.3)]) {
        let effect = RetrySafety::Idempotent;
        *class = Class {
            retry_safety: effect,
            min_coverage: floor,
            complete_coverage: 1.0,
            partial_value_ratio: Some(0.8),
            late_value_ratio: late_worth,
            ..class.clone()
        };
    }
    set.layout = ShardLayout { max_batch: 4, call_overhead: 58 * MS, ..set.layout };
    set.retry_budget = Some(RetryBudget { window: 5000 * MS, base_attempts: 5.0, ratio: 0.1 });
    set.classes.iter_mut().for_each(|c| c.max_attempts = 4);
    Settings { may_check_health: false, ..set }
}

fn hold_the_rules(set: fn() -> Settings) {
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[42; 32]);
    let config = Config { cases: 300, failure_persistence: None, ..Config::default() };
    let mut runner = TestRunner::new_with_rng(config, rng);
    let steps = proptest::collection::vec(step(), 1..200);
    let result = runner.run(&steps, |steps| {
        assert_eq!(run(&steps, set()), run(&steps, set()));
        Ok(())
    });
    result.unwrap();
}

#[test]
fn the_rules_hold_under_arbitrary_events_and_equal_events_give_equal_actions() {
    hold_the_rules(mixed);
}

#[test]
fn the_rules_hold_with_partial_answers_shared_calls_and_a_small_budget() {
    hold_the_rules(partial);
}
