//! Wall clocks may be stepped, forward or back, while a coordinator runs: a data node that has started is cold for its span
//! of real time, whatever Unix time the list gives for its start.

mod common;

use common::*;
use curlewdeck_core::api::*;

const HOUR: Nanos = 3_600_000 * MS;
const SECOND: Nanos = 1_000 * MS;
const COLD: ServerId = ServerId(1);

/// How often a server is sent to in `span`, of two that hold the one shard, beside queries one after the other.
fn sent_to_the_cold_one(harness: &mut PolicyHarness, span: Nanos) -> usize {
    let (end, mut sent) = (harness.now + span, 0);
    while harness.now < end {
        let (_, _, actions) = harness.query(0, 1);
        harness.now += 50 * MS;
        let done: Vec<Event> =
            sends(&actions).iter().map(|s| harness.ended(s, 0, Outcome::Success)).collect();
        sent += sends(&actions).iter().filter(|s| s.server == COLD).count();
        harness.round(done);
    }
    sent
}

/// The list's service is heard of every second, without news, for so long.
fn quiet(harness: &mut PolicyHarness, span: Nanos) {
    let end = harness.now + span;
    while harness.now < end {
        harness.pass(SECOND);
        harness.round(vec![Event::EndpointsUpdated { kind: EndpointUpdateKind::Delta, records: Vec::new() }]);
    }
}

fn told(harness: &mut PolicyHarness, kind: EndpointUpdateKind, started_at: Nanos) {
    let started = EndpointRecord { started_at, ..entry(1, EndpointState::Active) };
    harness.round(vec![Event::EndpointsUpdated {
        kind,
        records: vec![entry(0, EndpointState::Active), started],
    }]);
}

/// What a cold server is sent within the rule's span when its start is told as it is.
fn honest() -> usize {
    let mut harness = PolicyHarness::new(settings(), 2);
    harness.warm_up(40);
    quiet(&mut harness, 10 * SECOND);
    let now = harness.now;
    told(&mut harness, EndpointUpdateKind::Delta, now);
    sent_to_the_cold_one(&mut harness, settings().slow_start.overload_duration)
}

/// What a warm one is sent in that time.
fn warm() -> usize {
    let mut harness = PolicyHarness::new(settings(), 2);
    harness.warm_up(40);
    sent_to_the_cold_one(&mut harness, settings().slow_start.overload_duration)
}

fn is_cold(harness: &mut PolicyHarness, case: &str) {
    let (honest, sent) = (honest(), sent_to_the_cold_one(harness, settings().slow_start.overload_duration));
    assert!(sent <= honest + 2, "{case}: {sent} parts, where {honest} go when the start is told as it is");
}

/// Both must tell apart what is counted below.
#[test]
fn a_cold_server_gets_far_less_than_a_warm_one() {
    assert!(honest() + 4 < warm(), "{} and {}", honest(), warm());
}

/// A server restarts after the wall clocks of all machines were stepped back: its start lies before what was heard since.
#[test]
fn a_start_told_after_the_wall_clock_went_back_is_a_start_of_now() {
    for back in [2 * SECOND, 5 * SECOND, 20 * SECOND, HOUR] {
        for kind in [EndpointUpdateKind::Delta, EndpointUpdateKind::Snapshot] {
            let mut harness = PolicyHarness::new(settings(), 2);
            harness.now += 2 * HOUR;
            harness.warm_up(40);
            quiet(&mut harness, 30 * SECOND);
            let now = harness.now;
            told(&mut harness, kind, now - back);
            is_cold(&mut harness, &format!("stepped back by {} s, {kind:?}", back / SECOND));
        }
    }
}

/// The wall clock went forward: the start lies ahead, and the span begins when it is told of, and ends.
#[test]
fn a_start_told_after_the_wall_clock_went_forward_is_a_start_of_now_and_ends() {
    let mut harness = PolicyHarness::new(settings(), 2);
    harness.warm_up(40);
    quiet(&mut harness, 10 * SECOND);
    let now = harness.now;
    told(&mut harness, EndpointUpdateKind::Delta, now + HOUR);
    is_cold(&mut harness, "stepped forward");
    quiet(&mut harness, settings().slow_start.warm_up_duration);
    let sent = sent_to_the_cold_one(&mut harness, settings().slow_start.overload_duration);
    assert!(sent + 4 >= warm(), "{sent} parts once it is warm, where {} go to a warm one", warm());
}

/// A server that has started once starts again after the wall clock was stepped back by an hour: the second start has an
/// earlier time than the first.
#[test]
fn a_second_start_with_an_earlier_time_is_a_start() {
    let mut harness = PolicyHarness::new(settings(), 2);
    harness.now += 2 * HOUR;
    harness.warm_up(40);
    let now = harness.now;
    told(&mut harness, EndpointUpdateKind::Delta, now);
    quiet(&mut harness, settings().slow_start.warm_up_duration + SECOND);
    harness.warm_up(40);
    let now = harness.now;
    told(&mut harness, EndpointUpdateKind::Delta, now - HOUR);
    is_cold(&mut harness, "the second start");
}

/// The same start told again is no news: a whole list after a broken watch makes nobody cold, and neither does one without
/// the time.
#[test]
fn a_start_that_is_known_is_not_told_anew() {
    let mut harness = PolicyHarness::new(settings(), 2);
    let start = harness.now;
    told(&mut harness, EndpointUpdateKind::Delta, start);
    quiet(&mut harness, settings().slow_start.warm_up_duration + SECOND);
    harness.warm_up(40);
    for time in [start, 0, start] {
        told(&mut harness, EndpointUpdateKind::Snapshot, time);
        let sent = sent_to_the_cold_one(&mut harness, settings().slow_start.overload_duration);
        assert!(sent + 4 >= warm(), "{sent} parts, where {} go to a warm one", warm());
    }
}

/// A coordinator that has just started believes the first list: servers that started long ago are warm. Whether the wall
/// clock was stepped before it began cannot be seen by it.
#[test]
fn servers_of_the_first_list_that_started_long_ago_are_warm() {
    for kind in [EndpointUpdateKind::Snapshot, EndpointUpdateKind::Unconfirmed] {
        let mut harness = PolicyHarness::new(settings(), 2);
        harness.policy = curlewdeck_core::Policy::new(settings(), 7).unwrap();
        harness.now += 2 * HOUR;
        let long_ago = harness.now - HOUR;
        told(&mut harness, kind, long_ago);
        told(&mut harness, EndpointUpdateKind::Snapshot, long_ago);
        harness.warm_up(40);
        let sent = sent_to_the_cold_one(&mut harness, settings().slow_start.overload_duration);
        assert!(sent + 4 >= warm(), "{kind:?}: {sent} parts, where {} go to a warm one", warm());
    }
}

/// The list was not heard of for a minute, and in that time the wall clock was stepped back, as the process has seen: what
/// restarted meanwhile cannot be told by its time.
#[test]
fn a_start_after_an_outage_with_a_step_is_a_start_of_now() {
    let mut harness = PolicyHarness::new(settings(), 2);
    harness.warm_up(40);
    quiet(&mut harness, 10 * SECOND);
    harness.pass(60 * SECOND);
    harness.policy.wall_clock_stepped();
    let now = harness.now;
    told(&mut harness, EndpointUpdateKind::Snapshot, now - 30 * SECOND);
    is_cold(&mut harness, "an outage and a step");
}

/// Without a step, a start in an outage is believed: the server is as warm as it says.
#[test]
fn a_start_in_an_outage_is_believed() {
    let mut harness = PolicyHarness::new(settings(), 2);
    harness.warm_up(40);
    quiet(&mut harness, 10 * SECOND);
    harness.pass(60 * SECOND);
    let now = harness.now;
    told(&mut harness, EndpointUpdateKind::Snapshot, now - 30 * SECOND);
    let sent = sent_to_the_cold_one(&mut harness, settings().slow_start.overload_duration);
    assert!(sent + 4 >= warm(), "{sent} parts, where {} go to a warm one", warm());
}
