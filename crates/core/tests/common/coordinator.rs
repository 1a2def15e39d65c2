//! A policy with queries of its own, as one of many.

use std::collections::BTreeMap;

use curlewdeck_core::api::*;
use curlewdeck_core::Policy;

use super::{MS, START};

/// An attempt that a [`Coordinator`] has in flight: how and when it ends, unless it is cancelled before.
struct InFlight {
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
    in_flight: Vec<InFlight>,
    attempts: BTreeMap<PartId, u32>,
    next: u64,
    wake_at: Nanos,
}

impl Coordinator {
    pub fn new(set: &Settings, seed: u64, records: &[EndpointRecord]) -> Self {
        Self::started_at(START, set, seed, records)
    }

    /// One that starts now, and is given the list at once.
    pub fn started_at(now: Nanos, set: &Settings, seed: u64, records: &[EndpointRecord]) -> Self {
        let policy = Policy::new(set.clone(), seed).unwrap();
        let mut new =
            Self { policy, in_flight: Vec::new(), attempts: Default::default(), next: 0, wake_at: 0 };
        new.policy.round(
            now,
            vec![Event::EndpointsUpdated { kind: EndpointUpdateKind::Snapshot, records: records.to_vec() }],
        );
        new
    }

    /// Whether a timer or an answer has come due.
    pub fn due(&self, now: Nanos) -> bool {
        self.wake_at <= now || self.in_flight.iter().any(|flight| flight.ends <= now)
    }

    /// A round with a query of so many parts at shard 0 if any, each answered in `work`; returns where parts
    /// were sent, and what was done.
    pub fn round(&mut self, now: Nanos, parts: usize, work: Nanos) -> (Vec<ServerId>, Vec<Action>) {
        self.round_at(now, Vec::new(), &vec![ShardId(0); parts], |_, _| (now + work, Outcome::Success))
    }

    /// A round with further events and a query of parts at these shards if any. `serve` takes the server that
    /// a part is sent to and the timeout, and says when and how the attempt ends.
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
                Action::StartAttempt { part, server, timeout } => {
                    let attempt = *self.attempts.entry(part).and_modify(|n| *n += 1).or_insert(0);
                    let (ends, outcome) = serve(server, timeout);
                    self.in_flight.push(InFlight { part, attempt, server, sent: now, ends, outcome });
                    sent.push(server);
                }
                Action::CancelAttempt { part, attempt } => {
                    let is_this = |flight: &&mut InFlight| (flight.part, flight.attempt) == (part, attempt);
                    if let Some(flight) = self.in_flight.iter_mut().find(is_this) {
                        (flight.ends, flight.outcome) = (now, Outcome::Cancelled);
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
        self.in_flight.retain(|flight| {
            if flight.ends <= now {
                let (part, attempt, server, outcome) =
                    (flight.part, flight.attempt, flight.server, flight.outcome);
                events.push(Event::AttemptEnded {
                    part,
                    attempt,
                    server,
                    outcome,
                    latency: flight.ends - flight.sent,
                });
            }
            flight.ends > now
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
        let (class, tenant, key, deadline) = (ClassId(0), None, None, now + 4000 * MS);
        let mut events =
            vec![Event::QueryArrived { id: query, class, tenant, key, is_retry: false, deadline }];
        let weight = 1.0 / shards.len() as f64;
        let part =
            |(p, &shard)| Event::PartArrived { id: PartId(query.0 + 1 + p as u64), query, shard, weight };
        events.extend(shards.iter().enumerate().map(part));
        events
    }
}
