//! The actor of one data node that speaks frames: carries out on sockets what its
//! [`ConnectionPool`](crate::net::connection_pool::ConnectionPool) decides.

mod actor;
mod connection;
mod reader;
mod writer;

use std::sync::{Arc, Mutex};
use std::time::Duration;

use may::sync::mpsc::{channel, Sender};

use crate::api::ServerId;
use crate::counters::Counters;
use crate::limits::Limits;
use crate::net::log_limit::LogRateLimit;
use crate::net::messages::{CoreMailbox, DrainGate, NodeMessage};
use crate::net::node::actor::NodeActor;
use crate::net::pending_updates::PendingUpdates;
use crate::runtime::{spawn_vital, Clock, Permits};
use crate::settings::Connections;

/// What every actor of a data node needs.
#[derive(Clone)]
pub struct NodeContext {
    /// The coordinator's mailbox.
    pub core: CoreMailbox,
    /// The process's limits.
    pub limits: Arc<Limits>,
    /// The settings of connections.
    pub connections: Connections,
    /// The shortest latency objective of all classes.
    pub shortest_latency_objective: Duration,
    /// Sockets that all data nodes may hold together.
    pub permits: Permits,
    /// Limits the log line that says that no socket is left.
    pub no_socket_log: Arc<Mutex<LogRateLimit>>,
    /// Counters.
    pub counters: Arc<Counters>,
    /// The clock.
    pub clock: Clock,
    /// Updates of the endpoint list that were received and not yet applied.
    pub pending_updates: PendingUpdates,
}

/// Starts the actor; returns its mailbox.
pub fn start(id: ServerId, gate: DrainGate, context: NodeContext) -> Sender<NodeMessage> {
    let (mailbox, inbox) = channel();
    let own_mailbox = mailbox.clone();
    let stack_words = context.limits.stack_words;
    spawn_vital("node", stack_words, move || NodeActor::new(id, gate, context, own_mailbox).run(&inbox));
    mailbox
}

#[cfg(test)]
mod tests;
