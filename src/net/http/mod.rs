//! HTTP/1.1 messages: pure functions over bytes, for the frontends, discovery and the feature servers.

mod chunked;
mod headers;
mod percent;
mod request;
mod response;
mod response_head;

pub use chunked::ChunkDecoder;
pub use headers::Headers;
pub use percent::{decode, encode};
pub use request::{Request, RequestReader};
pub use response::{chunk, chunked_head, reason_phrase, response, LAST_CHUNK};
pub use response_head::{parse_head, Head};

/// Why a message is rejected, with the status of the response to it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BadMessage {
    /// The HTTP status code of the response.
    pub status: u16,
    /// A short reason, used as the response's text.
    pub reason: &'static str,
}

impl BadMessage {
    const fn new(status: u16, reason: &'static str) -> Self {
        Self { status, reason }
    }
}

const MALFORMED: BadMessage = BadMessage::new(400, "malformed HTTP");
const BODY_TOO_LARGE: BadMessage = BadMessage::new(413, "body too large");
const HEADERS_TOO_LARGE: BadMessage = BadMessage::new(431, "header too large");
const UNKNOWN_TRANSFER_CODING: BadMessage = BadMessage::new(501, "transfer coding not known");
/// The request was not received completely before its timeout.
pub const REQUEST_TIMEOUT: BadMessage = BadMessage::new(408, "the request did not come whole in time");

/// The memory for received requests is used up by other clients.
pub const NO_REQUEST_MEMORY: BadMessage = BadMessage::new(503, "no memory for the request is left");

#[cfg(test)]
mod tests;
