//! How long the list that is held may be used without news of it.
//!
//! A change counts as told to a coordinator whether or not it arrived, by several clauses, each with a span of its own.
//! The lease ends at the earliest moment at which a change that was not heard could count by any of them, and begins
//! anew with the next news. So a list whose news is overdue is never used, whatever kept the news away.
//!
//! A discovery that is out of reach can have told nothing, and extends the lease.

use curlewdeck_core::api::{DiscoveryMode, Nanos};

use crate::TOLD_AFTER;

/// What a watch should have told that has ended instead counts so long after its end.
const WATCH_END_TOLD_AFTER: Nanos = TOLD_AFTER / 3;
/// What a new service has counts so long after the signal to move there.
pub(crate) const MOVE_TOLD_AFTER: Nanos = TOLD_AFTER / 3 * 2;
/// Kept back of each span: the way of the last news to here, and the time that a process may be held up before it writes.
const SAFETY: Nanos = 200_000_000;

/// Until when the list may be used.
#[derive(Debug)]
pub struct Lease {
    discovery: DiscoveryMode,
    ends_at: Nanos,
    /// A watch has ended that may have done so instead of telling a change, which counts then, out of reach or not.
    ended_until: Option<Nanos>,
    /// The service that is in use has been left for another one, which has to be heard by then.
    moved_until: Option<Nanos>,
    /// A configuration is being read again that may name another service, which has to be heard by then.
    reload_until: Option<Nanos>,
}

impl Lease {
    /// One that has not begun: there has been no news yet.
    pub fn new(discovery: DiscoveryMode) -> Self {
        Self { discovery, ends_at: 0, ended_until: None, moved_until: None, reload_until: None }
    }

    /// When it ends, if there is no news.
    pub fn ends_at(&self) -> Nanos {
        let caps = [self.ended_until, self.moved_until, self.reload_until];
        caps.into_iter().flatten().fold(self.ends_at, Nanos::min)
    }

    /// There was news by the service in use, if only that nothing has changed.
    pub fn renew(&mut self, now: Nanos) {
        self.ends_at = after(now, TOLD_AFTER);
        (self.ended_until, self.moved_until) = (None, None);
    }

    /// The list is used although nothing has confirmed it, until there is news.
    pub fn assume(&mut self) {
        self.ends_at = Nanos::MAX;
    }

    /// The service has ended a watch in order: instead of telling a change, maybe.
    pub fn watch_ended(&mut self, now: Nanos) {
        match self.discovery {
            DiscoveryMode::Poll { .. } => {
                self.ended_until.get_or_insert(after(now, WATCH_END_TOLD_AFTER));
            }
            DiscoveryMode::Push => self.end_by(now),
        }
    }

    /// The connection of a watch has failed between two lines. An agent may have a change since, which counts at once.
    pub fn watch_broken(&mut self, now: Nanos) {
        if self.discovery == DiscoveryMode::Push {
            self.end_by(now);
        }
    }

    /// An answer or a line has come in part, and will not come whole: what was written may have been a change.
    pub fn news_lost(&mut self, now: Nanos) {
        self.end_by(now);
    }

    /// It is seen now that discovery was out of reach at a time: spans that are not over yet begin anew with its return. One
    /// that is over stays over, until there is news, but for that of an agent, whose watch ended as it went down.
    pub fn out_of_reach(&mut self, now: Nanos, at: Nanos) {
        if self.discovery == DiscoveryMode::Push {
            self.agent_down(at);
        }
        if now >= self.ends_at() {
            return;
        }
        self.ends_at = self.ends_at.max(after(at, TOLD_AFTER));
        self.moved_until = self.moved_until.map(|until| until.max(after(at, MOVE_TOLD_AFTER)));
    }

    /// An agent was down at this time, and when its watch ended: it answers at once, and has not.
    pub fn agent_down(&mut self, at: Nanos) {
        self.ends_at = self.ends_at.max(after(at, TOLD_AFTER));
    }

    /// A configuration begins to be read again after a signal.
    pub fn reload_begins(&mut self, now: Nanos) {
        self.reload_until.get_or_insert(after(now, MOVE_TOLD_AFTER));
    }

    /// The configuration that was read again is taken, or turned down for good.
    pub fn reload_settled(&mut self) {
        self.reload_until = None;
    }

    /// The service has been left for another one.
    pub fn service_moved(&mut self, now: Nanos) {
        let until = self.reload_until.unwrap_or(after(now, MOVE_TOLD_AFTER));
        self.moved_until = Some(until);
    }

    fn end_by(&mut self, at: Nanos) {
        self.ends_at = self.ends_at.min(at);
    }
}

/// The end of a span that began then, early enough to act by it.
fn after(begun: Nanos, span: Nanos) -> Nanos {
    begun.saturating_add(span - SAFETY)
}
