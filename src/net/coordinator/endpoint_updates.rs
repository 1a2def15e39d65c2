//! Applies updates of the endpoint list, first to the drain gates, then to the engine.

use std::sync::atomic::Ordering;

use crate::api::{EndpointState, EndpointUpdateKind, Nanos, ServerId};
use crate::counters::Counters;
use crate::net::coordinator::actor::{CoreActor, EndpointListState};
use crate::net::coordinator::node::NodeHandle;
use crate::net::endpoints::EndpointUpdate;
use crate::net::messages::{DrainGate, NodeMessage};

impl CoreActor {
    pub(super) fn apply_endpoint_update(&mut self, update: EndpointUpdate) {
        let now = self.handle.clock.now();
        self.record_update(now, update.kind);
        if update.kind.is_complete() {
            self.close_missing(now, &update);
        }
        for (endpoint, address) in &update.endpoints {
            if endpoint.state == EndpointState::Removed {
                self.close_removed(now, &endpoint.name);
            } else {
                let server = self.engine.intern(&endpoint.name);
                self.ledger.node_state(now, server, &endpoint.name, endpoint.state);
                self.node_or_start(server).update(endpoint.state, *address);
            }
        }
        self.update_engine(update);
    }

    /// Records the time of an update, and logs and counts an overdue one.
    fn record_update(&mut self, now: Nanos, kind: EndpointUpdateKind) {
        let elapsed = now.saturating_sub(self.last_update_at);
        if elapsed > self.poll_interval_max {
            log::warn!(elapsed_ns = elapsed, limit_ns = self.poll_interval_max; "endpoint list update overdue");
            Counters::add(&self.handle.counters.endpoint_list_overdue);
        }
        self.last_update_at = now;
        self.endpoint_list = match kind {
            EndpointUpdateKind::Unconfirmed => EndpointListState::Unconfirmed,
            EndpointUpdateKind::Delta | EndpointUpdateKind::Snapshot => EndpointListState::Usable,
        };
    }

    /// Closes the gates of the data nodes that are missing from a complete list.
    fn close_missing(&mut self, now: Nanos, update: &EndpointUpdate) {
        for (&server, node) in &self.nodes {
            let name = self.engine.server_name(server);
            if !update.endpoints.iter().any(|(endpoint, _)| endpoint.name == name) {
                node.close_gate();
                self.ledger.node_state(now, server, "", EndpointState::Removed);
            }
        }
    }

    /// Closes the gate of a data node that was removed from the list. Starts no actor for an unknown data node.
    fn close_removed(&mut self, now: Nanos, name: &str) {
        let Some(server) = self.engine.server_id(name) else { return };
        if let Some(node) = self.nodes.get(&server) {
            node.close_gate();
        }
        self.ledger.node_state(now, server, name, EndpointState::Removed);
    }

    /// Returns the handle of the data node's actor, which it starts if necessary.
    fn node_or_start(&mut self, server: ServerId) -> &NodeHandle {
        let (start_node, lease) = (&mut self.start_node, &self.lease);
        self.nodes.entry(server).or_insert_with(|| {
            let gate = DrainGate::with_lease(lease.clone());
            NodeHandle { mailbox: start_node(server, gate.clone()), gate }
        })
    }

    /// Applies the update to the engine, readiness and counters.
    fn update_engine(&mut self, update: EndpointUpdate) {
        let endpoints: Vec<_> = update.endpoints.into_iter().map(|(endpoint, _)| endpoint).collect();
        if self.handle.clock.wall_stepped() {
            self.engine.wall_clock_stepped();
        }
        let started_shards = self.engine.update_endpoints(update.kind, &endpoints);
        if let Some(on_endpoints_started) = &self.on_endpoints_started {
            on_endpoints_started(&started_shards);
        }
        self.handle.ready.store(self.engine.active_servers() > 0, Ordering::Release);
        if !endpoints.is_empty() {
            Counters::add(&self.handle.counters.endpoint_list_changes);
        }
    }

    /// Once the lease has ended, stops sending and ends the attempts that are queued at the data nodes' actors.
    pub(super) fn check_lease(&mut self, now: Nanos) {
        if self.endpoint_list != EndpointListState::Usable || self.lease.is_valid(now) {
            return;
        }
        self.endpoint_list = EndpointListState::Expired;
        self.engine.endpoint_list_expired();
        self.nodes.values().for_each(|node| node.send(NodeMessage::GateClosed));
    }
}
