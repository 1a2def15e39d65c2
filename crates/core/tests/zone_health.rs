//! Zone health: failures of several servers in one zone.

mod common;

use common::*;
use curlewdeck_core::api::*;

#[test]
fn a_degraded_zone_is_avoided_until_its_health_checks_pass() {
    let mut harness = harness_with_zones(settings(), &[0, 0, 0, 0, 1, 1]);
    serve(&mut harness, 30, 0, |_| false);
    let in_degraded_zone = |s: ServerId| s.0 < 4;
    serve(&mut harness, 30, 0, in_degraded_zone);
    let used = serve(&mut harness, 12, 0, in_degraded_zone);
    assert!(!used.iter().any(|&s| in_degraded_zone(s)), "{used:?}");
    let actions = harness.advance(1200 * MS);
    let health_checked: Vec<ServerId> = actions
        .iter()
        .filter_map(|a| if let Action::CheckHealth { server } = a { Some(*server) } else { None })
        .collect();
    assert!(
        !health_checked.is_empty() && health_checked.iter().all(|&s| in_degraded_zone(s)),
        "{health_checked:?}"
    );
    for _ in 0..8 {
        let passed =
            Event::HealthChecked { server: health_checked[0], outcome: Outcome::Success, latency: 2 * MS };
        harness.round(vec![passed]);
    }
    harness.advance(60_000 * MS);
    let used = serve(&mut harness, 12, 0, |_| false);
    assert!(used.iter().any(|&s| in_degraded_zone(s)), "{used:?}");
}

#[test]
fn one_silent_server_does_not_degrade_its_zone() {
    let mut harness = harness_with_zones(settings(), &[0, 0, 0, 0, 1, 1]);
    serve(&mut harness, 40, 0, |s| s.0 == 0);
    let used = serve(&mut harness, 24, 0, |s| s.0 == 0);
    assert!((1..4).all(|s| used.contains(&ServerId(s))), "{used:?}");
}
