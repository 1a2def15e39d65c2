//! Parses the settings object, which both the simulator's first message and the configuration file contain, into the
//! policy's [`Settings`] and the parameters of connections to data nodes.

mod wire;

#[cfg(test)]
mod tests;

use crate::api::{ClassId, Nanos, Settings};

/// The settings of a deployment, with the names of its classes, tenants and zones.
#[derive(Debug, Clone)]
pub struct Deployment {
    /// The policy's settings.
    pub settings: Settings,
    /// Names of the classes, in the order of [`Settings::classes`].
    pub class_names: Vec<String>,
    /// Names of the tenants, in the order of [`Settings::tenants`].
    pub tenant_names: Vec<String>,
    /// Names of the zones, in the order of their ids.
    pub zone_names: Vec<String>,
    /// Number of shards; 0 if the settings omit it.
    pub shards: u32,
    /// Parameters of connections to data nodes.
    pub connections: Connections,
}

/// Parameters of connections to data nodes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Connections {
    /// Data nodes close a connection once it has been idle for this long.
    pub idle_timeout: Nanos,
    /// A connection that is not established within this time counts as failed.
    pub connect_timeout: Nanos,
    /// Maximum number of parts in flight on one connection.
    pub max_parts_in_flight: usize,
}

/// Why a settings object cannot be parsed.
#[derive(Debug, thiserror::Error)]
pub enum ReadError {
    /// It is not JSON, lacks a key, or has a value of another type than expected.
    #[error("settings are not as expected: {0}")]
    Malformed(#[from] serde_json::Error),
    /// A class has an unknown value of `effect`, the safety of its retries.
    #[error("unknown effect '{0}'")]
    UnknownRetrySafety(String),
}

/// Parses the settings object; ignores unknown keys. [`Settings::check`] validates the values.
///
/// # Errors
/// Returns the first missing key, unexpected type or unknown value.
pub fn parse(text: &str) -> Result<Deployment, ReadError> {
    let info: wire::WireInfo = serde_json::from_str(text)?;
    info.into_deployment()
}

impl Deployment {
    /// Returns the class of this name that applies to new queries.
    pub fn class_named(&self, name: &str) -> Option<ClassId> {
        let is_current = |&i: &usize| !self.settings.classes[i].retired && self.class_names[i] == name;
        (0..self.class_names.len()).find(is_current).map(ClassId)
    }

    /// Returns the class that currently has the name of `class`: its rules may have changed since. Returns `class` if
    /// none has.
    pub fn current_class(&self, class: ClassId) -> ClassId {
        let name = self.class_names.get(class.0);
        name.and_then(|name| self.class_named(name)).unwrap_or(class)
    }

    /// Sets the number of other processes that may serve at once as the same coordinator. They share its allowance for
    /// servers in slow start. Other limits are not shared: where those limit traffic, the processes split it anyway.
    #[must_use]
    pub fn with_sibling_processes(mut self, others: u32) -> Self {
        self.settings.slow_start.processes_per_coordinator = others.saturating_add(1);
        self
    }

    /// Merges these settings with `before`, which they replace while queries are open: see
    /// [`Settings::merged_with_previous`].
    #[must_use]
    pub fn merged_with_previous(self, before: &Self) -> Self {
        let names = (&before.class_names[..], &self.class_names[..]);
        let (settings, class_names) = self.settings.merged_with_previous(&before.settings, names);
        Self { settings, class_names, ..before.clone() }
    }
}
