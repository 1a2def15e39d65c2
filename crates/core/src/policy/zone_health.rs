//! Health of the network paths to zones: failures common to the servers of a zone are attributed to its path,
//! not to the servers.

use super::decay::FailureRatio;
use super::Policy;
use crate::api::{Action, Nanos, Outcome, ServerId, ZoneId};

/// A zone may be degraded above this failure ratio.
const ZONE_FAILURE_THRESHOLD: f64 = 0.4;
/// Weight of the latest outcome in a zone's failure ratio.
const ZONE_OUTCOME_WEIGHT: f64 = 1.0 / 6.0;
/// The interval between checks of a degraded zone is the shortest latency objective divided by this.
const ZONE_CHECK_OBJECTIVE_DIVISOR: u64 = 2;

/// Health of the path to one zone.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct ZoneHealth {
    failures: FailureRatio,
    next_check_at: Nanos,
}

impl Policy {
    /// Records the outcome of a health check; ignores a check that was not sent.
    pub(super) fn handle_health_checked(&mut self, server: ServerId, outcome: Outcome) {
        if outcome == Outcome::NotSent {
            return;
        }
        self.record_zone_outcome(self.endpoints.zone_of(server), outcome != Outcome::Success);
    }

    pub(super) fn record_zone_outcome(&mut self, zone: Option<ZoneId>, failed: bool) {
        if let Some(health) = zone.and_then(|zone| self.zones.get_mut(zone.0 as usize)) {
            health.failures.record(failed, ZONE_OUTCOME_WEIGHT);
        }
    }

    /// Whether this zone's failure ratio is high, both absolutely and relative to the best zone.
    pub(super) fn is_zone_degraded(&self, zone: Option<ZoneId>) -> bool {
        let Some(health) = zone.and_then(|zone| self.zones.get(zone.0 as usize)) else { return false };
        let best_ratio = self.zones.iter().map(|zone| zone.failures.get()).fold(1.0, f64::min);
        health.failures.exceeds_baseline(best_ratio, ZONE_FAILURE_THRESHOLD)
    }

    /// Checks the health of a server in each degraded zone, because too few parts are sent there to detect
    /// recovery.
    pub(super) fn probe_degraded_zones(&mut self) {
        if !self.endpoints.list_is_usable {
            return;
        }
        for zone in 0..self.zones.len() {
            if self.now >= self.zones[zone].next_check_at && self.is_zone_degraded(Some(ZoneId(zone as u32)))
            {
                self.probe_zone(zone);
            }
        }
    }

    fn probe_zone(&mut self, zone: usize) {
        let interval = self.settings.shortest_latency_objective() / ZONE_CHECK_OBJECTIVE_DIVISOR;
        self.zones[zone].next_check_at = self.now + interval;
        let zone = Some(ZoneId(zone as u32));
        let in_zone = self.endpoints.servers.iter().filter(|(_, s)| s.is_active() && s.zone == zone);
        let candidates: Vec<ServerId> = in_zone.map(|(&id, _)| id).collect();
        match self.rng.choice(&candidates) {
            Some(&server) if self.settings.may_check_health => {
                self.actions.push(Action::CheckHealth { server });
            }
            // Recovery cannot be checked, so the failure ratio decays with time.
            _ => self.record_zone_outcome(zone, false),
        }
    }
}
