//! curlewdeck coordinates queries over many shards: it takes them from clients, sends their parts to the
//! data nodes that hold the shards, and answers.
//!
//! What is decided stands in [`policy`], behind [`api`]; [`engine`] is the core that knows no wire and owns
//! the guarantees; [`net`] and [`frontend`] are the adapters round it.
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
