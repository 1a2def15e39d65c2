//! The connection pool of one data node: a pure state machine, so that a property test can compare random steps with a
//! model. Each attempt passed to the pool ends exactly once, by [`Output::AttemptEnded`] or [`Input::CancelAttempt`].
//!
//! The pool passes a call to a connection only when the connection can take the call's first byte. It then checks the
//! data node's state and the attempts' deadlines again. An attempt that fails before the last byte of its frame is
//! written never ran (`ConnectFailed`). An attempt that fails later may have run (`ConnectionReset`).

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
