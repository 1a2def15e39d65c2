//! One coordinator's subscription to the endpoint list: when calls to discovery are begun, kept open and abandoned.
//!
//! A call is a watch from a version, or a snapshot followed by a watch. At most two calls are open. The second begins
//! if the first is not answered in time, or if a watch is silent or needs verification. Messages of the first are
//! accepted until the second is answered. A call on which no message arrives is abandoned at the end of its lifetime,
//! so that the coordinator always calls discovery again.

mod calls;
mod messages;
mod scheduling;

pub use messages::{AbandonReason, Command, Event};

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
    /// Whether the list was usable after the last step.
    list_was_usable: bool,
    /// The version from which the next watch begins; `None` if a snapshot is needed.
    version: Option<u64>,
    /// Whether that version was received on a connection that has since ended or become silent.
    version_is_from_earlier_connection: bool,
    calls: OpenCalls,
    /// The earliest time of the next call, unless that call replaces another one.
    next_call_at: Nanos,
    /// When the last message from discovery arrived or the last call began.
    last_contact: Nanos,
    /// The deadline for an answer from a new service after a move; 0 if none is pending.
    move_deadline: Nanos,
}

impl Subscription {
    /// Creates a subscription that starts at `now`. `known` is the version of the previous process's list, if there is
    /// one.
    pub fn new(mut pacing: Pacing, known: Option<u64>, now: Nanos) -> Self {
        let next_call_at = now.saturating_add(pacing.initial_delay());
        let lease = Lease::new(pacing.discovery());
        Self {
            pacing,
            confirmation: Confirmation::new(now),
            lease,
            list_was_usable: false,
            version: known,
            version_is_from_earlier_connection: false,
            calls: OpenCalls::new(),
            next_call_at,
            last_contact: now,
            move_deadline: 0,
        }
    }

    /// Whether the current list may be used.
    pub fn usable(&self, now: Nanos) -> bool {
        now < self.usable_until()
    }

    /// When the current list expires unless a message from discovery arrives before; 0 if it must not be used.
    pub fn usable_until(&self) -> Nanos {
        if !self.confirmation.usable() {
            return 0;
        }
        self.lease.ends_at().min(self.poll_deadline())
    }

    /// When the list expires without an open watch: a coordinator that neither watches nor polls counts as notified of
    /// every change.
    fn poll_deadline(&self) -> Nanos {
        match self.pacing.discovery() {
            DiscoveryMode::Poll { poll_interval_max } if !self.has_open_watch() => {
                self.last_contact.saturating_add(poll_interval_max)
            }
            DiscoveryMode::Poll { .. } | DiscoveryMode::Push => Nanos::MAX,
        }
    }

    /// Whether an open call has received an update or a heartbeat.
    pub fn has_open_watch(&self) -> bool {
        self.calls.any_watching()
    }

    /// Whether a call is open, so that its messages are accepted.
    pub fn is_open(&self, call: CallId) -> bool {
        self.calls.contains(call)
    }

    /// Handles an event at `now`, abandons expired calls and begins the call that is due.
    pub fn step(&mut self, now: Nanos, event: Event) -> Vec<Command> {
        let mut commands = Vec::new();
        self.handle_event(now, event, &mut commands);
        self.abandon_expired(now, &mut commands);
        self.begin_due_call(now, &mut commands);
        let used_unconfirmed = self.confirmation.expire(now);
        if used_unconfirmed {
            self.lease.assume_valid(now);
        }
        let usable = self.usable(now);
        // A message from discovery already shows the embedder that the list may be used again.
        let is_message = matches!(event, Event::Heartbeat(_) | Event::Updated(..));
        match (self.list_was_usable, usable) {
            (true, false) => commands.push(Command::ListExpired),
            (false, true) if used_unconfirmed => commands.push(Command::UseUnconfirmedList),
            (false, true) if !is_message => commands.push(Command::ListRestored),
            _ => {}
        }
        self.list_was_usable = usable;
        commands
    }

    fn handle_event(&mut self, now: Nanos, event: Event, commands: &mut Vec<Command>) {
        match event {
            Event::TimerFired => {}
            Event::QueryWaiting => self.query_waiting(now),
            Event::ReloadStarted => self.lease.reload_started(now),
            Event::ReloadFinished => self.lease.reload_finished(),
            Event::ServiceMoved => self.service_moved(now, commands),
            Event::Heartbeat(call) => self.message_received(now, call, None, commands),
            Event::Updated(call, version) => self.message_received(now, call, Some(version), commands),
            Event::Connected(call) => self.call_connected(now, call),
            Event::Responding(call) => self.call_responding(now, call),
            Event::Ended(call, end) => self.call_ended(now, call, end),
        }
    }

    /// Skips the initial delay that spreads the first calls of a large fleet.
    fn query_waiting(&mut self, now: Nanos) {
        if self.calls.none_has_begun() && !self.usable(now) {
            self.next_call_at = now;
        }
    }

    /// Abandons all calls and requests a snapshot at once, since versions are not comparable between services.
    fn service_moved(&mut self, now: Nanos, commands: &mut Vec<Command>) {
        let abandoned = self.calls.remove_all().into_iter();
        commands.extend(abandoned.map(|id| Command::Abandon(id, AbandonReason::ServiceMoved)));
        self.version = None;
        self.version_is_from_earlier_connection = false;
        self.pacing.watch_ended(Nanos::MAX);
        self.next_call_at = now;
        self.lease.service_moved(now);
        self.move_deadline = now.saturating_add(MOVE_NOTIFIED_AFTER);
    }

    /// Handles an update of a version, or a heartbeat if `version` is `None`, and abandons earlier calls.
    fn message_received(
        &mut self,
        now: Nanos,
        id: CallId,
        version: Option<u64>,
        commands: &mut Vec<Command>,
    ) {
        let Some(call) = self.calls.get_mut(id) else { return };
        let answered_at =
            call.record_message(now, version.is_some(), self.version_is_from_earlier_connection);
        let superseded = self.calls.remove_before(id).into_iter();
        commands.extend(superseded.map(|id| Command::Abandon(id, AbandonReason::Superseded)));
        self.version = version.or(self.version);
        self.pacing.watch_lasted(now.saturating_sub(answered_at));
        self.last_contact = now;
        self.move_deadline = 0;
        self.confirmation.confirm();
        self.lease.renew(now);
    }

    /// Handles an established connection. That of a local agent shows nothing, since an agent that is down may accept
    /// connections.
    fn call_connected(&mut self, now: Nanos, id: CallId) {
        if self.is_polled() && self.calls.contains(id) {
            self.service_reached(now);
        }
    }

    /// Handles the first bytes of a response, which may never be completed.
    fn call_responding(&mut self, now: Nanos, id: CallId) {
        if self.calls.contains(id) {
            self.service_reached(now);
        }
    }

    /// Records that the service was reached at this time and sent no update so far. A service with an open watch can
    /// send its changes there.
    fn service_reached(&mut self, at: Nanos) {
        self.confirmation.service_reached();
        if !self.has_open_watch() {
            self.lease.discovery_reached(at);
        }
    }

    fn update_lost(&mut self, now: Nanos) {
        self.confirmation.service_reached();
        self.lease.update_lost(now);
    }

    /// Whether the list comes from a service that all coordinators call, not from a local agent.
    fn is_polled(&self) -> bool {
        matches!(self.pacing.discovery(), DiscoveryMode::Poll { .. })
    }

    fn call_ended(&mut self, now: Nanos, id: CallId, end: CallEnd) {
        let Some(call) = self.calls.remove(id) else { return };
        self.update_lease(now, &call, end);
        if needs_snapshot(&call, end) {
            self.version = None;
        }
        if let CallState::Watching { answered_at, .. } = call.state {
            self.version_is_from_earlier_connection = true;
            self.pacing.watch_ended(now.saturating_sub(answered_at));
        }
        self.calls.postpone_verifications(now);
        let since_contact = now.saturating_sub(self.last_contact);
        let delay = self.pacing.retry_delay(since_contact, self.is_urgent(now), end);
        self.next_call_at = now.saturating_add(delay);
    }

    /// Shortens or extends the lease according to the end of a call, which is no longer among the open calls.
    fn update_lease(&mut self, now: Nanos, call: &Call, end: CallEnd) {
        match end {
            CallEnd::Unreachable => self.lease.discovery_unreachable(now, call.begun_at),
            CallEnd::WatchEnded if call.is_watching() => self.lease.watch_ended(now),
            CallEnd::WatchEnded => {
                self.service_reached(now);
                self.lease.empty_watch_ended(now);
            }
            CallEnd::Broken if call.is_watching() => self.lease.watch_broken(now),
            CallEnd::Truncated => self.update_lost(now),
            CallEnd::Complete if call.is_watching() => {}
            // The connection was established, but not necessarily later than the call began.
            CallEnd::Unanswered if self.is_polled() => self.service_reached(call.begun_at),
            // A local agent that does not answer is down.
            CallEnd::Unanswered => {}
            CallEnd::Busy
            | CallEnd::Rejected
            | CallEnd::Broken
            | CallEnd::Complete
            // Data that cannot be parsed as an object is treated like a silent watch, not like a lost update.
            | CallEnd::Unreadable => self.service_reached(now),
            CallEnd::LocalFailure => {}
        }
    }

    /// Whether an answer is needed soon: the service has just moved, or the list is not usable without one.
    fn is_urgent(&self, now: Nanos) -> bool {
        now < self.move_deadline || !self.usable(now)
    }
}

/// Whether the next call must request a snapshot instead of a watch from the current version.
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
