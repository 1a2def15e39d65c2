//! SNMP agent and manager without I/O.
//!
//! Objects are defined once, in a [`registry::Module`]. The text of the MIB is generated from it, and a [`tree::Tree`]
//! holds the values of its objects. [`agent::Agent`] answers requests of versions 2c (RFC 1901, 3416) and 3 (RFC 3412,
//! 3414 with RFC 7860 and 3826); [`walkers::Walkers`] answers all requests of a walk from the same tree. [`manager`] is
//! the client side.

pub mod agent;
pub mod codec;
pub mod manager;
pub mod notify;
pub mod registry;
pub mod tree;
pub mod usm;
mod v3_message;
pub mod walkers;

/// An object identifier, as a sequence of arcs.
pub type Oid = Vec<u32>;

/// Formats an object identifier in dotted notation.
pub fn dotted(oid: &[u32]) -> String {
    let arcs: Vec<String> = oid.iter().map(u32::to_string).collect();
    arcs.join(".")
}

/// Parses an object identifier in dotted notation, with or without a leading dot. It must have 2 to 128 arcs.
pub fn parse_oid(text: &str) -> Option<Oid> {
    let oid: Option<Oid> = text.trim_start_matches('.').split('.').map(|a| a.parse().ok()).collect();
    oid.filter(|o| o.len() >= 2 && o.len() <= 128)
}
