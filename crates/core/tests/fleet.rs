//! Many modules over scripted time: what all of them together send to one server, for a few coordinators and for a
//! hundred.

mod common;

use common::*;
use curlewdeck_core::api::*;

const STEP: Nanos = 10 * MS;

/// The most parts that reached a server which has just started within one fall window, as a share of what the
/// rule allows in it, and beyond that and what is put down to chance: all coordinators send
/// what eight servers of so many parts a second can do at 60%.
fn pressed(coordinators: u32, rate: f64) -> (f64, f64) {
    let set = Settings { coordinators, ..settings() };
    let cold = set.slow_start;
    let entries: Vec<EndpointRecord> = (0..8).map(|s| entry(s, EndpointState::Active)).collect();
    let mut fleet: Vec<Coordinator> =
        (0..coordinators).map(|n| Coordinator::new(&set, u64::from(n) + 1, &entries)).collect();
    let mut rng = fastrand::Rng::with_seed(5);
    let chance = 0.6 * 8.0 * rate / 4.0 / f64::from(coordinators) * (STEP as f64 / 1e9);
    let restart = START + 10_000 * MS;
    let mut reached: Vec<Nanos> = Vec::new();
    for now in (START..restart + 8000 * MS).step_by(STEP as usize) {
        for coordinator in &mut fleet {
            if now == restart {
                let entries = vec![EndpointRecord { started_at: now, ..entry(7, EndpointState::Active) }];
                coordinator.policy.round(
                    now,
                    vec![Event::EndpointsUpdated { kind: EndpointUpdateKind::Delta, records: entries }],
                );
            }
            let parts = if rng.f64() < chance { 4 } else { 0 };
            let (sent, _) = coordinator.round(now, parts, (1e9 / rate * 2.0) as Nanos);
            reached.extend(sent.iter().filter(|s| s.0 == 7 && now >= restart).map(|_| now));
        }
    }
    assert!(!reached.is_empty(), "a cold server gets its share");
    let window = |from: usize| {
        let begin = reached[from];
        let warmth = cold.initial_capacity_ratio
            + (1.0 - cold.initial_capacity_ratio) * (begin - restart) as f64 / cold.warm_up_duration as f64;
        let allowed = cold.overload_multiple * warmth * rate * cold.overload_duration as f64 / 1e9;
        let sent = reached[from..].iter().take_while(|&&t| t < begin + cold.overload_duration).count() as f64;
        (sent / allowed, sent - allowed - 2.0 * allowed.sqrt() - 2.0)
    };
    (0..reached.len()).map(window).fold((0.0, f64::MIN), |w, n| (w.0.max(n.0), w.1.max(n.1)))
}

/// Guards against a cold server that each coordinator alone sends little, and all together push over.
#[test]
fn a_cold_server_is_safe_from_three_coordinators_and_from_a_hundred() {
    for coordinators in [3, 100] {
        let share = pressed(coordinators, 60.0).0;
        assert!(share < 1.0, "{coordinators} coordinators send {share:.2} times what it bears");
    }
}

/// Guards the budget of a small cold server, of which a few calls are all: beyond its N calls only 2 x root of N + 2 are
/// put down to chance, however many processes share it.
#[test]
fn a_small_cold_server_is_safe_from_a_fleet() {
    for coordinators in [3, 20, 30, 100] {
        for rate in [5.0, 10.0, 20.0] {
            let over = pressed(coordinators, rate).1;
            assert!(
                over <= 0.0,
                "{coordinators} coordinators send {over:.1} calls too many at {rate} a second"
            );
        }
    }
}

/// Guards against clients that were turned away at one moment by a hundred coordinators and come back at one moment.
#[test]
fn clients_refused_by_a_hundred_coordinators_do_not_come_back_together() {
    let set = Settings { coordinators: 100, ..settings() };
    let mut back: Vec<Nanos> = Vec::new();
    for n in 0..100 {
        // No data node is known: nothing can be served.
        let mut coordinator = Coordinator::new(&set, n + 1, &[]);
        coordinator.round(START, 1, MS);
        for now in (START..START + 4000 * MS).step_by(STEP as usize) {
            let (_, actions) = coordinator.round(now, 0, MS);
            back.extend(actions.iter().filter_map(|a| match a {
                Action::Reject { retry_after: hold_off, .. } => Some(now + hold_off),
                _ => None,
            }));
        }
    }
    back.sort_unstable();
    assert_eq!(back.len(), 100);
    let together = back.iter().map(|t| back.iter().filter(|o| (*t..*t + 50 * MS).contains(o)).count()).max();
    assert!(together < Some(50), "{together:?} of 100 come back within 50 ms");
}

/// Guards against a fleet that turns queries away beside cold servers with room, and against one whose coordinators
/// save up until together they push a cold server over. What a coordinator may send one and does not adds up to a third
/// of the root of their number, at least to one part: so many may go at once and not one more, however long it
/// left them unused while other servers completed parts for it.
#[test]
fn credit_left_unused_at_a_cold_server_adds_up_among_many_coordinators_only() {
    let work = 50 * MS;
    for (coordinators, fit) in [(1, 1), (3, 1), (9, 1), (36, 2), (100, 3), (320, 5)] {
        // Shard 0 is held by the cold server alone, shard 1 by one that is warm.
        let layout = ShardLayout { partition_groups: 2, groups_per_shard: 1, ..settings().layout };
        let set = Settings { coordinators, layout, ..settings() };
        let entries =
            [0, 1].map(|cell| EndpointRecord { partition_group: cell, ..entry(cell, EndpointState::Active) });
        let restart = START + 1000 * MS;
        for unused in [set.slow_start.warm_up_duration / 2, set.slow_start.warm_up_duration - 200 * MS] {
            let mut coordinator = Coordinator::new(&set, 1, &entries);
            let started = EndpointRecord { started_at: restart, ..entries[0] };
            let news =
                vec![Event::EndpointsUpdated { kind: EndpointUpdateKind::Delta, records: vec![started] }];
            coordinator.policy.round(restart, news);
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

/// Guards against trusting a server that stands still half of the time anew for each part that it answers: where a
/// coordinator sends to it once in seconds, it comes after the others for long.
#[test]
fn a_server_that_stands_still_now_and_then_is_left_for_others_where_traffic_is_thin() {
    let mut set = Settings { coordinators: 100, ..settings() };
    set.classes.iter_mut().for_each(|c| c.latency_objective = 300 * MS);
    let mut harness = PolicyHarness::new(set, 4);
    let (mut at_bad, mut all) = (0, 0);
    for _ in 0..120 {
        harness.now += 1000 * MS;
        let mut actions = harness.query(0, 1).2;
        let mut attempt = 0;
        while let Some(&sent) = sends(&actions).first() {
            all += 1;
            let standing = sent.server.0 == 0 && at_bad % 2 == 0;
            at_bad += usize::from(sent.server.0 == 0);
            let (outcome, latency) =
                if standing { (Outcome::TimedOut, 200 * MS) } else { (Outcome::Success, 50 * MS) };
            harness.now += latency;
            actions = harness.round(vec![harness.ended_after(&sent, attempt, outcome, latency)]);
            attempt += 1;
        }
    }
    assert!(at_bad > 2 && at_bad * 6 < all, "{at_bad} of {all} parts");
}

/// Guards against opening connections for work that may prove needless: a hundred that do cost their nodes a handshake
/// each, and what is sent on a new connection may begin when its query is over. The copy of an overdue part goes over
/// an open connection; without one the part is called off and tried elsewhere.
#[test]
fn a_copy_goes_over_an_open_connection_only() {
    for (idle, called_off) in [(30_000 * MS, 0), (50 * MS, 1)] {
        let mut harness =
            PolicyHarness::new(Settings { connection_idle_timeout: Some(idle), ..settings() }, 2);
        for _ in 0..12 {
            let sent = [harness.query(0, 1).2, harness.query(0, 1).2].map(|actions| sends(&actions)[0]);
            assert_ne!(sent[0].server, sent[1].server);
            harness.now += 100 * MS;
            harness.round(sent.map(|s| harness.ended(&s, 0, Outcome::Success)).to_vec());
        }
        harness.query(0, 1);
        let later = harness.pass(600 * MS);
        let cancels = later.iter().filter(|a| matches!(a, Action::CancelAttempt { .. })).count();
        assert_eq!((sends(&later).len(), cancels), (1, called_off), "idle after {idle}");
    }
}

/// Guards against giving up queries whose parts were turned away unrun by full servers, as happens to many coordinators
/// at once: where no budget is told, only tries that repeat work count towards the bound of our own.
#[test]
fn a_part_that_was_turned_away_is_tried_again_without_a_charge() {
    let tried_again = |outcome| {
        let mut harness = PolicyHarness::new(Settings { retry_budget: None, ..settings() }, 60);
        let mut again = 0;
        for _ in 0..20 {
            let first = sends(&harness.query(0, 1).2);
            let ended = first.iter().map(|s| harness.ended_after(s, 0, outcome, MS)).collect();
            again += sends(&harness.round(ended)).len();
            harness.now += 10 * MS;
        }
        again
    };
    let (unrun, run) = (tried_again(Outcome::Rejected), tried_again(Outcome::ServerError));
    assert!(unrun > 15 && run < 15, "{unrun} of 20 turned away, {run} of 20 that failed");
}

/// Guards a fleet of coordinators with thin traffic against an overload that none of them can pace, since each has but
/// one query out: where few of their queries are answered in time, most are turned away at once, and none where they
/// are. What can be paced, by the bound of parts out or by that of a server that is sent much, is left to it.
#[test]
fn queries_that_cannot_be_paced_are_throttled_by_those_in_time() {
    let turned_away = |servers, parts, latency| {
        // Fifty parts may be out at once at the start.
        let mut harness =
            PolicyHarness::new(Settings { coordinators: 100, max_open: 200, ..settings() }, servers);
        let mut refused = 0;
        for n in 0..60 {
            let actions = harness.query(0, parts).2;
            let at_once = actions.iter().any(|a| matches!(a, Action::Reject { .. }));
            refused += usize::from(n >= 10 && at_once);
            harness.now += latency;
            let ended = sends(&actions)
                .iter()
                .map(|s| harness.ended_after(s, 0, Outcome::Success, latency))
                .collect();
            harness.round(ended);
            harness.pass(1500 * MS - latency);
        }
        refused
    };
    assert_eq!(turned_away(400, 60, 100 * MS), 0);
    let (unpaced, paced) = (turned_away(400, 60, 1500 * MS), turned_away(400, 1, 1500 * MS));
    assert!(unpaced > 25 && paced == 0, "{unpaced} and {paced} of 50");
    // So much goes to each server that its own bound paces.
    assert_eq!(turned_away(8, 60, 1500 * MS), 0);
}

/// Guards against a coordinator that turns away all that it gets: however few of its queries are answered in time, no 4 s
/// pass in which it sends nothing.
#[test]
fn a_throttled_coordinator_sends_something_within_four_seconds() {
    let mut harness = PolicyHarness::new(Settings { coordinators: 100, max_open: 200, ..settings() }, 800);
    let (mut sent_at, mut longest, mut actions) = (harness.now, 0, Vec::new());
    // Where the attempts at each part went, in their order.
    let mut tried: std::collections::BTreeMap<PartId, Vec<ServerId>> = Default::default();
    for _ in 0..600 {
        actions.extend(harness.query(0, 60).2);
        actions.extend(harness.pass(100 * MS));
        for sent in sends(&actions) {
            tried.entry(sent.part).or_default().push(sent.server);
            sent_at = harness.now;
        }
        // None is answered: each ends with its query.
        let ended = actions.iter().filter_map(|action| match action {
            Action::CancelAttempt { part, attempt } => Some(Event::AttemptEnded {
                part: *part,
                attempt: *attempt,
                server: tried[part][*attempt as usize],
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
