//! How long the endpoint list may be used without an update.
//!
//! The notification rule has several clauses, each with its own time limit, after which a coordinator counts as
//! notified of a change even if the notification did not arrive. The lease ends at the earliest time at which any of
//! these limits could pass for a missed change. Each update or heartbeat renews it. A list that may lack a change is
//! therefore never used after the coordinator counts as notified of that change.
//!
//! An unreachable discovery cannot notify any coordinator, so the lease is extended if discovery has been unreachable
//! ever since its last message. Only a connection that is not established shows that: a service that accepts one and
//! then rejects the call, resets it or leaves it unanswered may be overloaded, and notify other coordinators meanwhile.

use curlewdeck_core::api::{DiscoveryMode, Nanos};

use crate::contact::Contact;
use crate::{NOTIFIED_AFTER, SAFETY_MARGIN};

/// A coordinator counts as notified of a change this long after a watch has ended instead of sending it.
const WATCH_END_NOTIFIED_AFTER: Nanos = NOTIFIED_AFTER / 3;
/// A coordinator counts as notified of a new service's changes this long after the signal to move to that service.
pub(crate) const MOVE_NOTIFIED_AFTER: Nanos = NOTIFIED_AFTER / 3 * 2;

/// Until when the endpoint list may be used.
#[derive(Debug)]
pub struct Lease {
    discovery: DiscoveryMode,
    /// When the lease ends by the last message, unless one of the deadlines below is earlier.
    renewed_until: Nanos,
    /// When it ends if discovery has been unreachable since that message; 0 if no call has shown that.
    extended_until: Nanos,
    contact: Contact,
    /// The deadline set by a watch that may have ended instead of sending a change; an outage does not extend it.
    watch_end_deadline: Option<Nanos>,
    /// The deadline for a message from the new service after a move.
    move_deadline: Option<Nanos>,
    /// The deadline for a message from the service that the configuration being reloaded may name.
    reload_deadline: Option<Nanos>,
}

impl Lease {
    /// Creates an expired lease; the first update starts it.
    pub fn new(discovery: DiscoveryMode) -> Self {
        Self {
            discovery,
            renewed_until: 0,
            extended_until: 0,
            contact: Contact::MayHaveMissedUpdate,
            watch_end_deadline: None,
            move_deadline: None,
            reload_deadline: None,
        }
    }

    /// When the lease ends unless it is renewed.
    pub fn ends_at(&self) -> Nanos {
        let deadlines = [self.watch_end_deadline, self.move_deadline, self.reload_deadline];
        deadlines.into_iter().flatten().fold(self.renewed_until.max(self.extended_until), Nanos::min)
    }

    /// Renews the lease after an update or a heartbeat from the service in use.
    pub fn renew(&mut self, now: Nanos) {
        self.renewed_until = span_end(now, NOTIFIED_AFTER);
        self.extended_until = 0;
        self.contact = Contact::Received(now);
        self.watch_end_deadline = None;
        self.move_deadline = None;
    }

    /// Starts the lease of an unconfirmed list, while discovery has been unreachable since the start of the process.
    /// Like any other lease, it lasts as long as discovery stays unreachable.
    pub fn assume_valid(&mut self, now: Nanos) {
        self.extended_until = span_end(now, NOTIFIED_AFTER);
        self.contact = Contact::Unreachable(now);
    }

    /// Records an orderly end of a watch by the service, which may have ended it instead of sending a change.
    pub fn watch_ended(&mut self, now: Nanos) {
        self.contact.watch_ended(now);
        self.empty_watch_ended(now);
    }

    /// Records an orderly end of a watch on which nothing had been received.
    pub fn empty_watch_ended(&mut self, now: Nanos) {
        match self.discovery {
            DiscoveryMode::Poll { .. } => {
                self.watch_end_deadline.get_or_insert(span_end(now, WATCH_END_NOTIFIED_AFTER));
            }
            DiscoveryMode::Push => self.end_by(now),
        }
    }

    /// Records that the connection of a watch failed between two lines. A local agent may have had a change since then,
    /// of which the coordinator counts as notified at once.
    pub fn watch_broken(&mut self, now: Nanos) {
        self.contact.watch_ended(now);
        if self.discovery == DiscoveryMode::Push {
            self.end_by(now);
        }
    }

    /// Records that a response or a line arrived only in part. It may have been a change.
    pub fn update_lost(&mut self, now: Nanos) {
        self.contact = Contact::MayHaveMissedUpdate;
        self.end_by(now);
    }

    /// Records that the service was reached at this time, had no open watch, and sent no update. It may have had a
    /// change. A local agent that responds was not down before, or has got its changes back.
    pub fn discovery_reached(&mut self, at: Nanos) {
        self.contact.service_reached(at);
        if self.discovery == DiscoveryMode::Push && self.contact == Contact::MayHaveMissedUpdate {
            self.extended_until = 0;
        }
    }

    /// Records that discovery was unreachable at the earlier time `at`. If it has been unreachable ever since its last
    /// message, time limits that have not passed restart when it returns. An expired lease stays expired until the next
    /// update, except with a local agent, whose watch ended when the agent went down.
    pub fn discovery_unreachable(&mut self, now: Nanos, at: Nanos) {
        if !self.contact.call_refused(at) {
            return self.watch_was_silent();
        }
        if self.discovery == DiscoveryMode::Push {
            self.agent_down(at);
        }
        if now >= self.ends_at() {
            return;
        }
        self.extend(at);
        let move_deadline = span_end(at, MOVE_NOTIFIED_AFTER);
        self.move_deadline = self.move_deadline.map(|deadline| deadline.max(move_deadline));
    }

    /// Records that a local agent was down at this time: it normally answers at once, but did not. Its watch ended when
    /// it went down, or is silent because of it. A lease whose watch was silent before it ended is not extended.
    pub fn agent_down(&mut self, at: Nanos) {
        if self.contact == Contact::MayHaveMissedUpdate {
            return;
        }
        self.contact.call_refused(at);
        self.extend(at);
    }

    /// Records a signal to reload the configuration. Further signals do not move its deadline.
    pub fn reload_started(&mut self, now: Nanos) {
        self.reload_deadline.get_or_insert(span_end(now, MOVE_NOTIFIED_AFTER));
    }

    /// Records that the reloaded configuration is in use, or was rejected without further retries.
    pub fn reload_finished(&mut self) {
        self.reload_deadline = None;
    }

    /// Records a move to another service.
    pub fn service_moved(&mut self, now: Nanos) {
        self.contact.watch_ended(now);
        let deadline = self.reload_deadline.unwrap_or(span_end(now, MOVE_NOTIFIED_AFTER));
        self.move_deadline = Some(deadline);
    }

    /// Ends the lease by the last message of a watch that was silent before discovery became unreachable. The time
    /// limit for missed changes runs from that message, and a local agent's missing answer was not a sign of an outage.
    fn watch_was_silent(&mut self) {
        if let Contact::Received(at) = self.contact {
            self.end_by(span_end(at, NOTIFIED_AFTER));
            self.contact = Contact::MayHaveMissedUpdate;
        }
    }

    /// Extends the lease by an outage that lasted until `at` or longer.
    fn extend(&mut self, at: Nanos) {
        self.extended_until = self.extended_until.max(span_end(at, NOTIFIED_AFTER));
    }

    fn end_by(&mut self, at: Nanos) {
        self.renewed_until = self.renewed_until.min(at);
        self.extended_until = self.extended_until.min(at);
    }
}

/// The end of a span, less the margin needed to act before it.
fn span_end(begun: Nanos, span: Nanos) -> Nanos {
    begun.saturating_add(span - SAFETY_MARGIN)
}
