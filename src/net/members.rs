//! The form of the list of data nodes (pure): what the list's service writes, and the same for the core.

use std::net::SocketAddr;

use serde::Deserialize;

use crate::api::{ListKind, Phase};
use crate::engine::Member;

/// A list or a change to it, as the list's service writes it.
#[derive(Debug, Clone, Deserialize)]
pub struct WireList {
    /// Its version.
    pub rev: u64,
    /// Whether it is the full list.
    #[serde(default)]
    pub all: bool,
    /// Its lines.
    #[serde(default)]
    pub targets: Vec<WireMember>,
}

/// One line.
#[derive(Debug, Clone, Deserialize)]
pub struct WireMember {
    uid: String,
    endpoint: SocketAddr,
    #[serde(default)]
    az: Option<String>,
    pod_group: u32,
    state: String,
    #[serde(default = "one")]
    capacity_hint: f64,
    #[serde(default)]
    boot_ms: u64,
}

fn one() -> f64 {
    1.0
}

/// A list ready for the core, with the address of each line.
#[derive(Debug, Clone)]
pub struct ListNews {
    /// Full, a change, or the news that there is none.
    pub kind: ListKind,
    /// Its lines.
    pub members: Vec<(Member, SocketAddr)>,
}

const MILLI: u64 = 1_000_000;

impl WireList {
    /// For the core. A state that is not known counts as draining: nothing new is sent there.
    pub fn news(self) -> ListNews {
        let member = |m: WireMember| {
            let phase = match m.state.as_str() {
                "up" => Phase::In,
                "removed" => Phase::Out,
                _ => Phase::Draining,
            };
            let member = Member {
                name: m.uid,
                cell: m.pod_group,
                started_at: m.boot_ms.saturating_mul(MILLI),
                rating: m.capacity_hint,
                phase,
                zone: m.az,
            };
            (member, m.endpoint)
        };
        let kind = if self.all { ListKind::Full } else { ListKind::Diff };
        ListNews { kind, members: self.targets.into_iter().map(member).collect() }
    }
}
