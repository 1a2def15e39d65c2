//! SNMP without I/O: an agent that serves a snapshot, and a manager's half.
//!
//! Objects are defined once, in a [`registry::Module`], from which the MIB's text is written and against which a
//! [`tree::Tree`] of values is built. [`agent::Agent`] answers requests of versions 2c (RFC 1901, 3416) and 3 (RFC 3412,
//! 3414 with RFC 7860 and 3826); [`walkers::Walkers`] lets a walk see one tree. [`manager`] asks.

pub mod agent;
pub mod codec;
pub mod manager;
pub mod notify;
pub mod registry;
pub mod tree;
pub mod usm;
mod v3_message;
pub mod walkers;

/// The name of an object.
pub type Oid = Vec<u32>;

/// An object's name in dots.
pub fn dotted(oid: &[u32]) -> String {
    let arcs: Vec<String> = oid.iter().map(u32::to_string).collect();
    arcs.join(".")
}

/// Reads a name in dots, with or without one in front.
pub fn parse_oid(text: &str) -> Option<Oid> {
    let oid: Option<Oid> = text.trim_start_matches('.').split('.').map(|a| a.parse().ok()).collect();
    oid.filter(|o| o.len() >= 2 && o.len() <= 128)
}
