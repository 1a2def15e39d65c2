//! The policy of a curlewdeck coordinator and the engine that runs it.
//!
//! [`policy`] makes the decisions, behind the interface in [`api`]. [`engine`] enforces the guarantees that must
//! hold whatever the policy decides. [`settings`] parses the settings of an instance. None of them does I/O, reads
//! a clock or depends on a wire protocol.

pub mod api;
pub mod engine;
pub mod policy;
pub mod settings;

pub use policy::Policy;
