//! The handle through which frontends use the coordinator.

use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use curlewdeck_accounting::process_stats::ProcessStats;
use curlewdeck_accounting::saved::SavedLedger;
use curlewdeck_accounting::LedgerSnapshot;

use crate::api::{ClassId, Nanos, QueryId};
use crate::counters::Counters;
use crate::engine::{QueryRequest, RejectReason};
use crate::net::messages::{CoreMailbox, CoreMessage, OutcomeCallback};
use crate::runtime::{lock, Clock};
use crate::settings::Deployment;

/// Time-out of [`CoreHandle::saved_ledger`].
const SAVE_TIMEOUT: Duration = Duration::from_secs(2);

/// A handle of the coordinator's actor; clones refer to the same actor.
#[derive(Clone)]
pub struct CoreHandle {
    pub(super) mailbox: CoreMailbox,
    pub(super) next_query: Arc<AtomicU64>,
    /// Number of queries in the mailbox.
    pub(super) mailbox_queries: Arc<AtomicUsize>,
    pub(super) max_mailbox_queries: usize,
    pub(super) ready: Arc<AtomicBool>,
    /// Number of queries rejected because a queue was full, by class. The actor copies it to the request ledger.
    pub(super) rejected_queue_full: Arc<Mutex<Vec<u64>>>,
    pub(super) deployment: Arc<Mutex<Arc<Deployment>>>,
    /// The last published process stats.
    pub(super) published_stats: Arc<Mutex<Arc<ProcessStats>>>,
    /// The clock of all deadlines.
    pub clock: Clock,
    /// The counters of the process.
    pub counters: Arc<Counters>,
}

impl CoreHandle {
    /// Submits a query. Calls `reply` once, unless the client is reported as disconnected before.
    pub fn submit(&self, request: QueryRequest, reply: OutcomeCallback) -> QueryId {
        let query = QueryId(self.next_query.fetch_add(1, Ordering::Relaxed));
        if self.mailbox_queries.fetch_add(1, Ordering::AcqRel) >= self.max_mailbox_queries {
            self.mailbox_queries.fetch_sub(1, Ordering::AcqRel);
            self.count_queue_full(request.class);
            reply(Err(RejectReason::QueueFull));
        } else {
            self.mailbox.send(CoreMessage::Submit { query, request, reply });
        }
        query
    }

    /// Counts a query that was rejected because a queue was full.
    pub(super) fn count_queue_full(&self, class: ClassId) {
        Counters::add(&self.counters.queries_over_limit);
        let mut rejected = lock(&self.rejected_queue_full);
        if rejected.len() <= class.0 {
            rejected.resize(class.0 + 1, 0);
        }
        rejected[class.0] += 1;
    }

    /// Returns the current settings, as last applied by the actor.
    pub fn deployment(&self) -> Arc<Deployment> {
        lock(&self.deployment).clone()
    }

    /// Applies new settings; open queries keep the rules under which they were submitted.
    pub fn update_settings(&self, deployment: Deployment) {
        self.mailbox.send(CoreMessage::UpdateSettings(Box::new(deployment)));
    }

    /// Starts the shutdown: all queries, including queued ones, are answered before the deadline.
    pub fn shut_down_by(&self, deadline: Nanos) {
        self.mailbox.send(CoreMessage::ShutDownBy(deadline));
    }

    /// Returns the last published process stats without waiting for the actor.
    pub fn process_stats(&self) -> Arc<ProcessStats> {
        lock(&self.published_stats).clone()
    }

    /// Requests a snapshot of the request ledger; the actor calls `take` with it.
    pub fn ledger_snapshot(&self, take: impl FnOnce(LedgerSnapshot) + Send + 'static) {
        self.mailbox.send(CoreMessage::SnapshotLedger(Box::new(take)));
    }

    /// Waits for a snapshot of the request ledger; returns `None` after this time-out. Blocks the thread, so it must
    /// not be called from a coroutine.
    pub fn ledger_snapshot_within(&self, timeout: Duration) -> Option<LedgerSnapshot> {
        self.request(timeout, CoreMessage::SnapshotLedger)
    }

    /// Waits for the part of the request ledger that is saved across restarts; returns `None` after two seconds. Blocks
    /// the thread, so it must not be called from a coroutine.
    pub fn saved_ledger(&self) -> Option<SavedLedger> {
        self.request(SAVE_TIMEOUT, CoreMessage::SaveLedger)
    }

    /// Sends a message with a callback, and waits for the callback's value.
    fn request<T: Send + 'static>(
        &self,
        timeout: Duration,
        message: impl FnOnce(Box<dyn FnOnce(T) + Send>) -> CoreMessage,
    ) -> Option<T> {
        let (sender, receiver) = std::sync::mpsc::channel();
        // The send fails after the time-out, when the receiver is dropped.
        self.mailbox.send(message(Box::new(move |value| drop(sender.send(value)))));
        receiver.recv_timeout(timeout).ok()
    }

    /// Reports that the client of a query has disconnected; the query then gets no reply.
    pub fn client_disconnected(&self, query: QueryId) {
        self.mailbox.send(CoreMessage::ClientDisconnected(query));
    }

    /// Returns whether queries can be served: at least one data node is active.
    pub fn ready(&self) -> bool {
        self.ready.load(Ordering::Acquire)
    }

    /// Returns how long a client should wait before it retries a query that was rejected because a queue was full.
    pub fn queue_full_retry_after(&self) -> Nanos {
        let settings = &self.deployment().settings;
        settings.max_retry_after.unwrap_or(0).min(settings.shortest_latency_objective() / 4)
    }
}
