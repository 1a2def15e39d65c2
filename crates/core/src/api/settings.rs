//! The settings of the policy: classes of query, limits, and the rules of the service.

use std::fmt;

use super::{ClassId, Nanos, ZoneId};

/// What a retry of a part does at the data nodes, by the class of its query.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetrySafety {
    /// A part may run any number of times.
    Idempotent,
    /// A retry within [`Class::retry_window`] of the first attempt is dropped by the data nodes.
    Deduplicated,
    /// No part may run twice.
    AtMostOnce,
}

/// A class of query.
#[derive(Debug, Clone, PartialEq)]
pub struct Class {
    /// An answer within this time earns its full value.
    pub latency_objective: Nanos,
    /// The client waits this long over all its retries.
    pub deadline: Nanos,
    /// Value of a complete answer within the latency objective.
    pub priority_weight: f64,
    /// Share of the value that an answer after the latency objective earns.
    pub late_value_ratio: f64,
    /// What a retry of a part does.
    pub retry_safety: RetrySafety,
    /// For [`RetrySafety::Deduplicated`]: how long retries are dropped.
    pub retry_window: Nanos,
    /// Least share of the weight that an answer may be given from.
    pub min_coverage: f64,
    /// Share of the first phase's weight that makes a complete answer.
    pub complete_coverage: f64,
    /// An incomplete answer earns this times its share of `complete_coverage`, where that is known.
    pub partial_value_ratio: Option<f64>,
    /// Parts of the second phase; 0 where there is one phase.
    pub second_phase_parts: u32,
    /// Most attempts for one part.
    pub max_attempts: u32,
    /// The settings no longer name it, or with other rules: only queries that are open are of it.
    pub retired: bool,
}

/// A tenant and its share of the service.
#[derive(Debug, Clone, PartialEq)]
pub struct Tenant {
    /// Queries a second over all coordinators that count as within its quota.
    pub quota: f64,
    /// Its fraction of the service.
    pub fair_share: f64,
}

/// How the endpoint list comes from discovery.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DiscoveryMode {
    /// Changes arrive unasked.
    Push,
    /// Changes arrive only where the embedder asks for them.
    Poll {
        /// A coordinator without a watch that has not asked for this long counts as notified of every change.
        poll_interval_max: Nanos,
    },
}

/// A budget of attempts beyond each part's first.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryBudget {
    /// The span over which both sides are counted.
    pub window: Nanos,
    /// Attempts allowed whatever the traffic.
    pub base_attempts: f64,
    /// Further attempts for each query or part taken.
    pub ratio: f64,
}

/// Which servers hold which shards: shard s is held by partition groups (s + j) mod `partition_groups`, j below
/// `groups_per_shard`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ShardLayout {
    /// How many partition groups there are.
    pub partition_groups: u32,
    /// How many consecutive partition groups hold a shard.
    pub groups_per_shard: u32,
    /// The most parts one call carries.
    pub max_batch: u32,
    /// Work of a call beside that of its parts.
    pub call_overhead: Nanos,
}

/// What the rules of the service state about servers that have just started.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SlowStartPolicy {
    /// Least share of its capacity that a server starts at.
    pub initial_capacity_ratio: f64,
    /// It has its full capacity after this long at most.
    pub warm_up_duration: Nanos,
    /// Sent more than this multiple of its present capacity...
    pub overload_multiple: f64,
    /// ...for this long, it fails.
    pub overload_duration: Nanos,
    /// How many processes may stand in the place of one coordinator at once, and share what it may send such a
    /// server.
    pub processes: u32,
}

/// Everything an instance of the policy is told at its start.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// How many coordinators there are.
    pub coordinators: u32,
    /// Classes of query.
    pub classes: Vec<Class>,
    /// Tenants; may be empty.
    pub tenants: Vec<Tenant>,
    /// Value of a query beyond its tenant's quota, as a fraction.
    pub over_quota_value_ratio: f64,
    /// How the endpoint list comes.
    pub discovery: DiscoveryMode,
    /// Which servers hold which shards.
    pub layout: ShardLayout,
    /// Most queries and parts held at once.
    pub max_open: usize,
    /// Whether attempts may be cancelled.
    pub may_cancel: bool,
    /// Whether a part may have two attempts in flight at once.
    pub may_hedge: bool,
    /// Whether the health of servers may be checked.
    pub may_check_health: bool,
    /// Longest retry-after that clients follow; none where it is not passed on to them.
    pub max_retry_after: Option<Nanos>,
    /// Budget of further attempts, where stated.
    pub retry_budget: Option<RetryBudget>,
    /// The rule for servers that have just started.
    pub slow_start: SlowStartPolicy,
    /// Least time between rounds.
    pub tick: Nanos,
    /// How many zones there are; 0 where zones are not known.
    pub zones: u32,
    /// The zone that this instance is in, where that is known.
    pub local_zone: Option<ZoneId>,
    /// Whether clients mark the queries that they retry.
    pub clients_mark_retries: bool,
    /// Data nodes close connections that have been idle for this long, where that is known.
    pub connection_idle_timeout: Option<Nanos>,
}

/// More zones than this are a mistake.
const MAX_ZONES: u32 = 1 << 16;

/// Why settings cannot be used.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SettingsError {
    /// There is no class.
    NoClasses,
    /// A class has a time of zero, or a share or weight out of range.
    InvalidClass(ClassId, &'static str),
    /// The layout names no partition groups, none a shard or an empty batch.
    InvalidLayout(&'static str),
    /// A figure of the rules or limits is out of range.
    InvalidFigure(&'static str),
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NoClasses => write!(f, "settings name no class of query"),
            Self::InvalidClass(class, what) => write!(f, "class {}: {what}", class.0),
            Self::InvalidLayout(what) => write!(f, "layout: {what}"),
            Self::InvalidFigure(what) => write!(f, "{what}"),
        }
    }
}

impl std::error::Error for SettingsError {}

impl Settings {
    /// Attempts that each coordinator may send one server at once: bursts of so many coordinators seldom coincide.
    pub fn burst_allowance(&self) -> f64 {
        f64::from(self.coordinators).sqrt()
    }

    /// How many processes share what a server in slow start may be sent.
    pub fn slow_start_sharers(&self) -> f64 {
        f64::from(self.coordinators) * f64::from(self.slow_start.processes)
    }

    /// The shortest latency objective of all classes in use.
    pub fn shortest_latency_objective(&self) -> Nanos {
        self.latency_objectives().min().unwrap_or(1)
    }

    /// The longest latency objective of all classes in use.
    pub fn longest_latency_objective(&self) -> Nanos {
        self.latency_objectives().max().unwrap_or(1)
    }

    fn latency_objectives(&self) -> impl Iterator<Item = Nanos> + '_ {
        self.classes.iter().filter(|c| !c.retired).map(|c| c.latency_objective)
    }

    /// These settings, taken over from `before` while queries are open, and the names of their classes. Classes of the
    /// same rules keep their indices, others are added behind them, and those that are missing are retired: an index is
    /// never given again, so that each query keeps the rules it came under. The layout, zones, tenants and discovery
    /// mode hold from one start to the next. `names` are the class names of both: `before`'s first.
    pub fn carried_over_from(self, before: &Self, names: (&[String], &[String])) -> (Self, Vec<String>) {
        let (mut classes, mut all) = (before.classes.clone(), names.0.to_vec());
        classes.iter_mut().for_each(|c| c.retired = true);
        for (class, name) in self.classes.into_iter().zip(names.1) {
            let same =
                |i: &usize| all[*i] == *name && Class { retired: false, ..classes[*i].clone() } == class;
            match (0..classes.len()).find(same) {
                Some(i) => classes[i].retired = false,
                None => {
                    classes.push(class);
                    all.push(name.clone());
                }
            }
        }
        let Self { tenants, discovery, layout, zones, local_zone, .. } = before.clone();
        (Self { classes, tenants, discovery, layout, zones, local_zone, ..self }, all)
    }

    /// Checks that the settings can be used.
    ///
    /// # Errors
    /// Says which setting cannot be used and why.
    pub fn check(&self) -> Result<(), SettingsError> {
        if self.classes.is_empty() {
            return Err(SettingsError::NoClasses);
        }
        for (i, class) in self.classes.iter().enumerate() {
            class.check().map_err(|what| SettingsError::InvalidClass(ClassId(i), what))?;
        }
        let layout = &self.layout;
        if layout.partition_groups == 0 || layout.groups_per_shard == 0 || layout.max_batch == 0 {
            return Err(SettingsError::InvalidLayout("cells, in_a_row and batch must be above 0"));
        }
        let good = |x: f64| x.is_finite() && x >= 0.0;
        let budget = self.retry_budget.is_none_or(|b| good(b.base_attempts) && good(b.ratio));
        let slow_start = &self.slow_start;
        let initial_ratio = slow_start.initial_capacity_ratio;
        let tenants = self.tenants.iter().all(|t| good(t.quota) && good(t.fair_share));
        let figures = [
            (self.coordinators > 0, "coordinators must be above 0"),
            (self.tick > 0, "tick must be above 0"),
            (self.zones <= MAX_ZONES, "zones must be at most 65536"),
            (budget, "the budget's figures must be 0 or more"),
            (good(initial_ratio) && initial_ratio <= 1.0, "cold share must lie within 0 and 1"),
            (good(slow_start.overload_multiple), "cold multiple must be 0 or more"),
            (tenants && good(self.over_quota_value_ratio), "tenants' figures must be 0 or more"),
        ];
        match figures.iter().find(|f| !f.0) {
            Some(f) => Err(SettingsError::InvalidFigure(f.1)),
            None => Ok(()),
        }
    }
}

impl Class {
    /// Until when a further attempt at a part may begin, the first that may have run having been sent at `first`.
    pub fn retry_deadline(&self, first: Option<Nanos>) -> Nanos {
        match (self.retry_safety, first) {
            (RetrySafety::Idempotent, _) | (_, None) => Nanos::MAX,
            (RetrySafety::Deduplicated, Some(at)) => at.saturating_add(self.retry_window),
            (RetrySafety::AtMostOnce, Some(_)) => 0,
        }
    }

    fn check(&self) -> Result<(), &'static str> {
        let share = |x: f64| (0.0..=1.0).contains(&x);
        if self.latency_objective == 0 || self.deadline == 0 {
            return Err("aim and deadline must be above 0");
        }
        if self.max_attempts == 0 {
            return Err("max_attempts must be above 0");
        }
        if !(share(self.min_coverage) && share(self.complete_coverage) && share(self.late_value_ratio)) {
            return Err("floor, need and late_worth must lie within 0 and 1");
        }
        if !self.partial_value_ratio.is_none_or(|p| p.is_finite() && p >= 0.0) {
            return Err("partial must be 0 or more");
        }
        if !(self.priority_weight.is_finite() && self.priority_weight >= 0.0) {
            return Err("importance must be 0 or more");
        }
        Ok(())
    }
}
