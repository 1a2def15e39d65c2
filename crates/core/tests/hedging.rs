//! Hedging: when a second attempt at a part is sent, and when not.

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
    let later = harness.pass(30 * MS);
    let hedges = sends(&later);
    assert_eq!(hedges.len(), 1);
    assert_eq!(hedges[0].part, first[1].part);
    assert_ne!(hedges[0].server, first[1].server);
    assert!(sends(&harness.pass(100 * MS)).is_empty(), "one hedge a part");
    let end = harness.round(vec![harness.ended(&hedges[0], 1, Outcome::Success)]);
    assert!(end.contains(&Action::CancelAttempt { part: first[1].part, attempt: 0 }));
    assert!(end.contains(&Action::Answer { query, complete: true }));
}

#[test]
fn there_is_no_hedge_without_a_completed_sibling() {
    let mut harness = PolicyHarness::new(settings(), 3);
    harness.warm_up(40);
    harness.query(0, 2);
    assert!(sends(&harness.pass(300 * MS)).is_empty());
}

#[test]
fn there_is_no_hedge_under_overload() {
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
    assert!(sends(&harness.pass(1100 * MS)).is_empty());
}

/// Guards against opening connections for work that may prove needless: a hundred that do cost their nodes a
/// handshake each, and what is sent on a new connection may begin when its query is over. The hedge of an
/// overdue part goes over an open connection; without one the part is cancelled and tried elsewhere.
#[test]
fn a_hedge_uses_an_open_connection_only() {
    for (idle, cancelled) in [(30_000 * MS, 0), (50 * MS, 1)] {
        let mut harness =
            PolicyHarness::new(Settings { connection_idle_timeout: Some(idle), ..settings() }, 2);
        for _ in 0..12 {
            let sent = [harness.query(0, 1).2, harness.query(0, 1).2].map(|actions| sends(&actions)[0]);
            assert_ne!(sent[0].server, sent[1].server);
            harness.now += 100 * MS;
            harness.round(sent.map(|s| harness.ended(&s, 0, Outcome::Success)).to_vec());
        }
        harness.query(0, 1);
        let later = harness.pass(600 * MS);
        let cancels = later.iter().filter(|a| matches!(a, Action::CancelAttempt { .. })).count();
        assert_eq!((sends(&later).len(), cancels), (1, cancelled), "idle after {idle}");
    }
}
