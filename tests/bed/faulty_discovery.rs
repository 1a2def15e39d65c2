//! A stand-in of discovery with faults that a test switches on and off. It serves one coordinator at one address from a
//! versioned membership that several stand-ins may share, and logs what it had, wrote and when it could be reached.

use std::collections::{BTreeMap, VecDeque};
use std::io::Write as _;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use super::catalog::{lock, Catalog, Spoilt, Text, FIRST_VERSION};
use super::drain_check::{Had, News, Reach, ServiceLog, Silence, Write};
use super::until;

/// What becomes of a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallFault {
    /// Answered 503.
    Unavailable,
    /// Reset without an answer.
    Reset,
    /// Half of the answer, then nothing more.
    HalfAnswer,
    /// Nothing is said at all.
    Silent,
    /// The answer's head comes so much later.
    HeadDelayed(Duration),
    /// The answer's body comes so much later than its head.
    BodyDelayed(Duration),
    /// The answer is made at once and comes so much later.
    Outdated(Duration),
}

/// How a watch is answered whose version is too old.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum IndexAnswer {
    Status(u16),
    /// The whole list with its length, after which the connection can be asked again.
    SnapshotWithLength,
    /// A watch that ends at once.
    EndAtOnce,
}

/// How a watch begins that asks for a version which is not there yet.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum AheadAnswer {
    #[default]
    Snapshot,
    /// Nothing but heartbeats, and changes from then on.
    Nothing,
}

/// Answers are written in pieces of so many bytes, so far apart.
#[derive(Debug, Clone, Copy)]
pub struct Pieces {
    pub bytes: usize,
    pub gap: Duration,
}

/// What is wrong with the service at the moment; nothing at first.
#[derive(Debug, Default)]
pub struct Faults {
    /// Faults of the next calls, one each.
    pub next: VecDeque<CallFault>,
    /// The fault of all calls beyond those.
    pub all: Option<CallFault>,
    /// Calls are handled one at a time, in the order in which they came, given up or not.
    pub in_turn: bool,
    pub pieces: Option<Pieces>,
    /// Watches from a version below this are answered so.
    pub index: Option<(u64, IndexAnswer)>,
    pub ahead: AheadAnswer,
    /// The first line of each watch is the whole list.
    pub snapshot_first: bool,
    /// A lagging replica: nothing after this version is known to it.
    pub lags_at: Option<u64>,
    /// What is taken off each version in what is written: the service has restarted.
    pub versions_less: u64,
    pub spoilt: BTreeMap<String, Spoilt>,
    /// Watches that are open say nothing any more; later ones are well.
    pub silent_up_to: u64,
}

/// A heartbeat is written this often.
const HEARTBEAT: Duration = Duration::from_secs(1);
/// A watch looks so often at what a test has switched.
const LOOK: Duration = Duration::from_millis(20);

#[derive(Debug, Default)]
struct State {
    faults: Faults,
    log: ServiceLog,
    connections: u64,
    open: Vec<(u64, TcpStream)>,
    call_times: Vec<Instant>,
    closed: bool,
}

#[derive(Debug, Default)]
struct Turns {
    given: u64,
    done: u64,
}

/// When a service came to have a version: a lagging one catches up later.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Noted {
    AtTheirChange,
    Now,
}

struct Service {
    catalog: Arc<Catalog>,
    state: Mutex<State>,
    turns: Mutex<Turns>,
    turned: Condvar,
}

/// One address of discovery.
pub struct FaultyDiscovery {
    pub addr: SocketAddr,
    service: Arc<Service>,
    accepting: Mutex<Option<thread::JoinHandle<()>>>,
}

impl FaultyDiscovery {
    pub fn start(catalog: Arc<Catalog>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let addr = listener.local_addr().unwrap();
        let (state, turns) = (Mutex::default(), Mutex::default());
        let service = Arc::new(Service { catalog, state, turns, turned: Condvar::new() });
        let accepting = Mutex::new(Some(accept(service.clone(), listener)));
        Self { addr, service, accepting }
    }

    /// Switches faults on and off.
    pub fn faults(&self, change: impl FnOnce(&mut Faults)) {
        let mut state = lock(&self.service.state);
        self.service.note_versions(&mut state, Noted::AtTheirChange);
        let lagged = state.faults.lags_at.is_some();
        change(&mut state.faults);
        self.service.note_versions(&mut state, if lagged { Noted::Now } else { Noted::AtTheirChange });
    }

    /// Ends the watches and calls that are open.
    pub fn end_connections(&self) {
        self.service.end_connections();
    }

    /// The watches that are open fall silent and stay; returns once no more is written to them.
    pub fn silence_watches(&self) {
        let mut state = lock(&self.service.state);
        let (at, open) = (Instant::now(), state.open.iter().map(|open| open.0).collect::<Vec<_>>());
        state.faults.silent_up_to = state.connections;
        state.log.silences.extend(open.into_iter().map(|connection| Silence { at, connection }));
    }

    /// Refuses connections and ends those that are open, until it is back.
    pub fn go_down(&self) {
        lock(&self.service.state).closed = true;
        // Wakes the listener's thread, which closes the listener.
        drop(TcpStream::connect(self.addr));
        self.accepting.lock().unwrap().take().unwrap().join().unwrap();
        self.end_connections();
        self.note_reach(false);
    }

    pub fn come_back(&self) {
        lock(&self.service.state).closed = false;
        let mut listener = None;
        until("the address", || {
            listener = TcpListener::bind(self.addr).ok();
            listener.is_some()
        });
        // Logged early: it can be reached from this moment on.
        self.note_reach(true);
        *self.accepting.lock().unwrap() = Some(accept(self.service.clone(), listener.unwrap()));
    }

    /// Logs that the test counts the service as one that can be reached, or not.
    pub fn note_reach(&self, reachable: bool) {
        lock(&self.service.state).log.reach.push(Reach { at: Instant::now(), reachable });
    }

    /// When each call came.
    pub fn call_times(&self) -> Vec<Instant> {
        lock(&self.service.state).call_times.clone()
    }

    /// What was written so far.
    pub fn writes(&self) -> Vec<Write> {
        lock(&self.service.state).log.writes.clone()
    }

    pub fn log(&self) -> ServiceLog {
        let mut state = lock(&self.service.state);
        self.service.note_versions(&mut state, Noted::AtTheirChange);
        state.log.clone()
    }
}

impl Drop for FaultyDiscovery {
    fn drop(&mut self) {
        lock(&self.service.state).closed = true;
        drop(TcpStream::connect(self.addr));
        self.end_connections();
    }
}

fn accept(service: Arc<Service>, listener: TcpListener) -> thread::JoinHandle<()> {
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let mut state = lock(&service.state);
            if state.closed {
                return;
            }
            state.connections += 1;
            let number = state.connections;
            let Ok(kept) = stream.try_clone() else { continue };
            state.open.push((number, kept));
            drop(state);
            let connection = Connection { service: service.clone(), number, stream };
            thread::spawn(move || connection.serve());
        }
    })
}

impl Service {
    fn end_connections(&self) {
        for (_, stream) in lock(&self.state).open.drain(..) {
            // One that the coordinator has closed needs no end.
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    /// The version that it has.
    fn version(&self, faults: &Faults) -> u64 {
        let latest = self.catalog.version();
        faults.lags_at.map_or(latest, |lags_at| lags_at.min(latest))
    }

    /// Logs the versions that it has come to have.
    fn note_versions(&self, state: &mut State, noted: Noted) {
        let (version, now) = (self.version(&state.faults), Instant::now());
        let before = state.log.had.last().map_or(0, |had| had.version);
        for (version, at) in self.catalog.versions().into_iter().filter(|v| v.0 > before && v.0 <= version) {
            state.log.had.push(Had { at: if noted == Noted::Now { now } else { at }, version });
        }
    }

    /// Waits for a call's turn where calls are handled one at a time.
    fn wait_for_turn(&self) -> Option<Turn<'_>> {
        if !lock(&self.state).faults.in_turn {
            return None;
        }
        let mut turns = lock(&self.turns);
        let turn = turns.given;
        turns.given += 1;
        drop(self.turned.wait_while(turns, |turns| turns.done < turn));
        Some(Turn { service: self })
    }
}

/// A call that is being handled; the next one's turn comes with its end.
struct Turn<'a> {
    service: &'a Service,
}

impl Drop for Turn<'_> {
    fn drop(&mut self) {
        lock(&self.service.turns).done += 1;
        self.service.turned.notify_all();
    }
}

/// One connection of the coordinator.
struct Connection {
    service: Arc<Service>,
    number: u64,
    stream: TcpStream,
}

/// Why a connection is not served on.
type Over = std::io::Error;

fn over() -> Over {
    std::io::ErrorKind::ConnectionAborted.into()
}

impl Connection {
    fn serve(mut self) {
        // Whatever ends a connection, the coordinator has to do with it.
        let _ = self.stream.set_nodelay(true);
        while self.call().is_ok() {}
        let _ = self.stream.shutdown(Shutdown::Both);
        lock(&self.service.state).open.retain(|open| open.0 != self.number);
    }

    fn call(&mut self) -> Result<(), Over> {
        if self.stream.peek(&mut [0])? == 0 {
            return Err(over());
        }
        let fault = {
            let mut state = lock(&self.service.state);
            state.call_times.push(Instant::now());
            state.faults.next.pop_front().or(state.faults.all)
        };
        if fault == Some(CallFault::Reset) {
            // A close over unread bytes resets the connection.
            let none = TcpListener::bind("127.0.0.1:0")?;
            let other = TcpStream::connect(none.local_addr()?)?;
            lock(&self.service.state).open.retain(|open| open.0 != self.number);
            drop(std::mem::replace(&mut self.stream, other));
            return Err(over());
        }
        let target = self.request()?;
        let service = self.service.clone();
        let turn = service.wait_for_turn();
        match fault {
            Some(CallFault::Unavailable) => self.send(b"HTTP/1.1 503 -\r\nContent-Length: 0\r\n\r\n"),
            Some(CallFault::Silent) => self.say_nothing(),
            _ => {
                if let Some(CallFault::HeadDelayed(span)) = fault {
                    self.pause(span)?;
                }
                match target.split_once("stream=1&index=") {
                    Some((_, index)) => self.watch(index.parse().unwrap(), fault, turn),
                    None => self.snapshot(fault),
                }
            }
        }
    }

    /// Reads one request; returns its target.
    fn request(&mut self) -> Result<String, Over> {
        use std::io::Read;
        let (mut text, mut byte) = (Vec::new(), [0]);
        while !text.ends_with(b"\r\n\r\n") {
            self.stream.read_exact(&mut byte)?;
            text.push(byte[0]);
        }
        let text = String::from_utf8_lossy(&text).into_owned();
        text.split(' ').nth(1).map(str::to_string).ok_or_else(over)
    }

    /// Whether a test has ended this connection.
    fn is_open(&self) -> bool {
        lock(&self.service.state).open.iter().any(|open| open.0 == self.number)
    }

    fn pause(&self, span: Duration) -> Result<(), Over> {
        let end = Instant::now() + span;
        // A call that was given up costs the service its time all the same.
        while Instant::now() < end {
            thread::sleep(end.saturating_duration_since(Instant::now()).min(LOOK));
            if lock(&self.service.state).closed {
                return Err(over());
            }
        }
        Ok(())
    }

    fn say_nothing(&self) -> Result<(), Over> {
        while self.is_open() {
            thread::sleep(LOOK);
        }
        Err(over())
    }

    /// Whether the coordinator has ended this connection.
    fn is_given_up(&self) -> Result<bool, Over> {
        self.stream.set_nonblocking(true)?;
        let peeked = self.stream.peek(&mut [0]);
        self.stream.set_nonblocking(false)?;
        Ok(!matches!(&peeked, Ok(1)) && !peeked.is_err_and(|e| e.kind() == std::io::ErrorKind::WouldBlock))
    }

    fn send(&mut self, bytes: &[u8]) -> Result<(), Over> {
        let pieces = lock(&self.service.state).faults.pieces;
        let Some(Pieces { bytes: most, gap }) = pieces else { return self.stream.write_all(bytes) };
        for piece in bytes.chunks(most) {
            self.stream.write_all(piece)?;
            thread::sleep(gap);
        }
        Ok(())
    }

    /// Writes what is news to the coordinator, and logs it. What goes out behind the coordinator's own end of the
    /// connection is written to nobody.
    fn tell(&mut self, bytes: &[u8], news: News) -> Result<(), Over> {
        if self.is_given_up()? {
            return Err(over());
        }
        self.send(bytes)?;
        let write = Write { at: Instant::now(), connection: self.number, news };
        lock(&self.service.state).log.writes.push(write);
        Ok(())
    }

    /// The version that is held, and the whole list as of it.
    fn whole(&self) -> (u64, Text) {
        let mut state = lock(&self.service.state);
        self.service.note_versions(&mut state, Noted::AtTheirChange);
        let (faults, version) = (&state.faults, self.service.version(&state.faults));
        let text = self.service.catalog.snapshot(version, version - faults.versions_less, &faults.spoilt);
        (version, text)
    }

    fn snapshot(&mut self, fault: Option<CallFault>) -> Result<(), Over> {
        if let Some(CallFault::BodyDelayed(span)) = fault {
            // The length is told before the body is made: room for what may come to be in it.
            let length = self.whole().1.json.len() + BODY_ROOM;
            self.send(format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n").as_bytes())?;
            self.pause(span)?;
            let text = self.whole().1;
            return self.tell(format!("{:length$}", text.json).as_bytes(), text.news);
        }
        let text = self.whole().1;
        if let Some(CallFault::Outdated(span)) = fault {
            self.pause(span)?;
        }
        let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{}", text.json.len(), text.json);
        if fault == Some(CallFault::HalfAnswer) {
            self.send(&answer.as_bytes()[..answer.len() / 2])?;
            return self.say_nothing();
        }
        self.tell(answer.as_bytes(), text.news)
    }

    fn watch(&mut self, index: u64, fault: Option<CallFault>, turn: Option<Turn>) -> Result<(), Over> {
        let refused = {
            let faults = &lock(&self.service.state).faults;
            faults.index.filter(|(below, _)| index + faults.versions_less < *below).map(|(_, answer)| answer)
        };
        match refused {
            Some(IndexAnswer::Status(status)) => {
                return self.send(format!("HTTP/1.1 {status} -\r\nContent-Length: 0\r\n\r\n").as_bytes())
            }
            Some(IndexAnswer::SnapshotWithLength) => return self.snapshot(None),
            Some(IndexAnswer::EndAtOnce) => {
                self.send(&[WATCH, LAST_CHUNK].concat())?;
                return Err(over());
            }
            None => {}
        }
        let made = self.first_line(index);
        if let Some(CallFault::Outdated(span)) = fault {
            self.pause(span)?;
        }
        self.send(WATCH)?;
        if let Some(CallFault::BodyDelayed(span)) = fault {
            self.pause(span)?;
        }
        let outdated = matches!(fault, Some(CallFault::Outdated(_)));
        let (mut version, first) = if outdated { made } else { self.first_line(index) };
        if fault == Some(CallFault::HalfAnswer) {
            let line = chunk(&first.map_or(" ".to_string(), |text| text.json));
            self.send(&line[..line.len() / 2])?;
            return self.say_nothing();
        }
        match first {
            Some(text) => self.tell(&chunk(&text.json), text.news)?,
            None => self.tell(&chunk(""), News::Heartbeat)?,
        }
        drop(turn);
        let (mut beat, mut seen) = (Instant::now(), version);
        loop {
            self.service.catalog.wait(seen, LOOK);
            seen = self.service.catalog.version();
            let (next, delta) = {
                let mut state = lock(&self.service.state);
                if !state.open.iter().any(|open| open.0 == self.number) {
                    return Err(over());
                }
                if self.number <= state.faults.silent_up_to {
                    continue;
                }
                self.service.note_versions(&mut state, Noted::AtTheirChange);
                let (faults, next) = (&state.faults, self.service.version(&state.faults));
                let shown = next - faults.versions_less;
                (next, self.service.catalog.delta(version, next, shown, &faults.spoilt))
            };
            version = version.max(next);
            if let Some(text) = delta {
                self.tell(&chunk(&text.json), text.news)?;
            } else if beat.elapsed() >= HEARTBEAT {
                self.tell(&chunk(""), News::Heartbeat)?;
                beat = Instant::now();
            }
        }
    }

    /// The version up to which a watch's first line tells, and that line, if there is anything to tell.
    fn first_line(&self, index: u64) -> (u64, Option<Text>) {
        let (version, whole) = self.whole();
        let state = lock(&self.service.state);
        let faults = &state.faults;
        let after = index + faults.versions_less;
        if after > version {
            let snapshot = faults.snapshot_first || faults.ahead == AheadAnswer::Snapshot;
            return (version, snapshot.then_some(whole));
        }
        if faults.snapshot_first || after < FIRST_VERSION {
            return (version, Some(whole));
        }
        let shown = version - faults.versions_less;
        (version, self.service.catalog.delta(after, version, shown, &faults.spoilt))
    }
}

/// Bytes that a list may grow by while its body is delayed.
const BODY_ROOM: usize = 64;
const WATCH: &[u8] = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
const LAST_CHUNK: &[u8] = b"0\r\n\r\n";

/// A line of a watch, in a chunk of its own.
fn chunk(line: &str) -> Vec<u8> {
    format!("{:x}\r\n{line}\n\r\n", line.len() + 1).into_bytes()
}
