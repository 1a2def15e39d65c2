//! The HTTP server of the frontends. Each client connection has one coroutine that reads requests and one that writes
//! the answers.
//!
//! A [`Frontend`] produces the answer to each request. [`Service`] holds the state that all frontends share: the
//! lifecycle of the process and its open client connections.

mod accept;
mod answer;
mod client_connection;
mod client_task;
mod connection_log;
mod eviction;
mod frontend;
mod linger;
mod pipeline_pace;
mod read_pace;
mod reader;
mod reply;
mod service;
mod writer;

pub use accept::{listen, listen_inherited};
pub use answer::{Answer, BodyPieces};
pub use frontend::{Frontend, FrontendContext, Served};
pub use reply::Reply;
pub use service::Service;

#[cfg(test)]
mod tests;
