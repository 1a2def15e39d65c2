//! The endpoint list (pure): updates as discovery writes them, and as the coordinator's core takes them.
//!
//! [`WatchParser`] takes the stream of a watch apart, `wire` reads one update, and `merge` prepares it for the table
//! of what is in force. A line that cannot be read costs that line only.

use std::net::SocketAddr;

use curlewdeck_membership::{Line, State, Update};

use crate::api::{EndpointState, EndpointUpdateKind};
use crate::engine::Endpoint;

mod error;
mod line;
mod merge;
mod watch_parser;
mod wire;

pub use error::{LineError, LineFault};
pub use line::{EndpointEntry, EndpointLine};
pub use watch_parser::{WatchEvent, WatchParser};

/// A snapshot of the endpoint list or a change to it, as discovery writes it.
#[derive(Debug, Clone)]
pub struct DiscoveryUpdate {
    /// Its version.
    pub version: u64,
    /// Whether it is a snapshot: a data node that is missing from it is removed.
    pub complete: bool,
    /// Its lines, in their order.
    pub lines: Vec<EndpointLine>,
}

impl DiscoveryUpdate {
    /// Why lines of it cannot be used as a whole, in the order of the lines: none where all lines can.
    pub fn unreadable_lines(&self) -> impl Iterator<Item = &LineError> {
        self.lines.iter().filter_map(EndpointLine::error)
    }
}

/// A data node as the core knows it, and its address.
pub type ListedEndpoint = (Endpoint, SocketAddr);

/// An update ready for the core.
#[derive(Debug, Clone)]
pub struct EndpointUpdate {
    /// Whether it is a snapshot or a change, or a list that discovery has not confirmed yet.
    pub kind: EndpointUpdateKind,
    /// Its endpoints, with the address of each.
    pub endpoints: Vec<ListedEndpoint>,
}

impl EndpointUpdate {
    /// The update that says that nothing has changed: the list that is held is in force.
    pub fn unchanged() -> Self {
        Self { kind: EndpointUpdateKind::Delta, endpoints: Vec::new() }
    }

    /// What the core is to take over of an update that the table of what is in force has applied.
    pub fn from_applied(update: Update<ListedEndpoint>) -> Self {
        let kind = if update.complete { EndpointUpdateKind::Snapshot } else { EndpointUpdateKind::Delta };
        let endpoints = update.lines.into_iter().filter_map(listed_endpoint).collect();
        Self { kind, endpoints }
    }
}

/// The endpoint of a line, in the line's state; none where only the state is known.
fn listed_endpoint(line: Line<ListedEndpoint>) -> Option<ListedEndpoint> {
    let (endpoint, address) = line.member?;
    Some((Endpoint { state: endpoint_state(line.state), ..endpoint }, address))
}

fn endpoint_state(state: State) -> EndpointState {
    match state {
        State::Up => EndpointState::Active,
        State::Draining => EndpointState::Draining,
        State::Removed => EndpointState::Removed,
    }
}

#[cfg(test)]
mod tests;
