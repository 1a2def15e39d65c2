//! A TCP proxy on loopback that injects faults: it listens on a port that the system chooses, forwards each connection to one
//! target, and delays, drops or reorders what it forwards, or closes connections, as a test says.
//!
//! It is bounded: at most [`MAX_CONNECTIONS`] at once (more are closed at once), two threads a connection and one that
//! accepts. All of them end within [`POLL_INTERVAL`] after the proxy is dropped.

mod forward;
mod message_filter;
mod reorder;

use std::io::{self, ErrorKind};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use forward::Direction;

/// Connections at once.
pub const MAX_CONNECTIONS: usize = 64;
/// How often a thread checks whether it should end or the faults have changed.
pub const POLL_INTERVAL: Duration = Duration::from_millis(20);
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// The faults that are injected.
#[derive(Debug, Clone, Copy, Default)]
pub struct Faults {
    /// Each chunk that is read waits this long before it is forwarded, in both directions; order is kept.
    pub delay: Duration,
    /// Bytes from the client to the target are dropped.
    pub drop_forward: bool,
    /// Bytes from the target to the client are dropped.
    pub drop_backward: bool,
    /// New connections are closed at once.
    pub refuse_connections: bool,
    /// Now and then a whole message from the client to the target is duplicated or overtaken by the next one. Which one is
    /// chosen by the number of the message, so that a run is the same for the same messages.
    pub reorder: Option<MessageLength>,
    /// These messages from the client to the target are dropped, each as a whole. Where `reorder` is set too, the others
    /// are what is reordered. A connection's bytes must begin with a message when this is set.
    pub drop_messages: Option<DroppedMessages>,
}

/// Which messages are dropped.
#[derive(Debug, Clone, Copy)]
pub struct DroppedMessages {
    /// Where a message ends.
    pub length: MessageLength,
    /// Whether this whole message is dropped. Called once for each message, before it is forwarded.
    pub is_dropped: fn(&[u8]) -> bool,
}

/// How many bytes the first message takes; none while that is not known.
pub type MessageLength = fn(&[u8]) -> Option<usize>;

impl Faults {
    /// Drops everything in both directions, and refuses new connections.
    pub fn partition() -> Self {
        Self { drop_forward: true, drop_backward: true, refuse_connections: true, ..Self::default() }
    }
}

/// Bytes by direction.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct ByteCounts {
    /// From the client to the target.
    pub forward: u64,
    /// From the target to the client.
    pub backward: u64,
}

impl ByteCounts {
    fn add(&mut self, direction: Direction, bytes: usize) {
        match direction {
            Direction::Forward => self.forward += bytes as u64,
            Direction::Backward => self.backward += bytes as u64,
        }
    }
}

#[derive(Default)]
struct Shared {
    target: Mutex<Option<SocketAddr>>,
    faults: Mutex<Faults>,
    open_streams: Mutex<Vec<TcpStream>>,
    stopping: AtomicBool,
    forwarded: Mutex<ByteCounts>,
    dropped: Mutex<ByteCounts>,
}

impl Shared {
    fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::SeqCst)
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    // No thread leaves a value half-written when it panics.
    mutex.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
}

/// A running proxy; dropping it ends its threads and closes its connections.
pub struct Proxy {
    address: SocketAddr,
    shared: Arc<Shared>,
    accept_thread: Option<JoinHandle<()>>,
}

impl Proxy {
    /// Listens on `127.0.0.1:0` and forwards to `target`; without one, connections are closed until there is one.
    ///
    /// # Errors
    /// It cannot listen.
    pub fn start(target: Option<SocketAddr>) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        listener.set_nonblocking(true)?;
        let address = listener.local_addr()?;
        let shared = Arc::new(Shared { target: Mutex::new(target), ..Shared::default() });
        let shared_in_thread = shared.clone();
        let accept_thread = thread::Builder::new()
            .name(format!("proxy {address}"))
            .spawn(move || accept_connections(listener, shared_in_thread))?;
        Ok(Self { address, shared, accept_thread: Some(accept_thread) })
    }

    /// Where clients connect.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Forwards new connections to another target, such as the new port of a process that was started again.
    pub fn forward_to(&self, target: SocketAddr) {
        *lock(&self.shared.target) = Some(target);
    }

    /// Injects these faults, from the next chunk on.
    pub fn set_faults(&self, faults: Faults) {
        *lock(&self.shared.faults) = faults;
    }

    /// The faults that are injected now.
    pub fn faults(&self) -> Faults {
        *lock(&self.shared.faults)
    }

    /// Injects no faults any more.
    pub fn clear_faults(&self) {
        self.set_faults(Faults::default());
    }

    /// Closes every open connection in both directions.
    pub fn reset_connections(&self) {
        for stream in lock(&self.shared.open_streams).drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    /// Bytes forwarded so far.
    pub fn bytes_forwarded(&self) -> ByteCounts {
        *lock(&self.shared.forwarded)
    }

    /// Bytes dropped so far.
    pub fn bytes_dropped(&self) -> ByteCounts {
        *lock(&self.shared.dropped)
    }
}

impl Drop for Proxy {
    fn drop(&mut self) {
        self.shared.stopping.store(true, Ordering::SeqCst);
        self.reset_connections();
        if let Some(thread) = self.accept_thread.take() {
            let _ = thread.join();
        }
    }
}

fn accept_connections(listener: TcpListener, shared: Arc<Shared>) {
    let mut forwarders: Vec<JoinHandle<()>> = Vec::new();
    while !shared.is_stopping() {
        forwarders.retain(|thread| !thread.is_finished());
        match listener.accept() {
            Ok((client, _)) if forwarders.len() >= 2 * MAX_CONNECTIONS => close(&client),
            Ok((client, _)) => forwarders.extend(forward_connection(client, &shared)),
            Err(e) if e.kind() == ErrorKind::WouldBlock => thread::sleep(POLL_INTERVAL),
            Err(e) => {
                log::warn!(target: "proxy", error:% = e; "cannot accept a connection");
                thread::sleep(POLL_INTERVAL);
            }
        }
    }
    for thread in forwarders {
        let _ = thread.join();
    }
}

/// Connects a client to the target, and starts the threads that forward in both directions.
fn forward_connection(client: TcpStream, shared: &Arc<Shared>) -> Vec<JoinHandle<()>> {
    let refuses = lock(&shared.faults).refuse_connections;
    let target = if refuses { None } else { *lock(&shared.target) };
    let connect = |target: SocketAddr| TcpStream::connect_timeout(&target, CONNECT_TIMEOUT).ok();
    let Some(server) = target.and_then(connect) else {
        close(&client);
        return Vec::new();
    };
    let clones = (client.try_clone(), server.try_clone(), client.try_clone(), server.try_clone());
    let (Ok(to_client), Ok(to_server), Ok(client_to_reset), Ok(server_to_reset)) = clones else {
        return Vec::new();
    };
    lock(&shared.open_streams).extend([client_to_reset, server_to_reset]);
    let directions = [(client, to_server, Direction::Forward), (server, to_client, Direction::Backward)];
    let start = |(from, to, direction)| {
        let shared = shared.clone();
        let run = move || forward::forward(from, to, direction, &shared);
        thread::Builder::new().name("proxy forwarder".into()).spawn(run).ok()
    };
    directions.into_iter().filter_map(start).collect()
}

fn close(stream: &TcpStream) {
    let _ = stream.shutdown(Shutdown::Both);
}
