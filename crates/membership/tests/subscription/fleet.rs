//! Many subscriptions at one service: their total load, and the time until each receives an answer.

use curlewdeck_core::api::Nanos;
use curlewdeck_membership::{CallEnd, CallId, Command, Event, Subscription};
use fastrand::Rng;

use super::{ANSWER, HEDGE_DELAYS, MS, POLL, POLL_INTERVAL_MAX, START, STEP};

fn subscription(coordinators: u32, seed: u64) -> Subscription {
    super::subscription(POLL, coordinators, Some(1), seed)
}

/// A service that handles one call at a time, including calls whose coordinators no longer wait.
struct Service {
    call_duration: Nanos,
    /// The longest time that a caller waits.
    call_timeout: Nanos,
    free_at: Nanos,
}

impl Service {
    /// When a call made now ends, and whether it is answered.
    fn call(&mut self, now: Nanos) -> (Nanos, bool) {
        self.free_at = self.free_at.max(now) + self.call_duration;
        let in_time = self.free_at <= now + self.call_timeout;
        (if in_time { self.free_at } else { now + self.call_timeout }, in_time)
    }
}

/// Starts coordinators at the same time with an old list. Returns the time of the first answer to each and the number
/// of calls.
fn simulate_simultaneous_start(coordinators: u32, span: Nanos) -> (Vec<Option<Nanos>>, usize) {
    let mut service = Service { call_duration: POLL_INTERVAL_MAX / 150, call_timeout: 2000 * MS, free_at: 0 };
    let mut fleet: Vec<Subscription> =
        (0..coordinators).map(|n| subscription(coordinators, u64::from(n) + 1)).collect();
    let mut calls: Vec<Vec<(CallId, Nanos, bool)>> = vec![Vec::new(); fleet.len()];
    let (mut answered_after, mut made) = (vec![None; fleet.len()], 0);
    for now in (START..START + span).step_by(STEP as usize) {
        for (n, subscription) in fleet.iter_mut().enumerate() {
            let (ended, open) = calls[n].iter().partition(|c| c.1 <= now);
            calls[n] = open;
            let mut events = vec![Event::TimerFired];
            // An open watch sends heartbeats.
            events.extend(answered_after[n].and(Some(Event::Heartbeat(CallId(1)))));
            for (call, _, answered) in ended {
                events.push(if answered {
                    Event::Updated(call, 2)
                } else {
                    Event::Ended(call, CallEnd::Busy)
                });
                if answered {
                    answered_after[n].get_or_insert(now - START);
                }
            }
            for command in events.into_iter().flat_map(|event| subscription.step(now, event)) {
                if let Command::Begin(call, _) = command {
                    let (ends, answered) = service.call(now);
                    calls[n].push((call, ends, answered));
                    made += 1;
                }
            }
        }
    }
    (answered_after, made)
}

/// After a release all coordinators call discovery at once. It answers a few, then works on calls that have timed out
/// while all others call again, so that most coordinators would get no endpoint list.
#[test]
fn a_hundred_coordinators_that_start_at_once_all_get_the_list() {
    let (answered_after, calls) = simulate_simultaneous_start(100, 12_000 * MS);
    let unanswered = answered_after.iter().filter(|t| t.is_none()).count();
    assert!(
        unanswered == 0 && calls <= 150,
        "{unanswered} coordinators have no list after 12 s and {calls} calls"
    );
}

/// A fleet of three is too small to load the service, so its first calls need no delay.
#[test]
fn three_coordinators_that_start_at_once_call_without_a_pause() {
    let (answered_after, calls) = simulate_simultaneous_start(3, 1000 * MS);
    assert!(
        answered_after.iter().all(|t| t.is_some_and(|t| t <= 320 * MS)) && calls == 3,
        "{answered_after:?}, {calls} calls"
    );
}

/// A coordinator whose calls all fail, or are answered once and then silent.
struct FailingCalls {
    subscription: Subscription,
    rng: Rng,
    last_begun_at: Option<Nanos>,
    /// Calls with a scheduled end, and its time.
    ends: Vec<(CallId, Nanos)>,
    begun: usize,
}

impl FailingCalls {
    fn new(coordinators: u32, seed: u64) -> Self {
        Self {
            subscription: subscription(coordinators, seed),
            rng: Rng::with_seed(seed),
            last_begun_at: None,
            ends: Vec::new(),
            begun: 0,
        }
    }

    fn pass(&mut self, now: Nanos) {
        let mut events = vec![Event::TimerFired];
        events.extend(self.ends.extract_if(.., |e| e.1 <= now).map(|e| Event::Ended(e.0, CallEnd::Busy)));
        let steps = events.into_iter().flat_map(|event| self.subscription.step(now, event));
        for command in steps.collect::<Vec<_>>() {
            match command {
                Command::Begin(call, _) => self.begin(now, call),
                Command::Abandon(call, _) => self.ends.retain(|e| e.0 != call),
                Command::UseUnconfirmedList | Command::ListExpired | Command::ListRestored => {}
            }
        }
    }

    fn begin(&mut self, now: Nanos, call: CallId) {
        let latest = self.last_begun_at.map_or(START + POLL_INTERVAL_MAX / 2, |last_begun_at| {
            last_begun_at + HEDGE_DELAYS.silence.max(ANSWER) + 1400 * MS
        });
        assert!(now <= latest + STEP, "call {} begins late", self.begun);
        self.last_begun_at = Some(now);
        self.begun += 1;
        // The call is answered once and then silent, is never answered, or fails within 2.2 s.
        match self.rng.u64(0..4) {
            0 => drop(self.subscription.step(now, Event::Updated(call, 2))),
            1 => {}
            _ => self.ends.push((call, now + self.rng.u64(0..2200) * MS)),
        }
    }
}

/// For any kind of failure and any size of the fleet, the next call must begin early enough to be answered within the 6
/// s of the notification rule. After a silent watch, the limit runs from its last message.
#[test]
fn a_failed_call_is_followed_by_another_in_time() {
    for (coordinators, seed) in (0..40).map(|n| ([1, 3, 30, 300][n % 4], n as u64)) {
        let mut calls = FailingCalls::new(coordinators, seed);
        for now in (START..START + 100_000 * MS).step_by(STEP as usize) {
            calls.pass(now);
        }
        assert!(calls.begun > 20, "{} calls of one of {coordinators} coordinators", calls.begun);
    }
}
