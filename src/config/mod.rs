//! The configuration: the file that the platform gives a coordinator, and the operator's own file of the edge.
//!
//! Each section of the edge's file has its type here; the frontends and the management agent read theirs from this
//! module, and this module reads nothing of theirs.
//!
//! Messages on malformed files name the type of a section. Three keep the name that those messages have always given, and
//! are known under a clearer one outside this module.

mod aggregation;
mod edge;
mod error;
mod features;
mod missing_key;
mod process;
mod secrets;
mod snmp;

pub use aggregation::{DeskConfig as AggregationConfig, MeasureConfig, SetConfig};
pub use edge::{Edge, NodeProtocol, Nodes as NodesConfig};
pub use error::{
    AggregationConfigError, ConfigError, EdgeError, FeaturesConfigError, SecretError, SetConfigError,
    SnmpConfigError,
};
pub use features::{CollectionConfig, OgcConfig as FeaturesConfig};
pub use process::Config;
pub use secrets::{read_cursor_keys, read_secret};
pub use snmp::{NotifyConfig, SnmpAccess, SnmpConfig, SnmpUser, ViewConfig};
