//! The state that all frontends share: the lifecycle of the process, its client connections and pending requests.

use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use curlewdeck_lifecycle::{Closing, Lifecycle};

use super::client_connection::{ClientConnection, PartialRequest};
use crate::api::Nanos;
use crate::net::coordinator::CoreHandle;
use crate::net::log_limit::LogRateLimit;
use crate::runtime::{lock, nanos, Clock};

/// The lifecycle of the process and its client connections.
pub struct Service {
    clock: Clock,
    lifecycle: Mutex<Lifecycle>,
    pending_requests: AtomicUsize,
    connections: Mutex<HashMap<u64, Arc<ClientConnection>>>,
    next_key: AtomicU64,
    /// Bounds the log lines about clients that disconnect without an answer.
    unanswered_log: Mutex<LogRateLimit>,
}

impl Service {
    /// A service without connections. It logs clients that disconnect without an answer at most once in `log_interval`.
    pub fn new(clock: Clock, lifecycle: Lifecycle, log_interval: Nanos) -> Self {
        Self {
            clock,
            lifecycle: Mutex::new(lifecycle),
            pending_requests: AtomicUsize::default(),
            connections: Mutex::default(),
            next_key: AtomicU64::default(),
            unanswered_log: Mutex::new(LogRateLimit::new(log_interval)),
        }
    }

    /// The lifecycle of the process. The guard must not be held over a yield of the coroutine.
    pub fn lifecycle(&self) -> MutexGuard<'_, Lifecycle> {
        lock(&self.lifecycle)
    }

    /// The current time on the clock of the lifecycle.
    pub fn now(&self) -> Nanos {
        self.clock.now()
    }

    /// Which connections are to be closed now.
    pub fn closing(&self) -> Closing {
        self.lifecycle().closing(self.now())
    }

    /// Why the process is not ready for new clients; `None` if it is.
    pub fn not_ready_reason(&self, core: &CoreHandle) -> Option<&'static str> {
        self.lifecycle()
            .not_serving_reason()
            .or_else(|| (!core.ready()).then_some("no data node is known yet"))
    }

    /// The number of requests that have been read and not yet answered.
    pub fn pending_requests(&self) -> usize {
        self.pending_requests.load(Ordering::Acquire)
    }

    /// Ends the idle connections, except those younger than `min_age` whose first request may be on its way, and closes
    /// those that have lingered for `linger`. Connections with a partial request are ended too, unless the process
    /// finishes: its clients have nobody to come back to. Returns whether no connection is open and no request pending.
    pub fn close_idle(&self, min_age: Duration, linger: Duration) -> bool {
        let partial = match self.lifecycle().finishing() {
            true => PartialRequest::KeepsOpen,
            false => PartialRequest::IsDropped,
        };
        let now = self.clock.now();
        let mut any_open = false;
        for connection in self.connections().values() {
            any_open |= close_if_idle(connection, now, min_age, linger, partial);
        }
        !any_open && self.pending_requests() == 0
    }

    /// The open connections by their keys. The guard must not be held over a yield of the coroutine.
    pub(super) fn connections(&self) -> MutexGuard<'_, HashMap<u64, Arc<ClientConnection>>> {
        lock(&self.connections)
    }

    /// Lists a connection as open until the registration is dropped.
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

    /// Records a client that disconnected without its answer. Returns how many did since the last log line, if one is
    /// due.
    pub(super) fn client_left_unanswered(&self) -> Option<u64> {
        let now = self.now();
        lock(&self.unanswered_log).occurred(now)
    }
}

/// Ends one connection if it is idle; returns whether it is still to be waited for.
fn close_if_idle(
    connection: &ClientConnection,
    now: Nanos,
    min_age: Duration,
    linger: Duration,
    partial: PartialRequest,
) -> bool {
    let (ended_at, may_end) = {
        let state = connection.state();
        let is_old_enough = state.has_served() || state.idle_for(now) >= nanos(min_age);
        (state.ended(), !state.has_pending_request() && is_old_enough)
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

/// The entry of an open connection: removed when its coroutine ends, or could not be started.
pub(super) struct Registration {
    service: Arc<Service>,
    key: u64,
}

impl Registration {
    /// The connection's key, by which log lines name it.
    pub(super) fn key(&self) -> u64 {
        self.key
    }
}

impl Drop for Registration {
    fn drop(&mut self) {
        self.service.connections().remove(&self.key);
    }
}
