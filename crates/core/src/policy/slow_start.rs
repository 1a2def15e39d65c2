//! Slow start: limits the attempts sent to a server that has just started.

use super::concurrency_limit::ENDPOINT_CONCURRENCY_LIMIT_START;
use super::server::Server;
use super::Policy;
use crate::api::{Nanos, SlowStartPolicy};

/// Rate for a server in slow start, as a share of what its peers complete on average.
const PEER_RATE_RATIO: f64 = 0.75;
/// Minimum rate for a server in slow start, as a share of what one core completes.
const ONE_CORE_RATIO: f64 = 0.8;
/// Until latency samples exist, the expected latency of a part is the shortest latency objective divided by
/// this.
const EXPECTED_LATENCY_OBJECTIVE_DIVISOR: u64 = 6;

/// Number of parts that a server in slow start may be sent, as of `counted_at`.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct SlowStartBudget {
    pub(super) parts: f64,
    pub(super) counted_at: Nanos,
    /// Attempts completed by all servers until `counted_at`.
    pub(super) completed_attempts: u64,
}

/// What the coordinator knows about a start time that the endpoint list reports.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum StartEvidence {
    /// No list has been confirmed before: the start may have been at any time.
    FirstList,
    /// The start was absent from the list when it was last confirmed, at this time: it happened later.
    AbsentFromListAt(Nanos),
    /// The wall clock was stepped: Unix times cannot be converted to the monotonic clock.
    WallClockStepped,
}

/// Returns when the slow start of a server began, on this process's monotonic clock.
///
/// The list reports a Unix time, and wall clocks may be stepped, so the reported time is used only if it is
/// consistent with the evidence. Otherwise the slow start begins now: an earlier beginning would overestimate
/// the server's capacity and overload it.
pub(super) fn slow_start_since(reported: Nanos, now: Nanos, evidence: StartEvidence) -> Nanos {
    match evidence {
        StartEvidence::FirstList => reported.min(now),
        StartEvidence::AbsentFromListAt(confirmed_at) if (confirmed_at..=now).contains(&reported) => reported,
        StartEvidence::AbsentFromListAt(_) | StartEvidence::WallClockStepped => now,
    }
}

/// Returns the share of its capacity that a server has at this time since its start.
fn capacity_ratio(rule: &SlowStartPolicy, age: Nanos) -> f64 {
    let progress = age as f64 / rule.warm_up_duration as f64;
    rule.initial_capacity_ratio + (1.0 - rule.initial_capacity_ratio) * progress
}

impl Policy {
    /// Returns how many parts the slow start of a server allows now; `None` once the slow start is over.
    ///
    /// The budget grows by the overload multiple times the server's capacity ratio times the larger of two
    /// amounts: the mean number of attempts that a server completes for this coordinator, and the
    /// coordinator's share of what one core completes. No server completes more than its capacity, so all
    /// coordinators together comply with the rule, regardless of their number and traffic.
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

    /// Returns the mean number of attempts completed per active server since the budget was counted.
    fn completed_per_server(&self, budget: &SlowStartBudget) -> f64 {
        let completed = self.load.completed_attempts - budget.completed_attempts;
        completed as f64 / self.endpoints.active.max(1) as f64
    }

    /// Returns this coordinator's share of the parts that one core completes since the budget was counted.
    fn one_core_share(&self, budget: &SlowStartBudget) -> f64 {
        let elapsed = self.now.saturating_sub(budget.counted_at) as f64;
        let processes = self.settings.slow_start_processes();
        ONE_CORE_RATIO * elapsed / (self.expected_part_latency().max(1) as f64 * processes)
    }

    fn expected_part_latency(&self) -> Nanos {
        match self.latency.lower_quartile {
            0 => self.settings.shortest_latency_objective() / EXPECTED_LATENCY_OBJECTIVE_DIVISOR,
            latency => latency,
        }
    }
}
