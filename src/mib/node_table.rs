//! Tables of the data nodes: state, attempt counts and attempt outcomes.

use curlewdeck_accounting::node_table::NodeRow;
use curlewdeck_accounting::ATTEMPT_OUTCOMES;
use curlewdeck_snmp::registry::{Syntax, Table};
use curlewdeck_snmp::tree::Value;

use super::instances::{gauge, text, Instances};
use super::{object, ticks};
use crate::api::{EndpointState, Nanos};

const NODE_TABLE_ARC: u32 = 4;
const OUTCOME_TABLE_ARC: u32 = 5;

/// Labels of `cdNodePhase`; [`state_number`] maps endpoint states to these numbers.
const STATES: &[(&str, i32)] = &[("in", 1), ("draining", 2), ("out", 3)];

/// Labels of `cdNodeEndKind`, in the order of [`ATTEMPT_OUTCOMES`].
pub(super) const OUTCOMES: &[(&str, i32)] = &[
    ("pass", 1),
    ("fault", 2),
    ("noRoom", 3),
    ("tooSlow", 4),
    ("noRoute", 5),
    ("cut", 6),
    ("spoilt", 7),
    ("undone", 8),
    ("staleSend", 9),
];

fn state_number(state: EndpointState) -> i32 {
    match state {
        EndpointState::Active => 1,
        EndpointState::Draining => 2,
        EndpointState::Removed => 3,
    }
}

/// Defines the table of data nodes.
pub(super) fn node_table() -> Table {
    use Syntax::{Counter64, DisplayString, Enum, Gauge32, TimeStamp, Unsigned32};
    Table {
        name: "cdNode",
        arc: NODE_TABLE_ARC,
        description:
            "Data nodes. One that has left keeps its row for a while; its counts stay in the totals.",
        index: vec!["cdNodeIndex"],
        columns: vec![
            object(1, "cdNodeIndex", Unsigned32, "", "The row's number: never given to another data node."),
            object(2, "cdNodeName", DisplayString, "", "Its name in the list."),
            object(3, "cdNodePhase", Enum(STATES), "", "What the list says of it."),
            object(4, "cdNodePhaseSince", TimeStamp, "", "When its phase became this."),
            object(
                5,
                "cdNodeDiscontinuityTime",
                TimeStamp,
                "",
                "When its row was made, and its counters began at zero.",
            ),
            object(6, "cdNodeDrains", Counter64, "drains", "How often the list said that it drains."),
            object(7, "cdNodeStarted", Counter64, "attempts", "Attempts started at it."),
            object(8, "cdNodeRepeats", Counter64, "attempts", "Of them: a part's second or later one."),
            object(9, "cdNodeCopies", Counter64, "attempts", "Of them: while another of the part was out."),
            object(10, "cdNodeOut", Gauge32, "attempts", "Attempts that were started and have not ended."),
        ],
    }
}

/// Defines the table of attempt counts by data node and outcome.
pub(super) fn outcome_table() -> Table {
    use Syntax::{Counter64, Enum};
    Table {
        name: "cdNodeEnd",
        arc: OUTCOME_TABLE_ARC,
        description: "Attempts at each data node by how they ended. Each attempt ends once.",
        index: vec!["cdNodeIndex", "cdNodeEndKind"],
        columns: vec![
            object(1, "cdNodeEndKind", Enum(OUTCOMES), "", "How attempts ended: with a value, an error, turned away unseen, not in time, without a connection, with one that broke, with what cannot be used, called off, or not sent."),
            object(2, "cdNodeEndCount", Counter64, "attempts", "Attempts that ended so."),
        ],
    }
}

/// Adds the rows of both tables; times are relative to `started_at`, the start of the process.
pub(super) fn rows(instances: &mut Instances, nodes: &[NodeRow], started_at: Nanos) {
    for node in nodes {
        node_row(instances, node, started_at);
        outcome_rows(instances, node);
    }
}

fn node_row(instances: &mut Instances, node: &NodeRow, started_at: Nanos) {
    let values = [
        text(&node.name),
        Value::Integer(state_number(node.state)),
        Value::Ticks(ticks(started_at, node.state_since)),
        Value::Ticks(ticks(started_at, node.created)),
        Value::Counter64(node.drains),
        Value::Counter64(node.attempts.started),
        Value::Counter64(node.attempts.retries),
        Value::Counter64(node.attempts.hedges),
        gauge(node.attempts.in_flight()),
    ];
    instances.row(NODE_TABLE_ARC, &[node.index], values);
}

fn outcome_rows(instances: &mut Instances, node: &NodeRow) {
    for (outcome, count) in (1..=ATTEMPT_OUTCOMES.len() as u32).zip(node.attempts.ended) {
        instances.row(OUTCOME_TABLE_ARC, &[node.index, outcome], [Value::Counter64(count)]);
    }
}
