//! The decisions of curlewdeck and the engine round them.
//!
//! What is decided stands in [`policy`], behind [`api`]; [`engine`] owns the guarantees that do not rest on it;
//! [`settings`] reads what an instance is told. None of them does I/O, reads a clock or knows a wire.

pub mod api;
pub mod engine;
pub mod policy;
pub mod settings;

pub use policy::Policy;
