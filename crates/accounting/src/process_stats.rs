//! The counts of this process that operators fetch from the second address, one a line.

use std::collections::BTreeMap;
use std::fmt::Write;

use crate::class_totals::ClassRow;
use crate::query_end::QueryEnd;
use crate::request_ledger::RequestLedger;
use crate::saved::SavedLedger;

/// What the request ledger does not count.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct ProcessGauges {
    /// Attempts whose frame was written to a data node completely.
    pub attempts_written: u64,
    /// Data nodes in the endpoint list.
    pub nodes_known: usize,
    /// Those of them that get no attempts now.
    pub nodes_excluded: usize,
    /// Configurations that were applied at SIGHUP.
    pub reloads_ok: u64,
    /// Configurations that were rejected at SIGHUP.
    pub reloads_failed: u64,
}

/// How the queries of a class ended, as their clients saw it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct OutcomeCounts {
    /// Answered.
    pub served: u64,
    /// Rejected.
    pub rejected: u64,
    /// Given up.
    pub failed: u64,
}

/// The counts of this process at one moment.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct ProcessStats {
    /// By the name of the class. A class that was removed, or has other rules since, keeps its counts.
    pub classes: BTreeMap<String, OutcomeCounts>,
    /// Queries that were accepted and have not ended.
    pub in_flight: usize,
    /// What the request ledger does not count.
    pub gauges: ProcessGauges,
}

/// The counts of this process: what was restored from an earlier one is subtracted, so that every process counts from 0.
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
        let ended = |end| ClassRow::nth(&saved.ended, end);
        counts.served = counts.served.saturating_sub(answered(ended));
        counts.rejected = counts.rejected.saturating_sub(ended(QueryEnd::Rejected) + saved.queue_full);
        counts.failed = counts.failed.saturating_sub(ended(QueryEnd::Failed));
    }
    ProcessStats { classes, in_flight: ledger.open_queries(), gauges }
}

/// Queries that were answered, completely or in part.
fn answered(ended: impl Fn(QueryEnd) -> u64) -> u64 {
    ended(QueryEnd::CompleteInTime) + ended(QueryEnd::CompleteLate) + ended(QueryEnd::Partial)
}

impl ProcessStats {
    /// The counts as text, one `edge_lb.NAME=VALUE` a line.
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
