//! Health of zones: failures that the servers of one zone share.

mod common;

use common::*;
use curlewdeck_core::api::*;

#[test]
fn a_degraded_zone_is_left_and_health_checks_bring_it_back() {
    let mut harness = harness_with_zones(settings(), &[0, 0, 0, 0, 1, 1]);
    serve(&mut harness, 30, 0, |_| false);
    let there = |s: ServerId| s.0 < 4;
    serve(&mut harness, 30, 0, there);
    let used = serve(&mut harness, 12, 0, there);
    assert!(!used.iter().any(|&s| there(s)), "{used:?}");
    let actions = harness.pass(1200 * MS);
    let health_checked: Vec<ServerId> = actions
        .iter()
        .filter_map(|a| if let Action::CheckHealth { server } = a { Some(*server) } else { None })
        .collect();
    assert!(!health_checked.is_empty() && health_checked.iter().all(|&s| there(s)), "{health_checked:?}");
    for _ in 0..8 {
        let passed =
            Event::HealthChecked { server: health_checked[0], outcome: Outcome::Success, latency: 2 * MS };
        harness.round(vec![passed]);
    }
    harness.pass(60_000 * MS);
    let used = serve(&mut harness, 12, 0, |_| false);
    assert!(used.iter().any(|&s| there(s)), "{used:?}");
}

#[test]
fn one_silent_server_does_not_degrade_its_zone() {
    let mut harness = harness_with_zones(settings(), &[0, 0, 0, 0, 1, 1]);
    serve(&mut harness, 40, 0, |s| s.0 == 0);
    let used = serve(&mut harness, 24, 0, |s| s.0 == 0);
    assert!((1..4).all(|s| used.contains(&ServerId(s))), "{used:?}");
}
