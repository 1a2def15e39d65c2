//! What the frontends see of the coordinator.

use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use curlewdeck_accounting::process_stats::ProcessStats;
use curlewdeck_accounting::saved::SavedLedger;
use curlewdeck_accounting::LedgerSnapshot;

use crate::api::{ClassId, Nanos, QueryId};
use crate::counters::Counters;
use crate::engine::{QueryRequest, RejectReason};
use crate::net::messages::{CoreMailbox, CoreMessage, Reply};
use crate::runtime::{lock, Clock};
use crate::settings::Deployment;

/// How long a caller waits for [`CoreHandle::saved_ledger`].
const SAVE_TIMEOUT: Duration = Duration::from_secs(2);

/// The coordinator's actor as the frontends see it; clones share it.
#[derive(Clone)]
pub struct CoreHandle {
    pub(super) mailbox: CoreMailbox,
    pub(super) next_query: Arc<AtomicU64>,
    /// Queries in the mailbox.
    pub(super) mailbox_queries: Arc<AtomicUsize>,
    pub(super) max_mailbox_queries: usize,
    pub(super) ready: Arc<AtomicBool>,
    /// By class: queries rejected because a queue was full, which the request ledger takes over.
    pub(super) rejected_queue_full: Arc<Mutex<Vec<u64>>>,
    pub(super) deployment: Arc<Mutex<Arc<Deployment>>>,
    /// The process stats as they were last published.
    pub(super) published_stats: Arc<Mutex<Arc<ProcessStats>>>,
    /// The clock of all deadlines.
    pub clock: Clock,
    /// Counters.
    pub counters: Arc<Counters>,
}

impl CoreHandle {
    /// Submits a query. `reply` is called once, unless its client is reported as disconnected before.
    pub fn submit(&self, request: QueryRequest, reply: Reply) -> QueryId {
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

    /// The settings that are in force.
    pub fn deployment(&self) -> Arc<Deployment> {
        lock(&self.deployment).clone()
    }

    /// Puts new settings in force; queries that are open keep the rules under which they were submitted.
    pub fn update_settings(&self, deployment: Deployment) {
        self.mailbox.send(CoreMessage::UpdateSettings(Box::new(deployment)));
    }

    /// Tells that the process shuts down: every query is answered by then, those that are queued included.
    pub fn shut_down_by(&self, deadline: Nanos) {
        self.mailbox.send(CoreMessage::ShutDownBy(deadline));
    }

    /// The process stats as they were last published, without waiting for the actor.
    pub fn process_stats(&self) -> Arc<ProcessStats> {
        lock(&self.published_stats).clone()
    }

    /// Hands a snapshot of the request ledger to `take`, once the actor comes to it.
    pub fn ledger_snapshot(&self, take: impl FnOnce(LedgerSnapshot) + Send + 'static) {
        self.mailbox.send(CoreMessage::SnapshotLedger(Box::new(take)));
    }

    /// A snapshot of the request ledger, for a thread that waits; none if the actor does not come to it within this time.
    /// Must not be called from a coroutine.
    pub fn ledger_snapshot_within(&self, within: Duration) -> Option<LedgerSnapshot> {
        self.request(within, CoreMessage::SnapshotLedger)
    }

    /// What of the request ledger outlives the process; none if the actor does not come to it within two seconds. Must not
    /// be called from a coroutine.
    pub fn saved_ledger(&self) -> Option<SavedLedger> {
        self.request(SAVE_TIMEOUT, CoreMessage::SaveLedger)
    }

    /// Sends a message that takes a callback, and waits for the call.
    fn request<T: Send + 'static>(
        &self,
        within: Duration,
        message: impl FnOnce(Box<dyn FnOnce(T) + Send>) -> CoreMessage,
    ) -> Option<T> {
        let (result, results) = std::sync::mpsc::channel();
        // Nobody waits any more after the time-out.
        self.mailbox.send(message(Box::new(move |value| drop(result.send(value)))));
        results.recv_timeout(within).ok()
    }

    /// Reports that the client of a query has disconnected.
    pub fn client_disconnected(&self, query: QueryId) {
        self.mailbox.send(CoreMessage::ClientDisconnected(query));
    }

    /// Whether queries can be served: some data node is active.
    pub fn ready(&self) -> bool {
        self.ready.load(Ordering::Acquire)
    }

    /// How long a client should wait before it retries a query that was rejected because a queue was full.
    pub fn queue_full_retry_after(&self) -> Nanos {
        let settings = &self.deployment().settings;
        settings.max_retry_after.unwrap_or(0).min(settings.shortest_latency_objective() / 4)
    }
}
