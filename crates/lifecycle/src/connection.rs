//! The state of one client connection: how much of a request has been read, and whether the connection may be closed.
//!
//! The reader, the writer and the code that closes connections all rely on this state alone. The reader records the
//! data in the same step in which it reads, and a close checks the record first. So no request is served if its
//! response could not be written, and no request that has begun is cut off.

use crate::Time;

/// The state of one client connection.
#[derive(Debug, Clone)]
pub struct Connection {
    /// When the last response was completed, or the connection was accepted.
    idle_since: Time,
    /// A complete request has been received.
    has_served: bool,
    /// Several complete requests have been received.
    is_reused: bool,
    /// An incomplete request has been read.
    has_partial_request: bool,
    /// A complete request has been read and not answered.
    has_pending_request: bool,
    /// When the connection ended; no request is served after that.
    ended_at: Option<Time>,
    /// The connection was closed in favor of a new one.
    is_evicted: bool,
}

impl Connection {
    /// Creates the state of a connection accepted at `now`.
    pub fn new(now: Time) -> Self {
        Self {
            idle_since: now,
            has_served: false,
            is_reused: false,
            has_partial_request: false,
            has_pending_request: false,
            ended_at: None,
            is_evicted: false,
        }
    }

    /// Records whether an incomplete request remains after bytes were read or requests were parsed.
    pub fn set_partial_request(&mut self, is_partial: bool) {
        self.has_partial_request = is_partial;
    }

    /// Records a complete request. Returns whether it must be answered; `false` if the connection has ended.
    pub fn begin_request(&mut self) -> bool {
        self.has_pending_request = self.ended_at.is_none();
        self.is_reused |= self.has_pending_request && self.has_served;
        self.has_served |= self.has_pending_request;
        self.has_pending_request
    }

    /// Records that the pending request was answered or that its client no longer waits for the response.
    pub fn finish_request(&mut self, now: Time) {
        self.has_pending_request = false;
        self.idle_since = now;
    }

    /// Ends the connection unless a request is pending, `unread` bytes are waiting, or a request is incomplete and
    /// `drop_partial_request` is not set. Returns whether the connection has ended, now or before.
    pub fn end(&mut self, now: Time, unread: bool, drop_partial_request: bool) -> bool {
        let partial_request_blocks = self.has_partial_request && !drop_partial_request;
        if self.ended_at.is_none() && !self.has_pending_request && !partial_request_blocks && !unread {
            self.ended_at = Some(now);
        }
        self.ended_at.is_some()
    }

    /// Evicts the connection in favor of a new one unless a request is pending or, on an open connection, `unread`
    /// bytes are waiting. An incomplete request does not prevent this. Returns whether the connection was evicted.
    pub fn evict(&mut self, now: Time, unread: bool) -> bool {
        if self.has_pending_request || unread && self.ended_at.is_none() {
            return false;
        }
        self.ended_at.get_or_insert(now);
        self.is_evicted = true;
        true
    }

    /// When the connection ended; `None` while it is open.
    pub fn ended_at(&self) -> Option<Time> {
        self.ended_at
    }

    /// Whether the connection was closed in favor of a new one.
    pub fn is_evicted(&self) -> bool {
        self.is_evicted
    }

    /// Whether a complete request has been read and not answered.
    pub fn has_pending_request(&self) -> bool {
        self.has_pending_request
    }

    /// Whether a complete request was received before the connection ended.
    pub fn has_served(&self) -> bool {
        self.has_served
    }

    /// Whether several complete requests were received before the connection ended.
    pub fn is_reused(&self) -> bool {
        self.is_reused
    }

    /// The time since the last response was completed, or since the connection was accepted.
    pub fn idle_for(&self, now: Time) -> Time {
        now.saturating_sub(self.idle_since)
    }
}

#[cfg(test)]
mod tests;
