//! The platform's configuration file, together with the environment's variables that take precedence over it.

use std::net::SocketAddr;
use std::path::Path;

use serde::Deserialize;
use serde_json::value::RawValue;
use serde_json::Value;

use super::missing_key::first_missing_key;
use super::ConfigError;
use crate::limits::Platform;
use crate::net::endpoints::DiscoveryUpdate;
use crate::settings::{self, Deployment};

const NAME_VARIABLE: &str = "LB_NAME";
const LISTEN_VARIABLE: &str = "LB_LISTEN";
const DISCOVERY_VARIABLE: &str = "LB_DISCOVERY";
const CONTROL_VARIABLE: &str = "LB_CONTROL";
const LISTEN_FD_VARIABLE: &str = "LB_LISTEN_FD";

/// The file's key of the endpoint list, which changes without the configuration changing.
const KNOWN_KEY: &str = "known";

const DEFAULT_SOCKETS: usize = 1024;
const DEFAULT_MEMORY_MB: usize = 192;

/// The radix of the file's seed.
const SEED_RADIX: u32 = 16;

/// The file's JSON object.
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

/// The file's object `limits`.
#[derive(Deserialize)]
struct PlatformLimits {
    #[serde(default = "default_sockets")]
    sockets: usize,
    #[serde(default = "default_memory_mb")]
    memory_mb: usize,
}

fn default_sockets() -> usize {
    DEFAULT_SOCKETS
}

fn default_memory_mb() -> usize {
    DEFAULT_MEMORY_MB
}

/// The configuration of one coordinator process.
#[derive(Debug, Clone)]
pub struct Config {
    /// The coordinator's name, the same after a restart.
    pub name: String,
    /// Where it listens for clients.
    pub listen: SocketAddr,
    /// The address of discovery.
    pub discovery: SocketAddr,
    /// The address of discovery that the file gives, whatever the environment says.
    pub discovery_in_file: SocketAddr,
    /// The seed of random numbers.
    pub seed: u64,
    /// File descriptors that all its processes may hold together.
    pub sockets: usize,
    /// Memory that all its processes may take together, in megabytes.
    pub memory_mb: usize,
    /// The second address, at which operators call.
    pub control: Option<SocketAddr>,
    /// The number of the inherited descriptor that listens for clients.
    pub listen_fd: Option<String>,
    /// The file's JSON without the endpoint list: a later configuration may lack none of its keys.
    pub document: Value,
    /// The endpoint list as this coordinator last held it.
    pub known_endpoints: Option<DiscoveryUpdate>,
    /// The settings.
    pub deployment: Deployment,
}

impl Config {
    /// Reads a file, with the variables of this process's environment.
    ///
    /// # Errors
    /// What is missing or wrong, without the file's name.
    pub fn load(path: &Path) -> Result<Self, ConfigError> {
        let bytes = std::fs::read(path).map_err(ConfigError::Unreadable)?;
        let text = String::from_utf8(bytes).map_err(ConfigError::NotUtf8)?;
        Self::read(&text, |name| std::env::var(name).ok().filter(|value| !value.is_empty()))
    }

    /// Reads the file's text. The environment's variables take precedence where `variable` gives them.
    ///
    /// # Errors
    /// What is missing or wrong.
    pub fn read(text: &str, variable: impl Fn(&str) -> Option<String>) -> Result<Self, ConfigError> {
        // The complete text first: one that is cut short is not a JSON value, whatever else may be wrong in it.
        let mut document: Value = serde_json::from_str(text).map_err(ConfigError::Incomplete)?;
        let file: ConfigFile = serde_json::from_str(text).map_err(ConfigError::Unexpected)?;
        if let Some(object) = document.as_object_mut() {
            object.remove(KNOWN_KEY);
        }
        let info = read_settings(file.settings.get())?;
        let address = |name: &str| address_variable(name, &variable);
        Ok(Self {
            listen: address(LISTEN_VARIABLE)?.unwrap_or(file.listen),
            discovery: address(DISCOVERY_VARIABLE)?.unwrap_or(file.discovery),
            discovery_in_file: file.discovery,
            name: variable(NAME_VARIABLE).unwrap_or(file.name),
            seed: u64::from_str_radix(&file.seed, SEED_RADIX).unwrap_or_else(|_| fastrand::u64(..)),
            sockets: file.limits.sockets,
            memory_mb: file.limits.memory_mb,
            control: address(CONTROL_VARIABLE)?.or(file.control),
            listen_fd: variable(LISTEN_FD_VARIABLE),
            document,
            known_endpoints: file.known,
            deployment: info,
        })
    }

    /// What the platform allows this process, beside so many others of the same coordinator.
    pub fn platform(&self, others: usize) -> Platform {
        let nodes = self.known_endpoints.as_ref().map_or(0, |known| known.lines.len());
        Platform { sockets: self.sockets, memory_mb: self.memory_mb, others, nodes }
    }

    /// Whether this configuration may replace `before` while the process runs: it lacks none of its keys.
    ///
    /// # Errors
    /// Names the first key that is missing.
    pub fn can_replace(&self, before: &Self) -> Result<(), ConfigError> {
        match first_missing_key(&before.document, &self.document) {
            None => Ok(()),
            Some(key) => Err(ConfigError::MissingKey(key)),
        }
    }
}

fn read_settings(text: &str) -> Result<Deployment, ConfigError> {
    let deployment = settings::read(text)?;
    deployment.settings.check()?;
    Ok(deployment)
}

/// The address in a variable of the environment, if there is one.
fn address_variable(
    name: &str,
    variable: impl Fn(&str) -> Option<String>,
) -> Result<Option<SocketAddr>, ConfigError> {
    let Some(text) = variable(name) else { return Ok(None) };
    match text.parse() {
        Ok(address) => Ok(Some(address)),
        Err(_) => Err(ConfigError::Address { variable: name.to_string(), text }),
    }
}
