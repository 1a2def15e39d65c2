//! The HTTP server of the frontends: a coroutine for each client connection reads requests, another writes the answers.
//!
//! A [`Frontend`] decides what each request is answered with. [`Service`] is the state that all frontends share: the
//! lifecycle of the process and its open client connections.

mod accept;
mod answer;
mod client_connection;
mod client_task;
mod eviction;
mod frontend;
mod linger;
mod reader;
mod reply;
mod service;
mod writer;

pub use accept::{listen, listen_inherited};
pub use answer::{Answer, BodyPieces};
// The name under which the startup module knows it.
pub use frontend::{Frontend, FrontendContext, Served};
pub use reply::Reply;
pub use service::Service;

#[cfg(test)]
mod tests;
