//! A small bed for module tests: settings, lists and queries in few words.
#![allow(dead_code)]

use curlewdeck_core::api::*;
use curlewdeck_core::Policy;

pub const MS: Nanos = 1_000_000;
pub const START: Nanos = 1_000_000 * MS;

pub fn class(effect: Effect) -> Class {
    Class {
        aim: 1200 * MS,
        deadline: 4000 * MS,
        importance: 1.0,
        late_worth: 0.0,
        effect,
        repeat_window: 2000 * MS,
        floor: 1.0,
        need: 1.0,
        partial: None,
        second_step: 0,
        attempts: 3,
        retired: false,
    }
}

pub fn settings() -> Settings {
    Settings {
        mixers: 3,
        classes: vec![class(Effect::Safe), class(Effect::Unsafe), class(Effect::Keyed)],
        tenants: Vec::new(),
        over_share_worth: 0.2,
        discovery: Discovery::Pushed,
        layout: Layout { cells: 1, in_a_row: 1, batch: 1, call_overhead: 0 },
        max_open: 200,
        may_cancel: true,
        may_duplicate: true,
        may_probe: true,
        max_hold_off: Some(1000 * MS),
        budget: Some(Budget { window: 5000 * MS, free: 10.0, ratio: 0.2 }),
        cold: ColdRule { share: 0.2, warm_after: 16_000 * MS, multiple: 2.0, fall: 2000 * MS, processes: 1 },
        tick: 5 * MS,
        zones: 0,
        home: None,
        marks_retry: false,
        idle: None,
    }
}

pub fn entry(server: u32, phase: Phase) -> ListEntry {
    ListEntry { server: ServerId(server), cell: 0, started_at: 0, rating: 1.0, phase, zone: None }
}

pub struct Bed {
    pub policy: Policy,
    pub now: Nanos,
    next: u64,
}

impl Bed {
    pub fn new(settings: Settings, servers: u32) -> Self {
        let mut bed = Self { policy: Policy::new(settings, 7).unwrap(), now: START, next: 0 };
        let entries = (0..servers).map(|s| entry(s, Phase::In)).collect();
        bed.round(vec![Event::List { kind: ListKind::Full, entries }]);
        bed
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
            actions.extend(self.round(vec![Event::Wake]));
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
        let mut events = vec![Event::Query {
            id,
            class: ClassId(class),
            tenant: None,
            key: None,
            repeated: false,
            valid_until,
        }];
        for p in 1..=parts {
            let weight = 1.0 / parts as f64;
            events.push(Event::Part { id: PartId(id.0 + p), query: id, shard: ShardId(0), weight });
        }
        (id, events)
    }

    pub fn ended(&self, send: &Sent, attempt: u32, outcome: Outcome) -> Event {
        self.ended_after(send, attempt, outcome, 100 * MS)
    }

    pub fn ended_after(&self, send: &Sent, attempt: u32, outcome: Outcome, latency: Nanos) -> Event {
        Event::Ended { part: send.part, attempt, server: send.server, outcome, latency }
    }

    /// Serves `n` one-part queries of 100 ms each, so that the module has samples.
    pub fn warm_up(&mut self, n: usize) {
        for _ in 0..n {
            let (_, _, actions) = self.query(0, 1);
            self.now += 100 * MS;
            let done = sends(&actions).iter().map(|s| self.ended(s, 0, Outcome::Pass)).collect();
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
        Action::Send { part, server, .. } => Some(Sent { part: *part, server: *server }),
        _ => None,
    };
    actions.iter().filter_map(sent).collect()
}
