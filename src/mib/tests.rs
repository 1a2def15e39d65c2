//! The registry against the MIB file, and the served objects against the registry.

use super::class_table::ENDS;
use super::node_table::OUTCOMES;
use super::*;
use crate::api::EndpointState;
use curlewdeck_accounting::node_table::NodeBounds;
use curlewdeck_accounting::RequestLedger;
use curlewdeck_accounting::{QueryEnd, ATTEMPT_OUTCOMES};

fn ledger_snapshot() -> LedgerSnapshot {
    let text = crate::config::Config::read(include_str!("../../examples/config.json"), |_| None).unwrap();
    let mut ledger = RequestLedger::new(
        &text.deployment.settings.classes,
        &text.deployment.class_names,
        NodeBounds { max_rows: 4, retention: 1 },
    );
    ledger.query_accepted(0, crate::api::QueryId(1), crate::api::ClassId(0));
    ledger.query_answered(5_000_000, crate::api::QueryId(1), true, 1.0);
    ledger.node_state(0, crate::api::ServerId(0), "s", EndpointState::Active);
    ledger.snapshot(0)
}

/// The file is what managers read: it must be what is served.
#[test]
fn the_mibs_file_is_written_from_the_registry() {
    let file = include_str!("../../mibs/CURLEWDECK-MIB.txt");
    assert!(file == module().text(), "mibs/CURLEWDECK-MIB.txt differs: write it with 'curlewdeck mib'");
}

/// Every object of the registry is served with its kind, and nothing else below the module's root.
#[test]
fn what_is_served_is_what_the_registry_says() {
    let group = MemberStatus { voters: vec![1 << 40], ..MemberStatus::default() };
    let (module, served) = (module(), objects(&Counters::default(), &ledger_snapshot(), 0, Some(&group)));
    for (oid, object) in module.objects() {
        let mut values = served.iter().filter(|o| o.0.starts_with(&oid)).peekable();
        assert!(values.peek().is_some(), "{} is not served", object.name);
        assert!(values.all(|o| object.syntax.fits(&o.1)), "{} is of another kind", object.name);
    }
    for (oid, _) in served.iter().filter(|o| o.0.starts_with(&ROOT)) {
        assert!(module.object_of(oid).is_some(), "{oid:?} is not in the registry");
    }
}

/// Managers know objects by these numbers: they stay.
#[test]
fn the_first_counters_keep_their_numbers() {
    let module = module();
    for (name, n) in [("cdClientsAccepted", 1), ("cdQueriesTaken", 4), ("cdListChanges", 26)] {
        assert_eq!(module.name_of(name), Some([&ROOT[..], &[1, n]].concat()));
    }
    fn named(kinds: &[(&'static str, i32)]) -> Vec<&'static str> {
        kinds.iter().map(|k| k.0).collect()
    }
    assert_eq!(named(ENDS), QueryEnd::ALL.map(QueryEnd::name));
    assert_eq!(named(OUTCOMES), ATTEMPT_OUTCOMES.map(|o| o.1));
}
