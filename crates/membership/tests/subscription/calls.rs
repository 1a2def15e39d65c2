//! When calls to discovery are begun, kept open and abandoned, step by step.

use curlewdeck_core::api::{DiscoveryMode, Nanos};
use curlewdeck_membership::{
    CallEnd, CallId, Command, Event, Request, Subscription, CALL_GAP, NOTIFIED_AFTER,
};

use super::{subscription, ANSWER, MS, POLL, SPANS, START};

const KNOWN: u64 = 41;
/// The changes that a new service has must be known this long after the signal to move there.
const MOVE_NOTIFIED_AFTER: Nanos = 4000 * MS;

/// A subscription whose events and time a test scripts.
struct ScriptedSubscription {
    subscription: Subscription,
    now: Nanos,
    /// Calls that are open.
    open: Vec<(CallId, Request)>,
    usable_unconfirmed: bool,
}

impl ScriptedSubscription {
    fn new(discovery: DiscoveryMode, coordinators: u32, known: Option<u64>, seed: u64) -> Self {
        let subscription = subscription(discovery, coordinators, known, seed);
        let mut scripted = Self { subscription, now: START, open: Vec::new(), usable_unconfirmed: false };
        scripted.step(Event::TimePassed);
        scripted
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
    for (discovery, known) in [(POLL, Some(KNOWN)), (POLL, None), (DiscoveryMode::Push, Some(KNOWN))] {
        let scripted = ScriptedSubscription::new(discovery, 1, known, 1);
        let request = known.map_or(Request::Snapshot, |since| Request::Watch { since });
        assert_eq!(scripted.open.iter().map(|c| c.1).collect::<Vec<_>>(), [request]);
    }
}

/// Guards a large fleet's start, in which the first calls are spread: a query does not wait for that.
#[test]
fn a_waiting_query_begins_the_first_call_at_once() {
    let mut scripted = ScriptedSubscription::new(POLL, 300, Some(KNOWN), 1);
    assert!(scripted.open.is_empty());
    assert_eq!(scripted.step(Event::QueryWaiting).len(), 1);
    assert!(scripted.step(Event::QueryWaiting).is_empty(), "one call is enough");
}

/// Guards the list from before the start: the process counts as notified of changes made while it was away. Neither a
/// response that rejects the call nor one that breaks off confirms anything; a heartbeat of a watch does.
#[test]
fn a_failed_call_does_not_confirm_the_list_from_before_the_start() {
    for end in [CallEnd::Busy, CallEnd::Rejected, CallEnd::Broken, CallEnd::Unreadable] {
        let mut scripted = ScriptedSubscription::new(POLL, 1, Some(KNOWN), 1);
        scripted.now += MS;
        scripted.step(Event::Ended(scripted.newest(), end));
        assert!(!scripted.subscription.usable(scripted.now), "{end:?}");
        for _ in 0..3 {
            scripted.next_call();
            scripted.step(Event::Ended(scripted.newest(), CallEnd::Busy));
        }
        assert!(!scripted.subscription.usable(scripted.now), "{end:?}");
        scripted.next_call();
        scripted.step(Event::Heartbeat(scripted.newest()));
        assert!(scripted.subscription.usable(scripted.now) && !scripted.usable_unconfirmed, "{end:?}");
    }
}

/// Guards against never serving anybody where discovery cannot be heard, and against sending before: changes made while
/// the process was away count, however its calls fail now.
#[test]
fn the_list_from_before_the_start_is_used_unconfirmed_after_a_while() {
    for end in [CallEnd::Unreachable, CallEnd::Busy] {
        let mut scripted = ScriptedSubscription::new(POLL, 1, Some(KNOWN), 1);
        while !scripted.subscription.usable(scripted.now) {
            if let Some(call) = scripted.open.first().copied() {
                scripted.step(Event::Ended(call.0, end));
            }
            scripted.now = scripted.subscription.next_deadline().max(scripted.now + 1);
            scripted.step(Event::TimePassed);
        }
        assert!(scripted.usable_unconfirmed);
        assert_eq!(scripted.now - START, 5 * NOTIFIED_AFTER, "{end:?}");
    }
}

/// Guards the time in which nobody is served: the return of an unreachable service is seen soon where few coordinators
/// call it.
#[test]
fn an_unreachable_service_is_called_often_while_the_list_is_unconfirmed() {
    for end in [CallEnd::Unreachable] {
        let mut scripted = ScriptedSubscription::new(POLL, 3, Some(KNOWN), 1);
        for _ in 0..20 {
            scripted.step(Event::Ended(scripted.newest(), end));
            let (after, _, _) = scripted.next_call();
            assert!(after <= 800 * MS, "{end:?}: {} ms", after / MS);
        }
    }
}

/// Guards a service that answers late: a call is heard for longer than any change may take to count, beside a second one
/// that begins in time for that.
#[test]
fn a_call_that_is_answered_late_is_heard() {
    for discovery in [POLL, DiscoveryMode::Push] {
        for coordinators in [1, 300] {
            let mut scripted = ScriptedSubscription::new(discovery, coordinators, Some(KNOWN), 1);
            scripted.step(Event::QueryWaiting);
            let first = scripted.newest();
            let (after, _, _) = scripted.next_call();
            assert!(after <= CALL_GAP);
            scripted.pass(NOTIFIED_AFTER - after);
            assert!(scripted.subscription.hears(first), "{discovery:?}");
            scripted.step(Event::Told(first, 42));
            assert!(scripted.subscription.usable(scripted.now));
        }
    }
}

/// Guards a call whose coroutine has died or whose connection has been forgotten: it ends with its lifetime.
#[test]
fn a_call_that_is_never_heard_again_is_followed_by_others() {
    let mut scripted = ScriptedSubscription::new(POLL, 1, Some(KNOWN), 1);
    let mut last = 0;
    for _ in 0..20 {
        let (after, _, _) = scripted.next_call();
        assert!(after <= CALL_GAP, "{after}");
        last += after;
    }
    assert!(last > 20 * 1500 * MS, "calls follow each other too fast: 20 in {} ms", last / MS);
}

/// Guards a watch that falls silent: another is opened beside it, from the latest version, and the first is heard until
/// that is answered.
#[test]
fn a_silent_watch_is_heard_until_its_hedge_is_answered() {
    let mut scripted = ScriptedSubscription::new(POLL, 1, Some(KNOWN), 1);
    let first = scripted.newest();
    scripted.step(Event::Told(first, 42));
    let (after, second, request) = scripted.next_call();
    assert_eq!((after, request), (SPANS.silence, Request::Watch { since: 42 }));
    assert!(scripted.subscription.hears(first));
    scripted.step(Event::Told(second, 43));
    assert!(!scripted.subscription.hears(first));
}

/// Guards against requesting the same version for ever where a service does not accept it.
#[test]
fn a_watch_whose_version_is_refused_falls_back_to_a_snapshot() {
    for end in [CallEnd::Rejected, CallEnd::Broken, CallEnd::Unreadable] {
        let mut scripted = ScriptedSubscription::new(POLL, 1, Some(KNOWN), 1);
        scripted.step(Event::Ended(scripted.newest(), end));
        assert_eq!(scripted.next_call().2, Request::Snapshot, "{end:?}");
    }
    for end in [CallEnd::Busy, CallEnd::Unreachable, CallEnd::LocalFailure] {
        let mut scripted = ScriptedSubscription::new(POLL, 1, Some(KNOWN), 1);
        scripted.step(Event::Ended(scripted.newest(), end));
        assert_eq!(scripted.next_call().2, Request::Watch { since: KNOWN }, "{end:?}");
    }
}

/// Guards against a service that has restarted with lower versions: to a watch from a higher one it sends nothing but
/// heartbeats, for good. A snapshot verifies such a watch, and only where no update came.
#[test]
fn a_watch_by_a_version_of_an_earlier_connection_is_verified() {
    for updated in [false, true] {
        let mut scripted = ScriptedSubscription::new(POLL, 1, Some(KNOWN), 1);
        scripted.step(Event::Told(scripted.newest(), KNOWN));
        scripted.now += 5000 * MS;
        scripted.step(Event::Heartbeat(scripted.newest()));
        scripted.step(Event::Ended(scripted.newest(), CallEnd::Broken));
        let (_, watch, request) = scripted.next_call();
        assert_eq!(request, Request::Watch { since: KNOWN });
        let answered = scripted.now;
        scripted.step(Event::Heartbeat(watch));
        if updated {
            scripted.step(Event::Told(watch, 42));
        }
        let mut verified = None;
        while scripted.now < answered + 6000 * MS {
            scripted.now += 1000 * MS;
            let begun = scripted.step(Event::Heartbeat(watch));
            verified = verified.or(begun.first().copied());
        }
        assert_eq!(verified.map(|c| c.1), (!updated).then_some(Request::Snapshot));
        if let Some((snapshot, _)) = verified {
            assert!(scripted.subscription.hears(watch), "the watch goes on beside it");
            scripted.step(Event::Told(snapshot, 5));
            assert!(!scripted.subscription.hears(watch));
        }
    }
}

/// Guards a move of the service: the old one is not heard any more, and whether the first call to the new one fails or
/// hangs, another is answered in time.
#[test]
fn after_a_service_move_a_call_that_fails_or_hangs_is_followed_in_time() {
    for (seed, end) in (0..50)
        .flat_map(|seed| [None, Some(CallEnd::Busy), Some(CallEnd::Unreachable)].map(|end| (seed, end)))
    {
        let mut scripted = ScriptedSubscription::new(POLL, 3, Some(KNOWN), seed);
        let old = scripted.newest();
        scripted.step(Event::Told(old, 42));
        let signal = scripted.now;
        let begun = scripted.step(Event::ServiceMoved);
        assert_eq!(begun[0].1, Request::Snapshot);
        assert!(!scripted.subscription.hears(old));
        if let Some(end) = end {
            scripted.now += 500 * MS;
            scripted.step(Event::Ended(begun[0].0, end));
        }
        scripted.next_call();
        let left = (signal + MOVE_NOTIFIED_AFTER).saturating_sub(scripted.now);
        assert!(left >= ANSWER, "{end:?}: {} ms left for the answer", left / MS);
    }
}

/// Guards push mode: changes that the local agent has count at once, so a watch that ends is reopened at once, and an
/// agent that fails is called again well within the grace period of a drain, about ten times a second at most.
#[test]
fn a_failed_agent_is_called_again_at_once() {
    let mut scripted = ScriptedSubscription::new(DiscoveryMode::Push, 300, Some(KNOWN), 1);
    scripted.step(Event::Told(scripted.newest(), 42));
    scripted.now += 5000 * MS;
    scripted.step(Event::Heartbeat(scripted.newest()));
    assert_eq!(scripted.step(Event::Ended(scripted.newest(), CallEnd::Broken)).len(), 1);
    for _ in 0..100 {
        scripted.step(Event::Ended(scripted.newest(), CallEnd::Unreachable));
        let (after, _, _) = scripted.next_call();
        assert!((30 * MS..=160 * MS).contains(&after), "{after}");
    }
}

/// Guards a failure of the machine's own: it says nothing of the service, and does not slow its calls down.
#[test]
fn a_local_failure_is_retried_soon() {
    let mut scripted = ScriptedSubscription::new(POLL, 300, Some(KNOWN), 1);
    scripted.step(Event::QueryWaiting);
    for _ in 0..50 {
        scripted.step(Event::Ended(scripted.newest(), CallEnd::LocalFailure));
        let (after, _, _) = scripted.next_call();
        assert!((50 * MS..=200 * MS).contains(&after), "{after}");
    }
}

/// Guards against watches that always end right after their first update: calls back off all the same, by the number of
/// coordinators that do the same.
#[test]
fn watches_that_end_at_once_back_off() {
    for (coordinators, least) in [(1, 8_000 * MS), (300, 20_000 * MS)] {
        let mut scripted = ScriptedSubscription::new(POLL, coordinators, Some(KNOWN), 1);
        scripted.step(Event::QueryWaiting);
        let begun = scripted.now;
        for version in 42..62 {
            scripted.step(Event::Told(scripted.newest(), version));
            scripted.step(Event::Ended(scripted.newest(), CallEnd::Broken));
            scripted.next_call();
        }
        assert!(scripted.now - begun > least, "20 calls in {} ms", (scripted.now - begun) / MS);
    }
}

/// Guards the time after a watch that may have ended instead of sending a change, at all coordinators at once: each calls
/// again at once, whatever failed before that watch, and though it was never heard a second time.
#[test]
fn a_stable_watch_is_reopened_at_once() {
    for seed in 0..50 {
        let mut scripted = ScriptedSubscription::new(POLL, 6, Some(KNOWN), seed);
        for _ in 0..4 {
            scripted.step(Event::Ended(scripted.newest(), CallEnd::Busy));
            scripted.next_call();
        }
        scripted.step(Event::Told(scripted.newest(), 42));
        scripted.now += 600 * MS;
        scripted.step(Event::Ended(scripted.newest(), CallEnd::Broken));
        assert!(scripted.open.len() == 1 || scripted.next_call().0 <= 250 * MS);
    }
}

/// Guards a busy service against the calls of a small fleet: each costs it work, and the more it has to reject, the
/// fewer it answers. Its capacity is not known; a call of each in 2.4 s is what six coordinators may take of 2.6 a second.
#[test]
fn calls_to_a_busy_service_back_off_in_small_fleets_too() {
    for seed in 0..50 {
        let mut scripted = ScriptedSubscription::new(POLL, 6, Some(KNOWN), seed);
        scripted.step(Event::Told(scripted.newest(), 42));
        scripted.now += 3000 * MS;
        scripted.step(Event::Ended(scripted.newest(), CallEnd::Broken));
        let begun = scripted.now;
        for _ in 0..8 {
            scripted.next_call();
            scripted.step(Event::Ended(scripted.newest(), CallEnd::Busy));
        }
        assert!(scripted.now - begun > 9_000 * MS, "8 calls in {} ms", (scripted.now - begun) / MS);
    }
}

/// Guards small fleets, in which calls in a row may fail in different ways before a change counts.
#[test]
fn three_calls_that_fail_in_a_row_leave_time_for_the_fourth() {
    for seed in 0..200 {
        let mut scripted = ScriptedSubscription::new(POLL, 6, Some(KNOWN), seed);
        scripted.step(Event::Told(scripted.newest(), 42));
        scripted.now += 3000 * MS;
        let changed = scripted.now;
        scripted.step(Event::Ended(scripted.newest(), CallEnd::Broken));
        scripted.next_call();
        scripted.step(Event::Ended(scripted.newest(), CallEnd::Busy));
        // Never answered; the one beside it is reset.
        scripted.next_call();
        scripted.next_call();
        scripted.step(Event::Ended(scripted.newest(), CallEnd::Unreachable));
        scripted.next_call();
        let left = NOTIFIED_AFTER.saturating_sub(scripted.now - changed);
        assert!(left >= ANSWER, "{} ms left for the answer", left / MS);
    }
}

/// Guards against a subscription that spins: after each deadline the next one lies ahead.
#[test]
fn no_deadline_stays_due() {
    for discovery in [POLL, DiscoveryMode::Push] {
        let mut scripted = ScriptedSubscription::new(discovery, 1, Some(KNOWN), 3);
        for _ in 0..500 {
            scripted.now = scripted.subscription.next_deadline().max(scripted.now);
            scripted.step(Event::TimePassed);
            assert!(scripted.subscription.next_deadline() > scripted.now);
        }
    }
}

/// Guards whoever uses the list: each change between usable and not is reported, by an update or by a command of its own.
/// An agent that goes down ends its watch, and is found down a moment later.
#[test]
fn a_list_that_is_usable_again_without_an_update_is_reported() {
    for refuses in [true, false] {
        let mut scripted = ScriptedSubscription::new(DiscoveryMode::Push, 1, Some(KNOWN), 1);
        scripted.step(Event::Told(scripted.newest(), 42));
        let watch = scripted.newest();
        scripted.now += 1000 * MS;
        let expired = scripted.subscription.step(scripted.now, Event::Ended(watch, CallEnd::Broken));
        assert!(expired.contains(&Command::ListExpired), "{expired:?}");
        assert!(!scripted.subscription.usable(scripted.now));
        let call = expired.iter().find_map(|command| match command {
            Command::Begin(call, _) => Some(*call),
            _ => None,
        });
        let restored = if refuses {
            scripted.now += MS;
            scripted.subscription.step(scripted.now, Event::Ended(call.unwrap(), CallEnd::Unreachable))
        } else {
            scripted.now = scripted.subscription.next_deadline();
            scripted.subscription.step(scripted.now, Event::TimePassed)
        };
        assert!(restored.contains(&Command::ListRestored), "{restored:?}");
        assert!(scripted.subscription.usable(scripted.now));
    }
}
