//! Scalars of the process: its counters, and gauges of open queries and attempts.

use curlewdeck_accounting::{ClassRow, LedgerSnapshot};
use curlewdeck_snmp::registry::{Group, Syntax};
use curlewdeck_snmp::tree::Value;

use super::instances::{gauge, Instances};
use super::object;
use crate::counters::Counters;

const COUNTERS_ARC: u32 = 1;
const GENERAL_ARC: u32 = 4;

/// Defines one scalar for each counter of the process, numbered in definition order.
pub(super) fn counters() -> Group {
    let objects = (1..).zip(Counters::described());
    let objects =
        objects.map(|(arc, (name, doc))| object(arc, name, Syntax::Counter64, "", doc.trim())).collect();
    Group { name: "cdCounters", arc: COUNTERS_ARC, conformance: "cdCounterGroup", objects }
}

/// Defines the scalars that are not counters of [`Counters`].
pub(super) fn general() -> Group {
    let objects = vec![
        object(
            1,
            "cdDiscontinuityTime",
            Syntax::TimeStamp,
            "",
            "The value of sysUpTime when all counters of this MIB began at zero: they end with the process.",
        ),
        object(2, "cdQueriesOpen", Syntax::Gauge32, "queries", "Queries that were taken and have not ended."),
        object(
            3,
            "cdAttemptsOut",
            Syntax::Gauge32,
            "attempts",
            "Attempts that were started and have not ended.",
        ),
        object(
            4,
            "cdNodesEvicted",
            Syntax::Counter64,
            "rows",
            "Rows of the node table that went before their time to make room for others.",
        ),
        object(
            5,
            "cdNodesUnlisted",
            Syntax::Counter64,
            "nodes",
            "Data nodes that found no room in the node table; they count in the totals.",
        ),
    ];
    Group { name: "cdGeneral", arc: GENERAL_ARC, conformance: "cdGeneralGroup", objects }
}

/// Adds the values of [`counters`], in the same order.
pub(super) fn counter_values(instances: &mut Instances, counters: &Counters) {
    instances.scalars(COUNTERS_ARC, counters.all().into_iter().map(|(_, count)| Value::Counter64(count)));
}

/// Adds the values of [`general`], in the same order.
pub(super) fn general_values(instances: &mut Instances, ledger: &LedgerSnapshot) {
    let values = [
        // Counters begin with the process, as sysUpTime does: at zero, or at the totals of a restored ledger.
        Value::Ticks(0),
        gauge(ledger.sum(ClassRow::open)),
        gauge(ledger.attempts.in_flight()),
        Value::Counter64(ledger.nodes_evicted),
        Value::Counter64(ledger.nodes_unlisted),
    ];
    instances.scalars(GENERAL_ARC, values);
}
