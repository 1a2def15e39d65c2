//! Slow start limits of a single coordinator.

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
    // Selection by the fewest in flight alone would split the 40 attempts evenly.
    assert!(
        to_restarted >= 1 && to_restarted * 3 <= 40 - to_restarted,
        "{to_restarted} of 40 went to the server in slow start"
    );
}

#[test]
fn connection_failures_at_all_servers_start_no_slow_start() {
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
            later.extend(harness.advance(100 * MS));
            actions = later;
        }
    }
    harness.advance(20_000 * MS);
    for _ in 0..2 {
        let (_, _, actions) = harness.query(0, 8);
        assert_eq!(sends(&actions).len(), 8, "a server is in slow start");
        harness.now += 100 * MS;
        let done = sends(&actions).iter().map(|s| harness.ended(s, 0, Outcome::Success)).collect();
        harness.round(done);
    }
}

#[test]
fn a_slow_start_budget_below_one_part_accumulates_to_whole_parts() {
    let mut settings = settings();
    settings.coordinators = 100;
    let mut harness = PolicyHarness::new(settings, 2);
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

/// With too small a burst, a fleet rejects queries although servers in slow start have free capacity; with too large a
/// burst, its coordinators together overload a server in slow start. The unused budget of a coordinator accumulates to
/// a third of the square root of the number of coordinators, and to at least one part. That many parts can be sent at
/// once, however long the budget was unused while other servers completed parts for the coordinator.
#[test]
fn an_unused_slow_start_budget_accumulates_only_among_many_coordinators() {
    let work = 50 * MS;
    for (coordinators, burst) in [(1, 1), (3, 1), (9, 1), (36, 2), (100, 3), (320, 5)] {
        // Only the server in slow start holds shard 0; only the warm server holds shard 1.
        let layout = ShardLayout { partition_groups: 2, groups_per_shard: 1, ..settings().layout };
        let settings = Settings { coordinators, layout, ..settings() };
        let records = [0, 1]
            .map(|group| EndpointRecord { partition_group: group, ..record(group, EndpointState::Active) });
        let restart = START + 1000 * MS;
        for unused in
            [settings.slow_start.warm_up_duration / 2, settings.slow_start.warm_up_duration - 200 * MS]
        {
            let mut coordinator = Coordinator::new(&settings, 1, &records);
            let started = EndpointRecord { started_at: restart, ..records[0] };
            let update =
                vec![Event::EndpointsUpdated { kind: EndpointUpdateKind::Delta, records: vec![started] }];
            coordinator.policy.round(restart, update);
            let end = restart + unused;
            let mut sent_to_warm = 0;
            for now in (restart..end).step_by(STEP as usize) {
                let (sent, _) =
                    coordinator.round_at(now, vec![], &[ShardId(1)], |_, _| (now + work, Outcome::Success));
                assert!(sent.iter().all(|s| s.0 == 1), "{sent:?}");
                sent_to_warm += sent.len();
            }
            assert!(sent_to_warm > 500, "{sent_to_warm} parts at the warm server");
            let at_once: usize = (0..8).map(|_| coordinator.round(end, 1, work).0.len()).sum();
            assert_eq!(at_once, burst, "{coordinators} coordinators, {} ms unused", unused / MS);
        }
    }
}
