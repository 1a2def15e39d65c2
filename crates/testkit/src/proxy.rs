//! A fault-injecting TCP proxy on loopback. It listens on an ephemeral port, forwards each connection to one target,
//! and on a test's request delays, drops or reorders data or closes connections.
//!
//! Resources are bounded: at most [`MAX_CONNECTIONS`] concurrent connections (further ones are closed immediately), two
//! threads per connection and one that accepts. All threads end within [`POLL_INTERVAL`] after the proxy is dropped.

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

/// Maximum number of concurrent connections.
pub const MAX_CONNECTIONS: usize = 64;
/// Interval at which threads check for the end of the proxy and for changed faults.
pub const POLL_INTERVAL: Duration = Duration::from_millis(20);
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Faults to inject; none by default.
#[derive(Debug, Clone, Copy, Default)]
pub struct Faults {
    /// Delay before each chunk of data is forwarded, in both directions; the order is kept.
    pub delay: Duration,
    /// Drops all bytes from the client to the target.
    pub drop_forward: bool,
    /// Drops all bytes from the target to the client.
    pub drop_backward: bool,
    /// Closes new connections immediately.
    pub refuse_connections: bool,
    /// Duplicates some messages from the client to the target, and swaps some with their successor. Messages are
    /// selected by their sequence number, so that a run is reproducible for the same messages.
    pub reorder: Option<MessageLength>,
    /// Drops selected messages from the client to the target. If `reorder` is set too, it applies to the remaining
    /// ones. Must be set at a message boundary of each connection.
    pub drop_messages: Option<DroppedMessages>,
}

/// Selects the messages to drop.
#[derive(Debug, Clone, Copy)]
pub struct DroppedMessages {
    /// Determines the message boundaries.
    pub length: MessageLength,
    /// Returns whether to drop a message. Called once per complete message, before it is forwarded.
    pub is_dropped: fn(&[u8]) -> bool,
}

/// Returns the length in bytes of the first message in a buffer; `None` while the length cannot be determined.
pub type MessageLength = fn(&[u8]) -> Option<usize>;

impl Faults {
    /// A network partition: drops all data in both directions, and closes new connections.
    pub fn partition() -> Self {
        Self { drop_forward: true, drop_backward: true, refuse_connections: true, ..Self::default() }
    }
}

/// Byte counts by direction.
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
    // Poisoning is ignored, since a panicking thread never leaves a value half-written.
    mutex.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
}

/// A running proxy. Dropping it closes its connections and ends its threads.
pub struct Proxy {
    address: SocketAddr,
    shared: Arc<Shared>,
    accept_thread: Option<JoinHandle<()>>,
}

impl Proxy {
    /// Starts a proxy that forwards to `target`. Without a target, connections are closed until
    /// [`Proxy::forward_to`] sets one.
    ///
    /// # Errors
    /// Fails if the proxy cannot listen on loopback or start its thread.
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

    /// The address to which clients connect.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Forwards new connections to another target, such as the new port of a restarted process.
    pub fn forward_to(&self, target: SocketAddr) {
        *lock(&self.shared.target) = Some(target);
    }

    /// Replaces the injected faults, effective from the next chunk of data.
    pub fn set_faults(&self, faults: Faults) {
        *lock(&self.shared.faults) = faults;
    }

    /// The faults currently injected.
    pub fn faults(&self) -> Faults {
        *lock(&self.shared.faults)
    }

    /// Stops injecting faults.
    pub fn clear_faults(&self) {
        self.set_faults(Faults::default());
    }

    /// Closes every open connection in both directions.
    pub fn reset_connections(&self) {
        for stream in lock(&self.shared.open_streams).drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    /// Bytes forwarded since the start; a duplicated message counts once.
    pub fn bytes_forwarded(&self) -> ByteCounts {
        *lock(&self.shared.forwarded)
    }

    /// Bytes dropped since the start.
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
                log::warn!(target: "proxy", error:% = e; "failed to accept a connection");
                thread::sleep(POLL_INTERVAL);
            }
        }
    }
    for thread in forwarders {
        let _ = thread.join();
    }
}

/// Connects a client to the target, and starts one forwarding thread per direction.
fn forward_connection(client: TcpStream, shared: &Arc<Shared>) -> Vec<JoinHandle<()>> {
    let refused = lock(&shared.faults).refuse_connections;
    let target = if refused { None } else { *lock(&shared.target) };
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
