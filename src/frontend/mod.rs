//! The fronts: each maps its requests to queries of the core, and the core's answers back.

pub mod accept;
pub mod aggregation;
pub mod arrival_times;
pub mod feature_pages;
pub mod features;
pub mod http_server;
pub mod platform;
pub mod problem;
