//! One line of the endpoint list, parsed completely or in part.

use std::net::SocketAddr;

use curlewdeck_membership::State;

use super::error::LineError;

/// A line with all required fields.
#[derive(Debug, Clone, PartialEq)]
pub struct EndpointEntry {
    /// The data node's name, unique in the list.
    pub name: String,
    /// Where the data node accepts connections.
    pub address: SocketAddr,
    /// The availability zone; `None` if it is missing or unreadable.
    pub zone: Option<String>,
    /// The partition group that the data node serves.
    pub partition_group: u32,
    /// The state that discovery reports.
    pub state: State,
    /// Relative capacity; finite and not negative.
    pub capacity: f64,
    /// Unix time of the last start in milliseconds; 0 if the line has none.
    pub started_at_ms: u64,
}

/// A line, parsed completely or in part.
#[derive(Debug, Clone, PartialEq)]
pub enum EndpointLine {
    /// All required fields are readable.
    Complete(EndpointEntry),
    /// Only the name and state are known: they can close the data node's gate, but not open it.
    Partial {
        /// The data node's name.
        name: String,
        /// The state; draining if it is unreadable.
        state: State,
        /// Unix time of the last start in milliseconds; 0 if it is missing, `None` if it is unreadable.
        started_at_ms: Option<u64>,
        /// The first error among the required fields.
        reason: LineError,
    },
    /// The line names no data node.
    Unreadable(LineError),
}

impl EndpointLine {
    /// Returns why the line is not complete, or `None` if it is.
    pub fn error(&self) -> Option<&LineError> {
        match self {
            Self::Complete(_) => None,
            Self::Partial { reason, .. } | Self::Unreadable(reason) => Some(reason),
        }
    }

    /// Returns the data node's name, if it is known.
    pub fn name(&self) -> Option<&str> {
        match self {
            Self::Complete(entry) => Some(&entry.name),
            Self::Partial { name, .. } => Some(name),
            Self::Unreadable(_) => None,
        }
    }

    /// Returns the data node's state; draining if it is unknown.
    pub fn state(&self) -> State {
        match self {
            Self::Complete(entry) => entry.state,
            Self::Partial { state, .. } => *state,
            Self::Unreadable(_) => State::Draining,
        }
    }

    /// Returns the Unix time of the data node's last start in milliseconds, if it is known.
    pub fn started_at_ms(&self) -> Option<u64> {
        match self {
            Self::Complete(entry) => Some(entry.started_at_ms),
            Self::Partial { started_at_ms, .. } => *started_at_ms,
            Self::Unreadable(_) => None,
        }
    }
}
