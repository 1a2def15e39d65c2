//! The section `[group]` of the operator's file.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use curlewdeck_replication::ReplicationLimits;
use serde::Deserialize;

/// The settings of a member of a replication group.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GroupConfig {
    /// The member's folder, which must be on a persistent disk; created if it does not exist.
    pub folder: PathBuf,
    /// The address at which the member listens for other members.
    pub listen: SocketAddr,
    /// The address at which the member listens for clients and operators of the group.
    pub control: SocketAddr,
    /// Addresses of members by id: the founders, or for a joining member those that it can reach initially. The
    /// replicated map holds the addresses of further members.
    pub members: BTreeMap<String, SocketAddr>,
    /// Milliseconds in a tick, the unit of election timeouts and heartbeat intervals.
    #[serde(default = "default_tick_ms")]
    pub tick_ms: u64,
}

fn default_tick_ms() -> u64 {
    100
}

/// Shorter ticks are below the accuracy of system timers, and longer ones delay the election of a leader too much.
const TICK_RANGE_MS: std::ops::RangeInclusive<u64> = 10..=10_000;

/// The section `[group]` is invalid.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum GroupConfigError {
    /// A member's id is not a positive integer.
    #[error("group.members: '{0}' is not a number above 0")]
    InvalidId(String),
    /// The table of members is empty.
    #[error("group.members: no members are listed")]
    NoMembers,
    /// The tick is out of range.
    #[error(
        "group.tick_ms is {tick_ms}, but must be from {min} to {max}",
        min = TICK_RANGE_MS.start(),
        max = TICK_RANGE_MS.end()
    )]
    InvalidTick {
        /// The configured length of a tick in milliseconds.
        tick_ms: u64,
    },
}

impl GroupConfig {
    /// Parses the ids in [`members`](Self#structfield.members).
    ///
    /// # Errors
    /// An id is not a positive integer.
    pub fn members(&self) -> Result<BTreeMap<u64, SocketAddr>, GroupConfigError> {
        let id = |text: &String| match text.parse() {
            Ok(0) | Err(_) => Err(GroupConfigError::InvalidId(text.clone())),
            Ok(id) => Ok(id),
        };
        self.members.iter().map(|(text, &addr)| Ok((id(text)?, addr))).collect()
    }

    /// Validates the settings that deserialization does not check.
    ///
    /// # Errors
    /// A setting is invalid; the error names its key.
    pub fn check(&self) -> Result<(), GroupConfigError> {
        if self.members()?.is_empty() {
            return Err(GroupConfigError::NoMembers);
        }
        if !TICK_RANGE_MS.contains(&self.tick_ms) {
            return Err(GroupConfigError::InvalidTick { tick_ms: self.tick_ms });
        }
        Ok(())
    }

    /// The length of a tick.
    pub fn tick(&self) -> Duration {
        Duration::from_millis(self.tick_ms)
    }

    /// The delay after which a rejected client should retry: an election timeout, since a leader is elected by then in
    /// most cases.
    pub fn retry_after(&self, limits: &ReplicationLimits) -> Duration {
        self.tick() * u32::try_from(limits.election_timeout_ticks).unwrap_or(u32::MAX)
    }

    /// The time after which a pending request completes with an unknown outcome.
    pub fn request_timeout(&self, limits: &ReplicationLimits) -> Duration {
        self.tick() * u32::try_from(limits.request_timeout_ticks).unwrap_or(u32::MAX)
    }
}

#[cfg(test)]
mod tests;
