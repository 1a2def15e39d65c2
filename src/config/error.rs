//! Configuration errors. No message contains anything from a secret file.

use std::io;
use std::path::PathBuf;
use std::string::FromUtf8Error;

use curlewdeck_merge::units::MAX_SCALE;
use thiserror::Error;

use crate::api::SettingsError;
use crate::replication::config::GroupConfigError;
use crate::settings::ReadError;

/// An error in the platform's configuration file, or in an environment variable that overrides it.
#[derive(Debug, Error)]
pub enum ConfigError {
    /// The file could not be read.
    #[error("{0}")]
    Unreadable(#[source] io::Error),
    /// The file is not valid UTF-8.
    #[error("{0}")]
    NotUtf8(#[source] FromUtf8Error),
    /// The file is not a complete JSON value: it is empty, truncated, or was read while it was being written.
    #[error("not as expected: {0}")]
    Incomplete(#[source] serde_json::Error),
    /// The file is JSON, but a key is missing or has the wrong type.
    #[error("not as expected: {0}")]
    InvalidStructure(#[source] serde_json::Error),
    /// The settings cannot be parsed.
    #[error(transparent)]
    Settings(#[from] ReadError),
    /// The settings were parsed, but a value is out of range or contradicts another.
    #[error(transparent)]
    InvalidSettings(#[from] SettingsError),
    /// An environment variable is not a socket address.
    #[error("{variable}: '{text}' is not an address")]
    Address {
        /// The name of the environment variable.
        variable: String,
        /// The rejected value.
        text: String,
    },
    /// A key of the configuration in use is missing from the new one. Contains the key's dotted path.
    #[error("the key '{0}' is missing")]
    MissingKey(String),
    /// A frontend of this process cannot work with the new settings.
    #[error(transparent)]
    Frontend(#[from] EdgeError),
}

impl ConfigError {
    /// Whether a later read of the same file may succeed: it may be unreadable or incomplete while it is replaced.
    pub fn is_transient(&self) -> bool {
        matches!(self, Self::Unreadable(_) | Self::NotUtf8(_) | Self::Incomplete(_))
    }
}

/// An error in the edge file.
#[derive(Debug, Error)]
pub enum EdgeError {
    /// The file could not be read.
    #[error("{}: {source}", .path.display())]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// The cause.
        source: io::Error,
    },
    /// The text is not TOML, or a key is missing, unknown or of the wrong type.
    #[error("{}", .0.message())]
    Malformed(#[source] toml::de::Error),
    /// Adds the path of the file to an error.
    #[error("{}: {source}", .path.display())]
    InFile {
        /// The file.
        path: PathBuf,
        /// The cause.
        source: Box<EdgeError>,
    },
    /// The section `[ogc]` is invalid.
    #[error(transparent)]
    Features(#[from] FeaturesConfigError),
    /// The section `[desk]` is invalid.
    #[error(transparent)]
    Aggregation(#[from] AggregationConfigError),
    /// The section `[snmp]` is invalid.
    #[error(transparent)]
    Snmp(#[from] SnmpConfigError),
    /// The section `[group]` is invalid.
    #[error(transparent)]
    Replication(#[from] GroupConfigError),
    /// The folder of the section `[state]` does not exist, or its write interval is 0.
    #[error("state: {}: the folder must exist, and every_s must be above 0", .folder.display())]
    State {
        /// The configured folder.
        folder: PathBuf,
    },
    /// The state is to be replicated, but the section `[group]` is missing.
    #[error("state.copied: the section [group] is missing")]
    NoReplicationGroup,
}

/// An error in the section `[ogc]`.
#[derive(Debug, Error)]
pub enum FeaturesConfigError {
    /// Two collections have the same id, or the settings define no shards.
    #[error("ogc: collection ids must be unique, and the settings must define tag ranges")]
    AmbiguousCollections,
    /// A collection's id is not a valid path segment.
    #[error("ogc: the collection id '{0}' is not a valid path segment")]
    InvalidCollectionId(String),
    /// A collection's class is not in the settings.
    #[error("ogc: {collection}: unknown class '{class}'")]
    UnknownClass {
        /// The collection's id.
        collection: String,
        /// The unknown class.
        class: String,
    },
    /// A collection's class has a second phase.
    #[error("ogc: {collection}: the class '{class}' has a second step")]
    TwoPhaseClass {
        /// The collection's id.
        collection: String,
        /// The class, whose second phase cannot answer feature queries.
        class: String,
    },
    /// Pages by id are enabled, but no query parameter is configured by which feature servers continue after an id.
    #[error("ogc: by_id needs nodes.after_parameter, by which servers continue after an id")]
    NoAfterParameter,
    /// The keys that sign cursors.
    #[error(transparent)]
    CursorKeys(#[from] SecretError),
}

/// An error in the section `[desk]`.
#[derive(Debug, Error)]
pub enum AggregationConfigError {
    /// The settings define no shards.
    #[error("desk: the settings define no tag ranges")]
    NoShards,
    /// The cursor lifetime is 0, so that cursors would expire at once.
    #[error("desk: cursor_life_s must be above 0")]
    ZeroCursorLifetime,
    /// No set is configured, or two sets have the same id.
    #[error("desk: at least one set is needed, each with a unique id")]
    AmbiguousSets,
    /// A set is invalid.
    #[error("desk: set '{id}': {source}")]
    Set {
        /// The set's id.
        id: String,
        /// The cause.
        source: SetConfigError,
    },
    /// The data nodes are feature servers, which return no values to merge.
    #[error("desk: aggregation needs data nodes that use frames")]
    FeatureServers,
    /// The keys that sign cursors.
    #[error(transparent)]
    CursorKeys(#[from] SecretError),
}

/// An error in a set of the section `[desk]`.
#[derive(Debug, Error)]
pub enum SetConfigError {
    /// The set's id is not a valid path segment.
    #[error("its id is not a valid path segment")]
    InvalidId,
    /// The set has no measure, one has an empty name, or two have the same name.
    #[error("at least one measure is needed, each with a unique name")]
    AmbiguousMeasures,
    /// A measure has too many decimal places.
    #[error("measure '{measure}': the scale is at most {MAX_SCALE}")]
    ScaleTooLarge {
        /// The measure's name.
        measure: String,
    },
    /// The set's class is not in the settings.
    #[error("unknown class '{0}'")]
    UnknownClass(String),
    /// The set's class has a second phase, whose values cannot be merged.
    #[error("the class '{0}' has a second step, whose answers cannot be merged")]
    TwoPhaseClass(String),
}

/// An error in the section `[snmp]`.
#[derive(Debug, Error)]
pub enum SnmpConfigError {
    /// A subtree of a view is not an object identifier.
    #[error("snmp: '{0}' is not an object identifier")]
    InvalidOid(String),
    /// The operating system's random number generator failed.
    #[error("snmp: cannot generate random numbers: {0}")]
    NoRandomNumbers(getrandom::Error),
    /// The engine id is not 5 to 32 bytes in hexadecimal digits.
    #[error("snmp: engine_id '{0}': 5 to 32 bytes in hexadecimal digits are expected")]
    InvalidEngineId(String),
    /// Neither a community nor a file of users is configured.
    #[error("snmp: a community or a file of users is required")]
    NoCommunityOrUsers,
    /// The file of users could not be read.
    #[error(transparent)]
    UsersUnreadable(#[from] SecretError),
    /// The file of users has an invalid line.
    #[error("{}: {reason}", .path.display())]
    InvalidUsers {
        /// The file.
        path: PathBuf,
        /// The line number and the error, without any secret.
        reason: String,
    },
    /// A view belongs to a name that is neither a user nor the community.
    #[error("snmp: a view is of '{0}', which is neither a user nor the community")]
    UnknownViewOwner(String),
}

/// An error in a secret file, or in generating a key in place of one.
#[derive(Debug, Error)]
pub enum SecretError {
    /// The file could not be read.
    #[error("{}: {source}", .path.display())]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// The cause.
        source: io::Error,
    },
    /// The file is accessible to others than its owner.
    #[error("{}: the file is accessible to others (mode {mode:o}); run chmod 600 on it", .path.display())]
    InsecurePermissions {
        /// The file.
        path: PathBuf,
        /// The permission bits of the file.
        mode: u32,
    },
    /// The operating system's random number generator failed.
    #[error("cannot generate a key: {0}")]
    NoRandomNumbers(getrandom::Error),
    /// The keys in the file are invalid.
    #[error("{}: {reason}", .path.display())]
    InvalidKeys {
        /// The file.
        path: PathBuf,
        /// The line number and the error, without the key.
        reason: String,
    },
}
