//! The commands in the replicated log.
//!
//! The serde names of the variants are those of the first version.

use curlewdeck_snapshot::{tagged, RecordError};
use serde::{Deserialize, Serialize};

use crate::value_kind;

/// A change of the replicated map.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Command {
    /// Sets a key unconditionally.
    Put {
        /// The key to set; it is created if it is absent.
        key: String,
        /// The new value.
        value: Vec<u8>,
    },
    /// Sets or removes a key if it is still at `version` (0: if it is absent). It serves to implement leases, which
    /// must not be granted twice.
    #[serde(rename = "Swap")]
    CompareAndSet {
        /// The key to compare and set.
        key: String,
        /// The version that the key must have; 0 if it must be absent.
        version: u64,
        /// The new value; none removes the key.
        value: Option<Vec<u8>>,
    },
    /// Leaves the map unchanged.
    #[serde(rename = "Nothing")]
    Noop,
}

impl Command {
    /// The key that the command changes; none for [`Noop`](Self::Noop).
    pub fn key(&self) -> Option<&str> {
        match self {
            Self::Put { key, .. } | Self::CompareAndSet { key, .. } => Some(key),
            Self::Noop => None,
        }
    }

    /// Encodes the command as the data of a log entry.
    pub fn to_entry_data(&self) -> Vec<u8> {
        tagged::seal(value_kind::COMMAND, self)
    }

    /// Decodes a command from the data of a log entry.
    ///
    /// # Errors
    /// The bytes are corrupt, or are not a command that this version can decode.
    pub fn from_entry_data(bytes: &[u8]) -> Result<Self, RecordError> {
        tagged::open(value_kind::COMMAND, bytes)
    }
}

/// The effect of a committed command.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CommandOutcome {
    /// The key was set or removed.
    Written {
        /// The key's new version, which is the log index of the command.
        version: u64,
    },
    /// Nothing changed: a compare-and-set found the key at another version.
    VersionMismatch {
        /// The key's actual version; 0 if the key was absent.
        current: u64,
    },
    /// Nothing changed: the command exceeds a limit.
    Rejected(CommandRejection),
    /// The map is unchanged: a no-op command, a membership change, or an entry that was already applied or cannot be
    /// decoded.
    NoEffect,
}

/// The limit that a command exceeds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum CommandRejection {
    /// [`ReplicationLimits::max_key_bytes`](crate::ReplicationLimits::max_key_bytes).
    #[error("the key is too long")]
    KeyTooLong,
    /// [`ReplicationLimits::max_value_bytes`](crate::ReplicationLimits::max_value_bytes).
    #[error("the value is too long")]
    ValueTooLong,
    /// [`ReplicationLimits::max_keys`](crate::ReplicationLimits::max_keys).
    #[error("the map has reached its maximum number of keys")]
    TooManyKeys,
}
