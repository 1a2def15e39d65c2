//! The endpoint list, without I/O: discovery's updates, and their conversion for the coordinator's core.
//!
//! [`WatchParser`] splits the stream of a watch into events, `wire` parses one update, and `merge` prepares it for the
//! membership table. An unreadable line does not affect the other lines of its update.

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

/// A snapshot of the endpoint list or a delta, as discovery sends it.
#[derive(Debug, Clone)]
pub struct DiscoveryUpdate {
    /// The version of the endpoint list after this update.
    pub version: u64,
    /// Whether this is a snapshot, which removes every data node that it does not list.
    pub complete: bool,
    /// The lines in the order of the JSON array.
    pub lines: Vec<EndpointLine>,
}

impl DiscoveryUpdate {
    /// Errors of the lines that are not complete, in the order of the lines.
    pub fn unreadable_lines(&self) -> impl Iterator<Item = &LineError> {
        self.lines.iter().filter_map(EndpointLine::error)
    }
}

/// A data node's description for the core, and its address.
pub type ListedEndpoint = (Endpoint, SocketAddr);

/// An update of the endpoint list, converted for the core.
#[derive(Debug, Clone)]
pub struct EndpointUpdate {
    /// Snapshot, delta, or a list that discovery has not confirmed yet.
    pub kind: EndpointUpdateKind,
    /// The listed endpoints with their addresses.
    pub endpoints: Vec<ListedEndpoint>,
}

impl EndpointUpdate {
    /// An empty delta: confirms the current list without changing it.
    pub fn unchanged() -> Self {
        Self { kind: EndpointUpdateKind::Delta, endpoints: Vec::new() }
    }

    /// Converts the lines that the membership table has applied.
    pub fn from_applied(update: Update<ListedEndpoint>) -> Self {
        let kind = if update.complete { EndpointUpdateKind::Snapshot } else { EndpointUpdateKind::Delta };
        let endpoints = update.lines.into_iter().filter_map(listed_endpoint).collect();
        Self { kind, endpoints }
    }
}

/// Returns the line's endpoint in the line's state, or `None` if only the state is known.
fn listed_endpoint(line: Line<ListedEndpoint>) -> Option<ListedEndpoint> {
    let (endpoint, address) = line.details?;
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
