//! The states of the connections to one data node: a pure state machine, so that random steps can be checked against a
//! model. Each attempt handed in ends exactly once, by [`Output::AttemptEnded`] or by [`Input::CancelAttempt`].
//!
//! A call is handed to its connection only when that can take its first byte; right then the data node's state and the
//! attempts' deadlines are checked again. What fails before a frame's last byte was written never ran
//! (`ConnectFailed`), what fails after it may have (`ConnectionReset`).

mod closed_attempts;
mod connection;
mod event;
mod placement;
mod pool;
mod responses;
mod writing;

pub use connection::ConnectionId;
pub use event::{Input, Output};
pub use pool::{ConnectionPool, PoolLimits};

#[cfg(test)]
mod tests;
