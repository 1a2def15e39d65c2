//! The form of the list of data nodes (pure): what the list's service writes, and the same for the core.

use std::net::SocketAddr;

use serde::de::Error;
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

/// Takes the objects of a watch apart as they come, one after the other, each on a line of its own or indented over
/// several. Each byte is looked at once, however they are cut.
#[derive(Debug, Default)]
pub struct Objects {
    held: Vec<u8>,
    /// Bytes of `held` that have been looked at.
    scanned: usize,
    /// Braces and brackets that are open there.
    depth: usize,
    /// Within a text, and right behind a backslash there.
    text: bool,
    escaped: bool,
    /// The rest of the line of an object: its end tells nothing new.
    tail: bool,
}

impl Objects {
    /// Where more bytes are put.
    pub fn held(&mut self) -> &mut Vec<u8> {
        &mut self.held
    }

    /// The next object, or nothing for an empty line, which says that nothing has changed; none while it is not whole.
    ///
    /// # Errors
    /// It cannot be read, or takes more than `most` bytes.
    pub fn next(&mut self, most: usize) -> serde_json::Result<Option<Option<WireList>>> {
        while let Some(&byte) = self.held.get(self.scanned) {
            self.scanned += 1;
            match byte {
                _ if self.escaped => self.escaped = false,
                b'\\' if self.text => self.escaped = true,
                b'"' if self.depth > 0 => self.text = !self.text,
                _ if self.text => {}
                b'{' | b'[' => self.depth += 1,
                b'}' | b']' if self.depth > 0 => {
                    self.depth -= 1;
                    if self.depth == 0 {
                        self.tail = true;
                        return self.taken().map(|list| Some(Some(list)));
                    }
                }
                b'\n' if self.depth == 0 => {
                    self.held.drain(..self.scanned);
                    self.scanned = 0;
                    if !std::mem::take(&mut self.tail) {
                        return Ok(Some(None));
                    }
                }
                _ if self.depth > 0 || byte.is_ascii_whitespace() => {}
                // No object begins so.
                _ => return self.taken().map(|list| Some(Some(list))),
            }
        }
        match self.held.len() > most {
            true => Err(serde_json::Error::custom("an object is too long")),
            false => Ok(None),
        }
    }

    fn taken(&mut self) -> serde_json::Result<WireList> {
        let list = serde_json::from_slice(&self.held[..self.scanned]);
        self.held.drain(..self.scanned);
        self.scanned = 0;
        list
    }
}

#[cfg(test)]
mod tests;
