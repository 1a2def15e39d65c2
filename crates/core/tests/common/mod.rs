//! A small bed for module tests: settings, lists and queries in few words.
#![allow(dead_code)]

use curlewdeck_core::api::*;
use curlewdeck_core::Policy;

pub const MS: Nanos = 1_000_000;
pub const START: Nanos = 1_000_000 * MS;

pub fn class(effect: RetrySafety) -> Class {
    Class {
        latency_objective: 1200 * MS,
        deadline: 4000 * MS,
        priority_weight: 1.0,
        late_value_ratio: 0.0,
        retry_safety: effect,
        retry_window: 2000 * MS,
        min_coverage: 1.0,
        complete_coverage: 1.0,
        partial_value_ratio: None,
        second_phase_parts: 0,
        max_attempts: 3,
        retired: false,
    }
}

pub fn settings() -> Settings {
    Settings {
        coordinators: 3,
        classes: vec![
            class(RetrySafety::Idempotent),
            class(RetrySafety::AtMostOnce),
            class(RetrySafety::Deduplicated),
        ],
        tenants: Vec::new(),
        over_quota_value_ratio: 0.2,
        discovery: DiscoveryMode::Push,
        layout: ShardLayout { partition_groups: 1, groups_per_shard: 1, max_batch: 1, call_overhead: 0 },
        max_open: 200,
        may_cancel: true,
        may_hedge: true,
        may_check_health: true,
        max_retry_after: Some(1000 * MS),
        retry_budget: Some(RetryBudget { window: 5000 * MS, base_attempts: 10.0, ratio: 0.2 }),
        slow_start: SlowStartPolicy {
            initial_capacity_ratio: 0.2,
            warm_up_duration: 16_000 * MS,
            overload_multiple: 2.0,
            overload_duration: 2000 * MS,
            processes: 1,
        },
        tick: 5 * MS,
        zones: 0,
        local_zone: None,
        clients_mark_retries: false,
        connection_idle_timeout: None,
    }
}

pub fn entry(server: u32, phase: EndpointState) -> EndpointRecord {
    EndpointRecord {
        server: ServerId(server),
        partition_group: 0,
        started_at: 0,
        capacity: 1.0,
        state: phase,
        zone: None,
    }
}

pub struct PolicyHarness {
    pub policy: Policy,
    pub now: Nanos,
    next: u64,
}

impl PolicyHarness {
    pub fn new(settings: Settings, servers: u32) -> Self {
        let mut harness = Self { policy: Policy::new(settings, 7).unwrap(), now: START, next: 0 };
        let entries = (0..servers).map(|s| entry(s, EndpointState::Active)).collect();
        harness.round(vec![Event::EndpointsUpdated { kind: EndpointUpdateKind::Snapshot, records: entries }]);
        harness
    }

    pub fn round(&mut self, events: Vec<Event>) -> Vec<Action> {
        self.policy.round(self.now, events)
    }

    /// Lets time pass in ticks, with nothing but wakes, and gathers the actions.
    pub fn pass(&mut self, span: Nanos) -> Vec<Action> {
        let end = self.now + span;
        let mut actions = Vec::new();
        while self.now < end {
            self.now = (self.now + 5 * MS).min(end);
            actions.extend(self.round(vec![Event::TimerFired]));
        }
        actions
    }

    /// A query with its parts, all at shard 0; returns its id, its parts' ids and the actions.
    pub fn query(&mut self, class: usize, parts: u64) -> (QueryId, Vec<PartId>, Vec<Action>) {
        let (id, events) = self.query_events(class, parts);
        let ids = (id.0 + 1..=id.0 + parts).map(PartId).collect();
        let actions = self.round(events);
        (id, ids, actions)
    }

    pub fn query_events(&mut self, class: usize, parts: u64) -> (QueryId, Vec<Event>) {
        let id = QueryId(self.next);
        self.next += 1 + parts;
        let valid_until = self.now + 4000 * MS;
        let mut events = vec![Event::QueryArrived {
            id,
            class: ClassId(class),
            tenant: None,
            key: None,
            is_retry: false,
            deadline: valid_until,
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

    /// Serves `n` one-part queries of 100 ms each, so that the module has samples.
    pub fn warm_up(&mut self, n: usize) {
        for _ in 0..n {
            let (_, _, actions) = self.query(0, 1);
            self.now += 100 * MS;
            let done = sends(&actions).iter().map(|s| self.ended(s, 0, Outcome::Success)).collect();
            self.round(done);
        }
    }
}

#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Sent {
    pub part: PartId,
    pub server: ServerId,
}

pub fn sends(actions: &[Action]) -> Vec<Sent> {
    let sent = |a: &Action| match a {
        Action::StartAttempt { part, server, .. } => Some(Sent { part: *part, server: *server }),
        _ => None,
    };
    actions.iter().filter_map(sent).collect()
}

/// An attempt that a [`Coordinator`] has out: how and when it ends, unless it is called off before.
struct Out {
    part: PartId,
    attempt: u32,
    server: ServerId,
    sent: Nanos,
    ends: Nanos,
    outcome: Outcome,
}

/// One policy with queries of its own, and a stand-in for the data nodes' answers to it.
pub struct Coordinator {
    pub policy: Policy,
    out: Vec<Out>,
    attempts: std::collections::BTreeMap<PartId, u32>,
    next: u64,
    wake_at: Nanos,
}

impl Coordinator {
    pub fn new(set: &Settings, seed: u64, entries: &[EndpointRecord]) -> Self {
        Self::started_at(START, set, seed, entries)
    }

    /// One that starts now, with the list told to it at once.
    pub fn started_at(now: Nanos, set: &Settings, seed: u64, entries: &[EndpointRecord]) -> Self {
        let policy = Policy::new(set.clone(), seed).unwrap();
        let mut new = Self { policy, out: Vec::new(), attempts: Default::default(), next: 0, wake_at: 0 };
        new.policy.round(
            now,
            vec![Event::EndpointsUpdated { kind: EndpointUpdateKind::Snapshot, records: entries.to_vec() }],
        );
        new
    }

    /// Whether a timer or an answer has come due.
    pub fn due(&self, now: Nanos) -> bool {
        self.wake_at <= now || self.out.iter().any(|o| o.ends <= now)
    }

    /// A round with a query of so many parts at shard 0 if any, each answered in `work`; returns where parts were
    /// sent, and what was done.
    pub fn round(&mut self, now: Nanos, parts: usize, work: Nanos) -> (Vec<ServerId>, Vec<Action>) {
        self.round_at(now, Vec::new(), &vec![ShardId(0); parts], |_, _| (now + work, Outcome::Success))
    }

    /// A round with further events and a query of parts at these shards if any. `serve` takes the server that a part
    /// is sent to and the part's time-out, and says when and how the attempt ends.
    pub fn round_at(
        &mut self,
        now: Nanos,
        further: Vec<Event>,
        shards: &[ShardId],
        mut serve: impl FnMut(ServerId, Nanos) -> (Nanos, Outcome),
    ) -> (Vec<ServerId>, Vec<Action>) {
        let mut events = self.ended(now);
        events.extend(further);
        events.extend(self.query(now, shards));
        let actions = self.policy.round(now, events);
        let mut sent = Vec::new();
        for action in &actions {
            match *action {
                Action::StartAttempt { part, server, timeout: within } => {
                    let attempt = *self.attempts.entry(part).and_modify(|n| *n += 1).or_insert(0);
                    let (ends, outcome) = serve(server, within);
                    self.out.push(Out { part, attempt, server, sent: now, ends, outcome });
                    sent.push(server);
                }
                Action::CancelAttempt { part, attempt } => {
                    let called_off = |o: &&mut Out| (o.part, o.attempt) == (part, attempt);
                    if let Some(o) = self.out.iter_mut().find(called_off) {
                        (o.ends, o.outcome) = (now, Outcome::Cancelled);
                    }
                }
                Action::SetTimer { after } => self.wake_at = now + after,
                _ => {}
            }
        }
        (sent, actions)
    }

    /// The attempts that have ended, and the timer if it is due.
    fn ended(&mut self, now: Nanos) -> Vec<Event> {
        let mut events = vec![Event::TimerFired];
        self.wake_at = Nanos::MAX;
        self.out.retain(|o| {
            if o.ends <= now {
                let (part, attempt, server, outcome) = (o.part, o.attempt, o.server, o.outcome);
                events.push(Event::AttemptEnded { part, attempt, server, outcome, latency: o.ends - o.sent });
            }
            o.ends > now
        });
        events
    }

    /// A query of class 0 with parts at these shards, nothing without shards.
    fn query(&mut self, now: Nanos, shards: &[ShardId]) -> Vec<Event> {
        if shards.is_empty() {
            return Vec::new();
        }
        let query = QueryId(self.next);
        self.next += 1 + shards.len() as u64;
        let (class, tenant, key, valid_until) = (ClassId(0), None, None, now + 4000 * MS);
        let mut events = vec![Event::QueryArrived {
            id: query,
            class,
            tenant,
            key,
            is_retry: false,
            deadline: valid_until,
        }];
        let weight = 1.0 / shards.len() as f64;
        let part =
            |(p, &shard)| Event::PartArrived { id: PartId(query.0 + 1 + p as u64), query, shard, weight };
        events.extend(shards.iter().enumerate().map(part));
        events
    }
}
