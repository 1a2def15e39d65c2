//! Many subscriptions over scripted time: what all of them together ask of one service, and when each learns a change.

use curlewdeck_core::api::{DiscoveryMode, Nanos};
use curlewdeck_membership::{
    CallEnd, CallId, Command, Event, Pacing, Request, Spans, Subscription, TOLD_AFTER,
};
use fastrand::Rng;
use proptest::prelude::*;

const MS: Nanos = 1_000_000;
const START: Nanos = 1_000_000 * MS;
const STEP: Nanos = 10 * MS;
const MUST_ASK_IN: Nanos = 10_000 * MS;
const SPANS: Spans = Spans { hedge: 3000 * MS, silence: 2600 * MS };
/// A service that answers within this is heard in time.
const ANSWER: Nanos = 2200 * MS;

fn subscription(coordinators: u32, seed: u64) -> Subscription {
    let discovery = DiscoveryMode::Poll { poll_interval_max: MUST_ASK_IN };
    Subscription::new(Pacing::new(discovery, coordinators, SPANS, seed), Some(1), START)
}

/// One service: one call after the other, and on with those whose coordinator has stopped waiting.
struct Service {
    /// What a call takes, and how long it may wait.
    call: Nanos,
    patience: Nanos,
    free_at: Nanos,
}

impl Service {
    /// When a call made now ends, and whether it is answered.
    fn ask(&mut self, now: Nanos) -> (Nanos, bool) {
        self.free_at = self.free_at.max(now) + self.call;
        let in_time = self.free_at <= now + self.patience;
        (if in_time { self.free_at } else { now + self.patience }, in_time)
    }
}

/// Coordinators that all start at once with an old list: when each was first answered, and how many calls there were.
fn start_at_once(coordinators: u32, span: Nanos) -> (Vec<Option<Nanos>>, usize) {
    let mut service = Service { call: MUST_ASK_IN / 150, patience: 2000 * MS, free_at: 0 };
    let mut fleet: Vec<Subscription> =
        (0..coordinators).map(|n| subscription(coordinators, u64::from(n) + 1)).collect();
    let mut calls: Vec<Vec<(CallId, Nanos, bool)>> = vec![Vec::new(); fleet.len()];
    let (mut told, mut made) = (vec![None; fleet.len()], 0);
    for now in (START..START + span).step_by(STEP as usize) {
        for (n, subscription) in fleet.iter_mut().enumerate() {
            let (ended, open) = calls[n].iter().partition(|c| c.1 <= now);
            calls[n] = open;
            let mut events = vec![Event::TimePassed];
            // A watch that was opened goes on.
            events.extend(told[n].and(Some(Event::Heartbeat(CallId(1)))));
            for (call, _, answered) in ended {
                events.push(if answered { Event::Told(call, 2) } else { Event::Ended(call, CallEnd::Busy) });
                if answered {
                    told[n].get_or_insert(now - START);
                }
            }
            for command in events.into_iter().flat_map(|event| subscription.step(now, event)) {
                if let Command::Begin(call, _) = command {
                    let (ends, answered) = service.ask(now);
                    calls[n].push((call, ends, answered));
                    made += 1;
                }
            }
        }
    }
    (told, made)
}

/// Guards against a release after which most coordinators know nothing of the nodes: asked by all at once, the service
/// answers a few, wears itself out on calls that nobody waits for, and is asked again by all others together.
#[test]
fn a_hundred_that_start_at_once_are_all_told_of_the_list() {
    let (told, made) = start_at_once(100, 12_000 * MS);
    let late = told.iter().filter(|t| t.is_none()).count();
    assert!(late == 0 && made <= 150, "{late} coordinators know no list after 12 s and {made} calls");
}

/// Guards against a pause that three coordinators have no need of.
#[test]
fn three_that_start_at_once_are_told_without_a_pause() {
    let (told, made) = start_at_once(3, 1000 * MS);
    assert!(told.iter().all(|t| t.is_some_and(|t| t <= 320 * MS)) && made == 3, "{told:?}, {made} calls");
}

/// Guards what is in force 6 s after discovery had it: however calls fail, and for however many coordinators, the next one
/// begins early enough to be answered by then; and after a watch that fell silent so long after it was last heard.
#[test]
fn a_call_of_discovery_is_followed_by_another_in_time() {
    for (coordinators, seed) in (0..40).map(|n| ([1, 3, 30, 300][n % 4], n as u64)) {
        let mut subscription = subscription(coordinators, seed);
        let mut lasts = Rng::with_seed(seed);
        let (mut began, mut ends, mut calls): (Option<Nanos>, Vec<(CallId, Nanos)>, usize) =
            (None, Vec::new(), 0);
        for now in (START..START + 100_000 * MS).step_by(STEP as usize) {
            let mut events = vec![Event::TimePassed];
            events.extend(ends.extract_if(.., |e| e.1 <= now).map(|e| Event::Ended(e.0, CallEnd::Busy)));
            for command in
                events.into_iter().flat_map(|event| subscription.step(now, event)).collect::<Vec<_>>()
            {
                match command {
                    Command::Begin(call, _) => {
                        let least = began.map_or(START + MUST_ASK_IN / 2, |began| {
                            began + SPANS.silence.max(ANSWER) + 1400 * MS
                        });
                        assert!(now <= least + STEP, "{coordinators} coordinators, call {calls}");
                        (began, calls) = (Some(now), calls + 1);
                        // It fails within its time, is answered and falls silent, or is never heard of.
                        match lasts.u64(0..4) {
                            0 => drop(subscription.step(now, Event::Told(call, 2))),
                            1 => {}
                            _ => ends.push((call, now + lasts.u64(0..2200) * MS)),
                        }
                    }
                    Command::Abandon(call, _) => ends.retain(|e| e.0 != call),
                    Command::UseUnconfirmedList | Command::ListExpired | Command::ListRestored => {}
                }
            }
        }
        assert!(calls > 20, "{calls}");
    }
}

/// Changes are made up to so long before the end of an outage.
const EARLIEST_CHANGE: Nanos = 3000 * MS;

/// How discovery fails for a while.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Outage {
    /// Calls are held for a while, and end in 503, also after its return.
    Busy,
    /// Calls are refused.
    Refused,
    /// Calls are reset.
    Reset,
    /// Calls are never answered, and watches fall silent.
    Silent,
}

/// Discovery with its outages, as the rule sees it.
struct Discovered {
    /// Each with its beginning and its end.
    outages: Vec<(Outage, Nanos, Nanos)>,
    /// When the list changes: its version is the number of changes so far, and 1.
    changes: Vec<Nanos>,
    /// How long an answer takes.
    answer: Nanos,
}

impl Discovered {
    fn outage(&self, now: Nanos) -> Option<Outage> {
        self.outages.iter().find(|o| o.1 <= now && now < o.2).map(|o| o.0)
    }

    fn version(&self, now: Nanos) -> u64 {
        1 + self.changes.iter().filter(|&&at| at <= now).count() as u64
    }

    /// The version that has to be in force by now: each change counts 6 s after discovery had it and could be reached.
    fn in_force(&self, now: Nanos) -> u64 {
        let Some(since) = now.checked_sub(TOLD_AFTER) else { return 0 };
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
    at: Nanos,
    end: Option<CallEnd>,
    answered: bool,
    heartbeat_at: Nanos,
}

/// Plays a coordinator against discovery; returns the first moment at which a change was in force and not known.
fn first_late(discovered: &Discovered, coordinators: u32, seed: u64, span: Nanos) -> Option<Nanos> {
    let mut subscription = subscription(coordinators, seed);
    let mut rng = Rng::with_seed(seed);
    let (mut open, mut learnt): (Vec<OpenCall>, u64) = (Vec::new(), 1);
    for now in (START..START + span).step_by(STEP as usize) {
        let mut events = vec![Event::TimePassed];
        let outage = discovered.outage(now);
        let version = discovered.version(now);
        open.retain_mut(|call| {
            if call.at > now {
                return true;
            }
            if let Some(end) = call.end {
                events.push(Event::Ended(call.id, end));
                return false;
            }
            if let Some(outage) = outage {
                if call.answered && outage != Outage::Silent {
                    (call.end, call.at) = (Some(CallEnd::Broken), now + rng.u64(0..800) * MS);
                }
                return true;
            }
            let news = call.since != Some(version);
            if news {
                events.push(Event::Told(call.id, version));
                learnt = learnt.max(version);
            } else if !call.answered || call.heartbeat_at <= now {
                events.push(Event::Heartbeat(call.id));
            } else {
                return true;
            }
            call.answered = true;
            call.since = Some(version);
            call.heartbeat_at = now + 2000 * MS;
            true
        });
        for event in events {
            for command in subscription.step(now, event) {
                match command {
                    Command::Begin(id, request) => {
                        let since = match request {
                            Request::Snapshot => None,
                            Request::Watch { since } => Some(since),
                        };
                        let (after, end) = match outage {
                            None => (discovered.answer, None),
                            Some(Outage::Busy) => (2000 * MS, Some(CallEnd::Busy)),
                            Some(Outage::Refused) => (STEP, Some(CallEnd::Unreachable)),
                            Some(Outage::Reset) => (50 * MS, Some(CallEnd::Unreachable)),
                            Some(Outage::Silent) => (Nanos::MAX - now, None),
                        };
                        open.push(OpenCall {
                            id,
                            since,
                            at: now + after,
                            end,
                            answered: false,
                            heartbeat_at: 0,
                        });
                    }
                    Command::Abandon(id, _) => open.retain(|call| call.id != id),
                    Command::UseUnconfirmedList | Command::ListExpired | Command::ListRestored => {}
                }
            }
        }
        assert!(subscription.next_deadline() > now, "a deadline stays due");
        if learnt < discovered.in_force(now) {
            return Some(now - START);
        }
    }
    None
}

fn any_outage() -> impl Strategy<Value = Outage> {
    prop_oneof![Just(Outage::Busy), Just(Outage::Refused), Just(Outage::Reset), Just(Outage::Silent)]
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(300))]

    /// The rule by itself: whatever discovery goes through, each change is known 6 s after discovery had it and could be
    /// reached.
    #[test]
    fn each_change_is_known_when_it_is_in_force(
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
        let discovered = Discovered { outages, changes, answer: answer * MS };
        let late = first_late(&discovered, coordinators, seed, 100_000 * MS);
        prop_assert!(late.is_none(), "a change was in force and not known {} ms after the start", late.unwrap_or(0) / MS);
    }
}
