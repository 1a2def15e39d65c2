//! One call to discovery: a snapshot if requested, then a watch until its connection ends.
//!
//! Only the dial has a time-out. To abandon a call, the actor shuts down its connection.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use curlewdeck_membership::{CallEnd, CallId, Request, CALL_LIFETIME};

use crate::limits::Limits;
use crate::net::dial_error::is_local_resource_error;
use crate::net::endpoints::{DiscoveryUpdate, LineError, WatchEvent, WatchParser};
use crate::net::http::{self, ChunkDecoder};
use crate::net::messages::{CallError, DiscoveryMessage};
use crate::net::pending_updates::{PendingUpdates, WatchedConnection};
use crate::runtime::{Sender, Stream};

const READ_BYTES: usize = 4096;
/// Twice the lifetime of a call: the actor abandons a silent call before this time-out.
const READ_TIMEOUT: Duration = Duration::from_nanos(2 * CALL_LIFETIME);
const PATH: &str = "/catalog/members";

const STATUS_OK: u16 = 200;
const STATUS_BUSY: u16 = 503;

const CONNECTION_CLOSED: &str = "connection closed by the service";

/// The parameters of a call that has not been made yet.
pub(super) struct Call {
    pub(super) id: CallId,
    pub(super) request: Request,
    pub(super) address: SocketAddr,
    pub(super) actor: Sender<DiscoveryMessage>,
    pub(super) limits: Arc<Limits>,
    pub(super) pending_updates: PendingUpdates,
}

impl Call {
    /// Makes the call; returns why it ended.
    pub(super) fn run(self) -> CallError {
        self.make().err().unwrap_or_else(watch_ended)
    }

    fn send_to_actor(&self, message: DiscoveryMessage) {
        // The send cannot fail: the actor outlives its calls.
        let _ = self.actor.send(message);
    }

    fn send_update(&self, update: DiscoveryUpdate) {
        self.send_to_actor(DiscoveryMessage::Update(self.id, update, self.pending_updates.begin_update()));
    }

    fn send_heartbeat(&self) {
        self.send_to_actor(DiscoveryMessage::Heartbeat(self.id, self.pending_updates.begin_update()));
    }

    /// Makes the call; returns `Ok` if the service ended the watch in order.
    fn make(&self) -> Result<(), CallError> {
        let mut connection = self.dial()?;
        let since = match self.request {
            Request::Watch { since } => since,
            Request::Snapshot => {
                let (version, reusable) = self.snapshot(&connection)?;
                if !reusable {
                    connection = self.dial()?;
                }
                version
            }
        };
        self.watch(&connection, since)
    }

    fn dial(&self) -> Result<Connection, CallError> {
        let stream =
            Stream::connect(&self.address, self.limits.discovery_call_timeout, None).map_err(|e| {
                CallError {
                    end: if is_local_resource_error(&e) {
                        CallEnd::LocalFailure
                    } else {
                        CallEnd::Unreachable
                    },
                    reason: format!("connection failed: {e}"),
                }
            })?;
        let stream = Arc::new(stream);
        self.send_to_actor(DiscoveryMessage::Connected(self.id, stream.clone()));
        let watched = self.pending_updates.watch(stream.clone());
        Ok(Connection { stream, watched })
    }

    /// Requests a snapshot; returns its version, and whether the connection can be reused for another request.
    fn snapshot(&self, connection: &Connection) -> Result<(u64, bool), CallError> {
        let (head, received) = self.request(connection, PATH)?;
        let (body, ended) = self.body(connection, &head, received)?;
        let read = DiscoveryUpdate::read(&body).map_err(unreadable)?;
        let update = DiscoveryUpdate { complete: true, ..read };
        let version = update.version;
        self.send_update(update);
        Ok((version, !ended && head.keep_alive()))
    }

    /// Watches for changes after version `since`.
    fn watch(&self, connection: &Connection, since: u64) -> Result<(), CallError> {
        let (head, received) = self.request(connection, &format!("{PATH}?stream=1&index={since}"))?;
        if head.is_chunked() || head.ends_with_connection() {
            return self.read_watch(connection, &head, received);
        }
        // A service without watches answers with the changes so far.
        let (body, _) = self.body(connection, &head, received)?;
        let mut parser = WatchParser::default();
        parser.buffer().extend_from_slice(&body);
        self.send_events(&mut parser)?;
        Err(CallError { end: CallEnd::Complete, reason: "the service answered without a watch".to_string() })
    }

    /// Sends a request; returns the head of a successful response and the bytes of its body received so far.
    fn request(&self, connection: &Connection, target: &str) -> Result<(http::Head, Vec<u8>), CallError> {
        let request = format!("GET {target} HTTP/1.1\r\nHost: {}\r\n\r\n", self.address);
        let written = connection.stream.write_all(request.as_bytes(), self.limits.node_write_timeout);
        written.map_err(|e| unanswered(format!("request could not be written: {e}")))?;
        let (head, body) = self.head(connection)?;
        let reason = || format!("HTTP status {}", head.status);
        match head.status {
            STATUS_OK => Ok((head, body)),
            STATUS_BUSY => Err(CallError { end: CallEnd::Busy, reason: reason() }),
            _ => Err(CallError { end: CallEnd::Rejected, reason: reason() }),
        }
    }

    /// Reads the head of a response; returns it and the bytes received after it.
    fn head(&self, connection: &Connection) -> Result<(http::Head, Vec<u8>), CallError> {
        let mut received = Vec::new();
        loop {
            let parsed = http::parse_head(&received, &self.limits).map_err(|e| truncated(e.reason))?;
            if let Some((head, size)) = parsed {
                received.drain(..size);
                return Ok((head, received));
            }
            let is_partial = !received.is_empty();
            match connection.read(&mut received) {
                Ok(true) if is_partial => {}
                Ok(true) => self.send_to_actor(DiscoveryMessage::Responding(self.id)),
                Ok(false) if is_partial => return Err(truncated(CONNECTION_CLOSED)),
                Ok(false) => return Err(unanswered(CONNECTION_CLOSED.to_string())),
                Err(reason) if is_partial => return Err(truncated(&reason)),
                Err(reason) => return Err(unanswered(reason)),
            }
        }
    }

    /// Reads a body to its end; returns it, and whether the service has closed the connection. A reset is an error.
    fn body(
        &self,
        connection: &Connection,
        head: &http::Head,
        mut received: Vec<u8>,
    ) -> Result<(Vec<u8>, bool), CallError> {
        let (max_bytes, mut ended) = (self.limits.max_update_bytes, false);
        loop {
            match head.body(&received, max_bytes).map_err(|e| truncated(e.reason))? {
                Some((body, _)) => return Ok((body, ended)),
                None if ended && head.ends_with_connection() => return Ok((received, ended)),
                None if ended => return Err(truncated(CONNECTION_CLOSED)),
                None => ended = !connection.read(&mut received).map_err(|reason| truncated(&reason))?,
            }
        }
    }

    /// Reads the events of a watch. Only a complete object or an empty line shows that the watch is alive; an
    /// incomplete line is not reported to the actor.
    fn read_watch(
        &self,
        connection: &Connection,
        head: &http::Head,
        mut received: Vec<u8>,
    ) -> Result<(), CallError> {
        let (mut decoder, mut parser) = (ChunkDecoder::default(), WatchParser::default());
        let max_bytes = self.limits.max_update_bytes;
        loop {
            if head.is_chunked() {
                decoder.decode(&received, parser.buffer(), max_bytes).map_err(|e| truncated(e.reason))?;
            } else {
                parser.buffer().extend_from_slice(&received);
            }
            received.clear();
            self.send_events(&mut parser)?;
            if decoder.is_done() {
                return Ok(());
            }
            let within_line = parser.is_within_object() || decoder.has_partial_chunk();
            match connection.read(&mut received) {
                Ok(true) => {}
                Ok(false) if within_line => return Err(truncated(CONNECTION_CLOSED)),
                Ok(false) => return Ok(()),
                Err(reason) if within_line => return Err(truncated(&reason)),
                Err(reason) => return Err(broken(&reason)),
            }
        }
    }

    /// Sends all readable events to the actor. Unreadable input may have been a change, so the call then fails: only a
    /// snapshot recovers such a change.
    fn send_events(&self, parser: &mut WatchParser) -> Result<(), CallError> {
        let mut result = Ok(());
        while let Some(event) = parser.next_event(self.limits.max_update_bytes).map_err(unreadable)? {
            match event {
                WatchEvent::Update(update) => self.send_update(update),
                WatchEvent::Heartbeat => self.send_heartbeat(),
                WatchEvent::Unreadable(error) => result = result.and(Err(unreadable(error))),
            }
        }
        result
    }
}

/// A connection that is checked for unread updates, and shut down when dropped.
struct Connection {
    stream: Arc<Stream>,
    watched: Arc<WatchedConnection>,
}

impl Connection {
    /// Waits for bytes and appends them; returns false if the service has closed the connection. A reset is an error.
    fn read(&self, received: &mut Vec<u8>) -> Result<bool, String> {
        let mut buffer = [0; READ_BYTES];
        let count = self.watched.read(&mut buffer, READ_TIMEOUT).map_err(|e| format!("read failed: {e}"))?;
        received.extend_from_slice(&buffer[..count]);
        Ok(count > 0)
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.stream.shutdown();
    }
}

fn broken(reason: &str) -> CallError {
    CallError { end: CallEnd::Broken, reason: reason.to_string() }
}

fn watch_ended() -> CallError {
    CallError { end: CallEnd::WatchEnded, reason: "the service ended the watch".to_string() }
}

/// The response ended before it was complete.
fn truncated(reason: &str) -> CallError {
    CallError { end: CallEnd::Truncated, reason: reason.to_string() }
}

fn unanswered(reason: String) -> CallError {
    CallError { end: CallEnd::Unanswered, reason }
}

fn unreadable(error: LineError) -> CallError {
    CallError { end: CallEnd::Unreadable, reason: format!("endpoint list is unreadable: {error}") }
}
