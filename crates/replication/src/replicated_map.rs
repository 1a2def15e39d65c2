//! The state machine: a map of keys, each with a value and the log index at which it was written.
//!
//! Every member applies the same commands in the same order, so all members hold the same map at the same index. The
//! outcome of a command depends only on the map, the command and the limits, never on a clock or on randomness.

use std::collections::BTreeMap;

use curlewdeck_snapshot::{tagged, RecordError};
use serde::{Deserialize, Serialize};

use crate::command::{Command, CommandOutcome, CommandRejection};
use crate::limits::ReplicationLimits;
use crate::value_kind;

/// The value of a key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionedValue {
    /// The bytes as the client wrote them.
    pub value: Vec<u8>,
    /// The log index of the command that wrote it.
    pub version: u64,
}

/// The map at one index of the log.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicatedMap {
    #[serde(rename = "slots")]
    values: BTreeMap<String, VersionedValue>,
    #[serde(rename = "applied")]
    applied_index: u64,
}

impl ReplicatedMap {
    /// The index of the last entry applied.
    pub fn applied_index(&self) -> u64 {
        self.applied_index
    }

    /// The value of a key, or none if the key is absent.
    pub fn get(&self, key: &str) -> Option<&VersionedValue> {
        self.values.get(key)
    }

    /// The number of keys.
    pub fn len(&self) -> usize {
        self.values.len()
    }

    /// Whether the map has no keys.
    pub fn is_empty(&self) -> bool {
        self.values.is_empty()
    }

    /// Advances the applied index past an entry that does not change the map, such as a leader's empty entry or a
    /// membership change.
    pub fn skip(&mut self, index: u64) {
        self.applied_index = self.applied_index.max(index);
    }

    /// Applies the command at `index`. Has no effect if `index` was already applied.
    pub fn apply(&mut self, index: u64, command: &Command, limits: &ReplicationLimits) -> CommandOutcome {
        if index <= self.applied_index {
            return CommandOutcome::NoEffect;
        }
        self.applied_index = index;
        let (key, value) = match command {
            Command::Noop => return CommandOutcome::NoEffect,
            Command::Put { key, value } => (key, Some(value)),
            Command::CompareAndSet { key, version, value } => {
                let current = self.values.get(key).map_or(0, |v| v.version);
                if current != *version {
                    return CommandOutcome::VersionMismatch { current };
                }
                (key, value.as_ref())
            }
        };
        if let Err(rejection) = self.check_limits(key, value, limits) {
            return CommandOutcome::Rejected(rejection);
        }
        match value {
            Some(value) => {
                let value = VersionedValue { value: value.clone(), version: index };
                self.values.insert(key.clone(), value);
            }
            None => {
                self.values.remove(key);
            }
        }
        CommandOutcome::Written { version: index }
    }

    fn check_limits(
        &self,
        key: &str,
        value: Option<&Vec<u8>>,
        limits: &ReplicationLimits,
    ) -> Result<(), CommandRejection> {
        if key.len() > limits.max_key_bytes {
            return Err(CommandRejection::KeyTooLong);
        }
        let Some(value) = value else { return Ok(()) };
        if value.len() > limits.max_value_bytes {
            return Err(CommandRejection::ValueTooLong);
        }
        if !self.values.contains_key(key) && self.values.len() >= limits.max_keys {
            return Err(CommandRejection::TooManyKeys);
        }
        Ok(())
    }

    /// Encodes the map as the data of a snapshot.
    pub fn to_snapshot_data(&self) -> Vec<u8> {
        tagged::seal(value_kind::MAP_SNAPSHOT, self)
    }

    /// Decodes the map from the data of a snapshot.
    ///
    /// # Errors
    /// The bytes are corrupt, or are not a map that this version can decode.
    pub fn from_snapshot_data(bytes: &[u8]) -> Result<Self, RecordError> {
        tagged::open(value_kind::MAP_SNAPSHOT, bytes)
    }
}
