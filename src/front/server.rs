//! Client connections of both fronts: a coroutine that reads requests and one with a mailbox that writes
//! answers. A front says what each request comes to.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use may::net::TcpListener;
use may::sync::mpsc::{channel, Sender};

use crate::api::QueryId;
use crate::counters::Counters;
use crate::limits::Limits;
use crate::net::core::Core;
use crate::net::http::{self, BadMessage, Request};
use crate::net::io::{spawn, Permits, Stream};

/// Open connections, and whether each has a request that is not answered.
type Connections = HashMap<u64, (Arc<Stream>, Arc<AtomicBool>)>;

/// Whether the process serves, drains or closes: shared by all connections.
#[derive(Debug, Default)]
pub struct Service {
    /// SIGTERM has come.
    draining: AtomicBool,
    /// Connections are closed after their answers.
    closing: AtomicBool,
    /// Requests read and not yet answered.
    busy: AtomicUsize,
    connections: Mutex<Connections>,
    next: AtomicUsize,
}

impl Service {
    /// Whether SIGTERM has come.
    pub fn draining(&self) -> bool {
        self.draining.load(Ordering::Acquire)
    }

    /// SIGTERM has come: health says so, everything else goes on.
    pub fn drain(&self) {
        self.draining.store(true, Ordering::Release);
    }

    /// Requests read and not yet answered.
    pub fn busy(&self) -> usize {
        self.busy.load(Ordering::Acquire)
    }

    /// Connections close after their answers; those at rest are closed now. Returns whether nothing is held
    /// any more: no request, and nothing that has come and is not yet read.
    pub fn close_idle(&self) -> bool {
        self.closing.store(true, Ordering::Release);
        let open = self.connections.lock().unwrap_or_else(PoisonError::into_inner);
        let mut unread = false;
        for (stream, _) in open.values().filter(|c| !c.1.load(Ordering::Acquire)) {
            match stream.readable() {
                true => unread = true,
                false => stream.shut(),
            }
        }
        !unread && self.busy() == 0
    }
}

/// What a front makes of a request.
pub trait Front: Send + Sync + 'static {
    /// Answers through `answer`, at once or once the core has ended the query.
    fn serve(&self, request: Request, answer: Answer) -> Served;

    /// The answer to input that is no request.
    fn refuse(&self, bad: BadMessage) -> Reply;
}

/// How a request was served.
pub enum Served {
    /// Answered already.
    Now,
    /// Handed to the core as this query; the answer follows.
    Later(QueryId),
}

/// An answer, less the connection's lines.
#[derive(Debug, Clone, PartialEq)]
pub struct Reply {
    /// Status.
    pub status: u16,
    /// Content type.
    pub kind: &'static str,
    /// Further header lines, each ended by CR LF.
    pub more: String,
    /// Body.
    pub body: Vec<u8>,
}

impl Reply {
    /// A plain line of text.
    pub fn text(status: u16, text: &str) -> Self {
        Self { status, kind: "text/plain", more: String::new(), body: format!("{text}\n").into_bytes() }
    }

    /// The same with a further header line.
    #[must_use]
    pub fn with(mut self, name: &str, value: &str) -> Self {
        self.more.push_str(&format!("{name}: {value}\r\n"));
        self
    }
}

/// Where the answer to one request goes.
pub struct Answer {
    writer: Sender<Out>,
    keep_alive: bool,
    head: bool,
    busy: Busy,
}

/// A request that is read and not yet answered or given up; counted until it is dropped.
struct Busy {
    service: Arc<Service>,
    in_use: Arc<AtomicBool>,
}

impl Drop for Busy {
    fn drop(&mut self) {
        self.in_use.store(false, Ordering::Release);
        self.service.busy.fetch_sub(1, Ordering::AcqRel);
    }
}

impl Answer {
    /// Sends it.
    pub fn send(self, reply: Reply) {
        // A client that has left needs no answer.
        let Self { writer, keep_alive, head, busy } = self;
        let _ = writer.send(Out { reply, keep_alive, head, _busy: busy });
    }
}

struct Out {
    reply: Reply,
    keep_alive: bool,
    head: bool,
    _busy: Busy,
}

/// What a front's connections share.
#[derive(Clone)]
pub struct Shared {
    /// The core.
    pub core: Core,
    /// Limits.
    pub limits: Arc<Limits>,
    /// The state of the process.
    pub service: Arc<Service>,
    /// Client connections of all fronts.
    pub permits: Permits,
}

/// Listens, and starts to accept.
///
/// # Errors
/// The address cannot be listened at.
pub fn listen(addr: SocketAddr, front: Arc<dyn Front>, shared: Shared) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind(addr)?;
    let local = listener.local_addr()?;
    spawn("accept", shared.limits.stack_words, move || loop {
        match listener.accept() {
            Ok((stream, _)) => accept(stream, &front, &shared),
            Err(e) => {
                // Never a busy loop, whatever the cause.
                log::warn!("accept: {e}");
                may::coroutine::sleep(Duration::from_millis(10));
            }
        }
    });
    Ok(local)
}

fn accept(stream: may::net::TcpStream, front: &Arc<dyn Front>, shared: &Shared) {
    let counters = &shared.core.counters;
    let Some(permit) = shared.permits.take() else {
        Counters::add(&counters.clients_refused);
        if let Ok(stream) = Stream::new(stream, None) {
            let reply = Reply::text(503, "too many connections").with("Retry-After", "1");
            let bytes = http::response(reply.status, reply.kind, &reply.more, &reply.body, false, false);
            // One try that does not wait: it is turned away in any case.
            let _ = stream.write_all(&bytes, Duration::ZERO);
        }
        return;
    };
    Counters::add(&counters.clients_accepted);
    let Ok(stream) = Stream::new(stream, Some(permit)) else { return };
    let (front, shared) = (front.clone(), shared.clone());
    spawn("client", shared.limits.stack_words, move || {
        let stream = Arc::new(stream);
        let in_use = Arc::new(AtomicBool::new(false));
        let key = shared.service.next.fetch_add(1, Ordering::Relaxed) as u64;
        let entry = (stream.clone(), in_use.clone());
        lock(&shared.service).insert(key, entry);
        Client { stream, in_use, front, shared: shared.clone() }.run();
        lock(&shared.service).remove(&key);
    });
}

/// Held for a few instructions and never over a yield.
fn lock(service: &Service) -> std::sync::MutexGuard<'_, Connections> {
    service.connections.lock().unwrap_or_else(PoisonError::into_inner)
}

struct Client {
    stream: Arc<Stream>,
    in_use: Arc<AtomicBool>,
    front: Arc<dyn Front>,
    shared: Shared,
}

const READ: usize = 4096;

impl Client {
    fn run(&self) {
        let (writer, outbox) = channel::<Out>();
        let (done, answered) = channel::<bool>();
        let (stream, within) = (self.stream.clone(), self.shared.limits.client_write);
        let service = self.shared.service.clone();
        spawn("client writer", self.shared.limits.stack_words, move || {
            for out in outbox.iter() {
                let open = out.keep_alive && !service.closing.load(Ordering::Acquire);
                let r = &out.reply;
                let bytes = http::response(r.status, r.kind, &r.more, &r.body, open, out.head);
                let open = stream.write_all(&bytes, within).is_ok() && open;
                if !open {
                    stream.shut();
                }
                drop(out);
                if done.send(open).is_err() {
                    return;
                }
            }
        });
        self.read(&writer, || answered.try_recv().ok(), || answered.recv().unwrap_or(false));
    }

    /// Reads requests to the end of the connection. `poll` and `wait` tell of answers written, and whether
    /// the connection stays open.
    fn read(&self, writer: &Sender<Out>, poll: impl Fn() -> Option<bool>, wait: impl Fn() -> bool) {
        let limits = &self.shared.limits;
        let mut held: Vec<u8> = Vec::new();
        let mut buf = vec![0; READ];
        let mut query: Option<QueryId> = None;
        let mut pending = false;
        let mut since = Instant::now();
        loop {
            if pending {
                if let Some(open) = poll() {
                    (pending, query) = (false, None);
                    if !open {
                        return;
                    }
                }
            }
            match if held.is_empty() { Ok(None) } else { http::parse_request(&held, limits) } {
                Ok(Some((request, used))) => {
                    // Requests sent ahead wait for the answers before them.
                    if pending && !wait() {
                        return;
                    }
                    held.drain(..used);
                    since = Instant::now();
                    (pending, query) = (true, self.serve(request, writer));
                    continue;
                }
                Ok(None) => {}
                Err(bad) => {
                    if pending && !wait() {
                        return;
                    }
                    Counters::add(&self.shared.core.counters.bad_requests);
                    self.answer(writer, false, false).send(self.front.refuse(bad));
                    wait();
                    return;
                }
            }
            let quiet = if held.is_empty() { limits.client_idle } else { limits.request_read };
            match self.stream.read(&mut buf, quiet) {
                Ok(0) => break,
                Ok(n) => {
                    if held.is_empty() {
                        since = Instant::now();
                    }
                    held.extend_from_slice(&buf[..n]);
                }
                Err(e) if matches!(e.kind(), io::ErrorKind::TimedOut | io::ErrorKind::WouldBlock) => {
                    if !pending {
                        break;
                    }
                }
                Err(_) => break,
            }
            if !held.is_empty() && !pending && since.elapsed() > limits.request_read {
                break;
            }
        }
        self.stream.shut();
        if let (true, Some(id), None) = (pending, query, poll()) {
            self.shared.core.gone(id);
        }
    }

    fn answer(&self, writer: &Sender<Out>, keep_alive: bool, head: bool) -> Answer {
        self.in_use.store(true, Ordering::Release);
        let service = self.shared.service.clone();
        service.busy.fetch_add(1, Ordering::AcqRel);
        Answer {
            writer: writer.clone(),
            keep_alive,
            head,
            busy: Busy { service, in_use: self.in_use.clone() },
        }
    }

    fn serve(&self, request: Request, writer: &Sender<Out>) -> Option<QueryId> {
        let answer = self.answer(writer, request.keep_alive, request.method == "HEAD");
        match self.front.serve(request, answer) {
            Served::Now => None,
            Served::Later(id) => Some(id),
        }
    }
}
