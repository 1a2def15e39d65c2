//! Retries: when a part is attempted again, by which rules of its class and on which budget.

mod common;

use common::*;
use curlewdeck_core::api::*;

#[test]
fn an_overdue_part_is_retried_elsewhere_within_its_latency_objective() {
    let mut harness = PolicyHarness::new(settings(), 3);
    harness.warm_up(40);
    let (_, _, actions) = harness.query(0, 1);
    let first = sends(&actions);
    let later = sends(&harness.pass(600 * MS));
    assert_eq!(later.len(), 1);
    assert_ne!(later[0].server, first[0].server);
}

#[test]
fn a_silent_part_is_retried_in_time_even_if_the_hedge_delay_exceeds_the_objective() {
    let mut harness = PolicyHarness::new(settings(), 4);
    harness.warm_up(20);
    for n in 0..40 {
        let (_, _, actions) = harness.query(1, 1);
        let sent = sends(&actions);
        // One in eight of an unrepeatable class is never answered: it counts at its age when given up.
        harness.now += if n % 8 == 0 { 1200 } else { 100 } * MS;
        let outcome = if n % 8 == 0 { Outcome::TimedOut } else { Outcome::Success };
        let latency = if n % 8 == 0 { 1200 * MS } else { 100 * MS };
        harness.round(sent.iter().map(|s| harness.ended_after(s, 0, outcome, latency)).collect());
        harness.pass(50 * MS);
    }
    let (_, _, actions) = harness.query(0, 1);
    assert_eq!(sends(&actions).len(), 1);
    assert!(sends(&harness.pass(450 * MS)).is_empty(), "not before it is overdue");
    assert_eq!(sends(&harness.pass(250 * MS)).len(), 1, "but while there is time");
}

/// Guards deployments that allow neither a cancel nor two attempts of a part at once: an overdue part waits
/// for its end, and is tried again after it only.
#[test]
fn without_cancels_and_hedges_an_overdue_part_is_retried_only_after_its_end() {
    for (may_cancel, may_hedge, sent) in [(false, false, 0), (true, false, 1)] {
        let mut harness = PolicyHarness::new(Settings { may_cancel, may_hedge, ..settings() }, 3);
        harness.warm_up(30);
        let first = sends(&harness.query(0, 1).2)[0];
        assert_eq!(sends(&harness.pass(900 * MS)).len(), sent, "cancel {may_cancel}");
        if sent == 0 {
            let retries = harness.round(vec![harness.ended_after(&first, 0, Outcome::ServerError, 900 * MS)]);
            assert_eq!(sends(&retries).len(), 1);
        }
    }
}

#[test]
fn at_most_once_parts_are_retried_only_if_they_never_ran() {
    for (outcome, retries) in [
        (Outcome::ConnectFailed, 1),
        (Outcome::Rejected, 1),
        (Outcome::ConnectionReset, 0),
        (Outcome::ServerError, 0),
    ] {
        let mut harness = PolicyHarness::new(settings(), 3);
        let (query, _, actions) = harness.query(1, 1);
        let first = sends(&actions);
        let after = harness.round(vec![harness.ended(&first[0], 0, outcome)]);
        assert_eq!(sends(&after).len(), retries, "{outcome:?}");
        assert_eq!(after.contains(&Action::Fail { query }), retries == 0, "{outcome:?}");
    }
}

#[test]
fn deduplicated_parts_are_retried_only_within_their_retry_window() {
    let mut set = settings();
    set.classes[2].latency_objective = 3500 * MS;
    set.classes[2].retry_window = 300 * MS;
    let mut harness = PolicyHarness::new(set, 3);
    let (_, _, actions) = harness.query(2, 1);
    let first = sends(&actions);
    harness.now += 301 * MS;
    assert!(sends(&harness.round(vec![harness.ended(&first[0], 0, Outcome::ServerError)])).is_empty());
}

#[test]
fn a_failed_connect_is_not_retried_at_the_same_server_at_once() {
    let mut harness = PolicyHarness::new(settings(), 1);
    let (query, _, actions) = harness.query(0, 1);
    let first = sends(&actions);
    let after = harness.round(vec![harness.ended(&first[0], 0, Outcome::ConnectFailed)]);
    assert!(sends(&after).is_empty(), "not retried at the dead server in the same tick");
    assert!(!after.iter().any(|a| matches!(a, Action::Reject { query: q, .. } if *q == query)));
    let mut retries = Vec::new();
    for _ in 0..200 {
        retries = sends(&harness.pass(5 * MS));
        if !retries.is_empty() {
            break;
        }
    }
    assert_eq!(retries.len(), 1, "but it is retried in time");
}

#[test]
fn a_spare_part_is_sent_in_place_of_a_failed_one() {
    let mut set = settings();
    set.classes[0].complete_coverage = 0.75;
    set.classes[0].min_coverage = 0.75;
    let mut harness = PolicyHarness::new(set, 6);
    let (query, _, actions) = harness.query(0, 4);
    let first = sends(&actions);
    assert_eq!(first.len(), 3);
    let spares = sends(&harness.round(vec![harness.ended(&first[0], 0, Outcome::ServerError)]));
    assert_eq!(spares.len(), 1);
    assert!(first.iter().all(|s| s.part != spares[0].part));
    let done = vec![
        harness.ended(&first[1], 0, Outcome::Success),
        harness.ended(&first[2], 0, Outcome::Success),
        harness.ended(&spares[0], 0, Outcome::Success),
    ];
    assert!(harness.round(done).contains(&Action::Answer { query, complete: true }));
}

/// Guards against sending a query round the servers that breaks every connection it goes over.
#[test]
fn a_poison_query_is_not_retried() {
    let mut harness = PolicyHarness::new(settings(), 6);
    harness.warm_up(20);
    let (query, _, actions) = harness.query(0, 2);
    let first = sends(&actions);
    let retries =
        sends(&harness.round(first.iter().map(|s| harness.ended(s, 0, Outcome::ConnectionReset)).collect()));
    assert_eq!(retries.len(), 2, "one connection each may break for any reason");
    let end = harness.round(vec![harness.ended(&retries[0], 1, Outcome::ConnectionReset)]);
    assert!(sends(&end).is_empty());
    let end: Vec<Action> = end
        .into_iter()
        .chain(harness.round(vec![harness.ended(&retries[1], 1, Outcome::ConnectionReset)]))
        .collect();
    assert!(end.iter().any(|a| matches!(a, Action::Reject { query: q, .. } if *q == query)), "ends at once");
}

/// Attempts beyond the first for a query of four parts of which one is answered and three stay silent.
fn further_attempts(min_coverage: f64) -> usize {
    let class = Class { min_coverage, ..class(RetrySafety::Idempotent) };
    let budget = Some(RetryBudget { window: 5000 * MS, base_attempts: 2.0, ratio: 0.0 });
    let mut harness =
        PolicyHarness::new(Settings { classes: vec![class], retry_budget: budget, ..settings() }, 12);
    harness.warm_up(20);
    let (_, _, actions) = harness.query(0, 4);
    let first = sends(&actions);
    harness.now += 100 * MS;
    let mut further = sends(&harness.round(vec![harness.ended(&first[0], 0, Outcome::Success)])).len();
    further += sends(&harness.pass(700 * MS)).len();
    further
}

#[test]
fn the_last_of_the_retry_budget_is_kept_for_queries_without_an_answer() {
    assert_eq!(further_attempts(1.0), 2);
    assert_eq!(further_attempts(0.5), 2, "its least coverage is not complete yet");
    assert_eq!(further_attempts(0.25), 1);
}

/// Guards against giving up queries whose parts were rejected unseen by full servers, as happens to many
/// coordinators at once: where the settings have no budget, only retries that repeat work count towards the
/// bound of our own.
#[test]
fn a_rejected_part_is_retried_without_a_charge_to_the_budget() {
    let count_retries = |outcome| {
        let mut harness = PolicyHarness::new(Settings { retry_budget: None, ..settings() }, 60);
        let mut retries = 0;
        for _ in 0..20 {
            let first = sends(&harness.query(0, 1).2);
            let ended = first.iter().map(|s| harness.ended_after(s, 0, outcome, MS)).collect();
            retries += sends(&harness.round(ended)).len();
            harness.now += 10 * MS;
        }
        retries
    };
    let (never_ran, run) = (count_retries(Outcome::Rejected), count_retries(Outcome::ServerError));
    assert!(never_ran > 15 && run < 15, "{never_ran} of 20 rejected, {run} of 20 that failed");
}

/// Guards against a budget that is counted over the window of the settings from the start, once others are in force.
#[test]
fn the_retry_budget_is_counted_over_the_window_of_the_settings_in_force() {
    let with_window = |window| {
        let retry_budget = Some(RetryBudget { window, base_attempts: 2.0, ratio: 0.0 });
        Settings { retry_budget, ..settings() }
    };
    let mut harness = PolicyHarness::new(with_window(5000 * MS), 60);
    harness.policy.update_settings(with_window(20_000 * MS));
    let mut retries_of = |queries: usize| {
        let mut retries = 0;
        for _ in 0..queries {
            let first = sends(&harness.query(0, 1).2)[0];
            retries += sends(&harness.round(vec![harness.ended(&first, 0, Outcome::ServerError)])).len();
            harness.now += 10 * MS;
        }
        harness.now += 6000 * MS;
        retries
    };
    assert_eq!([(); 5].map(|()| retries_of(5)), [2, 0, 0, 0, 2]);
}
