//! Property tests with a fixed seed: check the six rules of the policy against arbitrary valid event streams.

mod common;

use std::collections::BTreeMap;

use common::{record, settings, MS, START};
use curlewdeck_core::api::*;
use curlewdeck_core::Policy;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

#[derive(Debug, Clone)]
enum Step {
    Query { class: usize, parts: u64 },
    EndAttempt { pick: usize, outcome: Outcome },
    UpdateList { server: u32, state: EndpointState, restart: bool },
    Disconnect { pick: usize },
    Advance { ms: u64 },
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

fn state() -> impl Strategy<Value = EndpointState> {
    prop_oneof![3 => Just(EndpointState::Active), 1 => Just(EndpointState::Draining), 1 => Just(EndpointState::Removed)]
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (0..3usize, 0..5u64).prop_map(|(class, parts)| Step::Query { class, parts }),
        8 => (any::<usize>(), outcome()).prop_map(|(pick, outcome)| Step::EndAttempt { pick, outcome }),
        1 => (0..4u32, state(), any::<bool>()).prop_map(|(server, state, restart)| Step::UpdateList { server, state, restart }),
        1 => any::<usize>().prop_map(|pick| Step::Disconnect { pick }),
        4 => (1..400u64).prop_map(|ms| Step::Advance { ms }),
    ]
}

#[derive(Debug)]
struct Attempt {
    sent_at: Nanos,
    outcome: Option<Outcome>,
}

#[derive(Debug)]
struct Part {
    query: QueryId,
    phase: Phase,
    weight: f64,
    attempts: Vec<Attempt>,
    complete: bool,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    First,
    Second,
}

#[derive(Debug)]
struct Query {
    class: usize,
    phase: Phase,
    deadline: Nanos,
    final_answers: u32,
    disconnected: bool,
}

/// Simulates clients, servers and discovery, and checks every action of the policy against the rules.
struct Harness {
    settings: Settings,
    policy: Policy,
    now: Nanos,
    timer_at: Option<Nanos>,
    next_id: u64,
    queries: BTreeMap<QueryId, Query>,
    parts: BTreeMap<PartId, Part>,
    active: BTreeMap<ServerId, bool>,
    in_flight: Vec<(PartId, u32, ServerId, Nanos)>,
    arrivals: Vec<Nanos>,
    further_attempts: Vec<Nanos>,
    /// Queries whose first phase was answered in this round; the parts of their second phase arrive in the next.
    second_phases: Vec<QueryId>,
    log: Vec<Action>,
}

impl Harness {
    fn new(settings: Settings) -> Self {
        let policy = Policy::new(settings.clone(), 11).unwrap();
        let mut harness = Self {
            settings,
            policy,
            now: START,
            timer_at: None,
            next_id: 0,
            queries: BTreeMap::new(),
            parts: BTreeMap::new(),
            active: (0..4).map(|s| (ServerId(s), true)).collect(),
            in_flight: Vec::new(),
            arrivals: Vec::new(),
            further_attempts: Vec::new(),
            second_phases: Vec::new(),
            log: Vec::new(),
        };
        let to_record = |s| EndpointRecord { zone: Some(ZoneId(s % 3)), ..record(s, EndpointState::Active) };
        let records = (0..4).map(to_record).collect();
        harness.round(vec![Event::EndpointsUpdated { kind: EndpointUpdateKind::Snapshot, records }]);
        harness
    }

    fn round(&mut self, events: Vec<Event>) {
        let actions = self.policy.round(self.now, events);
        for action in &actions {
            self.check(action);
        }
        self.log.extend(actions);
        let parts_arrived: Vec<Event> = std::mem::take(&mut self.second_phases)
            .into_iter()
            .map(|id| self.second_phase_part(id))
            .collect();
        if !parts_arrived.is_empty() {
            self.round(parts_arrived);
        }
    }

    /// Adds the only part of a query's second phase and returns the event of its arrival.
    fn second_phase_part(&mut self, query: QueryId) -> Event {
        let id = PartId(self.next_id);
        self.next_id += 1;
        let part = Part { query, phase: Phase::Second, weight: 1.0, attempts: Vec::new(), complete: false };
        self.parts.insert(id, part);
        self.arrivals.push(self.now);
        Event::PartArrived { id, query, shard: ShardId(0), weight: 1.0 }
    }

    fn check(&mut self, action: &Action) {
        match action {
            Action::StartAttempt { part, server, timeout } => self.check_send(*part, *server, *timeout),
            Action::CancelAttempt { part, attempt } => {
                assert!(
                    (*attempt as usize) < self.parts[part].attempts.len(),
                    "an attempt was cancelled that was never sent"
                );
            }
            Action::Answer { query, complete } => {
                let Query { class, phase, .. } = self.queries[query];
                let class = &self.settings.classes[class];
                let of_phase = |p: &&Part| p.query == *query && p.phase == phase && p.complete;
                let weight: f64 = self.parts.values().filter(of_phase).map(|p| p.weight).sum();
                assert!(weight >= class.min_coverage - 1e-4, "an answer is below the minimum coverage");
                assert!(
                    !complete || weight >= class.complete_coverage - 1e-4,
                    "an incomplete answer is marked complete"
                );
                if class.second_phase_parts > 0 && phase == Phase::First {
                    self.queries.entry(*query).and_modify(|q| q.phase = Phase::Second);
                    self.second_phases.push(*query);
                } else {
                    self.close(*query);
                }
            }
            Action::Reject { query, .. } => {
                self.close(*query);
                let at_most_once =
                    self.settings.classes[self.queries[query].class].retry_safety == RetrySafety::AtMostOnce;
                let never_ran = self
                    .parts
                    .values()
                    .filter(|p| p.query == *query)
                    .all(|p| p.attempts.iter().all(|a| a.outcome.is_some_and(Outcome::never_ran)));
                assert!(!at_most_once || never_ran, "an at-most-once query was rejected that may have run");
            }
            Action::Fail { query } => self.close(*query),
            Action::CheckHealth { .. } => {
                assert!(
                    self.settings.may_check_health,
                    "a health check was sent although the settings do not allow it"
                )
            }
            Action::SetTimer { after } => {
                let at = self.now + after;
                self.timer_at = Some(self.timer_at.map_or(at, |timer| timer.min(at)));
            }
            _ => {}
        }
    }

    fn close(&mut self, query: QueryId) {
        let q = self.queries.get_mut(&query).unwrap();
        q.final_answers += 1;
        assert!(
            !q.disconnected && q.final_answers == 1,
            "a query got a second final answer, or one after its client disconnected"
        );
        assert!(self.now <= q.deadline + 20 * MS, "a final answer came too late");
    }

    fn check_send(&mut self, part: PartId, server: ServerId, timeout: Nanos) {
        assert!(self.active[&server], "an attempt was sent to an inactive server");
        let p = self.parts.get_mut(&part).unwrap();
        let q = &self.queries[&p.query];
        assert!(q.final_answers == 0 && !q.disconnected, "an attempt was sent after the end of its query");
        assert_eq!(p.phase, q.phase, "an attempt was sent after the end of its phase");
        assert!(self.now + timeout <= q.deadline);
        let class = &self.settings.classes[q.class];
        let may_have_run = p.attempts.iter().find(|a| !a.outcome.is_some_and(Outcome::never_ran));
        match class.retry_safety {
            RetrySafety::Idempotent => {}
            RetrySafety::AtMostOnce => assert!(may_have_run.is_none(), "an at-most-once part was sent twice"),
            RetrySafety::Deduplicated => {
                assert!(
                    may_have_run.is_none_or(|a| self.now <= a.sent_at + class.retry_window),
                    "a deduplicated part was sent after its retry window"
                );
            }
        }
        p.attempts.push(Attempt { sent_at: self.now, outcome: None });
        let number = p.attempts.len() as u32 - 1;
        assert!(p.attempts.len() <= class.max_attempts as usize);
        self.in_flight.push((part, number, server, self.now));
        if number > 0 {
            self.further_attempts.push(self.now);
            let budget = self.settings.retry_budget.unwrap();
            let from = self.now - budget.window;
            let count = |times: &[Nanos]| times.iter().filter(|&&t| t > from).count() as f64;
            assert!(
                count(&self.further_attempts) <= budget.base_attempts + budget.ratio * count(&self.arrivals),
                "attempts exceed the retry budget"
            );
        }
    }

    fn step(&mut self, step: &Step) {
        match *step {
            Step::Query { class, parts } => self.query(class, parts),
            Step::EndAttempt { pick, outcome } if !self.in_flight.is_empty() => {
                let (part, attempt, server, sent) = self.in_flight.swap_remove(pick % self.in_flight.len());
                let p = self.parts.get_mut(&part).unwrap();
                p.attempts[attempt as usize].outcome = Some(outcome);
                p.complete |= outcome == Outcome::Success;
                let latency = self.now - sent;
                self.round(vec![Event::AttemptEnded { part, attempt, server, outcome, latency }]);
            }
            Step::EndAttempt { .. } => {}
            Step::UpdateList { server, state, restart } => {
                self.active.insert(ServerId(server), state == EndpointState::Active);
                let started_at = if restart { self.now } else { 0 };
                let zone = Some(ZoneId(server % 3));
                let records = vec![EndpointRecord { started_at, zone, ..record(server, state) }];
                self.round(vec![Event::EndpointsUpdated { kind: EndpointUpdateKind::Delta, records }]);
            }
            Step::Disconnect { pick } => {
                let open: Vec<QueryId> = self
                    .queries
                    .iter()
                    .filter(|(_, q)| q.final_answers == 0 && !q.disconnected)
                    .map(|(&id, _)| id)
                    .collect();
                if !open.is_empty() {
                    let id = open[pick % open.len()];
                    self.queries.get_mut(&id).unwrap().disconnected = true;
                    self.round(vec![Event::ClientDisconnected(id)]);
                }
            }
            Step::Advance { ms } => self.advance(ms * MS),
        }
    }

    fn query(&mut self, class: usize, parts: u64) {
        let id = QueryId(self.next_id);
        self.next_id += 1 + parts;
        let deadline = self.now + 3000 * MS;
        self.queries.insert(
            id,
            Query { class, phase: Phase::First, deadline, final_answers: 0, disconnected: false },
        );
        self.arrivals.push(self.now);
        let mut events = vec![Event::QueryArrived {
            id,
            class: ClassId(class),
            tenant: None,
            key: Some(KeyId(parts)),
            is_retry: parts % 2 == 1,
            deadline,
        }];
        for p in 1..=parts {
            let (part, weight) = (PartId(id.0 + p), 1.0 / parts as f64);
            let phase = Phase::First;
            self.parts.insert(part, Part { query: id, phase, weight, attempts: Vec::new(), complete: false });
            self.arrivals.push(self.now);
            events.push(Event::PartArrived { id: part, query: id, shard: ShardId(0), weight });
        }
        self.round(events);
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

fn run(steps: &[Step], settings: Settings) -> Vec<Action> {
    let mut harness = Harness::new(settings);
    for step in steps {
        harness.step(step);
    }
    harness.advance(10_000 * MS);
    let unanswered = harness.queries.values().filter(|q| q.final_answers == 0 && !q.disconnected).count();
    assert_eq!(unanswered, 0, "queries without a final answer");
    harness.log
}

fn mixed() -> Settings {
    let mut settings = settings();
    settings.classes[0].complete_coverage = 0.7;
    settings.classes[0].min_coverage = 0.4;
    settings.classes[2].late_value_ratio = 0.3;
    // The endpoint list contains one zone more: a zone out of range counts as unknown.
    settings.zones = 2;
    settings.connection_idle_timeout = Some(5000 * MS);
    settings.clients_mark_retries = true;
    settings
}

/// Settings with partial answers, value for late answers, shared calls, a retry budget of a tenth and no health checks.
fn partial() -> Settings {
    let mut settings = mixed();
    for (class, (min_coverage, late_value_ratio)) in
        settings.classes.iter_mut().zip([(0.5, 0.1), (1.0, 0.0), (0.6, 0.3)])
    {
        let retry_safety = RetrySafety::Idempotent;
        *class = Class {
            retry_safety,
            min_coverage,
            complete_coverage: 1.0,
            partial_value_ratio: Some(0.8),
            late_value_ratio,
            ..class.clone()
        };
    }
    settings.layout = ShardLayout { max_batch: 4, call_overhead: 58 * MS, ..settings.layout };
    settings.retry_budget = Some(RetryBudget { window: 5000 * MS, base_attempts: 5.0, ratio: 0.1 });
    settings.classes.iter_mut().for_each(|c| c.max_attempts = 4);
    Settings { may_check_health: false, ..settings }
}

/// Settings with two-phase queries, some of whose classes allow partial answers.
fn two_phases() -> Settings {
    let mut settings = mixed();
    settings.classes.iter_mut().for_each(|c| c.second_phase_parts = 1);
    settings
}

fn assert_invariants(settings: fn() -> Settings) {
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[42; 32]);
    let config = Config { cases: 300, failure_persistence: None, ..Config::default() };
    let mut runner = TestRunner::new_with_rng(config, rng);
    let steps = proptest::collection::vec(step(), 1..200);
    let result = runner.run(&steps, |steps| {
        assert_eq!(run(&steps, settings()), run(&steps, settings()));
        Ok(())
    });
    result.unwrap();
}

#[test]
fn invariants_hold_under_arbitrary_events_and_equal_events_give_equal_actions() {
    assert_invariants(mixed);
}

#[test]
fn invariants_hold_with_partial_answers_shared_calls_and_a_small_budget() {
    assert_invariants(partial);
}

/// A phase that has been answered must get no more attempts and no second answer.
#[test]
fn invariants_hold_with_two_phases() {
    assert_invariants(two_phases);
}
