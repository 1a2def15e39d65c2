//! Slow start, as one coordinator keeps it.

mod common;

use common::*;
use curlewdeck_core::api::*;

const STEP: Nanos = 10 * MS;

#[test]
fn a_server_in_slow_start_gets_a_small_share_of_the_attempts() {
    let mut harness = PolicyHarness::new(settings(), 2);
    harness.warm_up(40);
    let started = EndpointRecord { started_at: harness.now, ..record(1, EndpointState::Active) };
    harness.round(vec![Event::EndpointsUpdated { kind: EndpointUpdateKind::Delta, records: vec![started] }]);
    let mut to_restarted = 0;
    for _ in 0..40 {
        let (_, _, actions) = harness.query(0, 1);
        harness.now += 50 * MS;
        let done: Vec<Event> =
            sends(&actions).iter().map(|s| harness.ended(s, 0, Outcome::Success)).collect();
        to_restarted += sends(&actions).iter().filter(|s| s.server == ServerId(1)).count();
        harness.round(done);
    }
    // The fewest in flight alone would split the forty evenly.
    assert!(
        to_restarted >= 1 && to_restarted * 3 <= 40 - to_restarted,
        "{to_restarted} of 40 went to the server in slow start"
    );
}

#[test]
fn connects_that_fail_everywhere_begin_no_slow_start() {
    let mut harness =
        PolicyHarness::new(Settings { connection_idle_timeout: Some(100 * MS), ..settings() }, 8);
    let mut attempts = std::collections::BTreeMap::new();
    for _ in 0..16 {
        let (_, _, mut actions) = harness.query(0, 1);
        for _ in 0..12 {
            let mut later = Vec::new();
            for sent in sends(&actions) {
                let attempt = attempts.entry(sent.part).and_modify(|n| *n += 1).or_insert(0);
                let failed = harness.ended(&sent, *attempt, Outcome::ConnectFailed);
                later.extend(harness.round(vec![failed]));
            }
            later.extend(harness.pass(100 * MS));
            actions = later;
        }
    }
    harness.pass(20_000 * MS);
    for _ in 0..2 {
        let (_, _, actions) = harness.query(0, 8);
        assert_eq!(sends(&actions).len(), 8, "no server is in slow start");
        harness.now += 100 * MS;
        let done = sends(&actions).iter().map(|s| harness.ended(s, 0, Outcome::Success)).collect();
        harness.round(done);
    }
}

#[test]
fn a_slow_start_budget_below_one_part_still_adds_up_to_parts() {
    let mut set = settings();
    set.coordinators = 100;
    let mut harness = PolicyHarness::new(set, 2);
    harness.warm_up(40);
    let started = EndpointRecord { started_at: harness.now, ..record(1, EndpointState::Active) };
    harness.round(vec![Event::EndpointsUpdated { kind: EndpointUpdateKind::Delta, records: vec![started] }]);
    let begin = harness.now;
    let mut to_restarted = 0;
    while harness.now < begin + 14_000 * MS {
        to_restarted += serve(&mut harness, 1, 0, |_| false).iter().filter(|&&s| s == ServerId(1)).count();
        harness.now += 1000 * MS;
    }
    assert!((1..12).contains(&to_restarted), "{to_restarted}");
}

/// Guards against a fleet that rejects queries beside servers in slow start with room, and against one whose
/// coordinators save up until together they push a server in slow start over. What a coordinator may send one
/// and does not adds up to a third of the root of their number, at least to one part: so many may go at once
/// and not one more, however long it left them unused while other servers completed parts for it.
#[test]
fn an_unused_slow_start_budget_adds_up_among_many_coordinators_only() {
    let work = 50 * MS;
    for (coordinators, fit) in [(1, 1), (3, 1), (9, 1), (36, 2), (100, 3), (320, 5)] {
        // Shard 0 is held by the server in slow start alone, shard 1 by one that is warm.
        let layout = ShardLayout { partition_groups: 2, groups_per_shard: 1, ..settings().layout };
        let set = Settings { coordinators, layout, ..settings() };
        let records = [0, 1]
            .map(|cell| EndpointRecord { partition_group: cell, ..record(cell, EndpointState::Active) });
        let restart = START + 1000 * MS;
        for unused in [set.slow_start.warm_up_duration / 2, set.slow_start.warm_up_duration - 200 * MS] {
            let mut coordinator = Coordinator::new(&set, 1, &records);
            let started = EndpointRecord { started_at: restart, ..records[0] };
            let update =
                vec![Event::EndpointsUpdated { kind: EndpointUpdateKind::Delta, records: vec![started] }];
            coordinator.policy.round(restart, update);
            let end = restart + unused;
            let mut elsewhere = 0;
            for now in (restart..end).step_by(STEP as usize) {
                let (sent, _) =
                    coordinator.round_at(now, vec![], &[ShardId(1)], |_, _| (now + work, Outcome::Success));
                assert!(sent.iter().all(|s| s.0 == 1), "{sent:?}");
                elsewhere += sent.len();
            }
            assert!(elsewhere > 500, "{elsewhere} parts at the warm server");
            let at_once: usize = (0..8).map(|_| coordinator.round(end, 1, work).0.len()).sum();
            assert_eq!(at_once, fit, "{coordinators} coordinators, {} ms unused", unused / MS);
        }
    }
}
