//! Complete answers, partial answers, answers of two-phase queries, and queries that end without an answer.

mod common;

use common::*;
use curlewdeck_core::api::*;

/// Completes one of a query's two parts, then advances the time by up to `span`. Returns the query's age when it was
/// answered, and whether the answer was complete; `None` if it was not answered.
fn answered_at(settings: Settings, span: Nanos) -> Option<(Nanos, bool)> {
    let mut harness = PolicyHarness::new(settings, 4);
    harness.warm_up(20);
    let (_, _, actions) = harness.query(0, 2);
    let start = harness.now;
    let first = sends(&actions);
    harness.now += 100 * MS;
    harness.round(vec![harness.ended(&first[0], 0, Outcome::Success)]);
    while harness.now < start + span {
        let actions = harness.advance(5 * MS);
        let complete = actions.iter().find_map(|a| match a {
            Action::Answer { complete, .. } => Some(*complete),
            _ => None,
        });
        if let Some(complete) = complete {
            return Some((harness.now - start, complete));
        }
    }
    None
}

#[test]
fn a_partial_answer_is_given_within_the_objective_where_late_answers_earn_less() {
    let (at, complete) = answered_at(partial(0.3), 3900 * MS).expect("answered");
    assert!((1150 * MS..1200 * MS).contains(&at), "{at}");
    assert!(!complete);
}

#[test]
fn a_query_waits_past_its_objective_where_a_late_complete_answer_earns_more() {
    assert_eq!(answered_at(partial(0.9), 2000 * MS), None);
    assert_eq!(
        answered_at(Settings { classes: vec![class(RetrySafety::Idempotent)], ..settings() }, 3900 * MS),
        None
    );
}

#[test]
fn a_partial_answer_is_given_at_the_latency_objective_and_marked_incomplete() {
    let mut settings = settings();
    settings.classes[0].min_coverage = 0.5;
    let mut harness = PolicyHarness::new(settings, 2);
    let (query, _, actions) = harness.query(0, 2);
    harness.round(vec![harness.ended(&sends(&actions)[0], 0, Outcome::Success)]);
    assert!(harness.advance(1300 * MS).contains(&Action::Answer { query, complete: false }));
}

#[test]
fn an_attempt_times_out_when_its_answer_can_no_longer_earn_value() {
    for (late_value_ratio, timeout) in [(0.1, 1200), (0.3, 4000)] {
        let mut harness = PolicyHarness::new(partial(late_value_ratio), 4);
        let (_, _, actions) = harness.query(0, 1);
        let sent_timeout = actions.iter().find_map(|a| match a {
            Action::StartAttempt { timeout, .. } => Some(*timeout),
            _ => None,
        });
        assert_eq!(sent_timeout, Some(timeout * MS));
    }
}

#[test]
fn a_second_phase_is_sent_and_answered() {
    let mut settings = settings();
    settings.classes[0].second_phase_parts = 1;
    let mut harness = PolicyHarness::new(settings, 3);
    let (query, _, actions) = harness.query(0, 1);
    let done = vec![harness.ended(&sends(&actions)[0], 0, Outcome::Success)];
    assert!(harness.round(done).contains(&Action::Answer { query, complete: true }));
    let part = PartId(900);
    let more =
        sends(&harness.round(vec![Event::PartArrived { id: part, query, shard: ShardId(0), weight: 1.0 }]));
    assert_eq!(more.len(), 1);
    let done = vec![harness.ended(&more[0], 0, Outcome::Success)];
    assert!(harness.round(done).contains(&Action::Answer { query, complete: true }));
}

#[test]
fn an_at_most_once_query_that_may_have_run_fails_instead_of_being_rejected() {
    let mut harness = PolicyHarness::new(settings(), 3);
    let (query, _, _) = harness.query(1, 1);
    let end = harness.advance(1300 * MS);
    assert!(end.contains(&Action::Fail { query }));
    assert!(!end.iter().any(|a| matches!(a, Action::Reject { .. })));
}

#[test]
fn a_query_that_cannot_be_served_is_rejected_once_with_a_retry_after() {
    let mut harness = PolicyHarness::new(settings(), 0);
    let (query, _, _) = harness.query(0, 2);
    let end = harness.advance(1300 * MS);
    let rejected = |a: &&Action| matches!(a, Action::Reject { query: q, retry_after } if *q == query && *retry_after > 0);
    assert_eq!(end.iter().filter(rejected).count(), 1);
}

/// The policy reviews all open queries in one round a tick. A round for each query would cost too much CPU time, since
/// a coordinator has only part of a core.
#[test]
fn open_queries_are_reviewed_together() {
    let mut harness = PolicyHarness::new(settings(), 3);
    harness.warm_up(20);
    for _ in 0..20 {
        harness.now += 300_000;
        harness.query(0, 2);
    }
    // The only events are the policy's own timers; each round sets the next one.
    let (mut rounds, end) = (0, harness.now + 200 * MS);
    let mut next = harness.now + MS;
    while next < end {
        harness.now = next;
        let actions = harness.round(vec![Event::TimerFired]);
        let after =
            actions
                .iter()
                .filter_map(|a| if let Action::SetTimer { after } = a { Some(*after) } else { None });
        next = harness.now + after.min().expect("a timer is set while queries are open");
        rounds += 1;
    }
    assert!(rounds <= 200 / 5 + 2, "{rounds} rounds in 40 ticks");
}

/// Submits a client's retry of a query. Returns its id and its canary part, which is sent first.
fn retried_query(harness: &mut PolicyHarness, parts: u64) -> (QueryId, Sent) {
    let (query, mut events) = harness.query_events(0, parts);
    if let Event::QueryArrived { is_retry, .. } = &mut events[0] {
        *is_retry = true;
    }
    let canary = sends(&harness.round(events));
    assert_eq!(canary.len(), 1, "only the canary part is sent first");
    (query, canary[0])
}

/// Runs the second phase of a query. Returns the number of answers after its first phase.
fn answers_of_second_phase(harness: &mut PolicyHarness, query: QueryId) -> usize {
    let part = Event::PartArrived { id: PartId(900), query, shard: ShardId(0), weight: 1.0 };
    let mut actions = harness.round(vec![part]);
    let second = sends(&actions);
    assert_eq!(second.iter().map(|s| s.part).collect::<Vec<_>>(), [PartId(900)], "{actions:?}");
    actions.extend(harness.round(vec![harness.ended(&second[0], 0, Outcome::Success)]));
    actions.iter().filter(|a| matches!(a, Action::Answer { .. })).count()
}

/// A query that returned to admission after its first phase would be answered twice from that phase, and its second
/// phase would never be sent.
#[test]
fn a_retry_whose_canary_part_completes_the_first_phase_starts_the_second() {
    let mut settings = settings();
    settings.classes[0].second_phase_parts = 1;
    let mut harness = PolicyHarness::new(settings, 3);
    let (query, canary) = retried_query(&mut harness, 1);
    let actions = harness.round(vec![harness.ended(&canary, 0, Outcome::Success)]);
    assert_eq!(actions.iter().filter(|a| matches!(a, Action::Answer { .. })).count(), 1, "{actions:?}");
    assert_eq!(answers_of_second_phase(&mut harness, query), 1);
}

/// The same failure for a first phase that gets a partial answer while its other parts wait for admission: these parts
/// must not be sent.
#[test]
fn a_query_whose_first_phase_is_partially_answered_while_queued_starts_the_second() {
    let mut settings = settings();
    settings.classes[0].second_phase_parts = 1;
    settings.classes[0].min_coverage = 0.2;
    let mut harness = PolicyHarness::new(settings, 3);
    let (query, canary) = retried_query(&mut harness, 4);
    // The endpoint list expires as the canary part completes, so the other parts stay queued until it is too late.
    let done = harness.ended(&canary, 0, Outcome::Success);
    let mut actions = harness.round(vec![Event::EndpointListExpired, done]);
    harness.now += 1190 * MS;
    let restored = Event::EndpointsUpdated { kind: EndpointUpdateKind::Delta, records: Vec::new() };
    actions.extend(harness.round(vec![restored]));
    assert!(actions.contains(&Action::Answer { query, complete: false }), "{actions:?}");
    assert!(sends(&actions).is_empty(), "{actions:?}");
    assert_eq!(answers_of_second_phase(&mut harness, query), 1);
}

/// A rejection promises the client that a retry is safe. An at-most-once query whose first phase has run must fail
/// instead, even if the second phase never ran.
#[test]
fn an_at_most_once_query_whose_second_phase_never_ran_fails() {
    let mut settings = settings();
    settings.classes[1].second_phase_parts = 1;
    let mut harness = PolicyHarness::new(settings, 3);
    let (query, _, actions) = harness.query(1, 1);
    harness.round(vec![harness.ended(&sends(&actions)[0], 0, Outcome::Success)]);
    let part = Event::PartArrived { id: PartId(900), query, shard: ShardId(0), weight: 1.0 };
    let mut second = sends(&harness.round(vec![part]));
    let mut end = Vec::new();
    for attempt in 0..3 {
        assert_eq!(second.len(), 1, "attempt {attempt}");
        end = harness.round(vec![harness.ended(&second[0], attempt, Outcome::Rejected)]);
        while sends(&end).is_empty()
            && !end.contains(&Action::Fail { query })
            && harness.now < START + 4000 * MS
        {
            end.extend(harness.advance(5 * MS));
        }
        second = sends(&end);
    }
    assert!(end.contains(&Action::Fail { query }), "{end:?}");
    assert!(!end.iter().any(|a| matches!(a, Action::Reject { .. })), "{end:?}");
}
