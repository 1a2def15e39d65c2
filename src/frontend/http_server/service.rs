//! The state that all frontends share: the lifecycle of the process, its client connections and pending requests.

use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use curlewdeck_lifecycle::{Closing, Lifecycle};

use super::client_connection::{ClientConnection, PartialRequestPolicy};
use super::connection_log::ConnectionLog;
use super::pipeline_pace::PipelinePace;
use super::read_pace::ReadPace;
use crate::api::Nanos;
use crate::net::coordinator::CoreHandle;
use crate::runtime::{lock, nanos, Clock};

/// The maximum number of bytes that are discarded at once. The end of a connection lies behind its unread bytes, and must
/// be found well before 0.1 s, after which nothing may be sent for a client that has gone.
const DISCARD_BUFFER_BYTES: usize = 64 * 1024;

/// The lifecycle of the process and its client connections.
pub struct Service {
    clock: Clock,
    lifecycle: Mutex<Lifecycle>,
    pending_requests: AtomicUsize,
    connections: Mutex<HashMap<u64, Arc<ClientConnection>>>,
    next_key: AtomicU64,
    pub(super) pipeline_pace: PipelinePace,
    pub(super) read_pace: ReadPace,
    /// Receives the bytes of all connections that are discarded.
    discard_buffer: Mutex<Vec<u8>>,
    pub(super) log: ConnectionLog,
}

impl Service {
    /// Creates the state without connections. Events of connections are logged at most once per `log_interval` and
    /// kind.
    pub fn new(clock: Clock, lifecycle: Lifecycle, log_interval: Nanos) -> Self {
        Self {
            clock,
            lifecycle: Mutex::new(lifecycle),
            pending_requests: AtomicUsize::default(),
            connections: Mutex::default(),
            next_key: AtomicU64::default(),
            pipeline_pace: PipelinePace::default(),
            read_pace: ReadPace::default(),
            discard_buffer: Mutex::new(vec![0; DISCARD_BUFFER_BYTES]),
            log: ConnectionLog::new(clock, log_interval),
        }
    }

    /// Locks the lifecycle of the process. The guard must not be held over a yield of the coroutine.
    pub fn lifecycle(&self) -> MutexGuard<'_, Lifecycle> {
        lock(&self.lifecycle)
    }

    /// The current time on the clock that the lifecycle uses.
    pub fn now(&self) -> Nanos {
        self.clock.now()
    }

    /// Which connections must be closed now.
    pub fn closing(&self) -> Closing {
        self.lifecycle().closing(self.now())
    }

    /// Why the process is not ready for new clients, or `None` if it is ready.
    pub fn not_ready_reason(&self, core: &CoreHandle) -> Option<&'static str> {
        self.lifecycle()
            .not_serving_reason()
            .or_else(|| (!core.ready()).then_some("no data node is known yet"))
    }

    /// The number of requests that have been read and neither answered nor abandoned.
    pub fn pending_requests(&self) -> usize {
        self.pending_requests.load(Ordering::Acquire)
    }

    /// Ends idle connections, and closes those that have lingered for `linger`. Keeps connections without a served
    /// request that are younger than `min_age`, because their first request may be in transit. Ends connections with a
    /// partial request too, unless the process is shutting down: then the client could not reconnect. Returns whether
    /// no connection is open and no request is pending.
    pub fn close_idle(&self, min_age: Duration, linger: Duration) -> bool {
        let partial = match self.lifecycle().is_shutting_down() {
            true => PartialRequestPolicy::KeepOpen,
            false => PartialRequestPolicy::Discard,
        };
        let now = self.clock.now();
        let mut any_open = false;
        for connection in self.connections().values() {
            any_open |= close_if_idle(connection, now, min_age, linger, partial);
        }
        !any_open && self.pending_requests() == 0
    }

    /// Locks the map of open connections by key. The guard must not be held over a yield of the coroutine.
    pub(super) fn connections(&self) -> MutexGuard<'_, HashMap<u64, Arc<ClientConnection>>> {
        lock(&self.connections)
    }

    /// Registers an open connection until the registration is dropped.
    pub(super) fn register(self: &Arc<Self>, connection: Arc<ClientConnection>) -> Registration {
        let key = self.next_key.fetch_add(1, Ordering::Relaxed);
        self.connections().insert(key, connection);
        Registration { service: self.clone(), key }
    }

    pub(super) fn request_started(&self) {
        self.pending_requests.fetch_add(1, Ordering::AcqRel);
    }

    pub(super) fn request_finished(&self) {
        self.pending_requests.fetch_sub(1, Ordering::AcqRel);
    }

    /// Locks the buffer for bytes to discard. The guard must not be held over a yield of the coroutine.
    pub(super) fn discard_buffer(&self) -> MutexGuard<'_, Vec<u8>> {
        lock(&self.discard_buffer)
    }
}

/// Ends one connection if it is idle, or closes it if it has lingered for long enough. Returns whether it is still
/// open.
fn close_if_idle(
    connection: &ClientConnection,
    now: Nanos,
    min_age: Duration,
    linger: Duration,
    partial: PartialRequestPolicy,
) -> bool {
    let (ended_at, may_end) = {
        let state = connection.state();
        let is_old_enough = state.has_served() || state.idle_for(now) >= nanos(min_age);
        (state.ended_at(), !state.has_pending_request() && is_old_enough)
    };
    match ended_at {
        Some(at) if now.saturating_sub(at) >= nanos(linger) => {
            connection.stream.shutdown();
            return false;
        }
        Some(_) => {}
        None if may_end => {
            connection.end_with(now, partial);
        }
        None => {}
    }
    true
}

/// The entry of an open connection. Dropping it removes the entry when the coroutine ends or fails to start.
pub(super) struct Registration {
    service: Arc<Service>,
    key: u64,
}

impl Registration {
    /// The key that identifies the connection in log lines.
    pub(super) fn key(&self) -> u64 {
        self.key
    }
}

impl Drop for Registration {
    fn drop(&mut self) {
        self.service.connections().remove(&self.key);
    }
}
