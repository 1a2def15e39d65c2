//! The coordinator's actor: the engine behind a mailbox, its commands handed on to data nodes, discovery and frontends.

mod actor;
mod commands;
mod config;
mod endpoint_updates;
mod handle;
mod metrics_publisher;
mod node;

pub use config::{start, CoreConfig, OnEndpointsStarted, StartNode};
pub use handle::CoreHandle;
