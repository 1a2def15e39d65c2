//! The commands that the log replicates.
//!
//! The words by which serde knows the variants are those of the first version.

use curlewdeck_snapshot::{tagged, RecordError};
use serde::{Deserialize, Serialize};

use crate::value_kind;

/// A change of the replicated map.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Command {
    /// Sets a key, whatever it holds.
    Put {
        /// The key.
        key: String,
        /// Its new value.
        value: Vec<u8>,
    },
    /// Sets or removes a key if it is still at `version` (0: if it is absent). Leases, which must not be granted twice,
    /// are built on it.
    #[serde(rename = "Swap")]
    CompareAndSet {
        /// The key.
        key: String,
        /// The version at which it must be.
        version: u64,
        /// Its new value; none removes the key.
        value: Option<Vec<u8>>,
    },
    /// Changes nothing.
    #[serde(rename = "Nothing")]
    Noop,
}

impl Command {
    /// The key that it changes, if any.
    pub fn key(&self) -> Option<&str> {
        match self {
            Self::Put { key, .. } | Self::CompareAndSet { key, .. } => Some(key),
            Self::Noop => None,
        }
    }

    /// The command as the data of a log entry.
    pub fn to_entry_data(&self) -> Vec<u8> {
        tagged::seal(value_kind::COMMAND, self)
    }

    /// The command from the data of a log entry.
    ///
    /// # Errors
    /// Says why the bytes are not used.
    pub fn from_entry_data(bytes: &[u8]) -> Result<Self, RecordError> {
        tagged::open(value_kind::COMMAND, bytes)
    }
}

/// What a committed command did.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CommandOutcome {
    /// The key was set or removed.
    Written {
        /// The log index of the command, which is the key's version now.
        version: u64,
    },
    /// Nothing changed: a compare-and-set found the key at another version.
    VersionMismatch {
        /// The version that it found; 0 if the key was absent.
        current: u64,
    },
    /// Nothing changed: the command exceeds a limit.
    Rejected(CommandRejection),
    /// Nothing was to be changed.
    NoEffect,
}

/// Which limit a command exceeds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum CommandRejection {
    /// [`ReplicationLimits::max_key_bytes`](crate::ReplicationLimits::max_key_bytes).
    #[error("the key is too long")]
    KeyTooLong,
    /// [`ReplicationLimits::max_value_bytes`](crate::ReplicationLimits::max_value_bytes).
    #[error("the value is too long")]
    ValueTooLong,
    /// [`ReplicationLimits::max_keys`](crate::ReplicationLimits::max_keys).
    #[error("no more keys can be held")]
    TooManyKeys,
}
