//! What the operator's file says of a group.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use curlewdeck_replication::Bounds;
use serde::Deserialize;

/// The section `[group]`.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GroupConfig {
    /// The member's own folder, on a disk that lasts; made if it is missing.
    pub folder: PathBuf,
    /// Where it listens for other members.
    pub listen: SocketAddr,
    /// Where it listens for clients and operators of the group.
    pub control: SocketAddr,
    /// Where members listen, by id: the founders, or for one that joins those it can reach. What the group knows of
    /// others comes with its state.
    pub members: BTreeMap<String, SocketAddr>,
    /// The pace of elections and heartbeats.
    #[serde(default = "hundred")]
    pub tick_ms: u64,
}

fn hundred() -> u64 {
    100
}

/// A tick below this is lost in the system's own timers, and one above leaves the group without a leader for long.
const TICKS_MS: std::ops::RangeInclusive<u64> = 10..=10_000;

impl GroupConfig {
    /// The members that the file names, by id.
    ///
    /// # Errors
    /// Names the key and the fault.
    pub fn members(&self) -> Result<BTreeMap<u64, SocketAddr>, String> {
        let id = |text: &String| match text.parse() {
            Ok(0) | Err(_) => Err(format!("group.members: '{text}' is no number above 0")),
            Ok(id) => Ok(id),
        };
        self.members.iter().map(|(text, &addr)| Ok((id(text)?, addr))).collect()
    }

    /// Whether it can be used.
    ///
    /// # Errors
    /// Names the key and the fault.
    pub fn check(&self) -> Result<(), String> {
        if self.members()?.is_empty() {
            return Err("group.members: it names nobody".into());
        }
        if !TICKS_MS.contains(&self.tick_ms) {
            return Err(format!("group.tick_ms is {}, from 10 to 10000 are possible", self.tick_ms));
        }
        Ok(())
    }

    /// A tick.
    pub fn tick(&self) -> Duration {
        Duration::from_millis(self.tick_ms)
    }

    /// After how long a client that was refused should come again: a leader is found by then in most cases.
    pub fn retry_after(&self, bounds: &Bounds) -> Duration {
        self.tick() * u32::try_from(bounds.election_ticks).unwrap_or(u32::MAX)
    }

    /// How long a proposal or a read may wait before its client is told that nothing is known of it.
    pub fn wait(&self, bounds: &Bounds) -> Duration {
        self.tick() * u32::try_from(bounds.wait_ticks).unwrap_or(u32::MAX)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn what_cannot_be_used_is_named() {
        let config = |members: &str, tick: &str| {
            let text = format!(
                "folder = \"f\"\nlisten = \"127.0.0.1:1\"\ncontrol = \"127.0.0.1:2\"\n{tick}\n[members]\n{members}\n"
            );
            toml::from_str::<GroupConfig>(&text).unwrap()
        };
        let good = config("1 = \"127.0.0.1:1\"\n22 = \"127.0.0.1:3\"", "");
        assert_eq!(good.check(), Ok(()));
        assert_eq!(good.members().unwrap().into_keys().collect::<Vec<_>>(), [1, 22]);
        for (members, tick, fault) in [
            ("", "", "names nobody"),
            ("0 = \"127.0.0.1:1\"", "", "'0'"),
            ("one = \"127.0.0.1:1\"", "", "'one'"),
            ("1 = \"127.0.0.1:1\"", "tick_ms = 0", "tick_ms"),
        ] {
            let why = config(members, tick).check().unwrap_err();
            assert!(why.contains(fault), "{why}");
        }
    }
}
