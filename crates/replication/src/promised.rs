//! The state that the log builds: promised keys, each with a value and the log index that wrote it.
//!
//! Every member applies the same commands in the same order, so every member holds the same map at the same index.
//! A command's outcome is a function of the map and the command alone: no clock, no randomness.

use std::collections::BTreeMap;
use std::fmt;

use serde::{Deserialize, Serialize};

use crate::bounds::Bounds;
use crate::codec::{self, Unsound};

/// What a client asks the group to promise.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Command {
    /// Set a key, whatever it held.
    Put {
        /// The key.
        key: String,
        /// Its new value.
        value: Vec<u8>,
    },
    /// Set a key only if it is still at `version` (0: only if it is absent): a compare-and-set, on which grants that must
    /// not be given twice (leases) are built.
    Swap {
        /// The key.
        key: String,
        /// The version it must be at.
        version: u64,
        /// Its new value; none removes the key.
        value: Option<Vec<u8>>,
    },
    /// Nothing: a new leader's first entry, and a way to learn that the log moves.
    Nothing,
}

impl Command {
    /// The key it touches, if any.
    pub fn key(&self) -> Option<&str> {
        match self {
            Self::Put { key, .. } | Self::Swap { key, .. } => Some(key),
            Self::Nothing => None,
        }
    }
}

/// What became of a command once the log held it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// Written: the key is at this version now (for a removal, the key is gone as of it).
    Written {
        /// The log index of the command.
        version: u64,
    },
    /// A swap found the key at another version (0: absent); nothing changed.
    Stale {
        /// The version it found.
        current: u64,
    },
    /// The key or value is larger than the bounds allow, or the map is full; nothing changed.
    Refused(Refusal),
    /// Nothing to do.
    Nothing,
}

/// Why a command was turned away by the state.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Refusal {
    /// The key is longer than [`Bounds::key_bytes`].
    KeyTooLong,
    /// The value is longer than [`Bounds::value_bytes`].
    ValueTooLong,
    /// [`Bounds::keys`] are held already.
    Full,
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::KeyTooLong => "the key is too long",
            Self::ValueTooLong => "the value is too long",
            Self::Full => "no more keys can be held",
        })
    }
}

/// One key's value and the log index that wrote it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Slot {
    /// The value.
    pub value: Vec<u8>,
    /// The log index of the command that wrote it.
    pub version: u64,
}

/// The map of promised keys at one index of the log.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Promised {
    slots: BTreeMap<String, Slot>,
    applied: u64,
}

impl Promised {
    /// The index of the last command applied.
    pub fn applied(&self) -> u64 {
        self.applied
    }

    /// A key's value and version.
    pub fn get(&self, key: &str) -> Option<&Slot> {
        self.slots.get(key)
    }

    /// The keys held.
    pub fn len(&self) -> usize {
        self.slots.len()
    }

    /// Whether no key is held.
    pub fn is_empty(&self) -> bool {
        self.slots.is_empty()
    }

    /// Keys from `from` on, in order, at most `most`.
    pub fn scan<'a>(&'a self, from: &str, most: usize) -> impl Iterator<Item = (&'a str, &'a Slot)> + 'a {
        self.slots.range(from.to_owned()..).take(most).map(|(k, s)| (k.as_str(), s))
    }

    /// Marks an index as applied whose entry carries no command (a leader's empty entry, a change of members).
    pub fn skip(&mut self, index: u64) {
        self.applied = self.applied.max(index);
    }

    /// Applies the command at `index`. Indexes at or below the last applied one are old news and change nothing.
    pub fn apply(&mut self, index: u64, command: &Command, bounds: &Bounds) -> Outcome {
        if index <= self.applied {
            return Outcome::Nothing;
        }
        self.applied = index;
        let (key, value) = match command {
            Command::Nothing => return Outcome::Nothing,
            Command::Put { key, value } => (key, Some(value)),
            Command::Swap { key, version, value } => {
                let current = self.slots.get(key).map_or(0, |s| s.version);
                if current != *version {
                    return Outcome::Stale { current };
                }
                (key, value.as_ref())
            }
        };
        if key.len() > bounds.key_bytes {
            return Outcome::Refused(Refusal::KeyTooLong);
        }
        match value {
            None => {
                self.slots.remove(key);
            }
            Some(value) if value.len() > bounds.value_bytes => {
                return Outcome::Refused(Refusal::ValueTooLong)
            }
            Some(value) => {
                if !self.slots.contains_key(key) && self.slots.len() >= bounds.keys {
                    return Outcome::Refused(Refusal::Full);
                }
                self.slots.insert(key.clone(), Slot { value: value.clone(), version: index });
            }
        }
        Outcome::Written { version: index }
    }

    /// The map as the bytes of a snapshot, sealed with a checksum.
    pub fn image(&self) -> Vec<u8> {
        codec::seal(codec::IMAGE, self)
    }

    /// The map from the bytes of a snapshot.
    ///
    /// # Errors
    /// Says why the bytes are not believed: torn, changed, or of another kind.
    pub fn from_image(bytes: &[u8]) -> Result<Self, Unsound> {
        codec::open(codec::IMAGE, bytes)
    }
}
