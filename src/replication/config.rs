//! The section `[group]` of the operator's file.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use curlewdeck_replication::ReplicationLimits;
use serde::Deserialize;

/// The section `[group]`.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GroupConfig {
    /// The member's own folder, on a lasting disk; it is made if it is missing.
    pub folder: PathBuf,
    /// Where it listens for other members.
    pub listen: SocketAddr,
    /// Where it listens for clients and operators of the group.
    pub control: SocketAddr,
    /// Where members listen, by id: the founders, or for a member that joins those that it can reach. Where others listen
    /// is in the replicated map.
    pub members: BTreeMap<String, SocketAddr>,
    /// Milliseconds of a tick, by which elections and heartbeats are timed.
    #[serde(default = "default_tick_ms")]
    pub tick_ms: u64,
}

fn default_tick_ms() -> u64 {
    100
}

/// A shorter tick is lost in the system's own timers, and a longer one leaves the group without a leader for long.
const TICK_RANGE_MS: std::ops::RangeInclusive<u64> = 10..=10_000;

/// Why the section `[group]` is not usable.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum GroupConfigError {
    /// A member's id is no number above 0.
    #[error("group.members: '{0}' is no number above 0")]
    InvalidId(String),
    /// There are no members.
    #[error("group.members: it names nobody")]
    NoMembers,
    /// The tick is too short or too long (milliseconds).
    #[error(
        "group.tick_ms is {tick_ms}, from {min} to {max} are possible",
        min = TICK_RANGE_MS.start(),
        max = TICK_RANGE_MS.end()
    )]
    InvalidTick {
        /// The tick.
        tick_ms: u64,
    },
}

impl GroupConfig {
    /// The members that the file names, by id.
    ///
    /// # Errors
    /// An id is no number above 0.
    pub fn members(&self) -> Result<BTreeMap<u64, SocketAddr>, GroupConfigError> {
        let id = |text: &String| match text.parse() {
            Ok(0) | Err(_) => Err(GroupConfigError::InvalidId(text.clone())),
            Ok(id) => Ok(id),
        };
        self.members.iter().map(|(text, &addr)| Ok((id(text)?, addr))).collect()
    }

    /// Checks whether it is usable.
    ///
    /// # Errors
    /// Names the key and what is wrong with it.
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

    /// When a client that was rejected should retry: by then a leader is elected in most cases.
    pub fn retry_after(&self, limits: &ReplicationLimits) -> Duration {
        self.tick() * u32::try_from(limits.election_timeout_ticks).unwrap_or(u32::MAX)
    }

    /// How long a request may be pending before its outcome is unknown.
    pub fn request_timeout(&self, limits: &ReplicationLimits) -> Duration {
        self.tick() * u32::try_from(limits.request_timeout_ticks).unwrap_or(u32::MAX)
    }
}

#[cfg(test)]
mod tests;
