//! A stand-in of discovery with faults that a test switches on and off. It serves one coordinator at one address from a
//! versioned membership that several stand-ins may share, and logs what it had, wrote and when it could be reached.

use std::collections::BTreeSet;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use super::catalog::Catalog;
use super::discovery_connection::Connection;
use super::discovery_faults::Faults;
use super::drain_check::{Had, Reach, ServiceLog, Silence, WatchEnd, Write};
use super::stand_in::lock;
use super::until;
use socket2::SockRef;

/// What the connections of a service share.
#[derive(Debug, Default)]
pub(super) struct State {
    pub(super) faults: Faults,
    pub(super) log: ServiceLog,
    /// How many there have been.
    connections: u64,
    pub(super) open: Vec<(u64, TcpStream)>,
    /// Connections that are reset as they are closed.
    pub(super) resets: BTreeSet<u64>,
    pub(super) call_times: Vec<Instant>,
    /// It is down, or has ended.
    pub(super) closed: bool,
}

#[derive(Debug, Default)]
struct Turns {
    given: u64,
    done: u64,
}

/// When a service came to have a version: a lagging one catches up later.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Noted {
    AtTheirChange,
    Now,
}

/// A service, as its connections know it.
pub(super) struct Service {
    pub(super) catalog: Arc<Catalog>,
    pub(super) state: Mutex<State>,
    turns: Mutex<Turns>,
    turned: Condvar,
}

/// One address of discovery.
pub struct FaultyDiscovery {
    pub addr: SocketAddr,
    service: Arc<Service>,
    /// Bound for as long as the stand-in lives, so that nobody else has its port while it is down.
    listener: TcpListener,
    accepting: Mutex<Option<thread::JoinHandle<()>>>,
}

impl FaultyDiscovery {
    pub fn start(catalog: Arc<Catalog>) -> Self {
        let listener = bind_for_good();
        let addr = listener.local_addr().unwrap();
        let (state, turns) = (Mutex::default(), Mutex::default());
        let service = Arc::new(Service { catalog, state, turns, turned: Condvar::new() });
        let accepting = Mutex::new(Some(accept(service.clone(), listener.try_clone().unwrap())));
        Self { addr, service, listener, accepting }
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

    /// Resets the watches that are open, as those of a process that dies.
    pub fn reset_watches(&self) {
        let mut state = lock(&self.service.state);
        for (number, stream) in std::mem::take(&mut state.open) {
            SockRef::from(&stream).set_linger(Some(Duration::ZERO)).unwrap();
            state.resets.insert(number);
        }
    }

    /// The watches that are open end instead of telling what `change` does to the membership.
    pub fn end_watches_instead_of_telling(&self, change: impl FnOnce(&Catalog)) {
        let mut state = lock(&self.service.state);
        // No watch looks at the change before its connection has ended.
        change(&self.service.catalog);
        self.service.note_versions(&mut state, Noted::AtTheirChange);
        let open = std::mem::take(&mut state.open);
        let at = Instant::now();
        for (connection, stream) in open {
            // One that the coordinator has closed needs no end.
            let _ = stream.shutdown(Shutdown::Both);
            state.log.ends.push(WatchEnd { at, connection });
        }
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
        // It stays bound and listens no more: connections are refused, and its thread ends.
        SockRef::from(&self.listener).shutdown(Shutdown::Read).unwrap();
        self.accepting.lock().unwrap().take().unwrap().join().unwrap();
        self.reset_watches();
        self.note_reach(false);
    }

    pub fn come_back(&self) {
        lock(&self.service.state).closed = false;
        // Logged early: it can be reached from this moment on.
        self.note_reach(true);
        SockRef::from(&self.listener).listen(BACKLOG).unwrap();
        let accepting = accept(self.service.clone(), self.listener.try_clone().unwrap());
        *self.accepting.lock().unwrap() = Some(accepting);
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

/// Connections that wait to be accepted.
const BACKLOG: i32 = 128;

/// A listener whose port was asked for by its number: only such a port stays with its socket when that listens no more.
fn bind_for_good() -> TcpListener {
    let mut listener = None;
    until("a port", || {
        let free = TcpListener::bind("127.0.0.1:0").and_then(|any| any.local_addr()).unwrap();
        listener = TcpListener::bind(free).ok();
        listener.is_some()
    });
    listener.unwrap()
}

fn accept(service: Arc<Service>, listener: TcpListener) -> thread::JoinHandle<()> {
    thread::spawn(move || {
        for stream in listener.incoming() {
            let mut state = lock(&service.state);
            if state.closed {
                return;
            }
            let Ok(stream) = stream else { continue };
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
    pub(super) fn version(&self, faults: &Faults) -> u64 {
        let latest = self.catalog.version();
        faults.lags_at.map_or(latest, |lags_at| lags_at.min(latest))
    }

    /// Logs the versions that it has come to have.
    pub(super) fn note_versions(&self, state: &mut State, noted: Noted) {
        let (version, now) = (self.version(&state.faults), Instant::now());
        let before = state.log.had.last().map_or(0, |had| had.version);
        for (version, at) in self.catalog.versions().into_iter().filter(|v| v.0 > before && v.0 <= version) {
            state.log.had.push(Had { at: if noted == Noted::Now { now } else { at }, version });
        }
    }

    /// Waits for a call's turn where calls are handled one at a time.
    pub(super) fn wait_for_turn(&self) -> Option<Turn<'_>> {
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
pub(super) struct Turn<'a> {
    service: &'a Service,
}

impl Drop for Turn<'_> {
    fn drop(&mut self) {
        lock(&self.service.turns).done += 1;
        self.service.turned.notify_all();
    }
}
