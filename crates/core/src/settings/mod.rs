//! The settings object, as the simulator's first message and the configuration file carry it: read into the policy's
//! [`Settings`] and the figures that sockets need. One parser for both programs.

mod wire;

#[cfg(test)]
mod tests;

use crate::api::{ClassId, Nanos, Settings};

/// The settings, with the names that the wire uses for classes, tenants and zones.
#[derive(Debug, Clone)]
pub struct Deployment {
    /// What the policy is given.
    pub settings: Settings,
    /// Names of the classes, in the order of [`Settings::classes`].
    pub class_names: Vec<String>,
    /// Names of the tenants, in the order of [`Settings::tenants`].
    pub tenant_names: Vec<String>,
    /// Names of the zones, in the order of their ids.
    pub zone_names: Vec<String>,
    /// How many shards there are; 0 where the settings do not say.
    pub shards: u32,
    /// Figures for connections to data nodes.
    pub connections: Connections,
}

/// What the settings say of connections to data nodes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Connections {
    /// Data nodes close a connection once it has been idle for this long.
    pub idle: Nanos,
    /// A connection that is not up after this long counts as failed.
    pub connect_timeout: Nanos,
    /// How many parts one connection carries at once.
    pub multiplex: usize,
}

/// Why a settings object cannot be read.
#[derive(Debug, thiserror::Error)]
pub enum ReadError {
    /// It is not JSON, lacks a key, or has a value of another type than expected.
    #[error("settings are not as expected: {0}")]
    Malformed(#[from] serde_json::Error),
    /// A class has an effect of retries that is not known.
    #[error("unknown effect '{0}'")]
    UnknownRetrySafety(String),
}

/// Reads the object; unknown keys are skipped. Figures are checked by [`Settings::check`].
///
/// # Errors
/// Says what is missing or out of place.
pub fn read(text: &str) -> Result<Deployment, ReadError> {
    let info: wire::WireInfo = serde_json::from_str(text)?;
    info.into_deployment()
}

impl Deployment {
    /// The class of this name that new queries are of.
    pub fn class_named(&self, name: &str) -> Option<ClassId> {
        let is_current = |&i: &usize| !self.settings.classes[i].retired && self.class_names[i] == name;
        (0..self.class_names.len()).find(is_current).map(ClassId)
    }

    /// The class that new queries are of where this one was meant: its name may stand for other rules by now.
    pub fn current_class(&self, class: ClassId) -> ClassId {
        let name = self.class_names.get(class.0);
        name.and_then(|name| self.class_named(name)).unwrap_or(class)
    }

    /// The same for a process beside which this many others may serve in its place: they share what they may send a
    /// server in slow start. Other bounds are not shared: where they bind, the processes split their traffic anyway.
    #[must_use]
    pub fn sharing_with(mut self, others: u32) -> Self {
        self.settings.slow_start.processes = others.saturating_add(1);
        self
    }

    /// These settings, taken over from `before` while queries are open: see [`Settings::carried_over_from`].
    #[must_use]
    pub fn carried_over_from(self, before: &Self) -> Self {
        let names = (&before.class_names[..], &self.class_names[..]);
        let (settings, class_names) = self.settings.carried_over_from(&before.settings, names);
        Self { settings, class_names, ..before.clone() }
    }
}
