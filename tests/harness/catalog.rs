//! The versioned membership behind the stand-ins of discovery: its history, and the texts of lists made of it.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Condvar, Mutex};
use std::time::{Duration, Instant};

use super::drain_check::{Change, NodeState, Said, WrittenUpdate};
use super::stand_in::lock;

/// The version of the first list.
pub const FIRST_VERSION: u64 = 41;
/// The first list is as old as this: longer than any time limit of the rules.
const FIRST_AGE: Duration = Duration::from_secs(60);

/// A data node's line.
#[derive(Debug, Clone)]
pub struct Line {
    pub uid: String,
    pub endpoint: SocketAddr,
    pub state: NodeState,
    pub boot_ms: u64,
}

/// What is wrong with a line.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MalformedLine {
    EndpointNull,
    EndpointNoAddress,
    CellMissing,
    CapacityNull,
    BootTimeNull,
    StateNull,
    UidMissing,
    NotAnObject,
}

impl MalformedLine {
    /// Whether the uid and the state can be read all the same.
    pub fn says_state(self) -> bool {
        !matches!(self, Self::StateNull | Self::UidMissing | Self::NotAnObject)
    }
}

impl Line {
    fn said(&self) -> Said {
        if self.state == NodeState::Up {
            Said::Up
        } else {
            Said::Shut
        }
    }

    fn json(&self, spoilt: Option<MalformedLine>) -> String {
        let Self { uid, endpoint, state, boot_ms } = self;
        let state = match state {
            NodeState::Up => "up",
            NodeState::Draining => "draining",
            NodeState::Removed => "removed",
        };
        let text = format!(
            r#"{{"uid":"{uid}","endpoint":"{endpoint}","az":"a","model":"m2","pod_group":0,"state":"{state}","capacity_hint":1.0,"boot_ms":{boot_ms}}}"#
        );
        let endpoint = format!(r#""{endpoint}""#);
        match spoilt {
            None => text,
            Some(MalformedLine::EndpointNull) => text.replace(&endpoint, "null"),
            Some(MalformedLine::EndpointNoAddress) => text.replace(&endpoint, r#""nowhere""#),
            Some(MalformedLine::CellMissing) => text.replace(r#""pod_group":0,"#, ""),
            Some(MalformedLine::CapacityNull) => {
                text.replace(r#""capacity_hint":1.0"#, r#""capacity_hint":null"#)
            }
            Some(MalformedLine::BootTimeNull) => {
                text.replace(&format!(r#""boot_ms":{boot_ms}"#), r#""boot_ms":null"#)
            }
            Some(MalformedLine::StateNull) => text.replace(&format!(r#""{state}""#), "null"),
            Some(MalformedLine::UidMissing) => text.replace(&format!(r#""uid":"{uid}","#), ""),
            Some(MalformedLine::NotAnObject) => "17".to_string(),
        }
    }
}

/// The text of a list or of a change to it, with what it says.
#[derive(Debug, Clone)]
pub struct Text {
    pub json: String,
    pub update: WrittenUpdate,
}

/// One change of one line.
#[derive(Debug, Clone)]
struct Entry {
    version: u64,
    at: Instant,
    line: Line,
}

/// The membership and its history.
pub struct Catalog {
    history: Mutex<Vec<Entry>>,
    changed: Condvar,
}

impl Catalog {
    /// A membership of nodes that have been up for long.
    pub fn new(nodes: &[(&str, SocketAddr)]) -> Self {
        let at = Instant::now() - FIRST_AGE;
        let line = |&(uid, endpoint): &(&str, SocketAddr)| {
            let line = Line { uid: uid.to_string(), endpoint, state: NodeState::Up, boot_ms: 0 };
            Entry { version: FIRST_VERSION, at, line }
        };
        Self { history: Mutex::new(nodes.iter().map(line).collect()), changed: Condvar::new() }
    }

    /// A node changes its state now.
    pub fn set(&self, uid: &str, state: NodeState) {
        self.set_all(&[(uid, state)], Duration::ZERO);
    }

    /// Nodes have changed their states some time ago, all at once.
    pub fn set_all(&self, states: &[(&str, NodeState)], ago: Duration) {
        let changes = states.iter().map(|&(uid, state)| (uid, state, None));
        self.change(&changes.collect::<Vec<_>>(), ago);
    }

    /// A node has started anew: it is up, with a later start.
    pub fn restart(&self, uid: &str) {
        let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap();
        self.change(&[(uid, NodeState::Up, Some(now.as_millis() as u64))], Duration::ZERO);
    }

    /// Changes lines; no reader comes between two of them.
    fn change(&self, changes: &[(&str, NodeState, Option<u64>)], ago: Duration) {
        let mut history = lock(&self.history);
        for &(uid, state, boot_ms) in changes {
            let version = history.last().unwrap().version + 1;
            let line = history.iter().rev().find(|e| e.line.uid == uid).unwrap().line.clone();
            let line = Line { state, boot_ms: boot_ms.unwrap_or(line.boot_ms), ..line };
            history.push(Entry { version, at: Instant::now() - ago, line });
        }
        drop(history);
        self.changed.notify_all();
    }

    /// The latest version.
    pub fn version(&self) -> u64 {
        lock(&self.history).last().unwrap().version
    }

    /// Waits for a later version than this, or until the time is over.
    pub fn wait(&self, version: u64, longest: Duration) {
        let history = lock(&self.history);
        if history.last().unwrap().version <= version {
            drop(self.changed.wait_timeout(history, longest));
        }
    }

    /// Each version with the moment of its change.
    pub fn versions(&self) -> Vec<(u64, Instant)> {
        lock(&self.history).iter().map(|e| (e.version, e.at)).collect()
    }

    /// All changes, for the checker.
    pub fn changes(&self) -> Vec<Change> {
        let change =
            |e: &Entry| Change { at: e.at, version: e.version, uid: e.line.uid.clone(), state: e.line.state };
        lock(&self.history).iter().map(change).collect()
    }

    /// The whole list as of a version, written as `shown`; nodes that are removed are left out.
    pub fn snapshot(&self, version: u64, shown: u64, spoilt: &BTreeMap<String, MalformedLine>) -> Text {
        let mut lines = self.lines(0, version);
        lines.retain(|line| line.state != NodeState::Removed);
        let (json, said) = render(shown, true, &lines, spoilt);
        Text { json, update: WrittenUpdate::Snapshot(said) }
    }

    /// What has changed after one version up to another, written as `shown`; none if nothing has.
    pub fn delta(
        &self,
        after: u64,
        version: u64,
        shown: u64,
        spoilt: &BTreeMap<String, MalformedLine>,
    ) -> Option<Text> {
        let lines = self.lines(after, version);
        let (json, said) = render(shown, false, &lines, spoilt);
        (!lines.is_empty()).then_some(Text { json, update: WrittenUpdate::Delta(said) })
    }

    /// The latest of each line among the changes after one version up to another.
    fn lines(&self, after: u64, version: u64) -> Vec<Line> {
        let mut latest = BTreeMap::new();
        for entry in lock(&self.history).iter().filter(|e| e.version > after && e.version <= version) {
            latest.insert(entry.line.uid.clone(), entry.line.clone());
        }
        latest.into_values().collect()
    }
}

fn render(
    shown: u64,
    all: bool,
    lines: &[Line],
    spoilt: &BTreeMap<String, MalformedLine>,
) -> (String, Vec<(String, Said)>) {
    let of = |line: &Line| spoilt.get(&line.uid).copied();
    let texts: Vec<String> = lines.iter().map(|line| line.json(of(line))).collect();
    let said = |line: &Line| match of(line) {
        Some(spoilt) if !spoilt.says_state() => Said::Unreadable,
        _ => line.said(),
    };
    let said = lines.iter().map(|line| (line.uid.clone(), said(line))).collect();
    (format!(r#"{{"rev":{shown},"all":{all},"targets":[{}]}}"#, texts.join(",")), said)
}
