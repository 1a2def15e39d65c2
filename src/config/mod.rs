//! The configuration: the file that the platform gives a coordinator, and the operator's own file of the edge.
//!
//! Each section of the edge's file has its type here; the frontends and the management agent read theirs from this
//! module, and this module reads nothing of theirs.
//!
//! A section whose type was renamed keeps the name that messages on malformed files give it, by serde's `expecting`.

mod aggregation;
mod edge;
mod error;
mod features;
mod missing_key;
mod process;
mod secrets;
mod snmp;

pub use aggregation::{AggregationConfig, MeasureConfig, SetConfig};
pub use edge::{Edge, NodeProtocol, NodesConfig};
pub use error::{
    AggregationConfigError, ConfigError, EdgeError, FeaturesConfigError, SecretError, SetConfigError,
    SnmpConfigError,
};
pub use features::{CollectionConfig, FeaturesConfig};
pub use process::Config;
pub use secrets::{read_cursor_keys, read_secret};
pub use snmp::{NotifyConfig, SnmpAccess, SnmpConfig, SnmpUser, ViewConfig};
