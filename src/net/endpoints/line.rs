//! One line of the endpoint list, as far as it can be read (pure).

use std::net::SocketAddr;

use curlewdeck_membership::State;

use super::error::LineError;

/// A line of which all that is needed can be read.
#[derive(Debug, Clone, PartialEq)]
pub struct EndpointEntry {
    /// The data node's name.
    pub name: String,
    /// Its address.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: Option<String>,
    /// Its partition group.
    pub partition_group: u32,
    /// Its state.
    pub state: State,
    /// Its size for comparison: finite and not negative.
    pub capacity: f64,
    /// When it last started, as Unix time in milliseconds; 0 means long ago.
    pub started_at_ms: u64,
}

/// A line, as far as it can be read.
#[derive(Debug, Clone, PartialEq)]
pub enum EndpointLine {
    /// All that is needed.
    Complete(EndpointEntry),
    /// Name and state only: enough to close the data node's gate, and too little to open it.
    Partial {
        /// The data node's name.
        name: String,
        /// Its state; draining where that cannot be read.
        state: State,
        /// When it last started, if that can be read; 0 where it is left out.
        started_at_ms: Option<u64>,
        /// Why the rest cannot be used.
        reason: LineError,
    },
    /// It is not known which data node the line is of.
    Unreadable(LineError),
}

impl EndpointLine {
    /// Why it is not complete; nothing where it is.
    pub fn error(&self) -> Option<&LineError> {
        match self {
            Self::Complete(_) => None,
            Self::Partial { reason, .. } | Self::Unreadable(reason) => Some(reason),
        }
    }

    /// The data node's name, where it is known.
    pub fn name(&self) -> Option<&str> {
        match self {
            Self::Complete(entry) => Some(&entry.name),
            Self::Partial { name, .. } => Some(name),
            Self::Unreadable(_) => None,
        }
    }

    /// The data node's state; draining where it is not known.
    pub fn state(&self) -> State {
        match self {
            Self::Complete(entry) => entry.state,
            Self::Partial { state, .. } => *state,
            Self::Unreadable(_) => State::Draining,
        }
    }

    /// When the data node last started, as Unix time in milliseconds, where it is known.
    pub fn started_at_ms(&self) -> Option<u64> {
        match self {
            Self::Complete(entry) => Some(entry.started_at_ms),
            Self::Partial { started_at_ms, .. } => *started_at_ms,
            Self::Unreadable(_) => None,
        }
    }
}
