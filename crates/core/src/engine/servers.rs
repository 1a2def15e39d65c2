//! The data nodes that the engine knows, as the endpoint list has them.

use std::collections::{BTreeMap, HashMap, HashSet};

use crate::api::{
    EndpointRecord, EndpointState, EndpointUpdateKind, Nanos, ServerId, ShardId, ShardLayout, ZoneId,
};

/// One record of the endpoint list, under the names that discovery uses.
#[derive(Debug, Clone, PartialEq)]
pub struct Endpoint {
    /// The data node's name: the same for all coordinators and after a restart.
    pub name: String,
    /// Its partition group.
    pub partition_group: u32,
    /// When its process last started; 0: long ago.
    pub started_at: Nanos,
    /// Its capacity in comparison with others.
    pub capacity: f64,
    /// Its state.
    pub state: EndpointState,
    /// Its zone's name.
    pub zone: Option<String>,
}

/// Whether the servers of a partition group hold a shard.
pub(super) fn group_holds(layout: &ShardLayout, partition_group: u32, shard: ShardId) -> bool {
    let groups = u64::from(layout.partition_groups);
    let first_group = u64::from(shard.0) % groups;
    let distance = (u64::from(partition_group) + groups - first_group) % groups;
    partition_group < layout.partition_groups && distance < u64::from(layout.groups_per_shard)
}

struct Server {
    name: String,
    /// Its partition group, once the endpoint list has named it.
    partition_group: Option<u32>,
    /// When it last started, once the endpoint list has named it.
    started_at: Option<Nanos>,
    state: EndpointState,
}

/// An update of the endpoint list, with the servers' ids.
pub(super) struct AppliedUpdate {
    pub(super) records: Vec<EndpointRecord>,
    /// The partition groups of servers that are new or have restarted; one may stand here several times.
    pub(super) restarted_groups: Vec<u32>,
}

/// All servers that are not forgotten. Ids are given in the order in which names are met, and never reused.
#[derive(Default)]
pub(super) struct ServerTable {
    servers: BTreeMap<ServerId, Server>,
    ids: HashMap<String, ServerId>,
    next_id: u32,
}

impl ServerTable {
    /// The id of a server that is known.
    pub(super) fn id(&self, name: &str) -> Option<ServerId> {
        self.ids.get(name).copied()
    }

    /// The id of a server, which is added where it is not known.
    pub(super) fn intern(&mut self, name: &str) -> ServerId {
        if let Some(id) = self.id(name) {
            return id;
        }
        let id = ServerId(self.next_id);
        self.next_id += 1;
        let server = Server {
            name: name.to_string(),
            partition_group: None,
            started_at: None,
            state: EndpointState::Removed,
        };
        self.servers.insert(id, server);
        self.ids.insert(name.to_string(), id);
        id
    }

    /// The name of a server; empty where it is not known.
    pub(super) fn name(&self, id: ServerId) -> &str {
        self.servers.get(&id).map_or("", |server| &server.name)
    }

    pub(super) fn contains(&self, id: ServerId) -> bool {
        self.servers.contains_key(&id)
    }

    pub(super) fn len(&self) -> usize {
        self.servers.len()
    }

    /// How many servers are in service.
    pub(super) fn active(&self) -> usize {
        self.servers.values().filter(|server| server.state == EndpointState::Active).count()
    }

    /// How many servers the endpoint list has.
    pub(super) fn listed(&self) -> usize {
        self.servers.values().filter(|server| server.state != EndpointState::Removed).count()
    }

    pub(super) fn is_active(&self, id: ServerId) -> bool {
        self.servers.get(&id).is_some_and(|server| server.state == EndpointState::Active)
    }

    /// Whether a server holds a shard.
    pub(super) fn holds(&self, id: ServerId, shard: ShardId, layout: &ShardLayout) -> bool {
        let group = self.servers.get(&id).and_then(|server| server.partition_group);
        group.is_some_and(|group| group_holds(layout, group, shard))
    }

    /// Applies an update of the endpoint list. Servers that are missing from a complete list are removed.
    pub(super) fn apply(
        &mut self,
        kind: EndpointUpdateKind,
        endpoints: &[Endpoint],
        zone_names: &[String],
    ) -> AppliedUpdate {
        if kind.is_complete() {
            self.servers.values_mut().for_each(|server| server.state = EndpointState::Removed);
        }
        let mut update =
            AppliedUpdate { records: Vec::with_capacity(endpoints.len()), restarted_groups: Vec::new() };
        for endpoint in endpoints {
            self.apply_endpoint(endpoint, zone_names, &mut update);
        }
        update
    }

    fn apply_endpoint(&mut self, endpoint: &Endpoint, zone_names: &[String], update: &mut AppliedUpdate) {
        if endpoint.state == EndpointState::Removed && !self.ids.contains_key(&endpoint.name) {
            return;
        }
        let id = self.intern(&endpoint.name);
        let Some(server) = self.servers.get_mut(&id) else { return };
        server.partition_group = Some(endpoint.partition_group);
        server.state = endpoint.state;
        let known_start = server.started_at.replace(endpoint.started_at);
        if known_start != Some(endpoint.started_at) {
            update.restarted_groups.push(endpoint.partition_group);
        }
        let zone_name = endpoint.zone.as_ref();
        let zone = zone_name.and_then(|zone| zone_names.iter().position(|name| name == zone));
        update.records.push(EndpointRecord {
            server: id,
            partition_group: endpoint.partition_group,
            started_at: endpoint.started_at,
            capacity: endpoint.capacity,
            state: endpoint.state,
            zone: zone.map(|index| ZoneId(index as u32)),
        });
    }

    /// Forgets the servers that have left the endpoint list, but for those in `in_use`; returns their ids.
    pub(super) fn forget_removed(&mut self, in_use: &HashSet<ServerId>) -> Vec<ServerId> {
        let forgotten: Vec<ServerId> = self
            .servers
            .iter()
            .filter(|(id, server)| server.state == EndpointState::Removed && !in_use.contains(id))
            .map(|(&id, _)| id)
            .collect();
        for id in &forgotten {
            if let Some(server) = self.servers.remove(id) {
                self.ids.remove(&server.name);
            }
        }
        forgotten
    }
}
