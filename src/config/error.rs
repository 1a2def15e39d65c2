//! Why a configuration cannot be used. No text repeats what stands in a file of secrets.

use std::io;
use std::path::PathBuf;
use std::string::FromUtf8Error;

use curlewdeck_merge::units::MAX_SCALE;
use thiserror::Error;

use crate::api::SettingsError;
use crate::replication::config::GroupConfigError;
use crate::settings::ReadError;

/// Why the platform's configuration file cannot be used.
#[derive(Debug, Error)]
pub enum ConfigError {
    /// The file could not be read.
    #[error("{0}")]
    Unreadable(#[source] io::Error),
    /// Its bytes are not text.
    #[error("{0}")]
    NotUtf8(#[source] FromUtf8Error),
    /// It is not a complete JSON value: empty, cut short, or read while it was being written.
    #[error("not as expected: {0}")]
    Incomplete(#[source] serde_json::Error),
    /// It is JSON, and a key is missing or of another type.
    #[error("not as expected: {0}")]
    Unexpected(#[source] serde_json::Error),
    /// Its settings cannot be read.
    #[error(transparent)]
    Settings(#[from] ReadError),
    /// Its settings cannot be used.
    #[error(transparent)]
    InvalidSettings(#[from] SettingsError),
    /// A variable of the environment is not an address.
    #[error("{variable}: '{text}' is no address")]
    Address {
        /// The variable.
        variable: String,
        /// Its value.
        text: String,
    },
    /// A key that the configuration in use has is missing, at this path.
    #[error("the key '{0}' is missing")]
    MissingKey(String),
    /// A frontend of this process cannot be used with its settings.
    #[error(transparent)]
    Frontend(#[from] EdgeError),
}

impl ConfigError {
    /// Whether the same file may turn out good when it is read again a moment later.
    pub fn is_transient(&self) -> bool {
        matches!(self, Self::Unreadable(_) | Self::NotUtf8(_) | Self::Incomplete(_))
    }
}

/// Why the edge's file cannot be used.
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
    /// It is not TOML, or a key is missing, unknown or of another type.
    #[error("{}", .0.message())]
    Malformed(#[source] toml::de::Error),
    /// The same, in this file.
    #[error("{}: {source}", .path.display())]
    InFile {
        /// The file.
        path: PathBuf,
        /// The cause.
        source: Box<EdgeError>,
    },
    /// The section `[ogc]`.
    #[error(transparent)]
    Features(#[from] FeaturesConfigError),
    /// The section `[desk]`.
    #[error(transparent)]
    Aggregation(#[from] AggregationConfigError),
    /// The section `[snmp]`.
    #[error(transparent)]
    Snmp(#[from] SnmpConfigError),
    /// The section `[group]`.
    #[error(transparent)]
    Replication(#[from] GroupConfigError),
    /// The section `[state]` names a folder that is not there, or a period of 0.
    #[error("state: {}: a folder that is there, and every_s above 0", .folder.display())]
    State {
        /// The folder.
        folder: PathBuf,
    },
    /// The state is to be copied to a replication group, and there is no section `[group]`.
    #[error("state.copied: there is no group to copy it to")]
    NoReplicationGroup,
}

/// Why the section `[ogc]` cannot be used.
#[derive(Debug, Error)]
pub enum FeaturesConfigError {
    /// Two collections have the same id, or the settings have no shards.
    #[error("ogc: each collection needs an id of its own, and the settings tag ranges")]
    AmbiguousCollections,
    /// A collection's id cannot be a segment of a path.
    #[error("ogc: the collection id '{0}' cannot stand in a path")]
    InvalidCollectionId(String),
    /// The settings do not have a collection's class.
    #[error("ogc: {collection}: there is no class '{class}'")]
    UnknownClass {
        /// The collection's id.
        collection: String,
        /// The class that it names.
        class: String,
    },
    /// A collection's class has a second phase.
    #[error("ogc: {collection}: the class '{class}' has a second step")]
    TwoPhaseClass {
        /// The collection's id.
        collection: String,
        /// Its class.
        class: String,
    },
    /// Pages go on by id, and feature servers have no parameter for that.
    #[error("ogc: by_id needs nodes.after_parameter, by which servers go on behind an id")]
    NoAfterParameter,
    /// The keys that seal cursors.
    #[error(transparent)]
    CursorKeys(#[from] SecretError),
}

/// Why the section `[desk]` cannot be used.
#[derive(Debug, Error)]
pub enum AggregationConfigError {
    /// The settings have no shards.
    #[error("desk: the settings name no tag ranges")]
    NoShards,
    /// Cursors would end at once.
    #[error("desk: cursor_life_s must be above 0")]
    ZeroCursorLifetime,
    /// There is no set, or two have the same id.
    #[error("desk: at least one set is needed, each with an id of its own")]
    AmbiguousSets,
    /// A set cannot be used.
    #[error("desk: set '{id}': {source}")]
    Set {
        /// The set's id.
        id: String,
        /// What is wrong with it.
        source: SetConfigError,
    },
    /// The data nodes are feature servers, which give no values.
    #[error("desk: its values come in frames, and the data nodes are feature servers")]
    FeatureServers,
    /// The keys that seal cursors.
    #[error(transparent)]
    CursorKeys(#[from] SecretError),
}

/// Why a set of the section `[desk]` cannot be used.
#[derive(Debug, Error)]
pub enum SetConfigError {
    /// Its id cannot be a segment of a path.
    #[error("its id cannot stand in a path")]
    InvalidId,
    /// It has no measure, or two have the same name.
    #[error("at least one measure is needed, each with a name of its own")]
    AmbiguousMeasures,
    /// A measure has too many decimals.
    #[error("measure '{measure}': the scale is at most {MAX_SCALE}")]
    ScaleTooLarge {
        /// The measure's name.
        measure: String,
    },
    /// The settings do not have its class.
    #[error("there is no class '{0}'")]
    UnknownClass(String),
    /// Its class has a second phase, whose values cannot be merged.
    #[error("the class '{0}' has a second step, whose answer is not mergeable")]
    TwoPhaseClass(String),
}

/// Why the section `[snmp]` cannot be used.
#[derive(Debug, Error)]
pub enum SnmpConfigError {
    /// A view names a subtree that is not an object identifier.
    #[error("snmp: '{0}' is no name in dots")]
    InvalidOid(String),
    /// The system gave no random numbers.
    #[error("snmp: no random numbers: {0}")]
    NoRandomNumbers(getrandom::Error),
    /// The engine id is not 5 to 32 bytes in hexadecimal digits.
    #[error("snmp: engine_id '{0}': 5 to 32 bytes in hexadecimal digits are expected")]
    InvalidEngineId(String),
    /// There is neither a community nor a file of users.
    #[error("snmp: nobody may ask: a community or a file of users is needed")]
    NobodyAdmitted,
    /// The file of users could not be read.
    #[error(transparent)]
    UsersUnreadable(#[from] SecretError),
    /// The file of users has a line that cannot be used.
    #[error("{}: {reason}", .path.display())]
    InvalidUsers {
        /// The file.
        path: PathBuf,
        /// The line and the fault, without any secret.
        reason: String,
    },
    /// A view is of somebody who is not admitted.
    #[error("snmp: a view is of '{0}', which is no user and not the community")]
    UnknownViewer(String),
}

/// Why a file of secrets cannot be used.
#[derive(Debug, Error)]
pub enum SecretError {
    /// It could not be read.
    #[error("{}: {source}", .path.display())]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// The cause.
        source: io::Error,
    },
    /// Others than its owner may use it.
    #[error("{}: others than its owner may use it (mode {mode:o}); chmod 600 it", .path.display())]
    OpenPermissions {
        /// The file.
        path: PathBuf,
        /// Its permission bits.
        mode: u32,
    },
    /// The system gave no random numbers.
    #[error("no random numbers for a key: {0}")]
    NoRandomNumbers(getrandom::Error),
    /// The keys in it cannot be used.
    #[error("{}: {reason}", .path.display())]
    InvalidKeys {
        /// The file.
        path: PathBuf,
        /// The line and the fault, without the key.
        reason: String,
    },
}
