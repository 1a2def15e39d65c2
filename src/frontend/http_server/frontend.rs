//! The interface between the server and a frontend, and the state shared by the connections of a frontend.

use std::sync::Arc;

use super::{Answer, Reply, Service};
use crate::api::QueryId;
use crate::limits::Limits;
use crate::net::coordinator::CoreHandle;
use crate::net::http::{BadMessage, Request};
use crate::runtime::Permits;

/// Maps requests to queries, and the outcomes of queries to replies.
pub trait Frontend: Send + Sync + 'static {
    /// Answers a request through `answer`, either immediately or when the core has ended the query.
    fn serve(&self, request: Request, answer: Answer) -> Served;

    /// Returns the reply to a malformed request.
    fn reject_malformed(&self, bad: BadMessage) -> Reply;
}

/// How a request was served.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Served {
    /// The answer has been sent.
    Answered,
    /// The request was submitted to the core as this query; the answer is sent when the query ends.
    Submitted(QueryId),
}

/// The state shared by the connections of a frontend.
#[derive(Clone)]
pub struct FrontendContext {
    /// Submits queries to the coordinator core, and cancels those of disconnected clients.
    pub core: CoreHandle,
    /// Timeouts and size limits of connections and requests.
    pub limits: Arc<Limits>,
    /// The lifecycle of the process, and the open client connections of all frontends.
    pub service: Arc<Service>,
    /// Permits for client connections, shared by all frontends.
    pub permits: Permits,
    /// Permits for rejected connections that linger until the client has received the answer.
    pub rejected: Permits,
    /// Bytes for requests that exceed a connection's allowance, shared by all frontends.
    pub request_memory: Permits,
}
