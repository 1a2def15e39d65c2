//! Client connections of both fronts: a coroutine that reads requests and one with a mailbox that writes
//! answers. A front says what each request comes to.

use std::cmp::Reverse;
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use curlewdeck_lifecycle::connection::Connection;
use curlewdeck_lifecycle::{Closing, Lifecycle};
use curlewdeck_listener::Inherited;
use may::net::TcpListener;
use may::sync::mpsc::{channel, Receiver, Sender};

use crate::api::{Nanos, QueryId};
use crate::counters::Counters;
use crate::engine;
use crate::frontend::accept::AcceptErrors;
use crate::frontend::arrival_times::ArrivalTimes;
use crate::limits::Limits;
use crate::net::coordinator::CoreHandle;
use crate::net::http::{self, BadMessage, Request, RequestReader};
use crate::net::log_limit::LogRateLimit;
use crate::net::messages::REQUEST_LOG_TARGET;
use crate::runtime::{lock, nanos, spawn, thread, Clock, Permit, Permits, Stream, SMALL_STACK};

/// A client's connection: its reader, its writer, and those that evict one or end the process, share it.
struct ClientConnection {
    stream: Stream,
    held: Mutex<Connection>,
}

impl ClientConnection {
    fn new(stream: Stream, now: Nanos) -> Self {
        Self { stream, held: Mutex::new(Connection::new(now)) }
    }

    /// Held for a few instructions and never over a yield.
    fn held(&self) -> MutexGuard<'_, Connection> {
        lock(&self.held)
    }

    /// Reads what is there, without waiting, and takes note of it in the same step.
    fn read(&self, buf: &mut [u8]) -> io::Result<usize> {
        let mut held = self.held();
        let n = self.stream.try_read(buf)?;
        if n > 0 {
            held.set_partial_request(true);
        }
        Ok(n)
    }

    /// Ends the way out, unless something of a request has come. Its reader drops what still comes, so that the
    /// connection is not closed over unread bytes. Returns whether it has ended.
    fn end(&self, now: Nanos) -> bool {
        self.end_with(now, false)
    }

    /// The same; whether also one that holds the beginning of a request.
    fn end_with(&self, now: Nanos, halves: bool) -> bool {
        let mut held = self.held();
        let before = held.ended().is_some();
        let ended = held.end(now, self.stream.is_readable(), halves);
        if ended && !before {
            self.stream.shutdown_write();
        }
        ended
    }

    /// Closes it for another to have its place, unless a request has come.
    fn evict(&self, now: Nanos) -> bool {
        let evicted = self.held().evict(now, self.stream.is_readable());
        if evicted {
            self.stream.shutdown();
        }
        evicted
    }

    /// Whether its client is there, as far as can be told without reading: at the end of what it sent, it has left.
    fn here(&self) -> bool {
        self.stream.is_open()
    }
}

/// What there is to say to a new connection for which another may have to go.
#[derive(Debug, PartialEq, Eq)]
enum Eviction {
    /// Some will be soon.
    Soon,
    /// All connections have open requests.
    None,
}

/// The life of the process and its client connections: shared by all fronts.
pub struct Service {
    clock: Clock,
    lifecycle: Mutex<Lifecycle>,
    /// Requests read and not yet answered.
    busy: AtomicUsize,
    connections: Mutex<HashMap<u64, Arc<ClientConnection>>>,
    next: AtomicU64,
    /// Bounds the log on clients that leave without their answer.
    unanswered: Mutex<LogRateLimit>,
}

impl Service {
    /// Starts, and has no connection; a line on clients that leave without their answer in `log_interval` at most.
    pub fn new(clock: Clock, lifecycle: Lifecycle, log_interval: Nanos) -> Self {
        Self {
            clock,
            lifecycle: Mutex::new(lifecycle),
            busy: AtomicUsize::default(),
            connections: Mutex::default(),
            next: AtomicU64::default(),
            unanswered: Mutex::new(LogRateLimit::new(log_interval)),
        }
    }

    /// The life of the process. Held for a few instructions and never over a yield.
    pub fn lifecycle(&self) -> MutexGuard<'_, Lifecycle> {
        lock(&self.lifecycle)
    }

    /// The time by which its life goes.
    pub fn now(&self) -> Nanos {
        self.clock.now()
    }

    /// Which connections are to be closed now.
    pub fn closing(&self) -> Closing {
        self.lifecycle().closing(self.now())
    }

    /// Why no new clients are wanted, in a word; nothing if they are.
    pub fn why_not(&self, core: &CoreHandle) -> Option<&'static str> {
        self.lifecycle()
            .not_serving_reason()
            .or_else(|| (!core.ready()).then_some("no data node is known yet"))
    }

    /// Requests read and not yet answered.
    pub fn busy(&self) -> usize {
        self.busy.load(Ordering::Acquire)
    }

    /// Ends the connections at rest, but for those that have come within `young` and whose first request may be on its
    /// way. What they still send is dropped for `linger` at most. Returns whether nothing is held any more: no request,
    /// none of those, no connection that lingers, and nothing that has come and is not whole. Drained, those with half a
    /// request are ended too; a process that finishes has nobody to come back to, and reads them on.
    pub fn close_idle(&self, young: Duration, linger: Duration) -> bool {
        let halves = !self.lifecycle().finishing();
        let (mut waits, now) = (false, self.clock.now());
        for connection in self.connections().values() {
            let (ended, may) = {
                let held = connection.held();
                (
                    held.ended(),
                    !held.has_pending_request() && (held.has_served() || held.idle_for(now) >= nanos(young)),
                )
            };
            match ended {
                Some(at) if now.saturating_sub(at) >= nanos(linger) => connection.stream.shutdown(),
                Some(_) => waits = true,
                None => {
                    if may {
                        connection.end_with(now, halves);
                    }
                    waits = true;
                }
            }
        }
        !waits && self.busy() == 0
    }

    /// Evicts one connection so that a new one finds a place: one that has ended and lingers; else the one that has
    /// rested longest after an answer, if for long; else the one that has been longest without a whole request; else the
    /// one that has rested longest. None with an open request, and none on which something has come that is not read
    /// yet.
    fn evict(&self, limits: &Limits) -> Eviction {
        let (now, open) = (self.clock.now(), self.connections());
        let mut free = Vec::new();
        for connection in open.values() {
            let held = connection.held();
            if held.evicted() {
                return Eviction::Soon;
            }
            let rested = held.idle_for(now);
            let kind = match held.has_served() {
                _ if held.ended().is_some() => 3,
                true if rested >= nanos(limits.client_evictable_idle) => 2,
                true => 0,
                false => 1,
            };
            if !held.has_pending_request() {
                free.push((kind, rested, connection));
            }
        }
        free.sort_unstable_by_key(|&(kind, rested, _)| Reverse((kind, rested)));
        let old = |kind, rested| kind == 3 || rested >= nanos(limits.client_evictable_silence);
        if free.iter().any(|&(kind, rested, connection)| old(kind, rested) && connection.evict(now)) {
            return Eviction::Soon;
        }
        // A place that no connection of the list holds belongs to one that has just ended.
        if free.is_empty() && open.len() >= limits.clients {
            Eviction::None
        } else {
            Eviction::Soon
        }
    }

    /// Held for a few instructions and never over a yield.
    fn connections(&self) -> MutexGuard<'_, HashMap<u64, Arc<ClientConnection>>> {
        lock(&self.connections)
    }
}

/// What a front makes of a request.
pub trait Frontend: Send + Sync + 'static {
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
    asked_at: Nanos,
    keep_alive: bool,
    head: bool,
    chunks: bool,
    busy: Busy,
}

/// The form that a request's answer takes; without a request, the connection's last one.
#[derive(Debug, Clone, Copy, Default)]
struct Form {
    keep_alive: bool,
    head: bool,
    chunks: bool,
}

/// A long body, made piece by piece as its client takes it.
pub type Pieces = Box<dyn Iterator<Item = Vec<u8>> + Send>;

/// A request that is read and not yet answered or given up; counted until it is dropped.
struct Busy {
    service: Arc<Service>,
    connection: Arc<ClientConnection>,
}

impl Drop for Busy {
    fn drop(&mut self) {
        self.connection.held().finish_request(self.service.clock.now());
        self.service.busy.fetch_sub(1, Ordering::AcqRel);
    }
}

impl Answer {
    /// Whoever waits for it.
    pub fn client(&self) -> engine::ClientLiveness {
        // What is on its way to data nodes keeps no connection open.
        let connection = Arc::downgrade(&self.busy.connection);
        engine::ClientLiveness::new(move || connection.upgrade().is_some_and(|c| c.here()))
    }

    /// When the last byte of its request came: its client's time runs from then on, however late its turn comes.
    pub fn asked_at(&self) -> Nanos {
        self.asked_at
    }

    /// Sends it.
    pub fn send(self, reply: Reply) {
        let Self { writer, keep_alive, head, busy, .. } = self;
        // A client that has left needs no answer.
        let _ = writer.send(Out { reply, pieces: None, keep_alive, head, _busy: busy });
    }

    /// Sends an answer whose body follows in pieces, one after the other as its client takes them. A client that
    /// cannot take chunks gets them as one.
    pub fn stream(self, mut reply: Reply, pieces: Pieces) {
        let Self { writer, keep_alive, head, chunks, busy, .. } = self;
        let pieces = if chunks {
            Some(pieces)
        } else {
            reply.body = pieces.flatten().collect();
            None
        };
        // A client that has left needs no answer.
        let _ = writer.send(Out { reply, pieces, keep_alive, head, _busy: busy });
    }
}

struct Out {
    reply: Reply,
    pieces: Option<Pieces>,
    keep_alive: bool,
    head: bool,
    _busy: Busy,
}

impl Out {
    /// Writes the answer; each of its pieces must be taken within this time.
    fn write(&mut self, stream: &Stream, open: bool, within: Duration) -> io::Result<()> {
        let r = &self.reply;
        let Some(pieces) = self.pieces.take() else {
            let bytes = http::response(r.status, r.kind, &r.more, &r.body, open, self.head);
            return stream.write_all(&bytes, within);
        };
        stream.write_all(&http::chunked_head(r.status, r.kind, &r.more, open), within)?;
        if self.head {
            return Ok(());
        }
        for piece in pieces {
            stream.write_all(&http::chunk(&piece), within)?;
        }
        stream.write_all(http::LAST_CHUNK, within)
    }
}

/// What a front's connections share.
#[derive(Clone)]
pub struct Shared {
    /// The core.
    pub core: CoreHandle,
    /// Limits.
    pub limits: Arc<Limits>,
    /// The state of the process.
    pub service: Arc<Service>,
    /// Client connections of all fronts.
    pub permits: Permits,
    /// Those that are turned away, and are told so without being reset.
    pub turned_away: Permits,
}

/// Listens, and starts to accept.
///
/// # Errors
/// The address cannot be listened at.
pub fn listen(addr: SocketAddr, front: Arc<dyn Frontend>, shared: Shared) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind(addr)?;
    let local = listener.local_addr()?;
    let mut errors = AcceptErrors::new("front", nanos(shared.limits.no_socket_log_interval));
    spawn("accept", shared.limits.stack_words, move || loop {
        match listener.accept() {
            Ok((stream, _)) => accept(stream, &front, &shared),
            Err(e) => {
                let pause = errors.met(shared.service.now(), &e);
                if !pause.is_zero() {
                    may::coroutine::sleep(pause);
                }
            }
        }
        // Under a flood of connections, those that are open are read all the same.
        may::coroutine::yield_now();
    })?;
    Ok(local)
}

/// The same at a socket that the process inherited, and that others may accept from: a thread waits for connections
/// and hands over one at a time, so that none is taken that could not be read; it ends when the process finishes.
///
/// # Errors
/// The socket is of no use, or there is no thread.
pub fn listen_inherited(
    inherited: Inherited,
    front: Arc<dyn Frontend>,
    shared: Shared,
) -> io::Result<SocketAddr> {
    let local = inherited.local_addr()?;
    let (service, limits) = (shared.service.clone(), shared.limits.clone());
    let (streams, accepted) = channel::<may::net::TcpStream>();
    let (done, next) = std::sync::mpsc::channel();
    spawn("accept", shared.limits.stack_words, move || {
        for stream in accepted.iter() {
            accept(stream, &front, &shared);
            if done.send(()).is_err() {
                return;
            }
        }
    })?;
    let mut errors = AcceptErrors::new("front", nanos(limits.no_socket_log_interval));
    let wait = move || loop {
        let accepted = match inherited.waits(ACCEPT_LOOK) {
            Ok(_) if service.lifecycle().finishing() => return,
            Ok(false) => Ok(None),
            Ok(true) => inherited.accept(),
            Err(e) => Err(e),
        };
        match accepted {
            Ok(Some(stream)) => {
                if streams.send(stream).is_err() || next.recv().is_err() {
                    return;
                }
            }
            Ok(None) => {}
            Err(e) => std::thread::sleep(errors.met(service.now(), &e)),
        }
    };
    thread("accept", SMALL_STACK, wait)?;
    Ok(local)
}

/// How soon the thread that accepts sees that the process finishes.
const ACCEPT_LOOK: Duration = Duration::from_millis(20);

/// A place for a new connection, for which one at rest may have to go.
fn admit(shared: &Shared) -> Option<Permit> {
    let start = Instant::now();
    loop {
        if let Some(permit) = shared.permits.take() {
            return Some(permit);
        }
        let none = shared.service.evict(&shared.limits) == Eviction::None;
        if none || start.elapsed() >= shared.limits.client_place_timeout {
            return None;
        }
        may::coroutine::sleep(EVICTION_PAUSE);
    }
}

/// Between two looks for a place.
const EVICTION_PAUSE: Duration = Duration::from_millis(1);

fn accept(stream: may::net::TcpStream, front: &Arc<dyn Frontend>, shared: &Shared) {
    let counters = &shared.core.counters;
    let Some(permit) = admit(shared) else {
        Counters::add(&counters.clients_refused);
        return turn_away(stream, shared);
    };
    Counters::add(&counters.clients_accepted);
    let Ok(stream) = Stream::new(stream, Some(permit)) else { return };
    let (front, shared) = (front.clone(), shared.clone());
    let connection = Arc::new(ClientConnection::new(stream, shared.service.clock.now()));
    let key = shared.service.next.fetch_add(1, Ordering::Relaxed);
    shared.service.connections().insert(key, connection.clone());
    let (listed, words) = (Listed(shared.service.clone(), key), shared.limits.stack_words);
    // A connection for which there is no coroutine is closed as it is dropped.
    let _ = spawn("client", words, move || {
        Client { key, connection, front, shared }.run();
        drop(listed);
    });
}

/// Says that there is no place. Where few are being told, what the client sends is dropped until it has read that.
fn turn_away(stream: may::net::TcpStream, shared: &Shared) {
    let permit = shared.turned_away.take();
    let stays = permit.is_some();
    let Ok(stream) = Stream::new(stream, permit) else { return };
    let reply = Reply::text(503, "too many connections").with("Retry-After", "1");
    let bytes = http::response(reply.status, reply.kind, &reply.more, &reply.body, false, false);
    // One try that does not wait: it is turned away in any case.
    let told = stream.write_all(&bytes, Duration::ZERO).is_ok();
    stream.shutdown_write();
    if told && stays {
        let limits = shared.limits.clone();
        let words = limits.stack_words;
        // Without a coroutine it is closed at once.
        let _ = spawn("turned away", words, move || linger(&stream, &mut vec![0; READ], &limits));
    }
}

/// Reads and drops what the client still sends. Closing with bytes unread would reset the connection, and the client
/// might lose the answer.
fn linger(stream: &Stream, buf: &mut [u8], limits: &Limits) {
    let start = Instant::now();
    let mut dropped = 0;
    while dropped < limits.linger_bytes {
        let left = limits.linger.saturating_sub(start.elapsed());
        match stream.read(buf, left) {
            Ok(n) if n > 0 && !left.is_zero() => dropped += n,
            _ => return,
        }
    }
}

/// A connection's entry, taken out when its coroutine ends, or was never started.
struct Listed(Arc<Service>, u64);

impl Drop for Listed {
    fn drop(&mut self) {
        self.0.connections().remove(&self.1);
    }
}

struct Client {
    key: u64,
    connection: Arc<ClientConnection>,
    front: Arc<dyn Frontend>,
    shared: Shared,
}

const READ: usize = 4096;
/// How often the client of an open request that has sent more is looked for.
const LOOK_AHEAD: Duration = Duration::from_millis(25);

impl Client {
    fn run(&self) {
        let (writer, outbox) = channel::<Out>();
        let (done, answered) = channel::<bool>();
        let (connection, within) = (self.connection.clone(), self.shared.limits.client_write_timeout);
        let (service, key) = (self.shared.service.clone(), self.key);
        let started = spawn("client writer", self.shared.limits.stack_words, move || {
            for mut out in outbox.iter() {
                let open = out.keep_alive && service.closing() == Closing::None;
                let written = out.write(&connection.stream, open, within);
                log::debug!(target: REQUEST_LOG_TARGET, "connection {key}: {} written, {written:?}", out.reply.status);
                match written {
                    Ok(()) if open => {}
                    Ok(()) => connection.stream.shutdown_write(),
                    Err(_) => connection.stream.shutdown(),
                }
                drop(out);
                if done.send(open).is_err() {
                    return;
                }
            }
        });
        let mut buf = vec![0; READ];
        if started.is_ok() && self.read(&mut buf, &writer, &answered) {
            self.connection.stream.shutdown_write();
            linger(&self.connection.stream, &mut buf, &self.shared.limits);
        }
        self.connection.stream.shutdown();
    }

    /// Reads requests to the end of the connection; returns whether nothing more is to be served, but its client may
    /// still be sending. `answered` tells of answers written, and whether the connection stays open.
    fn read(&self, buf: &mut [u8], writer: &Sender<Out>, answered: &Receiver<bool>) -> bool {
        let limits = &self.shared.limits;
        let (mut requests, mut arrivals) = (RequestReader::default(), ArrivalTimes::default());
        let mut query: Option<QueryId> = None;
        let (mut pending, mut full, mut more) = (false, false, false);
        // When the request that is being read began; the first one begins with the connection.
        let mut begun = Some(Instant::now());
        loop {
            // What was sent ahead waits for the answers before it, but its client may leave meanwhile: that is looked for.
            let ahead = pending && requests.begun();
            let done = match pending {
                true if ahead && !more => answered.recv_timeout(LOOK_AHEAD).ok(),
                true => answered.try_recv().ok(),
                false => None,
            };
            if let Some(open) = done {
                (pending, query) = (false, None);
                begun = requests.begun().then(Instant::now);
                if !open {
                    return true;
                }
            }
            let mut within = if ahead { Duration::ZERO } else { limits.linger };
            if !pending {
                let next = requests.next(limits);
                self.connection.held().set_partial_request(requests.begun());
                match next {
                    Ok(Some(request)) => {
                        if !self.connection.held().begin_request() {
                            return true;
                        }
                        begun = requests.begun().then(Instant::now);
                        let asked_at = arrivals.taken(requests.held(), self.shared.service.now());
                        (pending, query) = (true, self.serve(request, asked_at, writer));
                        continue;
                    }
                    Ok(None) if full => return true,
                    Ok(None) => {}
                    Err(bad) => return self.turn_away(bad, writer, answered),
                }
                let left = begun.map(|at| limits.request_read_timeout.saturating_sub(at.elapsed()));
                if left.is_some_and(|l| l.is_zero()) {
                    if requests.begun() {
                        return self.turn_away(http::TOO_SLOW, writer, answered);
                    }
                    if self.connection.end(self.shared.service.now()) {
                        return true;
                    }
                }
                within = left.unwrap_or(limits.client_idle);
            }
            let read = match within.is_zero() {
                true => self.connection.read(buf),
                false => {
                    self.connection.stream.wait_readable(within).and_then(|()| self.connection.read(buf))
                }
            };
            more = read.is_ok();
            if ahead && more {
                // Others run between the reads of a client that sends ahead.
                may::coroutine::yield_now();
            }
            self.connection.stream.yield_if_busy();
            match read {
                Ok(0) => break,
                // More than may be sent ahead is dropped: the connection ends with the answers to what is held.
                Ok(_) if full => {}
                Ok(n) => {
                    begun = begun.or_else(|| Some(Instant::now()));
                    requests.push(&buf[..n]);
                    arrivals.came(n, self.shared.service.now());
                    full = pending && requests.held() >= limits.read_ahead;
                }
                Err(e) if matches!(e.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::Interrupted) => {}
                Err(e) if e.kind() == io::ErrorKind::TimedOut => {
                    let rests = !pending && begun.is_none();
                    if rests && self.connection.end(self.shared.service.now()) {
                        return true;
                    }
                }
                Err(_) => break,
            }
        }
        self.connection.stream.shutdown();
        if let (true, Some(id), Err(_)) = (pending, query, answered.try_recv()) {
            log::debug!(target: REQUEST_LOG_TARGET, "connection {}: its client has left query {}", self.key, id.0);
            self.log_unanswered(&format!("query {} is open", id.0));
            self.shared.core.client_disconnected(id);
        } else if requests.begun() {
            self.log_unanswered(&format!("{} bytes of a request had come", requests.held()));
        }
        false
    }

    /// Says how far a request has come whose client leaves without its answer.
    fn log_unanswered(&self, request: &str) {
        let now = self.shared.service.now();
        let times = lock(&self.shared.service.unanswered).occurred(now);
        let Some(times) = times else { return };
        let key = self.key;
        log::info!("connection {key}: its client has left without an answer, {request} (such clients since the last such line: {times})");
    }

    /// Answers what is no request; the connection is closed after it.
    fn turn_away(&self, bad: BadMessage, writer: &Sender<Out>, answered: &Receiver<bool>) -> bool {
        if self.connection.held().begin_request() {
            Counters::add(&self.shared.core.counters.bad_requests);
            let now = self.shared.service.now();
            self.answer(writer, now, Form::default()).send(self.front.refuse(bad));
            // The writer tells of each answer before it ends.
            let _ = answered.recv();
        }
        true
    }

    fn answer(&self, writer: &Sender<Out>, asked_at: Nanos, form: Form) -> Answer {
        let service = self.shared.service.clone();
        service.busy.fetch_add(1, Ordering::AcqRel);
        let Form { keep_alive, head, chunks } = form;
        Answer {
            writer: writer.clone(),
            asked_at,
            keep_alive,
            head,
            chunks,
            busy: Busy { service, connection: self.connection.clone() },
        }
    }

    fn serve(&self, request: Request, asked_at: Nanos, writer: &Sender<Out>) -> Option<QueryId> {
        let head = request.method == "HEAD";
        let form = Form { keep_alive: request.keep_alive, head, chunks: request.chunks };
        let answer = self.answer(writer, asked_at, form);
        match self.front.serve(request, answer) {
            Served::Now => None,
            Served::Later(id) => {
                log::debug!(target: REQUEST_LOG_TARGET, "connection {}: a request read whole is query {}", self.key, id.0);
                Some(id)
            }
        }
    }
}

#[cfg(test)]
mod tests;
