//! One coordinator's subscription to the endpoint list: when a call to discovery is begun, kept open and abandoned.
//!
//! A call is a watch from a version, or a snapshot that goes on as a watch. At most two are open: the second begins where
//! the first has not answered in time or a watch has fallen silent, and the first is heard until the second has answered.
//! A call that is never heard again, for whatever reason, ends with its lifetime, so that discovery is always called
//! again.

mod calls;
mod messages;
mod scheduling;

pub use messages::{Abandoned, Command, Event};

use curlewdeck_core::api::{DiscoveryMode, Nanos};

use crate::call::{CallEnd, CallId};
use crate::confirmation::Confirmation;
use crate::lease::{Lease, MOVE_NOTIFIED_AFTER};
use crate::pacing::Pacing;
use calls::{Call, CallState, OpenCalls};

/// The subscription of one coordinator to the endpoint list.
#[derive(Debug)]
pub struct Subscription {
    pacing: Pacing,
    confirmation: Confirmation,
    lease: Lease,
    /// Whether the list could be used after the last step.
    list_was_usable: bool,
    /// The last watch was broken: discovery may have gone down.
    watch_broken: bool,
    /// The version from which a watch goes on; none where only a snapshot will do.
    version: Option<u64>,
    /// Whether that version came on a connection that has ended, or fallen silent, since.
    version_is_earlier: bool,
    calls: OpenCalls,
    /// When the next call begins where none is open.
    next_call_at: Nanos,
    /// When discovery was last heard or called.
    last_contact: Nanos,
    /// Until when the changes that a new service has must be known.
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
            list_was_usable: false,
            watch_broken: false,
            version: known,
            version_is_earlier: false,
            calls: OpenCalls::new(),
            next_call_at,
            last_contact: now,
            moved_until: 0,
        }
    }

    /// Whether the list that is held may be used.
    pub fn usable(&self, now: Nanos) -> bool {
        now < self.usable_until()
    }

    /// Until when the list that is held may be used, if discovery is not heard before.
    pub fn usable_until(&self) -> Nanos {
        if !self.confirmation.usable() {
            return 0;
        }
        self.lease.ends_at().min(self.poll_deadline())
    }

    /// A coordinator that neither watches nor polls counts as notified of every change.
    fn poll_deadline(&self) -> Nanos {
        match self.pacing.discovery() {
            DiscoveryMode::Poll { poll_interval_max } if !self.follows() => {
                self.last_contact.saturating_add(poll_interval_max)
            }
            DiscoveryMode::Poll { .. } | DiscoveryMode::Push => Nanos::MAX,
        }
    }

    /// Whether a watch has sent something and is still open.
    pub fn follows(&self) -> bool {
        self.calls.any_watching()
    }

    /// Whether what a call sends still counts.
    pub fn hears(&self, call: CallId) -> bool {
        self.calls.contains(call)
    }

    /// Handles what has happened by `now`, and begins and abandons the calls that are due.
    pub fn step(&mut self, now: Nanos, event: Event) -> Vec<Command> {
        let mut commands = Vec::new();
        self.handle_event(now, event, &mut commands);
        self.abandon_expired(now, &mut commands);
        self.begin_due_call(now, &mut commands);
        let used_unconfirmed = self.confirmation.expire(now);
        if used_unconfirmed {
            self.lease.assume();
        }
        let usable = self.usable(now);
        // Whoever hears discovery knows that the list may be used again.
        let was_heard = matches!(event, Event::Heartbeat(_) | Event::Told(..));
        match (self.list_was_usable, usable) {
            (true, false) => commands.push(Command::ListExpired),
            (false, true) if used_unconfirmed => commands.push(Command::UseUnconfirmedList),
            (false, true) if !was_heard => commands.push(Command::ListRestored),
            _ => {}
        }
        self.list_was_usable = usable;
        commands
    }

    fn handle_event(&mut self, now: Nanos, event: Event, commands: &mut Vec<Command>) {
        match event {
            Event::TimePassed => {}
            Event::QueryWaiting => self.query_waiting(now),
            Event::ReloadBegins => self.lease.reload_begins(now),
            Event::ReloadSettled => self.lease.reload_settled(),
            Event::ServiceMoved => self.service_moved(now, commands),
            Event::Heartbeat(call) => self.heard(now, call, None, commands),
            Event::Told(call, version) => self.heard(now, call, Some(version), commands),
            Event::Ended(call, end) => self.call_ended(now, call, end),
        }
    }

    /// A query does not wait for the spread of a large fleet's first calls.
    fn query_waiting(&mut self, now: Nanos) {
        if self.calls.none_has_begun() && !self.usable(now) {
            self.next_call_at = now;
        }
    }

    /// Versions of another service mean nothing here, and its list is requested at once.
    fn service_moved(&mut self, now: Nanos, commands: &mut Vec<Command>) {
        let abandoned = self.calls.remove_all().into_iter();
        commands.extend(abandoned.map(|id| Command::Abandon(id, Abandoned::ServiceMoved)));
        self.version = None;
        self.version_is_earlier = false;
        self.pacing.watch_ended(Nanos::MAX);
        self.next_call_at = now;
        self.lease.service_moved(now);
        self.moved_until = now.saturating_add(MOVE_NOTIFIED_AFTER);
    }

    /// A call has sent a heartbeat, or an update of a version: earlier calls are not needed any more.
    fn heard(&mut self, now: Nanos, id: CallId, version: Option<u64>, commands: &mut Vec<Command>) {
        let Some(call) = self.calls.get_mut(id) else { return };
        let answered_at = call.record_heard(now, version.is_some(), self.version_is_earlier);
        let superseded = self.calls.remove_before(id).into_iter();
        commands.extend(superseded.map(|id| Command::Abandon(id, Abandoned::Superseded)));
        self.version = version.or(self.version);
        self.pacing.watch_lasted(now.saturating_sub(answered_at));
        self.last_contact = now;
        self.moved_until = 0;
        self.confirmation.confirm();
        self.lease.renew(now);
        self.watch_broken = false;
    }

    fn call_ended(&mut self, now: Nanos, id: CallId, end: CallEnd) {
        let Some(call) = self.calls.remove(id) else { return };
        self.update_lease(now, &call, end);
        if needs_snapshot(&call, end) {
            self.version = None;
        }
        if let CallState::Watching { answered_at, .. } = call.state {
            self.version_is_earlier = true;
            self.pacing.watch_ended(now.saturating_sub(answered_at));
        }
        self.calls.postpone_verifications(now);
        let since_contact = now.saturating_sub(self.last_contact);
        let pause = self.pacing.pause(since_contact, self.is_urgent(now), end);
        self.next_call_at = now.saturating_add(pause);
    }

    /// What the end of a call means for the time that the list may be used.
    fn update_lease(&mut self, now: Nanos, call: &Call, end: CallEnd) {
        match end {
            CallEnd::Unreachable => self.lease.discovery_unreachable(now, call.begun_at),
            CallEnd::Unanswered | CallEnd::Busy if self.service_is_down() => {
                self.lease.discovery_unreachable(now, call.begun_at);
            }
            CallEnd::WatchEnded if call.is_watching() => {
                self.watch_broken = false;
                self.lease.watch_ended(now);
            }
            CallEnd::Broken if call.is_watching() => {
                self.watch_broken = true;
                self.lease.watch_broken(now);
            }
            CallEnd::Truncated => self.lease.update_lost(now),
            // A local agent that does not answer is down.
            CallEnd::Unanswered if self.pacing.discovery() == DiscoveryMode::Push => {}
            CallEnd::Unanswered
            | CallEnd::Busy
            | CallEnd::Rejected
            | CallEnd::WatchEnded
            | CallEnd::Broken
            // What cannot be read as an object is no update that is lost: it costs the time of a silent watch.
            | CallEnd::Unreadable => self.lease.discovery_reached(call.begun_at),
            CallEnd::LocalFailure | CallEnd::Complete => {}
        }
    }

    /// Whether a call that is rejected shows that discovery is down, and not that it is crowded: the watch was broken, and
    /// the calls of all coordinators together are no load. A local agent that is down is silent.
    fn service_is_down(&self) -> bool {
        let polls = matches!(self.pacing.discovery(), DiscoveryMode::Poll { .. });
        polls && self.watch_broken && self.pacing.coordinators_are_few()
    }

    /// Whether an answer is needed soon: the service has moved just now, or nobody can be served without one.
    fn is_urgent(&self, now: Nanos) -> bool {
        now < self.moved_until || !self.usable(now)
    }
}

/// Whether the end of a call means that the version it watched from is of no use any more.
fn needs_snapshot(call: &Call, end: CallEnd) -> bool {
    match end {
        CallEnd::Unreadable | CallEnd::Rejected => true,
        CallEnd::WatchEnded | CallEnd::Broken | CallEnd::Truncated => !call.is_watching(),
        CallEnd::LocalFailure
        | CallEnd::Unreachable
        | CallEnd::Unanswered
        | CallEnd::Busy
        | CallEnd::Complete => false,
    }
}
