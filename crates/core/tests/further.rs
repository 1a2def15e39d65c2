//! Module tests for what the further operators' deployments brought: each defence, and a case where the
//! like symptom must leave it quiet.

mod common;

use std::collections::{BTreeMap, BTreeSet};

use common::*;
use curlewdeck_core::api::*;

/// Settings with one class that may be answered from half of its parts.
fn partial(late_worth: f64) -> Settings {
    let class = Class {
        min_coverage: 0.5,
        partial_value_ratio: Some(0.8),
        late_value_ratio: late_worth,
        ..class(RetrySafety::Idempotent)
    };
    Settings { classes: vec![class], ..settings() }
}

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
        let whole = actions.iter().find_map(|a| match a {
            Action::Answer { complete: whole, .. } => Some(*whole),
            _ => None,
        });
        if let Some(whole) = whole {
            return Some((harness.now - start, whole));
        }
    }
    None
}

#[test]
fn what_is_in_is_answered_at_the_aim_where_late_answers_earn_less() {
    let (at, whole) = answered_at(partial(0.3), 3900 * MS).expect("answered");
    assert!((1150 * MS..1200 * MS).contains(&at), "{at}");
    assert!(!whole);
}

#[test]
fn a_query_waits_past_its_aim_where_a_late_whole_answer_earns_more() {
    assert_eq!(answered_at(partial(0.9), 2000 * MS), None);
    assert_eq!(
        answered_at(Settings { classes: vec![class(RetrySafety::Idempotent)], ..settings() }, 3900 * MS),
        None
    );
}

#[test]
fn a_query_goes_with_what_can_be_reached_where_that_covers_its_floor() {
    for (floor, sent) in [(0.5, 3), (0.9, 0)] {
        let mut set = partial(0.3);
        set.classes[0].min_coverage = floor;
        set.layout.partition_groups = 4;
        let mut harness = PolicyHarness::new(set, 0);
        let line = |s| EndpointRecord { partition_group: s, ..entry(s, EndpointState::Active) };
        harness.round(vec![Event::EndpointsUpdated {
            kind: EndpointUpdateKind::Snapshot,
            records: (0..3).map(line).collect(),
        }]);
        let (id, mut events) = harness.query_events(0, 4);
        for (n, event) in events.iter_mut().skip(1).enumerate() {
            if let Event::PartArrived { shard, .. } = event {
                *shard = ShardId(n as u32);
            }
        }
        assert_eq!(sends(&harness.round(events)).len(), sent, "{id:?}, floor {floor}");
    }
}

#[test]
fn an_attempt_lasts_no_longer_than_its_answer_can_earn() {
    for (late_worth, within) in [(0.1, 1200), (0.3, 4000)] {
        let mut harness = PolicyHarness::new(partial(late_worth), 4);
        let (_, _, actions) = harness.query(0, 1);
        let lasts = actions.iter().find_map(|a| match a {
            Action::StartAttempt { timeout: within, .. } => Some(*within),
            _ => None,
        });
        assert_eq!(lasts, Some(within * MS));
    }
}

#[test]
fn parts_lost_together_on_a_rested_connection_speak_against_it_not_against_fresh_ones() {
    let set = Settings { connection_idle_timeout: Some(30_000 * MS), max_open: 1000, ..settings() };
    let mut harness = PolicyHarness::new(set, 6);
    let (mut closed, mut lost, mut open) = (0, 0, BTreeSet::new());
    for _ in 0..12 {
        // A connection is dropped unseen whenever it has rested for 3 s: it answers nothing until closed.
        let (mut fresh, mut out, mut tries) = (Vec::new(), Vec::new(), BTreeMap::new());
        let mut used = BTreeSet::new();
        let (_, _, mut actions) = harness.query(0, 12);
        for _ in 0..100 {
            for action in &actions {
                match action {
                    Action::CloseIdleConnections { server } => fresh.push(*server),
                    Action::StartAttempt { part, server, .. } => {
                        let attempt = tries.entry(*part).and_modify(|n| *n += 1).or_insert(0);
                        let sent = Sent { part: *part, server: *server };
                        let good = fresh.contains(server) || !open.contains(server);
                        used.insert(*server);
                        lost += usize::from(!good);
                        out.push((harness.now + if good { 100 } else { 600 } * MS, sent, *attempt, good));
                    }
                    _ => {}
                }
            }
            harness.now += 50 * MS;
            let (due, left): (Vec<_>, Vec<_>) = out.into_iter().partition(|o| o.0 <= harness.now);
            out = left;
            let ended = due.iter().map(|(_, s, n, good)| match good {
                true => harness.ended(s, *n, Outcome::Success),
                false => harness.ended_after(s, *n, Outcome::TimedOut, 600 * MS),
            });
            let mut events: Vec<Event> = ended.collect();
            events.push(Event::TimerFired);
            actions = harness.round(events);
        }
        closed += fresh.len();
        open.extend(used);
    }
    assert!(closed >= 50, "closed {closed}, lost {lost}");
}

#[test]
fn a_silent_part_is_chased_in_time_also_where_silence_has_raised_the_offset_past_the_aim() {
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

#[test]
fn parts_worth_less_each_do_not_keep_a_worthier_query_out() {
    for (parts, goes) in [(1, true), (10, false)] {
        let mut harness = PolicyHarness::new(Settings { max_open: 24, ..settings() }, 12);
        assert_eq!(
            sends(&harness.query(0, 10).2).len(),
            10,
            "wider than the room, it goes while nothing is out"
        );
        let sent = sends(&harness.query(2, parts).2);
        assert_eq!(sent.len(), if goes { parts as usize } else { 0 }, "{parts}");
    }
}

/// Attempts beyond the first for a query of four parts of which one is answered and three stay silent.
fn further_sends(floor: f64) -> usize {
    let class = Class { min_coverage: floor, ..class(RetrySafety::Idempotent) };
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
fn the_last_of_the_budget_is_kept_for_queries_without_an_answer() {
    assert_eq!(further_sends(1.0), 2);
    assert_eq!(further_sends(0.5), 2, "its floor is not in yet");
    assert_eq!(further_sends(0.25), 1);
}

#[test]
fn rested_connections_are_suspect_also_where_most_servers_keep_theirs() {
    let mut harness =
        PolicyHarness::new(Settings { connection_idle_timeout: Some(30_000 * MS), ..settings() }, 5);
    for _ in 0..60 {
        let (_, _, actions) = harness.query(0, 1);
        harness.now += 20 * MS;
        let done = sends(&actions).iter().map(|s| harness.ended(s, 0, Outcome::Success)).collect();
        harness.round(done);
    }
    // One lost, three answered on rested connections: a quarter of the servers drop them.
    let mut closed = 0;
    for n in 0..24 {
        harness.now += 3000 * MS;
        let (_, _, actions) = harness.query(0, 1);
        let fresh = actions.iter().any(|a| matches!(a, Action::CloseIdleConnections { .. }));
        closed += usize::from(fresh);
        let sent = sends(&actions)[0];
        harness.now += 600 * MS;
        let ended = match n % 4 == 0 && !fresh {
            true => harness.ended_after(&sent, 0, Outcome::TimedOut, 600 * MS),
            false => harness.ended(&sent, 0, Outcome::Success),
        };
        let again = sends(&harness.round(vec![ended]));
        harness.round(again.iter().map(|s| harness.ended(s, 1, Outcome::Success)).collect());
    }
    assert!(closed >= 10, "{closed}");
}

/// The quiet case of the test above: rested ones are lost, but new ones often cannot be opened at all.
#[test]
fn rested_connections_are_kept_while_new_ones_cannot_be_opened() {
    let mut harness =
        PolicyHarness::new(Settings { connection_idle_timeout: Some(30_000 * MS), ..settings() }, 5);
    let mut closed = 0;
    for n in 0..60 {
        harness.now += if n % 2 == 0 { 3000 } else { 50 } * MS;
        let (_, _, actions) = harness.query(0, 1);
        let fresh = actions.iter().any(|a| matches!(a, Action::CloseIdleConnections { .. }));
        closed += usize::from(fresh);
        let Some(&sent) = sends(&actions).first() else { continue };
        harness.now += 600 * MS;
        let ended = match (n % 10 == 0, n % 10 == 5 || fresh) {
            (_, true) => harness.ended_after(&sent, 0, Outcome::ConnectFailed, 250 * MS),
            (true, false) => harness.ended_after(&sent, 0, Outcome::TimedOut, 600 * MS),
            _ => harness.ended(&sent, 0, Outcome::Success),
        };
        let again = sends(&harness.round(vec![ended]));
        harness.round(again.iter().map(|s| harness.ended(s, 1, Outcome::Success)).collect());
        harness.pass(1000 * MS);
    }
    assert!(closed <= 5, "{closed}");
}
