//! Which replica takes a part.

use super::calls::BatchPlan;
use super::part::Part;
use super::server::Server;
use super::Policy;
use crate::api::{ClassId, ServerId};

/// How healthy a server looks; the least comes first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum HealthTier {
    Healthy,
    /// Taken when no healthy replica can be.
    Deprioritized,
    /// Taken when no replica is healthier, if only a full one.
    Ejected,
}

/// Which replicas of a part come into question.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Candidates {
    /// Those that no attempt has gone to.
    Untried,
    All,
}

/// How well a replica suits a part: compared field by field in this order, the least is taken.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct ReplicaRank {
    tier: HealthTier,
    /// With the one for this part, unless it joins a call that is planned.
    calls_in_flight: u32,
    /// Parts that its call could carry beside those in question.
    free_batch_places: u32,
    needs_connection: bool,
    is_in_other_zone: bool,
    /// The least recently used comes first.
    last_dispatch: u64,
}

impl Policy {
    /// The best replica for a part, or `None` where each is paused, full, beyond its slow start or worse than
    /// `worst_tier`.
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
        // A full server is no reason to send to an ejected one.
        best.filter(|(rank, _)| rank.tier < HealthTier::Ejected || all_ejected).map(|(_, id)| id)
    }

    /// Whether a server with so many parts planned for it may be sent one more by its pause and its slow
    /// start.
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
            free_batch_places: max_batch.saturating_sub(plan.batch_peers(id)),
            needs_connection: !self.has_trusted_connection(server),
            is_in_other_zone: local_zone.is_some() && server.zone != local_zone,
            last_dispatch: server.last_dispatch,
        }
    }
}
