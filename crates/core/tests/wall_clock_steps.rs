//! Wall clocks may be stepped, forward or back, while a coordinator runs: a data node that has started is
//! in slow start for its span of real time, whatever Unix time the list gives for its start.

mod common;

use common::*;
use curlewdeck_core::api::*;

const HOUR: Nanos = 3_600_000 * MS;
const SECOND: Nanos = 1_000 * MS;
const RESTARTED: ServerId = ServerId(1);

/// How often a server is sent to in `span`, of two that hold the one shard, beside queries one after the
/// other.
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

/// The list's service is heard of every second, without a change, for so long.
fn confirm_list_every_second(harness: &mut PolicyHarness, span: Nanos) {
    let end = harness.now + span;
    while harness.now < end {
        harness.pass(SECOND);
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

/// What a server in slow start is sent within the rule's span when its start is claimed as it is.
fn sent_after_honest_start() -> usize {
    let mut harness = PolicyHarness::new(settings(), 2);
    harness.warm_up(40);
    confirm_list_every_second(&mut harness, 10 * SECOND);
    let now = harness.now;
    update_list(&mut harness, EndpointUpdateKind::Delta, now);
    sent_to_restarted_server(&mut harness, settings().slow_start.overload_duration)
}

/// What a warm one is sent in that time.
fn sent_to_warm_server() -> usize {
    let mut harness = PolicyHarness::new(settings(), 2);
    harness.warm_up(40);
    sent_to_restarted_server(&mut harness, settings().slow_start.overload_duration)
}

fn assert_in_slow_start(harness: &mut PolicyHarness, case: &str) {
    let (sent_after_honest_start, sent) = (
        sent_after_honest_start(),
        sent_to_restarted_server(harness, settings().slow_start.overload_duration),
    );
    assert!(
        sent <= sent_after_honest_start + 2,
        "{case}: {sent} parts, where {sent_after_honest_start} go when the start is claimed as it is"
    );
}

/// Both must tell apart what is counted below.
#[test]
fn a_server_in_slow_start_gets_far_less_than_a_warm_one() {
    assert!(
        sent_after_honest_start() + 4 < sent_to_warm_server(),
        "{} and {}",
        sent_after_honest_start(),
        sent_to_warm_server()
    );
}

/// A server restarts after the wall clocks of all machines were stepped back: its start lies before what was
/// heard since.
#[test]
fn a_start_claimed_after_the_wall_clock_went_back_counts_from_now() {
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

/// The wall clock went forward: the start lies ahead, and the slow start begins when it is heard of, and
/// ends.
#[test]
fn a_start_claimed_after_the_wall_clock_went_forward_counts_from_now_and_ends() {
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
        "{sent} parts once it is warm, where {} go to a warm one",
        sent_to_warm_server()
    );
}

/// A server that has started once starts again after the wall clock was stepped back by an hour: the second
/// start has an earlier time than the first.
#[test]
fn a_second_start_with_an_earlier_time_is_a_start() {
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

/// The same start claimed again is no change: a snapshot after a broken watch begins no slow start, and
/// neither does one without the time.
#[test]
fn a_known_start_is_not_counted_anew() {
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
            "{sent} parts, where {} go to a warm one",
            sent_to_warm_server()
        );
    }
}

/// A coordinator that has just started believes the first list: servers that started long ago are warm.
/// Whether the wall clock was stepped before it began cannot be seen by it.
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
            "{kind:?}: {sent} parts, where {} go to a warm one",
            sent_to_warm_server()
        );
    }
}

/// The list was not heard of for a minute, and in that time the wall clock was stepped back, as the process
/// has seen: what restarted meanwhile cannot be known by its time.
#[test]
fn a_start_after_an_outage_with_a_clock_step_counts_from_now() {
    let mut harness = PolicyHarness::new(settings(), 2);
    harness.warm_up(40);
    confirm_list_every_second(&mut harness, 10 * SECOND);
    harness.pass(60 * SECOND);
    harness.policy.wall_clock_stepped();
    let now = harness.now;
    update_list(&mut harness, EndpointUpdateKind::Snapshot, now - 30 * SECOND);
    assert_in_slow_start(&mut harness, "an outage and a step");
}

/// Without a step, a start in an outage is believed: the server is as warm as it says.
#[test]
fn a_start_in_an_outage_is_believed() {
    let mut harness = PolicyHarness::new(settings(), 2);
    harness.warm_up(40);
    confirm_list_every_second(&mut harness, 10 * SECOND);
    harness.pass(60 * SECOND);
    let now = harness.now;
    update_list(&mut harness, EndpointUpdateKind::Snapshot, now - 30 * SECOND);
    let sent = sent_to_restarted_server(&mut harness, settings().slow_start.overload_duration);
    assert!(
        sent + 4 >= sent_to_warm_server(),
        "{sent} parts, where {} go to a warm one",
        sent_to_warm_server()
    );
}
