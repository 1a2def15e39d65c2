//! Which update of a data node is the newer one.
//!
//! Versions are compared for each data node, never for the list as a whole: a replica of discovery may lag, a response may
//! come late, and a service that has restarted may count from the beginning. An update that takes a data node out of
//! service holds whatever its version. A data node that was taken out returns only by an update that is not older than
//! that, or by a later start of its process.

use std::collections::{BTreeMap, HashMap, HashSet};

/// Removed data nodes are remembered up to this number, the latest ones.
const MAX_REMOVED: usize = 4096;

/// What discovery says of a data node.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum State {
    /// In service.
    Up,
    /// It completes what is in flight to it, and accepts nothing new.
    Draining,
    /// It has left the list.
    Removed,
}

/// One line of a snapshot or a delta.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Line<M> {
    /// The data node's name, the same at every coordinator.
    pub uid: String,
    /// Its state.
    pub state: State,
    /// When its process started; none where that could not be read.
    pub boot: Option<u64>,
    /// What else the line says; none where that could not be read.
    pub member: Option<M>,
}

/// A snapshot or a delta.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Update<M> {
    /// Its version.
    pub version: u64,
    /// Whether it names all data nodes: those that are missing have left.
    pub complete: bool,
    /// Its lines. Where a data node has several, they are applied in their order.
    pub lines: Vec<Line<M>>,
}

/// What is in force for a data node.
#[derive(Debug, Clone)]
struct Row<M> {
    state: State,
    /// The version of the update that gave it this state.
    version: u64,
    /// When its process started.
    boot: u64,
    member: Option<M>,
    /// The number of its removal, while it is removed.
    removal: Option<u64>,
}

impl<M> Row<M> {
    /// Applies a line about a data node that is known, unless that is outdated.
    fn apply(&mut self, version: u64, state: State, boot: Option<u64>, member: Option<M>) {
        let boot = boot.unwrap_or(self.boot);
        let restarted = boot > self.boot;
        let is_older = version < self.version;
        let is_of_earlier_process = is_older && boot < self.boot;
        let returns = state == State::Up && self.state != State::Up;
        if is_of_earlier_process || (returns && is_older && !restarted) {
            return;
        }
        self.version = self.version_with(version, state, restarted);
        self.state = state;
        self.boot = boot.max(self.boot);
        if member.is_some() && (!is_older || restarted || self.member.is_none()) {
            self.member = member;
        }
    }

    /// The version of the state that is in force once a line has been applied: that of the line where it puts the data node
    /// into service, takes it out, or is of a later process; else the latest.
    fn version_with(&self, version: u64, state: State, restarted: bool) -> u64 {
        match (state, self.state) {
            (State::Up, State::Up) => self.version.max(version),
            (State::Up, _) | (_, State::Up) => version,
            _ if restarted => version,
            _ => self.version.max(version),
        }
    }

    /// The data node is missing from a snapshot of this version; returns whether that removes it.
    fn remove(&mut self, version: u64) -> bool {
        self.version = if self.state == State::Up { version } else { self.version.max(version) };
        let is_new = self.state != State::Removed;
        self.state = State::Removed;
        is_new
    }
}

/// The data nodes as all updates so far have them.
#[derive(Debug, Clone)]
pub struct MembershipTable<M> {
    rows: HashMap<String, Row<M>>,
    /// Removed data nodes, by the numbers of their removals.
    removed: BTreeMap<u64, String>,
    removals: u64,
}

impl<M> Default for MembershipTable<M> {
    fn default() -> Self {
        Self { rows: HashMap::new(), removed: BTreeMap::new(), removals: 0 }
    }
}

impl<M: Clone> MembershipTable<M> {
    /// Applies a snapshot or a delta; returns it as it holds beside all updates before it. A line that is older than what is
    /// in force is replaced by that, and one that cannot be used is left out.
    pub fn apply(&mut self, update: Update<M>) -> Update<M> {
        let Update { version, complete, lines } = update;
        let named: Vec<String> = lines.iter().map(|line| line.uid.clone()).collect();
        lines.into_iter().for_each(|line| self.apply_line(version, line));
        if complete {
            self.remove_missing(version, &named);
        }
        let lines = named.into_iter().filter_map(|uid| self.line(uid)).collect();
        Update { version, complete, lines }
    }

    /// How many data nodes it remembers, removed ones included.
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// Whether it knows of none.
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    /// The line that is in force for a data node; none where all that could be read of it is its name.
    fn line(&self, uid: String) -> Option<Line<M>> {
        let row = self.rows.get(&uid)?;
        let usable = row.member.is_some() || row.state == State::Removed;
        usable.then(|| Line { uid, state: row.state, boot: Some(row.boot), member: row.member.clone() })
    }

    fn apply_line(&mut self, version: u64, line: Line<M>) {
        let Line { uid, state, boot, member } = line;
        if member.is_none() && state == State::Up {
            // Too little to put a data node into service.
            return;
        }
        match self.rows.get_mut(&uid) {
            Some(row) => row.apply(version, state, boot, member),
            None => {
                let row = Row { state, version, boot: boot.unwrap_or(0), member, removal: None };
                self.rows.insert(uid.clone(), row);
            }
        }
        self.track_removal(&uid);
    }

    /// Data nodes that a snapshot does not name are removed by its version, those that were removed before included.
    fn remove_missing(&mut self, version: u64, named: &[String]) {
        let named: HashSet<&str> = named.iter().map(String::as_str).collect();
        let missing = self.rows.iter_mut().filter(|(uid, _)| !named.contains(uid.as_str()));
        let mut removed: Vec<String> =
            missing.filter_map(|(uid, row)| row.remove(version).then(|| uid.clone())).collect();
        // In a fixed order, so that the same updates leave the same rows.
        removed.sort_unstable();
        removed.iter().for_each(|uid| self.track_removal(uid));
    }

    /// Keeps the order of removals after a change of a row, and forgets the earliest of too many.
    fn track_removal(&mut self, uid: &str) {
        let Some(row) = self.rows.get_mut(uid) else { return };
        match (row.state, row.removal) {
            (State::Removed, None) => {
                self.removals += 1;
                row.removal = Some(self.removals);
                self.removed.insert(self.removals, uid.to_string());
            }
            (State::Up | State::Draining, Some(removal)) => {
                row.removal = None;
                self.removed.remove(&removal);
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
