//! The rows of data nodes: bounded, with indices that are never given to another node.
//!
//! A node keeps its row for a stated time after it has left; then the row goes, and its counts stay in the totals.
//! Where the table is full, the node that has been gone longest goes first, and a count says so.

use std::collections::{BTreeMap, HashMap, HashSet};

use curlewdeck_core::api::{EndpointState, Nanos, ServerId};

use crate::AttemptCounts;

/// Bounds of the table.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct NodeBounds {
    /// Rows.
    pub max_rows: usize,
    /// How long a node that is gone keeps its row.
    pub retention: Nanos,
}

/// One node.
#[derive(Debug, Clone, PartialEq)]
pub struct NodeRow {
    /// Its index, from 1: never another node's.
    pub index: u32,
    /// Its name in the list.
    pub name: String,
    /// What the list says of it.
    pub state: EndpointState,
    /// Since when it has that phase.
    pub state_since: Nanos,
    /// When it got its row: its counts start there.
    pub created: Nanos,
    /// How often it was seen to drain.
    pub drains: u64,
    /// Its attempts.
    pub attempts: AttemptCounts,
    /// Since when the core has forgotten it.
    pub removed_at: Option<Nanos>,
}

/// The table.
pub struct NodeTable {
    bounds: NodeBounds,
    rows: BTreeMap<u32, NodeRow>,
    /// The rows of nodes that the core knows, by its ids.
    by_id: HashMap<ServerId, u32>,
    /// Nodes without a row for as long as the core knows them: one that got a row later would see attempts end that
    /// it never saw start.
    without: HashSet<ServerId>,
    next: u32,
    evicted: u64,
    unlisted: u64,
}

impl NodeTable {
    /// An empty table.
    pub fn new(bounds: NodeBounds) -> Self {
        Self {
            bounds,
            rows: BTreeMap::new(),
            by_id: HashMap::new(),
            without: HashSet::new(),
            next: 1,
            evicted: 0,
            unlisted: 0,
        }
    }

    /// The index that the next node gets.
    pub fn next(&self) -> u32 {
        self.next
    }

    /// Goes on from an earlier process's figures.
    pub fn restore(&mut self, next: u32, evicted: u64, unlisted: u64) {
        (self.next, self.evicted, self.unlisted) = (self.next.max(next), evicted, unlisted);
    }

    /// Rows that went before their time.
    pub fn evicted(&self) -> u64 {
        self.evicted
    }

    /// Nodes that found no room.
    pub fn unlisted(&self) -> u64 {
        self.unlisted
    }

    /// The row of a node at which an attempt starts; one that has none by now gets none.
    pub fn row_to_start(&mut self, id: ServerId) -> Option<&mut NodeRow> {
        if !self.by_id.contains_key(&id) {
            self.without.insert(id);
        }
        self.row(id)
    }

    /// A node's row.
    pub fn row(&mut self, id: ServerId) -> Option<&mut NodeRow> {
        self.rows.get_mut(self.by_id.get(&id)?)
    }

    /// The list says this of a node. One that is met gone needs no row.
    pub fn update_state(&mut self, now: Nanos, id: ServerId, name: &str, phase: EndpointState) {
        if !self.by_id.contains_key(&id) {
            if phase == EndpointState::Removed || self.without.contains(&id) {
                return;
            }
            self.add(now, id, name, phase);
        }
        let Some(row) = self.row(id) else { return };
        if row.state != phase {
            row.drains += u64::from(phase == EndpointState::Draining);
            (row.state, row.state_since) = (phase, now);
        }
    }

    fn add(&mut self, now: Nanos, id: ServerId, name: &str, phase: EndpointState) {
        self.prune(now);
        if self.rows.len() >= self.bounds.max_rows {
            let gone = self.rows.values().filter_map(|r| r.removed_at.map(|at| (at, r.index)));
            let Some((_, oldest)) = gone.min() else {
                self.unlisted += 1;
                self.without.insert(id);
                return;
            };
            self.rows.remove(&oldest);
            self.evicted += 1;
        }
        // More nodes than there are indices are met by no process; then the last one keeps its row alone.
        let index = self.next;
        self.next = self.next.saturating_add(1);
        let row = NodeRow {
            index,
            name: name.to_string(),
            state: phase,
            state_since: now,
            created: now,
            drains: u64::from(phase == EndpointState::Draining),
            attempts: AttemptCounts::default(),
            removed_at: None,
        };
        self.rows.insert(index, row);
        self.by_id.insert(id, index);
    }

    /// The core has forgotten a node.
    pub fn removed(&mut self, now: Nanos, id: ServerId) {
        self.without.remove(&id);
        let Some(index) = self.by_id.remove(&id) else { return };
        if let Some(row) = self.rows.get_mut(&index) {
            row.removed_at = Some(now);
            if row.state != EndpointState::Removed {
                (row.state, row.state_since) = (EndpointState::Removed, now);
            }
        }
    }

    /// Rows whose time is over go.
    fn prune(&mut self, now: Nanos) {
        let keep = self.bounds.retention;
        self.rows.retain(|_, r| r.removed_at.is_none_or(|at| now.saturating_sub(at) <= keep));
    }

    /// All rows, in the order of their indices.
    pub fn rows(&mut self, now: Nanos) -> Vec<NodeRow> {
        self.prune(now);
        self.rows.values().cloned().collect()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn names(nodes: &mut NodeTable, now: Nanos) -> Vec<(u32, String)> {
        nodes.rows(now).into_iter().map(|r| (r.index, r.name)).collect()
    }

    /// The hard case of a thousand nodes replaced one by one: rows stay bounded, and no index comes again.
    #[test]
    fn a_thousand_nodes_are_replaced_in_bounded_room() {
        let mut nodes = NodeTable::new(NodeBounds { max_rows: 8, retention: 5 });
        let mut seen = std::collections::BTreeSet::new();
        for n in 0..1000u32 {
            nodes.update_state(n.into(), ServerId(n), &format!("s{n}"), EndpointState::Active);
            if n >= 4 {
                nodes.update_state(n.into(), ServerId(n - 4), "", EndpointState::Removed);
                nodes.removed(n.into(), ServerId(n - 4));
            }
            let rows = nodes.rows(n.into());
            assert!(rows.len() <= 8 && rows.iter().any(|r| r.name == format!("s{n}")));
            seen.extend(rows.iter().map(|r| (r.index, r.name.clone())));
        }
        assert_eq!(seen.len(), 1000, "an index came again, or a node had two");
        assert_eq!((nodes.by_id.len(), nodes.unlisted()), (4, 0));
        assert!(nodes.evicted() > 0);
    }

    #[test]
    fn a_node_that_is_gone_keeps_its_row_for_a_while() {
        let mut nodes = NodeTable::new(NodeBounds { max_rows: 2, retention: 10 });
        nodes.update_state(0, ServerId(1), "a", EndpointState::Active);
        nodes.update_state(1, ServerId(1), "a", EndpointState::Draining);
        nodes.update_state(2, ServerId(1), "a", EndpointState::Draining);
        nodes.removed(3, ServerId(1));
        let row = nodes.rows(13).remove(0);
        assert_eq!((row.drains, row.state, row.removed_at), (1, EndpointState::Removed, Some(3)));
        assert!(names(&mut nodes, 14).is_empty());
        // The same name under another id is another row.
        nodes.update_state(20, ServerId(2), "a", EndpointState::Active);
        assert_eq!(names(&mut nodes, 20), [(2, "a".to_string())]);
        // Where all are there, one more finds no room; one that is gone makes some.
        nodes.update_state(21, ServerId(3), "b", EndpointState::Active);
        nodes.update_state(21, ServerId(4), "c", EndpointState::Active);
        assert_eq!((names(&mut nodes, 21).len(), nodes.unlisted()), (2, 1));
        nodes.removed(22, ServerId(2));
        // The one without a row stays so: it may have attempts out that no row saw start.
        nodes.update_state(22, ServerId(4), "c", EndpointState::Active);
        nodes.update_state(22, ServerId(5), "d", EndpointState::Active);
        assert_eq!(names(&mut nodes, 22), [(3, "b".to_string()), (4, "d".to_string())]);
        assert_eq!((nodes.evicted(), nodes.unlisted()), (1, 1));
    }
}
