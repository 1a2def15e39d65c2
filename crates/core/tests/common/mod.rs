//! Shared helpers for tests of the policy: settings, endpoint lists and queries.
#![allow(dead_code, unused_imports, unreachable_pub)]

use curlewdeck_core::api::*;

mod coordinator;
mod policy_harness;

pub use coordinator::Coordinator;
pub use policy_harness::*;

pub const MS: Nanos = 1_000_000;
pub const START: Nanos = 1_000_000 * MS;

pub fn class(retry_safety: RetrySafety) -> Class {
    Class {
        latency_objective: 1200 * MS,
        deadline: 4000 * MS,
        priority_weight: 1.0,
        late_value_ratio: 0.0,
        retry_safety,
        retry_window: 2000 * MS,
        min_coverage: 1.0,
        complete_coverage: 1.0,
        partial_value_ratio: None,
        second_phase_parts: 0,
        max_attempts: 3,
        retired: false,
    }
}

pub fn settings() -> Settings {
    Settings {
        coordinators: 3,
        classes: vec![
            class(RetrySafety::Idempotent),
            class(RetrySafety::AtMostOnce),
            class(RetrySafety::Deduplicated),
        ],
        tenants: Vec::new(),
        over_quota_value_ratio: 0.2,
        discovery: DiscoveryMode::Push,
        layout: ShardLayout { partition_groups: 1, groups_per_shard: 1, max_batch: 1, call_overhead: 0 },
        max_open: 200,
        may_cancel: true,
        may_hedge: true,
        may_check_health: true,
        max_retry_after: Some(1000 * MS),
        retry_budget: Some(RetryBudget { window: 5000 * MS, base_attempts: 10.0, ratio: 0.2 }),
        slow_start: SlowStartPolicy {
            initial_capacity_ratio: 0.2,
            warm_up_duration: 16_000 * MS,
            overload_multiple: 2.0,
            overload_duration: 2000 * MS,
            processes_per_coordinator: 1,
        },
        tick: 5 * MS,
        zones: 0,
        local_zone: None,
        clients_mark_retries: false,
        connection_idle_timeout: None,
    }
}

pub fn record(server: u32, state: EndpointState) -> EndpointRecord {
    EndpointRecord {
        server: ServerId(server),
        partition_group: 0,
        started_at: 0,
        capacity: 1.0,
        state,
        zone: None,
    }
}

/// Settings with one class that allows partial answers from half of the weight.
pub fn partial(late_value_ratio: f64) -> Settings {
    let class = Class {
        min_coverage: 0.5,
        partial_value_ratio: Some(0.8),
        late_value_ratio,
        ..class(RetrySafety::Idempotent)
    };
    Settings { classes: vec![class], ..settings() }
}

#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Sent {
    pub part: PartId,
    pub server: ServerId,
}

pub fn sends(actions: &[Action]) -> Vec<Sent> {
    let sent = |a: &Action| match a {
        Action::StartAttempt { part, server, .. } => Some(Sent { part: *part, server: *server }),
        _ => None,
    };
    actions.iter().filter_map(sent).collect()
}
