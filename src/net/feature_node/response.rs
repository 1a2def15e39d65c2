//! Reads the response to a page request.

use std::io;

use crate::api::Outcome;
use crate::net::feature_node::fetch::Fetch;
use crate::net::http;
use crate::runtime::Stream;

/// Size of the buffer for one read.
const READ_BUFFER_BYTES: usize = 4096;

/// The response to a page request.
pub(super) struct PageResponse {
    pub(super) status: u16,
    pub(super) body: String,
    /// Whether the connection can be used for another request; false if bytes follow the response.
    pub(super) keep_alive: bool,
}

impl Fetch {
    /// Reads one response completely.
    pub(super) fn read_response(&self, stream: &Stream) -> Result<PageResponse, Outcome> {
        let (mut received, mut buffer) = (Vec::new(), vec![0; READ_BUFFER_BYTES]);
        let limit = self.context.limits.max_frame_bytes;
        loop {
            if let Some(response) = self.parse_response(&received)? {
                return Ok(response);
            }
            match stream.read(&mut buffer, self.remaining()) {
                Ok(0) => return self.parse_ended_response(&received),
                Ok(count) if received.len() + count > limit => {
                    return Err(self.malformed("response exceeds the size limit"))
                }
                Ok(count) => received.extend_from_slice(&buffer[..count]),
                Err(error) => return Err(read_failure(&error)),
            }
        }
    }

    /// Parses the response; returns `None` while it is incomplete.
    fn parse_response(&self, received: &[u8]) -> Result<Option<PageResponse>, Outcome> {
        let parsed = http::parse_head(received, &self.context.limits);
        let Some((head, head_length)) = parsed.map_err(|e| self.malformed(e.reason))? else {
            return Ok(None);
        };
        let body = head.body(&received[head_length..], self.context.limits.max_frame_bytes);
        let Some((body, body_length)) = body.map_err(|e| self.malformed(e.reason))? else { return Ok(None) };
        let body = self.decode_text(body)?;
        // Bytes after the response belong to no request: the response is valid, but the connection is not reused.
        let nothing_follows = received.len() == head_length + body_length;
        let keep_alive = head.keep_alive() && nothing_follows;
        Ok(Some(PageResponse { status: head.status, body, keep_alive }))
    }

    /// Parses the response after the connection has ended, which may mark the end of the body.
    fn parse_ended_response(&self, received: &[u8]) -> Result<PageResponse, Outcome> {
        match http::parse_head(received, &self.context.limits) {
            Ok(Some((head, head_length))) if head.ends_with_connection() => {
                let body = self.decode_text(received[head_length..].to_vec())?;
                Ok(PageResponse { status: head.status, body, keep_alive: false })
            }
            _ => Err(Outcome::ConnectionReset),
        }
    }

    fn decode_text(&self, bytes: Vec<u8>) -> Result<String, Outcome> {
        String::from_utf8(bytes).map_err(|_| self.malformed("response body is not valid UTF-8"))
    }
}

fn read_failure(error: &io::Error) -> Outcome {
    match error.kind() {
        io::ErrorKind::TimedOut | io::ErrorKind::WouldBlock => Outcome::TimedOut,
        _ => Outcome::ConnectionReset,
    }
}
