//! The settings object, as the simulator's first message and the configuration file carry it, to the
//! module's settings and the figures that sockets need. One parser for both programs.

use crate::api::{
    Class, ClassId, DiscoveryMode, Nanos, RetryBudget, RetrySafety, Settings, ShardLayout, SlowStartPolicy,
    Tenant, ZoneId,
};
use serde::Deserialize;

/// The settings, with the names that the wire uses for classes, tenants and zones.
#[derive(Debug, Clone)]
pub struct Deployment {
    /// What the module is told.
    pub settings: Settings,
    /// Names of the classes, in the order of [`Settings::classes`].
    pub class_names: Vec<String>,
    /// Names of the tenants.
    pub tenant_names: Vec<String>,
    /// Names of the zones.
    pub zone_names: Vec<String>,
    /// How many shards there are; 0 where that is not told.
    pub shards: u32,
    /// Figures for connections to data nodes.
    pub connections: Connections,
}

impl Deployment {
    /// The class of this name that new queries are of.
    pub fn class_named(&self, name: &str) -> Option<ClassId> {
        let open = |i: &usize| !self.settings.classes[*i].retired && self.class_names[*i] == name;
        (0..self.class_names.len()).find(open).map(ClassId)
    }

    /// The class that new queries are of where this one was meant: it may have other rules by now.
    pub fn current_class(&self, class: ClassId) -> ClassId {
        self.class_names.get(class.0).and_then(|name| self.class_named(name)).unwrap_or(class)
    }

    /// The same for a process beside which so many others may serve in its place: what a cold data node may be sent
    /// is shared with them. Other bounds are not: where they bind, the two halve their traffic anyway.
    #[must_use]
    pub fn sharing_with(mut self, others: u32) -> Self {
        self.settings.slow_start.processes = others.saturating_add(1);
        self
    }

    /// What this says, taken over from `before` while queries are open: see [`Settings::after`].
    #[must_use]
    pub fn carried_over_from(self, before: &Self) -> Self {
        let (settings, classes) =
            self.settings.carried_over_from(&before.settings, (&before.class_names, &self.class_names));
        Self { settings, class_names: classes, ..before.clone() }
    }
}

/// What the settings say of connections to data nodes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Connections {
    /// A connection is closed by its data node once idle for this long.
    pub idle: Nanos,
    /// A connection that is not up after this long counts as no route.
    pub connect_timeout: Nanos,
    /// Calls that one connection carries at once.
    pub multiplex: usize,
}

/// Where the settings say nothing of connections.
const DEFAULT_IDLE: Nanos = 30_000_000_000;
const DEFAULT_CONNECT_TIMEOUT: Nanos = 250_000_000;
const DEFAULT_MULTIPLEX: usize = 32;

#[derive(Deserialize)]
struct WireInfo {
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

/// Reads the object; unknown keys are skipped.
///
/// # Errors
/// Says what is missing or out of place.
pub fn read(text: &str) -> Result<Deployment, String> {
    let info: WireInfo =
        serde_json::from_str(text).map_err(|e| format!("settings are not as expected: {e}"))?;
    let mut classes = Vec::new();
    for (i, class) in info.classes.iter().enumerate() {
        classes.push(read_class(class, &info, i)?);
    }
    let rules = &info.rules;
    let budget = rules.resend_ratio.map(|ratio| RetryBudget {
        window: rules.extra_window_ns.unwrap_or(0),
        base_attempts: rules.min_extra.unwrap_or(0.0),
        ratio,
    });
    let discovery = match info.discovery.as_str() {
        "on_request" => DiscoveryMode::Poll { poll_interval_max: rules.must_ask_in_ns.unwrap_or(u64::MAX) },
        _ => DiscoveryMode::Push,
    };
    let home = info.locality.as_ref().and_then(|own| info.zones.iter().position(|z| z == own));
    let settings = Settings {
        coordinators: info.balancers,
        classes,
        tenants: info.realms.iter().map(|r| Tenant { quota: r.quota_rps, fair_share: r.share }).collect(),
        over_quota_value_ratio: info.over_share_worth,
        discovery,
        layout: ShardLayout {
            partition_groups: info.domain.positions,
            groups_per_shard: info.domain.in_a_row,
            max_batch: info.domain.batch,
            call_overhead: info.domain.overhead_ns,
        },
        max_open: info.limits.max_open,
        may_cancel: info.limits.cancel,
        may_hedge: info.limits.may_duplicate,
        may_check_health: info.limits.probes,
        max_retry_after: info.limits.retry_after.then_some(info.limits.max_retry_after_ns),
        retry_budget: budget,
        slow_start: SlowStartPolicy {
            initial_capacity_ratio: rules.cold_share,
            warm_up_duration: rules.cold_ns,
            overload_multiple: rules.tip_multiple,
            overload_duration: rules.fall_ns,
            processes: 1,
        },
        tick: info.tick_ns,
        zones: info.zones.len() as u32,
        local_zone: home.map(|z| ZoneId(z as u32)),
        clients_mark_retries: info.client_habits.is_some_and(|h| h.marks_retry),
        connection_idle_timeout: info.limits.conn_idle_ns,
    };
    Ok(Deployment {
        settings,
        class_names: info.classes.into_iter().map(|c| c.name).collect(),
        tenant_names: info.realms.into_iter().map(|r| r.name).collect(),
        zone_names: info.zones,
        shards: info.domain.ranges,
        connections: Connections {
            idle: info.limits.conn_idle_ns.unwrap_or(DEFAULT_IDLE),
            connect_timeout: info.limits.connect_timeout_ns.unwrap_or(DEFAULT_CONNECT_TIMEOUT),
            multiplex: info.limits.multiplex.unwrap_or(DEFAULT_MULTIPLEX).max(1),
        },
    })
}

fn read_class(class: &WireClass, info: &WireInfo, i: usize) -> Result<Class, String> {
    let domain = &info.domain;
    let effect = match class.effect.as_str() {
        "idempotent" => RetrySafety::Idempotent,
        "deduplicated" => RetrySafety::Deduplicated,
        "at_most_once" => RetrySafety::AtMostOnce,
        other => return Err(format!("unknown effect '{other}'")),
    };
    let need = domain.complete_from.get(i).copied().unwrap_or(1.0);
    Ok(Class {
        latency_objective: class.aim_ns,
        deadline: class.deadline_ns,
        priority_weight: class.importance,
        late_value_ratio: class.late_worth,
        retry_safety: effect,
        retry_window: class.repeat_window_ns,
        min_coverage: domain.class_floor.get(i).copied().unwrap_or(need),
        complete_coverage: need,
        partial_value_ratio: domain.class_partial.get(i).copied(),
        second_phase_parts: domain.second_step.get(i).copied().unwrap_or(0),
        max_attempts: info.limits.max_attempts,
        retired: false,
    })
}

#[cfg(test)]
mod tests;
