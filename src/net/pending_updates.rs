//! Checks for pending endpoint list updates before anything new is sent.
//!
//! The machine or a stop signal may suspend the process at any point for longer than the grace period of the drain
//! rule. When the process resumes, coroutines that were ready before run first: they would write frames before the
//! worker polls its sockets, while updates of the endpoint list are unread in one of them. A frame is therefore started
//! only within [`CHECK_VALIDITY`] of a moment at which no update was unread and the core had applied all updates read.
//! If that moment is longer ago, the connections to discovery are checked first, without blocking. If one of them has
//! bytes, the frame waits until the reader has read them and the core has applied the updates.
//!
//! A check costs one system call for each connection to discovery, at most once per [`CHECK_VALIDITY`] while frames are
//! sent.

use std::io;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, Weak};
use std::time::Duration;

use crate::api::Nanos;
use crate::runtime::{lock, nanos, sleep, Clock, Stream};

/// How long the result of a check is valid. The sum with the 0.15 s for which a process may be suspended right before a
/// write stays below the grace period of 0.25 s.
pub const CHECK_VALIDITY: Duration = Duration::from_millis(40);

/// Pause between checks while an update is pending. The worker polls for events only when no coroutine is runnable, so
/// that a yield without a pause would keep the reader from running.
const RECHECK_INTERVAL: Duration = Duration::from_millis(1);

/// Maximum wait for pending updates, so that a service that sends updates continuously does not block sends.
const WAIT_MAX: Duration = Duration::from_millis(200);

/// Tracks updates that discovery has sent and the core has not applied; clones share the state.
#[derive(Debug, Clone, Default)]
pub struct PendingUpdates(Arc<Shared>);

#[derive(Debug, Default)]
struct Shared {
    /// Open connections to discovery.
    connections: Mutex<Vec<Weak<WatchedConnection>>>,
    /// Number of updates that were read and that the core has not applied yet.
    unapplied_updates: AtomicUsize,
    /// Time of the last check that found no pending update.
    current_at: AtomicU64,
}

impl PendingUpdates {
    /// Adds a connection to the checks until the returned value is dropped. All reads must go through that value.
    pub fn watch(&self, stream: Arc<Stream>) -> Arc<WatchedConnection> {
        let watched = Arc::new(WatchedConnection { stream, is_reading: AtomicBool::new(false) });
        let mut connections = lock(&self.0.connections);
        connections.retain(|connection| connection.strong_count() > 0);
        connections.push(Arc::downgrade(&watched));
        watched
    }

    /// Registers an update that was read as pending until the returned guard is dropped.
    pub fn begin_update(&self) -> PendingUpdate {
        self.0.unapplied_updates.fetch_add(1, Ordering::SeqCst);
        PendingUpdate(self.clone())
    }

    /// Returns whether the last check without pending updates is recent enough to start a new send.
    pub fn is_current(&self, now: Nanos) -> bool {
        now.saturating_sub(self.0.current_at.load(Ordering::Acquire)) < nanos(CHECK_VALIDITY)
    }

    /// Waits until pending updates have been read and applied by the core, for 200 ms at most. Returns at once if there
    /// are none.
    pub fn wait_until_current(&self, clock: &Clock) {
        let start = clock.now();
        let mut now = start;
        while !self.is_current(now) {
            if self.is_pending() && now.saturating_sub(start) < nanos(WAIT_MAX) {
                sleep(RECHECK_INTERVAL);
                now = clock.now();
            } else {
                self.0.current_at.fetch_max(now, Ordering::AcqRel);
                return;
            }
        }
    }

    /// Returns whether an update is unread, being read, or not yet applied by the core. The order of the conditions
    /// matters: an update that was read before the first one is evaluated is detected by a later one.
    pub fn is_pending(&self) -> bool {
        let connections: Vec<_> = lock(&self.0.connections).iter().filter_map(Weak::upgrade).collect();
        connections.iter().any(|connection| connection.stream.has_unread())
            || connections.iter().any(|connection| connection.is_reading.load(Ordering::SeqCst))
            || self.0.unapplied_updates.load(Ordering::SeqCst) > 0
    }
}

/// Guard of an update that was read and that the core has not applied yet.
#[derive(Debug)]
pub struct PendingUpdate(PendingUpdates);

impl Drop for PendingUpdate {
    fn drop(&mut self) {
        self.0 .0.unapplied_updates.fetch_sub(1, Ordering::SeqCst);
    }
}

/// A connection to discovery that is checked for unread updates. Only one coroutine reads it.
#[derive(Debug)]
pub struct WatchedConnection {
    stream: Arc<Stream>,
    /// Whether bytes may have been read whose updates are not registered as pending yet.
    is_reading: AtomicBool,
}

impl WatchedConnection {
    /// Reads, and waits up to `timeout` for bytes. The caller must have registered the updates of the previous read.
    ///
    /// # Errors
    /// `TimedOut`, or the connection has failed.
    pub fn read(&self, buf: &mut [u8], timeout: Duration) -> io::Result<usize> {
        self.stream
            .read_observed(buf, timeout, |is_reading| self.is_reading.store(is_reading, Ordering::SeqCst))
    }
}

#[cfg(test)]
mod tests;
