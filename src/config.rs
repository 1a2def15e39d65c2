//! The configuration: what the platform tells a coordinator, and the file of the edge under `deploy/`.

use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::path::Path;

use curlewdeck_merge::cursor::Keys;
use serde::Deserialize;
use serde_json::value::RawValue;
use serde_json::{Map, Value};

use crate::frontend::aggregation::AggregationConfig;
use crate::frontend::features::FeaturesConfig;
use crate::limits::{Limits, Platform};
use crate::net::endpoints::DiscoveryUpdate;
use crate::replication::config::GroupConfig;
use crate::settings::{self, Deployment};
use crate::snapshot_store::StateConfig;
use crate::snmp::SnmpConfig;

/// Why a configuration cannot be used.
#[derive(Debug)]
pub enum ConfigError {
    /// The file could not be read.
    Unreadable(io::Error),
    /// It is no whole JSON value: empty, cut short, or read while it was being written.
    Incomplete(String),
    /// It is whole, and something in it is missing or out of place.
    Invalid(String),
}

impl ConfigError {
    /// Whether the same file may turn out good when it is read again a moment later.
    pub fn may_pass(&self) -> bool {
        match self {
            Self::Unreadable(_) | Self::Incomplete(_) => true,
            Self::Invalid(_) => false,
        }
    }
}

impl fmt::Display for ConfigError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unreadable(error) => error.fmt(f),
            Self::Incomplete(why) | Self::Invalid(why) => f.write_str(why),
        }
    }
}

impl std::error::Error for ConfigError {}

/// The configuration file's JSON object.
#[derive(Deserialize)]
struct ConfigFile<'a> {
    #[serde(default)]
    name: String,
    listen: SocketAddr,
    discovery: SocketAddr,
    #[serde(default)]
    seed: String,
    control: Option<SocketAddr>,
    limits: PlatformLimits,
    known: Option<DiscoveryUpdate>,
    #[serde(borrow)]
    settings: &'a RawValue,
}

/// The object `limits` of the file.
#[derive(Deserialize)]
struct PlatformLimits {
    #[serde(default = "default_sockets")]
    sockets: usize,
    #[serde(default = "default_memory_mb")]
    memory_mb: usize,
}

fn default_sockets() -> usize {
    1024
}

fn default_memory_mb() -> usize {
    192
}

/// What a coordinator is told.
#[derive(Debug, Clone)]
pub struct Config {
    /// Its name.
    pub name: String,
    /// Where clients connect.
    pub listen: SocketAddr,
    /// The list's service.
    pub discovery: SocketAddr,
    /// The same as the file names it, whatever the environment says.
    pub discovery_in_file: SocketAddr,
    /// For random numbers.
    pub seed: u64,
    /// Descriptors that all its processes may hold together.
    pub sockets: usize,
    /// Memory that they may take together.
    pub memory_mb: usize,
    /// The second address, for those who run it.
    pub control: Option<SocketAddr>,
    /// The number of the inherited descriptor that listens for clients.
    pub listen_fd: Option<String>,
    /// The whole file but for the list: a later one may lack no key of it.
    pub document: Value,
    /// The list as it was last held.
    pub known: Option<DiscoveryUpdate>,
    /// The settings.
    pub info: Deployment,
}

impl Config {
    /// Reads the configuration's text. The variables of the environment, where given, come first.
    ///
    /// # Errors
    /// Says in one line what is missing or out of place.
    pub fn read(text: &str, variable: impl Fn(&str) -> Option<String>) -> Result<Self, ConfigError> {
        // All of it first: a text that is cut short is no whole value, whatever else may be out of place in it.
        let document = serde_json::from_str(text).map_err(|e| ConfigError::Incomplete(unexpected(&e)))?;
        Self::from_document(text, document, variable).map_err(ConfigError::Invalid)
    }

    fn from_document(
        text: &str,
        mut document: Value,
        variable: impl Fn(&str) -> Option<String>,
    ) -> Result<Self, String> {
        let file: ConfigFile = serde_json::from_str(text).map_err(|e| unexpected(&e))?;
        if let Some(object) = document.as_object_mut() {
            object.remove("known");
        }
        let info = settings::read(file.settings.get()).map_err(|e| e.to_string())?;
        info.settings.check().map_err(|e| e.to_string())?;
        let address = |name: &str, in_file: Option<SocketAddr>| match variable(name) {
            Some(text) => text.parse().map(Some).map_err(|_| format!("{name}: '{text}' is no address")),
            None => Ok(in_file),
        };
        Ok(Self {
            listen: address("LB_LISTEN", Some(file.listen))?.unwrap_or(file.listen),
            discovery: address("LB_DISCOVERY", Some(file.discovery))?.unwrap_or(file.discovery),
            discovery_in_file: file.discovery,
            name: variable("LB_NAME").unwrap_or(file.name),
            seed: u64::from_str_radix(&file.seed, 16).unwrap_or_else(|_| fastrand::u64(..)),
            sockets: file.limits.sockets,
            memory_mb: file.limits.memory_mb,
            control: address("LB_CONTROL", file.control)?,
            listen_fd: variable("LB_LISTEN_FD"),
            document,
            known: file.known,
            info,
        })
    }

    /// What the platform allows, beside so many other processes.
    pub fn platform(&self, others: usize) -> Platform {
        let nodes = self.known.as_ref().map_or(0, |known| known.lines.len());
        Platform { sockets: self.sockets, memory_mb: self.memory_mb, others, nodes }
    }

    /// Whether this may take the place of `before` while the process runs: it lacks no key that was there.
    ///
    /// # Errors
    /// Names the first key that it lacks.
    pub fn follows(&self, before: &Self) -> Result<(), ConfigError> {
        match missing_key(&before.document, &self.document) {
            None => Ok(()),
            Some(key) => Err(ConfigError::Invalid(format!("the key '{key}' is missing"))),
        }
    }

    /// Reads a file, with the variables of this process's environment.
    ///
    /// # Errors
    /// Says in one line what is missing or out of place; the caller knows the file's name.
    pub fn load(path: &Path) -> Result<Self, ConfigError> {
        let bytes = std::fs::read(path).map_err(ConfigError::Unreadable)?;
        let text = String::from_utf8(bytes).map_err(|e| ConfigError::Incomplete(e.to_string()))?;
        Self::read(&text, |name| std::env::var(name).ok().filter(|v| !v.is_empty()))
    }
}

fn unexpected(error: &serde_json::Error) -> String {
    format!("not as expected: {error}")
}

/// The path of the first key of `before` that is missing in `now`. The objects of an array may be others by now: of
/// these, only keys that all objects of the array had before are required.
fn missing_key(before: &Value, now: &Value) -> Option<String> {
    match (before, now) {
        (Value::Object(before), Value::Object(now)) => {
            before.iter().find_map(|(key, before)| match now.get(key) {
                None => Some(key.clone()),
                Some(now) => missing_key(before, now).map(|inner| format!("{key}.{inner}")),
            })
        }
        (Value::Array(before), Value::Array(now)) => {
            let required = common_keys(before);
            objects(now).enumerate().find_map(|(i, object)| {
                let missing = required.iter().find(|key| !object.contains_key(**key))?;
                Some(format!("{i}.{missing}"))
            })
        }
        _ => None,
    }
}

fn objects(array: &[Value]) -> impl Iterator<Item = &Map<String, Value>> {
    array.iter().filter_map(Value::as_object)
}

/// The keys that all objects of the array have.
fn common_keys(array: &[Value]) -> Vec<&String> {
    let Some(first) = objects(array).next() else { return Vec::new() };
    first.keys().filter(|key| objects(array).all(|object| object.contains_key(*key))).collect()
}

/// Reads a file of secrets, which nobody but its owner may read.
///
/// # Errors
/// Names the file and the fault, and nothing that stands in it.
pub fn read_secret(path: &Path) -> Result<String, String> {
    use std::os::unix::fs::PermissionsExt;
    let name = path.display();
    let mode = std::fs::metadata(path).map_err(|e| format!("{name}: {e}"))?.permissions().mode();
    if mode & 0o077 != 0 {
        return Err(format!(
            "{name}: others than its owner may use it (mode {:o}); chmod 600 it",
            mode & 0o777
        ));
    }
    std::fs::read_to_string(path).map_err(|e| format!("{name}: {e}"))
}

/// How long a cursor can be used where the file does not say, in seconds.
pub fn cursor_life() -> u64 {
    3600
}

/// The keys that seal cursors: of a file, or one that is made now and ends with the process.
///
/// # Errors
/// Names the file and the fault.
pub fn cursor_keys(path: Option<&Path>) -> Result<Keys, String> {
    let Some(path) = path else {
        let mut secret = [0; 32];
        getrandom::fill(&mut secret).map_err(|e| format!("no random numbers for a key: {e}"))?;
        return Ok(Keys::fresh(secret));
    };
    Keys::read(&read_secret(path)?).map_err(|why| format!("{}: {why}", path.display()))
}

/// Which protocol the data nodes speak.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum NodeProtocol {
    /// The platform's frames.
    #[default]
    Frames,
    /// OGC API - Features: the data nodes are feature servers.
    Features,
}

/// The file of the edge: what is not there is off.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Edge {
    /// How the data nodes are spoken to.
    #[serde(default)]
    pub nodes: Nodes,
    /// The front for feature queries.
    pub ogc: Option<FeaturesConfig>,
    /// The front for desks.
    pub desk: Option<AggregationConfig>,
    /// The folder of what outlives the process.
    pub state: Option<StateConfig>,
    /// The management agent.
    pub snmp: Option<SnmpConfig>,
    /// The group that this coordinator is a member of.
    pub group: Option<GroupConfig>,
}

/// How the data nodes are spoken to.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Nodes {
    /// Their protocol.
    #[serde(default)]
    pub protocol: NodeProtocol,
    /// The parameter that names a tag range to feature servers.
    #[serde(default = "tag_range")]
    pub range_parameter: String,
    /// The parameter by which feature servers give features in the order of their ids, behind the one that it names;
    /// without it they have none.
    #[serde(default)]
    pub after_parameter: Option<String>,
}

impl Default for Nodes {
    fn default() -> Self {
        Self { protocol: NodeProtocol::default(), range_parameter: tag_range(), after_parameter: None }
    }
}

fn tag_range() -> String {
    "tag_range".to_string()
}

impl Edge {
    /// Whether its fronts can be used with these settings. Reads no file: at a reload, what the fronts read at the start
    /// still holds.
    ///
    /// # Errors
    /// Names the section and the fault.
    pub fn check_settings(&self, info: &Deployment) -> Result<(), String> {
        if let Some(ogc) = &self.ogc {
            ogc.check(info)?;
        }
        if let Some(desk) = &self.desk {
            desk.check(info)?;
        }
        Ok(())
    }

    /// Whether all of it can be used with these settings, the files that it names included.
    ///
    /// # Errors
    /// Names the section and the fault.
    pub fn check(&self, info: &Deployment) -> Result<(), String> {
        self.check_settings(info)?;
        self.check_fronts()?;
        self.check_state()?;
        if let Some(group) = &self.group {
            group.check()?;
        }
        if let Some(snmp) = &self.snmp {
            snmp.agent(&Limits::default(), None)?;
        }
        Ok(())
    }

    fn check_fronts(&self) -> Result<(), String> {
        let features = self.nodes.protocol == NodeProtocol::Features;
        if let Some(ogc) = self.ogc.as_ref().filter(|ogc| ogc.by_id) {
            if features && self.nodes.after_parameter.is_none() {
                return Err(
                    "ogc: by_id needs nodes.after_parameter, by which servers go on behind an id".into()
                );
            }
            cursor_keys(ogc.cursor_keys.as_deref())?;
        }
        if let Some(desk) = &self.desk {
            if features {
                return Err("desk: its values come in frames, and the data nodes are feature servers".into());
            }
            desk.keys()?;
        }
        Ok(())
    }

    fn check_state(&self) -> Result<(), String> {
        let Some(state) = &self.state else { return Ok(()) };
        if !state.folder.is_dir() || state.every_s == 0 {
            let folder = state.folder.display();
            return Err(format!("state: {folder}: a folder that is there, and every_s above 0"));
        }
        if state.copied && self.group.is_none() {
            return Err("state.copied: there is no group to copy it to".into());
        }
        Ok(())
    }

    /// Reads the file's text.
    ///
    /// # Errors
    /// Says in one line what is out of place.
    pub fn read(text: &str) -> Result<Self, String> {
        toml::from_str(text).map_err(|e| e.message().to_string())
    }

    /// Reads the file.
    ///
    /// # Errors
    /// Says in one line what is out of place.
    pub fn load(path: &Path) -> Result<Self, String> {
        let name = path.display();
        let text = std::fs::read_to_string(path).map_err(|e| format!("{name}: {e}"))?;
        Self::read(&text).map_err(|e| format!("{name}: {e}"))
    }
}
