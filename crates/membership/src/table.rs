//! Which news about a data node is the newer one.
//!
//! Versions are compared for each data node, never for the list as a whole: a replica of discovery may lag, an answer
//! may come late, and a service that has restarted may count from the beginning. News that takes a data node out of
//! service holds whatever its version. A data node that was taken out returns only by news that is not older than that,
//! or by a later start of its process.

use std::collections::{BTreeMap, HashMap, HashSet};

/// Data nodes that have left are remembered up to this number, the latest ones.
const MOST_DEPARTED: usize = 4096;

/// What discovery says of a data node.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum State {
    /// In service.
    Up,
    /// It completes what it holds and wants nothing new.
    Draining,
    /// It has left.
    Removed,
}

/// One line of a snapshot or a delta.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Line<M> {
    /// The data node's name, the same at every coordinator.
    pub uid: String,
    /// Its state.
    pub state: State,
    /// When its process started; nothing where that could not be read.
    pub boot: Option<u64>,
    /// What else the line says; nothing where that could not be read.
    pub member: Option<M>,
}

/// A snapshot or a delta.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Update<M> {
    /// Its version.
    pub version: u64,
    /// Whether it names all data nodes: what is missing has left.
    pub complete: bool,
    /// Its lines. Where a data node has several, they count in their order.
    pub lines: Vec<Line<M>>,
}

#[derive(Debug, Clone)]
struct Known<M> {
    state: State,
    /// The version of the news that gave it this state.
    version: u64,
    boot: u64,
    member: Option<M>,
    /// Its place among those that have left.
    departed: Option<u64>,
}

/// The data nodes as all news so far has them.
#[derive(Debug, Clone)]
pub struct MembershipTable<M> {
    known: HashMap<String, Known<M>>,
    /// Those that have left, by the order in which they did.
    departed: BTreeMap<u64, String>,
    departures: u64,
}

impl<M> Default for MembershipTable<M> {
    fn default() -> Self {
        Self { known: HashMap::new(), departed: BTreeMap::new(), departures: 0 }
    }
}

impl<M: Clone> MembershipTable<M> {
    /// Takes a snapshot or a delta over; returns it as it holds beside all that was told before. A line that older news
    /// may not change keeps the state that is in force, and one that cannot be used is left out.
    pub fn apply(&mut self, update: Update<M>) -> Update<M> {
        let Update { version, complete, lines } = update;
        let named: Vec<String> = lines.iter().map(|line| line.uid.clone()).collect();
        lines.into_iter().for_each(|line| self.take(version, line));
        if complete {
            self.depart_unnamed(version, &named);
        }
        let lines = named.into_iter().filter_map(|uid| self.line(uid)).collect();
        Update { version, complete, lines }
    }

    /// How many data nodes it remembers, those that have left included.
    pub fn len(&self) -> usize {
        self.known.len()
    }

    /// Whether it knows of none.
    pub fn is_empty(&self) -> bool {
        self.known.is_empty()
    }

    /// The line that is in force for a data node; none where all that could be read of it is its name.
    fn line(&self, uid: String) -> Option<Line<M>> {
        let known = self.known.get(&uid)?;
        let usable = known.member.is_some() || known.state == State::Removed;
        usable.then(|| Line { uid, state: known.state, boot: Some(known.boot), member: known.member.clone() })
    }

    fn take(&mut self, version: u64, line: Line<M>) {
        let Line { uid, state, boot, member } = line;
        if member.is_none() && state == State::Up {
            // Too little to put a data node into service.
            return;
        }
        let Some(known) = self.known.get_mut(&uid) else {
            let known = Known { state, version, boot: boot.unwrap_or(0), member, departed: None };
            self.known.insert(uid.clone(), known);
            return self.note_departure(&uid);
        };
        let boot = boot.unwrap_or(known.boot);
        let restarted = boot > known.boot;
        let older = version < known.version;
        if older && boot < known.boot {
            // Of a process before the present one.
            return;
        }
        match (state, known.state) {
            (State::Up, State::Up) => {
                known.version = known.version.max(version);
            }
            (State::Up, State::Draining | State::Removed) => {
                if older && !restarted {
                    return;
                }
                known.version = version;
            }
            (State::Draining | State::Removed, State::Up) => known.version = version,
            (State::Draining | State::Removed, State::Draining | State::Removed) => {
                known.version = if restarted { version } else { known.version.max(version) };
            }
        }
        known.state = state;
        known.boot = boot.max(known.boot);
        if member.is_some() && (!older || restarted || known.member.is_none()) {
            known.member = member;
        }
        self.note_departure(&uid);
    }

    /// Data nodes that a snapshot does not name have left by its version, those that had left before included.
    fn depart_unnamed(&mut self, version: u64, named: &[String]) {
        let named: HashSet<&str> = named.iter().map(String::as_str).collect();
        let mut leaving = Vec::new();
        for (uid, known) in self.known.iter_mut().filter(|(uid, _)| !named.contains(uid.as_str())) {
            known.version = if known.state == State::Up { version } else { known.version.max(version) };
            if known.state != State::Removed {
                known.state = State::Removed;
                leaving.push(uid.clone());
            }
        }
        // In a fixed order, so that the same news leaves the same memory.
        leaving.sort_unstable();
        leaving.iter().for_each(|uid| self.note_departure(uid));
    }

    /// Keeps the order of departures, and forgets the earliest of too many.
    fn note_departure(&mut self, uid: &str) {
        let Some(known) = self.known.get_mut(uid) else { return };
        match (known.state, known.departed) {
            (State::Removed, None) => {
                self.departures += 1;
                known.departed = Some(self.departures);
                self.departed.insert(self.departures, uid.to_string());
            }
            (State::Up | State::Draining, Some(place)) => {
                known.departed = None;
                self.departed.remove(&place);
            }
            _ => {}
        }
        while self.departed.len() > MOST_DEPARTED {
            if let Some((_, earliest)) = self.departed.pop_first() {
                self.known.remove(&earliest);
            }
        }
    }
}
