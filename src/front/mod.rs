//! The fronts: each maps its requests to queries of the core, and the core's answers back.

pub mod accept;
pub mod arrivals;
pub mod desk;
pub mod ogc;
pub mod pages;
pub mod platform;
pub mod problem;
pub mod server;
