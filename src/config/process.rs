//! The platform's configuration file and the environment variables that override it.

use std::net::SocketAddr;
use std::path::Path;

use serde::Deserialize;
use serde_json::value::RawValue;
use serde_json::Value;

use super::missing_key::first_missing_key;
use super::ConfigError;
use crate::limits::PlatformBounds;
use crate::net::endpoints::DiscoveryUpdate;
use crate::settings::{self, Deployment};

const NAME_VARIABLE: &str = "LB_NAME";
const LISTEN_VARIABLE: &str = "LB_LISTEN";
const DISCOVERY_VARIABLE: &str = "LB_DISCOVERY";
const CONTROL_VARIABLE: &str = "LB_CONTROL";
const LISTEN_FD_VARIABLE: &str = "LB_LISTEN_FD";

/// The key of the endpoint list, which may change without a change of the configuration.
const KNOWN_KEY: &str = "known";

const DEFAULT_SOCKETS: usize = 1024;
const DEFAULT_MEMORY_MB: usize = 192;

/// The file has the seed in hexadecimal digits.
const SEED_RADIX: u32 = 16;

/// The top-level JSON object of the file.
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
    DEFAULT_SOCKETS
}

fn default_memory_mb() -> usize {
    DEFAULT_MEMORY_MB
}

/// The configuration of one coordinator process.
#[derive(Debug, Clone)]
pub struct Config {
    /// The coordinator's name, which stays the same across restarts.
    pub name: String,
    /// The address on which the coordinator accepts the platform's clients.
    pub listen: SocketAddr,
    /// The address of discovery, from the environment or else from the file.
    pub discovery: SocketAddr,
    /// The address of discovery in the file, even if the environment overrides it.
    pub discovery_in_file: SocketAddr,
    /// The seed of the random number generators. Random if the file has none or an invalid one.
    pub seed: u64,
    /// The maximum number of file descriptors of all the coordinator's processes together.
    pub sockets: usize,
    /// The maximum memory of all the coordinator's processes together, in megabytes.
    pub memory_mb: usize,
    /// The second address, for operators' calls; `None` turns it off.
    pub control: Option<SocketAddr>,
    /// The number of an inherited descriptor that listens for clients; `None` means that the process opens its own.
    pub listen_fd: Option<String>,
    /// The file's JSON without the endpoint list. A later configuration must have all of its keys.
    pub document: Value,
    /// The endpoint list that this coordinator last had, if the file contains one.
    pub known_endpoints: Option<DiscoveryUpdate>,
    /// The validated settings with the names that they refer to.
    pub deployment: Deployment,
}

impl Config {
    /// Reads a file and applies the environment variables of this process.
    ///
    /// # Errors
    /// The file is unreadable or invalid. The error does not contain its path.
    pub fn load(path: &Path) -> Result<Self, ConfigError> {
        let bytes = std::fs::read(path).map_err(ConfigError::Unreadable)?;
        let text = String::from_utf8(bytes).map_err(ConfigError::NotUtf8)?;
        Self::read(&text, |name| std::env::var(name).ok().filter(|value| !value.is_empty()))
    }

    /// Parses the file's text. Environment variables that `variable` returns override the file.
    ///
    /// # Errors
    /// The text is not complete JSON, a key is missing or has the wrong type, or a value is invalid.
    pub fn read(text: &str, variable: impl Fn(&str) -> Option<String>) -> Result<Self, ConfigError> {
        // Checks for complete JSON first: a truncated file is reported as incomplete, whatever other errors it has.
        let mut document: Value = serde_json::from_str(text).map_err(ConfigError::Incomplete)?;
        let file: ConfigFile = serde_json::from_str(text).map_err(ConfigError::InvalidStructure)?;
        if let Some(object) = document.as_object_mut() {
            object.remove(KNOWN_KEY);
        }
        let deployment = read_settings(file.settings.get())?;
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
            deployment,
        })
    }

    /// The platform's bounds for this process, which shares them with `other_processes` processes of the same
    /// coordinator.
    pub fn platform_bounds(&self, other_processes: usize) -> PlatformBounds {
        let nodes = self.known_endpoints.as_ref().map_or(0, |known| known.lines.len());
        PlatformBounds { sockets: self.sockets, memory_mb: self.memory_mb, other_processes, nodes }
    }

    /// Checks that this configuration may replace `before` while the process runs: it must have all of its keys.
    ///
    /// # Errors
    /// A key is missing. The error contains the path of the first one.
    pub fn can_replace(&self, before: &Self) -> Result<(), ConfigError> {
        match first_missing_key(&before.document, &self.document) {
            None => Ok(()),
            Some(key) => Err(ConfigError::MissingKey(key)),
        }
    }
}

fn read_settings(text: &str) -> Result<Deployment, ConfigError> {
    let deployment = settings::parse(text)?;
    deployment.settings.check()?;
    Ok(deployment)
}

/// Parses the address in an environment variable; `None` if the variable is not set.
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
