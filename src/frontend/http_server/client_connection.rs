//! A client connection, as it is shared by its reader, its writer and whoever closes it.

use std::io;
use std::sync::{Mutex, MutexGuard};

use curlewdeck_lifecycle::connection::Connection;

use crate::api::Nanos;
use crate::runtime::{lock, Stream};

/// Whether a connection on which the beginning of a request has been read may be ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum PartialRequest {
    /// It stays open until the request is complete.
    KeepsOpen,
    /// It is ended all the same.
    IsDropped,
}

/// The stream of a client connection, and the state by which it may be closed.
pub(super) struct ClientConnection {
    pub(super) stream: Stream,
    state: Mutex<Connection>,
}

impl ClientConnection {
    /// A connection that was accepted at `now`.
    pub(super) fn new(stream: Stream, now: Nanos) -> Self {
        Self { stream, state: Mutex::new(Connection::new(now)) }
    }

    /// The state. The guard must not be held over a yield of the coroutine.
    pub(super) fn state(&self) -> MutexGuard<'_, Connection> {
        lock(&self.state)
    }

    /// Reads what has been received, without waiting, and records it under the same lock.
    pub(super) fn read(&self, buffer: &mut [u8]) -> io::Result<usize> {
        let mut state = self.state();
        let read = self.stream.try_read(buffer)?;
        if read > 0 {
            state.set_partial_request(true);
        }
        Ok(read)
    }

    /// Shuts the sending side down, unless any part of a request has been received. Its reader goes on to drop what is
    /// received, so that the connection is not closed over unread bytes. Returns whether it has ended.
    pub(super) fn end(&self, now: Nanos) -> bool {
        self.end_with(now, PartialRequest::KeepsOpen)
    }

    /// As [`Self::end`], with a choice about partial requests.
    pub(super) fn end_with(&self, now: Nanos, partial: PartialRequest) -> bool {
        let mut state = self.state();
        let had_ended = state.ended().is_some();
        let drops_partial = partial == PartialRequest::IsDropped;
        let has_ended = state.end(now, self.stream.is_readable(), drops_partial);
        if has_ended && !had_ended {
            self.stream.shutdown_write();
        }
        has_ended
    }

    /// Closes it to make room for another connection, unless a request has been received. Returns whether it was
    /// closed.
    pub(super) fn evict(&self, now: Nanos) -> bool {
        let evicted = self.state().evict(now, self.stream.is_readable());
        if evicted {
            self.stream.shutdown();
        }
        evicted
    }

    /// Whether the client is still connected, as far as can be told without reading.
    pub(super) fn is_client_connected(&self) -> bool {
        self.stream.is_open()
    }
}
