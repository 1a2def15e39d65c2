//! Concurrency limits: on all attempts in flight, and on those in flight at one server.

mod common;

use common::*;
use curlewdeck_core::api::*;

#[test]
fn attempts_in_flight_at_a_server_are_limited_and_the_rest_are_queued() {
    let mut harness = PolicyHarness::new(settings(), 1);
    let sent: usize = (0..20).map(|_| sends(&harness.query(0, 1).2).len()).sum();
    assert!((1..10).contains(&sent), "{sent} in flight at once");
}

#[test]
fn attempts_of_ended_queries_do_not_exclude_a_server_permanently() {
    let mut harness = PolicyHarness::new(settings(), 1);
    harness.warm_up(12);
    for _ in 0..3 {
        let (_, _, actions) = harness.query(0, 1);
        harness.advance(1210 * MS);
        let cancelled = sends(&actions).iter().map(|s| harness.ended(s, 0, Outcome::Cancelled)).collect();
        harness.round(cancelled);
    }
    harness.advance(4000 * MS);
    let (_, _, actions) = harness.query(0, 1);
    assert_eq!(sends(&actions).len(), 1);
}

#[test]
fn attempts_at_a_server_that_rejects_are_paced_with_many_coordinators() {
    let mut settings = settings();
    settings.coordinators = 60;
    let mut harness = PolicyHarness::new(settings, 1);
    harness.warm_up(20);
    let mut sent = 0;
    let begin = harness.now;
    while harness.now < begin + 3000 * MS {
        let (_, _, actions) = harness.query(0, 1);
        let rejections: Vec<Event> =
            sends(&actions).iter().map(|s| harness.ended(s, 0, Outcome::Rejected)).collect();
        sent += rejections.len();
        let retries = sends(&harness.round(rejections));
        sent += retries.len();
        let rejections = retries.iter().map(|s| harness.ended(s, 1, Outcome::Rejected)).collect();
        harness.round(rejections);
        harness.now += 50 * MS;
    }
    assert!((1..12).contains(&sent), "{sent} attempts in three seconds");
}

#[test]
fn overload_lowers_the_in_flight_limit() {
    let mut harness = PolicyHarness::new(Settings { max_open: 48, ..settings() }, 6);
    harness.warm_up(40);
    let normal: usize = (0..8).map(|_| sends(&harness.query(0, 1).2).len()).sum();
    let mut harness = PolicyHarness::new(Settings { max_open: 48, ..settings() }, 6);
    harness.warm_up(40);
    for _ in 0..32 {
        let (_, _, actions) = harness.query(0, 1);
        harness.now += 700 * MS;
        let done =
            sends(&actions).iter().map(|s| harness.ended_after(s, 0, Outcome::Success, 700 * MS)).collect();
        harness.round(done);
    }
    let overloaded: usize = (0..12).map(|_| sends(&harness.query(0, 1).2).len()).sum();
    assert!(normal == 8 && overloaded < 8, "{normal} and {overloaded}");
}

#[test]
fn parts_with_constant_long_latency_do_not_count_as_overload() {
    let mut settings = settings();
    settings.coordinators = 60;
    let mut harness = PolicyHarness::new(settings, 4);
    let mut first_sends = 0;
    for _ in 0..60 {
        let (_, _, actions) = harness.query(0, 1);
        first_sends += sends(&actions).len();
        harness.now += 500 * MS;
        let done =
            sends(&actions).iter().map(|s| harness.ended_after(s, 0, Outcome::Success, 500 * MS)).collect();
        harness.round(done);
    }
    assert!(first_sends > 50, "{first_sends} of 60 were sent immediately");
}
