//! Slow start: how much a server that has just started may be sent.

use super::concurrency_limit::ENDPOINT_CONCURRENCY_LIMIT_START;
use super::server::Server;
use super::Policy;
use crate::api::{Nanos, SlowStartPolicy};

/// Part of the attempts its peers complete on average that a server in slow start is sent.
const PEER_RATE_RATIO: f64 = 0.75;
/// Part of one core's work that a server in slow start is sent at least.
const ONE_CORE_RATIO: f64 = 0.8;
/// Expected latency of a part while none is known, in fractions of the shortest latency objective.
const EXPECTED_LATENCY_OBJECTIVE_DIVISOR: u64 = 6;

/// Parts that a server in slow start may be sent, as counted at some moment.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct SlowStartBudget {
    pub(super) parts: f64,
    pub(super) counted_at: Nanos,
    /// What all servers had completed by then.
    pub(super) completed_attempts: u64,
}

/// What speaks for the time of a start that the endpoint list claims.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum StartEvidence {
    /// The list is the first: the start may have been at any time.
    FirstList,
    /// The list was last confirmed, without this start, at this time: the start came after.
    ConfirmedWithout(Nanos),
    /// The wall clock was stepped: Unix times do not compare with the steady clock.
    WallClockStepped,
}

/// When the slow start of a server began, by this process's steady clock.
///
/// The list claims a Unix time, and wall clocks may be stepped: the claim is believed only where it agrees
/// with the evidence. Otherwise the start counts from now: a server taken for warmer than it is would be
/// overloaded.
pub(super) fn slow_start_since(claimed: Nanos, now: Nanos, evidence: StartEvidence) -> Nanos {
    match evidence {
        StartEvidence::FirstList => claimed.min(now),
        StartEvidence::ConfirmedWithout(before) if (before..=now).contains(&claimed) => claimed,
        StartEvidence::ConfirmedWithout(_) | StartEvidence::WallClockStepped => now,
    }
}

/// Share of its capacity that a server has at this age.
fn capacity_ratio(rule: &SlowStartPolicy, age: Nanos) -> f64 {
    let progress = age as f64 / rule.warm_up_duration as f64;
    rule.initial_capacity_ratio + (1.0 - rule.initial_capacity_ratio) * progress
}

impl Policy {
    /// How many parts a server may be sent now by its slow start; `None` once that is over.
    ///
    /// The budget grows with the overload multiple, the server's capacity ratio and the larger of what
    /// servers complete for this coordinator on average and its share of what one core does. No server
    /// completes more than it can, so all coordinators together keep the rule, whatever their number and
    /// traffic.
    pub(super) fn slow_start_allowance(&self, server: &Server) -> Option<f64> {
        let rule = &self.settings.slow_start;
        let is_warming_up = |since: &Nanos| self.now.saturating_sub(*since) < rule.warm_up_duration;
        let since = server.slow_start_since.filter(is_warming_up)?;
        let budget = &server.slow_start_budget;
        let before = capacity_ratio(rule, budget.counted_at.saturating_sub(since));
        let after = capacity_ratio(rule, self.now.saturating_sub(since));
        let mean_capacity_ratio = (before + after) / 2.0;
        let parts = (PEER_RATE_RATIO * self.completed_per_server(budget)).max(self.one_core_share(budget));
        let earned = rule.overload_multiple * mean_capacity_ratio * parts;
        let max_budget = (self.settings.burst_allowance() / ENDPOINT_CONCURRENCY_LIMIT_START).max(1.0);
        Some((budget.parts + earned).min(max_budget))
    }

    /// What a server has completed on average since the budget was counted.
    fn completed_per_server(&self, budget: &SlowStartBudget) -> f64 {
        let completed = self.load.completed_attempts - budget.completed_attempts;
        completed as f64 / self.endpoints.active.max(1) as f64
    }

    /// This coordinator's share of the parts that one core does from the counting of the budget until now.
    fn one_core_share(&self, budget: &SlowStartBudget) -> f64 {
        let elapsed = self.now.saturating_sub(budget.counted_at) as f64;
        let sharers = self.settings.slow_start_sharers();
        ONE_CORE_RATIO * elapsed / (self.expected_part_latency().max(1) as f64 * sharers)
    }

    fn expected_part_latency(&self) -> Nanos {
        match self.latency.lower_quartile {
            0 => self.settings.shortest_latency_objective() / EXPECTED_LATENCY_OBJECTIVE_DIVISOR,
            latency => latency,
        }
    }
}
