//! A client connection, shared by its reader, its writer, eviction and shutdown.

use std::io;
use std::sync::{Mutex, MutexGuard};

use curlewdeck_lifecycle::connection::Connection;

use crate::api::Nanos;
use crate::runtime::{lock, Stream};

/// What [`ClientConnection::end_with`] does with a connection that has received part of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum PartialRequestPolicy {
    /// Keeps the connection open until the request is complete.
    KeepOpen,
    /// Ends the connection and drops the partial request.
    Discard,
}

/// The stream of a client connection, and the state that decides whether it may be closed.
pub(super) struct ClientConnection {
    pub(super) stream: Stream,
    state: Mutex<Connection>,
}

impl ClientConnection {
    /// Creates the state of a connection that was accepted at `now`.
    pub(super) fn new(stream: Stream, now: Nanos) -> Self {
        Self { stream, state: Mutex::new(Connection::new(now)) }
    }

    /// Locks the state. The guard must not be held over a yield of the coroutine.
    pub(super) fn state(&self) -> MutexGuard<'_, Connection> {
        lock(&self.state)
    }

    /// Reads the received bytes without waiting. Marks the request as partially received under the same lock, so that
    /// [`Self::end`] cannot run between the read and the mark.
    pub(super) fn read(&self, buffer: &mut [u8]) -> io::Result<usize> {
        let mut state = self.state();
        let read = self.stream.try_read(buffer)?;
        if read > 0 {
            state.set_partial_request(true);
        }
        Ok(read)
    }

    /// Shuts down the sending side, unless any part of a request has been received. The reader then keeps reading and
    /// discards the bytes, so that the connection is not closed with unread bytes. Returns whether it has ended.
    pub(super) fn end(&self, now: Nanos) -> bool {
        self.end_with(now, PartialRequestPolicy::KeepOpen)
    }

    /// Like [`Self::end`], but `partial` decides about a partially received request.
    pub(super) fn end_with(&self, now: Nanos, partial: PartialRequestPolicy) -> bool {
        let mut state = self.state();
        let had_ended = state.ended_at().is_some();
        let discards_partial = partial == PartialRequestPolicy::Discard;
        let has_ended = state.end(now, self.stream.is_readable(), discards_partial);
        if has_ended && !had_ended {
            self.stream.shutdown_write();
        }
        has_ended
    }

    /// Closes the connection to free its slot, unless it has a pending request or has unread bytes that may begin one.
    /// Returns whether it was closed.
    pub(super) fn evict(&self, now: Nanos) -> bool {
        let evicted = self.state().evict(now, self.stream.is_readable());
        if evicted {
            self.stream.shutdown();
        }
        evicted
    }

    /// Whether the client is still connected, checked without consuming received bytes.
    pub(super) fn is_client_connected(&self) -> bool {
        self.stream.is_open()
    }
}
