//! The faults of the stand-in of discovery, as a test switches them on and off.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use super::catalog::MalformedLine;

/// What becomes of a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallFault {
    /// Answered 503.
    Unavailable,
    /// Reset without an answer.
    Reset,
    /// Half of the answer, then nothing more.
    HalfAnswer,
    /// Nothing is said at all.
    Silent,
    /// The answer's head comes so much later.
    HeadDelayed(Duration),
    /// The answer's body comes so much later than its head.
    BodyDelayed(Duration),
    /// The answer is made at once and comes so much later.
    Outdated(Duration),
}

/// How a watch is answered whose version is too old.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum IndexAnswer {
    Status(u16),
    /// The whole list with its length, after which the connection can be asked again.
    SnapshotWithLength,
    /// A watch that ends at once.
    EndAtOnce,
}

/// How a watch begins that asks for a version which is not there yet.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum AheadAnswer {
    #[default]
    Snapshot,
    /// Nothing but heartbeats, and changes from then on.
    Nothing,
}

/// Answers are written in pieces of so many bytes, so far apart.
#[derive(Debug, Clone, Copy)]
pub struct Pieces {
    pub bytes: usize,
    pub gap: Duration,
}

/// What is wrong with the service at the moment; nothing at first.
#[derive(Debug, Default)]
pub struct Faults {
    /// Faults of the next calls, one each.
    pub next: VecDeque<CallFault>,
    /// The fault of all calls beyond those.
    pub all: Option<CallFault>,
    /// Calls are handled one at a time, in the order in which they came, given up or not.
    pub in_turn: bool,
    pub pieces: Option<Pieces>,
    /// Watches from a version below this are answered so.
    pub index: Option<(u64, IndexAnswer)>,
    pub ahead: AheadAnswer,
    /// The first line of each watch is the whole list.
    pub snapshot_first: bool,
    /// A lagging replica: nothing after this version is known to it.
    pub lags_at: Option<u64>,
    /// What is taken off each version in what is written: the service has restarted.
    pub versions_less: u64,
    pub spoilt: BTreeMap<String, MalformedLine>,
    /// Watches that are open say nothing any more; later ones are well.
    pub silent_up_to: u64,
}
