//! The servers of the endpoint list, indexed by the shards they hold.

use std::collections::BTreeMap;

use super::concurrency_limit::ENDPOINT_CONCURRENCY_LIMIT_START;
use super::server::Server;
use super::slow_start::{slow_start_since, SlowStartBudget, StartEvidence};
use super::Policy;
use crate::api::{
    EndpointRecord, EndpointState, EndpointUpdateKind, Nanos, ServerId, ShardId, ShardLayout, ZoneId,
};

/// Bounds the index of partition groups; a server in a group beyond it receives no attempts.
const MAX_PARTITION_GROUPS: u32 = 1 << 20;
/// A new server starts with a random `last_dispatch` below this, which gives it a random place in the order
/// of last use.
pub(super) const FIRST_DISPATCH: u64 = 64;

#[derive(Debug)]
pub(super) struct Endpoints {
    pub(super) servers: BTreeMap<ServerId, Server>,
    /// Number of active servers.
    pub(super) active: usize,
    /// Whether attempts may be sent to servers of the list. False while its lease has expired or if it dates
    /// from before the start of the process: a drain notice may have been missed.
    pub(super) list_is_usable: bool,
    active_by_partition_group: Vec<Vec<ServerId>>,
    /// When the list was last confirmed since the start of the process.
    confirmed_at: Option<Nanos>,
    wall_clock_stepped: bool,
}

impl Endpoints {
    pub(super) fn new(partition_groups: u32) -> Self {
        Self {
            servers: BTreeMap::new(),
            active: 0,
            list_is_usable: true,
            active_by_partition_group: vec![Vec::new(); partition_groups.min(MAX_PARTITION_GROUPS) as usize],
            confirmed_at: None,
            wall_clock_stepped: false,
        }
    }

    fn start_evidence(&self) -> StartEvidence {
        match self.confirmed_at {
            _ if self.wall_clock_stepped => StartEvidence::WallClockStepped,
            Some(confirmed_at) => StartEvidence::AbsentFromListAt(confirmed_at),
            None => StartEvidence::FirstList,
        }
    }

    /// Applies an update of the list; returns the servers that have restarted.
    fn update(
        &mut self,
        now: Nanos,
        kind: EndpointUpdateKind,
        records: Vec<EndpointRecord>,
        mut new_server: impl FnMut() -> Server,
    ) -> Vec<ServerId> {
        let evidence = self.start_evidence();
        if kind != EndpointUpdateKind::Unconfirmed {
            self.confirmed_at = Some(now);
        }
        if kind.is_complete() {
            self.servers.values_mut().for_each(|server| server.state = EndpointState::Removed);
        }
        let mut restarted = Vec::new();
        for record in records {
            let server = self.servers.entry(record.server).or_insert_with(&mut new_server);
            if server.apply(&record, now, evidence) {
                restarted.push(record.server);
            }
        }
        // Ids are never reused, so a removed server is kept only until its attempts have ended.
        self.servers.retain(|_, server| !server.is_removed() || !server.in_flight.is_empty());
        self.index_active();
        restarted
    }

    fn index_active(&mut self) {
        self.active = self.servers.values().filter(|server| server.is_active()).count();
        self.active_by_partition_group.iter_mut().for_each(Vec::clear);
        for (&id, server) in self.servers.iter().filter(|(_, server)| server.is_active()) {
            if let Some(group) = self.active_by_partition_group.get_mut(server.partition_group as usize) {
                group.push(id);
            }
        }
    }

    /// Returns the active servers that hold a shard.
    pub(super) fn replicas(
        &self,
        shard: ShardId,
        layout: ShardLayout,
    ) -> impl Iterator<Item = ServerId> + '_ {
        let groups = u64::from(layout.partition_groups);
        (0..layout.groups_per_shard.min(layout.partition_groups)).flat_map(move |offset| {
            let group = (u64::from(shard.0) + u64::from(offset)) % groups;
            self.active_by_partition_group.get(group as usize).into_iter().flatten().copied()
        })
    }

    pub(super) fn zone_of(&self, server: ServerId) -> Option<ZoneId> {
        self.servers.get(&server).and_then(|server| server.zone)
    }
}

impl Server {
    /// Applies the server's record in the list; returns whether the server has restarted.
    fn apply(&mut self, record: &EndpointRecord, now: Nanos, evidence: StartEvidence) -> bool {
        self.partition_group = record.partition_group;
        self.zone = record.zone;
        self.state = record.state;
        // An earlier time is a restart too: the wall clock may have been stepped back.
        let restarted = record.started_at != 0 && record.started_at != self.started_at;
        if restarted {
            self.started_at = record.started_at;
            self.slow_start_since = Some(slow_start_since(record.started_at, now, evidence));
        }
        restarted
    }
}

impl Policy {
    pub(super) fn update_endpoints(&mut self, kind: EndpointUpdateKind, records: Vec<EndpointRecord>) {
        self.endpoints.list_is_usable = kind != EndpointUpdateKind::Unconfirmed;
        let (mut rng, classes) = (self.rng.fork(), self.settings.classes.len());
        let limit = self.settings.burst_allowance().max(ENDPOINT_CONCURRENCY_LIMIT_START);
        let new_server = || Server::new(rng.u64(1..FIRST_DISPATCH), limit, classes);
        for id in self.endpoints.update(self.now, kind, records, new_server) {
            // A random budget prevents all coordinators from sending to the restarted server at once.
            let budget = SlowStartBudget {
                parts: self.rng.f64(),
                counted_at: self.now,
                completed_attempts: self.load.completed_attempts,
            };
            if let Some(server) = self.endpoints.servers.get_mut(&id) {
                server.reset(limit);
                server.slow_start_budget = budget;
            }
        }
    }

    /// Handles a step of the wall clock: from now on, the slow start of a restarted server begins when the
    /// list reports the restart, not at the reported start time.
    pub fn wall_clock_stepped(&mut self) {
        self.endpoints.wall_clock_stepped = true;
    }
}
