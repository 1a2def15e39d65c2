//! The actor's state, main loop and message handlers.

use std::collections::HashMap;
use std::sync::atomic::Ordering;
use std::sync::Arc;

use curlewdeck_accounting::saved::SavedLedger;
use curlewdeck_accounting::{LedgerSnapshot, QueryEnd, RequestLedger};

use crate::api::{ClassId, Nanos, Outcome, QueryId, ServerId};
use crate::counters::Counters;
use crate::engine::{AttemptId, Engine, QueryRequest, RejectReason, Value};
use crate::net::coordinator::config::{OnEndpointsStarted, StartNode};
use crate::net::coordinator::handle::CoreHandle;
use crate::net::coordinator::node::NodeHandle;
use crate::net::endpoint_list_lease::EndpointListLease;
use crate::net::messages::{CoreMessage, DiscoveryMessage, OutcomeCallback, REQUEST_LOG_TARGET};
use crate::net::shortest_objective::ShortestLatencyObjective;
use crate::runtime::{lock, Receiver, Sender, Timer};
use crate::settings::Deployment;

/// Whether the endpoint list may be used.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum EndpointListState {
    /// The list is from before the start.
    Unconfirmed,
    /// The list is from before the start, and a query waits for its confirmation.
    ConfirmationRequested,
    /// The list may be used until its lease ends.
    Usable,
    /// The lease has ended.
    Expired,
}

pub(super) struct CoreActor {
    pub(super) engine: Engine,
    /// The authoritative record, from which the counters of queries and attempts are derived.
    pub(super) ledger: RequestLedger,
    pub(super) handle: CoreHandle,
    pub(super) discovery: Sender<DiscoveryMessage>,
    pub(super) start_node: StartNode,
    pub(super) timer: Timer,
    pub(super) nodes: HashMap<ServerId, NodeHandle>,
    pub(super) replies: HashMap<QueryId, OutcomeCallback>,
    pub(super) endpoint_list: EndpointListState,
    pub(super) lease: EndpointListLease,
    pub(super) shortest_latency_objective: ShortestLatencyObjective,
    /// Time of the last update or confirmation of the endpoint list.
    pub(super) last_update_at: Nanos,
    /// Longest expected interval between updates; a longer one is logged and counted as overdue.
    pub(super) poll_interval_max: Nanos,
    pub(super) on_endpoints_started: Option<OnEndpointsStarted>,
    pub(super) restored_ledger: Option<SavedLedger>,
    pub(super) stats_interval: Option<Nanos>,
    /// Time of the next publication of the process stats.
    pub(super) next_publication: Nanos,
}

impl CoreActor {
    /// Handles messages until the last mailbox is dropped. Runs the engine once for each batch of queued messages.
    pub(super) fn run(&mut self, inbox: &Receiver<CoreMessage>) {
        loop {
            self.run_engine();
            let next_publication = self.publish_process_stats();
            let next_deadline = self.engine.next_deadline().into_iter().chain(next_publication).min();
            if let Some(at) = next_deadline {
                self.timer.set(at);
            }
            let Some(message) = inbox.recv() else { return };
            self.handle_message(message);
            while let Some(message) = inbox.try_recv() {
                self.handle_message(message);
            }
        }
    }

    pub(super) fn handle_message(&mut self, message: CoreMessage) {
        let now = self.handle.clock.now();
        match message {
            CoreMessage::Submit { query, request, reply } => self.submit(now, query, request, reply),
            CoreMessage::ClientDisconnected(query) => self.client_disconnected(query),
            CoreMessage::EndpointsUpdated(update, pending) => {
                self.apply_endpoint_update(update);
                // The update counts as pending until it is applied.
                drop(pending);
            }
            // `check_lease` handles it before the next run of the engine.
            CoreMessage::EndpointListExpired => {}
            CoreMessage::AttemptEnded { attempt, outcome, value } => {
                self.attempt_ended(now, attempt, outcome, value);
            }
            CoreMessage::SaveLedger(take) => {
                self.record_rejected_queue_full();
                take(self.ledger.save());
            }
            CoreMessage::SnapshotLedger(take) => take(self.snapshot_ledger(now)),
            CoreMessage::UpdateSettings(deployment) => self.update_settings(*deployment),
            CoreMessage::ShutDownBy(deadline) => self.engine.shut_down_by(deadline),
            CoreMessage::TimerFired => self.timer.fired(),
            CoreMessage::HealthChecked { server, outcome } => {
                self.engine.health_checked(now, server, outcome);
            }
        }
    }

    fn submit(&mut self, now: Nanos, query: QueryId, request: QueryRequest, reply: OutcomeCallback) {
        self.handle.mailbox_queries.fetch_sub(1, Ordering::AcqRel);
        let class = request.class;
        let is_logged = log::log_enabled!(target: REQUEST_LOG_TARGET, log::Level::Debug);
        let name = if is_logged { request.name.clone() } else { String::new() };
        match self.engine.submit(now, query, request) {
            Ok(()) => {
                log::debug!(target: REQUEST_LOG_TARGET, query = query.0, request = name.as_str(); "query accepted");
                self.request_confirmation();
                self.ledger.query_accepted(now, query, class);
                self.replies.insert(query, reply);
            }
            Err(reason) => {
                log::debug!(target: REQUEST_LOG_TARGET, request = name.as_str(), reason:? = reason; "query not accepted");
                self.record_not_accepted(now, query, class, reason);
                reply(Err(reason));
            }
        }
    }

    fn record_not_accepted(&mut self, now: Nanos, query: QueryId, class: ClassId, reason: RejectReason) {
        match reason {
            RejectReason::QueueFull => self.handle.count_queue_full(class),
            // The deadline passed before the query could be accepted; counted like any other rejected query.
            RejectReason::DeadlinePassed => {
                self.ledger.query_accepted(now, query, class);
                self.ledger.query_ended(query, QueryEnd::Rejected);
            }
            _ => {}
        }
    }

    /// Requests a discovery call when the first query waits for the endpoint list to be confirmed.
    fn request_confirmation(&mut self) {
        if self.endpoint_list != EndpointListState::Unconfirmed {
            return;
        }
        self.endpoint_list = EndpointListState::ConfirmationRequested;
        if self.discovery.send(DiscoveryMessage::QueryWaiting).is_err() {
            log::error!("the discovery actor has ended");
        }
    }

    fn client_disconnected(&mut self, query: QueryId) {
        if self.replies.remove(&query).is_some() {
            log::debug!(target: REQUEST_LOG_TARGET, query = query.0; "client disconnected");
            self.ledger.query_ended(query, QueryEnd::ClientDisconnected);
            self.engine.client_disconnected(query);
        }
    }

    fn attempt_ended(&mut self, now: Nanos, attempt: AttemptId, outcome: Outcome, value: Option<Value>) {
        log::debug!(target: REQUEST_LOG_TARGET, attempt = attempt.0, outcome:? = outcome; "attempt ended");
        let recorded = self.engine.attempt_ended(now, attempt, outcome, value);
        if recorded != outcome {
            Counters::add(&self.handle.counters.values_invalid);
        }
    }

    fn snapshot_ledger(&mut self, now: Nanos) -> LedgerSnapshot {
        self.record_rejected_queue_full();
        let snapshot = self.ledger.snapshot(now);
        debug_assert_eq!(snapshot.check(), Ok(()));
        snapshot
    }

    /// Records the queries that were rejected before they reached the engine.
    pub(super) fn record_rejected_queue_full(&mut self) {
        for (class, &count) in lock(&self.handle.rejected_queue_full).iter().enumerate() {
            self.ledger.queries_rejected_queue_full(ClassId(class), count);
        }
    }

    fn update_settings(&mut self, deployment: Deployment) {
        let deployment = self.engine.update_settings(deployment);
        self.ledger.add_classes(&deployment.settings.classes, &deployment.class_names);
        self.shortest_latency_objective.set(deployment.settings.shortest_latency_objective());
        *lock(&self.handle.deployment) = Arc::new(deployment.clone());
    }
}
