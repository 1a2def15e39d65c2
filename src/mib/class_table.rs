//! Tables of the query classes: query counts, outcomes and latencies.

use curlewdeck_accounting::{ClassRow, QueryEnd, LATENCY_QUANTILES};
use curlewdeck_snmp::registry::{Syntax, Table};
use curlewdeck_snmp::tree::Value;

use super::instances::{gauge, text, Instances};
use super::object;

const CLASS_TABLE_ARC: u32 = 1;
const END_TABLE_ARC: u32 = 2;
const LATENCY_TABLE_ARC: u32 = 3;

/// Labels of `cdEndKind`, in the order of [`QueryEnd::ALL`].
pub(super) const ENDS: &[(&str, i32)] =
    &[("wholeInTime", 1), ("wholeLate", 2), ("partial", 3), ("refused", 4), ("failed", 5), ("gone", 6)];

/// Defines the table of query classes.
pub(super) fn class_table() -> Table {
    use Syntax::{Counter32, Counter64, DisplayString, Gauge32, Unsigned32};
    Table {
        name: "cdClass",
        arc: CLASS_TABLE_ARC,
        description: "Classes of query, in the order of the settings.",
        index: vec!["cdClassIndex"],
        columns: vec![
            object(1, "cdClassIndex", Unsigned32, "", "The class's place in the settings, from 1."),
            object(2, "cdClassName", DisplayString, "", "Its name."),
            object(3, "cdClassTaken", Counter64, "queries", "Queries taken: the sum of cdClassOpen and of all rows of cdClassEndTable of this class."),
            object(4, "cdClassOpen", Gauge32, "queries", "Queries that were taken and have not ended."),
            object(5, "cdClassFull", Counter64, "queries", "Queries turned away over the limit. They were not taken."),
            object(6, "cdClassWorthAsked", Counter64, "millionths", "Worth asked for: the class's importance for each query taken, counted when it is taken."),
            object(7, "cdClassWorthEarned", Counter64, "millionths", "Worth earned, counted when a query is answered: all for a whole answer within the aim, less after it or for a part. Never more than was asked for."),
            object(8, "cdClassTaken32", Counter32, "queries", "cdClassTaken modulo 2^32."),
            object(9, "cdClassLatencySum", Counter64, "milliseconds", "Sum of the latencies of answers, from the time at which the query was taken."),
        ],
    }
}

/// Defines the table of query counts by class and outcome.
pub(super) fn end_table() -> Table {
    use Syntax::{Counter32, Counter64, Enum};
    Table {
        name: "cdClassEnd",
        arc: END_TABLE_ARC,
        description: "Queries of each class by how they ended. Each query ends once.",
        index: vec!["cdClassIndex", "cdEndKind"],
        columns: vec![
            object(1, "cdEndKind", Enum(ENDS), "", "How queries ended: answered whole within the class's aim or after it, in part, refused, given up, or left by their client."),
            object(2, "cdEndCount", Counter64, "queries", "Queries that ended so."),
            object(3, "cdEndCount32", Counter32, "queries", "cdEndCount modulo 2^32."),
        ],
    }
}

/// Defines the table of latencies by class and quantile.
pub(super) fn latency_table() -> Table {
    use Syntax::{Gauge32, Unsigned32};
    Table {
        name: "cdLatency",
        arc: LATENCY_TABLE_ARC,
        description: "Latencies of the answers of each class since the process started. Classes without answers have no rows.",
        index: vec!["cdClassIndex", "cdLatencyShare"],
        columns: vec![
            object(1, "cdLatencyShare", Unsigned32, "thousandths", "A share of the answers."),
            object(2, "cdLatencyValue", Gauge32, "milliseconds", "That share of the answers took no longer than this, to two digits."),
        ],
    }
}

/// Adds the rows of all three tables; classes are indexed from 1 in the order of the settings.
pub(super) fn rows(instances: &mut Instances, classes: &[ClassRow]) {
    for (index, class) in (1..).zip(classes) {
        class_row(instances, index, class);
        end_rows(instances, index, class);
        latency_rows(instances, index, class);
    }
}

fn class_row(instances: &mut Instances, index: u32, class: &ClassRow) {
    let values = [
        text(&class.name),
        Value::Counter64(class.accepted),
        gauge(class.open()),
        Value::Counter64(class.queue_full),
        Value::Counter64(class.value_requested),
        Value::Counter64(class.value_served),
        Value::Counter32(class.accepted as u32),
        Value::Counter64(class.latency_sum_ms),
    ];
    instances.row(CLASS_TABLE_ARC, &[index], values);
}

fn end_rows(instances: &mut Instances, index: u32, class: &ClassRow) {
    for (end, count) in (1..=QueryEnd::ALL.len() as u32).zip(class.ended) {
        let values = [Value::Counter64(count), Value::Counter32(count as u32)];
        instances.row(END_TABLE_ARC, &[index, end], values);
    }
}

fn latency_rows(instances: &mut Instances, index: u32, class: &ClassRow) {
    let latencies_ms = class.latency_ms.into_iter().flatten();
    for (&quantile, latency_ms) in LATENCY_QUANTILES.iter().zip(latencies_ms) {
        instances.row(LATENCY_TABLE_ARC, &[index, quantile], [gauge(latency_ms)]);
    }
}
