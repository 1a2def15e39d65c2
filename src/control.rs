//! The second address, for operators: readiness, figures, draining and resuming.
//!
//! One call to a connection, each in a thread of its own with a small stack: nothing here waits for the worker that
//! serves clients, for the core's mailbox or for another caller. Callers that send nothing are bounded in count and
//! time; the oldest connection is closed for a new one.

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

/// The commands of operators.
pub trait OperatorCommands: Send + Sync + 'static {
    /// Whether clients are accepted; else the reason, in a few words.
    fn ready(&self) -> Result<(), &'static str>;
    /// The figures of one moment, a line each.
    fn figures(&self) -> String;
    /// Drains the coordinator; else the reason why not, in a few words.
    fn drain(&self) -> Result<(), &'static str>;
    /// Accepts clients again; else the reason why not, in a few words.
    fn resume(&self) -> Result<(), &'static str>;
}

/// Answers the calls at an address.
pub trait Calls: Send + Sync + 'static {
    /// The answer to one call, in a thread that may wait for it.
    fn answer(&self, request: &Request) -> Reply;
}

/// Answers operators' calls by HTTP.
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
        "/ops/stats" => ("GET", |commands| Ok(commands.figures())),
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

/// The open connections of an address, bounded in count.
#[derive(Clone)]
struct Callers {
    open: Arc<Mutex<OpenCalls>>,
    max_open: usize,
}

/// The open connections, the oldest first.
#[derive(Default)]
struct OpenCalls {
    next_id: u64,
    connections: VecDeque<(u64, Arc<TcpStream>)>,
}

impl Callers {
    fn open(&self) -> MutexGuard<'_, OpenCalls> {
        lock(&self.open)
    }

    /// Adds a new connection; where there are too many, the oldest is shut, and its thread ends.
    fn add(&self, stream: &Arc<TcpStream>) -> Caller {
        let mut open = self.open();
        while open.connections.len() >= self.max_open {
            let Some((_, oldest)) = open.connections.pop_front() else { break };
            // One that its peer has closed needs no shutting.
            let _ = oldest.shutdown(Shutdown::Both);
        }
        let id = open.next_id;
        open.next_id += 1;
        open.connections.push_back((id, stream.clone()));
        Caller { callers: self.clone(), id }
    }
}

/// A caller's entry, removed when its thread ends or was never started.
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

/// Listens, and starts to answer, `max_calls` callers at once at most.
///
/// # Errors
/// The address cannot be listened at, or there is no thread.
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

/// Answers a call in a thread of its own.
fn start_call(
    stream: TcpStream,
    callers: &Callers,
    calls: Arc<dyn Calls>,
    limits: Arc<Limits>,
) -> io::Result<()> {
    let stream = Arc::new(stream);
    let caller = callers.add(&stream);
    thread("call", SMALL_STACK, move || {
        // A caller that has disconnected or is too slow needs no answer.
        let _ = serve_call(&stream, &*calls, &limits);
        drop(caller);
    })
}

/// Reads one call and answers it.
fn serve_call(stream: &TcpStream, calls: &dyn Calls, limits: &Limits) -> io::Result<()> {
    let deadline = Instant::now() + limits.control_read;
    stream.set_nodelay(true)?;
    stream.set_write_timeout(Some(limits.control_read))?;
    let Some((reply, is_head)) = read_and_answer(stream, calls, limits, deadline)? else { return Ok(()) };
    let bytes =
        http::response(reply.status, reply.content_type, &reply.extra_headers, &reply.body, false, is_head);
    (&mut &*stream).write_all(&bytes)?;
    stream.shutdown(Shutdown::Write)?;
    drain_input(stream, Instant::now() + limits.control_linger)
}

/// The answer to the call, and whether only its head is wanted; none where the caller has closed the connection.
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
                return Ok(Some((Reply::text(http::TOO_SLOW.status, http::TOO_SLOW.reason), false)));
            }
            Err(e) => return Err(e),
        }
    }
}

/// Reads and drops what the caller still sends: closing with bytes unread would reset the connection, and the caller
/// might lose the answer.
fn drain_input(stream: &TcpStream, deadline: Instant) -> io::Result<()> {
    let mut buffer = [0; READ_BYTES];
    while read_until(stream, &mut buffer, deadline)? > 0 {}
    Ok(())
}

/// Reads what comes before the deadline. A wait with a time-out is interrupted where the process is stopped and goes on.
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
