//! The serialized settings object and its conversion to [`Deployment`]. Other modules use its key names only in
//! error messages.

use serde::Deserialize;

use super::{Connections, Deployment, ReadError};
use crate::api::{
    Class, DiscoveryMode, Nanos, RetryBudget, RetrySafety, Settings, ShardLayout, SlowStartPolicy, Tenant,
    ZoneId,
};

const MILLISECOND: Nanos = 1_000_000;

/// Parameters of connections, where the settings omit them.
const DEFAULT_IDLE_TIMEOUT: Nanos = 30_000 * MILLISECOND;
const DEFAULT_CONNECT_TIMEOUT: Nanos = 250 * MILLISECOND;
const DEFAULT_MULTIPLEX: usize = 32;

/// Share of the weight that a complete answer requires, where the settings omit it.
const DEFAULT_COMPLETE_COVERAGE: f64 = 1.0;

/// The settings object. Error messages on the command line contain the names of these types: do not rename them.
#[derive(Deserialize)]
pub(super) struct WireInfo {
    balancers: u32,
    #[serde(default)]
    client_habits: Option<WireHabits>,
    classes: Vec<WireClass>,
    #[serde(default)]
    discovery: String,
    domain: WireDomain,
    limits: WireLimits,
    #[serde(default)]
    over_share_worth: f64,
    #[serde(default)]
    realms: Vec<WireRealm>,
    rules: WireRules,
    tick_ns: Nanos,
    #[serde(default)]
    zones: Vec<String>,
    #[serde(default)]
    locality: Option<String>,
}

#[derive(Deserialize)]
struct WireHabits {
    #[serde(default)]
    marks_retry: bool,
}

#[derive(Deserialize)]
struct WireClass {
    name: String,
    aim_ns: Nanos,
    deadline_ns: Nanos,
    effect: String,
    #[serde(default)]
    repeat_window_ns: Nanos,
    #[serde(default)]
    late_worth: f64,
    importance: f64,
}

/// The shard layout, and lists with one entry for each class.
#[derive(Deserialize)]
struct WireDomain {
    #[serde(default)]
    ranges: u32,
    positions: u32,
    in_a_row: u32,
    batch: u32,
    #[serde(default)]
    overhead_ns: Nanos,
    #[serde(default)]
    class_floor: Vec<f64>,
    #[serde(default)]
    class_partial: Vec<f64>,
    #[serde(default)]
    complete_from: Vec<f64>,
    #[serde(default)]
    second_step: Vec<u32>,
}

#[derive(Deserialize)]
struct WireLimits {
    #[serde(default)]
    cancel: bool,
    #[serde(default)]
    may_duplicate: bool,
    #[serde(default)]
    probes: bool,
    conn_idle_ns: Option<Nanos>,
    connect_timeout_ns: Option<Nanos>,
    multiplex: Option<usize>,
    max_attempts: u32,
    max_open: usize,
    #[serde(default)]
    retry_after: bool,
    #[serde(default)]
    max_retry_after_ns: Nanos,
}

/// A tenant.
#[derive(Deserialize)]
struct WireRealm {
    name: String,
    quota_rps: f64,
    share: f64,
}

#[derive(Deserialize)]
struct WireRules {
    cold_ns: Nanos,
    cold_share: f64,
    tip_multiple: f64,
    fall_ns: Nanos,
    must_ask_in_ns: Option<Nanos>,
    extra_window_ns: Option<Nanos>,
    min_extra: Option<f64>,
    resend_ratio: Option<f64>,
}

impl WireInfo {
    pub(super) fn into_deployment(self) -> Result<Deployment, ReadError> {
        Ok(Deployment {
            settings: self.settings()?,
            connections: self.limits.connections(),
            shards: self.domain.ranges,
            class_names: self.classes.into_iter().map(|class| class.name).collect(),
            tenant_names: self.realms.into_iter().map(|realm| realm.name).collect(),
            zone_names: self.zones,
        })
    }

    fn settings(&self) -> Result<Settings, ReadError> {
        let limits = &self.limits;
        Ok(Settings {
            coordinators: self.balancers,
            classes: self.classes()?,
            tenants: self.realms.iter().map(WireRealm::tenant).collect(),
            over_quota_value_ratio: self.over_share_worth,
            discovery: self.discovery_mode(),
            layout: self.domain.layout(),
            max_open: limits.max_open,
            may_cancel: limits.cancel,
            may_hedge: limits.may_duplicate,
            may_check_health: limits.probes,
            max_retry_after: limits.retry_after.then_some(limits.max_retry_after_ns),
            retry_budget: self.rules.retry_budget(),
            slow_start: self.rules.slow_start(),
            tick: self.tick_ns,
            zones: self.zones.len() as u32,
            local_zone: self.local_zone(),
            clients_mark_retries: self.client_habits.as_ref().is_some_and(|habits| habits.marks_retry),
            connection_idle_timeout: limits.conn_idle_ns,
        })
    }

    fn classes(&self) -> Result<Vec<Class>, ReadError> {
        self.classes.iter().enumerate().map(|(index, class)| self.class(index, class)).collect()
    }

    fn class(&self, index: usize, class: &WireClass) -> Result<Class, ReadError> {
        let domain = &self.domain;
        let complete_coverage = domain.complete_from.get(index).copied().unwrap_or(DEFAULT_COMPLETE_COVERAGE);
        Ok(Class {
            latency_objective: class.aim_ns,
            deadline: class.deadline_ns,
            priority_weight: class.importance,
            late_value_ratio: class.late_worth,
            retry_safety: class.retry_safety()?,
            retry_window: class.repeat_window_ns,
            min_coverage: domain.class_floor.get(index).copied().unwrap_or(complete_coverage),
            complete_coverage,
            partial_value_ratio: domain.class_partial.get(index).copied(),
            second_phase_parts: domain.second_step.get(index).copied().unwrap_or(0),
            max_attempts: self.limits.max_attempts,
            retired: false,
        })
    }

    fn discovery_mode(&self) -> DiscoveryMode {
        match self.discovery.as_str() {
            "on_request" => {
                DiscoveryMode::Poll { poll_interval_max: self.rules.must_ask_in_ns.unwrap_or(Nanos::MAX) }
            }
            _ => DiscoveryMode::Push,
        }
    }

    fn local_zone(&self) -> Option<ZoneId> {
        let name = self.locality.as_ref()?;
        let index = self.zones.iter().position(|zone| zone == name)?;
        Some(ZoneId(index as u32))
    }
}

impl WireClass {
    fn retry_safety(&self) -> Result<RetrySafety, ReadError> {
        match self.effect.as_str() {
            "idempotent" => Ok(RetrySafety::Idempotent),
            "deduplicated" => Ok(RetrySafety::Deduplicated),
            "at_most_once" => Ok(RetrySafety::AtMostOnce),
            other => Err(ReadError::UnknownRetrySafety(other.to_string())),
        }
    }
}

impl WireRealm {
    fn tenant(&self) -> Tenant {
        Tenant { quota: self.quota_rps, fair_share: self.share }
    }
}

impl WireDomain {
    fn layout(&self) -> ShardLayout {
        ShardLayout {
            partition_groups: self.positions,
            groups_per_shard: self.in_a_row,
            max_batch: self.batch,
            call_overhead: self.overhead_ns,
        }
    }
}

impl WireLimits {
    fn connections(&self) -> Connections {
        Connections {
            idle_timeout: self.conn_idle_ns.unwrap_or(DEFAULT_IDLE_TIMEOUT),
            connect_timeout: self.connect_timeout_ns.unwrap_or(DEFAULT_CONNECT_TIMEOUT),
            max_parts_in_flight: self.multiplex.unwrap_or(DEFAULT_MULTIPLEX).max(1),
        }
    }
}

impl WireRules {
    fn retry_budget(&self) -> Option<RetryBudget> {
        self.resend_ratio.map(|ratio| RetryBudget {
            window: self.extra_window_ns.unwrap_or(0),
            base_attempts: self.min_extra.unwrap_or(0.0),
            ratio,
        })
    }

    fn slow_start(&self) -> SlowStartPolicy {
        SlowStartPolicy {
            initial_capacity_ratio: self.cold_share,
            warm_up_duration: self.cold_ns,
            overload_multiple: self.tip_multiple,
            overload_duration: self.fall_ns,
            processes_per_coordinator: 1,
        }
    }
}
