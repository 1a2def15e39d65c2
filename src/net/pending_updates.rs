//! Whether what discovery has written has been read and taken: checked before anything new goes out.
//!
//! A process may be held up at any point, by its machine or by a stop, for longer than the grace period of the drain
//! rule. As it goes on, what was ready before goes on as well: frames are written before the worker looks at its sockets
//! again, with updates of the endpoint list waiting in one of them. So a frame begins only within [`CHECK_VALIDITY`] of a
//! moment at which no update was waiting to be read, and the core had taken all that were read. Where that is longer ago,
//! the connections to discovery are checked first, without waiting; where one has bytes, its reader gets its turn, and
//! the core its own, before the frame.
//!
//! A check costs one system call for each connection to discovery, once in [`CHECK_VALIDITY`] at most while frames go
//! out.

use std::io;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, Weak};
use std::time::Duration;

use crate::api::Nanos;
use crate::runtime::{lock, nanos, Clock, Stream};

/// For so long after a check, there is no other. With the 0.15 s that a process may be held up right before a write, it
/// stays under the grace period of 0.25 s.
pub const CHECK_VALIDITY: Duration = Duration::from_millis(40);

/// Between two checks while an update is pending. The worker looks for events only once nothing is runnable, so that a
/// mere yield would keep the reader from its turn.
const RECHECK_INTERVAL: Duration = Duration::from_millis(1);

/// Updates that are still pending after this come from a service that sends without end: they hold nothing back for
/// longer.
const WAIT_MAX: Duration = Duration::from_millis(200);

/// Updates that discovery has written and the core has not taken; clones share them.
#[derive(Debug, Clone, Default)]
pub struct PendingUpdates(Arc<Shared>);

#[derive(Debug, Default)]
struct Shared {
    /// Connections to discovery that are being read.
    connections: Mutex<Vec<Weak<WatchedConnection>>>,
    /// Updates that were read, and that the core has not taken yet.
    read_updates: AtomicUsize,
    /// When a check last found nothing pending.
    current_at: AtomicU64,
}

impl PendingUpdates {
    /// Checks this connection, too, for as long as what is returned lives. It is read through that alone.
    pub fn watch(&self, stream: Arc<Stream>) -> Arc<WatchedConnection> {
        let watched = Arc::new(WatchedConnection { stream, is_reading: AtomicBool::new(false) });
        let mut connections = lock(&self.0.connections);
        connections.retain(|connection| connection.strong_count() > 0);
        connections.push(Arc::downgrade(&watched));
        watched
    }

    /// An update has been read: it is pending until what is returned is dropped.
    pub fn begin_update(&self) -> PendingUpdate {
        self.0.read_updates.fetch_add(1, Ordering::SeqCst);
        PendingUpdate(self.clone())
    }

    /// Whether the last check that found nothing pending is recent enough for something new to begin.
    pub fn is_current(&self, now: Nanos) -> bool {
        now.saturating_sub(self.0.current_at.load(Ordering::Acquire)) < nanos(CHECK_VALIDITY)
    }

    /// Returns once it holds: at once, or after pending updates have been read and taken by the core.
    pub fn wait_until_current(&self, clock: &Clock) {
        let begun = clock.now();
        let mut now = begun;
        while !self.is_current(now) {
            if self.is_pending() && now.saturating_sub(begun) < nanos(WAIT_MAX) {
                may::coroutine::sleep(RECHECK_INTERVAL);
                now = clock.now();
            } else {
                self.0.current_at.fetch_max(now, Ordering::AcqRel);
                return;
            }
        }
    }

    /// Whether an update waits to be read, or to be taken by the core. In this order: what was read before the first
    /// condition is evaluated is seen by the later ones.
    fn is_pending(&self) -> bool {
        let connections: Vec<_> = lock(&self.0.connections).iter().filter_map(Weak::upgrade).collect();
        connections.iter().any(|connection| connection.stream.has_unread())
            || connections.iter().any(|connection| connection.is_reading.load(Ordering::SeqCst))
            || self.0.read_updates.load(Ordering::SeqCst) > 0
    }
}

/// An update that was read, and that the core has not taken yet.
#[derive(Debug)]
pub struct PendingUpdate(PendingUpdates);

impl Drop for PendingUpdate {
    fn drop(&mut self) {
        self.0 .0.read_updates.fetch_sub(1, Ordering::SeqCst);
    }
}

/// A connection to discovery that one coroutine reads.
#[derive(Debug)]
pub struct WatchedConnection {
    stream: Arc<Stream>,
    /// Bytes may have been read whose updates are not handed on yet.
    is_reading: AtomicBool,
}

impl WatchedConnection {
    /// Waits until there is something to read, for so long at most. The updates in what was read before are handed on by
    /// then.
    ///
    /// # Errors
    /// `TimedOut`, or the connection has failed.
    pub fn read(&self, buf: &mut [u8], within: Duration) -> io::Result<usize> {
        self.stream
            .read_observed(buf, within, |is_reading| self.is_reading.store(is_reading, Ordering::SeqCst))
    }
}

#[cfg(test)]
mod tests;
