//! Invalid settings, unknown ids and invalid events.

mod common;

use common::*;
use curlewdeck_core::api::*;
use curlewdeck_core::Policy;

#[test]
fn errors_name_the_invalid_setting() {
    let mut without_classes = settings();
    without_classes.classes.clear();
    assert_eq!(Policy::new(without_classes, 1).err(), Some(SettingsError::NoClasses));
    let mut without_groups = settings();
    without_groups.layout.partition_groups = 0;
    assert!(matches!(Policy::new(without_groups, 1), Err(SettingsError::InvalidLayout(_))));
    let mut with_invalid_coverage = settings();
    with_invalid_coverage.classes[1].complete_coverage = f64::NAN;
    assert!(matches!(Policy::new(with_invalid_coverage, 1), Err(SettingsError::InvalidClass(ClassId(1), _))));
    let mut without_attempts = settings();
    without_attempts.classes[0].max_attempts = 0;
    assert!(Policy::new(without_attempts, 1).is_err_and(|e| e.to_string().contains("max_attempts")));
}

#[test]
fn settings_out_of_range_are_errors_and_unknown_ids_are_ignored() {
    let bad = Policy::new(Settings { zones: u32::MAX, ..settings() }, 1);
    assert!(matches!(bad, Err(SettingsError::InvalidValue(what)) if what.contains("zones")));
    let mut harness = harness_with_zones(settings(), &[0, 9, 4_000_000]);
    let served = serve(&mut harness, 9, 0, |_| false);
    assert_eq!(served.len(), 9, "a zone out of range counts as unknown");
    harness.round(vec![Event::HealthChecked {
        server: ServerId(77),
        outcome: Outcome::ConnectionReset,
        latency: u64::MAX,
    }]);
    let unknown = Sent { part: PartId(1 << 40), server: ServerId(0) };
    assert!(
        sends(&harness.round(vec![harness.ended_after(&unknown, 3, Outcome::Success, u64::MAX)])).is_empty()
    );
}

#[test]
fn unknown_ids_and_a_clock_that_runs_backwards_are_ignored() {
    let mut harness = PolicyHarness::new(settings(), 1);
    let unknown = Sent { part: PartId(77), server: ServerId(9) };
    let events = vec![
        Event::ClientDisconnected(QueryId(5)),
        harness.ended(&unknown, 3, Outcome::Success),
        Event::PartArrived { id: PartId(1), query: QueryId(99), shard: ShardId(u32::MAX), weight: f64::NAN },
        Event::TimerFired,
    ];
    assert!(sends(&harness.round(events)).is_empty());
    harness.now -= 500 * MS;
    let (_, _, actions) = harness.query(0, 1);
    assert_eq!(sends(&actions).len(), 1, "a time before the latest one counts as the latest");
}
