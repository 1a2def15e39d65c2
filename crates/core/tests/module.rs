//! Module tests through the public API: one for each failure found or rule kept.

mod common;

use common::*;
use curlewdeck_core::api::*;
use curlewdeck_core::Policy;

#[test]
fn first_sends_go_to_the_replica_with_fewest_parts_out() {
    let mut harness = PolicyHarness::new(settings(), 3);
    let (_, _, actions) = harness.query(0, 3);
    let mut servers: Vec<u32> = sends(&actions).iter().map(|s| s.server.0).collect();
    servers.sort_unstable();
    assert_eq!(servers, [0, 1, 2]);
}

#[test]
fn an_answered_part_releases_one_copy_past_the_offset_and_the_loser_is_cancelled() {
    let mut harness = PolicyHarness::new(settings(), 3);
    harness.warm_up(40);
    let (query, _, actions) = harness.query(0, 2);
    let first = sends(&actions);
    harness.now += 90 * MS;
    let early = harness.round(vec![harness.ended(&first[0], 0, Outcome::Success)]);
    assert!(sends(&early).is_empty(), "no copy before the offset");
    let later = harness.pass(30 * MS);
    let copies = sends(&later);
    assert_eq!(copies.len(), 1);
    assert_eq!(copies[0].part, first[1].part);
    assert_ne!(copies[0].server, first[1].server);
    assert!(sends(&harness.pass(100 * MS)).is_empty(), "one copy a part");
    let end = harness.round(vec![harness.ended(&copies[0], 1, Outcome::Success)]);
    assert!(end.contains(&Action::CancelAttempt { part: first[1].part, attempt: 0 }));
    assert!(end.contains(&Action::Answer { query, complete: true }));
}

#[test]
fn without_an_answered_sibling_there_is_no_copy_at_the_offset() {
    let mut harness = PolicyHarness::new(settings(), 3);
    harness.warm_up(40);
    harness.query(0, 2);
    assert!(sends(&harness.pass(300 * MS)).is_empty());
}

#[test]
fn an_overdue_part_of_a_silent_server_is_tried_elsewhere_within_the_aim() {
    let mut harness = PolicyHarness::new(settings(), 3);
    harness.warm_up(40);
    let (_, _, actions) = harness.query(0, 1);
    let first = sends(&actions);
    let later = sends(&harness.pass(600 * MS));
    assert_eq!(later.len(), 1);
    assert_ne!(later[0].server, first[0].server);
}

#[test]
fn unsafe_parts_are_sent_again_only_when_proved_unrun() {
    for (outcome, again) in [
        (Outcome::ConnectFailed, 1),
        (Outcome::Rejected, 1),
        (Outcome::ConnectionReset, 0),
        (Outcome::ServerError, 0),
    ] {
        let mut harness = PolicyHarness::new(settings(), 3);
        let (query, _, actions) = harness.query(1, 1);
        let first = sends(&actions);
        let after = harness.round(vec![harness.ended(&first[0], 0, outcome)]);
        assert_eq!(sends(&after).len(), again, "{outcome:?}");
        assert_eq!(after.contains(&Action::Fail { query }), again == 0, "{outcome:?}");
    }
}

#[test]
fn an_unsafe_query_that_may_have_run_is_failed_not_refused_at_its_aim() {
    let mut harness = PolicyHarness::new(settings(), 3);
    let (query, _, _) = harness.query(1, 1);
    let end = harness.pass(1300 * MS);
    assert!(end.contains(&Action::Fail { query }));
    assert!(!end.iter().any(|a| matches!(a, Action::Reject { .. })));
}

#[test]
fn a_query_given_up_is_refused_at_once_with_a_hold_off() {
    let mut harness = PolicyHarness::new(settings(), 0);
    let (query, _, _) = harness.query(0, 2);
    let end = harness.pass(1300 * MS);
    let refused = |a: &&Action| matches!(a, Action::Reject { query: q, retry_after: hold_off } if *q == query && *hold_off > 0);
    assert_eq!(end.iter().filter(refused).count(), 1);
}

#[test]
fn keyed_parts_are_sent_again_only_inside_their_window() {
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
fn nothing_goes_to_draining_gone_or_missing_servers() {
    let mut harness = PolicyHarness::new(settings(), 3);
    let entries = vec![entry(0, EndpointState::Draining), entry(1, EndpointState::Removed)];
    harness.round(vec![Event::EndpointsUpdated { kind: EndpointUpdateKind::Delta, records: entries }]);
    let (_, _, actions) = harness.query(0, 3);
    assert!(sends(&actions).iter().all(|s| s.server == ServerId(2)));
    let full = Event::EndpointsUpdated {
        kind: EndpointUpdateKind::Snapshot,
        records: vec![entry(0, EndpointState::Active)],
    };
    harness.round(vec![full]);
    let (_, _, actions) = harness.query(0, 1);
    assert_eq!(sends(&actions)[0].server, ServerId(0));
}

#[test]
fn a_cold_server_gets_no_more_than_its_bound_in_a_fall_window() {
    let mut harness = PolicyHarness::new(settings(), 2);
    harness.warm_up(40);
    let started = EndpointRecord { started_at: harness.now, ..entry(1, EndpointState::Active) };
    harness.round(vec![Event::EndpointsUpdated { kind: EndpointUpdateKind::Delta, records: vec![started] }]);
    let mut cold = 0;
    for _ in 0..40 {
        let (_, _, actions) = harness.query(0, 1);
        harness.now += 50 * MS;
        let done: Vec<Event> =
            sends(&actions).iter().map(|s| harness.ended(s, 0, Outcome::Success)).collect();
        cold += sends(&actions).iter().filter(|s| s.server == ServerId(1)).count();
        harness.round(done);
    }
    // Fewest-out alone would split the forty evenly.
    assert!(cold >= 1 && cold * 3 <= 40 - cold, "{cold} of 40 went to the cold server");
}

#[test]
fn ghosts_of_given_up_work_do_not_bar_a_server_for_good() {
    let mut harness = PolicyHarness::new(settings(), 1);
    harness.warm_up(12);
    for _ in 0..3 {
        let (_, _, actions) = harness.query(0, 1);
        harness.pass(1210 * MS);
        let undone = sends(&actions).iter().map(|s| harness.ended(s, 0, Outcome::Cancelled)).collect();
        harness.round(undone);
    }
    harness.pass(4000 * MS);
    let (_, _, actions) = harness.query(0, 1);
    assert_eq!(sends(&actions).len(), 1);
}

#[test]
fn connects_that_fail_fast_do_not_use_up_every_attempt_at_once() {
    let mut harness = PolicyHarness::new(settings(), 1);
    let (query, _, actions) = harness.query(0, 1);
    let first = sends(&actions);
    let after = harness.round(vec![harness.ended(&first[0], 0, Outcome::ConnectFailed)]);
    assert!(sends(&after).is_empty(), "the dead server is not asked again in the same tick");
    assert!(!after.iter().any(|a| matches!(a, Action::Reject { query: q, .. } if *q == query)));
    let mut again = Vec::new();
    for _ in 0..200 {
        again = sends(&harness.pass(5 * MS));
        if !again.is_empty() {
            break;
        }
    }
    assert_eq!(again.len(), 1, "but it is tried again in time");
}

#[test]
fn a_full_replica_does_not_push_work_to_an_ejected_one() {
    let mut harness = PolicyHarness::new(settings(), 2);
    let (_, _, actions) = harness.query(0, 1);
    let dead = sends(&actions)[0];
    harness.round(vec![harness.ended(&dead, 0, Outcome::ConnectFailed)]);
    for _ in 0..10 {
        let (_, _, actions) = harness.query(0, 1);
        assert!(sends(&actions).iter().all(|s| s.server != dead.server));
    }
}

#[test]
fn what_is_out_at_a_server_is_bounded_and_the_rest_is_held() {
    let mut harness = PolicyHarness::new(settings(), 1);
    let sent: usize = (0..20).map(|_| sends(&harness.query(0, 1).2).len()).sum();
    assert!((1..10).contains(&sent), "{sent} out at once");
}

#[test]
fn held_queries_of_greater_worth_go_first() {
    let mut set = settings();
    set.classes[1].priority_weight = 5.0;
    let mut harness = PolicyHarness::new(set, 1);
    let mut out = Vec::new();
    for _ in 0..10 {
        out.extend(sends(&harness.query(0, 1).2));
    }
    let (_, parts, actions) = harness.query(1, 1);
    assert!(sends(&actions).is_empty());
    let next = sends(&harness.round(vec![harness.ended(&out[0], 0, Outcome::Success)]));
    assert_eq!(next[0].part, parts[0]);
}

#[test]
fn spares_are_kept_and_replace_a_failed_part() {
    let mut set = settings();
    set.classes[0].complete_coverage = 0.75;
    set.classes[0].min_coverage = 0.75;
    let mut harness = PolicyHarness::new(set, 6);
    let (query, _, actions) = harness.query(0, 4);
    let first = sends(&actions);
    assert_eq!(first.len(), 3);
    let spare = sends(&harness.round(vec![harness.ended(&first[0], 0, Outcome::ServerError)]));
    assert_eq!(spare.len(), 1);
    assert!(first.iter().all(|s| s.part != spare[0].part));
    let done = vec![
        harness.ended(&first[1], 0, Outcome::Success),
        harness.ended(&first[2], 0, Outcome::Success),
        harness.ended(&spare[0], 0, Outcome::Success),
    ];
    assert!(harness.round(done).contains(&Action::Answer { query, complete: true }));
}

#[test]
fn a_second_step_is_sent_and_answered() {
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
fn a_partial_answer_is_given_when_time_is_up_and_not_marked_whole() {
    let mut set = settings();
    set.classes[0].min_coverage = 0.5;
    let mut harness = PolicyHarness::new(set, 2);
    let (query, _, actions) = harness.query(0, 2);
    harness.round(vec![harness.ended(&sends(&actions)[0], 0, Outcome::Success)]);
    assert!(harness.pass(1300 * MS).contains(&Action::Answer { query, complete: false }));
}

#[test]
fn unusable_settings_are_named() {
    let mut set = settings();
    set.classes.clear();
    assert_eq!(Policy::new(set, 1).err(), Some(SettingsError::NoClasses));
    let mut set = settings();
    set.layout.partition_groups = 0;
    assert!(matches!(Policy::new(set, 1), Err(SettingsError::InvalidLayout(_))));
    let mut set = settings();
    set.classes[1].complete_coverage = f64::NAN;
    assert!(matches!(Policy::new(set, 1), Err(SettingsError::InvalidClass(ClassId(1), _))));
    let mut set = settings();
    set.classes[0].max_attempts = 0;
    assert!(Policy::new(set, 1).is_err_and(|e| e.to_string().contains("max_attempts")));
}

#[test]
fn odd_events_are_ignored() {
    let mut harness = PolicyHarness::new(settings(), 1);
    let ghost = Sent { part: PartId(77), server: ServerId(9) };
    let events = vec![
        Event::ClientDisconnected(QueryId(5)),
        harness.ended(&ghost, 3, Outcome::Success),
        Event::PartArrived { id: PartId(1), query: QueryId(99), shard: ShardId(u32::MAX), weight: f64::NAN },
        Event::TimerFired,
    ];
    assert!(sends(&harness.round(events)).is_empty());
    harness.now -= 500 * MS;
    let (_, _, actions) = harness.query(0, 1);
    assert_eq!(sends(&actions).len(), 1, "a clock that runs back is held");
}

#[test]
fn a_silent_server_whose_part_is_called_off_comes_last_at_once() {
    let mut harness = PolicyHarness::new(settings(), 3);
    harness.warm_up(40);
    let silent = ServerId(0);
    let (mut called_off, mut since) = (0, 0);
    for _ in 0..20 {
        let (_, _, actions) = harness.query(0, 1);
        let first = sends(&actions)[0];
        since += u32::from(called_off >= 1 && first.server == silent);
        if called_off >= 1 || first.server != silent {
            harness.now += 50 * MS;
            harness.round(vec![harness.ended(&first, 0, Outcome::Success)]);
            continue;
        }
        let again = sends(&harness.pass(490 * MS));
        assert_eq!(again.len(), 1, "tried elsewhere");
        let Sent { part, server } = first;
        let latency = 490 * MS;
        let undone = Event::AttemptEnded { part, attempt: 0, server, outcome: Outcome::Cancelled, latency };
        harness.round(vec![undone, harness.ended(&again[0], 1, Outcome::Success)]);
        called_off += 1;
    }
    assert_eq!((called_off, since), (1, 0));
}

#[test]
fn a_held_query_leaves_once_less_than_the_offset_is_left() {
    let mut harness = PolicyHarness::new(settings(), 1);
    for _ in 0..40 {
        let (_, _, actions) = harness.query(0, 1);
        harness.now += 400 * MS;
        let done = |s: &Sent| harness.ended_after(s, 0, Outcome::Success, 400 * MS);
        let done = sends(&actions).iter().map(done).collect();
        harness.round(done);
    }
    while !sends(&harness.query(0, 1).2).is_empty() {}
    let (held, _, actions) = harness.query(0, 1);
    assert!(sends(&actions).is_empty());
    let refused = |a: &Action| matches!(a, Action::Reject { query, .. } if *query == held);
    assert!(!harness.pass(700 * MS).iter().any(refused));
    assert!(harness.pass(150 * MS).iter().any(refused), "0.4 s before the aim");
}

#[test]
fn no_copies_while_every_part_is_slow() {
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

#[test]
fn a_full_coordinator_sheds_held_queries_at_once() {
    let mut set = settings();
    set.max_open = 20;
    let mut harness = PolicyHarness::new(set, 1);
    let refused = |a: &Action| matches!(a, Action::Reject { .. });
    let shed = (0..15).filter(|_| harness.query(0, 1).2.iter().any(refused)).count();
    assert!((4..=8).contains(&shed), "{shed} of 15 shed");
}

#[test]
fn a_slow_server_is_left_alone_for_a_while() {
    let mut harness = PolicyHarness::new(settings(), 4);
    let slow = ServerId(0);
    let mut late = 0;
    for i in 0..60 {
        let (_, _, actions) = harness.query(0, 1);
        let sent = sends(&actions)[0];
        let taken = if sent.server == slow { 400 } else { 50 };
        late += u32::from(i >= 40 && sent.server == slow);
        harness.now += taken * MS;
        let latency = taken * MS;
        let Sent { part, server } = sent;
        harness.round(vec![Event::AttemptEnded {
            part,
            attempt: 0,
            server,
            outcome: Outcome::Success,
            latency,
        }]);
    }
    assert!(late <= 1, "{late} of the last 20 went to the slow server");
}

/// Guards deployments that allow neither a cancel nor two attempts of a part at once: an overdue part waits for its end,
/// and is tried again after it only.
#[test]
fn a_part_that_cannot_be_called_off_is_not_sent_twice_at_once() {
    for (may_cancel, may_duplicate, sent) in [(false, false, 0), (true, false, 1)] {
        let mut harness =
            PolicyHarness::new(Settings { may_cancel, may_hedge: may_duplicate, ..settings() }, 3);
        harness.warm_up(30);
        let first = sends(&harness.query(0, 1).2)[0];
        assert_eq!(sends(&harness.pass(900 * MS)).len(), sent, "cancel {may_cancel}");
        if sent == 0 {
            let again = harness.round(vec![harness.ended_after(&first, 0, Outcome::ServerError, 900 * MS)]);
            assert_eq!(sends(&again).len(), 1);
        }
    }
}

/// A module that knows the list from before its start, and no other.
fn restarted() -> PolicyHarness {
    let mut harness = PolicyHarness::new(settings(), 0);
    harness.policy = Policy::new(settings(), 7).unwrap();
    let entries = (0..3).map(|s| entry(s, EndpointState::Active)).collect();
    harness.round(vec![Event::EndpointsUpdated { kind: EndpointUpdateKind::Unconfirmed, records: entries }]);
    harness
}

/// Guards servers that began to drain while this process was away: what was told to the one before it counts as told to
/// it. Queries go out with the first word, if only that nothing has changed, where that leaves a server in.
#[test]
fn nothing_is_sent_by_a_list_from_before_the_start() {
    for (kind, drained) in
        [(EndpointUpdateKind::Delta, 1), (EndpointUpdateKind::Snapshot, 3), (EndpointUpdateKind::Delta, 0)]
    {
        let mut harness = restarted();
        assert!(sends(&harness.query(0, 3).2).is_empty());
        assert!(sends(&harness.pass(300 * MS)).is_empty());
        let entries: Vec<_> = (0..drained).map(|s| entry(s, EndpointState::Draining)).collect();
        let sent = sends(&harness.round(vec![Event::EndpointsUpdated { kind, records: entries }]));
        assert!(sent.iter().all(|s| s.server.0 >= drained), "{sent:?}");
        assert_eq!(sent.is_empty(), drained == 3, "{sent:?}");
    }
}

/// Guards against a wait that time alone ends: whether the list may be used is for the subscription to say.
#[test]
fn no_time_that_passes_puts_the_list_from_before_the_start_in_force() {
    let mut harness = restarted();
    for _ in 0..100 {
        assert!(sends(&harness.query(0, 1).2).is_empty());
        assert!(sends(&harness.pass(1000 * MS)).is_empty());
    }
}
