//! Selects the replica for an attempt at a part.

use super::calls::BatchPlan;
use super::part::Part;
use super::server::Server;
use super::Policy;
use crate::api::{ClassId, ServerId};

/// Health of a server in order of preference.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum HealthTier {
    Healthy,
    /// Used if no healthy replica is available.
    Deprioritized,
    /// Used only if every replica that may be sent to is ejected, including those at their concurrency limit.
    Ejected,
}

/// The replicas of a part to select from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Candidates {
    /// Replicas that no attempt was sent to.
    Untried,
    All,
}

/// Rank of a replica for a part; fields are compared in this order, and the lowest rank is selected.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct ReplicaRank {
    tier: HealthTier,
    /// Includes the call for this part, unless the part joins a planned call.
    calls_in_flight: u32,
    /// Batch capacity that remains after all parts that could share the call.
    free_batch_slots: u32,
    needs_connection: bool,
    is_in_other_zone: bool,
    /// The least recently used replica is preferred.
    last_dispatch: u64,
}

impl Policy {
    /// Returns the best replica for a part; `None` if each is paused, at its concurrency limit, out of slow
    /// start budget or worse than `worst_tier`.
    pub(super) fn select_replica(
        &self,
        part: &Part,
        candidates: Candidates,
        plan: &BatchPlan,
        worst_tier: HealthTier,
    ) -> Option<ServerId> {
        let class = self.queries.get(&part.query)?.class;
        let mut best: Option<(ReplicaRank, ServerId)> = None;
        let mut all_ejected = true;
        for id in self.endpoints.replicas(part.shard, self.settings.layout) {
            let server = &self.endpoints.servers[&id];
            let is_excluded = candidates == Candidates::Untried && part.has_tried(id);
            if is_excluded || !self.may_send_now(server, plan.planned(id)) {
                continue;
            }
            let rank = self.rank_replica(id, server, class, plan);
            all_ejected &= rank.tier == HealthTier::Ejected;
            let is_full = f64::from(rank.calls_in_flight - 1) >= server.concurrency_limit;
            if rank.tier > worst_tier || is_full {
                continue;
            }
            if best.is_none_or(|(best_rank, _)| rank < best_rank) {
                best = Some((rank, id));
            }
        }
        // An ejected server does not replace one that is only at its limit.
        best.filter(|(rank, _)| rank.tier < HealthTier::Ejected || all_ejected).map(|(_, id)| id)
    }

    /// Whether the pause and the slow start of a server allow one part more than those planned.
    fn may_send_now(&self, server: &Server, planned: u32) -> bool {
        let allowance = self.slow_start_allowance(server);
        let within_allowance = allowance.is_none_or(|allowance| allowance >= f64::from(planned + 1));
        within_allowance && self.now >= server.paused_until
    }

    fn rank_replica(&self, id: ServerId, server: &Server, class: ClassId, plan: &BatchPlan) -> ReplicaRank {
        let max_batch = self.settings.layout.max_batch;
        let planned = plan.planned(id);
        let local_zone = self.settings.local_zone;
        ReplicaRank {
            tier: self.health_tier(server, class, planned),
            calls_in_flight: server.calls_in_flight() + (planned + 1).div_ceil(max_batch),
            free_batch_slots: max_batch.saturating_sub(plan.batch_peers(id)),
            needs_connection: !self.has_trusted_connection(server),
            is_in_other_zone: local_zone.is_some() && server.zone != local_zone,
            last_dispatch: server.last_dispatch,
        }
    }
}
