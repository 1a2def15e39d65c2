//! The estimate of client timeouts, which identifies unmarked client retries.

mod common;

use common::*;
use curlewdeck_core::api::*;

#[test]
fn a_client_retry_past_the_latency_objective_is_rejected_immediately() {
    let mut harness = PolicyHarness::new(settings(), 3);
    harness.warm_up(40);
    let (query, actions) = query_with_deadline(&mut harness, 1, 2000 * MS, false);
    assert!(sends(&actions).is_empty());
    assert!(actions.iter().any(|a| matches!(a, Action::Reject { query: q, .. } if *q == query)));
}

#[test]
fn short_timeouts_are_served_if_they_are_common_or_retries_are_marked() {
    let mut harness = PolicyHarness::new(settings(), 3);
    for i in 0..40 {
        // Every eighth client has a longer timeout; the others still do not count as retries.
        let client_timeout = if i % 8 == 0 { 4000 * MS } else { 2000 * MS };
        let (_, actions) = query_with_deadline(&mut harness, 1, client_timeout, false);
        assert_eq!(sends(&actions).len(), 1, "{i}: {actions:?}");
        harness.now += 100 * MS;
        let done = sends(&actions).iter().map(|s| harness.ended(s, 0, Outcome::Success)).collect();
        harness.round(done);
    }
    let mut harness = PolicyHarness::new(Settings { clients_mark_retries: true, ..settings() }, 3);
    harness.warm_up(40);
    let (_, actions) = query_with_deadline(&mut harness, 1, 500 * MS, false);
    assert_eq!(sends(&actions).len(), 1, "a short timeout does not count as a retry if clients mark retries");
}
