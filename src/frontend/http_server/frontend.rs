//! The interface between the server and a frontend, and what the connections of a frontend share.

use std::sync::Arc;

use super::{Answer, Reply, Service};
use crate::api::QueryId;
use crate::limits::Limits;
use crate::net::coordinator::CoreHandle;
use crate::net::http::{BadMessage, Request};
use crate::runtime::Permits;

/// Maps requests to queries, and their outcomes to replies.
pub trait Frontend: Send + Sync + 'static {
    /// Answers through `answer`, at once or once the core has ended the query.
    fn serve(&self, request: Request, answer: Answer) -> Served;

    /// The reply to input that is not a valid request.
    fn reject_malformed(&self, bad: BadMessage) -> Reply;
}

/// How a request was served.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Served {
    /// Answered already.
    Now,
    /// Submitted to the core as this query; the answer follows.
    Later(QueryId),
}

/// What the connections of a frontend share.
#[derive(Clone)]
pub struct FrontendContext {
    /// The core.
    pub core: CoreHandle,
    /// Limits.
    pub limits: Arc<Limits>,
    /// The state of the process.
    pub service: Arc<Service>,
    /// Permits of the client connections of all frontends.
    pub permits: Permits,
    /// Permits of rejected connections that are kept until their client has read so.
    pub rejected: Permits,
}
