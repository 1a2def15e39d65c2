//! The endpoint list: the servers that get attempts, and the times at which the list is usable.

mod common;

use common::*;
use curlewdeck_core::api::*;
use curlewdeck_core::Policy;

#[test]
fn draining_removed_and_missing_servers_get_no_attempt() {
    let mut harness = PolicyHarness::new(settings(), 3);
    let records = vec![record(0, EndpointState::Draining), record(1, EndpointState::Removed)];
    harness.round(vec![Event::EndpointsUpdated { kind: EndpointUpdateKind::Delta, records }]);
    let (_, _, actions) = harness.query(0, 3);
    assert!(sends(&actions).iter().all(|s| s.server == ServerId(2)));
    let full = Event::EndpointsUpdated {
        kind: EndpointUpdateKind::Snapshot,
        records: vec![record(0, EndpointState::Active)],
    };
    harness.round(vec![full]);
    let (_, _, actions) = harness.query(0, 1);
    assert_eq!(sends(&actions)[0].server, ServerId(0));
}

/// Creates a policy whose only endpoint list is the unconfirmed one from before the restart of its process.
fn restarted() -> PolicyHarness {
    let mut harness = PolicyHarness::new(settings(), 0);
    harness.policy = Policy::new(settings(), 7).unwrap();
    let records = (0..3).map(|s| record(s, EndpointState::Active)).collect();
    harness.round(vec![Event::EndpointsUpdated { kind: EndpointUpdateKind::Unconfirmed, records }]);
    harness
}

/// Servers may begin to drain while the process restarts, and a notification to the previous process binds the new one
/// too. Queries wait for the first update, which may be empty, and are sent if it leaves a server active.
#[test]
fn no_attempt_is_sent_while_the_list_is_unconfirmed() {
    for (kind, draining) in
        [(EndpointUpdateKind::Delta, 1), (EndpointUpdateKind::Snapshot, 3), (EndpointUpdateKind::Delta, 0)]
    {
        let mut harness = restarted();
        assert!(sends(&harness.query(0, 3).2).is_empty());
        assert!(sends(&harness.advance(300 * MS)).is_empty());
        let records: Vec<_> = (0..draining).map(|s| record(s, EndpointState::Draining)).collect();
        let sent = sends(&harness.round(vec![Event::EndpointsUpdated { kind, records }]));
        assert!(sent.iter().all(|s| s.server.0 >= draining), "{sent:?}");
        assert_eq!(sent.is_empty(), draining == 3, "{sent:?}");
    }
}

/// Only an update from the subscription makes an unconfirmed list usable; no timeout does.
#[test]
fn an_unconfirmed_list_does_not_become_usable_with_time() {
    let mut harness = restarted();
    for _ in 0..100 {
        assert!(sends(&harness.query(0, 1).2).is_empty());
        assert!(sends(&harness.advance(1000 * MS)).is_empty());
    }
}
