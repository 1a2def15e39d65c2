//! Counts by data node, in a bounded number of rows whose indices are never reused.
//!
//! The row of a removed node is kept for the retention time; its attempts stay in the totals after that. If the table
//! is full, the row of the node removed first is evicted, and the eviction is counted.

use std::collections::{BTreeMap, HashMap, HashSet};

use curlewdeck_core::api::{EndpointState, Nanos, ServerId};

use crate::attempt_counts::AttemptCounts;

/// Bounds of the table.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct NodeBounds {
    /// Maximum number of rows.
    pub max_rows: usize,
    /// How long the row of a removed node is kept.
    pub retention: Nanos,
}

/// State and counts of one node.
#[derive(Debug, Clone, PartialEq)]
pub struct NodeRow {
    /// Index of the row, from 1; never reused for another node.
    pub index: u32,
    /// Name of the node in the endpoint list.
    pub name: String,
    /// State of the node in the endpoint list.
    pub state: EndpointState,
    /// When the node entered that state.
    pub state_since: Nanos,
    /// When the row was created and counting began.
    pub created: Nanos,
    /// How often the node began to drain.
    pub drains: u64,
    /// Attempts at this node since `created`.
    pub attempts: AttemptCounts,
    /// When the core removed the node; `None` while the core knows it.
    pub removed_at: Option<Nanos>,
}

/// The table of node rows.
pub struct NodeTable {
    bounds: NodeBounds,
    rows: BTreeMap<u32, NodeRow>,
    /// Row indices of the nodes that the core knows.
    by_id: HashMap<ServerId, u32>,
    /// Nodes that get no row while the core knows them. A row created later would count ends of attempts whose starts
    /// it did not count.
    unlisted_ids: HashSet<ServerId>,
    next_index: u32,
    evicted: u64,
    unlisted: u64,
}

impl NodeTable {
    /// Creates an empty table.
    pub fn new(bounds: NodeBounds) -> Self {
        Self {
            bounds,
            rows: BTreeMap::new(),
            by_id: HashMap::new(),
            unlisted_ids: HashSet::new(),
            next_index: 1,
            evicted: 0,
            unlisted: 0,
        }
    }

    /// Index that the next new row gets.
    pub fn next_index(&self) -> u32 {
        self.next_index
    }

    /// Continues from the indices and counts of an earlier process.
    pub fn restore(&mut self, next_index: u32, evicted: u64, unlisted: u64) {
        (self.next_index, self.evicted, self.unlisted) = (self.next_index.max(next_index), evicted, unlisted);
    }

    /// Number of rows evicted before their retention had passed.
    pub fn evicted(&self) -> u64 {
        self.evicted
    }

    /// Number of nodes that got no row because the table was full.
    pub fn unlisted(&self) -> u64 {
        self.unlisted
    }

    /// The row of a node at which an attempt starts. A node that has no row at its first attempt stays without one.
    pub fn row_for_attempt_start(&mut self, id: ServerId) -> Option<&mut NodeRow> {
        if !self.by_id.contains_key(&id) {
            self.unlisted_ids.insert(id);
        }
        self.row(id)
    }

    /// The row of a node that the core knows.
    pub fn row(&mut self, id: ServerId) -> Option<&mut NodeRow> {
        self.rows.get_mut(self.by_id.get(&id)?)
    }

    /// Records a node's state, and creates its row if needed. A node first seen as removed gets no row.
    pub fn update_state(&mut self, now: Nanos, id: ServerId, name: &str, state: EndpointState) {
        if !self.by_id.contains_key(&id) {
            if state == EndpointState::Removed || self.unlisted_ids.contains(&id) {
                return;
            }
            self.add(now, id, name, state);
        }
        let Some(row) = self.row(id) else { return };
        if row.state != state {
            row.drains += u64::from(state == EndpointState::Draining);
            (row.state, row.state_since) = (state, now);
        }
    }

    fn add(&mut self, now: Nanos, id: ServerId, name: &str, state: EndpointState) {
        self.prune(now);
        if self.rows.len() >= self.bounds.max_rows {
            let removed = self.rows.values().filter_map(|r| r.removed_at.map(|at| (at, r.index)));
            let Some((_, oldest)) = removed.min() else {
                self.unlisted += 1;
                self.unlisted_ids.insert(id);
                return;
            };
            self.rows.remove(&oldest);
            self.evicted += 1;
        }
        // Saturation is unreachable: no process sees as many nodes as there are indices.
        let index = self.next_index;
        self.next_index = self.next_index.saturating_add(1);
        let row = NodeRow {
            index,
            name: name.to_string(),
            state,
            state_since: now,
            created: now,
            drains: u64::from(state == EndpointState::Draining),
            attempts: AttemptCounts::default(),
            removed_at: None,
        };
        self.rows.insert(index, row);
        self.by_id.insert(id, index);
    }

    /// Records that the core has removed a node.
    pub fn mark_removed(&mut self, now: Nanos, id: ServerId) {
        self.unlisted_ids.remove(&id);
        let Some(index) = self.by_id.remove(&id) else { return };
        if let Some(row) = self.rows.get_mut(&index) {
            row.removed_at = Some(now);
            if row.state != EndpointState::Removed {
                (row.state, row.state_since) = (EndpointState::Removed, now);
            }
        }
    }

    /// Removes rows whose retention has passed.
    fn prune(&mut self, now: Nanos) {
        let retention = self.bounds.retention;
        self.rows.retain(|_, r| r.removed_at.is_none_or(|at| now.saturating_sub(at) <= retention));
    }

    /// All rows within their retention, ordered by index.
    pub fn rows(&mut self, now: Nanos) -> Vec<NodeRow> {
        self.prune(now);
        self.rows.values().cloned().collect()
    }
}

#[cfg(test)]
mod tests;
