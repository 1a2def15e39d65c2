//! A pure checker of the drain rule: no part begins at a data node later than the grace after its coordinator has been
//! notified that the node drains or is gone. It works on logs alone, without I/O or a clock of its own.
//!
//! A coordinator counts as notified of a change at the earliest of:
//! * the moment at which a service of discovery has written it to the coordinator;
//! * 6 s after discovery had it and could be reached, whatever became of the calls meanwhile;
//! * 6 s after the watch fell silent that would have carried it;
//! * 2 s after the watch ended that should have told it, where the list is asked for;
//! * 4 s after the SIGHUP that moved the coordinator to a service which had it by then;
//! * where lists are pushed, the moment at which the agent has it, unless the watch is silent then; 4 s after SIGHUP
//!   where the service is a new one.

use std::time::{Duration, Instant};

/// A change counts as notified this long after discovery had it and could be reached.
pub const NOTIFIED_AFTER: Duration = Duration::from_secs(6);
/// What a silent watch misses counts as notified this long after it fell silent.
pub const SILENT_WATCH: Duration = Duration::from_secs(6);
/// What a watch should have told that ended instead counts as notified this long after its end.
pub const AFTER_WATCH_END: Duration = Duration::from_secs(2);
/// What a new service has counts as notified this long after SIGHUP.
pub const AFTER_SIGHUP: Duration = Duration::from_secs(4);
/// The grace of the settings.
pub const GRACE: Duration = Duration::from_millis(250);
/// Every time limit is this much longer on sockets.
pub const SOCKET_SLACK: Duration = Duration::from_millis(50);

/// A data node's state as discovery has it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NodeState {
    Up,
    Draining,
    Removed,
}

/// A change of the membership: from `at` on, the node is in this state.
#[derive(Debug, Clone, PartialEq)]
pub struct Change {
    pub at: Instant,
    pub version: u64,
    pub uid: String,
    pub state: NodeState,
}

/// What a line of a list says of a data node.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Said {
    Up,
    /// Draining or removed.
    Shut,
    /// Its uid or its state cannot be read: it says nothing, but does not leave the node out.
    Unreadable,
}

/// What was written to a coordinator.
#[derive(Debug, Clone, PartialEq)]
pub enum WrittenUpdate {
    /// A complete list: what it does not name is removed.
    Snapshot(Vec<(String, Said)>),
    /// What has changed.
    Delta(Vec<(String, Said)>),
    Heartbeat,
}

impl WrittenUpdate {
    /// What this says of a data node, if anything.
    fn of(&self, uid: &str) -> Option<Said> {
        let (lines, unnamed) = match self {
            Self::Snapshot(lines) => (lines, Some(Said::Shut)),
            Self::Delta(lines) => (lines, None),
            Self::Heartbeat => return None,
        };
        let said = lines.iter().find(|line| line.0 == uid).map(|line| line.1).or(unnamed);
        said.filter(|&said| said != Said::Unreadable)
    }
}

/// A whole line, written to one connection.
#[derive(Debug, Clone, PartialEq)]
pub struct Write {
    pub at: Instant,
    pub connection: u64,
    pub update: WrittenUpdate,
}

/// A moment from which on a service can be reached, or not any more.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Reach {
    pub at: Instant,
    pub reachable: bool,
}

/// A version, and when a service came to have it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Had {
    pub at: Instant,
    pub version: u64,
}

/// A watch that fell silent with its connection open.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Silence {
    pub at: Instant,
    pub connection: u64,
}

/// A watch whose connection the service has ended.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct WatchEnd {
    pub at: Instant,
    pub connection: u64,
}

/// What one service of discovery did for one coordinator; each list is in the order of time.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct ServiceLog {
    pub had: Vec<Had>,
    pub reach: Vec<Reach>,
    pub writes: Vec<Write>,
    pub silences: Vec<Silence>,
    pub ends: Vec<WatchEnd>,
}

/// How a coordinator learns of the membership.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Delivery {
    OnRequest,
    Pushed,
}

impl Delivery {
    /// Its name in the settings.
    pub fn name(self) -> &'static str {
        match self {
            Self::OnRequest => "on_request",
            Self::Pushed => "pushed",
        }
    }
}

/// The service that a coordinator is configured with, from a moment on: its start, or a SIGHUP.
#[derive(Debug, Clone, PartialEq)]
pub struct Assignment {
    pub from: Instant,
    pub service: ServiceLog,
}

/// One process of a coordinator; its first assignment begins with it.
#[derive(Debug, Clone, PartialEq)]
pub struct CoordinatorLog {
    pub delivery: Delivery,
    pub assignments: Vec<Assignment>,
}

/// A part as a data node saw it come.
#[derive(Debug, Clone, PartialEq)]
pub struct PartBegun {
    /// The place of its coordinator among those checked.
    pub coordinator: usize,
    pub uid: String,
    /// When the part's first byte was there.
    pub at: Instant,
}

/// Why a coordinator counts as notified.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reason {
    Written,
    HadFor6s,
    WatchSilentFor6s,
    WatchEndedFor2s,
    SighupFor4s,
    AgentHad,
}

/// A break of the rule.
#[derive(Debug, Clone, PartialEq)]
pub struct Violation {
    pub coordinator: usize,
    pub uid: String,
    pub notified_at: Instant,
    pub reason: Reason,
    pub begun_at: Instant,
}

impl Violation {
    /// How long after the end of the grace the part began.
    pub fn late_by(&self) -> Duration {
        self.begun_at.saturating_duration_since(self.notified_at + GRACE + SOCKET_SLACK)
    }
}

/// The breaks of the rule among these parts. `changes` are in the order of time.
pub fn violations(
    changes: &[Change],
    coordinators: &[CoordinatorLog],
    parts: &[PartBegun],
) -> Vec<Violation> {
    let of = |part: &PartBegun| {
        let view = View { changes, coordinator: &coordinators[part.coordinator] };
        let (notified_at, reason) = view.notified(&part.uid, part.at)?;
        let late = part.at > notified_at + GRACE + SOCKET_SLACK;
        let (coordinator, uid) = (part.coordinator, part.uid.clone());
        late.then_some(Violation { coordinator, uid, notified_at, reason, begun_at: part.at })
    };
    parts.iter().filter_map(of).collect()
}

type Notified = (Instant, Reason);

/// All that is known for one coordinator.
struct View<'a> {
    changes: &'a [Change],
    coordinator: &'a CoordinatorLog,
}

impl View<'_> {
    /// Since when the coordinator counts as notified that nothing new may go to this node at `now`; none if it may.
    fn notified(&self, uid: &str, now: Instant) -> Option<Notified> {
        let past: Vec<&Change> = self.changes.iter().filter(|c| c.uid == uid && c.at <= now).collect();
        let shut = past.iter().rev().take_while(|c| c.state != NodeState::Up).count();
        let (before, shut) = past.split_at(past.len() - shut);
        if shut.is_empty() {
            return self.shut_by_writes(uid, before.last().map(|c| c.at), now);
        }
        shut.iter().filter_map(|change| self.notified_of(change)).min_by_key(|n| n.0)
    }

    /// The same where discovery has the node as up since `since`: the last update may say otherwise.
    fn shut_by_writes(&self, uid: &str, since: Option<Instant>, now: Instant) -> Option<Notified> {
        let mut shut = None;
        for write in self.writes().filter(|w| w.at <= now && since.is_none_or(|since| w.at >= since)) {
            match write.update.of(uid) {
                Some(Said::Shut) => shut = shut.or(Some((write.at, Reason::Written))),
                Some(Said::Up) => shut = None,
                _ => {}
            }
        }
        shut
    }

    /// When the coordinator counts as notified of a change that shuts a node.
    fn notified_of(&self, change: &Change) -> Option<Notified> {
        let written =
            self.writes().find(|w| w.at >= change.at && w.update.of(&change.uid) == Some(Said::Shut));
        let written = written.map(|w| (w.at, Reason::Written));
        let by_service = (0..self.coordinator.assignments.len()).flat_map(|n| self.by_service(n, change));
        written.into_iter().chain(by_service).min_by_key(|n| n.0)
    }

    /// The same by what the service of one assignment had, whether or not it was written.
    fn by_service(&self, number: usize, change: &Change) -> Vec<Notified> {
        let assignments = &self.coordinator.assignments;
        let (assignment, moved) = (&assignments[number], number > 0);
        let service = &assignment.service;
        let Some(had) = service.had.iter().find(|had| had.version >= change.version) else {
            return Vec::new();
        };
        let from = if moved { had.at.max(assignment.from) } else { had.at };
        let Some(reached) = service.first_reachable(from) else { return Vec::new() };
        let replaced = |at: Instant| assignments.get(number + 1).is_some_and(|next| at >= next.from);
        if replaced(reached) {
            return Vec::new();
        }
        let mut notified = vec![(reached + NOTIFIED_AFTER, Reason::HadFor6s)];
        let silence =
            service.silences.iter().find(|s| s.at <= had.at && service.resumed(s, had.at).is_none());
        notified.extend(silence.map(|s| (reached.max(s.at + SILENT_WATCH), Reason::WatchSilentFor6s)));
        let ended = service.ended_instead_of_telling(had.at);
        notified.extend(ended.map(|end| (reached.max(end.at + AFTER_WATCH_END), Reason::WatchEndedFor2s)));
        let pushed = self.coordinator.delivery == Delivery::Pushed;
        let by_sighup = reached.max(assignment.from + AFTER_SIGHUP);
        // Another SIGHUP begins another 4 s.
        let at_once = pushed && silence.is_none();
        if moved && (at_once || had.at <= assignment.from) && !replaced(by_sighup) {
            notified.push((by_sighup, Reason::SighupFor4s));
        }
        // One clock for silence, however the list comes.
        if !moved && at_once {
            notified.push((reached, Reason::AgentHad));
        }
        notified
    }

    /// What was written by the service in force, in the order of time.
    fn writes(&self) -> impl Iterator<Item = &Write> {
        let assignments = &self.coordinator.assignments;
        assignments.iter().enumerate().flat_map(move |(n, assignment)| {
            let until = assignments.get(n + 1).map(|next| next.from);
            let in_force =
                move |w: &&Write| w.at >= assignment.from && until.is_none_or(|until| w.at < until);
            assignment.service.writes.iter().filter(in_force)
        })
    }
}

impl ServiceLog {
    /// The first moment from `from` on at which the service can be reached.
    fn first_reachable(&self, from: Instant) -> Option<Instant> {
        let before = self.reach.iter().take_while(|r| r.at <= from).last();
        if before.is_none_or(|r| r.reachable) {
            return Some(from);
        }
        self.reach.iter().find(|r| r.at > from && r.reachable).map(|r| r.at)
    }

    /// The end of the watch that was open at the time of a change.
    fn ended_instead_of_telling(&self, changed: Instant) -> Option<&WatchEnd> {
        let open_by_then =
            |end: &&WatchEnd| self.writes.iter().any(|w| w.connection == end.connection && w.at <= changed);
        self.ends.iter().filter(|end| end.at >= changed).find(open_by_then)
    }

    /// Whether anything was written on a later connection between the silence and `by`.
    fn resumed(&self, silence: &Silence, by: Instant) -> Option<&Write> {
        self.writes.iter().find(|w| w.at > silence.at && w.at <= by && w.connection != silence.connection)
    }
}
