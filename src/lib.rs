//! curlewdeck coordinates queries over many shards: it accepts them from clients, sends their parts to the
//! data nodes that hold the shards, and answers the clients.
//!
//! [`policy`] makes the decisions behind the interface [`api`]. [`engine`] is the core: it enforces the
//! guarantees and is independent of wire protocols. [`net`] and [`frontend`] are the adapters around it.
#![doc = include_str!("../README.md")]

pub mod alerts;
pub mod config;
pub mod control;
pub mod counters;
pub mod frontend;
pub mod limits;
pub mod mib;
pub mod net;
pub mod query;
pub mod reload;
pub mod replication;
pub mod runtime;
pub mod snapshot_store;
pub mod snmp;
pub mod snmp_tool;
pub mod startup;

pub use curlewdeck_core::{api, engine, policy, settings, Policy};
