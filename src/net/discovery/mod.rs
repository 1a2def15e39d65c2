//! Service discovery: the actor that keeps the endpoint list up to date.
//!
//! It carries out what [`Subscription`](curlewdeck_membership::Subscription) decides, and hands on to the core what
//! [`MembershipTable`](curlewdeck_membership::MembershipTable) has in force. Its timer runs beside its calls: one that is
//! never heard of again is abandoned, and another one begins.

mod actor;
mod call;
mod call_log;
mod lease_log;
mod update_log;

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use may::sync::mpsc::{channel, Sender};

use crate::api::{DiscoveryMode, EndpointUpdateKind, Nanos};
use crate::counters::Counters;
use crate::limits::Limits;
use crate::net::endpoint_list_lease::EndpointListLease;
use crate::net::endpoints::{DiscoveryUpdate, EndpointUpdate};
use crate::net::messages::{CoreMailbox, DiscoveryMessage};
use crate::net::pending_updates::PendingUpdates;
use crate::runtime::{spawn_vital, Clock, Timer};

use actor::Actor;

const NANOS_PER_MS: Nanos = 1_000_000;

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
    /// Updates that were read, and that the core has not taken yet.
    pub pending_updates: PendingUpdates,
    /// Until when the endpoint list may be used.
    pub lease: EndpointListLease,
}

/// How one coordinator subscribes to discovery.
pub struct DiscoveryPlan {
    /// The service's address.
    pub address: SocketAddr,
    /// Whether it is polled or watched.
    pub discovery: DiscoveryMode,
    /// Coordinators that call the same service.
    pub coordinators: u32,
    /// The seed of random numbers.
    pub seed: u64,
    /// The endpoint list from before the start.
    pub known: Option<DiscoveryUpdate>,
}

/// Starts the actor; returns its mailbox, and the endpoint list from before the start as the core takes it.
///
/// # Errors
/// There is no thread for its timer.
pub fn start(
    mut plan: DiscoveryPlan,
    context: DiscoveryContext,
) -> io::Result<(Sender<DiscoveryMessage>, EndpointUpdate)> {
    let (mailbox, inbox) = channel();
    let timer_mailbox = mailbox.clone();
    // The actor outlives its timer.
    let timer = Timer::start(context.clock, move || drop(timer_mailbox.send(DiscoveryMessage::TimePassed)))?;
    let known = plan.known.take();
    // Everything has changed since version 0.
    let version = known.as_ref().map_or(0, |known| known.version);
    log::info!(
        address:% = plan.address,
        mode:? = plan.discovery,
        coordinators = plan.coordinators,
        known_version = version;
        "subscribing to discovery"
    );
    let stack_words = context.limits.stack_words;
    let mut actor = Actor::new(&plan, version, context, timer, mailbox.clone());
    let known = known.map_or_else(EndpointUpdate::unchanged, |known| actor.apply(known));
    let known = EndpointUpdate { kind: EndpointUpdateKind::Unconfirmed, ..known };
    spawn_vital("discovery", stack_words, move || actor.run(&inbox));
    Ok((mailbox, known))
}
