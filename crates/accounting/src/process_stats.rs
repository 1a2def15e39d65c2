//! The figures that operators fetch from the second address: of one moment, a line each.

use std::collections::BTreeMap;
use std::fmt::Write;

use crate::saved::Saved;
use crate::{ClassRow, QueryEnd, RequestLedger};

/// What the books alone do not tell.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct ProcessGauges {
    /// Attempts whose frame was written whole to a data node.
    pub attempts_written: u64,
    /// Data nodes in the list.
    pub nodes_known: usize,
    /// Those of them that are avoided now.
    pub nodes_excluded: usize,
    /// Configurations taken at SIGHUP.
    pub reloads_ok: u64,
    /// Configurations turned down at SIGHUP.
    pub reloads_failed: u64,
}

/// Ends of a class as its clients saw them.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct OutcomeCounts {
    /// Answered.
    pub served: u64,
    /// Turned away.
    pub rejected: u64,
    /// Given up.
    pub failed: u64,
}

/// All of one moment.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct ProcessStats {
    /// By the name of the class: one that was dropped, or has other rules since, keeps its ends.
    pub classes: BTreeMap<String, OutcomeCounts>,
    /// Queries taken and not yet ended.
    pub in_flight: usize,
    /// The rest.
    pub gauges: ProcessGauges,
}

/// Queries that an earlier process had booked are not of this one: every process counts from 0.
pub fn process_stats(
    account: &RequestLedger,
    restored: Option<&Saved>,
    beside: ProcessGauges,
) -> ProcessStats {
    let mut classes: BTreeMap<String, OutcomeCounts> = BTreeMap::new();
    for row in account.rows() {
        let ends = classes.entry(row.name.clone()).or_default();
        ends.served += answered(|end| row.ended_with(end));
        ends.rejected += row.ended_with(QueryEnd::Rejected) + row.queue_full;
        ends.failed += row.ended_with(QueryEnd::Failed);
    }
    for saved in restored.iter().flat_map(|s| &s.classes) {
        let Some(ends) = classes.get_mut(&saved.name) else { continue };
        let of = |end| ClassRow::nth(&saved.ended, end);
        ends.served = ends.served.saturating_sub(answered(of));
        ends.rejected = ends.rejected.saturating_sub(of(QueryEnd::Rejected) + saved.full);
        ends.failed = ends.failed.saturating_sub(of(QueryEnd::Failed));
    }
    ProcessStats { classes, in_flight: account.open_queries(), gauges: beside }
}

fn answered(of: impl Fn(QueryEnd) -> u64) -> u64 {
    of(QueryEnd::CompleteInTime) + of(QueryEnd::CompleteLate) + of(QueryEnd::Partial)
}

impl ProcessStats {
    /// A line a figure.
    pub fn text(&self) -> String {
        let mut text = String::new();
        let mut line = |name: &str, value: u64| {
            // Writing to a string cannot fail.
            let _ = writeln!(text, "edge_lb.{name}={value}");
        };
        for (class, ends) in &self.classes {
            line(&format!("served.{class}"), ends.served);
            line(&format!("refused.{class}"), ends.rejected);
            line(&format!("failed.{class}"), ends.failed);
        }
        let ProcessGauges {
            attempts_written: attempts,
            nodes_known: known,
            nodes_excluded: excluded,
            reloads_ok,
            reloads_failed,
        } = self.gauges;
        line("attempts", attempts);
        line("in_flight", self.in_flight as u64);
        line("data_nodes_known", known as u64);
        line("data_nodes_excluded", excluded as u64);
        line("reloads_ok", reloads_ok);
        line("reloads_failed", reloads_failed);
        text
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::node_table::NodeBounds;
    use crate::tests::class;
    use curlewdeck_core::api::{ClassId, QueryId};

    fn account(names: &[&str]) -> RequestLedger {
        let names: Vec<String> = names.iter().map(|n| n.to_string()).collect();
        RequestLedger::new(&vec![class(); names.len()], &names, NodeBounds { max_rows: 4, retention: 1 })
    }

    fn end(account: &mut RequestLedger, id: u64, class: usize, end: Option<QueryEnd>) {
        account.query_accepted(1, QueryId(id), ClassId(class));
        match end {
            Some(end) => account.query_ended(QueryId(id), end),
            None => account.query_answered(2, QueryId(id), true, 1.0),
        };
    }

    /// Guards the form, and that a class that went and came again under other rules has one figure.
    #[test]
    fn a_class_has_one_figure_whatever_its_rules_were() {
        let mut account = account(&["a", "b", "a"]);
        for (id, class, ended) in
            [(1, 0, None), (2, 2, None), (3, 2, Some(QueryEnd::Rejected)), (4, 1, Some(QueryEnd::Failed))]
        {
            end(&mut account, id, class, ended);
        }
        account.queries_rejected_queue_full(ClassId(0), 2);
        account.query_accepted(1, QueryId(9), ClassId(1));
        let beside = ProcessGauges {
            attempts_written: 7,
            nodes_known: 3,
            nodes_excluded: 1,
            reloads_ok: 2,
            reloads_failed: 5,
        };
        let text = process_stats(&account, None, beside).text();
        let expected =
            "served.a=2 refused.a=3 failed.a=0 served.b=0 refused.b=0 failed.b=1 attempts=7 in_flight=1 \
                        data_nodes_known=3 data_nodes_excluded=1 reloads_ok=2 reloads_failed=5";
        let lines: Vec<&str> = text.lines().map(|l| l.strip_prefix("edge_lb.").unwrap()).collect();
        assert_eq!(lines.join(" "), expected);
    }

    /// Guards against counting what an earlier process had saved.
    #[test]
    fn every_process_counts_from_0() {
        let mut first = account(&["a"]);
        end(&mut first, 1, 0, None);
        end(&mut first, 2, 0, Some(QueryEnd::Rejected));
        first.queries_rejected_queue_full(ClassId(0), 3);
        let saved = first.save();
        let mut second = account(&["a"]);
        second.restore(&saved);
        let ends = |a: &RequestLedger| process_stats(a, Some(&saved), ProcessGauges::default()).classes["a"];
        assert_eq!(ends(&second), OutcomeCounts::default());
        end(&mut second, 3, 0, Some(QueryEnd::Failed));
        second.queries_rejected_queue_full(ClassId(0), 1);
        assert_eq!(ends(&second), OutcomeCounts { served: 0, rejected: 1, failed: 1 });
    }
}
