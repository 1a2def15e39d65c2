//! Service discovery: the actor that keeps the list of data nodes up to date.
//!
//! It carries out what [`Subscription`] decides, and hands on to the core what [`MembershipTable`] has in force. Its clock
//! runs beside its calls: one that is never heard of again is given up and begun anew.

mod call;
mod call_log;

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use curlewdeck_membership::{
    Abandoned, CallEnd, CallId, Command, Event, MembershipTable, Pacing, Request, Spans, State, Subscription,
    Update,
};
use may::sync::mpsc::{channel, Receiver, Sender};

use crate::api::{self, EndpointUpdateKind, Nanos};
use crate::counters::Counters;
use crate::limits::Limits;
use crate::net::endpoint_list_lease::EndpointListLease;
use crate::net::endpoints::{DiscoveryUpdate, EndpointUpdate, ListedEndpoint};
use crate::net::log_limit::LogLimit;
use crate::net::messages::{CallError, CoreMailbox, CoreMessage, DiscoveryMessage};
use crate::net::pending_updates::{PendingUpdate, PendingUpdates};
use crate::runtime::{nanos, spawn_told, spawn_vital, Alarm, Clock, Stream};

use call::Call;
use call_log::CallLog;

/// What the actor of discovery needs of the process.
pub struct DiscoveryContext {
    /// The core's mailbox.
    pub core: CoreMailbox,
    /// The process's limits.
    pub limits: Arc<Limits>,
    /// Counters.
    pub counters: Arc<Counters>,
    /// The clock.
    pub clock: Clock,
    /// How fresh the list is.
    pub freshness: PendingUpdates,
    /// Until when it may be used.
    pub lease: EndpointListLease,
}

/// How one coordinator subscribes to discovery.
pub struct DiscoveryPlan {
    /// The service's address.
    pub address: SocketAddr,
    /// How the list comes.
    pub discovery: api::DiscoveryMode,
    /// Coordinators that call the same service.
    pub coordinators: u32,
    /// For random numbers.
    pub seed: u64,
    /// The list as it was held before the start.
    pub known: Option<DiscoveryUpdate>,
}

/// Starts the actor; returns its mailbox, and the list from before the start as the core takes it.
///
/// # Errors
/// There is no thread for its alarm.
pub fn start(
    plan: DiscoveryPlan,
    context: DiscoveryContext,
) -> io::Result<(Sender<DiscoveryMessage>, EndpointUpdate)> {
    let (mail, inbox) = channel();
    let rings = mail.clone();
    // The actor outlives its alarm.
    let alarm = Alarm::start(context.clock, move || drop(rings.send(DiscoveryMessage::TimePassed)))?;
    let limits = &context.limits;
    let spans = Spans { hedge: nanos(limits.discovery_hedge), silence: nanos(limits.discovery_silence) };
    let pacing = Pacing::new(plan.discovery, plan.coordinators, spans, plan.seed);
    // Everything has changed since version 0.
    let version = plan.known.as_ref().map_or(0, |known| known.version);
    log::info!(
        "the list comes from {}, {:?}, to {} coordinators; version {version} is known",
        plan.address,
        plan.discovery,
        plan.coordinators
    );
    let mut table = MembershipTable::default();
    let known = plan.known.map(|known| EndpointUpdate::in_force(table.apply(known.into())));
    let known = EndpointUpdate {
        kind: EndpointUpdateKind::Unconfirmed,
        ..known.unwrap_or_else(EndpointUpdate::unchanged)
    };
    let words = limits.stack_words;
    let actor = Actor {
        address: plan.address,
        subscription: Subscription::new(pacing, Some(version), context.clock.now()),
        table,
        streams: HashMap::new(),
        calls: CallLog::new(nanos(limits.discovery_log)),
        bad_lines: LogLimit::new(nanos(limits.discovery_log)),
        news: LogLimit::new(nanos(limits.list_log)),
        expired_at: None,
        alarm,
        own: mail.clone(),
        context,
    };
    spawn_vital("discovery", words, move || actor.run(&inbox));
    Ok((mail, known))
}

const MILLI: Nanos = 1_000_000;

/// How many data nodes an update names in each state, and the names of the first that are not in service.
fn summary(update: &Update<ListedEndpoint>) -> String {
    const NAMED: usize = 8;
    let of =
        |state: State| update.lines.iter().filter(move |line| line.state == state).map(|l| l.uid.as_str());
    let named = |state: State| of(state).take(NAMED).collect::<Vec<_>>().join(" ");
    let kind = if update.complete { "snapshot" } else { "change" };
    let (up, draining, removed) =
        (of(State::Up).count(), of(State::Draining).count(), of(State::Removed).count());
    format!(
        "{kind}, {up} up, {draining} draining ({}), {removed} removed ({})",
        named(State::Draining),
        named(State::Removed)
    )
}

struct Actor {
    address: SocketAddr,
    subscription: Subscription,
    table: MembershipTable<ListedEndpoint>,
    /// Connections of the calls that are open.
    streams: HashMap<CallId, Arc<Stream>>,
    calls: CallLog,
    /// Bounds the log on lines of the list that cannot be read.
    bad_lines: LogLimit,
    /// Bounds the log on news of the list.
    news: LogLimit,
    /// When the list's lease has ended, while it has not begun anew.
    expired_at: Option<Nanos>,
    alarm: Alarm,
    own: Sender<DiscoveryMessage>,
    context: DiscoveryContext,
}

impl Actor {
    fn run(mut self, inbox: &Receiver<DiscoveryMessage>) {
        self.step(Event::TimePassed);
        while let Ok(message) = inbox.recv() {
            self.take(message);
        }
    }

    fn take(&mut self, message: DiscoveryMessage) {
        match message {
            DiscoveryMessage::TimePassed => {
                self.alarm.rung();
                self.step(Event::TimePassed);
            }
            DiscoveryMessage::QueryWaiting => self.step(Event::QueryWaiting),
            DiscoveryMessage::ReloadBegins => self.step(Event::ReloadBegins),
            DiscoveryMessage::ReloadSettled => self.step(Event::ReloadSettled),
            DiscoveryMessage::Moved(address) => {
                log::info!("the list is asked for at {address} from now on");
                self.address = address;
                self.step(Event::ServiceMoved);
            }
            DiscoveryMessage::Up(call, stream) if self.subscription.hears(call) => {
                self.streams.insert(call, stream);
            }
            DiscoveryMessage::Up(_, stream) => stream.shut(),
            DiscoveryMessage::Heartbeat(call, on_the_way) if self.subscription.hears(call) => {
                self.calls.heard(call, "nothing has changed", self.now());
                self.step(Event::Heartbeat(call));
                self.context
                    .core
                    .send(CoreMessage::EndpointsUpdated(EndpointUpdate::unchanged(), Some(on_the_way)));
            }
            DiscoveryMessage::Update(call, update, on_the_way) if self.subscription.hears(call) => {
                self.told(call, update, on_the_way);
            }
            DiscoveryMessage::Ended(call, error) if self.subscription.hears(call) => self.ended(call, &error),
            // Of a call that was given up.
            DiscoveryMessage::Heartbeat(..) | DiscoveryMessage::Update(..) | DiscoveryMessage::Ended(..) => {}
        }
    }

    fn told(&mut self, call: CallId, update: DiscoveryUpdate, on_the_way: PendingUpdate) {
        self.log_bad_lines(&update);
        let version = update.version;
        let in_force = self.table.apply(update.into());
        self.calls.heard(call, &format!("version {version}"), self.now());
        if let Some(times) = self.news.occurred(self.now()) {
            let news = summary(&in_force);
            log::info!("the list has version {version}: {news} (news since the last such line: {times})");
        }
        // The lease first: the core looks at it when it takes the news.
        self.step(Event::Told(call, version));
        self.context
            .core
            .send(CoreMessage::EndpointsUpdated(EndpointUpdate::in_force(in_force), Some(on_the_way)));
    }

    fn ended(&mut self, call: CallId, error: &CallError) {
        Counters::add(&self.context.counters.list_errors);
        self.calls.ended(call, &error.why, self.now());
        self.streams.remove(&call);
        self.step(Event::Ended(call, error.end));
    }

    fn abandon(&mut self, call: CallId, why: Abandoned) {
        if why == Abandoned::Unanswered {
            Counters::add(&self.context.counters.list_errors);
        }
        self.calls.abandoned(call, why, self.now());
        if let Some(stream) = self.streams.remove(&call) {
            stream.shut();
        }
    }

    fn log_bad_lines(&mut self, update: &DiscoveryUpdate) {
        let now = self.now();
        let due = update
            .unreadable_lines()
            .fold(None, |due, error| self.bad_lines.occurred(now).map(|times| (times, error)).or(due));
        if let Some((times, error)) = due {
            log::warn!(
                "the list has a line that cannot be used: {error} (since the last such line: {times})"
            );
        }
    }

    fn step(&mut self, event: Event) {
        let now = self.now();
        let commands = self.subscription.step(now, event);
        self.context.lease.set_end(self.subscription.usable_until());
        self.log_renewal(now);
        for command in commands {
            match command {
                Command::Begin(call, request) => self.begin(call, request),
                Command::Abandon(call, why) => self.abandon(call, why),
                Command::UseUnconfirmedList => {
                    log::warn!("the list from before the start is used: discovery has not confirmed it");
                    self.context.core.send(CoreMessage::EndpointsUpdated(EndpointUpdate::unchanged(), None));
                }
                Command::ListRestored => {
                    self.context.core.send(CoreMessage::EndpointsUpdated(EndpointUpdate::unchanged(), None))
                }
                Command::ListExpired => {
                    log::warn!("the list may not be used any more: its news is overdue");
                    Counters::add(&self.context.counters.list_expired);
                    self.expired_at = Some(now);
                    self.context.core.send(CoreMessage::EndpointListExpired);
                }
            }
        }
        self.alarm.set(self.subscription.next_deadline());
    }

    fn log_renewal(&mut self, now: Nanos) {
        if let Some(at) = self.expired_at.take_if(|_| self.subscription.usable(now)) {
            log::info!("the list may be used again after {} ms", now.saturating_sub(at) / MILLI);
        }
    }

    fn begin(&mut self, id: CallId, request: Request) {
        if self.subscription.follows() {
            Counters::add(&self.context.counters.list_errors);
            self.calls.begins_beside_watch(id, self.now());
        }
        Counters::add(&self.context.counters.list_calls);
        self.calls.begins(id, request, self.now());
        let (address, actor, limits) = (self.address, self.own.clone(), self.context.limits.clone());
        let freshness = self.context.freshness.clone();
        let call = Call { id, request, address, actor, limits, freshness };
        let own = self.own.clone();
        let ended = move |error: Option<CallError>| {
            let failed = || CallError {
                end: CallEnd::LocalFailure,
                why: "its coroutine has failed, or could not be started".to_string(),
            };
            // The actor outlives its calls.
            let _ = own.send(DiscoveryMessage::Ended(id, error.unwrap_or_else(failed)));
        };
        spawn_told("discovery call", self.context.limits.core_stack_words, move || call.run(), ended);
    }

    fn now(&self) -> Nanos {
        self.context.clock.now()
    }
}
