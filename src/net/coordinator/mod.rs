//! The coordinator's actor: runs the engine on the messages of a mailbox, and forwards the engine's commands to data
//! nodes, discovery and frontends.

mod actor;
mod commands;
mod config;
mod endpoint_updates;
mod handle;
mod metrics_publisher;
mod node;

pub use config::{start, CoreConfig, OnEndpointsStarted, StartNode};
pub use handle::CoreHandle;
