//! One coordinator and a discovery that fails in several ways: when each change is known.

use curlewdeck_core::api::Nanos;
use curlewdeck_membership::{CallEnd, CallId, Command, Event, Request, Subscription, NOTIFIED_AFTER};
use fastrand::Rng;
use proptest::prelude::*;

use super::{subscription, MS, POLL, START, STEP};

/// Changes are made at the earliest this long before the end of an outage.
const EARLIEST_CHANGE: Nanos = 3000 * MS;

/// How discovery fails for a while.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Outage {
    /// Calls wait for a while, and end in 503, also after its return.
    Busy,
    /// Calls are refused.
    Refused,
    /// Calls are reset.
    Reset,
    /// Calls are never answered, and watches fall silent.
    Silent,
}

/// Discovery with its outages, as the notification rule sees it.
struct Discovery {
    /// Each with its beginning and its end.
    outages: Vec<(Outage, Nanos, Nanos)>,
    /// When the list changes: its version is the number of changes so far, and 1.
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

    /// The version that has to be known by now: each change counts 6 s after discovery had it and could be reached.
    fn version_due(&self, now: Nanos) -> u64 {
        let Some(since) = now.checked_sub(NOTIFIED_AFTER) else { return 0 };
        let reached = self.outages.iter().all(|o| o.2 <= since || now < o.1);
        if reached {
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
    /// When it is answered, or ends.
    due_at: Nanos,
    end: Option<CallEnd>,
    answered: bool,
    heartbeat_at: Nanos,
}

impl OpenCall {
    /// A call that begins now, under this condition of discovery.
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

    /// What comes on it now, if anything.
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
            Event::Told(self.id, version)
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

/// A coordinator that calls a discovery with outages.
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
        let mut events = vec![Event::TimePassed];
        for call in &mut self.open {
            events.extend(call.poll(now, self.discovery, &mut self.rng));
        }
        for event in events {
            self.step(now, event);
        }
        assert!(self.subscription.next_deadline() > now, "a deadline stays due");
    }

    fn step(&mut self, now: Nanos, event: Event) {
        match event {
            Event::Ended(id, _) => self.open.retain(|call| call.id != id),
            Event::Told(_, version) => self.known_version = self.known_version.max(version),
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

/// Runs a coordinator for a while; returns the first moment at which a change counted and was not known.
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

    /// Whatever discovery goes through, each change is known 6 s after discovery had it and could be reached.
    #[test]
    fn each_change_is_known_when_it_counts(
        spans in proptest::collection::vec((any_outage(), 0_u64..9000, 0_u64..25_000), 1..5),
        // How long after the end of one of the outages, less some seconds.
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
        prop_assert!(missed.is_none(), "a change counted and was not known {} ms after the start", missed.unwrap_or(0) / MS);
    }
}
