//! The actor of one data node that uses the frame protocol: performs the outputs of its
//! [`ConnectionPool`](crate::net::connection_pool::ConnectionPool) on sockets.

mod actor;
mod connection;
mod reader;
mod writer;

use std::sync::{Arc, Mutex};
use std::time::Duration;

use crate::api::ServerId;
use crate::counters::Counters;
use crate::limits::Limits;
use crate::net::log_limit::LogRateLimit;
use crate::net::messages::{CoreMailbox, DrainGate, NodeMessage};
use crate::net::node::actor::NodeActor;
use crate::net::pending_updates::PendingUpdates;
use crate::net::shortest_objective::ShortestLatencyObjective;
use crate::runtime::{channel, spawn_critical, Clock, Permits, Sender};
use crate::settings::Connections;

/// Dependencies of every data node's actor.
#[derive(Clone)]
pub struct NodeContext {
    /// The coordinator's mailbox, which receives the ends of attempts and health checks.
    pub core: CoreMailbox,
    /// The limits of the process, such as stack sizes and timeouts.
    pub limits: Arc<Limits>,
    /// The settings of connections: multiplexing, idle and connect timeouts.
    pub connections: Connections,
    /// The shortest latency objective of all classes; changes with the settings.
    pub shortest_latency_objective: ShortestLatencyObjective,
    /// Permits for sockets, shared by all data nodes.
    pub permits: Permits,
    /// Rate limit of the log line about missing sockets, shared by all data nodes.
    pub no_socket_log: Arc<Mutex<LogRateLimit>>,
    /// The counters of the process; data nodes' actors count connections, attempts and bad frames.
    pub counters: Arc<Counters>,
    /// The monotonic clock that deadlines are compared with.
    pub clock: Clock,
    /// Updates of the endpoint list that were received but not yet applied.
    pub pending_updates: PendingUpdates,
}

impl NodeContext {
    /// The time without a complete frame after which a connection with parts in flight is not used for new ones.
    fn connection_silence(&self) -> Duration {
        self.limits.connection_silence_for(self.shortest_latency_objective.get())
    }
}

/// Starts the data node's actor; returns its mailbox.
pub fn start(id: ServerId, gate: DrainGate, context: NodeContext) -> Sender<NodeMessage> {
    let (mailbox, inbox) = channel();
    let own_mailbox = mailbox.clone();
    let stack_words = context.limits.stack_words;
    spawn_critical("node", stack_words, move || NodeActor::new(id, gate, context, own_mailbox).run(&inbox));
    mailbox
}

#[cfg(test)]
mod tests;
