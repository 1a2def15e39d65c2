//! Compares the registry with the MIB file and the served objects with the registry.

use super::class_table::ENDS;
use super::node_table::OUTCOMES;
use super::*;
use crate::api::EndpointState;
use curlewdeck_accounting::node_table::NodeBounds;
use curlewdeck_accounting::RequestLedger;
use curlewdeck_accounting::{QueryEnd, ATTEMPT_OUTCOMES};

fn ledger_snapshot() -> LedgerSnapshot {
    let config = crate::config::Config::read(include_str!("../../examples/config.json"), |_| None).unwrap();
    let mut ledger = RequestLedger::new(
        &config.deployment.settings.classes,
        &config.deployment.class_names,
        NodeBounds { max_rows: 4, retention: 1 },
    );
    ledger.query_accepted(0, crate::api::QueryId(1), crate::api::ClassId(0));
    ledger.query_answered(5_000_000, crate::api::QueryId(1), true, 1.0);
    ledger.node_state(0, crate::api::ServerId(0), "s", EndpointState::Active);
    ledger.snapshot(0)
}

/// Managers load the MIB file; it becomes stale when the registry changes and the file is not regenerated.
#[test]
fn mib_file_matches_the_registry() {
    let file = include_str!("../../mibs/CURLEWDECK-MIB.txt");
    assert!(
        file == module().text(),
        "mibs/CURLEWDECK-MIB.txt is out of date: regenerate it with 'curlewdeck mib'"
    );
}

/// Every registered object is served with a value of its syntax, and no other object is served below the module's root.
#[test]
fn served_objects_match_the_registry() {
    let status = MemberStatus { voters: vec![1 << 40], ..MemberStatus::default() };
    let (module, served) = (module(), objects(&Counters::default(), &ledger_snapshot(), 0, Some(&status)));
    for (oid, object) in module.objects() {
        let mut values = served.iter().filter(|o| o.0.starts_with(&oid)).peekable();
        assert!(values.peek().is_some(), "{} is not served", object.name);
        assert!(values.all(|o| object.syntax.matches(&o.1)), "{} has a value of another syntax", object.name);
    }
    for (oid, _) in served.iter().filter(|o| o.0.starts_with(&ROOT)) {
        assert!(module.object_by_oid(oid).is_some(), "{oid:?} is not in the registry");
    }
}

/// Managers identify objects and enumeration values by number; reordering the definitions would change the numbers.
#[test]
fn published_numbers_and_labels_do_not_change() {
    let module = module();
    for (name, n) in [("cdClientsAccepted", 1), ("cdQueriesTaken", 4), ("cdListChanges", 26)] {
        assert_eq!(module.oid_of(name), Some([&ROOT[..], &[1, n]].concat()));
    }
    fn labels(values: &[(&'static str, i32)]) -> Vec<&'static str> {
        values.iter().map(|v| v.0).collect()
    }
    assert_eq!(labels(ENDS), QueryEnd::ALL.map(QueryEnd::name));
    assert_eq!(labels(OUTCOMES), ATTEMPT_OUTCOMES.map(|o| o.1));
}
