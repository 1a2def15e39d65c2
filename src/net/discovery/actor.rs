//! The discovery actor: starts and abandons calls as the subscription decides, and applies the updates received.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use curlewdeck_membership::{
    AbandonReason, CallEnd, CallId, Command, Event, HedgeDelays, MembershipTable, Pacing, Request,
    Subscription,
};

use super::call::Call;
use super::call_log::{CallLog, FirstAnswer};
use super::lease_log::LeaseLog;
use super::update_log::UpdateLog;
use super::{DiscoveryConfig, DiscoveryContext};
use crate::api::Nanos;
use crate::counters::Counters;
use crate::net::endpoints::{DiscoveryUpdate, EndpointUpdate, ListedEndpoint};
use crate::net::messages::{CallError, CoreMessage, DiscoveryMessage};
use crate::net::pending_updates::PendingUpdate;
use crate::runtime::{nanos, sleep, spawn_reporting, Receiver, Sender, Stream, Timer};

/// Longest time for which a move to another service waits for updates of the previous one.
const MOVE_WAIT_MAX: Duration = Duration::from_millis(200);

const MOVE_RECHECK_INTERVAL: Duration = Duration::from_millis(1);

/// A move that waits for updates of the previous service.
#[derive(Debug, Clone, Copy)]
struct PendingMove {
    address: SocketAddr,
    since: Nanos,
}

pub(super) struct Actor {
    address: SocketAddr,
    pending_move: Option<PendingMove>,
    subscription: Subscription,
    table: MembershipTable<ListedEndpoint>,
    /// Connections of the open calls.
    streams: HashMap<CallId, Arc<Stream>>,
    call_log: CallLog,
    update_log: UpdateLog,
    lease_log: LeaseLog,
    timer: Timer,
    own_mailbox: Sender<DiscoveryMessage>,
    context: DiscoveryContext,
}

impl Actor {
    /// Creates an actor without calls. `known_version` is the version of the endpoint list from before the start.
    pub(super) fn new(
        config: &DiscoveryConfig,
        known_version: u64,
        context: DiscoveryContext,
        timer: Timer,
        own_mailbox: Sender<DiscoveryMessage>,
    ) -> Self {
        let limits = &context.limits;
        let hedge_delays = HedgeDelays {
            hedge: nanos(limits.discovery_hedge_delay),
            silence: nanos(limits.discovery_silence),
        };
        let pacing = Pacing::new(config.discovery, config.coordinators, hedge_delays, config.seed);
        Self {
            address: config.address,
            pending_move: None,
            subscription: Subscription::new(pacing, Some(known_version), context.clock.now()),
            table: MembershipTable::default(),
            streams: HashMap::new(),
            call_log: CallLog::new(nanos(limits.discovery_log_interval)),
            update_log: UpdateLog::new(
                nanos(limits.update_log_interval),
                nanos(limits.discovery_log_interval),
            ),
            lease_log: LeaseLog::new(nanos(limits.discovery_log_interval)),
            timer,
            own_mailbox,
            context,
        }
    }

    /// Applies an update to the membership table; returns the part that the core has to apply.
    pub(super) fn apply(&mut self, update: DiscoveryUpdate) -> EndpointUpdate {
        EndpointUpdate::from_applied(self.table.apply(update.into()))
    }

    /// Handles messages until the process ends.
    pub(super) fn run(mut self, inbox: &Receiver<DiscoveryMessage>) {
        self.step(Event::TimerFired);
        while let Some(message) = inbox.recv() {
            self.handle_message(message);
        }
    }

    fn handle_message(&mut self, message: DiscoveryMessage) {
        match message {
            DiscoveryMessage::TimerFired => {
                self.timer.fired();
                self.step(Event::TimerFired);
            }
            DiscoveryMessage::QueryWaiting => self.step(Event::QueryWaiting),
            DiscoveryMessage::ReloadStarted => self.step(Event::ReloadStarted),
            DiscoveryMessage::ReloadFinished => self.step(Event::ReloadFinished),
            DiscoveryMessage::AddressChanged(address) => self.address_changed(address),
            DiscoveryMessage::ContinueMove => self.continue_move(),
            DiscoveryMessage::Connected(call, stream) => self.call_connected(call, stream),
            DiscoveryMessage::Responding(call) => self.step(Event::Responding(call)),
            // Messages of abandoned calls are dropped.
            DiscoveryMessage::Heartbeat(call, pending) if self.subscription.is_open(call) => {
                self.heartbeat(call, pending);
            }
            DiscoveryMessage::Update(call, update, pending) if self.subscription.is_open(call) => {
                self.update(call, update, pending);
            }
            DiscoveryMessage::Ended(call, error) if self.subscription.is_open(call) => {
                self.call_ended(call, &error);
            }
            DiscoveryMessage::Heartbeat(..) | DiscoveryMessage::Update(..) | DiscoveryMessage::Ended(..) => {}
        }
    }

    /// Moves to another service, once what the previous one has sent is applied: it counts as notified.
    fn address_changed(&mut self, address: SocketAddr) {
        let since = self.pending_move.as_ref().map_or_else(|| self.now(), |pending| pending.since);
        self.pending_move = Some(PendingMove { address, since });
        self.continue_move();
    }

    fn continue_move(&mut self) {
        let Some(PendingMove { address, since }) = self.pending_move else { return };
        let waited = self.now().saturating_sub(since);
        if waited < nanos(MOVE_WAIT_MAX) && self.context.pending_updates.is_pending() {
            sleep(MOVE_RECHECK_INTERVAL);
            // Updates that have been read meanwhile come first. The send cannot fail: the actor is the receiver.
            let _ = self.own_mailbox.send(DiscoveryMessage::ContinueMove);
            return;
        }
        self.pending_move = None;
        log::info!(address:% = address, waited_ms = waited / nanos(Duration::from_millis(1)); "discovery address changed");
        self.address = address;
        self.step(Event::ServiceMoved);
    }

    fn call_connected(&mut self, call: CallId, stream: Arc<Stream>) {
        if self.subscription.is_open(call) {
            self.streams.insert(call, stream);
            self.step(Event::Connected(call));
        } else {
            stream.shutdown();
        }
    }

    fn heartbeat(&mut self, call: CallId, pending: PendingUpdate) {
        self.call_log.answered(call, FirstAnswer::Heartbeat, self.now());
        self.step(Event::Heartbeat(call));
        self.send_to_core(EndpointUpdate::unchanged(), Some(pending));
    }

    fn update(&mut self, call: CallId, update: DiscoveryUpdate, pending: PendingUpdate) {
        self.update_log.unreadable_lines(&update, self.now());
        let version = update.version;
        let applied = self.table.apply(update.into());
        self.call_log.answered(call, FirstAnswer::Version(version), self.now());
        self.update_log.applied(version, &applied, self.now());
        // Extend the lease first: the core checks it when it applies the update.
        self.step(Event::Updated(call, version));
        self.send_to_core(EndpointUpdate::from_applied(applied), Some(pending));
    }

    fn call_ended(&mut self, call: CallId, error: &CallError) {
        Counters::add(&self.context.counters.discovery_call_errors);
        self.call_log.ended(call, &error.reason, self.now());
        self.streams.remove(&call);
        self.step(Event::Ended(call, error.end));
    }

    fn send_to_core(&self, update: EndpointUpdate, pending: Option<PendingUpdate>) {
        self.context.core.send(CoreMessage::EndpointsUpdated(update, pending));
    }

    /// Passes an event to the subscription and executes the resulting commands.
    fn step(&mut self, event: Event) {
        let now = self.now();
        let end_before = self.subscription.usable_until();
        let commands = self.subscription.step(now, event);
        let end = self.subscription.usable_until();
        self.context.lease.set_end(end);
        if let Event::Ended(call, call_end) = event {
            if end > end_before {
                self.lease_log.extended(call, call_end, end, now);
            }
        }
        if now < end {
            self.lease_log.usable(now);
        }
        for command in commands {
            self.execute(command, now);
        }
        self.timer.set(self.subscription.next_deadline());
    }

    fn execute(&mut self, command: Command, now: Nanos) {
        match command {
            Command::Begin(call, request) => self.begin_call(call, request),
            Command::Abandon(call, reason) => self.abandon_call(call, reason),
            Command::UseUnconfirmedList => {
                log::warn!("using the unconfirmed endpoint list from before the start");
                self.send_to_core(EndpointUpdate::unchanged(), None);
            }
            Command::ListRestored => self.send_to_core(EndpointUpdate::unchanged(), None),
            Command::ListExpired => self.lease_expired(now),
        }
    }

    fn lease_expired(&mut self, now: Nanos) {
        self.lease_log.expired(now);
        Counters::add(&self.context.counters.endpoint_list_expired);
        self.context.core.send(CoreMessage::EndpointListExpired);
    }

    fn begin_call(&mut self, id: CallId, request: Request) {
        if self.subscription.has_open_watch() {
            Counters::add(&self.context.counters.discovery_call_errors);
            self.call_log.started_during_watch(id, self.now());
        }
        Counters::add(&self.context.counters.discovery_calls);
        self.call_log.started(id, request, self.now());
        let call = Call {
            id,
            request,
            address: self.address,
            actor: self.own_mailbox.clone(),
            limits: self.context.limits.clone(),
            pending_updates: self.context.pending_updates.clone(),
        };
        let own_mailbox = self.own_mailbox.clone();
        let ended = move |error: Option<CallError>| {
            let error = error.unwrap_or_else(CallError::coroutine_failed);
            // The send cannot fail: the actor outlives its calls.
            let _ = own_mailbox.send(DiscoveryMessage::Ended(id, error));
        };
        spawn_reporting("discovery call", self.context.limits.core_stack_words, move || call.run(), ended);
    }

    fn abandon_call(&mut self, call: CallId, reason: AbandonReason) {
        if reason == AbandonReason::Unanswered {
            Counters::add(&self.context.counters.discovery_call_errors);
        }
        self.call_log.abandoned(call, reason, self.now());
        if let Some(stream) = self.streams.remove(&call) {
            stream.shutdown();
        }
    }

    fn now(&self) -> Nanos {
        self.context.clock.now()
    }
}

impl CallError {
    fn coroutine_failed() -> Self {
        Self {
            end: CallEnd::LocalFailure,
            reason: "the coroutine of the call failed or could not be started".to_string(),
        }
    }
}
