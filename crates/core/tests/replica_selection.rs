//! Replica selection: the choice of the server for each part.

mod common;

use common::*;
use curlewdeck_core::api::*;

#[test]
fn first_attempts_go_to_the_replica_with_the_fewest_in_flight() {
    let mut harness = PolicyHarness::new(settings(), 3);
    let (_, _, actions) = harness.query(0, 3);
    let mut servers: Vec<u32> = sends(&actions).iter().map(|s| s.server.0).collect();
    servers.sort_unstable();
    assert_eq!(servers, [0, 1, 2]);
}

/// Cross-zone traffic costs money and has no benefit between equal replicas. The number of calls in flight takes
/// precedence over the zone.
#[test]
fn the_local_zone_comes_first_among_equal_replicas() {
    let mut harness = PolicyHarness::new(Settings { zones: 2, local_zone: Some(ZoneId(1)), ..settings() }, 0);
    let to_record = |s| EndpointRecord { zone: Some(ZoneId(s % 2)), ..record(s, EndpointState::Active) };
    harness.round(vec![Event::EndpointsUpdated {
        kind: EndpointUpdateKind::Snapshot,
        records: (0..4).map(to_record).collect(),
    }]);
    serve(&mut harness, 20, 0, |_| false);
    let (_, _, actions) = harness.query(0, 4);
    let mut zones: Vec<u32> = sends(&actions).iter().map(|s| s.server.0 % 2).collect();
    assert_eq!(zones[..2], [1, 1], "{zones:?}");
    zones.sort_unstable();
    assert_eq!(zones, [0, 0, 1, 1]);
}
