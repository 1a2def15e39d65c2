//! Service discovery: the actor that keeps the endpoint list up to date.
//!
//! The actor executes the commands of [`Subscription`](curlewdeck_membership::Subscription) and sends the updates that
//! [`MembershipTable`](curlewdeck_membership::MembershipTable) has applied to the core. Its timer is independent of its
//! calls, so that it abandons a silent call and starts another one.

mod actor;
mod call;
mod call_log;
mod lease_log;
mod update_log;

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use crate::api::{DiscoveryMode, EndpointUpdateKind, Nanos};
use crate::counters::Counters;
use crate::limits::Limits;
use crate::net::endpoint_list_lease::EndpointListLease;
use crate::net::endpoints::{DiscoveryUpdate, EndpointUpdate};
use crate::net::messages::{CoreMailbox, DiscoveryMessage};
use crate::net::pending_updates::PendingUpdates;
use crate::runtime::{channel, spawn_critical, Clock, Sender, Timer};

use actor::Actor;

const NANOS_PER_MS: Nanos = 1_000_000;

/// Shared state and settings of the process that the discovery actor uses.
pub struct DiscoveryContext {
    /// The core's mailbox.
    pub core: CoreMailbox,
    /// Time-outs and sizes of the process.
    pub limits: Arc<Limits>,
    /// Counts calls, their errors and expired leases.
    pub counters: Arc<Counters>,
    /// The clock of all deadlines.
    pub clock: Clock,
    /// Tracks the updates that the core has not applied yet.
    pub pending_updates: PendingUpdates,
    /// The lease of the endpoint list, whose end the actor sets.
    pub lease: EndpointListLease,
}

/// The settings of a coordinator's subscription to discovery.
pub struct DiscoveryConfig {
    /// The address of the discovery service.
    pub address: SocketAddr,
    /// Whether the actor polls the service or watches it.
    pub discovery: DiscoveryMode,
    /// The number of coordinators that call the same service.
    pub coordinators: u32,
    /// The seed of the random numbers that spread calls over time.
    pub seed: u64,
    /// The endpoint list from before the start, if there is one.
    pub known: Option<DiscoveryUpdate>,
}

/// Starts the actor; returns its mailbox and the unconfirmed endpoint list from before the start, converted for the
/// core.
///
/// # Errors
/// The timer's thread cannot be started.
pub fn start(
    mut config: DiscoveryConfig,
    context: DiscoveryContext,
) -> io::Result<(Sender<DiscoveryMessage>, EndpointUpdate)> {
    let (mailbox, inbox) = channel();
    let timer_mailbox = mailbox.clone();
    // The send cannot fail: the actor outlives its timer.
    let timer = Timer::start(context.clock, move || drop(timer_mailbox.send(DiscoveryMessage::TimerFired)))?;
    let known = config.known.take();
    // Every change is newer than version 0.
    let version = known.as_ref().map_or(0, |known| known.version);
    log::info!(
        address:% = config.address,
        mode:? = config.discovery,
        coordinators = config.coordinators,
        known_version = version;
        "subscribing to discovery"
    );
    let stack_words = context.limits.stack_words;
    let mut actor = Actor::new(&config, version, context, timer, mailbox.clone());
    let known = known.map_or_else(EndpointUpdate::unchanged, |known| actor.apply(known));
    let known = EndpointUpdate { kind: EndpointUpdateKind::Unconfirmed, ..known };
    spawn_critical("discovery", stack_words, move || actor.run(&inbox));
    Ok((mailbox, known))
}
