use super::*;
use crate::api::{ClassId, QueryId, ServerId};
use curlewdeck_accounting::node_table::NodeBounds;
use curlewdeck_accounting::RequestLedger;

const S: Nanos = 1_000_000_000;

fn ledger() -> RequestLedger {
    let config =
        crate::config::Config::read(include_str!("../../../examples/config.json"), |_| None).unwrap();
    RequestLedger::new(
        &config.deployment.settings.classes,
        &config.deployment.class_names,
        NodeBounds { max_rows: 4, retention: S },
    )
}

/// The names of the alerts for an observation with the given counters, which the ledger does not contain.
fn alerts(
    detector: &mut AlertDetector,
    ledger: &mut RequestLedger,
    now: Nanos,
    (list_overdue, snmp_denied, open_descriptors): (u64, u64, usize),
) -> Vec<&'static str> {
    let ledger = ledger.snapshot(now);
    let descriptors = DescriptorUse { open: open_descriptors, limit: 100 };
    let notices = detector.detect(&Observation { ledger, list_overdue, snmp_denied, descriptors });
    notices.iter().map(|notice| detector.notification_name(notice)).collect()
}

#[test]
fn each_drain_and_each_removal_raises_one_alert() {
    let (mut detector, mut ledger) = (AlertDetector::new(0.1), ledger());
    ledger.node_state(0, ServerId(0), "s", EndpointState::Draining);
    assert!(
        alerts(&mut detector, &mut ledger, 0, (0, 0, 0)).is_empty(),
        "the first observation raises no alert"
    );
    ledger.node_state(0, ServerId(0), "s", EndpointState::Active);
    ledger.node_state(0, ServerId(0), "s", EndpointState::Draining);
    assert_eq!(alerts(&mut detector, &mut ledger, 0, (0, 0, 0)), ["cdNodeDraining"]);
    assert!(alerts(&mut detector, &mut ledger, 0, (0, 0, 0)).is_empty());
    ledger.node_removed(0, ServerId(0));
    assert_eq!(alerts(&mut detector, &mut ledger, 0, (0, 0, 0)), ["cdNodeLost"]);
    assert!(alerts(&mut detector, &mut ledger, 9 * S, (0, 0, 0)).is_empty(), "its row was removed");
    assert!(detector.nodes.as_ref().is_some_and(BTreeMap::is_empty));
    // A data node that is added and starts to drain between two observations.
    ledger.node_state(9 * S, ServerId(1), "t", EndpointState::Draining);
    assert_eq!(alerts(&mut detector, &mut ledger, 9 * S, (0, 0, 0)), ["cdNodeDraining"]);
}

#[test]
fn rejections_above_the_ratio_raise_an_alert() {
    let (mut detector, mut ledger) = (AlertDetector::new(0.1), ledger());
    alerts(&mut detector, &mut ledger, 0, (0, 0, 0));
    for n in 0..100 {
        ledger.query_accepted(0, QueryId(n), ClassId(0));
        ledger.query_ended(QueryId(n), if n < 10 { QueryEnd::Rejected } else { QueryEnd::Failed });
    }
    assert!(
        alerts(&mut detector, &mut ledger, 11 * S, (0, 0, 0)).is_empty(),
        "a tenth is not more than a tenth"
    );
    ledger.queries_rejected_queue_full(ClassId(0), 25);
    assert!(alerts(&mut detector, &mut ledger, 12 * S, (0, 0, 0)).is_empty(), "the window is not over");
    assert_eq!(alerts(&mut detector, &mut ledger, 22 * S, (0, 0, 0)), ["cdRefusalsHigh"]);
    ledger.queries_rejected_queue_full(ClassId(0), 30);
    assert!(alerts(&mut detector, &mut ledger, 33 * S, (0, 0, 0)).is_empty(), "too few queries");
}

#[test]
fn increases_of_other_counters_raise_alerts() {
    let (mut detector, mut ledger) = (AlertDetector::new(0.1), ledger());
    assert_eq!(alerts(&mut detector, &mut ledger, 0, (1, 0, 90)), ["cdListSilent"]);
    assert_eq!(alerts(&mut detector, &mut ledger, 0, (1, 2, 91)), ["cdSecurityFailure", "cdDescriptorsLow"]);
    assert!(alerts(&mut detector, &mut ledger, 0, (1, 2, 95)).is_empty());
    alerts(&mut detector, &mut ledger, 0, (1, 2, 50));
    assert_eq!(alerts(&mut detector, &mut ledger, 0, (1, 2, 95)), ["cdDescriptorsLow"]);
}

/// Managers decode notifications by the MIB, so each must contain exactly the objects that the MIB defines for it.
#[test]
fn alerts_contain_the_objects_defined_in_the_mib() {
    let (mut detector, mut ledger) = (AlertDetector::new(0.1), ledger());
    ledger.node_state(0, ServerId(0), "s", EndpointState::Active);
    alerts(&mut detector, &mut ledger, 0, (0, 0, 0));
    ledger.node_state(0, ServerId(0), "s", EndpointState::Draining);
    ledger.node_removed(0, ServerId(0));
    let ledger = ledger.snapshot(0);
    let descriptors = DescriptorUse { open: 99, limit: 100 };
    let observation = Observation { ledger, list_overdue: 1, snmp_denied: 1, descriptors };
    for notice in detector.detect(&observation) {
        let defined = detector.module.notification_of(&notice.oid).unwrap();
        let contained: Vec<String> =
            notice.objects.iter().map(|o| detector.module.object_by_oid(&o.0).unwrap().0).collect();
        assert_eq!(contained, defined.objects, "{}", defined.name);
    }
}
