//! The request ledger of a process.

use std::collections::HashMap;

use curlewdeck_core::api::{Class, ClassId, EndpointState, Nanos, Outcome, QueryId, ServerId};

use crate::attempt_counts::AttemptCounts;
use crate::class_totals::{ClassRow, ClassTotals};
use crate::ledger_snapshot::LedgerSnapshot;
use crate::node_table::{NodeBounds, NodeTable};
use crate::query_end::QueryEnd;
use crate::saved::SavedLedger;

/// Counts queries by class and attempts by node.
pub struct RequestLedger {
    classes: Vec<ClassTotals>,
    open_queries: HashMap<QueryId, OpenQuery>,
    attempts: AttemptCounts,
    nodes: NodeTable,
}

/// A query that was accepted and has not ended.
struct OpenQuery {
    class: ClassId,
    accepted_at: Nanos,
}

impl RequestLedger {
    /// Creates a ledger of these classes with all counts at 0.
    pub fn new(classes: &[Class], names: &[String], bounds: NodeBounds) -> Self {
        let mut ledger = Self {
            classes: Vec::new(),
            open_queries: HashMap::new(),
            attempts: AttemptCounts::default(),
            nodes: NodeTable::new(bounds),
        };
        ledger.add_classes(classes, names);
        ledger
    }

    /// Adds the classes whose index is beyond those of the ledger. The index of a class is never reused.
    pub fn add_classes(&mut self, classes: &[Class], names: &[String]) {
        let added = classes.iter().zip(names).skip(self.classes.len());
        self.classes.extend(added.map(|(class, name)| ClassTotals::new(class, name)));
    }

    /// The totals of the classes, without latency quantiles.
    pub fn rows(&self) -> impl Iterator<Item = &ClassRow> {
        self.classes.iter().map(ClassTotals::row)
    }

    /// Counts an accepted query. A query of an unknown class is ignored.
    pub fn query_accepted(&mut self, now: Nanos, query: QueryId, class: ClassId) {
        let Some(totals) = self.classes.get_mut(class.0) else { return };
        totals.record_accepted();
        self.open_queries.insert(query, OpenQuery { class, accepted_at: now });
    }

    /// Sets the total number of queries of a class that this process rejected because the queue was full.
    pub fn queries_rejected_queue_full(&mut self, class: ClassId, count: u64) {
        if let Some(totals) = self.classes.get_mut(class.0) {
            totals.set_queue_full(count);
        }
    }

    /// Counts the answer of a query; `coverage` is the share of the weight of its parts that it covers. Returns the end
    /// that was counted; `None` if the query is not open, since only its first end counts.
    pub fn query_answered(
        &mut self,
        now: Nanos,
        query: QueryId,
        complete: bool,
        coverage: f64,
    ) -> Option<QueryEnd> {
        let open = self.open_queries.remove(&query)?;
        let totals = self.classes.get_mut(open.class.0)?;
        Some(totals.record_answer(now.saturating_sub(open.accepted_at), complete, coverage))
    }

    /// Counts the end of a query without an answer. Returns the end that was counted; `None` if the query is not open,
    /// since only its first end counts.
    pub fn query_ended(&mut self, query: QueryId, end: QueryEnd) -> Option<QueryEnd> {
        let open = self.open_queries.remove(&query)?;
        self.classes.get_mut(open.class.0)?.record_end(end);
        Some(end)
    }

    /// Counts the start of an attempt at a node; `number` is its number in its part, from 0, and `hedge` whether an
    /// earlier attempt of the part is in flight.
    pub fn attempt_started(&mut self, node: ServerId, number: u32, hedge: bool) {
        self.attempts.record_start(number, hedge);
        if let Some(row) = self.nodes.row_for_attempt_start(node) {
            row.attempts.record_start(number, hedge);
        }
    }

    /// Counts the end of an attempt at a node.
    pub fn attempt_ended(&mut self, node: ServerId, outcome: Outcome) {
        self.attempts.record_end(outcome);
        if let Some(row) = self.nodes.row(node) {
            row.attempts.record_end(outcome);
        }
    }

    /// Records a node's state in the endpoint list.
    pub fn node_state(&mut self, now: Nanos, node: ServerId, name: &str, state: EndpointState) {
        self.nodes.update_state(now, node, name, state);
    }

    /// Records that the core has removed a node. None of its attempts is in flight, and its id is not reused.
    pub fn node_removed(&mut self, now: Nanos, node: ServerId) {
        self.nodes.mark_removed(now, node);
    }

    /// The counts to store. Open queries and attempts are left out: the next process cannot complete them.
    pub fn save(&self) -> SavedLedger {
        let ended = self.attempts.total_ended();
        SavedLedger {
            classes: self.classes.iter().map(ClassTotals::save).collect(),
            retries: self.attempts.retries.min(ended),
            hedges: self.attempts.hedges.min(ended),
            ended: self.attempts.ended,
            next_node_index: self.nodes.next_index(),
            nodes_evicted: self.nodes.evicted(),
            nodes_unlisted: self.nodes.unlisted(),
        }
    }

    /// Continues from the counts stored by an earlier process: totals, matched by class name, and the next node index,
    /// so that indices are not reused. Must be called before anything is counted.
    pub fn restore(&mut self, saved: &SavedLedger) {
        for totals in &mut self.classes {
            if let Some(class) = saved.classes.iter().find(|c| c.name == totals.row().name) {
                totals.restore(class);
            }
        }
        self.attempts.ended = saved.ended;
        self.attempts.started = saved.ended.iter().fold(0, |sum, n| sum.saturating_add(*n));
        self.attempts.retries = saved.retries.min(self.attempts.started);
        self.attempts.hedges = saved.hedges.min(self.attempts.started);
        self.nodes.restore(saved.next_node_index, saved.nodes_evicted, saved.nodes_unlisted);
    }

    /// Number of queries accepted but not ended.
    pub fn open_queries(&self) -> usize {
        self.open_queries.len()
    }

    /// Counts of the attempts at all nodes.
    pub fn attempts(&self) -> &AttemptCounts {
        &self.attempts
    }

    /// Sums a count over all classes, without taking a snapshot.
    pub fn sum(&self, count: impl Fn(&ClassRow) -> u64) -> u64 {
        self.rows().map(count).sum()
    }

    /// Takes a snapshot of all counts.
    pub fn snapshot(&mut self, now: Nanos) -> LedgerSnapshot {
        LedgerSnapshot {
            at: now,
            classes: self.classes.iter().map(ClassTotals::snapshot).collect(),
            attempts: self.attempts,
            nodes: self.nodes.rows(now),
            nodes_evicted: self.nodes.evicted(),
            nodes_unlisted: self.nodes.unlisted(),
        }
    }
}
