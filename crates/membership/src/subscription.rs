//! The calls to discovery of one coordinator: when one is begun, kept and given up.
//!
//! A call is a watch from a version, or a snapshot that goes on as a watch. At most two are open: the second begins where
//! the first has not answered in time or a watch has fallen silent, and the first is heard until the second has answered.
//! Calls that nothing is heard of, for whatever reason, end with their lifetime, so that discovery is always called
//! again.

use curlewdeck_core::api::{DiscoveryMode, Nanos};

use crate::confirmation::Confirmation;
use crate::lease::{Lease, MOVE_TOLD_AFTER};
use crate::pacing::Pacing;
use crate::{CALL_LIFETIME, TOLD_AFTER};

/// Calls that are open at once.
const MOST_CALLS: usize = 2;
/// A watch by a version from an earlier connection that has told nothing for this long is verified by a snapshot: the
/// service may have restarted with lower versions.
const VERIFY_AFTER: Nanos = TOLD_AFTER / 2;
/// A snapshot that failed to verify a watch is asked for again after this long.
const VERIFY_AGAIN: Nanos = 2 * TOLD_AFTER;

/// A call to discovery, numbered for the life of its subscription.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallId(pub u64);

/// What a call asks for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Request {
    /// The whole list, and a watch from its version on.
    Snapshot,
    /// A watch on what has changed since a version.
    Watch {
        /// That version.
        since: u64,
    },
}

/// How a call has ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallEnd {
    /// This machine could not even try: no socket, port or memory for it.
    LocalFailure,
    /// No connection came up: refused, or out of reach.
    Unreachable,
    /// The connection has ended before any answer, or no answer came for the call's lifetime.
    Unanswered,
    /// The service has answered that it is busy or down.
    Busy,
    /// The service has answered that it cannot do what was asked for.
    Rejected,
    /// The answer was whole, and no watch followed it.
    Complete,
    /// The service has ended the watch between two of its lines.
    WatchEnded,
    /// The connection has failed between two lines of the watch.
    Broken,
    /// The connection has ended or failed within an answer's head or a line: what that was is lost.
    Truncated,
    /// What came could not be read, and may have been a change.
    Unreadable,
}

/// What the subscription is told.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Event {
    /// Time has passed.
    TimePassed,
    /// A query waits for the list to be confirmed.
    QueryWaiting,
    /// A configuration is being read again, which may name another service.
    ReloadBegins,
    /// It is taken, or turned down for good.
    ReloadSettled,
    /// The service is at another address.
    ServiceMoved,
    /// A watch has told that nothing has changed.
    Heartbeat(CallId),
    /// A call has told a snapshot or a delta of this version.
    Told(CallId, u64),
    /// A call has ended.
    Ended(CallId, CallEnd),
}

/// What is to be done.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Command {
    /// Begin a call: ends in [`Event::Ended`], or is never heard of.
    Begin(CallId, Request),
    /// Close a call's connection; it is not heard any more.
    Abandon(CallId, Abandoned),
    /// The list from before the start may be used, though nothing has confirmed it.
    UseUnconfirmedList,
    /// The list may not be used any more, until there is news of it or [`Command::ListRestored`].
    ListExpired,
    /// The list may be used again without news: discovery was down when it seemed to be overdue.
    ListRestored,
}

/// Why a call is given up by the coordinator itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Abandoned {
    /// A later call has been answered.
    Superseded,
    /// The service is at another address.
    ServiceMoved,
    /// Nothing was heard of it for its lifetime, or for as long as another may wait beside it.
    Unanswered,
}

/// How far a call has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Stage {
    /// Nothing has come yet.
    Unanswered {
        /// When a second call is due beside it.
        hedge_at: Nanos,
    },
    /// Lines come.
    Following {
        answered_at: Nanos,
        heard_at: Nanos,
        /// When it is verified by a snapshot, where that is due.
        verify_at: Option<Nanos>,
    },
}

#[derive(Debug, Clone, Copy)]
struct Call {
    id: CallId,
    request: Request,
    begun: Nanos,
    stage: Stage,
}

impl Call {
    fn heard_at(&self) -> Nanos {
        match self.stage {
            Stage::Unanswered { .. } => self.begun,
            Stage::Following { heard_at, .. } => heard_at,
        }
    }

    fn following(&self) -> bool {
        matches!(self.stage, Stage::Following { .. })
    }

    fn lifetime_ends(&self) -> Nanos {
        self.heard_at().saturating_add(CALL_LIFETIME)
    }
}

/// The subscription of one coordinator to the list of data nodes.
#[derive(Debug)]
pub struct Subscription {
    pacing: Pacing,
    confirmation: Confirmation,
    lease: Lease,
    /// Whether the list could be used after the last step.
    in_use: bool,
    /// The last watch was broken: discovery may have gone down.
    watch_broken: bool,
    /// The version from which a watch goes on; nothing where only a snapshot will do.
    position: Option<u64>,
    /// Whether the position was told on a connection that has ended since.
    reconnects: bool,
    /// Oldest first.
    calls: Vec<Call>,
    next_id: u64,
    /// When the next call begins where none is open.
    next_call_at: Nanos,
    /// When discovery was last heard or called.
    last_contact: Nanos,
    /// Until when the news after a move has to be in force.
    moved_until: Nanos,
}

impl Subscription {
    /// A subscription that starts now with a list of version `known`, if there is one.
    pub fn new(mut pacing: Pacing, known: Option<u64>, now: Nanos) -> Self {
        let next_call_at = now.saturating_add(pacing.first_pause());
        let lease = Lease::new(pacing.discovery());
        Self {
            pacing,
            confirmation: Confirmation::new(now),
            lease,
            in_use: false,
            watch_broken: false,
            position: known,
            reconnects: false,
            calls: Vec::with_capacity(MOST_CALLS),
            next_id: 1,
            next_call_at,
            last_contact: now,
            moved_until: 0,
        }
    }

    /// Whether the list that is held may be used.
    pub fn usable(&self, now: Nanos) -> bool {
        now < self.usable_until()
    }

    /// Until when the list that is held may be used, if there is no news.
    pub fn usable_until(&self) -> Nanos {
        if !self.confirmation.usable() {
            return 0;
        }
        self.lease.ends_at().min(self.asked_until())
    }

    /// A coordinator that neither watches nor asks is told of changes by its last call.
    fn asked_until(&self) -> Nanos {
        match self.pacing.discovery() {
            DiscoveryMode::Poll { poll_interval_max: must_ask_in } if !self.follows() => {
                self.last_contact.saturating_add(must_ask_in)
            }
            DiscoveryMode::Poll { .. } | DiscoveryMode::Push => Nanos::MAX,
        }
    }

    /// Whether a watch has told something and is still open.
    pub fn follows(&self) -> bool {
        self.calls.iter().any(Call::following)
    }

    /// Whether what a call tells still counts.
    pub fn hears(&self, call: CallId) -> bool {
        self.calls.iter().any(|c| c.id == call)
    }

    /// Takes what has happened by `now`.
    pub fn step(&mut self, now: Nanos, event: Event) -> Vec<Command> {
        let mut commands = Vec::new();
        let news = matches!(event, Event::Heartbeat(_) | Event::Told(..));
        match event {
            Event::TimePassed => {}
            Event::QueryWaiting => self.query_waiting(now),
            Event::ReloadBegins => self.lease.reload_begins(now),
            Event::ReloadSettled => self.lease.reload_settled(),
            Event::ServiceMoved => self.service_moved(now, &mut commands),
            Event::Heartbeat(call) => self.heard(now, call, None, &mut commands),
            Event::Told(call, version) => self.heard(now, call, Some(version), &mut commands),
            Event::Ended(call, end) => self.ended(now, call, end),
        }
        self.give_up_expired(now, &mut commands);
        self.begin_due(now, &mut commands);
        let unconfirmed = self.confirmation.expire(now);
        if unconfirmed {
            self.lease.assume();
        }
        let usable = self.usable(now);
        match (self.in_use, usable) {
            (true, false) => commands.push(Command::ListExpired),
            (false, true) if unconfirmed => commands.push(Command::UseUnconfirmedList),
            (false, true) if !news => commands.push(Command::ListRestored),
            _ => {}
        }
        self.in_use = usable;
        commands
    }

    /// When time has to be told at the latest.
    pub fn next_deadline(&self) -> Nanos {
        let lifetimes = self.calls.iter().map(Call::lifetime_ends);
        let call_due = self.call_due().map(|(at, _)| at);
        let confirmation = self.confirmation.deadline();
        let expiry = self.in_use.then(|| self.usable_until());
        lifetimes.chain(call_due).chain(confirmation).chain(expiry).min().unwrap_or(Nanos::MAX)
    }

    fn query_waiting(&mut self, now: Nanos) {
        let never_called = self.next_id == 1;
        if never_called && !self.usable(now) {
            self.next_call_at = now;
        }
    }

    /// Versions of another service mean nothing here, and what it has is asked for at once.
    fn service_moved(&mut self, now: Nanos, commands: &mut Vec<Command>) {
        commands.extend(self.calls.drain(..).map(|call| Command::Abandon(call.id, Abandoned::ServiceMoved)));
        self.position = None;
        self.reconnects = false;
        self.pacing.watch_ended(Nanos::MAX);
        self.next_call_at = now;
        self.lease.service_moved(now);
        self.moved_until = now.saturating_add(MOVE_TOLD_AFTER);
    }

    /// A call has told something: earlier ones are not needed any more.
    fn heard(&mut self, now: Nanos, id: CallId, version: Option<u64>, commands: &mut Vec<Command>) {
        let Some(at) = self.calls.iter().position(|c| c.id == id) else { return };
        let superseded = |earlier: Call| Command::Abandon(earlier.id, Abandoned::Superseded);
        commands.extend(self.calls.drain(..at).map(superseded));
        let reconnects = self.reconnects;
        let call = &mut self.calls[0];
        let by_version = matches!(call.request, Request::Watch { .. });
        let (answered_at, mut verify_at) = match call.stage {
            Stage::Following { answered_at, verify_at, .. } => (answered_at, verify_at),
            Stage::Unanswered { .. } => {
                (now, (by_version && reconnects).then_some(now.saturating_add(VERIFY_AFTER)))
            }
        };
        if let Some(version) = version {
            verify_at = None;
            self.position = Some(version);
        }
        call.stage = Stage::Following { answered_at, heard_at: now, verify_at };
        self.pacing.stood(now.saturating_sub(answered_at));
        self.last_contact = now;
        self.moved_until = 0;
        self.confirmation.confirm();
        self.lease.renew(now);
        self.watch_broken = false;
    }

    fn ended(&mut self, now: Nanos, id: CallId, end: CallEnd) {
        let Some(at) = self.calls.iter().position(|c| c.id == id) else { return };
        let call = self.calls.remove(at);
        self.note_end(now, &call, end);
        let snapshot_needed = match end {
            CallEnd::Unreadable | CallEnd::Rejected => true,
            CallEnd::WatchEnded | CallEnd::Broken | CallEnd::Truncated => !call.following(),
            CallEnd::LocalFailure
            | CallEnd::Unreachable
            | CallEnd::Unanswered
            | CallEnd::Busy
            | CallEnd::Complete => false,
        };
        if snapshot_needed {
            self.position = None;
        }
        if let Stage::Following { answered_at, .. } = call.stage {
            self.reconnects = true;
            self.pacing.watch_ended(now.saturating_sub(answered_at));
        }
        self.put_verification_off(now);
        self.next_call_at = now.saturating_add(self.pause(now, end));
    }

    /// What the end of a call means for the time that the list may be used.
    fn note_end(&mut self, now: Nanos, call: &Call, end: CallEnd) {
        match end {
            CallEnd::Unreachable => self.lease.out_of_reach(now, call.begun),
            CallEnd::Unanswered | CallEnd::Busy if self.service_is_down() => {
                self.lease.out_of_reach(now, call.begun);
            }
            CallEnd::WatchEnded if call.following() => {
                self.watch_broken = false;
                self.lease.watch_ended(now);
            }
            CallEnd::Broken if call.following() => {
                self.watch_broken = true;
                self.lease.watch_broken(now);
            }
            CallEnd::Truncated => self.lease.news_lost(now),
            CallEnd::LocalFailure
            | CallEnd::Unanswered
            | CallEnd::Busy
            | CallEnd::Rejected
            | CallEnd::Complete
            | CallEnd::WatchEnded
            | CallEnd::Broken
            // What cannot be read as an object is no news that is lost: it costs the time of a silent watch.
            | CallEnd::Unreadable => {}
        }
    }

    /// Whether a call that is turned down tells that discovery is down, and not that it is crowded: the watch was broken,
    /// and the calls of all coordinators together are no load. An agent that is down is silent.
    fn service_is_down(&self) -> bool {
        let asked = matches!(self.pacing.discovery(), DiscoveryMode::Poll { .. });
        asked && self.watch_broken && self.pacing.coordinators_are_few()
    }

    fn pause(&mut self, now: Nanos, end: CallEnd) -> Nanos {
        let gone = now.saturating_sub(self.last_contact);
        self.pacing.pause(gone, self.urgent(now), end)
    }

    /// A snapshot that was to verify a watch has failed: the watch goes on, and is verified later.
    fn put_verification_off(&mut self, now: Nanos) {
        for call in &mut self.calls {
            if let Stage::Following { verify_at: Some(at), .. } = &mut call.stage {
                *at = (*at).max(now.saturating_add(VERIFY_AGAIN));
            }
        }
    }

    /// Whether an answer is wanted soon: the service has moved just now, or nobody can be served without one.
    fn urgent(&self, now: Nanos) -> bool {
        now < self.moved_until || !self.usable(now)
    }

    fn give_up_expired(&mut self, now: Nanos, commands: &mut Vec<Command>) {
        let expired = |call: &Call| call.lifetime_ends() <= now;
        let given_up: Vec<CallId> = self.calls.iter().filter(|c| expired(c)).map(|c| c.id).collect();
        for id in given_up {
            commands.push(Command::Abandon(id, Abandoned::Unanswered));
            self.ended(now, id, CallEnd::Unanswered);
        }
    }

    /// When the next call is due, and what for.
    fn call_due(&self) -> Option<(Nanos, Due)> {
        let Some(newest) = self.calls.last() else { return Some((self.next_call_at, Due::First)) };
        let silence = self.pacing.spans().silence;
        match newest.stage {
            Stage::Following { heard_at, verify_at, .. } => {
                let suspect_at = heard_at.saturating_add(silence);
                let (at, due) = match verify_at.filter(|&at| at < suspect_at) {
                    Some(at) => (at, Due::Verification),
                    None => (suspect_at, Due::Hedge),
                };
                Some((at.max(self.next_call_at), due))
            }
            Stage::Unanswered { hedge_at } if self.calls.len() < MOST_CALLS => {
                Some((hedge_at.max(self.next_call_at), Due::Hedge))
            }
            Stage::Unanswered { hedge_at } => {
                let oldest = &self.calls[0];
                let sound = oldest.following() && !self.suspect(oldest, newest.begun);
                (!sound).then_some((hedge_at, Due::Replacement))
            }
        }
    }

    /// Whether a watch had been silent for too long by `now`.
    fn suspect(&self, call: &Call, now: Nanos) -> bool {
        call.heard_at().saturating_add(self.pacing.spans().silence) <= now
    }

    fn begin_due(&mut self, now: Nanos, commands: &mut Vec<Command>) {
        let Some((_, due)) = self.call_due().filter(|&(at, _)| at <= now) else { return };
        if due == Due::Replacement {
            // The oldest call is kept, which may be answered late; a watch that has fallen silent is not.
            let goes = if self.calls[0].following() { 0 } else { 1 };
            commands.push(Command::Abandon(self.calls.remove(goes).id, Abandoned::Unanswered));
        }
        let request = match (due, self.position) {
            (Due::Verification, _) | (_, None) => Request::Snapshot,
            (_, Some(since)) => Request::Watch { since },
        };
        let newest_follows = self.calls.last().map(Call::following);
        if due == Due::Hedge && newest_follows == Some(true) {
            self.reconnects = true;
        }
        if newest_follows == Some(false) && self.pacing.discovery() == DiscoveryMode::Push {
            // An agent answers at once, or it is down.
            self.lease.agent_down(now);
        }
        let id = CallId(self.next_id);
        self.next_id += 1;
        let beside = self.calls.iter().any(|call| !call.following());
        let hedge_after = self.pacing.hedge_after(now < self.moved_until, beside);
        let hedge_at = now.saturating_add(hedge_after);
        self.calls.push(Call { id, request, begun: now, stage: Stage::Unanswered { hedge_at } });
        self.last_contact = now;
        commands.push(Command::Begin(id, request));
    }
}

/// Why a call is due.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Due {
    /// None is open.
    First,
    /// The open one has not answered, or its watch has fallen silent.
    Hedge,
    /// A watch is to be verified.
    Verification,
    /// Two are open, and the second has not answered either.
    Replacement,
}
