//! The counts of data nodes: a bounded number of rows, with indices that are never used for another node.
//!
//! A removed node keeps its row for the retention; its attempts stay in the totals after that. If the table is full, the
//! row of the node that was removed first is evicted, which is counted.

use std::collections::{BTreeMap, HashMap, HashSet};

use curlewdeck_core::api::{EndpointState, Nanos, ServerId};

use crate::attempt_counts::AttemptCounts;

/// Bounds of the table.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct NodeBounds {
    /// How many rows there are at most.
    pub max_rows: usize,
    /// How long a removed node keeps its row.
    pub retention: Nanos,
}

/// The counts of one node.
#[derive(Debug, Clone, PartialEq)]
pub struct NodeRow {
    /// Its index, from 1; never used for another node.
    pub index: u32,
    /// Its name in the endpoint list.
    pub name: String,
    /// Its state in the endpoint list.
    pub state: EndpointState,
    /// Since when it is in that state.
    pub state_since: Nanos,
    /// When it got its row: its counts begin there.
    pub created: Nanos,
    /// How often it began to drain.
    pub drains: u64,
    /// Its attempts.
    pub attempts: AttemptCounts,
    /// Since when the core no longer knows it.
    pub removed_at: Option<Nanos>,
}

/// The rows of the nodes.
pub struct NodeTable {
    bounds: NodeBounds,
    rows: BTreeMap<u32, NodeRow>,
    /// The indices of the nodes that the core knows, by their ids.
    by_id: HashMap<ServerId, u32>,
    /// Nodes that get no row as long as the core knows them: a row that came later would count the ends of attempts
    /// whose starts it has not counted.
    unlisted_ids: HashSet<ServerId>,
    next_index: u32,
    evicted: u64,
    unlisted: u64,
}

impl NodeTable {
    /// A table without rows.
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

    /// The index of the next node.
    pub fn next_index(&self) -> u32 {
        self.next_index
    }

    /// Continues from the counts of an earlier process.
    pub fn restore(&mut self, next_index: u32, evicted: u64, unlisted: u64) {
        (self.next_index, self.evicted, self.unlisted) = (self.next_index.max(next_index), evicted, unlisted);
    }

    /// Rows that were evicted before their retention was over.
    pub fn evicted(&self) -> u64 {
        self.evicted
    }

    /// Nodes for which there was no row.
    pub fn unlisted(&self) -> u64 {
        self.unlisted
    }

    /// The row of a node at which an attempt starts; a node that has none by now gets none any more.
    pub fn row_to_start(&mut self, id: ServerId) -> Option<&mut NodeRow> {
        if !self.by_id.contains_key(&id) {
            self.unlisted_ids.insert(id);
        }
        self.row(id)
    }

    /// A node's row.
    pub fn row(&mut self, id: ServerId) -> Option<&mut NodeRow> {
        self.rows.get_mut(self.by_id.get(&id)?)
    }

    /// Takes note of a node's state. A node that is removed when it is first seen gets no row.
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
        // No process ever sees as many nodes as there are indices.
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

    /// Takes note that the core no longer knows a node.
    pub fn removed(&mut self, now: Nanos, id: ServerId) {
        self.unlisted_ids.remove(&id);
        let Some(index) = self.by_id.remove(&id) else { return };
        if let Some(row) = self.rows.get_mut(&index) {
            row.removed_at = Some(now);
            if row.state != EndpointState::Removed {
                (row.state, row.state_since) = (EndpointState::Removed, now);
            }
        }
    }

    /// Drops the rows whose retention is over.
    fn prune(&mut self, now: Nanos) {
        let retention = self.bounds.retention;
        self.rows.retain(|_, r| r.removed_at.is_none_or(|at| now.saturating_sub(at) <= retention));
    }

    /// All rows, in the order of their indices.
    pub fn rows(&mut self, now: Nanos) -> Vec<NodeRow> {
        self.prune(now);
        self.rows.values().cloned().collect()
    }
}

#[cfg(test)]
mod tests;
