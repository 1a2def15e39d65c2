//! Tests the drain rule while discovery calls fail or are slow: once the coordinator counts as notified and the grace
//! is over, it sends nothing new to a draining or removed data node, and the remaining nodes answer the queries.

mod harness;

use std::thread;
use std::time::{Duration, Instant};

use harness::discovery_faults::{CallFault, Pieces};
use harness::drain_check::{Delivery, NodeState};
use harness::drain_trial::{assert_all_pass, within, Trial, TrialResult, BOTH_DELIVERIES, WAIT_LIMIT};

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Faults that end a call or leave it without an answer.
const FAILURES: [CallFault; 4] =
    [CallFault::Unavailable, CallFault::Reset, CallFault::HalfAnswer, CallFault::NoAnswer];

// ---- Restarted coordinators ----

/// Fault of the first calls of a restarted coordinator.
#[derive(Debug, Clone, Copy)]
enum FirstCalls {
    Fail(CallFault),
    /// All calls in the first 4 s fail.
    FailFor4s(CallFault),
    /// Connections are refused for this time.
    RefusedFor(Duration),
    /// Every answer is delayed by this time.
    Delayed(Duration),
}

/// Starts a coordinator with an old list, in which a node that has drained and one that has been removed since then are
/// up.
fn restarted(first: FirstCalls, delivery: Delivery) -> TrialResult {
    let nodes = ["drains", "removed", "stays-1", "stays-2"];
    let mut trial = Trial::new(&format!("restart {first:?}"), delivery, &nodes);
    trial.drain_and_remove_long_ago("drains", "removed");
    let service = trial.service();
    let begun = Instant::now();
    let mut longest = ms(0);
    match first {
        FirstCalls::Fail(fault) => service.faults(|f| f.next_calls.push_back(fault)),
        FirstCalls::FailFor4s(fault) => {
            service.faults(|f| f.all_calls = Some(fault));
            longest = ms(4000);
        }
        FirstCalls::RefusedFor(span) => {
            service.take_offline();
            longest = span;
        }
        FirstCalls::Delayed(delay) => {
            service.faults(|f| f.all_calls = Some(CallFault::HeadDelayed(delay)));
            longest = delay;
        }
    }
    trial.start_with_first_list(&service);
    thread::sleep((begun + longest).saturating_duration_since(Instant::now()));
    match first {
        FirstCalls::FailFor4s(_) => service.faults(|f| f.all_calls = None),
        FirstCalls::RefusedFor(_) => service.bring_online(),
        FirstCalls::Fail(_) | FirstCalls::Delayed(_) => {}
    }
    trial.finish_after(WAIT_LIMIT)
}

/// A restarted coordinator reads an old list from its configuration. A change made while it was not running counts from
/// its start, even if its first call fails. Catches a coordinator that sends parts to drained nodes by the old list.
#[test]
fn restarted_coordinator_skips_drained_nodes_when_its_first_call_fails() {
    let kinds = FAILURES
        .iter()
        .flat_map(|&fault| BOTH_DELIVERIES.map(|delivery| (FirstCalls::Fail(fault), delivery)));
    assert_all_pass(kinds.collect(), |(first, delivery)| restarted(first, delivery));
}

/// All calls of the first 4 s fail.
#[test]
fn restarted_coordinator_skips_drained_nodes_when_calls_fail_for_4_s() {
    let kinds = FAILURES
        .iter()
        .flat_map(|&fault| BOTH_DELIVERIES.map(|delivery| (FirstCalls::FailFor4s(fault), delivery)));
    assert_all_pass(kinds.collect(), |(first, delivery)| restarted(first, delivery));
}

/// Discovery refuses connections at first.
#[test]
fn restarted_coordinator_skips_drained_nodes_when_connections_are_refused_at_first() {
    let kinds = [ms(1500), ms(7500)]
        .into_iter()
        .flat_map(|span| BOTH_DELIVERIES.map(|delivery| (FirstCalls::RefusedFor(span), delivery)));
    assert_all_pass(kinds.collect(), |(first, delivery)| restarted(first, delivery));
}

/// Discovery answers with a delay.
#[test]
fn restarted_coordinator_skips_drained_nodes_when_answers_are_delayed() {
    let kinds = DELAYS
        .iter()
        .flat_map(|&delay| BOTH_DELIVERIES.map(|delivery| (FirstCalls::Delayed(delay), delivery)));
    assert_all_pass(kinds.collect(), |(first, delivery)| restarted(first, delivery));
}

// ---- Slow discovery ----

const DELAYS: [Duration; 4] = [ms(1000), ms(2500), ms(4000), ms(5500)];

/// Part of an answer that is delayed.
#[derive(Debug, Clone, Copy, PartialEq)]
enum SlowStage {
    Head,
    Body,
    /// The head, while calls are handled one at a time.
    SerialCalls,
    /// The head, and everything is sent in small pieces.
    InPieces,
}

/// Closes the watch, delays every later answer and drains a node.
fn slow_discovery(stage: SlowStage, delay: Duration, delivery: Delivery) -> TrialResult {
    let name = format!("slow {stage:?} {delay:?}");
    let mut trial = Trial::new(&name, delivery, &["drains", "stays-1", "stays-2"]);
    let service = trial.service();
    trial.start(&service);
    trial.wait_until_used(&["drains", "stays-1", "stays-2"]);
    service.faults(|f| {
        f.serial_calls = stage == SlowStage::SerialCalls;
        f.pieces = (stage == SlowStage::InPieces).then_some(Pieces { bytes: 64, gap: ms(10) });
        let body = stage == SlowStage::Body;
        f.all_calls = Some(if body { CallFault::BodyDelayed(delay) } else { CallFault::HeadDelayed(delay) });
    });
    let written = service.writes().len();
    service.end_connections();
    if delivery == Delivery::Pushed {
        // Changes that the agent has count at once, so the new watch must be open before the node drains.
        within(delay * 2 + ms(2000), || service.writes().len() > written);
    }
    trial.catalog.set("drains", NodeState::Draining);
    trial.finish_after(WAIT_LIMIT + ms(1000))
}

fn assert_slow_discovery_passes(delivery: Delivery) {
    let stages = [SlowStage::Head, SlowStage::Body, SlowStage::SerialCalls, SlowStage::InPieces];
    let kinds = stages.iter().flat_map(|&stage| DELAYS.map(|delay| (stage, delay)));
    assert_all_pass(kinds.collect(), |(stage, delay)| slow_discovery(stage, delay, delivery));
}

/// Catches a coordinator that abandons every call before a slow discovery service has answered, and so never learns of
/// the drain.
#[test]
fn drain_is_applied_in_time_with_slow_on_request_discovery() {
    assert_slow_discovery_passes(Delivery::OnRequest);
}

/// With pushed lists the watch opens slowly; drains after that are applied at once.
#[test]
fn drain_is_applied_in_time_with_slow_pushed_discovery() {
    assert_slow_discovery_passes(Delivery::Pushed);
}
