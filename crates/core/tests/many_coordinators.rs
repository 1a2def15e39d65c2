//! Fleets of a few and of a hundred coordinators in simulated time: the load that they send to one server in total.

mod common;

use common::*;
use curlewdeck_core::api::*;

const STEP: Nanos = 10 * MS;

/// Restarts one of eight servers and returns two maxima over all overload windows of its slow start: the parts that
/// reached it as a share of the slow start allowance, and the parts that exceed the allowance plus a tolerance for
/// random variation. Each server has a capacity of `rate` parts a second; the total load is 60% of all capacity.
fn max_overload_by_fleet(coordinators: u32, rate: f64) -> (f64, f64) {
    let settings = Settings { coordinators, ..settings() };
    let slow_start = settings.slow_start;
    let records: Vec<EndpointRecord> = (0..8).map(|s| record(s, EndpointState::Active)).collect();
    let mut fleet: Vec<Coordinator> =
        (0..coordinators).map(|n| Coordinator::new(&settings, u64::from(n) + 1, &records)).collect();
    let mut rng = fastrand::Rng::with_seed(5);
    let query_probability = 0.6 * 8.0 * rate / 4.0 / f64::from(coordinators) * (STEP as f64 / 1e9);
    let restart = START + 10_000 * MS;
    let mut arrivals: Vec<Nanos> = Vec::new();
    for now in (START..restart + 8000 * MS).step_by(STEP as usize) {
        for coordinator in &mut fleet {
            if now == restart {
                let records = vec![EndpointRecord { started_at: now, ..record(7, EndpointState::Active) }];
                coordinator
                    .policy
                    .round(now, vec![Event::EndpointsUpdated { kind: EndpointUpdateKind::Delta, records }]);
            }
            let parts = if rng.f64() < query_probability { 4 } else { 0 };
            let (sent, _) = coordinator.round(now, parts, (1e9 / rate * 2.0) as Nanos);
            arrivals.extend(sent.iter().filter(|s| s.0 == 7 && now >= restart).map(|_| now));
        }
    }
    assert!(!arrivals.is_empty(), "the server in slow start got no parts");
    let window = |from: usize| {
        let begin = arrivals[from];
        let capacity_ratio = slow_start.initial_capacity_ratio
            + (1.0 - slow_start.initial_capacity_ratio) * (begin - restart) as f64
                / slow_start.warm_up_duration as f64;
        let allowed =
            slow_start.overload_multiple * capacity_ratio * rate * slow_start.overload_duration as f64 / 1e9;
        let sent =
            arrivals[from..].iter().take_while(|&&t| t < begin + slow_start.overload_duration).count() as f64;
        (sent / allowed, sent - allowed - 2.0 * allowed.sqrt() - 2.0)
    };
    (0..arrivals.len()).map(window).fold((0.0, f64::MIN), |w, n| (w.0.max(n.0), w.1.max(n.1)))
}

/// The slow start limit applies to the sum over all coordinators: together they could overload a server to which each
/// of them sends little.
#[test]
fn three_or_a_hundred_coordinators_together_keep_the_slow_start_rule() {
    for coordinators in [3, 100] {
        let share = max_overload_by_fleet(coordinators, 60.0).0;
        assert!(share < 1.0, "{coordinators} coordinators send {share:.2} times the slow start allowance");
    }
}

/// A small server in slow start can take only a few calls in a window. With an allowance of N calls, all coordinators
/// together send at most N + 2 * sqrt(N) + 2 calls, however many coordinators share the allowance.
#[test]
fn coordinators_together_keep_the_slow_start_rule_of_a_small_server() {
    for coordinators in [3, 20, 30, 100] {
        for rate in [5.0, 10.0, 20.0] {
            let excess = max_overload_by_fleet(coordinators, rate).1;
            assert!(
                excess <= 0.0,
                "{coordinators} coordinators send {excess:.1} calls too many at {rate} a second"
            );
        }
    }
}

/// Clients that a hundred coordinators reject at the same time must not all retry at the same time: retry-after times
/// are spread.
#[test]
fn clients_rejected_by_a_hundred_coordinators_do_not_retry_together() {
    let settings = Settings { coordinators: 100, ..settings() };
    let mut retry_times: Vec<Nanos> = Vec::new();
    for n in 0..100 {
        // Without data nodes, every query is rejected.
        let mut coordinator = Coordinator::new(&settings, n + 1, &[]);
        coordinator.round(START, 1, MS);
        for now in (START..START + 4000 * MS).step_by(STEP as usize) {
            let (_, actions) = coordinator.round(now, 0, MS);
            retry_times.extend(actions.iter().filter_map(|a| match a {
                Action::Reject { retry_after, .. } => Some(now + retry_after),
                _ => None,
            }));
        }
    }
    retry_times.sort_unstable();
    assert_eq!(retry_times.len(), 100);
    let retries_from = |t: &Nanos| retry_times.iter().filter(|o| (*t..*t + 50 * MS).contains(o)).count();
    let together = retry_times.iter().map(retries_from).max();
    assert!(together < Some(50), "{together:?} of 100 clients retry within 50 ms");
}
