//! One call to discovery: a snapshot where that is asked for, and a watch that follows until its connection ends.
//!
//! A call keeps no time of its own but for its dial: the actor shuts its connection when it is given up.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use curlewdeck_membership::{CallEnd, CallId, Request, CALL_LIFETIME};
use may::sync::mpsc::Sender;

use crate::limits::Limits;
use crate::net::dial_error::is_own_lack;
use crate::net::endpoints::{DiscoveryUpdate, LineError, Objects, WatchEvent};
use crate::net::http::{self, Chunks};
use crate::net::messages::{CallError, DiscoveryMessage};
use crate::net::pending_updates::{PendingUpdates, WatchedConnection};
use crate::runtime::Stream;

const READ: usize = 4096;
/// Longer than any call is silent: the actor has given it up by then.
const READ_WITHIN: Duration = Duration::from_nanos(2 * CALL_LIFETIME);
const PATH: &str = "/catalog/members";

const STATUS_OK: u16 = 200;
const STATUS_BUSY: u16 = 503;

/// A call that is to be made.
pub(super) struct Call {
    pub(super) id: CallId,
    pub(super) request: Request,
    pub(super) address: SocketAddr,
    pub(super) actor: Sender<DiscoveryMessage>,
    pub(super) limits: Arc<Limits>,
    pub(super) freshness: PendingUpdates,
}

impl Call {
    /// Makes the call; returns how it has ended.
    pub(super) fn run(self) -> CallError {
        self.talk().err().unwrap_or_else(watch_ended)
    }

    fn tell(&self, message: DiscoveryMessage) {
        // The actor outlives its calls.
        let _ = self.actor.send(message);
    }

    fn talk(&self) -> Result<(), CallError> {
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
            Stream::dial(&self.address, self.limits.discovery_call, None).map_err(|e| CallError {
                end: if is_own_lack(&e) { CallEnd::LocalFailure } else { CallEnd::Unreachable },
                why: format!("no connection: {e}"),
            })?;
        let stream = Arc::new(stream);
        self.tell(DiscoveryMessage::Up(self.id, stream.clone()));
        let followed = self.freshness.follow(stream.clone());
        Ok(Connection { stream, followed })
    }

    /// Reads the whole list; returns its version, and whether the connection can be asked again.
    fn snapshot(&self, connection: &Connection) -> Result<(u64, bool), CallError> {
        let (head, held) = self.ask(connection, PATH)?;
        let (body, ended) = self.body(connection, &head, held)?;
        let read = DiscoveryUpdate::read(&body).map_err(unreadable)?;
        let update = DiscoveryUpdate { complete: true, ..read };
        let version = update.version;
        self.tell(DiscoveryMessage::Update(self.id, update, self.freshness.news()));
        Ok((version, !ended && head.keep_alive()))
    }

    /// Follows what changes after a version.
    fn watch(&self, connection: &Connection, since: u64) -> Result<(), CallError> {
        let (head, held) = self.ask(connection, &format!("{PATH}?stream=1&index={since}"))?;
        if head.chunked() || head.until_end() {
            return self.follow(connection, &head, held);
        }
        // A service without watches answers with what there is to tell by now.
        let (body, _) = self.body(connection, &head, held)?;
        let mut objects = Objects::default();
        objects.held().extend_from_slice(&body);
        self.tell_all(&mut objects)?;
        Err(CallError { end: CallEnd::Complete, why: "it was answered without a watch".to_string() })
    }

    /// Sends a request; returns the answer's head, if it is a yes, and what has come of its body.
    fn ask(&self, connection: &Connection, target: &str) -> Result<(http::Head, Vec<u8>), CallError> {
        let request = format!("GET {target} HTTP/1.1\r\nHost: {}\r\n\r\n", self.address);
        let asked = connection.stream.write_all(request.as_bytes(), self.limits.node_write);
        asked.map_err(|e| unanswered(format!("cannot ask: {e}")))?;
        let mut held = Vec::new();
        let head = loop {
            if let Some((head, size)) = http::parse_head(&held, &self.limits).map_err(|e| truncated(e.why))? {
                held.drain(..size);
                break head;
            }
            let begun = !held.is_empty();
            match connection.fill(&mut held) {
                Ok(true) => {}
                Ok(false) if begun => return Err(truncated(ENDED)),
                Ok(false) => return Err(unanswered(ENDED.to_string())),
                Err(why) if begun => return Err(truncated(&why)),
                Err(why) => return Err(unanswered(why)),
            }
        };
        let why = || format!("answered {}", head.status);
        match head.status {
            STATUS_OK => Ok((head, held)),
            STATUS_BUSY => Err(CallError { end: CallEnd::Busy, why: why() }),
            _ => Err(CallError { end: CallEnd::Rejected, why: why() }),
        }
    }

    /// Reads a body to its end; tells whether the connection has ended with it. A reset is no end.
    fn body(
        &self,
        connection: &Connection,
        head: &http::Head,
        mut held: Vec<u8>,
    ) -> Result<(Vec<u8>, bool), CallError> {
        let (most, mut ended) = (self.limits.discovery_object, false);
        loop {
            match head.body(&held, most).map_err(|e| truncated(e.why))? {
                Some((body, _)) => return Ok((body, ended)),
                None if ended && head.until_end() => return Ok((held, ended)),
                None if ended => return Err(truncated(ENDED)),
                None => ended = !connection.fill(&mut held).map_err(|why| truncated(&why))?,
            }
        }
    }

    /// Follows the objects of a watch. Only a whole object or an empty line is told: half a line does not show that the
    /// watch is alive, nor one that never ends.
    fn follow(&self, connection: &Connection, head: &http::Head, mut held: Vec<u8>) -> Result<(), CallError> {
        let (mut chunks, mut objects) = (Chunks::default(), Objects::default());
        let most = self.limits.discovery_object;
        loop {
            if head.chunked() {
                chunks.feed(&held, objects.held(), most).map_err(|e| truncated(e.why))?;
            } else {
                objects.held().extend_from_slice(&held);
            }
            held.clear();
            self.tell_all(&mut objects)?;
            if chunks.done() {
                return Ok(());
            }
            let within_line = objects.within_object() || chunks.within_chunk();
            match connection.fill(&mut held) {
                Ok(true) => {}
                Ok(false) if within_line => return Err(truncated(ENDED)),
                Ok(false) => return Ok(()),
                Err(why) if within_line => return Err(truncated(&why)),
                Err(why) => return Err(broken(&why)),
            }
        }
    }

    /// Tells all that can be read; what cannot may have been a change, and only a snapshot makes up for it.
    fn tell_all(&self, objects: &mut Objects) -> Result<(), CallError> {
        let mut lost = Ok(());
        while let Some(event) = objects.next(self.limits.discovery_object).map_err(unreadable)? {
            match event {
                WatchEvent::Update(update) => {
                    self.tell(DiscoveryMessage::Update(self.id, update, self.freshness.news()));
                }
                WatchEvent::Heartbeat => {
                    self.tell(DiscoveryMessage::Heartbeat(self.id, self.freshness.news()))
                }
                WatchEvent::Unreadable(error) => lost = lost.and(Err(unreadable(error))),
            }
        }
        lost
    }
}

/// A connection that is shut with its last use, and looked at for unread news up to then.
struct Connection {
    stream: Arc<Stream>,
    followed: Arc<WatchedConnection>,
}

impl Connection {
    /// Reads on; returns whether anything came, or the peer has ended the connection. A reset is an error.
    fn fill(&self, held: &mut Vec<u8>) -> Result<bool, String> {
        let mut buffer = [0; READ];
        let count = self.followed.read(&mut buffer, READ_WITHIN).map_err(|e| format!("nothing came: {e}"))?;
        held.extend_from_slice(&buffer[..count]);
        Ok(count > 0)
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.stream.shut();
    }
}

const ENDED: &str = "the connection has ended";

fn broken(why: &str) -> CallError {
    CallError { end: CallEnd::Broken, why: why.to_string() }
}

fn watch_ended() -> CallError {
    CallError { end: CallEnd::WatchEnded, why: "the watch was ended".to_string() }
}

/// Something had begun to come, and is lost.
fn truncated(why: &str) -> CallError {
    CallError { end: CallEnd::Truncated, why: why.to_string() }
}

fn unanswered(why: String) -> CallError {
    CallError { end: CallEnd::Unanswered, why }
}

fn unreadable(error: LineError) -> CallError {
    CallError { end: CallEnd::Unreadable, why: format!("the list is not as expected: {error}") }
}
