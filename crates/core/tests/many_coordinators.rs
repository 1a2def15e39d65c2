//! Many coordinators over scripted time: what all of them together send to one server, for a few coordinators
//! and for a hundred.

mod common;

use common::*;
use curlewdeck_core::api::*;

const STEP: Nanos = 10 * MS;

/// The most parts that reached a server which has just started within one overload window, as a share of what
/// the rule allows in it, and beyond that and what is put down to chance: all coordinators send what eight
/// servers of so many parts a second can do at 60%.
fn overload_by_fleet(coordinators: u32, rate: f64) -> (f64, f64) {
    let set = Settings { coordinators, ..settings() };
    let slow_start = set.slow_start;
    let records: Vec<EndpointRecord> = (0..8).map(|s| record(s, EndpointState::Active)).collect();
    let mut fleet: Vec<Coordinator> =
        (0..coordinators).map(|n| Coordinator::new(&set, u64::from(n) + 1, &records)).collect();
    let mut rng = fastrand::Rng::with_seed(5);
    let chance = 0.6 * 8.0 * rate / 4.0 / f64::from(coordinators) * (STEP as f64 / 1e9);
    let restart = START + 10_000 * MS;
    let mut reached: Vec<Nanos> = Vec::new();
    for now in (START..restart + 8000 * MS).step_by(STEP as usize) {
        for coordinator in &mut fleet {
            if now == restart {
                let records = vec![EndpointRecord { started_at: now, ..record(7, EndpointState::Active) }];
                coordinator
                    .policy
                    .round(now, vec![Event::EndpointsUpdated { kind: EndpointUpdateKind::Delta, records }]);
            }
            let parts = if rng.f64() < chance { 4 } else { 0 };
            let (sent, _) = coordinator.round(now, parts, (1e9 / rate * 2.0) as Nanos);
            reached.extend(sent.iter().filter(|s| s.0 == 7 && now >= restart).map(|_| now));
        }
    }
    assert!(!reached.is_empty(), "a server in slow start gets its share");
    let window = |from: usize| {
        let begin = reached[from];
        let capacity_ratio = slow_start.initial_capacity_ratio
            + (1.0 - slow_start.initial_capacity_ratio) * (begin - restart) as f64
                / slow_start.warm_up_duration as f64;
        let allowed =
            slow_start.overload_multiple * capacity_ratio * rate * slow_start.overload_duration as f64 / 1e9;
        let sent =
            reached[from..].iter().take_while(|&&t| t < begin + slow_start.overload_duration).count() as f64;
        (sent / allowed, sent - allowed - 2.0 * allowed.sqrt() - 2.0)
    };
    (0..reached.len()).map(window).fold((0.0, f64::MIN), |w, n| (w.0.max(n.0), w.1.max(n.1)))
}

/// Guards against a server in slow start that each coordinator alone sends little, and all together push
/// over.
#[test]
fn three_or_a_hundred_coordinators_together_keep_the_slow_start_rule() {
    for coordinators in [3, 100] {
        let share = overload_by_fleet(coordinators, 60.0).0;
        assert!(share < 1.0, "{coordinators} coordinators send {share:.2} times what it bears");
    }
}

/// Guards the budget of a small server in slow start, of which a few calls are all: beyond its N calls only 2
/// x root of N + 2 are put down to chance, however many processes share it.
#[test]
fn coordinators_together_keep_the_slow_start_rule_of_a_small_server() {
    for coordinators in [3, 20, 30, 100] {
        for rate in [5.0, 10.0, 20.0] {
            let over = overload_by_fleet(coordinators, rate).1;
            assert!(
                over <= 0.0,
                "{coordinators} coordinators send {over:.1} calls too many at {rate} a second"
            );
        }
    }
}

/// Guards against clients that were rejected at one moment by a hundred coordinators and come back at one
/// moment.
#[test]
fn clients_rejected_by_a_hundred_coordinators_do_not_come_back_together() {
    let set = Settings { coordinators: 100, ..settings() };
    let mut back: Vec<Nanos> = Vec::new();
    for n in 0..100 {
        // No data node is known: nothing can be served.
        let mut coordinator = Coordinator::new(&set, n + 1, &[]);
        coordinator.round(START, 1, MS);
        for now in (START..START + 4000 * MS).step_by(STEP as usize) {
            let (_, actions) = coordinator.round(now, 0, MS);
            back.extend(actions.iter().filter_map(|a| match a {
                Action::Reject { retry_after, .. } => Some(now + retry_after),
                _ => None,
            }));
        }
    }
    back.sort_unstable();
    assert_eq!(back.len(), 100);
    let together = back.iter().map(|t| back.iter().filter(|o| (*t..*t + 50 * MS).contains(o)).count()).max();
    assert!(together < Some(50), "{together:?} of 100 come back within 50 ms");
}
