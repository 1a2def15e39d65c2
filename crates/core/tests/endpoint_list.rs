//! The endpoint list: who may be sent attempts by it, and when it may be used.

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

/// A policy that knows the list from before its start, and no other.
fn restarted() -> PolicyHarness {
    let mut harness = PolicyHarness::new(settings(), 0);
    harness.policy = Policy::new(settings(), 7).unwrap();
    let records = (0..3).map(|s| record(s, EndpointState::Active)).collect();
    harness.round(vec![Event::EndpointsUpdated { kind: EndpointUpdateKind::Unconfirmed, records }]);
    harness
}

/// Guards servers that began to drain while this process was away: what the one before it was notified of
/// counts for it too. Queries go out with the first update, if only an empty one, where that leaves a
/// server in.
#[test]
fn nothing_is_sent_by_an_unconfirmed_list() {
    for (kind, draining) in
        [(EndpointUpdateKind::Delta, 1), (EndpointUpdateKind::Snapshot, 3), (EndpointUpdateKind::Delta, 0)]
    {
        let mut harness = restarted();
        assert!(sends(&harness.query(0, 3).2).is_empty());
        assert!(sends(&harness.pass(300 * MS)).is_empty());
        let records: Vec<_> = (0..draining).map(|s| record(s, EndpointState::Draining)).collect();
        let sent = sends(&harness.round(vec![Event::EndpointsUpdated { kind, records }]));
        assert!(sent.iter().all(|s| s.server.0 >= draining), "{sent:?}");
        assert_eq!(sent.is_empty(), draining == 3, "{sent:?}");
    }
}

/// Guards against a wait that time alone ends: whether the list may be used is for the subscription to say.
#[test]
fn an_unconfirmed_list_does_not_become_usable_with_time() {
    let mut harness = restarted();
    for _ in 0..100 {
        assert!(sends(&harness.query(0, 1).2).is_empty());
        assert!(sends(&harness.pass(1000 * MS)).is_empty());
    }
}
