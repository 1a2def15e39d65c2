//! Admission: which queued queries are sent first, and which are shed.

mod common;

use common::*;
use curlewdeck_core::api::*;

#[test]
fn queued_queries_of_higher_priority_weight_are_admitted_first() {
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
fn parts_of_lower_value_do_not_keep_out_a_query_of_higher_value() {
    for (parts, goes) in [(1, true), (10, false)] {
        let mut harness = PolicyHarness::new(Settings { max_open: 24, ..settings() }, 12);
        assert_eq!(
            sends(&harness.query(0, 10).2).len(),
            10,
            "more parts than the limit, admitted while nothing is in flight"
        );
        let sent = sends(&harness.query(2, parts).2);
        assert_eq!(sent.len(), if goes { parts as usize } else { 0 }, "{parts}");
    }
}

#[test]
fn a_query_is_admitted_if_the_reachable_parts_reach_its_min_coverage() {
    for (min_coverage, sent) in [(0.5, 3), (0.9, 0)] {
        let mut set = partial(0.3);
        set.classes[0].min_coverage = min_coverage;
        set.layout.partition_groups = 4;
        let mut harness = PolicyHarness::new(set, 0);
        let to_record = |s| EndpointRecord { partition_group: s, ..record(s, EndpointState::Active) };
        harness.round(vec![Event::EndpointsUpdated {
            kind: EndpointUpdateKind::Snapshot,
            records: (0..3).map(to_record).collect(),
        }]);
        let (id, mut events) = harness.query_events(0, 4);
        for (n, event) in events.iter_mut().skip(1).enumerate() {
            if let Event::PartArrived { shard, .. } = event {
                *shard = ShardId(n as u32);
            }
        }
        assert_eq!(sends(&harness.round(events)).len(), sent, "{id:?}, min_coverage {min_coverage}");
    }
}

#[test]
fn a_client_retry_sends_a_canary_part_and_the_rest_once_it_is_complete() {
    let mut harness = PolicyHarness::new(settings(), 6);
    harness.warm_up(20);
    let (query, actions) = query_with_deadline(&mut harness, 3, 4000 * MS, true);
    let ahead = sends(&actions);
    assert_eq!(ahead.len(), 1);
    harness.now += 100 * MS;
    let rest = sends(&harness.round(vec![harness.ended(&ahead[0], 0, Outcome::Success)]));
    assert_eq!(rest.len(), 2);
    let done = rest.iter().map(|s| harness.ended(s, 0, Outcome::Success)).collect();
    assert!(harness.round(done).contains(&Action::Answer { query, complete: true }));
    let (_, actions) = query_with_deadline(&mut harness, 3, 4000 * MS, false);
    assert_eq!(sends(&actions).len(), 3, "a first submission is sent at once");
}

#[test]
fn a_queued_query_is_rejected_once_less_than_the_hedge_delay_is_left() {
    let mut harness = PolicyHarness::new(settings(), 1);
    for _ in 0..40 {
        let (_, _, actions) = harness.query(0, 1);
        harness.now += 400 * MS;
        let done = |s: &Sent| harness.ended_after(s, 0, Outcome::Success, 400 * MS);
        let done = sends(&actions).iter().map(done).collect();
        harness.round(done);
    }
    while !sends(&harness.query(0, 1).2).is_empty() {}
    let (queued, _, actions) = harness.query(0, 1);
    assert!(sends(&actions).is_empty());
    let rejected = |a: &Action| matches!(a, Action::Reject { query, .. } if *query == queued);
    assert!(!harness.pass(700 * MS).iter().any(rejected));
    assert!(harness.pass(150 * MS).iter().any(rejected), "0.4 s before the end of its objective");
}

#[test]
fn a_full_coordinator_sheds_queued_queries_at_once() {
    let mut set = settings();
    set.max_open = 20;
    let mut harness = PolicyHarness::new(set, 1);
    let rejected = |a: &Action| matches!(a, Action::Reject { .. });
    let shed = (0..15).filter(|_| harness.query(0, 1).2.iter().any(rejected)).count();
    assert!((4..=8).contains(&shed), "{shed} of 15 shed");
}

/// Guards a fleet of coordinators with low traffic against an overload that none of them can pace, since each
/// has but one query out: where few of their queries are answered in time, most are rejected at once, and
/// none where they are. What can be paced, by the bound of parts out or by that of a server that is sent
/// much, is left to it.
#[test]
fn unpaced_queries_are_throttled_by_the_share_of_timely_ones() {
    let count_rejected = |servers, parts, latency| {
        // Fifty parts may be out at once at the start.
        let mut harness =
            PolicyHarness::new(Settings { coordinators: 100, max_open: 200, ..settings() }, servers);
        let mut rejected = 0;
        for n in 0..60 {
            let actions = harness.query(0, parts).2;
            let at_once = actions.iter().any(|a| matches!(a, Action::Reject { .. }));
            rejected += usize::from(n >= 10 && at_once);
            harness.now += latency;
            let ended = sends(&actions)
                .iter()
                .map(|s| harness.ended_after(s, 0, Outcome::Success, latency))
                .collect();
            harness.round(ended);
            harness.pass(1500 * MS - latency);
        }
        rejected
    };
    assert_eq!(count_rejected(400, 60, 100 * MS), 0);
    let (unpaced, paced) = (count_rejected(400, 60, 1500 * MS), count_rejected(400, 1, 1500 * MS));
    assert!(unpaced > 25 && paced == 0, "{unpaced} and {paced} of 50");
    // So much goes to each server that its own bound paces.
    assert_eq!(count_rejected(8, 60, 1500 * MS), 0);
}

/// Guards against a coordinator that rejects all that it gets: however few of its queries are answered in
/// time, no 4 s pass in which it sends nothing.
#[test]
fn a_throttled_coordinator_sends_something_within_four_seconds() {
    let mut harness = PolicyHarness::new(Settings { coordinators: 100, max_open: 200, ..settings() }, 800);
    let (mut sent_at, mut longest, mut actions) = (harness.now, 0, Vec::new());
    // Where the attempts at each part went, in their order.
    let mut attempted: std::collections::BTreeMap<PartId, Vec<ServerId>> = Default::default();
    for _ in 0..600 {
        actions.extend(harness.query(0, 60).2);
        actions.extend(harness.pass(100 * MS));
        for sent in sends(&actions) {
            attempted.entry(sent.part).or_default().push(sent.server);
            sent_at = harness.now;
        }
        // None is answered: each ends with its query.
        let ended = actions.iter().filter_map(|action| match action {
            Action::CancelAttempt { part, attempt } => Some(Event::AttemptEnded {
                part: *part,
                attempt: *attempt,
                server: attempted[part][*attempt as usize],
                outcome: Outcome::Cancelled,
                latency: 1200 * MS,
            }),
            _ => None,
        });
        let ended = ended.collect();
        actions = harness.round(ended);
        longest = longest.max(harness.now - sent_at);
    }
    assert!(longest < 4000 * MS, "nothing sent for {} ms", longest / MS);
}
