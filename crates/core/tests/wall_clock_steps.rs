//! Wall clocks may be stepped forward or back while a coordinator runs. A data node that has started is in slow start
//! for the full warm-up duration, whatever Unix time the endpoint list contains for its start.

mod common;

use common::*;
use curlewdeck_core::api::*;

const HOUR: Nanos = 3_600_000 * MS;
const SECOND: Nanos = 1_000 * MS;
const RESTARTED: ServerId = ServerId(1);

/// Serves one-part queries one after the other for `span`, with two servers that hold the shard. Returns the number of
/// attempts sent to the restarted server.
fn sent_to_restarted_server(harness: &mut PolicyHarness, span: Nanos) -> usize {
    let (end, mut sent) = (harness.now + span, 0);
    while harness.now < end {
        let (_, _, actions) = harness.query(0, 1);
        harness.now += 50 * MS;
        let done: Vec<Event> =
            sends(&actions).iter().map(|s| harness.ended(s, 0, Outcome::Success)).collect();
        sent += sends(&actions).iter().filter(|s| s.server == RESTARTED).count();
        harness.round(done);
    }
    sent
}

/// Confirms the endpoint list with an empty update every second for `span`.
fn confirm_list_every_second(harness: &mut PolicyHarness, span: Nanos) {
    let end = harness.now + span;
    while harness.now < end {
        harness.advance(SECOND);
        harness.round(vec![Event::EndpointsUpdated { kind: EndpointUpdateKind::Delta, records: Vec::new() }]);
    }
}

fn update_list(harness: &mut PolicyHarness, kind: EndpointUpdateKind, started_at: Nanos) {
    let started = EndpointRecord { started_at, ..record(1, EndpointState::Active) };
    harness.round(vec![Event::EndpointsUpdated {
        kind,
        records: vec![record(0, EndpointState::Active), started],
    }]);
}

/// Returns the number of attempts sent in one overload window to a server in slow start whose start time is correct.
fn sent_after_correct_start() -> usize {
    let mut harness = PolicyHarness::new(settings(), 2);
    harness.warm_up(40);
    confirm_list_every_second(&mut harness, 10 * SECOND);
    let now = harness.now;
    update_list(&mut harness, EndpointUpdateKind::Delta, now);
    sent_to_restarted_server(&mut harness, settings().slow_start.overload_duration)
}

/// Returns the number of attempts sent to a warm server in the same time.
fn sent_to_warm_server() -> usize {
    let mut harness = PolicyHarness::new(settings(), 2);
    harness.warm_up(40);
    sent_to_restarted_server(&mut harness, settings().slow_start.overload_duration)
}

fn assert_in_slow_start(harness: &mut PolicyHarness, case: &str) {
    let (sent_after_correct_start, sent) = (
        sent_after_correct_start(),
        sent_to_restarted_server(harness, settings().slow_start.overload_duration),
    );
    assert!(
        sent <= sent_after_correct_start + 2,
        "{case}: {sent} parts, but {sent_after_correct_start} with the correct start time"
    );
}

/// The tests below rely on a clear difference between these two counts.
#[test]
fn a_server_in_slow_start_gets_far_less_than_a_warm_one() {
    assert!(
        sent_after_correct_start() + 4 < sent_to_warm_server(),
        "{} and {}",
        sent_after_correct_start(),
        sent_to_warm_server()
    );
}

/// A server restarts after the wall clocks of all machines were stepped back: its reported start time is earlier than
/// the last confirmation of the list.
#[test]
fn a_start_reported_after_a_step_back_counts_from_now() {
    for back in [2 * SECOND, 5 * SECOND, 20 * SECOND, HOUR] {
        for kind in [EndpointUpdateKind::Delta, EndpointUpdateKind::Snapshot] {
            let mut harness = PolicyHarness::new(settings(), 2);
            harness.now += 2 * HOUR;
            harness.warm_up(40);
            confirm_list_every_second(&mut harness, 30 * SECOND);
            let now = harness.now;
            update_list(&mut harness, kind, now - back);
            assert_in_slow_start(&mut harness, &format!("stepped back by {} s, {kind:?}", back / SECOND));
        }
    }
}

/// After a step forward, the reported start time is in the future. Slow start begins when the start is reported, and
/// ends after the warm-up duration.
#[test]
fn a_start_reported_after_a_step_forward_counts_from_now_and_slow_start_ends() {
    let mut harness = PolicyHarness::new(settings(), 2);
    harness.warm_up(40);
    confirm_list_every_second(&mut harness, 10 * SECOND);
    let now = harness.now;
    update_list(&mut harness, EndpointUpdateKind::Delta, now + HOUR);
    assert_in_slow_start(&mut harness, "stepped forward");
    confirm_list_every_second(&mut harness, settings().slow_start.warm_up_duration);
    let sent = sent_to_restarted_server(&mut harness, settings().slow_start.overload_duration);
    assert!(
        sent + 4 >= sent_to_warm_server(),
        "{sent} parts after the warm-up, but {} to a warm server",
        sent_to_warm_server()
    );
}

/// A server restarts after the wall clock was stepped back by an hour: its second start has an earlier time than the
/// first.
#[test]
fn a_second_start_with_an_earlier_time_begins_slow_start() {
    let mut harness = PolicyHarness::new(settings(), 2);
    harness.now += 2 * HOUR;
    harness.warm_up(40);
    let now = harness.now;
    update_list(&mut harness, EndpointUpdateKind::Delta, now);
    confirm_list_every_second(&mut harness, settings().slow_start.warm_up_duration + SECOND);
    harness.warm_up(40);
    let now = harness.now;
    update_list(&mut harness, EndpointUpdateKind::Delta, now - HOUR);
    assert_in_slow_start(&mut harness, "the second start");
}

/// A snapshot after a broken watch repeats known start times, or lacks them: neither begins another slow start.
#[test]
fn a_known_start_does_not_begin_slow_start_again() {
    let mut harness = PolicyHarness::new(settings(), 2);
    let start = harness.now;
    update_list(&mut harness, EndpointUpdateKind::Delta, start);
    confirm_list_every_second(&mut harness, settings().slow_start.warm_up_duration + SECOND);
    harness.warm_up(40);
    for time in [start, 0, start] {
        update_list(&mut harness, EndpointUpdateKind::Snapshot, time);
        let sent = sent_to_restarted_server(&mut harness, settings().slow_start.overload_duration);
        assert!(
            sent + 4 >= sent_to_warm_server(),
            "{sent} parts, but {} to a warm server",
            sent_to_warm_server()
        );
    }
}

/// A coordinator that has just started accepts the start times of its first list: servers that started long ago are
/// warm. It cannot detect steps of the wall clock before its own start.
#[test]
fn servers_of_the_first_list_that_started_long_ago_are_warm() {
    for kind in [EndpointUpdateKind::Snapshot, EndpointUpdateKind::Unconfirmed] {
        let mut harness = PolicyHarness::new(settings(), 2);
        harness.policy = curlewdeck_core::Policy::new(settings(), 7).unwrap();
        harness.now += 2 * HOUR;
        let long_ago = harness.now - HOUR;
        update_list(&mut harness, kind, long_ago);
        update_list(&mut harness, EndpointUpdateKind::Snapshot, long_ago);
        harness.warm_up(40);
        let sent = sent_to_restarted_server(&mut harness, settings().slow_start.overload_duration);
        assert!(
            sent + 4 >= sent_to_warm_server(),
            "{kind:?}: {sent} parts, but {} to a warm server",
            sent_to_warm_server()
        );
    }
}

/// The list was not confirmed for a minute, and the process detected a step back of the wall clock in that time: start
/// times from the outage are not reliable.
#[test]
fn a_start_after_an_outage_with_a_clock_step_counts_from_now() {
    let mut harness = PolicyHarness::new(settings(), 2);
    harness.warm_up(40);
    confirm_list_every_second(&mut harness, 10 * SECOND);
    harness.advance(60 * SECOND);
    harness.policy.wall_clock_stepped();
    let now = harness.now;
    update_list(&mut harness, EndpointUpdateKind::Snapshot, now - 30 * SECOND);
    assert_in_slow_start(&mut harness, "an outage and a step");
}

/// Without a clock step, the reported start time of a server that restarted during an outage of discovery is used.
#[test]
fn a_start_time_in_an_outage_without_a_clock_step_is_accepted() {
    let mut harness = PolicyHarness::new(settings(), 2);
    harness.warm_up(40);
    confirm_list_every_second(&mut harness, 10 * SECOND);
    harness.advance(60 * SECOND);
    let now = harness.now;
    update_list(&mut harness, EndpointUpdateKind::Snapshot, now - 30 * SECOND);
    let sent = sent_to_restarted_server(&mut harness, settings().slow_start.overload_duration);
    assert!(
        sent + 4 >= sent_to_warm_server(),
        "{sent} parts, but {} to a warm server",
        sent_to_warm_server()
    );
}
