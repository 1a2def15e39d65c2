//! The data nodes that the engine knows, with their states in the endpoint list.

use std::collections::{BTreeMap, HashMap, HashSet};

use crate::api::{
    EndpointRecord, EndpointState, EndpointUpdateKind, Nanos, ServerId, ShardId, ShardLayout, ZoneId,
};

/// One record of the endpoint list as discovery reports it: with names in place of ids.
#[derive(Debug, Clone, PartialEq)]
pub struct Endpoint {
    /// Identifies the data node across coordinators and restarts.
    pub name: String,
    /// Determines the shards that the data node holds.
    pub partition_group: u32,
    /// Time of the last start of its process; 0 if that was long ago.
    pub started_at: Nanos,
    /// Capacity relative to other data nodes.
    pub capacity: f64,
    /// Whether it is active, draining or removed.
    pub state: EndpointState,
    /// Name of its zone; `None` if unknown.
    pub zone: Option<String>,
}

/// Returns whether the servers of a partition group hold a shard.
pub(super) fn group_holds(layout: &ShardLayout, partition_group: u32, shard: ShardId) -> bool {
    let groups = u64::from(layout.partition_groups);
    let first_group = u64::from(shard.0) % groups;
    let distance = (u64::from(partition_group) + groups - first_group) % groups;
    partition_group < layout.partition_groups && distance < u64::from(layout.groups_per_shard)
}

struct Server {
    name: String,
    /// `None` until the endpoint list has contained the server.
    partition_group: Option<u32>,
    /// Time of its last start; `None` until the endpoint list has contained the server.
    started_at: Option<Nanos>,
    state: EndpointState,
}

/// The result of applying an update of the endpoint list.
pub(super) struct AppliedUpdate {
    /// The records of the update, with ids in place of names.
    pub(super) records: Vec<EndpointRecord>,
    /// The partition groups of servers that are new or have restarted; may contain duplicates.
    pub(super) restarted_groups: Vec<u32>,
}

/// All known servers. Ids are assigned in ascending order and never reused.
#[derive(Default)]
pub(super) struct ServerTable {
    servers: BTreeMap<ServerId, Server>,
    ids: HashMap<String, ServerId>,
    next_id: u32,
}

impl ServerTable {
    /// Returns the id of a server, or `None` if the name is unknown.
    pub(super) fn id(&self, name: &str) -> Option<ServerId> {
        self.ids.get(name).copied()
    }

    /// Returns the id of a server, and adds the server if the name is new.
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

    /// Returns the name of a server, or an empty string if the id is unknown.
    pub(super) fn name(&self, id: ServerId) -> &str {
        self.servers.get(&id).map_or("", |server| &server.name)
    }

    pub(super) fn contains(&self, id: ServerId) -> bool {
        self.servers.contains_key(&id)
    }

    pub(super) fn len(&self) -> usize {
        self.servers.len()
    }

    pub(super) fn active(&self) -> usize {
        self.servers.values().filter(|server| server.state == EndpointState::Active).count()
    }

    /// Returns the number of servers in the endpoint list, draining ones included.
    pub(super) fn listed(&self) -> usize {
        self.servers.values().filter(|server| server.state != EndpointState::Removed).count()
    }

    pub(super) fn is_active(&self, id: ServerId) -> bool {
        self.servers.get(&id).is_some_and(|server| server.state == EndpointState::Active)
    }

    /// Returns whether a server holds a shard; false if its partition group is unknown.
    pub(super) fn holds(&self, id: ServerId, shard: ShardId, layout: &ShardLayout) -> bool {
        let group = self.servers.get(&id).and_then(|server| server.partition_group);
        group.is_some_and(|group| group_holds(layout, group, shard))
    }

    /// Applies an update of the endpoint list. A complete list removes the servers that are missing from it.
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

    /// Forgets the servers that have left the endpoint list, except those in `in_use`. Returns the forgotten ids.
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
