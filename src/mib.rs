//! The objects of CURLEWDECK-MIB: the one place where they are defined, and their values at one moment.
//!
//! The MIB stands below 32473, the enterprise number that RFC 5612 sets aside for examples; an operator with a number of
//! its own changes [`ROOT`] and writes the MIB anew with `curlewdeck mib`.

use curlewdeck_accounting::{LedgerSnapshot, QueryEnd, ATTEMPT_OUTCOMES, LATENCY_QUANTILES};
use curlewdeck_snmp::registry::{Group, Module, Notification, Object, Syntax, Table};
use curlewdeck_snmp::tree::Value;
use curlewdeck_snmp::Oid;

use crate::api::{EndpointState, Nanos};
use crate::counters::Counters;
use crate::replication::driver::{MemberStatus, Role};

/// `curlewdeck` of the MIB.
pub const ROOT: [u32; 8] = [1, 3, 6, 1, 4, 1, 32473, 1];
/// `system` of SNMPv2-MIB.
const SYSTEM: [u32; 7] = [1, 3, 6, 1, 2, 1, 1];

const COUNTERS: u32 = 1;
const CONFORMANCE: u32 = 2;
const TABLES: u32 = 3;
const GENERAL: u32 = 4;
const GROUP: u32 = 5;

const PHASES: &[(&str, i32)] = &[("in", 1), ("draining", 2), ("out", 3)];
const ENDS: &[(&str, i32)] =
    &[("wholeInTime", 1), ("wholeLate", 2), ("partial", 3), ("refused", 4), ("failed", 5), ("gone", 6)];
const KINDS: &[(&str, i32)] = &[
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

const ROLES: &[(&str, i32)] =
    &[("none", 1), ("withoutLeader", 2), ("follower", 3), ("leader", 4), ("gone", 5)];

fn object(arc: u32, name: &str, syntax: Syntax, units: &'static str, about: &str) -> Object {
    Object { name: name.to_string(), arc, syntax, units, about: about.to_string() }
}

fn counters() -> Group {
    let objects = (1..).zip(Counters::described());
    let objects =
        objects.map(|(n, (name, doc))| object(n, name, Syntax::Counter64, "", doc.trim())).collect();
    Group { name: "cdCounters", arc: COUNTERS, conformance: "cdCounterGroup", objects }
}

fn general() -> Group {
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
    Group { name: "cdGeneral", arc: GENERAL, conformance: "cdGeneralGroup", objects }
}

fn group() -> Group {
    use Syntax::{Counter64, DisplayString, Enum, Gauge32};
    let objects = vec![
        object(1, "cdGroupRole", Enum(ROLES), "", "What this process is in its group of coordinators: none where it is in none; gone where it was removed, or has stopped after an error."),
        object(2, "cdGroupMember", DisplayString, "", "Its number there. They do not fit 32 bits."),
        object(3, "cdGroupTerm", Counter64, "terms", "The term of its log: it grows with each election."),
        object(4, "cdGroupLeader", DisplayString, "", "The number of the leader that it knows; 0 where it knows none."),
        object(5, "cdGroupApplied", Counter64, "entries", "The last entry of the log that it has applied. On one that stays behind it is below the others'."),
        object(6, "cdGroupSnapshot", Counter64, "entries", "The last entry that its snapshot covers."),
        object(7, "cdGroupLog", Gauge32, "entries", "Entries of its log since then."),
        object(8, "cdGroupKeys", Gauge32, "keys", "Keys that are held."),
        object(9, "cdGroupWaiting", Gauge32, "calls", "Proposals and reads that wait for the log."),
    ];
    Group { name: "cdGroup", arc: GROUP, conformance: "cdGroupGroup", objects }
}

fn voter_table() -> Table {
    Table {
        name: "cdGroupVoter",
        arc: 6,
        about: "Members of the group, as of the last change that this one has applied.",
        index: vec!["cdGroupVoterIndex"],
        columns: vec![
            object(
                1,
                "cdGroupVoterIndex",
                Syntax::Unsigned32,
                "",
                "The row's number; rows move when members go.",
            ),
            object(2, "cdGroupVoterMember", Syntax::DisplayString, "", "The member's number."),
        ],
    }
}

fn class_tables() -> Vec<Table> {
    use Syntax::{Counter32, Counter64, DisplayString, Enum, Gauge32, Unsigned32};
    let class = Table {
        name: "cdClass",
        arc: 1,
        about: "Classes of query, in the order of the settings.",
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
    };
    let ends = Table {
        name: "cdClassEnd",
        arc: 2,
        about: "Queries of each class by how they ended. Each query ends once.",
        index: vec!["cdClassIndex", "cdEndKind"],
        columns: vec![
            object(1, "cdEndKind", Enum(ENDS), "", "How queries ended: answered whole within the class's aim or after it, in part, refused, given up, or left by their client."),
            object(2, "cdEndCount", Counter64, "queries", "Queries that ended so."),
            object(3, "cdEndCount32", Counter32, "queries", "cdEndCount modulo 2^32."),
        ],
    };
    let latency = Table {
        name: "cdLatency",
        arc: 3,
        about: "Latencies of the answers of each class since the process started. Classes without answers have no rows.",
        index: vec!["cdClassIndex", "cdLatencyShare"],
        columns: vec![
            object(1, "cdLatencyShare", Unsigned32, "thousandths", "A share of the answers."),
            object(2, "cdLatencyValue", Gauge32, "milliseconds", "That share of the answers took no longer than this, to two digits."),
        ],
    };
    vec![class, ends, latency]
}

fn node_tables() -> Vec<Table> {
    use Syntax::{Counter64, DisplayString, Enum, Gauge32, TimeStamp, Unsigned32};
    let node = Table {
        name: "cdNode",
        arc: 4,
        about: "Data nodes. One that has left keeps its row for a while; its counts stay in the totals.",
        index: vec!["cdNodeIndex"],
        columns: vec![
            object(1, "cdNodeIndex", Unsigned32, "", "The row's number: never given to another data node."),
            object(2, "cdNodeName", DisplayString, "", "Its name in the list."),
            object(3, "cdNodePhase", Enum(PHASES), "", "What the list says of it."),
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
    };
    let ends = Table {
        name: "cdNodeEnd",
        arc: 5,
        about: "Attempts at each data node by how they ended. Each attempt ends once.",
        index: vec!["cdNodeIndex", "cdNodeEndKind"],
        columns: vec![
            object(1, "cdNodeEndKind", Enum(KINDS), "", "How attempts ended: with a value, an error, turned away unseen, not in time, without a connection, with one that broke, with what cannot be used, called off, or not sent."),
            object(2, "cdNodeEndCount", Counter64, "attempts", "Attempts that ended so."),
        ],
    };
    vec![node, ends]
}

/// The module.
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
        about: "What a coordinator of queries over many shards has served. All objects are read-only. Counters begin at zero when the process starts: see cdDiscontinuityTime.",
        groups: vec![counters(), general(), group()],
        tables_arc: TABLES,
        tables: class_tables().into_iter().chain(node_tables()).chain([voter_table()]).collect(),
        notifications: notifications(),
        conformance_arc: CONFORMANCE,
    }
}

fn notifications() -> Vec<Notification> {
    let of = |arc, name, objects, about| Notification { name, arc, objects, about };
    vec![
        of(1, "cdNodeDraining", vec!["cdNodeName"], "The list says that a data node drains: it gets nothing new. Look whether that is planned."),
        of(2, "cdNodeLost", vec!["cdNodeName"], "A data node has left the list."),
        of(3, "cdListSilent", vec!["cdListOverdue"], "The list's service was silent for longer than the settings allow. Look at it: drains may come late."),
        of(4, "cdRefusalsHigh", vec!["cdQueriesRefused", "cdQueriesFull"], "Of the queries of the last seconds more than the set share were refused or turned away. Look for nodes in trouble, or more load than there are nodes for."),
        of(5, "cdDescriptorsLow", vec![], "The process holds more than nine tenths of the descriptors that it may. Look at who connects."),
        of(6, "cdSecurityFailure", vec!["cdSnmpDenied"], "A management request of version 3 was not served for its security: a wrong secret, user or level, or one that was replayed."),
        of(7, "cdStarted", vec![], "The process serves."),
        of(8, "cdStopping", vec![], "The process was told to end, and finishes what it holds."),
    ]
}

/// Hundredths of a second between two times; they start over after 497 days.
pub fn ticks(begun: Nanos, at: Nanos) -> u32 {
    (at.saturating_sub(begun) / 10_000_000) as u32
}

fn gauge(n: u64) -> Value {
    Value::Gauge(u32::try_from(n).unwrap_or(u32::MAX))
}

/// The objects of the module and of `system` at one moment, for a process that began at `begun`, and that is a member of
/// a group where it stands somehow.
pub fn objects(
    counters: &Counters,
    books: &LedgerSnapshot,
    begun: Nanos,
    standing: Option<&MemberStatus>,
) -> Vec<(Oid, Value)> {
    let mut all = Vec::new();
    let mut put = |base: &[u32], arcs: &[u32], value: Value| all.push(([base, arcs].concat(), value));
    let about = format!("curlewdeck {}", env!("CARGO_PKG_VERSION")).into_bytes();
    put(&SYSTEM, &[1, 0], Value::Text(about));
    put(&SYSTEM, &[2, 0], Value::Name(ROOT.to_vec()));
    put(&SYSTEM, &[3, 0], Value::Ticks(ticks(begun, books.at)));
    for (n, (_, count)) in (1..).zip(counters.all()) {
        put(&ROOT, &[COUNTERS, n, 0], Value::Counter64(count));
    }
    let open = books.sum(curlewdeck_accounting::ClassRow::open);
    let general = [
        Value::Ticks(0),
        gauge(open),
        gauge(books.attempts.in_flight()),
        Value::Counter64(books.nodes_evicted),
        Value::Counter64(books.nodes_unlisted),
    ];
    for (n, value) in (1..).zip(general) {
        put(&ROOT, &[GENERAL, n, 0], value);
    }
    let role = match standing.map(|s| s.role) {
        None => 1,
        Some(Role::NoLeader) => 2,
        Some(Role::Follower) => 3,
        Some(Role::Leader) => 4,
        Some(Role::Stopped) => 5,
    };
    let none = MemberStatus::default();
    let group = standing.unwrap_or(&none);
    let number = |id: u64| Value::Text(id.to_string().into_bytes());
    let row = [
        Value::Integer(role),
        number(group.id),
        Value::Counter64(group.term),
        number(group.leader),
        Value::Counter64(group.applied),
        Value::Counter64(group.snapshot),
        gauge(group.log),
        gauge(group.keys),
        gauge(group.waiting),
    ];
    (1..).zip(row).for_each(|(n, value)| put(&ROOT, &[GROUP, n, 0], value));
    let mut cell = |table: u32, column: u32, index: &[u32], value: Value| {
        put(&[&ROOT[..], &[TABLES, table, 1, column]].concat(), index, value);
    };
    for (index, class) in (1..).zip(&books.classes) {
        let row = [
            Value::Text(class.name.clone().into_bytes()),
            Value::Counter64(class.accepted),
            gauge(class.open()),
            Value::Counter64(class.queue_full),
            Value::Counter64(class.value_requested),
            Value::Counter64(class.value_served),
            Value::Counter32(class.accepted as u32),
            Value::Counter64(class.latency_sum_ms),
        ];
        (2..).zip(row).for_each(|(column, value)| cell(1, column, &[index], value));
        for (kind, count) in (1..=QueryEnd::ALL.len() as u32).zip(class.ended) {
            cell(2, 2, &[index, kind], Value::Counter64(count));
            cell(2, 3, &[index, kind], Value::Counter32(count as u32));
        }
        for (share, ms) in LATENCY_QUANTILES.iter().zip(class.latency_ms.into_iter().flatten()) {
            cell(3, 2, &[index, *share], gauge(ms));
        }
    }
    for node in &books.nodes {
        let phase = match node.state {
            EndpointState::Active => 1,
            EndpointState::Draining => 2,
            EndpointState::Removed => 3,
        };
        let row = [
            Value::Text(node.name.clone().into_bytes()),
            Value::Integer(phase),
            Value::Ticks(ticks(begun, node.state_since)),
            Value::Ticks(ticks(begun, node.created)),
            Value::Counter64(node.drains),
            Value::Counter64(node.attempts.started),
            Value::Counter64(node.attempts.retries),
            Value::Counter64(node.attempts.hedges),
            gauge(node.attempts.in_flight()),
        ];
        (2..).zip(row).for_each(|(column, value)| cell(4, column, &[node.index], value));
        for (kind, count) in (1..=ATTEMPT_OUTCOMES.len() as u32).zip(node.attempts.ended) {
            cell(5, 2, &[node.index, kind], Value::Counter64(count));
        }
    }
    (1..).zip(&group.voters).for_each(|(index, &id)| cell(6, 2, &[index], number(id)));
    all
}

/// The names of all objects that are served, without instances.
pub fn known() -> Vec<Oid> {
    let system = (1..=3).map(|n| [&SYSTEM[..], &[n]].concat());
    system.chain(module().objects().into_iter().map(|o| o.0)).collect()
}

#[cfg(test)]
mod tests {
    use super::*;
    use curlewdeck_accounting::node_table::NodeBounds;
    use curlewdeck_accounting::RequestLedger;

    fn books() -> LedgerSnapshot {
        let text = crate::config::Config::read(include_str!("../examples/config.json"), |_| None).unwrap();
        let mut account = RequestLedger::new(
            &text.deployment.settings.classes,
            &text.deployment.class_names,
            NodeBounds { max_rows: 4, retention: 1 },
        );
        account.query_accepted(0, crate::api::QueryId(1), crate::api::ClassId(0));
        account.query_answered(5_000_000, crate::api::QueryId(1), true, 1.0);
        account.node_state(0, crate::api::ServerId(0), "s", EndpointState::Active);
        account.snapshot(0)
    }

    /// The file is what managers read: it must be what is served.
    #[test]
    fn the_mibs_file_is_written_from_the_registry() {
        let file = include_str!("../mibs/CURLEWDECK-MIB.txt");
        assert!(file == module().text(), "mibs/CURLEWDECK-MIB.txt differs: write it with 'curlewdeck mib'");
    }

    /// Every object of the registry is served with its kind, and nothing else below the module's root.
    #[test]
    fn what_is_served_is_what_the_registry_says() {
        let group = MemberStatus { voters: vec![1 << 40], ..MemberStatus::default() };
        let (module, served) = (module(), objects(&Counters::default(), &books(), 0, Some(&group)));
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
            assert_eq!(module.name_of(name), Some([&ROOT[..], &[COUNTERS, n]].concat()));
        }
        fn named(kinds: &[(&'static str, i32)]) -> Vec<&'static str> {
            kinds.iter().map(|k| k.0).collect()
        }
        assert_eq!(named(ENDS), QueryEnd::ALL.map(QueryEnd::name));
        assert_eq!(named(KINDS), ATTEMPT_OUTCOMES.map(|o| o.1));
    }
}
