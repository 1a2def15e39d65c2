//! Whether what discovery has written has been read and taken: looked at before anything new goes out.
//!
//! A process may be held up at any point, by its machine or by a stop, for longer than the grace of the drain rule. As
//! it goes on, what was ready before goes on as well: frames are written before the worker looks at its sockets again,
//! with news of the list waiting in one of them. So a frame begins only within [`FRESH`] of a moment at which nothing
//! of the list was waiting to be read, and the core had taken all that was read. Where that is longer ago, the
//! connections to discovery are looked at first, without waiting; where one has bytes, its reader gets its turn, and
//! the core its own, before the frame.
//!
//! A look costs one system call for each connection to discovery, once in [`FRESH`] at most while frames go out.

use std::io;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, Weak};
use std::time::Duration;

use crate::api::Nanos;
use crate::runtime::{lock, nanos, Clock, Stream};

/// For so long after a look, nothing is looked at again. With the 0.15 s that a process may be held up right before a
/// write, it stays under the grace of 0.25 s.
pub const FRESH: Duration = Duration::from_millis(40);

/// Between two looks at news that waits. The worker looks for events only once nothing is runnable, so that a mere
/// yield would keep the reader from its turn.
const PAUSE: Duration = Duration::from_millis(1);

/// News that still waits after this comes from a service that sends without end: it holds nothing back for longer.
const LONGEST: Duration = Duration::from_millis(200);

/// What is known of how fresh the list is; clones share it.
#[derive(Debug, Clone, Default)]
pub struct PendingUpdates(Arc<Shared>);

#[derive(Debug, Default)]
struct Shared {
    /// Connections to discovery that are being read.
    followed: Mutex<Vec<Weak<WatchedConnection>>>,
    /// Pieces of news that were read, and that the core has not taken yet.
    on_the_way: AtomicUsize,
    /// The list was fresh at this time.
    fresh_at: AtomicU64,
}

impl PendingUpdates {
    /// Looks at this connection, too, for as long as what is returned is held. It is read through that alone.
    pub fn follow(&self, stream: Arc<Stream>) -> Arc<WatchedConnection> {
        let follows = Arc::new(WatchedConnection { stream, reads: AtomicBool::new(false) });
        let mut followed = lock(&self.0.followed);
        followed.retain(|f| f.strong_count() > 0);
        followed.push(Arc::downgrade(&follows));
        follows
    }

    /// A piece of news that has been read: it counts as on its way until what is returned is dropped.
    pub fn news(&self) -> PendingUpdate {
        self.0.on_the_way.fetch_add(1, Ordering::SeqCst);
        PendingUpdate(self.clone())
    }

    /// Whether the last look is recent enough for something new to begin.
    pub fn holds(&self, now: Nanos) -> bool {
        now.saturating_sub(self.0.fresh_at.load(Ordering::Acquire)) < nanos(FRESH)
    }

    /// Returns once it holds: at once, or after what waits of the list has been read and taken by the core.
    pub fn establish(&self, clock: &Clock) {
        let begun = clock.now();
        let mut now = begun;
        while !self.holds(now) {
            if self.waits() && now.saturating_sub(begun) < nanos(LONGEST) {
                may::coroutine::sleep(PAUSE);
                now = clock.now();
            } else {
                self.0.fresh_at.fetch_max(now, Ordering::AcqRel);
                return;
            }
        }
    }

    /// Whether news waits to be read, or to be taken by the core. In this order: what was read before the first look is
    /// seen by the later ones.
    fn waits(&self) -> bool {
        let followed: Vec<_> = lock(&self.0.followed).iter().filter_map(Weak::upgrade).collect();
        followed.iter().any(|f| f.stream.holds_unread())
            || followed.iter().any(|f| f.reads.load(Ordering::SeqCst))
            || self.0.on_the_way.load(Ordering::SeqCst) > 0
    }
}

/// A piece of news that the core has not taken yet.
#[derive(Debug)]
pub struct PendingUpdate(PendingUpdates);

impl Drop for PendingUpdate {
    fn drop(&mut self) {
        self.0 .0.on_the_way.fetch_sub(1, Ordering::SeqCst);
    }
}

/// A connection to discovery that one coroutine reads.
#[derive(Debug)]
pub struct WatchedConnection {
    stream: Arc<Stream>,
    /// Bytes may have been read whose news is not told yet.
    reads: AtomicBool,
}

impl WatchedConnection {
    /// Waits until there is something to read, for so long at most. The news in what was read before is told by then.
    ///
    /// # Errors
    /// `TimedOut`, or the connection has failed.
    pub fn read(&self, buf: &mut [u8], within: Duration) -> io::Result<usize> {
        self.stream.read_noting(buf, within, |reads| self.reads.store(reads, Ordering::SeqCst))
    }
}

#[cfg(test)]
mod tests;
