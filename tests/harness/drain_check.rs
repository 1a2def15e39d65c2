//! Checks the drain rule: a coordinator starts no part at a data node once the grace has passed after it was notified
//! that the node drains or is removed. The checker works on logs alone, without I/O or a clock.
//!
//! A coordinator counts as notified of a change at the earliest of:
//! * the moment at which a discovery service has written the change to the coordinator;
//! * 6 s after discovery had the change and was reachable, whatever happened to the calls meanwhile;
//! * 6 s after the watch that would have carried the change fell silent;
//! * 2 s after the watch that should have carried the change ended, with on-request lists;
//! * 4 s after the SIGHUP that moved the coordinator to a service which already had the change;
//! * with pushed lists, the moment at which the agent has the change, unless the watch is silent then; 4 s after SIGHUP
//!   if the service is a new one.

use std::time::{Duration, Instant};

/// Time from a change being available at a reachable discovery service until it counts as notified.
pub const AVAILABLE_LIMIT: Duration = Duration::from_secs(6);
/// Time from a watch falling silent until the changes that it misses count as notified.
pub const SILENT_WATCH_LIMIT: Duration = Duration::from_secs(6);
/// Time from the end of a watch until the change that it did not deliver counts as notified.
pub const WATCH_END_LIMIT: Duration = Duration::from_secs(2);
/// Time from SIGHUP until the changes of the new service count as notified.
pub const SIGHUP_LIMIT: Duration = Duration::from_secs(4);
/// Drain grace of the settings.
pub const DRAIN_GRACE: Duration = Duration::from_millis(250);
/// Tolerance added to every time limit for tests on real sockets.
pub const SOCKET_SLACK: Duration = Duration::from_millis(50);

/// State of a data node at the discovery service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NodeState {
    Up,
    Draining,
    Removed,
}

/// Membership change: the node is in this state from `at` on.
#[derive(Debug, Clone, PartialEq)]
pub struct Change {
    pub at: Instant,
    pub version: u64,
    pub uid: String,
    pub state: NodeState,
}

/// State that an entry of a list reports for a data node.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReportedState {
    Up,
    /// Draining or removed.
    Closed,
    /// The uid or the state cannot be parsed: the entry reports no state, but the node counts as listed.
    Unreadable,
}

/// Update that was written to a coordinator.
#[derive(Debug, Clone, PartialEq)]
pub enum WrittenUpdate {
    /// Complete list: a node that it does not name is removed.
    Snapshot(Vec<(String, ReportedState)>),
    /// Changed entries only.
    Delta(Vec<(String, ReportedState)>),
    Heartbeat,
}

impl WrittenUpdate {
    /// Returns the state that this update reports for a data node, if any.
    fn state_of(&self, uid: &str) -> Option<ReportedState> {
        let (lines, unnamed) = match self {
            Self::Snapshot(lines) => (lines, Some(ReportedState::Closed)),
            Self::Delta(lines) => (lines, None),
            Self::Heartbeat => return None,
        };
        let reported = lines.iter().find(|line| line.0 == uid).map(|line| line.1).or(unnamed);
        reported.filter(|&state| state != ReportedState::Unreadable)
    }
}

/// Complete line written to one connection.
#[derive(Debug, Clone, PartialEq)]
pub struct Write {
    pub at: Instant,
    pub connection: u64,
    pub update: WrittenUpdate,
}

/// Moment from which a service is reachable or unreachable.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ReachabilityChange {
    pub at: Instant,
    pub reachable: bool,
}

/// Version, and the moment from which a service had it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct AvailableVersion {
    pub at: Instant,
    pub version: u64,
}

/// Watch that fell silent while its connection stayed open.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Silence {
    pub at: Instant,
    pub connection: u64,
}

/// Watch whose connection was closed by the service.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct WatchEnd {
    pub at: Instant,
    pub connection: u64,
}

/// Log of one discovery service for one coordinator; each list is in chronological order.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct ServiceLog {
    pub available: Vec<AvailableVersion>,
    pub reachability: Vec<ReachabilityChange>,
    pub writes: Vec<Write>,
    pub silences: Vec<Silence>,
    pub ends: Vec<WatchEnd>,
}

/// How a coordinator receives the membership.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Delivery {
    OnRequest,
    Pushed,
}

impl Delivery {
    /// Returns the value of the `discovery` setting.
    pub fn name(self) -> &'static str {
        match self {
            Self::OnRequest => "on_request",
            Self::Pushed => "pushed",
        }
    }
}

/// Discovery service that a coordinator uses from `from` on, which is its start or a SIGHUP.
#[derive(Debug, Clone, PartialEq)]
pub struct Assignment {
    pub from: Instant,
    pub service: ServiceLog,
}

/// Log of one coordinator process; the first assignment starts with the process.
#[derive(Debug, Clone, PartialEq)]
pub struct CoordinatorLog {
    pub delivery: Delivery,
    pub assignments: Vec<Assignment>,
}

/// Arrival of a part at a data node.
#[derive(Debug, Clone, PartialEq)]
pub struct PartStart {
    /// Index of the sending coordinator among the checked ones.
    pub coordinator: usize,
    pub uid: String,
    /// When the part's first byte arrived.
    pub at: Instant,
}

/// Why a coordinator counts as notified.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reason {
    Written,
    AvailableFor6s,
    WatchSilentFor6s,
    WatchEndedFor2s,
    SighupFor4s,
    AvailableToAgent,
}

/// Part that started after the grace was over.
#[derive(Debug, Clone, PartialEq)]
pub struct Violation {
    pub coordinator: usize,
    pub uid: String,
    pub notified_at: Instant,
    pub reason: Reason,
    pub started_at: Instant,
}

impl Violation {
    /// Returns how long after the end of the grace the part started.
    pub fn late_by(&self) -> Duration {
        self.started_at.saturating_duration_since(self.notified_at + DRAIN_GRACE + SOCKET_SLACK)
    }
}

/// Returns the parts that violate the rule. `changes` must be in chronological order.
pub fn violations(
    changes: &[Change],
    coordinators: &[CoordinatorLog],
    parts: &[PartStart],
) -> Vec<Violation> {
    let violation_of = |part: &PartStart| {
        let view = View { changes, coordinator: &coordinators[part.coordinator] };
        let (notified_at, reason) = view.notified(&part.uid, part.at)?;
        let late = part.at > notified_at + DRAIN_GRACE + SOCKET_SLACK;
        let (coordinator, uid) = (part.coordinator, part.uid.clone());
        late.then_some(Violation { coordinator, uid, notified_at, reason, started_at: part.at })
    };
    parts.iter().filter_map(violation_of).collect()
}

type Notified = (Instant, Reason);

/// Membership changes and the log of one coordinator.
struct View<'a> {
    changes: &'a [Change],
    coordinator: &'a CoordinatorLog,
}

impl View<'_> {
    /// Returns since when the coordinator counts as notified that it may send nothing new to this node at `now`, or
    /// `None` if it may.
    fn notified(&self, uid: &str, now: Instant) -> Option<Notified> {
        let past: Vec<&Change> = self.changes.iter().filter(|c| c.uid == uid && c.at <= now).collect();
        let closing = past.iter().rev().take_while(|c| c.state != NodeState::Up).count();
        let (before, closing) = past.split_at(past.len() - closing);
        if closing.is_empty() {
            return self.closed_by_writes(uid, before.last().map(|c| c.at), now);
        }
        closing.iter().filter_map(|change| self.notified_of_change(change)).min_by_key(|n| n.0)
    }

    /// Does the same for a node that has been up at discovery since `since`: the last written update may still close
    /// it.
    fn closed_by_writes(&self, uid: &str, since: Option<Instant>, now: Instant) -> Option<Notified> {
        let mut closed = None;
        for write in self.writes().filter(|w| w.at <= now && since.is_none_or(|since| w.at >= since)) {
            match write.update.state_of(uid) {
                Some(ReportedState::Closed) => closed = closed.or(Some((write.at, Reason::Written))),
                Some(ReportedState::Up) => closed = None,
                _ => {}
            }
        }
        closed
    }

    /// Returns when the coordinator counts as notified of a change that drains or removes a node.
    fn notified_of_change(&self, change: &Change) -> Option<Notified> {
        let written = self
            .writes()
            .find(|w| w.at >= change.at && w.update.state_of(&change.uid) == Some(ReportedState::Closed));
        let written = written.map(|w| (w.at, Reason::Written));
        let notified_by_service =
            (0..self.coordinator.assignments.len()).flat_map(|n| self.notified_by_service(n, change));
        written.into_iter().chain(notified_by_service).min_by_key(|n| n.0)
    }

    /// Returns the moments given by the versions that the service of one assignment had, written or not.
    fn notified_by_service(&self, number: usize, change: &Change) -> Vec<Notified> {
        let assignments = &self.coordinator.assignments;
        let (assignment, moved) = (&assignments[number], number > 0);
        let service = &assignment.service;
        let Some(obtained) = service.available.iter().find(|obtained| obtained.version >= change.version)
        else {
            return Vec::new();
        };
        let from = if moved { obtained.at.max(assignment.from) } else { obtained.at };
        let Some(reached) = service.first_reachable(from) else { return Vec::new() };
        let replaced = |at: Instant| assignments.get(number + 1).is_some_and(|next| at >= next.from);
        if replaced(reached) {
            return Vec::new();
        }
        let mut notified = vec![(reached + AVAILABLE_LIMIT, Reason::AvailableFor6s)];
        let silence = service
            .silences
            .iter()
            .find(|s| s.at <= obtained.at && service.write_after_silence(s, obtained.at).is_none());
        notified.extend(silence.map(|s| (reached.max(s.at + SILENT_WATCH_LIMIT), Reason::WatchSilentFor6s)));
        let ended = service.end_of_open_watch(obtained.at);
        notified.extend(ended.map(|end| (reached.max(end.at + WATCH_END_LIMIT), Reason::WatchEndedFor2s)));
        let pushed = self.coordinator.delivery == Delivery::Pushed;
        let by_sighup = reached.max(assignment.from + SIGHUP_LIMIT);
        // Another SIGHUP restarts the limit of 4 s.
        let at_once = pushed && silence.is_none();
        if moved && (at_once || obtained.at <= assignment.from) && !replaced(by_sighup) {
            notified.push((by_sighup, Reason::SighupFor4s));
        }
        // A silent watch has the same limit with both kinds of delivery.
        if !moved && at_once {
            notified.push((reached, Reason::AvailableToAgent));
        }
        notified
    }

    /// Returns the writes of the service assigned at their time, in chronological order.
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
    /// Returns the first moment from `from` on at which the service is reachable.
    fn first_reachable(&self, from: Instant) -> Option<Instant> {
        let before = self.reachability.iter().take_while(|r| r.at <= from).last();
        if before.is_none_or(|r| r.reachable) {
            return Some(from);
        }
        self.reachability.iter().find(|r| r.at > from && r.reachable).map(|r| r.at)
    }

    /// Returns the end of the watch that was open when a change was made.
    fn end_of_open_watch(&self, changed: Instant) -> Option<&WatchEnd> {
        let open_by_then =
            |end: &&WatchEnd| self.writes.iter().any(|w| w.connection == end.connection && w.at <= changed);
        self.ends.iter().filter(|end| end.at >= changed).find(open_by_then)
    }

    /// Returns the first write on another connection between the silence and `by`.
    fn write_after_silence(&self, silence: &Silence, by: Instant) -> Option<&Write> {
        self.writes.iter().find(|w| w.at > silence.at && w.at <= by && w.connection != silence.connection)
    }
}
