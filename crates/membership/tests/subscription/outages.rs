//! When one coordinator receives each change from a discovery that fails in several ways.

use curlewdeck_core::api::Nanos;
use curlewdeck_membership::{CallEnd, CallId, Command, Event, Request, Subscription, NOTIFIED_AFTER};
use fastrand::Rng;
use proptest::prelude::*;

use super::{subscription, MS, POLL, START, STEP};

/// How long before the end of an outage a change is made at the earliest.
const EARLIEST_CHANGE: Nanos = 3000 * MS;

/// The kind of a temporary failure of discovery.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Outage {
    /// Calls wait for 2 s and then get status 503, even if the outage ends before.
    Busy,
    /// Connections are refused.
    Refused,
    /// Connections are reset.
    Reset,
    /// Calls are never answered, and watches become silent.
    Silent,
}

/// Discovery with its outages and changes, to which the notification rule applies.
struct Discovery {
    /// The kind, the beginning and the end of each outage.
    outages: Vec<(Outage, Nanos, Nanos)>,
    /// The times of changes of the list. Its version is one more than the number of changes so far.
    changes: Vec<Nanos>,
    /// How long an answer takes.
    answer: Nanos,
}

impl Discovery {
    fn outage(&self, now: Nanos) -> Option<Outage> {
        self.outages.iter().find(|o| o.1 <= now && now < o.2).map(|o| o.0)
    }

    fn version(&self, now: Nanos) -> u64 {
        1 + self.changes.iter().filter(|&&at| at <= now).count() as u64
    }

    /// The version that the coordinator must have by `now`. It counts as notified of each change 6 s after discovery
    /// had the change and was reachable.
    fn version_due(&self, now: Nanos) -> u64 {
        let Some(since) = now.checked_sub(NOTIFIED_AFTER) else { return 0 };
        let was_reachable = self.outages.iter().all(|o| o.2 <= since || now < o.1);
        if was_reachable {
            self.version(since)
        } else {
            0
        }
    }
}

#[derive(Debug, Clone, Copy)]
struct OpenCall {
    id: CallId,
    since: Option<u64>,
    /// When the call is answered or ends.
    due_at: Nanos,
    end: Option<CallEnd>,
    answered: bool,
    heartbeat_at: Nanos,
}

impl OpenCall {
    /// Creates a call that begins at `now`, under the current outage of discovery if there is one.
    fn begin(now: Nanos, id: CallId, request: Request, discovery: &Discovery) -> Self {
        let since = match request {
            Request::Snapshot => None,
            Request::Watch { since } => Some(since),
        };
        let (after, end) = match discovery.outage(now) {
            None => (discovery.answer, None),
            Some(Outage::Busy) => (2000 * MS, Some(CallEnd::Busy)),
            Some(Outage::Refused) => (STEP, Some(CallEnd::Unreachable)),
            Some(Outage::Reset) => (50 * MS, Some(CallEnd::Unreachable)),
            Some(Outage::Silent) => (Nanos::MAX - now, None),
        };
        Self { id, since, due_at: now + after, end, answered: false, heartbeat_at: 0 }
    }

    /// The event that the call causes at `now`, if any.
    fn poll(&mut self, now: Nanos, discovery: &Discovery, rng: &mut Rng) -> Option<Event> {
        if self.due_at > now {
            return None;
        }
        if let Some(end) = self.end {
            return Some(Event::Ended(self.id, end));
        }
        if let Some(outage) = discovery.outage(now) {
            if self.answered && outage != Outage::Silent {
                self.end = Some(CallEnd::Broken);
                self.due_at = now + rng.u64(0..800) * MS;
            }
            return None;
        }
        let version = discovery.version(now);
        let event = if self.since != Some(version) {
            Event::Updated(self.id, version)
        } else if !self.answered || self.heartbeat_at <= now {
            Event::Heartbeat(self.id)
        } else {
            return None;
        };
        self.answered = true;
        self.since = Some(version);
        self.heartbeat_at = now + 2000 * MS;
        Some(event)
    }
}

/// A coordinator that subscribes to a discovery with outages.
struct Coordinator<'a> {
    discovery: &'a Discovery,
    subscription: Subscription,
    rng: Rng,
    open: Vec<OpenCall>,
    known_version: u64,
}

impl<'a> Coordinator<'a> {
    fn new(discovery: &'a Discovery, coordinators: u32, seed: u64) -> Self {
        Self {
            discovery,
            subscription: subscription(POLL, coordinators, Some(1), seed),
            rng: Rng::with_seed(seed),
            open: Vec::new(),
            known_version: 1,
        }
    }

    fn pass(&mut self, now: Nanos) {
        let mut events = vec![Event::TimerFired];
        for call in &mut self.open {
            events.extend(call.poll(now, self.discovery, &mut self.rng));
        }
        for event in events {
            self.step(now, event);
        }
        assert!(self.subscription.next_deadline() > now, "the next deadline is not in the future");
    }

    fn step(&mut self, now: Nanos, event: Event) {
        match event {
            Event::Ended(id, _) => self.open.retain(|call| call.id != id),
            Event::Updated(_, version) => self.known_version = self.known_version.max(version),
            _ => {}
        }
        for command in self.subscription.step(now, event) {
            match command {
                Command::Begin(id, request) => {
                    self.open.push(OpenCall::begin(now, id, request, self.discovery));
                }
                Command::Abandon(id, _) => self.open.retain(|call| call.id != id),
                Command::UseUnconfirmedList | Command::ListExpired | Command::ListRestored => {}
            }
        }
    }
}

/// Runs a coordinator for `span`. Returns the first time at which it lacked a change of which it counted as notified.
fn first_missed_change(discovery: &Discovery, coordinators: u32, seed: u64, span: Nanos) -> Option<Nanos> {
    let mut coordinator = Coordinator::new(discovery, coordinators, seed);
    let missed = (START..START + span).step_by(STEP as usize).find(|&now| {
        coordinator.pass(now);
        coordinator.known_version < discovery.version_due(now)
    });
    missed.map(|now| now - START)
}

fn any_outage() -> impl Strategy<Value = Outage> {
    prop_oneof![Just(Outage::Busy), Just(Outage::Refused), Just(Outage::Reset), Just(Outage::Silent)]
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(300))]

    /// Over random outages, each change is received within 6 s after discovery had it and was reachable.
    #[test]
    fn each_change_is_received_within_the_notification_time(
        spans in proptest::collection::vec((any_outage(), 0_u64..9000, 0_u64..25_000), 1..5),
        // The outage to which each change relates, and its time from `EARLIEST_CHANGE` before the end of that outage.
        changes in proptest::collection::vec((any::<prop::sample::Index>(), 0_u64..9000), 1..12),
        answer in prop_oneof![1_u64..=2100, Just(2100)],
        coordinators in prop_oneof![Just(1_u32), Just(3), Just(30), Just(300)],
        seed in any::<u64>(),
    ) {
        let mut at = START;
        let outages = spans.iter().map(|&(outage, before, lasts)| {
            let begins = at + before * MS;
            at = begins + lasts * MS;
            (outage, begins, at)
        });
        let outages: Vec<(Outage, Nanos, Nanos)> = outages.collect();
        let changed = |(of, after): &(prop::sample::Index, u64)| {
            (of.get(&outages).2 + after * MS).saturating_sub(EARLIEST_CHANGE).max(START + MS)
        };
        let changes = changes.iter().map(changed).collect();
        let discovery = Discovery { outages, changes, answer: answer * MS };
        let missed = first_missed_change(&discovery, coordinators, seed, 100_000 * MS);
        prop_assert!(missed.is_none(), "a notified change had not been received {} ms after the start", missed.unwrap_or(0) / MS);
    }
}
