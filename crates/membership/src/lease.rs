//! How long the endpoint list may be used without an update.
//!
//! A coordinator counts as notified of a change whether or not the notice arrived, by several clauses, each with a span of
//! its own. The lease ends at the earliest moment at which a change that was missed could count by any of them, and is
//! renewed by every update or heartbeat. So a list that may lack a change which counts is never used, whatever kept the
//! change away.
//!
//! A discovery that is unreachable can have notified nobody, and extends the lease where it has been so ever since it was
//! last heard.

use curlewdeck_core::api::{DiscoveryMode, Nanos};

use crate::contact::Contact;
use crate::{NOTIFIED_AFTER, SAFETY_MARGIN};

/// A change that a watch may have ended instead of sending counts this long after the watch's end.
const WATCH_END_NOTIFIED_AFTER: Nanos = NOTIFIED_AFTER / 3;
/// A change that a new service has counts this long after the signal to move there.
pub(crate) const MOVE_NOTIFIED_AFTER: Nanos = NOTIFIED_AFTER / 3 * 2;

/// Until when the endpoint list may be used.
#[derive(Debug)]
pub struct Lease {
    discovery: DiscoveryMode,
    /// When it ends but for the deadlines below.
    renewed_until: Nanos,
    contact: Contact,
    /// A watch has ended, maybe instead of sending a change: that counts from then on, unreachable service or not.
    watch_end_deadline: Option<Nanos>,
    /// The service has been left for another one, which has to be heard by then.
    move_deadline: Option<Nanos>,
    /// A configuration is being read again that may name another service, which has to be heard by then.
    reload_deadline: Option<Nanos>,
}

impl Lease {
    /// A lease that has not begun: there has been no update yet.
    pub fn new(discovery: DiscoveryMode) -> Self {
        Self {
            discovery,
            renewed_until: 0,
            contact: Contact::MayHaveMissed,
            watch_end_deadline: None,
            move_deadline: None,
            reload_deadline: None,
        }
    }

    /// When it ends, if it is not renewed.
    pub fn ends_at(&self) -> Nanos {
        let deadlines = [self.watch_end_deadline, self.move_deadline, self.reload_deadline];
        deadlines.into_iter().flatten().fold(self.renewed_until, Nanos::min)
    }

    /// The service in use has sent an update or a heartbeat.
    pub fn renew(&mut self, now: Nanos) {
        self.renewed_until = span_end(now, NOTIFIED_AFTER);
        self.contact = Contact::Heard(now);
        self.watch_end_deadline = None;
        self.move_deadline = None;
    }

    /// The list is used although nothing has confirmed it, until there is an update or a heartbeat.
    pub fn assume(&mut self) {
        self.renewed_until = Nanos::MAX;
    }

    /// The service has ended a watch in order, maybe instead of sending a change.
    pub fn watch_ended(&mut self, now: Nanos) {
        self.contact.watch_ended(now);
        match self.discovery {
            DiscoveryMode::Poll { .. } => {
                self.watch_end_deadline.get_or_insert(span_end(now, WATCH_END_NOTIFIED_AFTER));
            }
            DiscoveryMode::Push => self.end_by(now),
        }
    }

    /// The connection of a watch has failed between two lines. A local agent may have had a change since, which counts at
    /// once.
    pub fn watch_broken(&mut self, now: Nanos) {
        self.contact.watch_ended(now);
        if self.discovery == DiscoveryMode::Push {
            self.end_by(now);
        }
    }

    /// A response or a line has come in part, and will not be completed: it may have been a change.
    pub fn update_lost(&mut self, now: Nanos) {
        self.end_by(now);
    }

    /// A call that began at this time has reached the service, which sent no update: it may have had a change.
    pub fn discovery_reached(&mut self, begun_at: Nanos) {
        self.contact.reached(begun_at);
    }

    /// Discovery turns out now to have been unreachable at an earlier time: spans that are not over yet begin anew with its
    /// return, if it has been unreachable ever since it was last heard. One that is over stays over until the next update,
    /// but for that of a local agent, whose watch ended when it went down.
    pub fn discovery_unreachable(&mut self, now: Nanos, at: Nanos) {
        if !self.contact.refused(at) {
            return self.watch_was_silent();
        }
        if self.discovery == DiscoveryMode::Push {
            self.agent_down(at);
        }
        if now >= self.ends_at() {
            return;
        }
        self.renewed_until = self.renewed_until.max(span_end(at, NOTIFIED_AFTER));
        let move_deadline = span_end(at, MOVE_NOTIFIED_AFTER);
        self.move_deadline = self.move_deadline.map(|deadline| deadline.max(move_deadline));
    }

    /// A local agent was down at this time: it answers at once, and has not. Its watch ended as it went down, or is silent
    /// with it. That extends no lease whose watch was silent and has ended since, for whatever reason.
    pub fn agent_down(&mut self, at: Nanos) {
        if self.contact == Contact::MayHaveMissed {
            return;
        }
        self.contact.refused(at);
        self.renewed_until = self.renewed_until.max(span_end(at, NOTIFIED_AFTER));
    }

    /// A configuration begins to be read again after a signal.
    pub fn reload_begins(&mut self, now: Nanos) {
        self.reload_deadline.get_or_insert(span_end(now, MOVE_NOTIFIED_AFTER));
    }

    /// The configuration that was read again is in use, or rejected for good.
    pub fn reload_settled(&mut self) {
        self.reload_deadline = None;
    }

    /// The service has been left for another one.
    pub fn service_moved(&mut self, now: Nanos) {
        self.contact.watch_ended(now);
        let deadline = self.reload_deadline.unwrap_or(span_end(now, MOVE_NOTIFIED_AFTER));
        self.move_deadline = Some(deadline);
    }

    /// A watch had fallen silent before discovery went out of reach: what it missed counts by the silence, and a local agent
    /// that answered nothing was no sign of an outage.
    fn watch_was_silent(&mut self) {
        if let Contact::Heard(at) = self.contact {
            self.end_by(span_end(at, NOTIFIED_AFTER));
            self.contact = Contact::MayHaveMissed;
        }
    }

    fn end_by(&mut self, at: Nanos) {
        self.renewed_until = self.renewed_until.min(at);
    }
}

/// The end of a span that began at a time, early enough to act by it.
fn span_end(begun: Nanos, span: Nanos) -> Nanos {
    begun.saturating_add(span - SAFETY_MARGIN)
}
