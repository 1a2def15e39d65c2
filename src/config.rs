//! The configuration: what the platform tells a coordinator, and the file of the edge under `deploy/`.

use std::net::SocketAddr;
use std::path::Path;

use curlewdeck_merge::cursor::Keys;
use serde::Deserialize;
use serde_json::value::RawValue;
use serde_json::{Map, Value};

use crate::front::desk::DeskConfig;
use crate::front::ogc::OgcConfig;
use crate::group::config::GroupConfig;
use crate::keep::StateConfig;
use crate::limits::{Limits, Platform};
use crate::net::members::MembershipUpdate;
use crate::settings::{self, Info};
use crate::snmp::SnmpConfig;

#[derive(Deserialize)]
struct File<'a> {
    #[serde(default)]
    name: String,
    listen: SocketAddr,
    discovery: SocketAddr,
    #[serde(default)]
    seed: String,
    control: Option<SocketAddr>,
    limits: FileLimits,
    known: Option<MembershipUpdate>,
    #[serde(borrow)]
    settings: &'a RawValue,
}

#[derive(Deserialize)]
struct FileLimits {
    #[serde(default = "most_sockets")]
    sockets: usize,
    #[serde(default = "most_memory")]
    memory_mb: usize,
}

fn most_sockets() -> usize {
    1024
}

fn most_memory() -> usize {
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
    pub named_discovery: SocketAddr,
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
    /// All that the file says, but for the list: a later one may lack nothing of it.
    pub said: Value,
    /// The list as it was last held.
    pub known: Option<MembershipUpdate>,
    /// The settings.
    pub info: Info,
}

impl Config {
    /// Reads the configuration's text. The variables of the environment, where given, come first.
    ///
    /// # Errors
    /// Says in one line what is missing or out of place.
    pub fn read(text: &str, variable: impl Fn(&str) -> Option<String>) -> Result<Self, String> {
        let file: File = serde_json::from_str(text).map_err(|e| format!("not as expected: {e}"))?;
        let mut said: Value = serde_json::from_str(text).map_err(|e| format!("not as expected: {e}"))?;
        if let Some(said) = said.as_object_mut() {
            said.remove("known");
        }
        let info = settings::read(file.settings.get())?;
        info.settings.check().map_err(|e| e.to_string())?;
        let address = |name: &str, told: SocketAddr| match variable(name) {
            Some(text) => text.parse().map_err(|_| format!("{name}: '{text}' is no address")),
            None => Ok(told),
        };
        Ok(Self {
            listen: address("LB_LISTEN", file.listen)?,
            discovery: address("LB_DISCOVERY", file.discovery)?,
            named_discovery: file.discovery,
            name: variable("LB_NAME").unwrap_or(file.name),
            seed: u64::from_str_radix(&file.seed, 16).unwrap_or_else(|_| fastrand::u64(..)),
            sockets: file.limits.sockets,
            memory_mb: file.limits.memory_mb,
            control: match variable("LB_CONTROL") {
                Some(text) => Some(text.parse().map_err(|_| format!("LB_CONTROL: '{text}' is no address"))?),
                None => file.control,
            },
            listen_fd: variable("LB_LISTEN_FD"),
            said,
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
    pub fn follows(&self, before: &Self) -> Result<(), String> {
        lacks(&before.said, &self.said).map_or(Ok(()), |key| Err(format!("the key '{key}' is missing")))
    }

    /// Reads the file that `LB_CONFIG` names.
    ///
    /// # Errors
    /// Says in one line what is missing or out of place.
    pub fn load(path: &Path) -> Result<Self, String> {
        let name = path.display();
        let text = std::fs::read_to_string(path).map_err(|e| format!("{name}: {e}"))?;
        let variable = |name: &str| std::env::var(name).ok().filter(|v| !v.is_empty());
        Self::read(&text, variable).map_err(|e| format!("{name}: {e}"))
    }
}

/// The first key that was there and is not any more. Of a list of objects, which may be others by now, it counts what
/// all of them had.
fn lacks(before: &Value, now: &Value) -> Option<String> {
    let within = |key: &str, inner: String| format!("{key}.{inner}");
    match (before, now) {
        (Value::Object(before), Value::Object(now)) => {
            before.iter().find_map(|(key, before)| match now.get(key) {
                None => Some(key.clone()),
                Some(now) => lacks(before, now).map(|inner| within(key, inner)),
            })
        }
        (Value::Array(before), Value::Array(now)) => {
            let mut all: Vec<&Map<String, Value>> = before.iter().filter_map(Value::as_object).collect();
            let first = all.pop()?;
            let common = first.keys().filter(|key| all.iter().all(|b| b.contains_key(*key)));
            let mut objects = now.iter().filter_map(Value::as_object).enumerate();
            let keys: Vec<&String> = common.collect();
            objects.find_map(|(i, now)| {
                keys.iter()
                    .find(|key| !now.contains_key(**key))
                    .map(|key| within(&i.to_string(), key.to_string()))
            })
        }
        _ => None,
    }
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
    pub ogc: Option<OgcConfig>,
    /// The front for desks.
    pub desk: Option<DeskConfig>,
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
    /// Whether all of it can be used with these settings.
    ///
    /// # Errors
    /// Names the section and the fault.
    pub fn check(&self, info: &Info) -> Result<(), String> {
        if let Some(ogc) = &self.ogc {
            ogc.check(info)?;
            if ogc.by_id {
                if self.nodes.protocol == NodeProtocol::Features && self.nodes.after_parameter.is_none() {
                    return Err(
                        "ogc: by_id needs nodes.after_parameter, by which servers go on behind an id".into(),
                    );
                }
                cursor_keys(ogc.cursor_keys.as_deref())?;
            }
        }
        if let Some(desk) = &self.desk {
            if self.nodes.protocol == NodeProtocol::Features {
                return Err("desk: its values come in frames, and the data nodes are feature servers".into());
            }
            desk.check(info)?;
            desk.keys()?;
        }
        if let Some(state) = &self.state {
            if !state.folder.is_dir() || state.every_s == 0 {
                return Err(format!(
                    "state: {}: a folder that is there, and every_s above 0",
                    state.folder.display()
                ));
            }
        }
        if let Some(group) = &self.group {
            group.check()?;
        } else if self.state.as_ref().is_some_and(|s| s.copied) {
            return Err("state.copied: there is no group to copy it to".into());
        }
        if let Some(snmp) = &self.snmp {
            snmp.agent(&Limits::default(), None)?;
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
