//! Fake discovery service with faults that a test switches on and off. It serves one coordinator at one address from a
//! versioned membership that several services may share, and logs its versions, its writes and when it was reachable.

use std::collections::BTreeSet;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use super::catalog::Catalog;
use super::discovery_connection::Connection;
use super::discovery_faults::Faults;
use super::drain_check::{AvailableVersion, ReachabilityChange, ServiceLog, Silence, WatchEnd, Write};
use super::stand_in::lock;
use super::wait_until;
use socket2::SockRef;

/// State shared by the connections of a service.
#[derive(Debug, Default)]
pub(super) struct State {
    pub(super) faults: Faults,
    pub(super) log: ServiceLog,
    /// Number of connections accepted so far.
    connections: u64,
    pub(super) open: Vec<(u64, TcpStream)>,
    /// Connections to close with a reset.
    pub(super) resets: BTreeSet<u64>,
    pub(super) call_times: Vec<Instant>,
    /// Whether the service is offline or has been dropped.
    pub(super) closed: bool,
}

#[derive(Debug, Default)]
struct TurnCounters {
    given: u64,
    done: u64,
}

/// Time logged for a new version; a lagging service gets it later than the change was made.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum VersionTime {
    OfChange,
    Now,
}

/// Service data that the connections use.
pub(super) struct Service {
    pub(super) catalog: Arc<Catalog>,
    pub(super) state: Mutex<State>,
    turns: Mutex<TurnCounters>,
    turn_ended: Condvar,
}

/// Discovery service at one address.
pub struct FaultyDiscovery {
    pub addr: SocketAddr,
    service: Arc<Service>,
    /// Stays bound while the service is offline, so that no other process takes its port.
    listener: TcpListener,
    accepting: Mutex<Option<thread::JoinHandle<()>>>,
}

impl FaultyDiscovery {
    pub fn start(catalog: Arc<Catalog>) -> Self {
        let listener = bind_fixed_port();
        let addr = listener.local_addr().unwrap();
        let (state, turns) = (Mutex::default(), Mutex::default());
        let service = Arc::new(Service { catalog, state, turns, turn_ended: Condvar::new() });
        let accepting = Mutex::new(Some(accept(service.clone(), listener.try_clone().unwrap())));
        Self { addr, service, listener, accepting }
    }

    /// Switches faults on and off.
    pub fn faults(&self, change: impl FnOnce(&mut Faults)) {
        let mut state = lock(&self.service.state);
        self.service.log_versions(&mut state, VersionTime::OfChange);
        let lagged = state.faults.lag_version.is_some();
        change(&mut state.faults);
        self.service.log_versions(&mut state, if lagged { VersionTime::Now } else { VersionTime::OfChange });
    }

    /// Closes the open watches and calls.
    pub fn end_connections(&self) {
        self.service.end_connections();
    }

    /// Resets the open watches, as happens when the process of the service is killed.
    pub fn reset_watches(&self) {
        let mut state = lock(&self.service.state);
        for (number, stream) in std::mem::take(&mut state.open) {
            SockRef::from(&stream).set_linger(Some(Duration::ZERO)).unwrap();
            state.resets.insert(number);
        }
    }

    /// Closes the open watches before they deliver what `change` does to the membership.
    pub fn end_watches_without_delivering(&self, change: impl FnOnce(&Catalog)) {
        let mut state = lock(&self.service.state);
        // The lock keeps watches from sending the change before their connections are closed.
        change(&self.service.catalog);
        self.service.log_versions(&mut state, VersionTime::OfChange);
        let open = std::mem::take(&mut state.open);
        let at = Instant::now();
        for (connection, stream) in open {
            // Fails if the coordinator has already closed the connection.
            let _ = stream.shutdown(Shutdown::Both);
            state.log.ends.push(WatchEnd { at, connection });
        }
    }

    /// Silences the open watches without closing them; nothing is written to them after this returns.
    pub fn silence_watches(&self) {
        let mut state = lock(&self.service.state);
        let (at, open) = (Instant::now(), state.open.iter().map(|open| open.0).collect::<Vec<_>>());
        state.faults.silent_through = state.connections;
        state.log.silences.extend(open.into_iter().map(|connection| Silence { at, connection }));
    }

    /// Refuses new connections and resets the open ones until `bring_online`.
    pub fn take_offline(&self) {
        lock(&self.service.state).closed = true;
        // The socket stays bound but stops listening: connections are refused, and the accepting thread ends.
        SockRef::from(&self.listener).shutdown(Shutdown::Read).unwrap();
        self.accepting.lock().unwrap().take().unwrap().join().unwrap();
        self.reset_watches();
        self.log_reachability(false);
    }

    pub fn bring_online(&self) {
        lock(&self.service.state).closed = false;
        // Logged before listening: the service is reachable from the next statement on.
        self.log_reachability(true);
        SockRef::from(&self.listener).listen(BACKLOG).unwrap();
        let accepting = accept(self.service.clone(), self.listener.try_clone().unwrap());
        *self.accepting.lock().unwrap() = Some(accepting);
    }

    /// Logs that the test treats the service as reachable or unreachable.
    pub fn log_reachability(&self, reachable: bool) {
        lock(&self.service.state).log.reachability.push(ReachabilityChange { at: Instant::now(), reachable });
    }

    /// Returns the arrival time of each call.
    pub fn call_times(&self) -> Vec<Instant> {
        lock(&self.service.state).call_times.clone()
    }

    /// Returns all writes so far.
    pub fn writes(&self) -> Vec<Write> {
        lock(&self.service.state).log.writes.clone()
    }

    pub fn log(&self) -> ServiceLog {
        let mut state = lock(&self.service.state);
        self.service.log_versions(&mut state, VersionTime::OfChange);
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

/// Listen backlog in connections.
const BACKLOG: i32 = 128;

/// Binds a listener to an explicit port number: only such a port stays with its socket when the socket stops listening.
fn bind_fixed_port() -> TcpListener {
    let mut listener = None;
    wait_until("a free port", || {
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
            let Ok(clone) = stream.try_clone() else { continue };
            state.open.push((number, clone));
            drop(state);
            let connection = Connection { service: service.clone(), number, stream };
            thread::spawn(move || connection.serve());
        }
    })
}

impl Service {
    fn end_connections(&self) {
        for (_, stream) in lock(&self.state).open.drain(..) {
            // Fails if the coordinator has already closed the connection.
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    /// Returns the version that the service has.
    pub(super) fn version(&self, faults: &Faults) -> u64 {
        let latest = self.catalog.version();
        faults.lag_version.map_or(latest, |lag_version| lag_version.min(latest))
    }

    /// Logs the versions that the service has received since the last call.
    pub(super) fn log_versions(&self, state: &mut State, time: VersionTime) {
        let (version, now) = (self.version(&state.faults), Instant::now());
        let before = state.log.available.last().map_or(0, |obtained| obtained.version);
        for (version, at) in self.catalog.versions().into_iter().filter(|v| v.0 > before && v.0 <= version) {
            state
                .log
                .available
                .push(AvailableVersion { at: if time == VersionTime::Now { now } else { at }, version });
        }
    }

    /// Waits for the turn of a call; returns `None` if calls are handled concurrently.
    pub(super) fn wait_for_turn(&self) -> Option<Turn<'_>> {
        if !lock(&self.state).faults.serial_calls {
            return None;
        }
        let mut turns = lock(&self.turns);
        let turn = turns.given;
        turns.given += 1;
        drop(self.turn_ended.wait_while(turns, |turns| turns.done < turn));
        Some(Turn { service: self })
    }
}

/// Turn of a call that is being handled; dropping it starts the next turn.
pub(super) struct Turn<'a> {
    service: &'a Service,
}

impl Drop for Turn<'_> {
    fn drop(&mut self) {
        lock(&self.service.turns).done += 1;
        self.service.turn_ended.notify_all();
    }
}
