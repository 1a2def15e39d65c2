//! Process statistics that operators fetch from the second address, one value per line.

use std::collections::BTreeMap;
use std::fmt::Write;

use crate::class_totals::ClassRow;
use crate::query_end::QueryEnd;
use crate::request_ledger::RequestLedger;
use crate::saved::SavedLedger;

/// Values that the request ledger does not count.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct ProcessGauges {
    /// Attempts whose frame was completely written to a data node.
    pub attempts_written: u64,
    /// Data nodes in the endpoint list.
    pub nodes_known: usize,
    /// Data nodes in the endpoint list that currently receive no attempts.
    pub nodes_excluded: usize,
    /// Reloads by SIGHUP whose configuration was applied.
    pub reloads_ok: u64,
    /// Reloads by SIGHUP whose configuration was rejected.
    pub reloads_failed: u64,
}

/// Counts of the queries of a class by their outcome for the client.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct OutcomeCounts {
    /// Queries answered, completely or in part.
    pub served: u64,
    /// Queries rejected, including those rejected because the queue was full.
    pub rejected: u64,
    /// Queries accepted but abandoned without an answer.
    pub failed: u64,
}

/// Statistics of this process at one point in time.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct ProcessStats {
    /// Counts by class name. A class that was removed, or whose rules have changed, keeps its counts.
    pub classes: BTreeMap<String, OutcomeCounts>,
    /// Number of queries accepted but not ended.
    pub in_flight: usize,
    /// Values that the request ledger does not count.
    pub gauges: ProcessGauges,
}

/// Computes the statistics of this process. Counts restored from an earlier process are subtracted, so that every
/// process counts from 0.
pub fn process_stats(
    ledger: &RequestLedger,
    restored: Option<&SavedLedger>,
    gauges: ProcessGauges,
) -> ProcessStats {
    let mut classes: BTreeMap<String, OutcomeCounts> = BTreeMap::new();
    for row in ledger.rows() {
        let counts = classes.entry(row.name.clone()).or_default();
        counts.served += answered(|end| row.ended_with(end));
        counts.rejected += row.ended_with(QueryEnd::Rejected) + row.queue_full;
        counts.failed += row.ended_with(QueryEnd::Failed);
    }
    for saved in restored.iter().flat_map(|s| &s.classes) {
        let Some(counts) = classes.get_mut(&saved.name) else { continue };
        let ended = |end| ClassRow::count_of(&saved.ended, end);
        counts.served = counts.served.saturating_sub(answered(ended));
        counts.rejected = counts.rejected.saturating_sub(ended(QueryEnd::Rejected) + saved.queue_full);
        counts.failed = counts.failed.saturating_sub(ended(QueryEnd::Failed));
    }
    ProcessStats { classes, in_flight: ledger.open_queries(), gauges }
}

/// Number of queries answered, completely or in part.
fn answered(ended: impl Fn(QueryEnd) -> u64) -> u64 {
    ended(QueryEnd::CompleteInTime) + ended(QueryEnd::CompleteLate) + ended(QueryEnd::Partial)
}

impl ProcessStats {
    /// Formats the statistics as lines of `edge_lb.NAME=VALUE`.
    pub fn text(&self) -> String {
        let mut text = String::new();
        let mut line = |name: &str, value: u64| {
            // Writing to a string cannot fail.
            let _ = writeln!(text, "edge_lb.{name}={value}");
        };
        for (class, counts) in &self.classes {
            line(&format!("served.{class}"), counts.served);
            line(&format!("refused.{class}"), counts.rejected);
            line(&format!("failed.{class}"), counts.failed);
        }
        let ProcessGauges { attempts_written, nodes_known, nodes_excluded, reloads_ok, reloads_failed } =
            self.gauges;
        line("attempts", attempts_written);
        line("in_flight", self.in_flight as u64);
        line("data_nodes_known", nodes_known as u64);
        line("data_nodes_excluded", nodes_excluded as u64);
        line("reloads_ok", reloads_ok);
        line("reloads_failed", reloads_failed);
        text
    }
}
