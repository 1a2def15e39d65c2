//! curlewdeck decides for an aggregator ("mixer") that serves queries from many shards:
//! which replica gets each part, when a copy is sent, when to answer, refuse or give up.
//!
//! The interface is [`api`], the decisions are [`policy`]. The module does no I/O, reads no
//! clock and starts no thread: it takes rounds of `(now, events)` and returns actions.
#![doc = include_str!("../README.md")]

pub mod api;
pub mod policy;
mod state;
mod window;

pub use policy::Policy;
