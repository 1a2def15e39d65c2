//! When calls to discovery are begun, kept and given up, step by step.

use curlewdeck_core::api::{DiscoveryMode, Nanos};
use curlewdeck_membership::{
    CallEnd, CallId, Command, Event, Pacing, Request, Spans, Subscription, CALL_GAP, TOLD_AFTER,
};

const MS: Nanos = 1_000_000;
const START: Nanos = 1_000_000 * MS;
const SPANS: Spans = Spans { hedge: 3000 * MS, silence: 2600 * MS };
/// A service that answers within this is heard in time.
const ANSWER: Nanos = 2200 * MS;
const ON_REQUEST: DiscoveryMode = DiscoveryMode::Poll { poll_interval_max: 10_000 * MS };
const KNOWN: u64 = 41;
/// A move of the service is in force this long after the signal.
const MOVE_IN_FORCE: Nanos = 4000 * MS;

/// A subscription whose time the test tells.
struct Bed {
    subscription: Subscription,
    now: Nanos,
    /// Calls that are open.
    open: Vec<(CallId, Request)>,
    usable_unconfirmed: bool,
}

impl Bed {
    fn new(discovery: DiscoveryMode, coordinators: u32, known: Option<u64>, seed: u64) -> Self {
        let pacing = Pacing::new(discovery, coordinators, SPANS, seed);
        let subscription = Subscription::new(pacing, known, START);
        let mut bed = Self { subscription, now: START, open: Vec::new(), usable_unconfirmed: false };
        bed.step(Event::TimePassed);
        bed
    }

    /// Returns the calls that begin.
    fn step(&mut self, event: Event) -> Vec<(CallId, Request)> {
        if let Event::Ended(call, _) = event {
            self.open.retain(|c| c.0 != call);
        }
        let mut begun = Vec::new();
        for command in self.subscription.step(self.now, event) {
            match command {
                Command::Begin(call, request) => begun.push((call, request)),
                Command::Abandon(call, _) => self.open.retain(|c| c.0 != call),
                Command::UseUnconfirmedList => self.usable_unconfirmed = true,
                Command::ListExpired | Command::ListRestored => {}
            }
        }
        self.open.extend(&begun);
        assert!(self.open.len() <= 2, "more than two calls are open");
        begun
    }

    /// Lets time pass up to the next call; returns when it begins, after now, and what it is.
    fn next_call(&mut self) -> (Nanos, CallId, Request) {
        let from = self.now;
        loop {
            let deadline = self.subscription.next_deadline();
            assert!(deadline < from + 60_000 * MS, "no call begins any more");
            self.now = deadline.max(self.now + 1);
            if let Some(&(call, request)) = self.step(Event::TimePassed).first() {
                return (self.now - from, call, request);
            }
        }
    }

    fn pass(&mut self, span: Nanos) {
        let end = self.now + span;
        while self.subscription.next_deadline() <= end {
            self.now = self.subscription.next_deadline().max(self.now + 1);
            self.step(Event::TimePassed);
        }
        self.now = end;
    }

    fn newest(&self) -> CallId {
        self.open.last().expect("a call is open").0
    }
}

/// Guards the start: discovery is called at once, from the version that is known, else for the whole list.
#[test]
fn discovery_is_called_at_the_start() {
    for (discovery, known) in
        [(ON_REQUEST, Some(KNOWN)), (ON_REQUEST, None), (DiscoveryMode::Push, Some(KNOWN))]
    {
        let bed = Bed::new(discovery, 1, known, 1);
        let request = known.map_or(Request::Snapshot, |since| Request::Watch { since });
        assert_eq!(bed.open.iter().map(|c| c.1).collect::<Vec<_>>(), [request]);
    }
}

/// Guards a large fleet's start, in which the first calls are spread: a query that waits does not wait for that.
#[test]
fn a_query_that_waits_begins_the_first_call() {
    let mut bed = Bed::new(ON_REQUEST, 300, Some(KNOWN), 1);
    assert!(bed.open.is_empty());
    assert_eq!(bed.step(Event::QueryWaiting).len(), 1);
    assert!(bed.step(Event::QueryWaiting).is_empty(), "one call is enough");
}

/// Guards the list from before the start: what was told while the process was away counts as told to it. Neither an
/// answer that turns the call down nor one that breaks off confirms anything; a heartbeat of a watch does.
#[test]
fn a_call_that_is_turned_down_does_not_confirm_the_list_from_before_the_start() {
    for end in [CallEnd::Busy, CallEnd::Rejected, CallEnd::Broken, CallEnd::Unreadable] {
        let mut bed = Bed::new(ON_REQUEST, 1, Some(KNOWN), 1);
        bed.now += MS;
        bed.step(Event::Ended(bed.newest(), end));
        assert!(!bed.subscription.usable(bed.now), "{end:?}");
        for _ in 0..3 {
            bed.next_call();
            bed.step(Event::Ended(bed.newest(), CallEnd::Busy));
        }
        assert!(!bed.subscription.usable(bed.now), "{end:?}");
        bed.next_call();
        bed.step(Event::Heartbeat(bed.newest()));
        assert!(bed.subscription.usable(bed.now) && !bed.usable_unconfirmed, "{end:?}");
    }
}

/// Guards against serving nobody for good where discovery cannot be heard, and against sending before: what it told while
/// the process was away counts, however its calls fail now.
#[test]
fn the_list_from_before_the_start_serves_in_the_end() {
    for end in [CallEnd::Unreachable, CallEnd::Busy] {
        let mut bed = Bed::new(ON_REQUEST, 1, Some(KNOWN), 1);
        while !bed.subscription.usable(bed.now) {
            if let Some(call) = bed.open.first().copied() {
                bed.step(Event::Ended(call.0, end));
            }
            bed.now = bed.subscription.next_deadline().max(bed.now + 1);
            bed.step(Event::TimePassed);
        }
        assert!(bed.usable_unconfirmed);
        assert_eq!(bed.now - START, 5 * TOLD_AFTER, "{end:?}");
    }
}

/// Guards the time in which nobody is served: the return of discovery, which nobody answers for, is seen soon where few
/// coordinators call it.
#[test]
fn an_unconfirmed_list_is_asked_for_often() {
    for end in [CallEnd::Unreachable] {
        let mut bed = Bed::new(ON_REQUEST, 3, Some(KNOWN), 1);
        for _ in 0..20 {
            bed.step(Event::Ended(bed.newest(), end));
            let (after, _, _) = bed.next_call();
            assert!(after <= 800 * MS, "{end:?}: {} ms", after / MS);
        }
    }
}

/// Guards a service that answers late: a call is heard for longer than any change may take to be in force, beside a second
/// one that begins in time for that.
#[test]
fn a_call_that_is_answered_late_is_heard() {
    for discovery in [ON_REQUEST, DiscoveryMode::Push] {
        for coordinators in [1, 300] {
            let mut bed = Bed::new(discovery, coordinators, Some(KNOWN), 1);
            bed.step(Event::QueryWaiting);
            let first = bed.newest();
            let (after, _, _) = bed.next_call();
            assert!(after <= CALL_GAP);
            bed.pass(TOLD_AFTER - after);
            assert!(bed.subscription.hears(first), "{discovery:?}");
            bed.step(Event::Told(first, 42));
            assert!(bed.subscription.usable(bed.now));
        }
    }
}

/// Guards a call whose coroutine has died or whose connection has been forgotten: it ends with its lifetime.
#[test]
fn a_call_that_is_never_heard_of_is_followed_by_others() {
    let mut bed = Bed::new(ON_REQUEST, 1, Some(KNOWN), 1);
    let mut last = 0;
    for _ in 0..20 {
        let (after, _, _) = bed.next_call();
        assert!(after <= CALL_GAP, "{after}");
        last += after;
    }
    assert!(last > 20 * 1500 * MS, "calls follow each other too fast: 20 in {} ms", last / MS);
}

/// Guards a watch that falls silent: another is opened beside it, from the version that was told, and the first is heard
/// until that has answered.
#[test]
fn a_silent_watch_is_heard_until_the_next_has_answered() {
    let mut bed = Bed::new(ON_REQUEST, 1, Some(KNOWN), 1);
    let first = bed.newest();
    bed.step(Event::Told(first, 42));
    let (after, second, request) = bed.next_call();
    assert_eq!((after, request), (SPANS.silence, Request::Watch { since: 42 }));
    assert!(bed.subscription.hears(first));
    bed.step(Event::Told(second, 43));
    assert!(!bed.subscription.hears(first));
}

/// Guards against asking for the same version for ever where a service does not take it.
#[test]
fn a_watch_that_is_not_to_be_had_by_its_version_falls_back_to_a_snapshot() {
    for end in [CallEnd::Rejected, CallEnd::Broken, CallEnd::Unreadable] {
        let mut bed = Bed::new(ON_REQUEST, 1, Some(KNOWN), 1);
        bed.step(Event::Ended(bed.newest(), end));
        assert_eq!(bed.next_call().2, Request::Snapshot, "{end:?}");
    }
    for end in [CallEnd::Busy, CallEnd::Unreachable, CallEnd::LocalFailure] {
        let mut bed = Bed::new(ON_REQUEST, 1, Some(KNOWN), 1);
        bed.step(Event::Ended(bed.newest(), end));
        assert_eq!(bed.next_call().2, Request::Watch { since: KNOWN }, "{end:?}");
    }
}

/// Guards against a service that has restarted with lower versions: to a watch from a higher one it has nothing to say
/// but heartbeats, for good. A snapshot verifies such a watch, and only where nothing else was told.
#[test]
fn a_watch_by_a_version_of_an_earlier_connection_is_verified() {
    for told in [false, true] {
        let mut bed = Bed::new(ON_REQUEST, 1, Some(KNOWN), 1);
        bed.step(Event::Told(bed.newest(), KNOWN));
        bed.now += 5000 * MS;
        bed.step(Event::Heartbeat(bed.newest()));
        bed.step(Event::Ended(bed.newest(), CallEnd::Broken));
        let (_, watch, request) = bed.next_call();
        assert_eq!(request, Request::Watch { since: KNOWN });
        let answered = bed.now;
        bed.step(Event::Heartbeat(watch));
        if told {
            bed.step(Event::Told(watch, 42));
        }
        let mut verified = None;
        while bed.now < answered + 6000 * MS {
            bed.now += 1000 * MS;
            let begun = bed.step(Event::Heartbeat(watch));
            verified = verified.or(begun.first().copied());
        }
        assert_eq!(verified.map(|c| c.1), (!told).then_some(Request::Snapshot));
        if let Some((snapshot, _)) = verified {
            assert!(bed.subscription.hears(watch), "the watch goes on beside it");
            bed.step(Event::Told(snapshot, 5));
            assert!(!bed.subscription.hears(watch));
        }
    }
}

/// Guards a move of the service: the old one is not heard any more, and whether the first call to the new one fails or
/// hangs, another is answered in time.
#[test]
fn after_a_move_a_call_that_fails_or_hangs_is_followed_in_time() {
    for (seed, end) in (0..50)
        .flat_map(|seed| [None, Some(CallEnd::Busy), Some(CallEnd::Unreachable)].map(|end| (seed, end)))
    {
        let mut bed = Bed::new(ON_REQUEST, 3, Some(KNOWN), seed);
        let old = bed.newest();
        bed.step(Event::Told(old, 42));
        let signal = bed.now;
        let begun = bed.step(Event::ServiceMoved);
        assert_eq!(begun[0].1, Request::Snapshot);
        assert!(!bed.subscription.hears(old));
        if let Some(end) = end {
            bed.now += 500 * MS;
            bed.step(Event::Ended(begun[0].0, end));
        }
        bed.next_call();
        let left = (signal + MOVE_IN_FORCE).saturating_sub(bed.now);
        assert!(left >= ANSWER, "{end:?}: {} ms left for the answer", left / MS);
    }
}

/// Guards where lists are pushed: what the agent has counts at once, so a watch that ends is opened anew at once, and an
/// agent that fails is asked again well within the grace of a drain, about ten times a second at most.
#[test]
fn an_agent_is_asked_again_at_once() {
    let mut bed = Bed::new(DiscoveryMode::Push, 300, Some(KNOWN), 1);
    bed.step(Event::Told(bed.newest(), 42));
    bed.now += 5000 * MS;
    bed.step(Event::Heartbeat(bed.newest()));
    assert_eq!(bed.step(Event::Ended(bed.newest(), CallEnd::Broken)).len(), 1);
    for _ in 0..100 {
        bed.step(Event::Ended(bed.newest(), CallEnd::Unreachable));
        let (after, _, _) = bed.next_call();
        assert!((30 * MS..=160 * MS).contains(&after), "{after}");
    }
}

/// Guards a failure of the machine's own: it says nothing of the service, and does not slow its calls down.
#[test]
fn a_local_failure_is_tried_again_soon() {
    let mut bed = Bed::new(ON_REQUEST, 300, Some(KNOWN), 1);
    bed.step(Event::QueryWaiting);
    for _ in 0..50 {
        bed.step(Event::Ended(bed.newest(), CallEnd::LocalFailure));
        let (after, _, _) = bed.next_call();
        assert!((50 * MS..=200 * MS).contains(&after), "{after}");
    }
}

/// Guards against watches that end right after their first word, for good: calls back off all the same, by the number of
/// coordinators that do the same.
#[test]
fn watches_that_end_at_once_do_not_become_a_flood() {
    for (coordinators, least) in [(1, 8_000 * MS), (300, 20_000 * MS)] {
        let mut bed = Bed::new(ON_REQUEST, coordinators, Some(KNOWN), 1);
        bed.step(Event::QueryWaiting);
        let begun = bed.now;
        for version in 42..62 {
            bed.step(Event::Told(bed.newest(), version));
            bed.step(Event::Ended(bed.newest(), CallEnd::Broken));
            bed.next_call();
        }
        assert!(bed.now - begun > least, "20 calls in {} ms", (bed.now - begun) / MS);
    }
}

/// Guards the time after a watch that may have ended instead of telling, at all coordinators at once: each asks again at
/// once, whatever failed before that watch, and though it was never heard a second time.
#[test]
fn a_watch_that_was_sound_is_opened_anew_at_once() {
    for seed in 0..50 {
        let mut bed = Bed::new(ON_REQUEST, 6, Some(KNOWN), seed);
        for _ in 0..4 {
            bed.step(Event::Ended(bed.newest(), CallEnd::Busy));
            bed.next_call();
        }
        bed.step(Event::Told(bed.newest(), 42));
        bed.now += 600 * MS;
        bed.step(Event::Ended(bed.newest(), CallEnd::Broken));
        assert!(bed.open.len() == 1 || bed.next_call().0 <= 250 * MS);
    }
}

/// Guards a busy service against the calls of a small fleet: each costs it work, and the more it has to turn down, the
/// fewer it answers. Its capacity is not told; a call of each in 2.4 s is what six coordinators may take of 2.6 a second.
#[test]
fn calls_to_a_busy_service_back_off_in_small_fleets_too() {
    for seed in 0..50 {
        let mut bed = Bed::new(ON_REQUEST, 6, Some(KNOWN), seed);
        bed.step(Event::Told(bed.newest(), 42));
        bed.now += 3000 * MS;
        bed.step(Event::Ended(bed.newest(), CallEnd::Broken));
        let begun = bed.now;
        for _ in 0..8 {
            bed.next_call();
            bed.step(Event::Ended(bed.newest(), CallEnd::Busy));
        }
        assert!(bed.now - begun > 9_000 * MS, "8 calls in {} ms", (bed.now - begun) / MS);
    }
}

/// Guards small fleets, in which calls in a row may fail in different ways before a change has to be in force.
#[test]
fn three_calls_that_fail_in_a_row_leave_time_for_the_fourth() {
    for seed in 0..200 {
        let mut bed = Bed::new(ON_REQUEST, 6, Some(KNOWN), seed);
        bed.step(Event::Told(bed.newest(), 42));
        bed.now += 3000 * MS;
        let changed = bed.now;
        bed.step(Event::Ended(bed.newest(), CallEnd::Broken));
        bed.next_call();
        bed.step(Event::Ended(bed.newest(), CallEnd::Busy));
        // Never answered; the one beside it is reset.
        bed.next_call();
        bed.next_call();
        bed.step(Event::Ended(bed.newest(), CallEnd::Unreachable));
        bed.next_call();
        let left = TOLD_AFTER.saturating_sub(bed.now - changed);
        assert!(left >= ANSWER, "{} ms left for the answer", left / MS);
    }
}

/// Guards against a subscription that spins: after each deadline the next one lies ahead.
#[test]
fn no_deadline_stays_due() {
    for discovery in [ON_REQUEST, DiscoveryMode::Push] {
        let mut bed = Bed::new(discovery, 1, Some(KNOWN), 3);
        for _ in 0..500 {
            bed.now = bed.subscription.next_deadline().max(bed.now);
            bed.step(Event::TimePassed);
            assert!(bed.subscription.next_deadline() > bed.now);
        }
    }
}

/// Guards whoever uses the list: each change between usable and not is told, by news or by a command of its own. An agent
/// that goes down ends its watch, and is found down a moment later.
#[test]
fn a_list_that_is_usable_again_without_news_is_told() {
    for refuses in [true, false] {
        let mut bed = Bed::new(DiscoveryMode::Push, 1, Some(KNOWN), 1);
        bed.step(Event::Told(bed.newest(), 42));
        let watch = bed.newest();
        bed.now += 1000 * MS;
        let expired = bed.subscription.step(bed.now, Event::Ended(watch, CallEnd::Broken));
        assert!(expired.contains(&Command::ListExpired), "{expired:?}");
        assert!(!bed.subscription.usable(bed.now));
        let call = expired.iter().find_map(|command| match command {
            Command::Begin(call, _) => Some(*call),
            _ => None,
        });
        let restored = if refuses {
            bed.now += MS;
            bed.subscription.step(bed.now, Event::Ended(call.unwrap(), CallEnd::Unreachable))
        } else {
            bed.now = bed.subscription.next_deadline();
            bed.subscription.step(bed.now, Event::TimePassed)
        };
        assert!(restored.contains(&Command::ListRestored), "{restored:?}");
        assert!(bed.subscription.usable(bed.now));
    }
}
