//! The second address, for operators' calls: readiness, statistics, draining and resuming.
//!
//! Each connection carries one call and is served by a separate thread with a small stack. No call waits for the worker
//! that serves clients, for the core's mailbox or for another caller. The number and the duration of connections are
//! limited, which bounds silent callers; the oldest connection is closed for a new one.

use std::collections::VecDeque;
use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Instant;

use crate::frontend::accept::AcceptErrors;
use crate::frontend::http_server::Reply;
use crate::limits::Limits;
use crate::net::http::{self, Request, RequestReader};
use crate::runtime::{lock, nanos, thread, Clock, SMALL_STACK};

/// The commands that operators can call. They are called from threads that may block.
pub trait OperatorCommands: Send + Sync + 'static {
    /// Returns `Ok` if clients are accepted, or else the reason in a few words.
    fn ready(&self) -> Result<(), &'static str>;
    /// The current statistics, one a line.
    fn statistics(&self) -> String;
    /// Drains the coordinator. The error is the reason why it cannot, in a few words.
    fn drain(&self) -> Result<(), &'static str>;
    /// Ends the drain and accepts clients again. The error is the reason why it cannot, in a few words.
    fn resume(&self) -> Result<(), &'static str>;
}

/// The handler of all calls at an address.
pub trait Calls: Send + Sync + 'static {
    /// Answers a call. Runs in a separate thread, which may block.
    fn answer(&self, request: &Request) -> Reply;
}

/// Translates operators' HTTP calls into commands.
pub struct Operations<T>(pub T);

const STATUS_OK: u16 = 200;
const STATUS_NOT_FOUND: u16 = 404;
const STATUS_METHOD_NOT_ALLOWED: u16 = 405;
const STATUS_UNAVAILABLE: u16 = 503;

impl<T: OperatorCommands> Calls for Operations<T> {
    fn answer(&self, request: &Request) -> Reply {
        execute(&self.0, &request.method, &request.path)
    }
}

fn execute(commands: &dyn OperatorCommands, method: &str, path: &str) -> Reply {
    type Call = fn(&dyn OperatorCommands) -> Result<String, &'static str>;
    let (allowed, call): (&str, Call) = match path {
        "/ops/readiness" => ("GET", |commands| commands.ready().map(|()| "yes\n".into())),
        "/ops/stats" => ("GET", |commands| Ok(commands.statistics())),
        "/ops/drain/start" => ("POST", |commands| commands.drain().map(|()| "yes\n".into())),
        "/ops/drain/stop" => ("POST", |commands| commands.resume().map(|()| "yes\n".into())),
        _ => return Reply::text(STATUS_NOT_FOUND, "no such call"),
    };
    if method != allowed && !(allowed == "GET" && method == "HEAD") {
        let text = format!("this is called by {allowed}");
        return Reply::text(STATUS_METHOD_NOT_ALLOWED, &text).with_header("Allow", allowed);
    }
    match call(commands) {
        Ok(text) => Reply { body: text.into_bytes(), ..Reply::text(STATUS_OK, "") },
        Err(reason) => Reply::text(STATUS_UNAVAILABLE, &format!("no: {reason}")),
    }
}

/// The open connections of an address, up to a maximum number.
#[derive(Clone)]
struct Callers {
    open: Arc<Mutex<OpenCalls>>,
    max_open: usize,
}

/// The open connections with their ids, the oldest first.
#[derive(Default)]
struct OpenCalls {
    next_id: u64,
    connections: VecDeque<(u64, Arc<TcpStream>)>,
}

impl Callers {
    fn open(&self) -> MutexGuard<'_, OpenCalls> {
        lock(&self.open)
    }

    /// Adds a connection. If there are too many, shuts down the oldest one, whose thread then ends.
    fn add(&self, stream: &Arc<TcpStream>) -> Caller {
        let mut open = self.open();
        while open.connections.len() >= self.max_open {
            let Some((_, oldest)) = open.connections.pop_front() else { break };
            // Fails if the peer has already closed the connection.
            let _ = oldest.shutdown(Shutdown::Both);
        }
        let id = open.next_id;
        open.next_id += 1;
        open.connections.push_back((id, stream.clone()));
        Caller { callers: self.clone(), id }
    }
}

/// Removes the connection's entry when its thread ends or could not be started.
struct Caller {
    callers: Callers,
    id: u64,
}

impl Drop for Caller {
    fn drop(&mut self) {
        self.callers.open().connections.retain(|(id, _)| *id != self.id);
    }
}

const READ_BYTES: usize = 1024;

/// Listens at the address and answers up to `max_calls` concurrent calls. Returns the local address.
///
/// # Errors
/// Listening failed, or the accepting thread could not be started.
pub fn start(
    address: SocketAddr,
    calls: Arc<dyn Calls>,
    max_calls: usize,
    limits: Arc<Limits>,
) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind(address)?;
    let local = listener.local_addr()?;
    let callers = Callers { open: Arc::default(), max_open: max_calls };
    let clock = Clock::start();
    let mut errors = AcceptErrors::new("second address", nanos(limits.no_socket_log_interval));
    let accept = move || loop {
        let started = listener
            .accept()
            .and_then(|(stream, _)| start_call(stream, &callers, calls.clone(), limits.clone()));
        if let Err(e) = started {
            std::thread::sleep(errors.record(clock.now(), &e));
        }
    };
    thread("control", SMALL_STACK, accept)?;
    Ok(local)
}

/// Starts the thread that answers a call.
fn start_call(
    stream: TcpStream,
    callers: &Callers,
    calls: Arc<dyn Calls>,
    limits: Arc<Limits>,
) -> io::Result<()> {
    let stream = Arc::new(stream);
    let caller = callers.add(&stream);
    thread("call", SMALL_STACK, move || {
        // Fails if the caller has disconnected or is too slow; neither gets an answer.
        let _ = serve_call(&stream, &*calls, &limits);
        drop(caller);
    })
}

/// Reads a call, writes its answer and waits for the caller to close the connection.
fn serve_call(stream: &TcpStream, calls: &dyn Calls, limits: &Limits) -> io::Result<()> {
    let deadline = Instant::now() + limits.control_timeout;
    stream.set_nodelay(true)?;
    stream.set_write_timeout(Some(limits.control_timeout))?;
    let Some((reply, is_head)) = read_and_answer(stream, calls, limits, deadline)? else { return Ok(()) };
    let bytes =
        http::response(reply.status, reply.content_type, &reply.extra_headers, &reply.body, false, is_head);
    (&mut &*stream).write_all(&bytes)?;
    stream.shutdown(Shutdown::Write)?;
    drain_input(stream, Instant::now() + limits.control_linger)
}

/// Returns the answer to the call and whether it is a HEAD request; `None` if the caller has closed the connection.
fn read_and_answer(
    stream: &TcpStream,
    calls: &dyn Calls,
    limits: &Limits,
    deadline: Instant,
) -> io::Result<Option<(Reply, bool)>> {
    let (mut requests, mut buffer) = (RequestReader::default(), [0; READ_BYTES]);
    loop {
        match requests.next_request(limits) {
            Ok(Some(request)) => return Ok(Some((calls.answer(&request), request.method == "HEAD"))),
            Ok(None) => {}
            Err(bad) => return Ok(Some((Reply::text(bad.status, bad.reason), false))),
        }
        match read_until(stream, &mut buffer, deadline) {
            Ok(0) => return Ok(None),
            Ok(count) => requests.push(&buffer[..count]),
            Err(e) if matches!(e.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut) => {
                return Ok(Some((
                    Reply::text(http::REQUEST_TIMEOUT.status, http::REQUEST_TIMEOUT.reason),
                    false,
                )));
            }
            Err(e) => return Err(e),
        }
    }
}

/// Reads and drops further input. Closing a socket with unread input resets the connection, which may destroy the
/// answer before the caller has read it.
fn drain_input(stream: &TcpStream, deadline: Instant) -> io::Result<()> {
    let mut buffer = [0; READ_BYTES];
    while read_until(stream, &mut buffer, deadline)? > 0 {}
    Ok(())
}

/// Reads available input, waiting until the deadline at most. Retries interrupted reads: stopping and resuming the
/// process interrupts a read with a timeout.
fn read_until(stream: &TcpStream, buf: &mut [u8], deadline: Instant) -> io::Result<usize> {
    loop {
        let left = deadline.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Err(io::ErrorKind::TimedOut.into());
        }
        stream.set_read_timeout(Some(left))?;
        match (&mut &*stream).read(buf) {
            Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
            done => return done,
        }
    }
}
