//! Consistency of the request ledger for any order of events, and its continuation after a restart.

mod common;

use common::{class, MS};
use curlewdeck_accounting::node_table::NodeBounds;
use curlewdeck_accounting::{ClassRow, LedgerSnapshot, QueryEnd, RequestLedger, ATTEMPT_OUTCOMES};
use curlewdeck_core::api::{ClassId, EndpointState, Outcome, QueryId, ServerId};
use proptest::prelude::*;

fn ledger() -> RequestLedger {
    let bounds = NodeBounds { max_rows: 4, retention: 10 * MS };
    RequestLedger::new(&[class(), class()], &["a".into(), "b".into()], bounds)
}

#[test]
fn query_end_is_counted_once_with_its_value() {
    let mut a = ledger();
    for n in 0..4 {
        a.query_accepted(0, QueryId(n), ClassId(0));
    }
    assert_eq!(a.query_answered(50 * MS, QueryId(0), true, 1.0), Some(QueryEnd::CompleteInTime));
    assert_eq!(a.query_answered(50 * MS, QueryId(0), true, 1.0), None, "a second end");
    assert_eq!(a.query_answered(101 * MS, QueryId(1), true, 1.0), Some(QueryEnd::CompleteLate));
    assert_eq!(a.query_answered(60 * MS, QueryId(2), false, 0.9), Some(QueryEnd::Partial));
    assert_eq!(a.query_ended(QueryId(2), QueryEnd::ClientDisconnected), None);
    let s = a.snapshot(0);
    let row = &s.classes[0];
    assert_eq!((row.accepted, row.open(), row.value_requested), (4, 1, 12_000_000));
    // 3 for the answer in time, 3 * 0.3 for the late one, 3 * 0.8 * 0.9 for the partial one.
    assert_eq!(row.value_served, 3_000_000 + 900_000 + 2_160_000);
    assert_eq!(row.latency_ms.map(|l| (l[0], l[4])), Some((60, 101)));
    assert_eq!(s.classes[1].accepted, 0);
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// For any order of events, every snapshot is consistent and counts never decrease.
    #[test]
    fn every_snapshot_is_consistent(steps in proptest::collection::vec((0..9u8, 0..12u64, 0..300u64), 0..200)) {
        let (mut a, mut now, mut next) = (ledger(), 0, 0u64);
        let mut out: Vec<(ServerId, u64)> = Vec::new();
        let mut before = a.snapshot(0);
        // The core never reuses an id, and removes a node only when none of its attempts is in flight.
        let mut ids = [0, 1, 2, 3, 4, 5, 6];
        for (kind, pick, span) in steps {
            now += span * MS / 10;
            let query = QueryId(pick);
            let node = ServerId(ids[pick as usize % 7]);
            match kind {
                0 | 1 => {
                    a.query_accepted(now, QueryId(next), ClassId(pick as usize % 3));
                    next += 1;
                }
                2 => drop(a.query_answered(now, query, pick % 2 == 0, 0.9)),
                3 => drop(a.query_ended(query, QueryEnd::ALL[3 + pick as usize % 3])),
                4 => {
                    a.attempt_started(node, pick as u32 % 3, pick % 2 == 0);
                    out.push((node, pick));
                }
                5 => {
                    if let Some((node, pick)) = out.pop() {
                        a.attempt_ended(node, ATTEMPT_OUTCOMES[pick as usize % ATTEMPT_OUTCOMES.len()].0);
                    }
                }
                6 => a.node_state(now, node, &format!("s{}", node.0), [EndpointState::Active, EndpointState::Draining, EndpointState::Removed][pick as usize % 3]),
                7 if out.iter().all(|o| o.0 != node) => {
                    a.node_removed(now, node);
                    ids[pick as usize % 7] += 7;
                }
                _ => a.queries_rejected_queue_full(ClassId(pick as usize % 2), pick),
            }
            let s = a.snapshot(now);
            prop_assert_eq!(s.check(), Ok(()));
            prop_assert_eq!(s.sum(ClassRow::open), a.open_queries() as u64);
            prop_assert_eq!(s.attempts.in_flight(), out.len() as u64);
            prop_assert!(s.nodes.len() <= 4);
            prop_assert!(s.nodes.windows(2).all(|w| w[0].index < w[1].index));
            for (b, n) in before.classes.iter().zip(&s.classes) {
                prop_assert!(b.accepted <= n.accepted && b.value_served <= n.value_served && b.ended.iter().zip(&n.ended).all(|(b, n)| b <= n));
            }
            before = s;
        }
    }
}

/// After a restart, counts continue from the stored ones. Queries and attempts that were still open are not included.
#[test]
fn restart_continues_from_the_stored_counts() {
    let mut a = ledger();
    for n in 0..3 {
        a.query_accepted(0, QueryId(n), ClassId(0));
    }
    a.query_answered(50 * MS, QueryId(0), true, 1.0);
    a.queries_rejected_queue_full(ClassId(0), 4);
    a.node_state(0, ServerId(0), "s", EndpointState::Active);
    a.attempt_started(ServerId(0), 0, false);
    a.attempt_started(ServerId(0), 1, true);
    a.attempt_ended(ServerId(0), Outcome::Success);
    let saved = a.save();
    let mut b = ledger();
    b.restore(&saved);
    let s = b.snapshot(0);
    assert_eq!(s.check(), Ok(()));
    let row = &s.classes[0];
    assert_eq!(
        (row.accepted, row.open(), row.value_requested, row.value_served, row.queue_full),
        (1, 0, 3_000_000, 3_000_000, 4)
    );
    assert_eq!((s.attempts.started, s.attempts.in_flight()), (1, 0));
    b.queries_rejected_queue_full(ClassId(0), 1);
    b.node_state(0, ServerId(0), "s", EndpointState::Active);
    let s = b.snapshot(0);
    assert_eq!((s.classes[0].queue_full, s.nodes[0].index), (5, 2));
    assert_eq!(b.save().next_node_index, 3);
    // Totals of a class with another name are not restored.
    let mut c = RequestLedger::new(&[class()], &["other".into()], NodeBounds { max_rows: 1, retention: 1 });
    c.restore(&saved);
    assert_eq!(c.snapshot(0).classes[0].accepted, 0);
}

/// The consistency check must detect each kind of violation.
#[test]
fn check_names_the_violated_invariant() {
    let mut a = ledger();
    a.query_accepted(0, QueryId(0), ClassId(0));
    a.node_state(0, ServerId(0), "s", EndpointState::Active);
    let good = a.snapshot(0);
    let error_after = |change: fn(&mut LedgerSnapshot)| {
        let mut s = good.clone();
        change(&mut s);
        s.check().unwrap_err().to_string()
    };
    assert!(error_after(|s| s.classes[0].ended[0] = 2).contains("2 queries ended, but only 1 were accepted"));
    assert!(error_after(|s| s.classes[0].value_served = u64::MAX).contains("was served, but only"));
    assert!(error_after(|s| s.attempts.ended[0] = 1).contains("attempts ended"));
    assert!(error_after(|s| s.nodes[0].attempts.ended[0] = 1).contains("node s"));
    assert!(error_after(|s| s.nodes[0].attempts.started = 1).contains("at nodes"));
}

/// The names and the order of the stored fields must stay those of the first version; otherwise stored counts cannot be
/// read after an update.
#[test]
fn stored_fields_keep_their_names_and_order() {
    let mut a = ledger();
    a.query_accepted(0, QueryId(0), ClassId(0));
    a.query_answered(50 * MS, QueryId(0), true, 1.0);
    a.queries_rejected_queue_full(ClassId(0), 4);
    a.attempt_started(ServerId(0), 1, true);
    a.attempt_ended(ServerId(0), Outcome::Success);
    let class =
        r#"{"name":"a","full":4,"ended":[1,0,0,0,0,0],"asked":3000000,"earned":3000000,"latency_sum_ms":50}"#;
    let other = r#"{"name":"b","full":0,"ended":[0,0,0,0,0,0],"asked":0,"earned":0,"latency_sum_ms":0}"#;
    let expected = format!(
        r#"{{"classes":[{class},{other}],"repeats":1,"copies":1,"ended":[1,0,0,0,0,0,0,0,0],"next_node":1,"nodes_evicted":0,"nodes_unlisted":0}}"#
    );
    assert_eq!(serde_json::to_string(&a.save()).unwrap(), expected);
}
