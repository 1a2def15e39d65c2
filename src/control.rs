//! The second address, for those who run the coordinator: readiness, figures, and emptying it.
//!
//! One call to a connection, each in a thread of its own with a small stack: nothing here waits for the worker that
//! serves clients, for the core's mailbox or for another caller. Callers that say nothing are bounded in count and
//! time; the one that has been here longest goes for a newcomer.

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

/// What the calls come to.
pub trait OperatorCommands: Send + Sync + 'static {
    /// Whether clients are taken; else why not, in a word.
    fn ready(&self) -> Result<(), &'static str>;
    /// The figures of one moment, a line each.
    fn figures(&self) -> String;
    /// Empties the coordinator; else why not, in a word.
    fn drain(&self) -> Result<(), &'static str>;
    /// Takes clients again; else why not, in a word.
    fn resume(&self) -> Result<(), &'static str>;
}

/// Who answers the calls at an address.
pub trait Calls: Send + Sync + 'static {
    /// The answer to one call, in a thread that may wait for it.
    fn answer(&self, request: &Request) -> Reply;
}

/// The calls of those who run the coordinator.
pub struct Operations<T>(pub T);

impl<T: OperatorCommands> Calls for Operations<T> {
    fn answer(&self, request: &Request) -> Reply {
        operate(&self.0, &request.method, &request.path)
    }
}

fn operate(operated: &dyn OperatorCommands, method: &str, path: &str) -> Reply {
    type Call = fn(&dyn OperatorCommands) -> Result<String, &'static str>;
    let (allowed, call): (&str, Call) = match path {
        "/ops/readiness" => ("GET", |o| o.ready().map(|()| "yes\n".into())),
        "/ops/stats" => ("GET", |o| Ok(o.figures())),
        "/ops/drain/start" => ("POST", |o| o.drain().map(|()| "yes\n".into())),
        "/ops/drain/stop" => ("POST", |o| o.resume().map(|()| "yes\n".into())),
        _ => return Reply::text(404, "no such call"),
    };
    if method != allowed && !(allowed == "GET" && method == "HEAD") {
        return Reply::text(405, &format!("this is called by {allowed}")).with("Allow", allowed);
    }
    match call(operated) {
        Ok(text) => Reply { body: text.into_bytes(), ..Reply::text(200, "") },
        Err(why) => Reply::text(503, &format!("no: {why}")),
    }
}

/// Connections that are open, the oldest first.
#[derive(Default)]
struct Open {
    next: u64,
    calls: VecDeque<(u64, Arc<TcpStream>)>,
}

#[derive(Clone)]
struct Callers {
    open: Arc<Mutex<Open>>,
    most: usize,
}

impl Callers {
    fn open(&self) -> MutexGuard<'_, Open> {
        lock(&self.open)
    }

    /// Lists a newcomer; where there are too many, the oldest is shut, and its thread ends.
    fn enter(&self, stream: &Arc<TcpStream>) -> Caller {
        let mut open = self.open();
        while open.calls.len() >= self.most {
            let Some((_, oldest)) = open.calls.pop_front() else { break };
            // One that has gone by itself needs no shutting.
            let _ = oldest.shutdown(Shutdown::Both);
        }
        let id = open.next;
        open.next += 1;
        open.calls.push_back((id, stream.clone()));
        Caller { callers: self.clone(), id }
    }
}

/// A caller's entry, taken out when its thread ends or was never started.
struct Caller {
    callers: Callers,
    id: u64,
}

impl Drop for Caller {
    fn drop(&mut self) {
        self.callers.open().calls.retain(|c| c.0 != self.id);
    }
}

const READ: usize = 1024;

/// Listens, and starts to answer, so many callers at once at most.
///
/// # Errors
/// The address cannot be listened at, or there is no thread.
pub fn start(
    addr: SocketAddr,
    calls: Arc<dyn Calls>,
    most: usize,
    limits: Arc<Limits>,
) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind(addr)?;
    let local = listener.local_addr()?;
    let callers = Callers { open: Arc::default(), most };
    let (clock, mut errors) =
        (Clock::start(), AcceptErrors::new("second address", nanos(limits.no_socket_log)));
    let accept = move || loop {
        let taken = listener.accept().and_then(|(stream, _)| {
            let stream = Arc::new(stream);
            let caller = callers.enter(&stream);
            let (calls, limits) = (calls.clone(), limits.clone());
            thread("call", SMALL_STACK, move || {
                // Whoever has left or is too slow needs no answer.
                let _ = call(&stream, &*calls, &limits);
                drop(caller);
            })
        });
        if let Err(e) = taken {
            std::thread::sleep(errors.met(clock.now(), &e));
        }
    };
    thread("control", SMALL_STACK, accept)?;
    Ok(local)
}

/// Reads one call and answers it.
fn call(stream: &TcpStream, calls: &dyn Calls, limits: &Limits) -> io::Result<()> {
    let end = Instant::now() + limits.control_read;
    stream.set_nodelay(true)?;
    stream.set_write_timeout(Some(limits.control_read))?;
    let (mut requests, mut buf) = (RequestReader::default(), [0; READ]);
    let mut head = false;
    let reply = loop {
        match requests.next(limits) {
            Ok(Some(request)) => {
                head = request.method == "HEAD";
                break calls.answer(&request);
            }
            Ok(None) => {}
            Err(bad) => break Reply::text(bad.status, bad.why),
        }
        match read_until(stream, &mut buf, end) {
            Ok(0) => return Ok(()),
            Ok(n) => requests.push(&buf[..n]),
            Err(e) if matches!(e.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut) => {
                break Reply::text(http::TOO_SLOW.status, http::TOO_SLOW.why);
            }
            Err(e) => return Err(e),
        }
    };
    let bytes = http::response(reply.status, reply.kind, &reply.more, &reply.body, false, head);
    (&mut &*stream).write_all(&bytes)?;
    stream.shutdown(Shutdown::Write)?;
    // Closing with bytes unread would reset the connection, and the caller might lose the answer.
    let end = Instant::now() + limits.control_linger;
    while read_until(stream, &mut buf, end)? > 0 {}
    Ok(())
}

/// Reads what comes until then. A wait with a time-out is interrupted where the process is stopped and goes on.
fn read_until(stream: &TcpStream, buf: &mut [u8], end: Instant) -> io::Result<usize> {
    loop {
        let left = end.saturating_duration_since(Instant::now());
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
