//! The membership (pure): snapshots and deltas as discovery writes them, and the same for the core.

use std::collections::HashMap;
use std::net::SocketAddr;

use curlewdeck_membership::{Line, State, Update};
use serde::de::Error;
use serde::{Deserialize, Deserializer};
use serde_json::value::RawValue;

use crate::api::{EndpointState, EndpointUpdateKind};
use crate::engine::Endpoint;

mod fault;
mod line;
mod objects;

pub use fault::{LineError, LineFault};
pub use line::{EndpointEntry, EndpointLine};
pub use objects::{Objects, WatchEvent};

/// A snapshot of the membership or a delta to it, as discovery writes it. A line that cannot be read costs that line
/// only.
#[derive(Debug, Clone, Deserialize)]
pub struct DiscoveryUpdate {
    /// Its version.
    #[serde(rename = "rev", deserialize_with = "version")]
    pub version: u64,
    /// Whether it is a snapshot: what is missing from it is gone.
    #[serde(rename = "all", default, deserialize_with = "complete")]
    pub complete: bool,
    /// Its lines, in their order.
    #[serde(rename = "targets", default, deserialize_with = "lines")]
    pub lines: Vec<EndpointLine>,
}

fn version<'de, D: Deserializer<'de>>(deserializer: D) -> Result<u64, D::Error> {
    let text = Box::<RawValue>::deserialize(deserializer)?;
    line::whole_number(text.get()).ok_or_else(|| D::Error::custom("rev is no version"))
}

fn complete<'de, D: Deserializer<'de>>(deserializer: D) -> Result<bool, D::Error> {
    Ok(Option::deserialize(deserializer)?.unwrap_or(false))
}

fn lines<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Vec<EndpointLine>, D::Error> {
    let lines: Vec<Box<RawValue>> = Option::deserialize(deserializer)?.unwrap_or_default();
    Ok(lines.iter().map(|line| EndpointLine::read(line.get())).collect())
}

impl DiscoveryUpdate {
    /// Reads an object. Bytes that are no text cost the line in whose name they stand.
    ///
    /// # Errors
    /// It is no JSON object, has no version, or its lines are no list.
    pub fn read(bytes: &[u8]) -> Result<Self, LineError> {
        let text = String::from_utf8_lossy(bytes);
        if !text.trim_start().starts_with('{') {
            return Err(LineError::new(LineFault::Object, &text));
        }
        serde_json::from_str(&text).map_err(|e| LineError::new(LineFault::Object, &e.to_string()))
    }

    /// Why lines of it cannot be used as a whole, in the order of the lines: none for an update that can.
    pub fn unreadable_lines(&self) -> impl Iterator<Item = &LineError> {
        self.lines.iter().filter_map(EndpointLine::error)
    }
}

/// A data node as the core knows it, and its address.
pub type ListedEndpoint = (Endpoint, SocketAddr);

impl From<DiscoveryUpdate> for Update<ListedEndpoint> {
    /// For the table of what is in force. Each data node is named once: of lines of the same one the last counts, see
    /// [`Merged`].
    fn from(update: DiscoveryUpdate) -> Self {
        let mut merged = Merged::default();
        update.lines.into_iter().for_each(|line| merged.add(line));
        let lines = merged.lines.into_iter().filter_map(table_line).collect();
        Self { version: update.version, complete: update.complete, lines }
    }
}

/// A line for the table; none where it is not known which data node it is of.
fn table_line(line: EndpointLine) -> Option<Line<ListedEndpoint>> {
    match line {
        EndpointLine::Whole(entry) => {
            let (uid, state, boot) = (entry.uid.clone(), entry.state, entry.boot_ms);
            Some(Line { uid, state, boot: Some(boot), member: Some(member(entry)) })
        }
        EndpointLine::Partial { uid, state, boot_ms, .. } => {
            Some(Line { uid, state, boot: boot_ms, member: None })
        }
        EndpointLine::Unreadable(_) => None,
    }
}

/// The lines of an update with each data node named once.
///
/// A later line of a data node takes the place of an earlier one, but a gate that one line shuts is not opened by
/// another line of the same object, unless that one tells of a newer start. Discovery doesn't say in which order it
/// writes changes: if `up` is the older of the two, a node that drains would get new work; if it is the newer, one node
/// rests until the next snapshot or change, which breaks no rule.
#[derive(Default)]
struct Merged {
    lines: Vec<EndpointLine>,
    /// Where in `lines` a data node stands.
    places: HashMap<String, usize>,
}

impl Merged {
    fn add(&mut self, line: EndpointLine) {
        let uid = match &line {
            EndpointLine::Whole(entry) => &entry.uid,
            EndpointLine::Partial { uid, .. } => uid,
            EndpointLine::Unreadable(_) => return,
        };
        match self.places.get(uid) {
            Some(&place) => {
                let earlier = &mut self.lines[place];
                *earlier = later(earlier, line);
            }
            None => {
                self.places.insert(uid.clone(), self.lines.len());
                self.lines.push(line);
            }
        }
    }
}

/// What two lines of the same data node say together.
fn later(earlier: &EndpointLine, line: EndpointLine) -> EndpointLine {
    match (earlier, line) {
        // It cannot open a gate, and says nothing else.
        (_, EndpointLine::Partial { state: State::Up, .. }) => earlier.clone(),
        (EndpointLine::Whole(before), EndpointLine::Partial { state, .. }) => {
            EndpointLine::Whole(EndpointEntry { state, ..before.clone() })
        }
        (_, EndpointLine::Whole(entry)) if entry.state == State::Up && !reopens(earlier, &entry) => {
            EndpointLine::Whole(EndpointEntry { state: state_of(earlier), ..entry })
        }
        (_, line) => line,
    }
}

/// Whether a line of a data node that is up may follow an earlier one of the same object.
fn reopens(earlier: &EndpointLine, entry: &EndpointEntry) -> bool {
    let started = match earlier {
        EndpointLine::Whole(before) => Some(before.boot_ms),
        EndpointLine::Partial { boot_ms, .. } => *boot_ms,
        EndpointLine::Unreadable(_) => None,
    };
    state_of(earlier) == State::Up || started.is_some_and(|started| entry.boot_ms > started)
}

fn state_of(line: &EndpointLine) -> State {
    match line {
        EndpointLine::Whole(entry) => entry.state,
        EndpointLine::Partial { state, .. } => *state,
        EndpointLine::Unreadable(_) => State::Draining,
    }
}

/// An update ready for the core.
#[derive(Debug, Clone)]
pub struct EndpointUpdate {
    /// Full, a change, or the news that there is none.
    pub kind: EndpointUpdateKind,
    /// Its lines, with the address of each.
    pub endpoints: Vec<ListedEndpoint>,
}

impl EndpointUpdate {
    /// The news that nothing has changed: the list that is held is in force.
    pub fn unchanged() -> Self {
        Self { kind: EndpointUpdateKind::Delta, endpoints: Vec::new() }
    }

    /// What the core is to take over.
    pub fn in_force(update: Update<ListedEndpoint>) -> Self {
        let kind = if update.complete { EndpointUpdateKind::Snapshot } else { EndpointUpdateKind::Delta };
        let listed = |line: Line<ListedEndpoint>| {
            let (member, address) = line.member?;
            Some((Endpoint { state: phase(line.state), ..member }, address))
        };
        Self { kind, endpoints: update.lines.into_iter().filter_map(listed).collect() }
    }
}

const MILLI: u64 = 1_000_000;

fn member(entry: EndpointEntry) -> ListedEndpoint {
    let member = Endpoint {
        name: entry.uid,
        partition_group: entry.cell,
        started_at: entry.boot_ms.saturating_mul(MILLI),
        capacity: entry.capacity,
        state: phase(entry.state),
        zone: entry.zone,
    };
    (member, entry.endpoint)
}

fn phase(state: State) -> EndpointState {
    match state {
        State::Up => EndpointState::Active,
        State::Draining => EndpointState::Draining,
        State::Removed => EndpointState::Removed,
    }
}

#[cfg(test)]
mod tests;
