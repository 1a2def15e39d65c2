//! CURLEWDECK-MIB: object definitions and snapshots of their values.
//!
//! The MIB is registered under 32473, the enterprise number that RFC 5612 reserves for examples. An operator with its
//! own enterprise number changes [`ROOT`] and regenerates the MIB file with `curlewdeck mib`.

mod class_table;
mod instances;
mod node_table;
mod notifications;
mod replication_group;
mod scalars;

#[cfg(test)]
mod tests;

use curlewdeck_accounting::LedgerSnapshot;
use curlewdeck_snmp::registry::{Module, Object, Syntax};
use curlewdeck_snmp::tree::Value;
use curlewdeck_snmp::Oid;

use self::instances::{text, Instances};
use crate::api::Nanos;
use crate::counters::Counters;
use crate::replication::driver::MemberStatus;

/// OID of `curlewdeck`, the root node of the MIB.
pub const ROOT: [u32; 8] = [1, 3, 6, 1, 4, 1, 32473, 1];
/// OID of the `system` group of SNMPv2-MIB.
const SYSTEM: [u32; 7] = [1, 3, 6, 1, 2, 1, 1];
/// Number of `system` objects served: `sysDescr`, `sysObjectID` and `sysUpTime`.
const SYSTEM_OBJECTS: u32 = 3;

const CONFORMANCE_ARC: u32 = 2;
const TABLES_ARC: u32 = 3;

const NANOS_PER_TICK: Nanos = 10_000_000;

fn object(arc: u32, name: &str, syntax: Syntax, units: &'static str, description: &str) -> Object {
    Object { name: name.to_string(), arc, syntax, units, description: description.to_string() }
}

/// Returns the definition of CURLEWDECK-MIB.
pub fn module() -> Module {
    Module {
        name: "CURLEWDECK-MIB",
        root_name: "curlewdeck",
        root: ROOT.to_vec(),
        revisions: vec![
            ("202612020100Z", "The group of coordinators: its scalars and the table of its members."),
            ("202612011700Z", "Tables of classes, ends, latencies and data nodes; notifications."),
            ("202612011600Z", "Counters of the desk front."),
            ("202612010000Z", "First version."),
        ],
        description: "What a coordinator of queries over many shards has served. All objects are read-only. Counters begin at zero when the process starts: see cdDiscontinuityTime.",
        groups: vec![scalars::counters(), scalars::general(), replication_group::scalars()],
        tables_arc: TABLES_ARC,
        tables: vec![
            class_table::class_table(),
            class_table::end_table(),
            class_table::latency_table(),
            node_table::node_table(),
            node_table::outcome_table(),
            replication_group::voter_table(),
        ],
        notifications: notifications::all(),
        conformance_arc: CONFORMANCE_ARC,
    }
}

/// Hundredths of a second from `started_at` to `at`; wraps to zero after 497 days.
pub fn ticks(started_at: Nanos, at: Nanos) -> u32 {
    (at.saturating_sub(started_at) / NANOS_PER_TICK) as u32
}

/// Returns all instances of the module and of `system` with their values, for a process that started at `started_at`.
/// `status` is the process's status in its replication group; `None` if it is not a member of one.
pub fn objects(
    counters: &Counters,
    ledger: &LedgerSnapshot,
    started_at: Nanos,
    status: Option<&MemberStatus>,
) -> Vec<(Oid, Value)> {
    let mut instances = Instances::default();
    instances.system([
        text(concat!("curlewdeck ", env!("CARGO_PKG_VERSION"))),
        Value::Name(ROOT.to_vec()),
        Value::Ticks(ticks(started_at, ledger.at)),
    ]);
    scalars::counter_values(&mut instances, counters);
    scalars::general_values(&mut instances, ledger);
    replication_group::scalar_values(&mut instances, status);
    class_table::rows(&mut instances, &ledger.classes);
    node_table::rows(&mut instances, &ledger.nodes, started_at);
    if let Some(status) = status {
        replication_group::voter_rows(&mut instances, status);
    }
    instances.into_values()
}

/// Returns the OIDs of all served objects, without instance suffixes.
pub fn object_oids() -> Vec<Oid> {
    let system = (1..=SYSTEM_OBJECTS).map(|arc| [&SYSTEM[..], &[arc]].concat());
    system.chain(module().objects().into_iter().map(|o| o.0)).collect()
}
