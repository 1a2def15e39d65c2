//! The state of each data node, as the newest update gives it.
//!
//! Versions are compared for each data node separately rather than for the list: a replica of discovery may lag, a
//! response may be late, and a restarted service may count versions from the beginning. An update that takes a data
//! node out of service is applied whatever its version, unless it is older and concerns an earlier process of the node.
//! A data node that is out of service returns only with an update that is not older, or with a later start of its
//! process.

use std::collections::{BTreeMap, HashMap, HashSet};

/// The number of removed data nodes that the table keeps; the earliest removed ones are evicted.
const MAX_REMOVED: usize = 4096;

/// The state of a data node.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum State {
    /// The node accepts new attempts.
    Up,
    /// The node completes attempts in flight and accepts no new ones.
    Draining,
    /// The node is no longer in the list.
    Removed,
}

/// One line of a snapshot or a delta.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Line<M> {
    /// The data node's name, the same at every coordinator.
    pub name: String,
    /// The state that the update gives the data node.
    pub state: State,
    /// When the node's process started; `None` if that could not be parsed.
    pub started_at: Option<u64>,
    /// The other fields of the line; `None` if they could not be parsed.
    pub details: Option<M>,
}

/// A snapshot or a delta.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Update<M> {
    /// Discovery's version number of the list after this update.
    pub version: u64,
    /// Whether this is a snapshot, which removes the data nodes that it does not name.
    pub complete: bool,
    /// The lines about data nodes; several lines about one node are applied in order.
    pub lines: Vec<Line<M>>,
}

/// The current state of a data node.
#[derive(Debug, Clone)]
struct Row<M> {
    state: State,
    /// The version of the update that set the state.
    version: u64,
    /// When the node's process started.
    started_at: u64,
    details: Option<M>,
    /// The key in [`MembershipTable::removed`] while the node is removed.
    removal_id: Option<u64>,
}

impl<M> Row<M> {
    /// Applies a line about this data node, unless the line is outdated.
    fn apply(&mut self, version: u64, state: State, started_at: Option<u64>, details: Option<M>) {
        let started_at = started_at.unwrap_or(self.started_at);
        let restarted = started_at > self.started_at;
        let is_older = version < self.version;
        let is_of_earlier_process = is_older && started_at < self.started_at;
        let returns = state == State::Up && self.state != State::Up;
        if is_of_earlier_process || (returns && is_older && !restarted) {
            return;
        }
        self.version = self.version_after(version, state, restarted);
        self.state = state;
        self.started_at = started_at.max(self.started_at);
        if details.is_some() && (!is_older || restarted || self.details.is_none()) {
            self.details = details;
        }
    }

    /// The version of the state after a line is applied: the line's version if it puts the data node into service,
    /// takes it out of service, or concerns a later process; otherwise the higher of both versions.
    fn version_after(&self, version: u64, state: State, restarted: bool) -> u64 {
        match (state, self.state) {
            (State::Up, State::Up) => self.version.max(version),
            (State::Up, _) | (_, State::Up) => version,
            _ if restarted => version,
            _ => self.version.max(version),
        }
    }

    /// Removes a data node that a snapshot of this version does not name. Returns whether it was not removed before.
    fn remove(&mut self, version: u64) -> bool {
        self.version = if self.state == State::Up { version } else { self.version.max(version) };
        let was_listed = self.state != State::Removed;
        self.state = State::Removed;
        was_listed
    }
}

/// The data nodes with their states after all updates so far.
#[derive(Debug, Clone)]
pub struct MembershipTable<M> {
    rows: HashMap<String, Row<M>>,
    /// Removed data nodes in the order of their removals.
    removed: BTreeMap<u64, String>,
    /// The id of the latest removal.
    last_removal_id: u64,
}

impl<M> Default for MembershipTable<M> {
    fn default() -> Self {
        Self { rows: HashMap::new(), removed: BTreeMap::new(), last_removal_id: 0 }
    }
}

impl<M: Clone> MembershipTable<M> {
    /// Applies a snapshot or a delta, and returns it with the resulting states. A line that is older than the current
    /// state is replaced by that state, and a line that cannot be used is left out.
    pub fn apply(&mut self, update: Update<M>) -> Update<M> {
        let Update { version, complete, lines } = update;
        let named: Vec<String> = lines.iter().map(|line| line.name.clone()).collect();
        lines.into_iter().for_each(|line| self.apply_line(version, line));
        if complete {
            self.remove_missing(version, &named);
        }
        let lines = named.into_iter().filter_map(|name| self.line(name)).collect();
        Update { version, complete, lines }
    }

    /// The number of data nodes in the table, including removed ones.
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// Whether the table has no data node, not even a removed one.
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    /// The current line of a data node; `None` if its other fields have never been parsed and it is not removed.
    fn line(&self, name: String) -> Option<Line<M>> {
        let row = self.rows.get(&name)?;
        let usable = row.details.is_some() || row.state == State::Removed;
        usable.then(|| Line {
            name,
            state: row.state,
            started_at: Some(row.started_at),
            details: row.details.clone(),
        })
    }

    fn apply_line(&mut self, version: u64, line: Line<M>) {
        let Line { name, state, started_at, details } = line;
        if details.is_none() && state == State::Up {
            // A line without the node's fields cannot put it into service.
            return;
        }
        match self.rows.get_mut(&name) {
            Some(row) => row.apply(version, state, started_at, details),
            None => {
                let row =
                    Row { state, version, started_at: started_at.unwrap_or(0), details, removal_id: None };
                self.rows.insert(name.clone(), row);
            }
        }
        self.track_removal(&name);
    }

    /// Removes the data nodes that a snapshot does not name, and updates the versions of those already removed.
    fn remove_missing(&mut self, version: u64, named: &[String]) {
        let named: HashSet<&str> = named.iter().map(String::as_str).collect();
        let missing = self.rows.iter_mut().filter(|(name, _)| !named.contains(name.as_str()));
        let mut removed: Vec<String> =
            missing.filter_map(|(name, row)| row.remove(version).then(|| name.clone())).collect();
        // The order is fixed so that the same updates always keep the same rows.
        removed.sort_unstable();
        removed.iter().for_each(|name| self.track_removal(name));
    }

    /// Updates the order of removals after a row has changed, and evicts the earliest removed nodes beyond the limit.
    fn track_removal(&mut self, name: &str) {
        let Some(row) = self.rows.get_mut(name) else { return };
        match (row.state, row.removal_id) {
            (State::Removed, None) => {
                self.last_removal_id += 1;
                row.removal_id = Some(self.last_removal_id);
                self.removed.insert(self.last_removal_id, name.to_string());
            }
            (State::Up | State::Draining, Some(removal_id)) => {
                row.removal_id = None;
                self.removed.remove(&removal_id);
            }
            _ => {}
        }
        while self.removed.len() > MAX_REMOVED {
            if let Some((_, earliest)) = self.removed.pop_first() {
                self.rows.remove(&earliest);
            }
        }
    }
}
