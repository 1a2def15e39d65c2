//! The frontends: each maps requests to queries of the core, and the outcomes of queries to replies.

pub mod accept;
pub mod aggregation;
pub mod arrival_times;
pub mod features;
pub mod http_server;
pub mod platform;
pub mod problem;
