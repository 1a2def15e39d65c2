//! curlewdeck coordinates queries over many shards: it takes them from clients, sends their parts to the
//! data nodes that hold the shards, and answers.
//!
//! What is decided stands in [`policy`], behind [`api`]; [`engine`] is the core that knows no wire and owns
//! the guarantees; [`net`] and [`front`] are the adapters round it.
#![doc = include_str!("../README.md")]

pub mod config;
pub mod control;
pub mod counters;
pub mod front;
pub mod group;
pub mod keep;
pub mod limits;
pub mod mib;
pub mod net;
pub mod notices;
pub mod query;
pub mod reload;
pub mod serve;
pub mod snmp;
pub mod snmp_tool;

pub use curlewdeck_core::{api, engine, policy, settings, Policy};
