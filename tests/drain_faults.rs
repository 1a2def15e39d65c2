//! The drain rule while calls of discovery fail or take long: nothing new goes to a data node that drains or is gone once
//! its coordinator counts as notified and the grace is over, and queries are answered from the nodes that stay.

mod harness;

use std::thread;
use std::time::{Duration, Instant};

use harness::discovery_faults::{CallFault, Pieces};
use harness::drain_check::{Delivery, NodeState};
use harness::drain_trial::{all_pass, within, Trial, Verdict, BOTH, PATIENCE};

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// The faults that end a call, or leave it hanging.
const FAILURES: [CallFault; 4] =
    [CallFault::Unavailable, CallFault::Reset, CallFault::HalfAnswer, CallFault::Silent];

// ---- Restarted coordinators. ----

/// How the first calls of a restarted coordinator end.
#[derive(Debug, Clone, Copy)]
enum FirstCalls {
    Fail(CallFault),
    /// All calls in the first 4 s.
    FailFor4s(CallFault),
    /// The service's address is closed for a while.
    RefusedFor(Duration),
    /// Every call takes so long.
    Late(Duration),
}

/// A coordinator starts with a list from before, in which a node that drains and one that is gone are up.
fn restarted(first: FirstCalls, delivery: Delivery) -> Verdict {
    let nodes = ["drains", "removed", "stays-1", "stays-2"];
    let mut trial = Trial::new(&format!("restart {first:?}"), delivery, &nodes);
    trial.shut_long_ago("drains", "removed");
    let service = trial.service();
    let begun = Instant::now();
    let mut longest = ms(0);
    match first {
        FirstCalls::Fail(fault) => service.faults(|f| f.next.push_back(fault)),
        FirstCalls::FailFor4s(fault) => {
            service.faults(|f| f.all = Some(fault));
            longest = ms(4000);
        }
        FirstCalls::RefusedFor(span) => {
            service.go_down();
            longest = span;
        }
        FirstCalls::Late(delay) => {
            service.faults(|f| f.all = Some(CallFault::HeadDelayed(delay)));
            longest = delay;
        }
    }
    trial.start_again(&service);
    thread::sleep((begun + longest).saturating_duration_since(Instant::now()));
    match first {
        FirstCalls::FailFor4s(_) => service.faults(|f| f.all = None),
        FirstCalls::RefusedFor(_) => service.come_back(),
        FirstCalls::Fail(_) | FirstCalls::Late(_) => {}
    }
    trial.finish_after(PATIENCE)
}

/// Guards the list from before the start: what was said while the coordinator was away counts from its first moment,
/// whatever becomes of its first call.
#[test]
fn a_restarted_coordinator_whose_first_call_fails_sends_nothing_to_who_drained() {
    let kinds = FAILURES.iter().flat_map(|&fault| BOTH.map(|way| (FirstCalls::Fail(fault), way)));
    all_pass(kinds.collect(), |(first, way)| restarted(first, way));
}

/// The same where all calls fail for a while.
#[test]
fn a_restarted_coordinator_whose_calls_fail_for_4_s_sends_nothing_to_who_drained() {
    let kinds = FAILURES.iter().flat_map(|&fault| BOTH.map(|way| (FirstCalls::FailFor4s(fault), way)));
    all_pass(kinds.collect(), |(first, way)| restarted(first, way));
}

/// The same where discovery refuses connections at first.
#[test]
fn a_restarted_coordinator_that_is_refused_at_first_sends_nothing_to_who_drained() {
    let kinds =
        [ms(1500), ms(7500)].into_iter().flat_map(|span| BOTH.map(|way| (FirstCalls::RefusedFor(span), way)));
    all_pass(kinds.collect(), |(first, way)| restarted(first, way));
}

/// The same where discovery answers late.
#[test]
fn a_restarted_coordinator_that_is_answered_late_sends_nothing_to_who_drained() {
    let kinds = DELAYS.iter().flat_map(|&delay| BOTH.map(|way| (FirstCalls::Late(delay), way)));
    all_pass(kinds.collect(), |(first, way)| restarted(first, way));
}

// ---- Slow discovery. ----

const DELAYS: [Duration; 4] = [ms(1000), ms(2500), ms(4000), ms(5500)];

/// Where a slow answer loses its time.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Slow {
    Head,
    Body,
    /// The head's, and calls are handled one at a time.
    InTurn,
    /// Besides, all comes in pieces.
    InPieces,
}

/// A watch ends, every later call takes long, and a node drains.
fn slow(slow: Slow, delay: Duration, delivery: Delivery) -> Verdict {
    let name = format!("slow {slow:?} {delay:?}");
    let mut trial = Trial::new(&name, delivery, &["drains", "stays-1", "stays-2"]);
    let service = trial.service();
    trial.start(&service);
    trial.in_use(&["drains", "stays-1", "stays-2"]);
    service.faults(|f| {
        f.in_turn = slow == Slow::InTurn;
        f.pieces = (slow == Slow::InPieces).then_some(Pieces { bytes: 64, gap: ms(10) });
        let body = slow == Slow::Body;
        f.all = Some(if body { CallFault::BodyDelayed(delay) } else { CallFault::HeadDelayed(delay) });
    });
    let written = service.writes().len();
    service.end_connections();
    if delivery == Delivery::Pushed {
        // What the agent has counts at once: the watch is up again by then.
        within(delay * 2 + ms(2000), || service.writes().len() > written);
    }
    trial.catalog.set("drains", NodeState::Draining);
    trial.finish_after(PATIENCE + ms(1000))
}

fn slow_kinds(delivery: Delivery) {
    let places = [Slow::Head, Slow::Body, Slow::InTurn, Slow::InPieces];
    let kinds = places.iter().flat_map(|&place| DELAYS.map(|delay| (place, delay)));
    all_pass(kinds.collect(), |(place, delay)| self::slow(place, delay, delivery));
}

/// Guards against calls that are given up before discovery has answered, for good.
#[test]
fn a_slow_discovery_is_heard_in_time_where_it_is_polled() {
    slow_kinds(Delivery::OnRequest);
}

/// The same where lists are pushed: the watch comes up, however slowly, and what drains from then on is learnt at once.
#[test]
fn a_slow_discovery_is_heard_in_time_where_it_pushes() {
    slow_kinds(Delivery::Pushed);
}
