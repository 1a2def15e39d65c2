//! Answers: complete, partial, of two phases, and the end of queries without one.

mod common;

use common::*;
use curlewdeck_core::api::*;

/// Passes the first of the query's sends, then lets time go on; returns the age at which it was answered.
fn answered_at(set: Settings, span: Nanos) -> Option<(Nanos, bool)> {
    let mut harness = PolicyHarness::new(set, 4);
    harness.warm_up(20);
    let (_, _, actions) = harness.query(0, 2);
    let start = harness.now;
    let first = sends(&actions);
    harness.now += 100 * MS;
    harness.round(vec![harness.ended(&first[0], 0, Outcome::Success)]);
    while harness.now < start + span {
        let actions = harness.pass(5 * MS);
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
fn a_partial_answer_is_given_when_time_is_up_and_marked_incomplete() {
    let mut set = settings();
    set.classes[0].min_coverage = 0.5;
    let mut harness = PolicyHarness::new(set, 2);
    let (query, _, actions) = harness.query(0, 2);
    harness.round(vec![harness.ended(&sends(&actions)[0], 0, Outcome::Success)]);
    assert!(harness.pass(1300 * MS).contains(&Action::Answer { query, complete: false }));
}

#[test]
fn an_attempt_times_out_when_its_answer_can_earn_nothing_more() {
    for (late_value_ratio, timeout) in [(0.1, 1200), (0.3, 4000)] {
        let mut harness = PolicyHarness::new(partial(late_value_ratio), 4);
        let (_, _, actions) = harness.query(0, 1);
        let lasts = actions.iter().find_map(|a| match a {
            Action::StartAttempt { timeout, .. } => Some(*timeout),
            _ => None,
        });
        assert_eq!(lasts, Some(timeout * MS));
    }
}

#[test]
fn a_second_phase_is_sent_and_answered() {
    let mut set = settings();
    set.classes[0].second_phase_parts = 1;
    let mut harness = PolicyHarness::new(set, 3);
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
    let end = harness.pass(1300 * MS);
    assert!(end.contains(&Action::Fail { query }));
    assert!(!end.iter().any(|a| matches!(a, Action::Reject { .. })));
}

#[test]
fn a_query_that_is_given_up_is_rejected_once_with_a_retry_after() {
    let mut harness = PolicyHarness::new(settings(), 0);
    let (query, _, _) = harness.query(0, 2);
    let end = harness.pass(1300 * MS);
    let rejected = |a: &&Action| matches!(a, Action::Reject { query: q, retry_after } if *q == query && *retry_after > 0);
    assert_eq!(end.iter().filter(rejected).count(), 1);
}

/// Guards against a round for each open query where one a tick does: the coordinator has part of a core.
#[test]
fn open_queries_are_reviewed_together() {
    let mut harness = PolicyHarness::new(settings(), 3);
    harness.warm_up(20);
    for _ in 0..20 {
        harness.now += 300_000;
        harness.query(0, 2);
    }
    // Only the policy's own timers wake it: the next is due where the last asked for it.
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

/// A client's retry of a query: its id, and its canary part as it is sent ahead.
fn retried_query(harness: &mut PolicyHarness, parts: u64) -> (QueryId, Sent) {
    let (query, mut events) = harness.query_events(0, parts);
    if let Event::QueryArrived { is_retry, .. } = &mut events[0] {
        *is_retry = true;
    }
    let canary = sends(&harness.round(events));
    assert_eq!(canary.len(), 1, "one part is sent ahead");
    (query, canary[0])
}

/// Sends and serves the second phase of a query; returns how often it was answered after its first phase.
fn answers_of_second_phase(harness: &mut PolicyHarness, query: QueryId) -> usize {
    let part = Event::PartArrived { id: PartId(900), query, shard: ShardId(0), weight: 1.0 };
    let mut actions = harness.round(vec![part]);
    let second = sends(&actions);
    assert_eq!(second.iter().map(|s| s.part).collect::<Vec<_>>(), [PartId(900)], "{actions:?}");
    actions.extend(harness.round(vec![harness.ended(&second[0], 0, Outcome::Success)]));
    actions.iter().filter(|a| matches!(a, Action::Answer { .. })).count()
}

/// Guards against a query that goes back to admission after its first phase: it is answered twice by that phase, and the
/// second is never sent.
#[test]
fn a_retry_whose_canary_part_completes_the_first_phase_goes_on_to_the_second() {
    let mut set = settings();
    set.classes[0].second_phase_parts = 1;
    let mut harness = PolicyHarness::new(set, 3);
    let (query, canary) = retried_query(&mut harness, 1);
    let actions = harness.round(vec![harness.ended(&canary, 0, Outcome::Success)]);
    assert_eq!(actions.iter().filter(|a| matches!(a, Action::Answer { .. })).count(), 1, "{actions:?}");
    assert_eq!(answers_of_second_phase(&mut harness, query), 1);
}

/// Guards the same where the first phase is answered in part while the rest of it waits for admission: no more of that
/// phase is sent.
#[test]
fn a_first_phase_that_is_answered_in_part_while_it_is_queued_goes_on_to_the_second() {
    let mut set = settings();
    set.classes[0].second_phase_parts = 1;
    set.classes[0].min_coverage = 0.2;
    let mut harness = PolicyHarness::new(set, 3);
    let (query, canary) = retried_query(&mut harness, 4);
    // The list expires as the canary part completes, so the rest stays queued until it is too late for it.
    let done = harness.ended(&canary, 0, Outcome::Success);
    let mut actions = harness.round(vec![Event::EndpointListExpired, done]);
    harness.now += 1190 * MS;
    let restored = Event::EndpointsUpdated { kind: EndpointUpdateKind::Delta, records: Vec::new() };
    actions.extend(harness.round(vec![restored]));
    assert!(actions.contains(&Action::Answer { query, complete: false }), "{actions:?}");
    assert!(sends(&actions).is_empty(), "{actions:?}");
    assert_eq!(answers_of_second_phase(&mut harness, query), 1);
}

/// Guards against telling a client that a retry is harmless where the first phase has run and the second has not.
#[test]
fn an_at_most_once_query_whose_second_phase_never_ran_fails() {
    let mut set = settings();
    set.classes[1].second_phase_parts = 1;
    let mut harness = PolicyHarness::new(set, 3);
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
            end.extend(harness.pass(5 * MS));
        }
        second = sends(&end);
    }
    assert!(end.contains(&Action::Fail { query }), "{end:?}");
    assert!(!end.iter().any(|a| matches!(a, Action::Reject { .. })), "{end:?}");
}
