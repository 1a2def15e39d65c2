//! One client connection: what of a request has been read on it, and when it may be closed.
//!
//! Its reader, its writer and those who close it go by this state alone: whoever reads records what came in the same step,
//! and whoever closes looks at that first. So no request is served whose response could not be written, and none that has
//! begun is cut off.

use crate::Time;

/// The state of one client connection.
#[derive(Debug, Clone)]
pub struct Connection {
    /// Since when no response is owed on it: its last response, or its beginning.
    idle_since: Time,
    /// A complete request has come on it.
    has_served: bool,
    /// The beginning of a request has been read.
    has_partial_request: bool,
    /// A request is read and not answered.
    has_pending_request: bool,
    /// Since when nothing more is served on it.
    ended_at: Option<Time>,
    /// It was closed to make room for another one.
    evicted: bool,
}

impl Connection {
    /// A connection that was accepted now.
    pub fn new(now: Time) -> Self {
        Self {
            idle_since: now,
            has_served: false,
            has_partial_request: false,
            has_pending_request: false,
            ended_at: None,
            evicted: false,
        }
    }

    /// Bytes were read, or requests taken out of them: whether the beginning of a request is left.
    pub fn set_partial_request(&mut self, is_partial: bool) {
        self.has_partial_request = is_partial;
    }

    /// A request has been read; returns whether it is to be answered.
    pub fn begin_request(&mut self) -> bool {
        self.has_pending_request = self.ended_at.is_none();
        self.has_served |= self.has_pending_request;
        self.has_pending_request
    }

    /// The request is answered, or nobody waits for its response.
    pub fn finish_request(&mut self, now: Time) {
        self.has_pending_request = false;
        self.idle_since = now;
    }

    /// Ends it, unless a request is pending, the beginning of one has been read (where `halves` are not ended, too) or
    /// `unread` bytes wait. Returns whether it has ended.
    pub fn end(&mut self, now: Time, unread: bool, halves: bool) -> bool {
        let partial_request_counts = self.has_partial_request && !halves;
        if self.ended_at.is_none() && !self.has_pending_request && !partial_request_counts && !unread {
            self.ended_at = Some(now);
        }
        self.ended_at.is_some()
    }

    /// Ends it to make room for another one: the beginning of a request does not keep it open. Returns whether it has
    /// ended.
    pub fn evict(&mut self, now: Time, unread: bool) -> bool {
        if self.has_pending_request || unread && self.ended_at.is_none() {
            return false;
        }
        self.ended_at.get_or_insert(now);
        self.evicted = true;
        true
    }

    /// Since when nothing more is served on it.
    pub fn ended(&self) -> Option<Time> {
        self.ended_at
    }

    /// Whether it has been evicted.
    pub fn evicted(&self) -> bool {
        self.evicted
    }

    /// Whether a request is read and not answered.
    pub fn has_pending_request(&self) -> bool {
        self.has_pending_request
    }

    /// Whether a complete request has come on it.
    pub fn has_served(&self) -> bool {
        self.has_served
    }

    /// For how long no response has been owed on it.
    pub fn idle_for(&self, now: Time) -> Time {
        now.saturating_sub(self.idle_since)
    }
}

#[cfg(test)]
mod tests;
