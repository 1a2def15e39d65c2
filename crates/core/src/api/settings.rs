//! The settings of the policy: query classes, tenants, limits and the rules of the deployment.

use std::fmt;

use super::{ClassId, Nanos, ZoneId};

/// Whether a part may be retried after it may have run at a data node, by the class of its query.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetrySafety {
    /// A part may run any number of times.
    Idempotent,
    /// Data nodes ignore a retry within [`Class::retry_window`] of the first attempt.
    Deduplicated,
    /// A part must not run twice.
    AtMostOnce,
}

/// A query class: its objective, its value and its retry rules.
#[derive(Debug, Clone, PartialEq)]
pub struct Class {
    /// An answer within this time of the first submission earns its full value.
    pub latency_objective: Nanos,
    /// How long the client waits in total, its retries included.
    pub deadline: Nanos,
    /// Value of a complete answer within the latency objective.
    pub priority_weight: f64,
    /// Share of the value that an answer after the latency objective earns.
    pub late_value_ratio: f64,
    /// Whether a part may run more than once.
    pub retry_safety: RetrySafety,
    /// For [`RetrySafety::Deduplicated`]: how long after the first attempt data nodes ignore retries.
    pub retry_window: Nanos,
    /// Minimum share of the weight for a partial answer.
    pub min_coverage: f64,
    /// Share of the first phase's weight that a complete answer requires.
    pub complete_coverage: f64,
    /// A partial answer earns this times its share of `complete_coverage`; `None` if unknown.
    pub partial_value_ratio: Option<f64>,
    /// Number of parts of the second phase; 0 for a single phase.
    pub second_phase_parts: u32,
    /// Maximum number of attempts for one part.
    pub max_attempts: u32,
    /// The current settings no longer contain this class with these rules: no new query gets it, and open queries
    /// keep it.
    pub retired: bool,
}

/// A tenant and its share of the service.
#[derive(Debug, Clone, PartialEq)]
pub struct Tenant {
    /// Queries per second, over all coordinators, that count as within its quota.
    pub quota: f64,
    /// Its share of the service, as a fraction.
    pub fair_share: f64,
}

/// How updates of the endpoint list arrive from discovery.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DiscoveryMode {
    /// Discovery pushes changes.
    Push,
    /// Changes arrive only in response to polls by the embedder.
    Poll {
        /// Discovery considers a coordinator without a watch notified of every change once it has not polled for
        /// this long.
        poll_interval_max: Nanos,
    },
}

/// A budget of attempts beyond each part's first.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryBudget {
    /// Sliding window over which attempts and arrivals are counted.
    pub window: Nanos,
    /// Attempts allowed regardless of traffic.
    pub base_attempts: f64,
    /// Additional attempts allowed for each query or part that arrives.
    pub ratio: f64,
}

/// The assignment of shards to servers: partition groups (s + j) mod `partition_groups` hold shard s, for j below
/// `groups_per_shard`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ShardLayout {
    /// Number of partition groups; a server belongs to one of them.
    pub partition_groups: u32,
    /// Number of consecutive partition groups that hold a shard.
    pub groups_per_shard: u32,
    /// Maximum number of parts in one call.
    pub max_batch: u32,
    /// Processing time of a call in addition to that of its parts.
    pub call_overhead: Nanos,
}

/// Capacity and overload rules for servers that have just started.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SlowStartPolicy {
    /// Minimum share of its capacity that a server has when it starts.
    pub initial_capacity_ratio: f64,
    /// A server reaches its full capacity within this time.
    pub warm_up_duration: Nanos,
    /// A server fails when it is sent more than this multiple of its current capacity...
    pub overload_multiple: f64,
    /// ...for this long.
    pub overload_duration: Nanos,
    /// Number of processes that may serve at once as one coordinator and share its allowance for a server in slow
    /// start.
    pub processes_per_coordinator: u32,
}

/// The settings of one instance of the policy.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// Number of coordinators that share the data nodes.
    pub coordinators: u32,
    /// Query classes; [`ClassId`] is an index into them.
    pub classes: Vec<Class>,
    /// Tenants; empty if the deployment has none.
    pub tenants: Vec<Tenant>,
    /// Factor by which the value of a query is multiplied while its tenant is over its quota.
    pub over_quota_value_ratio: f64,
    /// How updates of the endpoint list arrive.
    pub discovery: DiscoveryMode,
    /// The assignment of shards to servers.
    pub layout: ShardLayout,
    /// Maximum number of open queries and parts.
    pub max_open: usize,
    /// Whether attempts may be cancelled.
    pub may_cancel: bool,
    /// Whether a part may have two attempts in flight.
    pub may_hedge: bool,
    /// Whether the policy may request health checks of servers.
    pub may_check_health: bool,
    /// Longest retry-after that clients follow; `None` if it is not sent to them.
    pub max_retry_after: Option<Nanos>,
    /// Retry budget; `None`: the policy's default.
    pub retry_budget: Option<RetryBudget>,
    /// Rules for servers that have just started.
    pub slow_start: SlowStartPolicy,
    /// Minimum time between rounds.
    pub tick: Nanos,
    /// Number of zones; 0 if unknown.
    pub zones: u32,
    /// The zone of this instance; `None` if unknown.
    pub local_zone: Option<ZoneId>,
    /// Whether clients mark their retries.
    pub clients_mark_retries: bool,
    /// Data nodes close connections that have been idle for this long; `None` if unknown.
    pub connection_idle_timeout: Option<Nanos>,
}

/// A larger number of zones is a configuration error.
const MAX_ZONES: u32 = 1 << 16;

/// Why settings are invalid.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SettingsError {
    /// The settings contain no class.
    NoClasses,
    /// A class has a zero duration or attempt limit, or a ratio or weight that is out of range.
    InvalidClass(ClassId, &'static str),
    /// The number of partition groups, of groups per shard or of parts per call is zero.
    InvalidLayout(&'static str),
    /// Another value is out of range.
    InvalidValue(&'static str),
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NoClasses => write!(f, "classes must not be empty"),
            Self::InvalidClass(class, reason) => write!(f, "class {}: {reason}", class.0),
            Self::InvalidLayout(reason) => write!(f, "layout: {reason}"),
            Self::InvalidValue(reason) => write!(f, "{reason}"),
        }
    }
}

impl std::error::Error for SettingsError {}

impl Settings {
    /// Attempts that each coordinator may send one server at once. It is the square root of the number of
    /// coordinators because their bursts seldom coincide.
    pub fn burst_allowance(&self) -> f64 {
        f64::from(self.coordinators).sqrt()
    }

    /// Number of processes, over all coordinators, that share a server's slow start allowance.
    pub fn slow_start_processes(&self) -> f64 {
        f64::from(self.coordinators) * f64::from(self.slow_start.processes_per_coordinator)
    }

    /// The shortest latency objective of the classes that are not retired.
    pub fn shortest_latency_objective(&self) -> Nanos {
        self.latency_objectives().min().unwrap_or(1)
    }

    /// The longest latency objective of the classes that are not retired.
    pub fn longest_latency_objective(&self) -> Nanos {
        self.latency_objectives().max().unwrap_or(1)
    }

    /// The longest deadline of the classes that are not retired.
    pub fn longest_deadline(&self) -> Nanos {
        self.current_classes().map(|class| class.deadline).max().unwrap_or(0)
    }

    fn latency_objectives(&self) -> impl Iterator<Item = Nanos> + '_ {
        self.current_classes().map(|class| class.latency_objective)
    }

    /// The classes of new queries: those that are not retired.
    fn current_classes(&self) -> impl Iterator<Item = &Class> + '_ {
        self.classes.iter().filter(|class| !class.retired)
    }

    /// Merges these settings with `before`, which they replace while queries are open; returns them with the names of
    /// their classes. A class with unchanged name and rules keeps its index, other classes are appended, and missing
    /// ones are retired. An index is never reused, so each query keeps the rules that it arrived under. The layout,
    /// zones, tenants and discovery mode change only with a restart. `names` are the class names: those of `before`,
    /// then those of `self`.
    pub fn merged_with_previous(self, before: &Self, names: (&[String], &[String])) -> (Self, Vec<String>) {
        let (mut classes, mut class_names) = (before.classes.clone(), names.0.to_vec());
        classes.iter_mut().for_each(|c| c.retired = true);
        for (class, name) in self.classes.into_iter().zip(names.1) {
            let is_unchanged = |i: &usize| {
                class_names[*i] == *name && Class { retired: false, ..classes[*i].clone() } == class
            };
            match (0..classes.len()).find(is_unchanged) {
                Some(i) => classes[i].retired = false,
                None => {
                    classes.push(class);
                    class_names.push(name.clone());
                }
            }
        }
        let Self { tenants, discovery, layout, zones, local_zone, .. } = before.clone();
        (Self { classes, tenants, discovery, layout, zones, local_zone, ..self }, class_names)
    }

    /// Validates the settings.
    ///
    /// # Errors
    /// Returns the first setting that is invalid and why.
    pub fn check(&self) -> Result<(), SettingsError> {
        if self.classes.is_empty() {
            return Err(SettingsError::NoClasses);
        }
        for (i, class) in self.classes.iter().enumerate() {
            class.check().map_err(|reason| SettingsError::InvalidClass(ClassId(i), reason))?;
        }
        let layout = &self.layout;
        if layout.partition_groups == 0 || layout.groups_per_shard == 0 || layout.max_batch == 0 {
            return Err(SettingsError::InvalidLayout("positions, in_a_row and batch must be above 0"));
        }
        let is_non_negative = |x: f64| x.is_finite() && x >= 0.0;
        let is_valid_budget = |b: RetryBudget| is_non_negative(b.base_attempts) && is_non_negative(b.ratio);
        let budget = self.retry_budget.is_none_or(is_valid_budget);
        let slow_start = &self.slow_start;
        let initial_ratio = slow_start.initial_capacity_ratio;
        let tenants = self.tenants.iter().all(|t| is_non_negative(t.quota) && is_non_negative(t.fair_share));
        let checks = [
            (self.coordinators > 0, "balancers must be above 0"),
            (self.tick > 0, "tick_ns must be above 0"),
            (self.zones <= MAX_ZONES, "zones must be at most 65536"),
            (budget, "min_extra and resend_ratio must be 0 or more"),
            (is_non_negative(initial_ratio) && initial_ratio <= 1.0, "cold_share must be between 0 and 1"),
            (is_non_negative(slow_start.overload_multiple), "tip_multiple must be 0 or more"),
            (
                tenants && is_non_negative(self.over_quota_value_ratio),
                "quota_rps, share and over_share_worth must be 0 or more",
            ),
        ];
        match checks.iter().find(|check| !check.0) {
            Some(check) => Err(SettingsError::InvalidValue(check.1)),
            None => Ok(()),
        }
    }
}

impl Class {
    /// When retries of a part must stop; `first` is when the first attempt that may have run was sent.
    pub fn retry_deadline(&self, first: Option<Nanos>) -> Nanos {
        match (self.retry_safety, first) {
            (RetrySafety::Idempotent, _) | (_, None) => Nanos::MAX,
            (RetrySafety::Deduplicated, Some(at)) => at.saturating_add(self.retry_window),
            (RetrySafety::AtMostOnce, Some(_)) => 0,
        }
    }

    fn check(&self) -> Result<(), &'static str> {
        let is_ratio = |x: f64| (0.0..=1.0).contains(&x);
        if self.latency_objective == 0 || self.deadline == 0 {
            return Err("aim_ns and deadline_ns must be above 0");
        }
        if self.max_attempts == 0 {
            return Err("max_attempts must be above 0");
        }
        if !(is_ratio(self.min_coverage)
            && is_ratio(self.complete_coverage)
            && is_ratio(self.late_value_ratio))
        {
            return Err("class_floor, complete_from and late_worth must be between 0 and 1");
        }
        if !self.partial_value_ratio.is_none_or(|p| p.is_finite() && p >= 0.0) {
            return Err("class_partial must be 0 or more");
        }
        if !(self.priority_weight.is_finite() && self.priority_weight >= 0.0) {
            return Err("importance must be 0 or more");
        }
        Ok(())
    }
}
