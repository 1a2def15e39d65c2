//! Hedging: the conditions under which a second attempt of a part is sent while the first is in flight.

mod common;

use common::*;
use curlewdeck_core::api::*;

#[test]
fn a_completed_part_permits_one_hedge_after_the_hedge_delay_and_the_loser_is_cancelled() {
    let mut harness = PolicyHarness::new(settings(), 3);
    harness.warm_up(40);
    let (query, _, actions) = harness.query(0, 2);
    let first = sends(&actions);
    harness.now += 90 * MS;
    let early = harness.round(vec![harness.ended(&first[0], 0, Outcome::Success)]);
    assert!(sends(&early).is_empty(), "no hedge before the hedge delay");
    let later = harness.advance(30 * MS);
    let hedges = sends(&later);
    assert_eq!(hedges.len(), 1);
    assert_eq!(hedges[0].part, first[1].part);
    assert_ne!(hedges[0].server, first[1].server);
    assert!(sends(&harness.advance(100 * MS)).is_empty(), "a part gets only one hedge");
    let end = harness.round(vec![harness.ended(&hedges[0], 1, Outcome::Success)]);
    assert!(end.contains(&Action::CancelAttempt { part: first[1].part, attempt: 0 }));
    assert!(end.contains(&Action::Answer { query, complete: true }));
}

#[test]
fn a_part_without_a_completed_sibling_is_not_hedged() {
    let mut harness = PolicyHarness::new(settings(), 3);
    harness.warm_up(40);
    harness.query(0, 2);
    assert!(sends(&harness.advance(300 * MS)).is_empty());
}

#[test]
fn parts_are_not_hedged_under_overload() {
    let mut harness = PolicyHarness::new(settings(), 3);
    harness.warm_up(40);
    for _ in 0..9 {
        let (_, _, actions) = harness.query(0, 1);
        harness.now += 600 * MS;
        let done =
            sends(&actions).iter().map(|s| harness.ended_after(s, 0, Outcome::Success, 600 * MS)).collect();
        harness.round(done);
    }
    let (_, _, actions) = harness.query(0, 2);
    let first = sends(&actions);
    harness.round(vec![harness.ended(&first[0], 0, Outcome::Success)]);
    assert!(sends(&harness.advance(1100 * MS)).is_empty());
}

/// A hedge must not open a connection for work that may turn out to be unnecessary: with a hundred coordinators, each
/// new connection costs its data node a handshake, and the attempt may start only after the query has ended. An overdue
/// part is hedged over an open connection; without one, its attempt is cancelled and retried at another server.
#[test]
fn a_hedge_uses_only_open_connections() {
    for (idle_timeout, cancelled) in [(30_000 * MS, 0), (50 * MS, 1)] {
        let mut harness =
            PolicyHarness::new(Settings { connection_idle_timeout: Some(idle_timeout), ..settings() }, 2);
        for _ in 0..12 {
            let sent = [harness.query(0, 1).2, harness.query(0, 1).2].map(|actions| sends(&actions)[0]);
            assert_ne!(sent[0].server, sent[1].server);
            harness.now += 100 * MS;
            harness.round(sent.map(|s| harness.ended(&s, 0, Outcome::Success)).to_vec());
        }
        harness.query(0, 1);
        let later = harness.advance(600 * MS);
        let cancels = later.iter().filter(|a| matches!(a, Action::CancelAttempt { .. })).count();
        assert_eq!((sends(&later).len(), cancels), (1, cancelled), "idle timeout {idle_timeout}");
    }
}
