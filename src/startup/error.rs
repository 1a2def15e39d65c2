//! Why a coordinator cannot be started.

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

/// Why a coordinator cannot be started, in one line.
#[derive(Debug, Error)]
pub enum StartError {
    /// The edge's file cannot be used with these settings.
    #[error(transparent)]
    Edge(#[from] EdgeError),
    /// The listening socket that was to be inherited cannot be taken over.
    #[error("LB_LISTEN_FD: {0}")]
    InheritedListener(String),
    /// The platform allows too little.
    #[error(transparent)]
    Limits(#[from] LimitsError),
    /// The engine does not take the settings.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// The actor of discovery did not start.
    #[error("cannot start the actor of discovery: {0}")]
    Discovery(#[source] io::Error),
    /// The member of the replication group did not start.
    #[error(transparent)]
    Replication(#[from] GroupStartError),
    /// The stored state cannot be used.
    #[error(transparent)]
    SnapshotStore(#[from] SnapshotError),
    /// The core's actor did not start.
    #[error("cannot start the core: {0}")]
    Core(#[source] io::Error),
    /// A frontend's address cannot be listened at.
    #[error("cannot listen at {address}: {source}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// The cause.
        source: io::Error,
    },
    /// The second address cannot be listened at.
    #[error("cannot listen at the second address {address}: {source}")]
    ListenControl {
        /// The address.
        address: SocketAddr,
        /// The cause.
        source: io::Error,
    },
    /// The inherited socket cannot be listened at.
    #[error("cannot listen at the inherited socket: {0}")]
    ListenInherited(#[source] io::Error),
    /// The features frontend's section cannot be used.
    #[error(transparent)]
    Features(#[from] FeaturesConfigError),
    /// The aggregation frontend's section cannot be used.
    #[error(transparent)]
    Aggregation(#[from] AggregationConfigError),
    /// Notifications cannot be sent.
    #[error(transparent)]
    Alerts(#[from] AlertStartError),
    /// The management agent's engine id cannot be used.
    #[error(transparent)]
    SnmpConfig(#[from] SnmpConfigError),
    /// The management agent did not start.
    #[error(transparent)]
    Snmp(#[from] SnmpStartError),
    /// The thread that stores the state did not start.
    #[error("cannot start to keep the state: {0}")]
    SnapshotWriter(#[source] io::Error),
}
