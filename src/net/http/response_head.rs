//! Parsing of response heads and bodies.

use super::chunked::ChunkDecoder;
use super::headers::Framing;
use super::{BadMessage, Headers, BODY_TOO_LARGE, MALFORMED};
use crate::limits::Limits;

/// Status codes of responses without a body (RFC 9112, section 6.3).
const NO_CONTENT: u16 = 204;
const NOT_MODIFIED: u16 = 304;

/// The parsed head of a response.
#[derive(Debug, Clone, PartialEq)]
pub struct Head {
    /// The HTTP status code.
    pub status: u16,
    /// The header fields, without the trailer of a chunked body.
    pub headers: Headers,
    framing: Framing,
}

/// Parses the head of the response in `bytes`; returns it with its size in bytes, or `None` while it is incomplete.
///
/// # Errors
/// The head is malformed or too large.
pub fn parse_head(bytes: &[u8], limits: &Limits) -> Result<Option<(Head, usize)>, BadMessage> {
    let mut lines = vec![httparse::EMPTY_HEADER; limits.max_headers];
    let mut head = httparse::Response::new(&mut lines);
    match head.parse(bytes) {
        Ok(httparse::Status::Complete(size)) if size <= limits.max_head_bytes => {
            let headers = Headers::read(head.headers)?;
            let framing = match headers.framing()? {
                Framing::None if !matches!(head.code, Some(NO_CONTENT | NOT_MODIFIED)) => Framing::UntilEnd,
                framing => framing,
            };
            Ok(Some((Head { status: head.code.unwrap_or(0), headers, framing }, size)))
        }
        Ok(httparse::Status::Partial) if bytes.len() < limits.max_head_bytes => Ok(None),
        _ => Err(MALFORMED),
    }
}

impl Head {
    /// Decodes the body in `bytes`, which follow the head. Returns it with the number of bytes used, or `None` while it
    /// is incomplete. A body that ends with the connection is never complete here.
    ///
    /// # Errors
    /// The body is malformed or larger than `max_bytes`.
    pub fn body(&self, bytes: &[u8], max_bytes: usize) -> Result<Option<(Vec<u8>, usize)>, BadMessage> {
        match self.framing {
            Framing::None => Ok(Some((Vec::new(), 0))),
            Framing::UntilEnd if bytes.len() > max_bytes => Err(BODY_TOO_LARGE),
            Framing::UntilEnd => Ok(None),
            Framing::Length(length) if length > max_bytes => Err(BODY_TOO_LARGE),
            Framing::Length(length) => Ok(bytes.get(..length).map(|body| (body.to_vec(), length))),
            Framing::Chunked => {
                let (mut decoder, mut body) = (ChunkDecoder::default(), Vec::new());
                let used = decoder.decode(bytes, &mut body, max_bytes)?;
                Ok(decoder.is_done().then_some((body, used)))
            }
        }
    }

    /// Whether the end of the connection marks the end of the body.
    pub fn ends_with_connection(&self) -> bool {
        self.framing == Framing::UntilEnd
    }

    /// Whether the body uses the chunked transfer coding.
    pub fn is_chunked(&self) -> bool {
        self.framing == Framing::Chunked
    }

    /// Whether the connection may be used for another request.
    pub fn keep_alive(&self) -> bool {
        !self.headers.has_token("connection", "close")
    }
}
