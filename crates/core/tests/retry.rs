//! Retries: the conditions under which a part is retried, by the rules of its class and the retry budget.

mod common;

use common::*;
use curlewdeck_core::api::*;

#[test]
fn an_overdue_part_is_retried_elsewhere_within_its_latency_objective() {
    let mut harness = PolicyHarness::new(settings(), 3);
    harness.warm_up(40);
    let (_, _, actions) = harness.query(0, 1);
    let first = sends(&actions);
    let later = sends(&harness.advance(600 * MS));
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
        // One in eight attempts of an at-most-once class gets no response; its age at the timeout counts as latency.
        harness.now += if n % 8 == 0 { 1200 } else { 100 } * MS;
        let outcome = if n % 8 == 0 { Outcome::TimedOut } else { Outcome::Success };
        let latency = if n % 8 == 0 { 1200 * MS } else { 100 * MS };
        harness.round(sent.iter().map(|s| harness.ended_after(s, 0, outcome, latency)).collect());
        harness.advance(50 * MS);
    }
    let (_, _, actions) = harness.query(0, 1);
    assert_eq!(sends(&actions).len(), 1);
    assert!(sends(&harness.advance(450 * MS)).is_empty(), "a part is not retried before it is overdue");
    assert_eq!(
        sends(&harness.advance(250 * MS)).len(),
        1,
        "an overdue part is retried within its latency objective"
    );
}

/// A deployment may allow neither cancellation nor two attempts of a part in flight at once. An overdue part is then
/// retried only after its attempt has ended.
#[test]
fn without_cancellation_and_hedging_an_overdue_part_is_retried_only_after_its_attempt_ended() {
    for (may_cancel, may_hedge, sent) in [(false, false, 0), (true, false, 1)] {
        let mut harness = PolicyHarness::new(Settings { may_cancel, may_hedge, ..settings() }, 3);
        harness.warm_up(30);
        let first = sends(&harness.query(0, 1).2)[0];
        assert_eq!(sends(&harness.advance(900 * MS)).len(), sent, "may_cancel {may_cancel}");
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
    let mut settings = settings();
    settings.classes[2].latency_objective = 3500 * MS;
    settings.classes[2].retry_window = 300 * MS;
    let mut harness = PolicyHarness::new(settings, 3);
    let (_, _, actions) = harness.query(2, 1);
    let first = sends(&actions);
    harness.now += 301 * MS;
    assert!(sends(&harness.round(vec![harness.ended(&first[0], 0, Outcome::ServerError)])).is_empty());
}

#[test]
fn a_failed_connection_is_not_retried_immediately_at_the_same_server() {
    let mut harness = PolicyHarness::new(settings(), 1);
    let (query, _, actions) = harness.query(0, 1);
    let first = sends(&actions);
    let after = harness.round(vec![harness.ended(&first[0], 0, Outcome::ConnectFailed)]);
    assert!(sends(&after).is_empty(), "the part was retried at the failed server in the same tick");
    assert!(!after.iter().any(|a| matches!(a, Action::Reject { query: q, .. } if *q == query)));
    let mut retries = Vec::new();
    for _ in 0..200 {
        retries = sends(&harness.advance(5 * MS));
        if !retries.is_empty() {
            break;
        }
    }
    assert_eq!(retries.len(), 1, "the part is retried later");
}

#[test]
fn a_spare_part_is_sent_in_place_of_a_failed_one() {
    let mut settings = settings();
    settings.classes[0].complete_coverage = 0.75;
    settings.classes[0].min_coverage = 0.75;
    let mut harness = PolicyHarness::new(settings, 6);
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

/// A query that breaks each connection it is sent over would otherwise be retried at one server after another.
#[test]
fn a_poison_query_is_not_retried() {
    let mut harness = PolicyHarness::new(settings(), 6);
    harness.warm_up(20);
    let (query, _, actions) = harness.query(0, 2);
    let first = sends(&actions);
    let retries =
        sends(&harness.round(first.iter().map(|s| harness.ended(s, 0, Outcome::ConnectionReset)).collect()));
    assert_eq!(retries.len(), 2, "each part is retried after its first broken connection");
    let end = harness.round(vec![harness.ended(&retries[0], 1, Outcome::ConnectionReset)]);
    assert!(sends(&end).is_empty());
    let end: Vec<Action> = end
        .into_iter()
        .chain(harness.round(vec![harness.ended(&retries[1], 1, Outcome::ConnectionReset)]))
        .collect();
    assert!(
        end.iter().any(|a| matches!(a, Action::Reject { query: q, .. } if *q == query)),
        "the query is rejected immediately"
    );
}

/// Returns the number of attempts beyond the first for a query with four parts, of which one completes and three get no
/// response.
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
    further += sends(&harness.advance(700 * MS)).len();
    further
}

#[test]
fn the_end_of_the_retry_budget_is_reserved_for_queries_without_an_answer() {
    assert_eq!(further_attempts(1.0), 2);
    assert_eq!(further_attempts(0.5), 2, "the minimum coverage is not reached yet");
    assert_eq!(further_attempts(0.25), 1);
}

/// Full servers reject parts before running them, for many coordinators at once, and the queries must not be given up
/// for it. If the settings have no retry budget, only retries of parts that may have run count towards the policy's own
/// limit.
#[test]
fn retries_of_rejected_parts_are_not_charged_to_the_retry_budget() {
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
    let (never_ran, may_have_run) = (count_retries(Outcome::Rejected), count_retries(Outcome::ServerError));
    assert!(
        never_ran > 15 && may_have_run < 15,
        "retried {never_ran} of 20 rejected parts and {may_have_run} of 20 failed parts"
    );
}

/// After an update of the settings, the budget must not be counted over the window of the original settings.
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
