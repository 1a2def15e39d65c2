//! A policy under test; the test controls time and events.

use curlewdeck_core::api::*;
use curlewdeck_core::Policy;

use super::{record, sends, Sent, MS, START};

/// A policy and the current time.
pub struct PolicyHarness {
    pub policy: Policy,
    pub now: Nanos,
    next_id: u64,
}

impl PolicyHarness {
    pub fn new(settings: Settings, servers: u32) -> Self {
        let mut harness = Self { policy: Policy::new(settings, 7).unwrap(), now: START, next_id: 0 };
        let records = (0..servers).map(|s| record(s, EndpointState::Active)).collect();
        harness.round(vec![Event::EndpointsUpdated { kind: EndpointUpdateKind::Snapshot, records }]);
        harness
    }

    pub fn round(&mut self, events: Vec<Event>) -> Vec<Action> {
        self.policy.round(self.now, events)
    }

    /// Advances the time in ticks of 5 ms with a timer event in each, and returns all actions.
    pub fn advance(&mut self, span: Nanos) -> Vec<Action> {
        let end = self.now + span;
        let mut actions = Vec::new();
        while self.now < end {
            self.now = (self.now + 5 * MS).min(end);
            actions.extend(self.round(vec![Event::TimerFired]));
        }
        actions
    }

    /// Submits a query whose parts are all for shard 0. Returns its id, the ids of its parts and the actions.
    pub fn query(&mut self, class: usize, parts: u64) -> (QueryId, Vec<PartId>, Vec<Action>) {
        let (id, events) = self.query_events(class, parts);
        let ids = (id.0 + 1..=id.0 + parts).map(PartId).collect();
        let actions = self.round(events);
        (id, ids, actions)
    }

    pub fn query_events(&mut self, class: usize, parts: u64) -> (QueryId, Vec<Event>) {
        let id = QueryId(self.next_id);
        self.next_id += 1 + parts;
        let deadline = self.now + 4000 * MS;
        let mut events = vec![Event::QueryArrived {
            id,
            class: ClassId(class),
            tenant: None,
            key: None,
            is_retry: false,
            deadline,
        }];
        for p in 1..=parts {
            let weight = 1.0 / parts as f64;
            events.push(Event::PartArrived { id: PartId(id.0 + p), query: id, shard: ShardId(0), weight });
        }
        (id, events)
    }

    pub fn ended(&self, send: &Sent, attempt: u32, outcome: Outcome) -> Event {
        self.ended_after(send, attempt, outcome, 100 * MS)
    }

    pub fn ended_after(&self, send: &Sent, attempt: u32, outcome: Outcome, latency: Nanos) -> Event {
        Event::AttemptEnded { part: send.part, attempt, server: send.server, outcome, latency }
    }

    /// Serves `n` one-part queries in 100 ms each, so that the policy has latency samples.
    pub fn warm_up(&mut self, n: usize) {
        for _ in 0..n {
            let (_, _, actions) = self.query(0, 1);
            self.now += 100 * MS;
            let done = sends(&actions).iter().map(|s| self.ended(s, 0, Outcome::Success)).collect();
            self.round(done);
        }
    }
}

/// Creates a harness with one server for each entry of `zones`, all of which hold shard 0.
pub fn harness_with_zones(settings: Settings, zones: &[u32]) -> PolicyHarness {
    let mut harness = PolicyHarness::new(Settings { zones: 3, ..settings }, 0);
    let zone = |z: u32| Some(ZoneId(z));
    let to_record =
        |(s, &z): (usize, &u32)| EndpointRecord { zone: zone(z), ..record(s as u32, EndpointState::Active) };
    let records = zones.iter().enumerate().map(to_record).collect();
    harness.round(vec![Event::EndpointsUpdated { kind: EndpointUpdateKind::Snapshot, records }]);
    harness
}

/// Ends every sent attempt in turn, including those that the policy sends in response: successfully after 100 ms, or
/// with a timeout after 600 ms if `is_silent` returns true for the server. Returns the servers used.
pub fn serve_actions(
    harness: &mut PolicyHarness,
    actions: &[Action],
    is_silent: impl Fn(ServerId) -> bool,
) -> Vec<ServerId> {
    let mut used = Vec::new();
    let mut attempts = std::collections::BTreeMap::new();
    let mut queue = sends(actions);
    while let Some(sent) = queue.pop() {
        used.push(sent.server);
        let attempt = attempts.entry(sent.part).and_modify(|n| *n += 1).or_insert(0);
        let (latency, outcome) =
            if is_silent(sent.server) { (600 * MS, Outcome::TimedOut) } else { (100 * MS, Outcome::Success) };
        harness.now += latency;
        let ended = harness.ended_after(&sent, *attempt, outcome, latency);
        queue.extend(sends(&harness.round(vec![ended])));
    }
    used
}

/// Serves `n` one-part queries one after the other with [`serve_actions`]. Returns the servers used.
pub fn serve(
    harness: &mut PolicyHarness,
    n: usize,
    class: usize,
    is_silent: impl Fn(ServerId) -> bool,
) -> Vec<ServerId> {
    let mut used = Vec::new();
    for _ in 0..n {
        let (_, _, actions) = harness.query(class, 1);
        used.extend(serve_actions(harness, &actions, &is_silent));
        harness.now += 50 * MS;
    }
    used
}

/// Submits a query of class 0 whose deadline is `client_timeout` from now. Returns its id and the actions.
pub fn query_with_deadline(
    harness: &mut PolicyHarness,
    parts: u64,
    client_timeout: Nanos,
    is_retry: bool,
) -> (QueryId, Vec<Action>) {
    let (id, mut events) = harness.query_events(0, parts);
    let (now, key) = (harness.now, Some(KeyId(7)));
    events[0] = Event::QueryArrived {
        id,
        class: ClassId(0),
        tenant: None,
        key,
        is_retry,
        deadline: now + client_timeout,
    };
    (id, harness.round(events))
}
