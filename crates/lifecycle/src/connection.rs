//! One client connection: what of a request is held on it, and when it may be closed.
//!
//! Its reader, its writer and those who close it go by this state alone: whoever reads takes note of what came in the
//! same step, and whoever closes looks at that first. So no request is served whose answer could not be written, and
//! none is cut off that has begun.

use crate::Time;

/// The machine.
#[derive(Debug, Clone)]
pub struct Connection {
    /// Since when nothing is owed on it: its last answer, or its beginning.
    since: Time,
    /// A whole request has come on it.
    asked: bool,
    /// The beginning of a request is held.
    part: bool,
    /// A request is read and not answered.
    request: bool,
    /// Since when nothing more is served on it.
    ended: Option<Time>,
    /// It has been shut for another to have its place.
    evicted: bool,
}

impl Connection {
    /// One that was accepted now.
    pub fn new(now: Time) -> Self {
        Self { since: now, asked: false, part: false, request: false, ended: None, evicted: false }
    }

    /// Bytes were read, or requests taken out of them: whether the beginning of one is held.
    pub fn part(&mut self, held: bool) {
        self.part = held;
    }

    /// A request has been read; returns whether it is to be answered.
    pub fn request(&mut self) -> bool {
        self.request = self.ended.is_none();
        self.asked |= self.request;
        self.request
    }

    /// The request is answered, or nobody waits for its answer.
    pub fn answered(&mut self, now: Time) {
        (self.request, self.since) = (false, now);
    }

    /// Ends it, unless a request is held, its beginning (where `halves` are not ended, too) or `unread` bytes. Returns
    /// whether it has ended.
    pub fn end(&mut self, now: Time, unread: bool, halves: bool) -> bool {
        if self.ended.is_none() && !self.request && (halves || !self.part) && !unread {
            self.ended = Some(now);
        }
        self.ended.is_some()
    }

    /// Ends it for another to have its place: the beginning of a request is no reason to stay. Returns whether it has.
    pub fn evict(&mut self, now: Time, unread: bool) -> bool {
        if self.request || unread && self.ended.is_none() {
            return false;
        }
        self.ended.get_or_insert(now);
        self.evicted = true;
        true
    }

    /// Since when nothing more is served on it.
    pub fn ended(&self) -> Option<Time> {
        self.ended
    }

    /// Whether it has been evicted.
    pub fn evicted(&self) -> bool {
        self.evicted
    }

    /// Whether a request is read and not answered.
    pub fn busy(&self) -> bool {
        self.request
    }

    /// Whether a whole request has come on it.
    pub fn asked(&self) -> bool {
        self.asked
    }

    /// For how long nothing has been owed on it.
    pub fn rested(&self, now: Time) -> Time {
        now.saturating_sub(self.since)
    }
}

#[cfg(test)]
mod tests;
