//! The configuration: the file that the platform provides to a coordinator, and the operator's edge file.
//!
//! Each section of the edge file has its type here. The frontends and the management agent depend on this module; it
//! does not depend on them.
//!
//! Error messages about malformed files contain the type names of sections. Three types keep their names for the sake
//! of these messages and are re-exported under clearer ones.

mod aggregation;
mod edge;
mod error;
mod features;
mod missing_key;
mod process;
mod secrets;
mod snmp;

pub use aggregation::{DeskConfig as AggregationConfig, MeasureConfig, SetConfig};
pub use edge::{EdgeConfig, NodeProtocol, Nodes as NodesConfig};
pub use error::{
    AggregationConfigError, ConfigError, EdgeError, FeaturesConfigError, SecretError, SetConfigError,
    SnmpConfigError,
};
pub use features::{CollectionConfig, OgcConfig as FeaturesConfig};
pub use process::Config;
pub use secrets::{read_cursor_keys, read_secret};
pub use snmp::{NotifyConfig, SnmpAccess, SnmpConfig, SnmpUser, ViewConfig};
