//! Process statistics that operators fetch from the second address.

mod common;

use common::class;
use curlewdeck_accounting::node_table::NodeBounds;
use curlewdeck_accounting::process_stats::{process_stats, OutcomeCounts, ProcessGauges};
use curlewdeck_accounting::{QueryEnd, RequestLedger};
use curlewdeck_core::api::{ClassId, QueryId};

fn ledger(names: &[&str]) -> RequestLedger {
    let names: Vec<String> = names.iter().map(|n| n.to_string()).collect();
    RequestLedger::new(&vec![class(); names.len()], &names, NodeBounds { max_rows: 4, retention: 1 })
}

/// Accepts a query and ends it, with an answer if no other end is given.
fn end(ledger: &mut RequestLedger, id: u64, class: usize, end: Option<QueryEnd>) {
    ledger.query_accepted(1, QueryId(id), ClassId(class));
    match end {
        Some(end) => ledger.query_ended(QueryId(id), end),
        None => ledger.query_answered(2, QueryId(id), true, 1.0),
    };
}

/// Fixes the text format. A class that was removed and added again with other rules is listed once, with the sum of
/// its counts.
#[test]
fn counts_of_classes_with_the_same_name_are_added() {
    let mut ledger = ledger(&["a", "b", "a"]);
    for (id, class, ended) in
        [(1, 0, None), (2, 2, None), (3, 2, Some(QueryEnd::Rejected)), (4, 1, Some(QueryEnd::Failed))]
    {
        end(&mut ledger, id, class, ended);
    }
    ledger.queries_rejected_queue_full(ClassId(0), 2);
    ledger.query_accepted(1, QueryId(9), ClassId(1));
    let gauges = ProcessGauges {
        attempts_written: 7,
        nodes_known: 3,
        nodes_excluded: 1,
        reloads_ok: 2,
        reloads_failed: 5,
    };
    let text = process_stats(&ledger, None, gauges).text();
    let expected =
        "served.a=2 refused.a=3 failed.a=0 served.b=0 refused.b=0 failed.b=1 attempts=7 in_flight=1 \
                    data_nodes_known=3 data_nodes_excluded=1 reloads_ok=2 reloads_failed=5";
    let lines: Vec<&str> = text.lines().map(|l| l.strip_prefix("edge_lb.").unwrap()).collect();
    assert_eq!(lines.join(" "), expected);
}

/// Counts restored from an earlier process must not appear in the statistics of this process.
#[test]
fn each_process_counts_from_0() {
    let mut first = ledger(&["a"]);
    end(&mut first, 1, 0, None);
    end(&mut first, 2, 0, Some(QueryEnd::Rejected));
    first.queries_rejected_queue_full(ClassId(0), 3);
    let saved = first.save();
    let mut second = ledger(&["a"]);
    second.restore(&saved);
    let counts =
        |ledger: &RequestLedger| process_stats(ledger, Some(&saved), ProcessGauges::default()).classes["a"];
    assert_eq!(counts(&second), OutcomeCounts::default());
    end(&mut second, 3, 0, Some(QueryEnd::Failed));
    second.queries_rejected_queue_full(ClassId(0), 1);
    assert_eq!(counts(&second), OutcomeCounts { served: 0, rejected: 1, failed: 1 });
}
