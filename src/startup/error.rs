//! Errors at the start of a coordinator.

use std::io;
use std::net::SocketAddr;

use thiserror::Error;

use crate::alerts::AlertStartError;
use crate::api::SettingsError;
use crate::config::{AggregationConfigError, EdgeError, FeaturesConfigError, SnmpConfigError};
use crate::limits::LimitsError;
use crate::replication::GroupStartError;
use crate::snapshot_store::SnapshotError;
use crate::snmp::SnmpStartError;

/// An error at the start of a coordinator. Its message is a single line.
#[derive(Debug, Error)]
pub enum StartError {
    /// The edge file is invalid with these settings.
    #[error(transparent)]
    Edge(#[from] EdgeError),
    /// `LB_LISTEN_FD` does not name an inherited listening socket.
    #[error("LB_LISTEN_FD: {0}")]
    InheritedListener(String),
    /// The platform's bounds on descriptors or memory are too low.
    #[error(transparent)]
    Limits(#[from] LimitsError),
    /// The engine rejected the settings.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// The discovery actor could not be started.
    #[error("cannot start the discovery actor: {0}")]
    Discovery(#[source] io::Error),
    /// The member of the replication group could not be started.
    #[error(transparent)]
    Replication(#[from] GroupStartError),
    /// The stored state could not be opened or updated.
    #[error(transparent)]
    SnapshotStore(#[from] SnapshotError),
    /// The core's actor could not be started.
    #[error("cannot start the core: {0}")]
    Core(#[source] io::Error),
    /// A frontend cannot listen at its address.
    #[error("cannot listen at {address}: {source}")]
    Listen {
        /// The configured address.
        address: SocketAddr,
        /// The cause.
        source: io::Error,
    },
    /// The process cannot listen for operators at the second address.
    #[error("cannot listen at the second address {address}: {source}")]
    ListenControl {
        /// The configured address.
        address: SocketAddr,
        /// The cause.
        source: io::Error,
    },
    /// The process cannot accept connections from the inherited socket.
    #[error("cannot listen at the inherited socket: {0}")]
    ListenInherited(#[source] io::Error),
    /// The features frontend's section is invalid.
    #[error(transparent)]
    Features(#[from] FeaturesConfigError),
    /// The aggregation frontend's section is invalid.
    #[error(transparent)]
    Aggregation(#[from] AggregationConfigError),
    /// The sender of notifications could not be started.
    #[error(transparent)]
    Alerts(#[from] AlertStartError),
    /// The management agent's engine id is invalid.
    #[error(transparent)]
    SnmpConfig(#[from] SnmpConfigError),
    /// The management agent could not be started.
    #[error(transparent)]
    Snmp(#[from] SnmpStartError),
    /// The thread that stores the state could not be started.
    #[error("cannot start the thread that stores the state: {0}")]
    SnapshotWriter(#[source] io::Error),
}
