//! One of several simulated coordinators, each with its own policy and queries.

use std::collections::BTreeMap;

use curlewdeck_core::api::*;
use curlewdeck_core::Policy;

use super::{MS, START};

/// An attempt in flight, with the time and outcome of its end unless it is cancelled before.
struct InFlightAttempt {
    part: PartId,
    attempt: u32,
    server: ServerId,
    sent_at: Nanos,
    ends_at: Nanos,
    outcome: Outcome,
}

/// A policy with its own queries, and a simulation of the responses of data nodes.
pub struct Coordinator {
    pub policy: Policy,
    in_flight: Vec<InFlightAttempt>,
    /// Number of the last attempt of each part.
    attempts: BTreeMap<PartId, u32>,
    next_id: u64,
    timer_at: Nanos,
}

impl Coordinator {
    pub fn new(settings: &Settings, seed: u64, records: &[EndpointRecord]) -> Self {
        Self::started_at(START, settings, seed, records)
    }

    /// Creates a coordinator that starts at `now` and gets the endpoint list immediately.
    pub fn started_at(now: Nanos, settings: &Settings, seed: u64, records: &[EndpointRecord]) -> Self {
        let policy = Policy::new(settings.clone(), seed).unwrap();
        let mut coordinator =
            Self { policy, in_flight: Vec::new(), attempts: Default::default(), next_id: 0, timer_at: 0 };
        coordinator.policy.round(
            now,
            vec![Event::EndpointsUpdated { kind: EndpointUpdateKind::Snapshot, records: records.to_vec() }],
        );
        coordinator
    }

    /// Returns whether the policy's timer or the end of an attempt is due.
    pub fn is_due(&self, now: Nanos) -> bool {
        self.timer_at <= now || self.in_flight.iter().any(|attempt| attempt.ends_at <= now)
    }

    /// Runs a round with a query of `parts` parts for shard 0, or without a query if `parts` is 0. Each attempt
    /// succeeds after `work`. Returns the servers that attempts were sent to, and all actions.
    pub fn round(&mut self, now: Nanos, parts: usize, work: Nanos) -> (Vec<ServerId>, Vec<Action>) {
        self.round_at(now, Vec::new(), &vec![ShardId(0); parts], |_, _| (now + work, Outcome::Success))
    }

    /// Runs a round with `extra_events` and a query with one part for each of `shards`, if there are any. `serve` gets
    /// the server and the timeout of an attempt and returns the time and the outcome of its end.
    pub fn round_at(
        &mut self,
        now: Nanos,
        extra_events: Vec<Event>,
        shards: &[ShardId],
        mut serve: impl FnMut(ServerId, Nanos) -> (Nanos, Outcome),
    ) -> (Vec<ServerId>, Vec<Action>) {
        let mut events = self.due_events(now);
        events.extend(extra_events);
        events.extend(self.query_events(now, shards));
        let actions = self.policy.round(now, events);
        let mut sent = Vec::new();
        for action in &actions {
            match *action {
                Action::StartAttempt { part, server, timeout } => {
                    let attempt = *self.attempts.entry(part).and_modify(|n| *n += 1).or_insert(0);
                    let (ends_at, outcome) = serve(server, timeout);
                    self.in_flight.push(InFlightAttempt {
                        part,
                        attempt,
                        server,
                        sent_at: now,
                        ends_at,
                        outcome,
                    });
                    sent.push(server);
                }
                Action::CancelAttempt { part, attempt } => {
                    let is_cancelled =
                        |other: &&mut InFlightAttempt| (other.part, other.attempt) == (part, attempt);
                    if let Some(cancelled) = self.in_flight.iter_mut().find(is_cancelled) {
                        (cancelled.ends_at, cancelled.outcome) = (now, Outcome::Cancelled);
                    }
                }
                Action::SetTimer { after } => self.timer_at = now + after,
                _ => {}
            }
        }
        (sent, actions)
    }

    /// Returns a timer event and the ends of the attempts that are due, and removes those attempts.
    fn due_events(&mut self, now: Nanos) -> Vec<Event> {
        let mut events = vec![Event::TimerFired];
        self.timer_at = Nanos::MAX;
        self.in_flight.retain(|in_flight| {
            if in_flight.ends_at <= now {
                let (part, attempt, server, outcome) =
                    (in_flight.part, in_flight.attempt, in_flight.server, in_flight.outcome);
                events.push(Event::AttemptEnded {
                    part,
                    attempt,
                    server,
                    outcome,
                    latency: in_flight.ends_at - in_flight.sent_at,
                });
            }
            in_flight.ends_at > now
        });
        events
    }

    /// Returns the events of a query of class 0 with a part for each shard, or no events without shards.
    fn query_events(&mut self, now: Nanos, shards: &[ShardId]) -> Vec<Event> {
        if shards.is_empty() {
            return Vec::new();
        }
        let query = QueryId(self.next_id);
        self.next_id += 1 + shards.len() as u64;
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
