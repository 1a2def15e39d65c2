//! The versioned membership behind the faulty discovery services: its history, and the endpoint lists rendered from it.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Condvar, Mutex};
use std::time::{Duration, Instant};

use super::drain_check::{Change, NodeState, ReportedState, WrittenUpdate};
use super::stand_in::lock;

/// Version of the initial list.
pub const FIRST_VERSION: u64 = 41;
/// Age of the initial list, longer than any time limit of the rules.
const INITIAL_LIST_AGE: Duration = Duration::from_secs(60);

/// A data node's entry in the endpoint list.
#[derive(Debug, Clone)]
pub struct Line {
    pub uid: String,
    pub endpoint: SocketAddr,
    pub state: NodeState,
    pub boot_ms: u64,
}

/// A defect of a rendered line.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MalformedLine {
    EndpointNull,
    EndpointNotAnAddress,
    CellMissing,
    CapacityNull,
    BootTimeNull,
    StateNull,
    UidMissing,
    NotAnObject,
}

impl MalformedLine {
    /// Reports whether the uid and the state remain readable.
    pub fn has_readable_state(self) -> bool {
        !matches!(self, Self::StateNull | Self::UidMissing | Self::NotAnObject)
    }
}

impl Line {
    fn reported_state(&self) -> ReportedState {
        if self.state == NodeState::Up {
            ReportedState::Up
        } else {
            ReportedState::Closed
        }
    }

    fn json(&self, defect: Option<MalformedLine>) -> String {
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
        match defect {
            None => text,
            Some(MalformedLine::EndpointNull) => text.replace(&endpoint, "null"),
            Some(MalformedLine::EndpointNotAnAddress) => text.replace(&endpoint, r#""nowhere""#),
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

/// A rendered list or change, together with its content for the checker.
#[derive(Debug, Clone)]
pub struct RenderedUpdate {
    pub json: String,
    pub update: WrittenUpdate,
}

/// A change of one line.
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
    /// Creates a membership of nodes that have all been up for [`INITIAL_LIST_AGE`].
    pub fn new(nodes: &[(&str, SocketAddr)]) -> Self {
        let at = Instant::now() - INITIAL_LIST_AGE;
        let line = |&(uid, endpoint): &(&str, SocketAddr)| {
            let line = Line { uid: uid.to_string(), endpoint, state: NodeState::Up, boot_ms: 0 };
            Entry { version: FIRST_VERSION, at, line }
        };
        Self { history: Mutex::new(nodes.iter().map(line).collect()), changed: Condvar::new() }
    }

    /// Changes a node's state as of now.
    pub fn set(&self, uid: &str, state: NodeState) {
        self.set_all(&[(uid, state)], Duration::ZERO);
    }

    /// Changes the states of several nodes at once, as of `ago` before now.
    pub fn set_all(&self, states: &[(&str, NodeState)], ago: Duration) {
        let changes = states.iter().map(|&(uid, state)| (uid, state, None));
        self.change(&changes.collect::<Vec<_>>(), ago);
    }

    /// Records a node's restart: its state is up and its boot time is now.
    pub fn restart(&self, uid: &str) {
        let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap();
        self.change(&[(uid, NodeState::Up, Some(now.as_millis() as u64))], Duration::ZERO);
    }

    /// Changes lines atomically: no reader sees a part of the changes.
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

    /// Waits for a version later than this one, for no longer than the timeout.
    pub fn wait(&self, version: u64, timeout: Duration) {
        let history = lock(&self.history);
        if history.last().unwrap().version <= version {
            drop(self.changed.wait_timeout(history, timeout));
        }
    }

    /// Each version with the time of its change.
    pub fn versions(&self) -> Vec<(u64, Instant)> {
        lock(&self.history).iter().map(|e| (e.version, e.at)).collect()
    }

    /// All changes, for the checker.
    pub fn changes(&self) -> Vec<Change> {
        let change =
            |e: &Entry| Change { at: e.at, version: e.version, uid: e.line.uid.clone(), state: e.line.state };
        lock(&self.history).iter().map(change).collect()
    }

    /// Renders the full list as of `version` without removed nodes. Its `rev` field is `rev`, which may differ from
    /// `version`, and `defects` names the malformed lines by uid.
    pub fn snapshot(
        &self,
        version: u64,
        rev: u64,
        defects: &BTreeMap<String, MalformedLine>,
    ) -> RenderedUpdate {
        let mut lines = self.lines(0, version);
        lines.retain(|line| line.state != NodeState::Removed);
        let (json, reported_states) = render(rev, true, &lines, defects);
        RenderedUpdate { json, update: WrittenUpdate::Snapshot(reported_states) }
    }

    /// Renders the changes after one version up to and including another, with the `rev` field `rev`. Returns `None` if
    /// nothing changed.
    pub fn delta(
        &self,
        after: u64,
        version: u64,
        rev: u64,
        defects: &BTreeMap<String, MalformedLine>,
    ) -> Option<RenderedUpdate> {
        let lines = self.lines(after, version);
        let (json, reported_states) = render(rev, false, &lines, defects);
        (!lines.is_empty()).then_some(RenderedUpdate { json, update: WrittenUpdate::Delta(reported_states) })
    }

    /// The latest state of each line changed after one version, up to and including another.
    fn lines(&self, after: u64, version: u64) -> Vec<Line> {
        let mut latest = BTreeMap::new();
        for entry in lock(&self.history).iter().filter(|e| e.version > after && e.version <= version) {
            latest.insert(entry.line.uid.clone(), entry.line.clone());
        }
        latest.into_values().collect()
    }
}

fn render(
    rev: u64,
    all: bool,
    lines: &[Line],
    defects: &BTreeMap<String, MalformedLine>,
) -> (String, Vec<(String, ReportedState)>) {
    let defect_of = |line: &Line| defects.get(&line.uid).copied();
    let texts: Vec<String> = lines.iter().map(|line| line.json(defect_of(line))).collect();
    let reported_state = |line: &Line| match defect_of(line) {
        Some(defect) if !defect.has_readable_state() => ReportedState::Unreadable,
        _ => line.reported_state(),
    };
    let reported_states = lines.iter().map(|line| (line.uid.clone(), reported_state(line))).collect();
    (format!(r#"{{"rev":{rev},"all":{all},"targets":[{}]}}"#, texts.join(",")), reported_states)
}
