//! Admission: the order in which queued queries are sent, and the queries that are shed.

mod common;

use common::*;
use curlewdeck_core::api::*;

#[test]
fn queued_queries_of_higher_priority_weight_are_admitted_first() {
    let mut settings = settings();
    settings.classes[1].priority_weight = 5.0;
    let mut harness = PolicyHarness::new(settings, 1);
    let mut in_flight = Vec::new();
    for _ in 0..10 {
        in_flight.extend(sends(&harness.query(0, 1).2));
    }
    let (_, parts, actions) = harness.query(1, 1);
    assert!(sends(&actions).is_empty());
    let next = sends(&harness.round(vec![harness.ended(&in_flight[0], 0, Outcome::Success)]));
    assert_eq!(next[0].part, parts[0]);
}

#[test]
fn parts_of_lower_value_do_not_block_a_query_of_higher_value() {
    for (parts, admitted) in [(1, true), (10, false)] {
        let mut harness = PolicyHarness::new(Settings { max_open: 24, ..settings() }, 12);
        assert_eq!(
            sends(&harness.query(0, 10).2).len(),
            10,
            "a query with more parts than the limit is admitted while nothing is in flight"
        );
        let sent = sends(&harness.query(2, parts).2);
        assert_eq!(sent.len(), if admitted { parts as usize } else { 0 }, "{parts}");
    }
}

#[test]
fn a_query_is_admitted_if_the_reachable_parts_reach_its_min_coverage() {
    for (min_coverage, sent) in [(0.5, 3), (0.9, 0)] {
        let mut settings = partial(0.3);
        settings.classes[0].min_coverage = min_coverage;
        settings.layout.partition_groups = 4;
        let mut harness = PolicyHarness::new(settings, 0);
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
    let canary = sends(&actions);
    assert_eq!(canary.len(), 1);
    harness.now += 100 * MS;
    let rest = sends(&harness.round(vec![harness.ended(&canary[0], 0, Outcome::Success)]));
    assert_eq!(rest.len(), 2);
    let done = rest.iter().map(|s| harness.ended(s, 0, Outcome::Success)).collect();
    assert!(harness.round(done).contains(&Action::Answer { query, complete: true }));
    let (_, actions) = query_with_deadline(&mut harness, 3, 4000 * MS, false);
    assert_eq!(sends(&actions).len(), 3, "all parts of a first submission are sent at once");
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
    assert!(!harness.advance(700 * MS).iter().any(rejected));
    assert!(
        harness.advance(150 * MS).iter().any(rejected),
        "rejected 0.4 s before the end of its latency objective"
    );
}

#[test]
fn a_full_coordinator_sheds_queued_queries_immediately() {
    let mut settings = settings();
    settings.max_open = 20;
    let mut harness = PolicyHarness::new(settings, 1);
    let rejected = |a: &Action| matches!(a, Action::Reject { .. });
    let shed = (0..15).filter(|_| harness.query(0, 1).2.iter().any(rejected)).count();
    assert!((4..=8).contains(&shed), "{shed} of 15 shed");
}

/// Many coordinators with low traffic can overload the servers although each has only one query in flight, so that no
/// concurrency limit applies. Most queries are rejected immediately if few are answered in time, and none otherwise.
/// Queries that the in-flight limit or the limit of a server paces are not throttled.
#[test]
fn unpaced_queries_are_throttled_by_the_share_of_timely_ones() {
    let count_rejected = |servers, parts, latency| {
        // The initial in-flight limit is 50 parts.
        let mut harness =
            PolicyHarness::new(Settings { coordinators: 100, max_open: 200, ..settings() }, servers);
        let mut rejected = 0;
        for n in 0..60 {
            let actions = harness.query(0, parts).2;
            let is_rejected = actions.iter().any(|a| matches!(a, Action::Reject { .. }));
            rejected += usize::from(n >= 10 && is_rejected);
            harness.now += latency;
            let ended = sends(&actions)
                .iter()
                .map(|s| harness.ended_after(s, 0, Outcome::Success, latency))
                .collect();
            harness.round(ended);
            harness.advance(1500 * MS - latency);
        }
        rejected
    };
    assert_eq!(count_rejected(400, 60, 100 * MS), 0);
    let (unpaced, paced) = (count_rejected(400, 60, 1500 * MS), count_rejected(400, 1, 1500 * MS));
    assert!(unpaced > 25 && paced == 0, "rejected {unpaced} of 50 unpaced and {paced} of 50 paced queries");
    // With few servers, the load on each one reaches its own concurrency limit, which paces the parts.
    assert_eq!(count_rejected(8, 60, 1500 * MS), 0);
}

/// A throttled coordinator must not reject all of its queries: even if none is answered in time, it sends an attempt at
/// least every 4 s.
#[test]
fn a_throttled_coordinator_sends_something_within_four_seconds() {
    let mut harness = PolicyHarness::new(Settings { coordinators: 100, max_open: 200, ..settings() }, 800);
    let (mut sent_at, mut longest, mut actions) = (harness.now, 0, Vec::new());
    // The servers of each part's attempts, in the order in which they were sent.
    let mut attempted: std::collections::BTreeMap<PartId, Vec<ServerId>> = Default::default();
    for _ in 0..600 {
        actions.extend(harness.query(0, 60).2);
        actions.extend(harness.advance(100 * MS));
        for sent in sends(&actions) {
            attempted.entry(sent.part).or_default().push(sent.server);
            sent_at = harness.now;
        }
        // No attempt gets a response: each is cancelled when its query ends.
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
