//! Incremental parsing of requests.

use super::chunked::ChunkDecoder;
use super::headers::Framing;
use super::{BadMessage, Headers, BODY_TOO_LARGE, HEADERS_TOO_LARGE, MALFORMED};
use crate::limits::Limits;

/// Unused capacity that the buffer keeps while a body is read.
const MAX_SPARE_BYTES: usize = 4096;

/// A complete request.
#[derive(Debug, Clone, PartialEq)]
pub struct Request {
    /// The method, in the case in which it was sent.
    pub method: String,
    /// The percent-encoded path, without the query string.
    pub path: String,
    /// The percent-encoded query string without `?`; empty if there is none.
    pub query_string: String,
    /// The header fields, without the trailer of a chunked body.
    pub headers: Headers,
    /// The body, decoded from its transfer coding.
    pub body: Vec<u8>,
    /// Whether the connection stays open after the response.
    pub keep_alive: bool,
    /// Whether the client accepts a chunked response (RFC 9112, section 7.1): its version is HTTP/1.1.
    pub accepts_chunks: bool,
}

impl Request {
    /// Returns the memory of the header fields and the body, in bytes.
    pub fn held_bytes(&self) -> usize {
        self.headers.held_bytes() + self.body.capacity()
    }
}

/// An incremental parser of the requests on a connection. It searches each byte for the end of the head once, and
/// copies each byte into a body once, however the input is split.
#[derive(Debug, Default)]
pub struct RequestReader {
    buffer: Vec<u8>,
    /// Number of bytes at the start of the buffer that contain no end of a head.
    scanned: usize,
    /// Number of bytes of the empty lines before the request, which are no longer in the buffer.
    skipped: usize,
    /// The request whose body is being read.
    open: Option<(Request, Body)>,
}

/// The framing and decoding state of the body being read.
#[derive(Debug)]
enum Body {
    Length(usize),
    Chunked(ChunkDecoder),
}

/// A parsed head, with an empty body in its request.
struct ParsedHead {
    request: Request,
    framing: Framing,
    /// The size of the head in bytes.
    size: usize,
}

impl RequestReader {
    /// Adds received bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Returns the memory that is held for the received bytes and the request being read, in bytes.
    pub fn held_bytes(&self) -> usize {
        self.buffer.capacity() + self.open.as_ref().map_or(0, |(request, _)| request.held_bytes())
    }

    /// Returns the number of buffered bytes that are not part of a request yet.
    pub fn buffered_bytes(&self) -> usize {
        self.buffer.len()
    }

    /// Whether part of a request was received.
    pub fn has_partial_request(&self) -> bool {
        !self.buffer.is_empty() || self.open.is_some()
    }

    /// Returns the next request once it is complete, `None` before.
    ///
    /// # Errors
    /// The request is malformed or exceeds a limit; the connection cannot be used any longer.
    pub fn next_request(&mut self, limits: &Limits) -> Result<Option<Request>, BadMessage> {
        if self.open.is_none() {
            self.read_head(limits)?;
        }
        let Some((request, body)) = &mut self.open else { return Ok(None) };
        let (used, is_complete) = body.read(&self.buffer, &mut request.body, limits)?;
        self.buffer.drain(..used);
        if !is_complete {
            return Ok(None);
        }
        self.drop_start(0);
        Ok(self.open.take().map(|(request, _)| request))
    }

    /// Reads the head once its end was received. Parses the first bytes immediately, so that input other than HTTP is
    /// rejected early.
    fn read_head(&mut self, limits: &Limits) -> Result<(), BadMessage> {
        self.skip_empty_lines();
        let is_first_parse = self.scanned == 0 && !self.buffer.is_empty();
        let end = head_end(&self.buffer, self.scanned);
        self.scanned = end.unwrap_or(self.buffer.len());
        if end.is_some() || is_first_parse {
            if let Some(head) = parse_request_head(&self.buffer, limits)? {
                return self.open_request(head, limits);
            }
        }
        if self.skipped + self.buffer.len() >= limits.max_head_bytes {
            return Err(HEADERS_TOO_LARGE);
        }
        Ok(())
    }

    /// Drops the empty lines before a request (RFC 9112, section 2.2), so that none is parsed twice.
    fn skip_empty_lines(&mut self) {
        let mut rest = self.buffer.as_slice();
        while let [b'\n', after @ ..] | [b'\r', b'\n', after @ ..] = rest {
            rest = after;
        }
        let skipped = self.buffer.len() - rest.len();
        if skipped > 0 {
            self.skipped += skipped;
            self.scanned = 0;
            self.drop_start(skipped);
        }
    }

    /// Drops bytes at the start of the buffer. Frees the memory of an empty one, so that an idle connection does not
    /// hold the buffer of its largest request.
    fn drop_start(&mut self, bytes: usize) {
        self.buffer.drain(..bytes);
        if self.buffer.is_empty() {
            self.buffer = Vec::new();
        }
    }

    fn open_request(&mut self, head: ParsedHead, limits: &Limits) -> Result<(), BadMessage> {
        if self.skipped + head.size > limits.max_head_bytes {
            return Err(HEADERS_TOO_LARGE);
        }
        let body = match head.framing {
            Framing::Length(length) if length > limits.max_body_bytes => return Err(BODY_TOO_LARGE),
            Framing::Length(length) => Body::Length(length),
            Framing::Chunked => Body::Chunked(ChunkDecoder::default()),
            Framing::None | Framing::UntilEnd => Body::Length(0),
        };
        self.buffer.drain(..head.size);
        // The body is copied on as it arrives, so the buffer needs no room for it.
        if self.buffer.capacity() - self.buffer.len() > MAX_SPARE_BYTES {
            self.buffer.shrink_to_fit();
        }
        self.scanned = 0;
        self.skipped = 0;
        self.open = Some((head.request, body));
        Ok(())
    }
}

impl Body {
    /// Appends received data to `body`. Returns the number of bytes used, and whether the body is complete.
    fn read(
        &mut self,
        bytes: &[u8],
        body: &mut Vec<u8>,
        limits: &Limits,
    ) -> Result<(usize, bool), BadMessage> {
        match self {
            Self::Length(length) => {
                let used = bytes.len().min(*length - body.len());
                grow(body, used, *length);
                body.extend_from_slice(&bytes[..used]);
                Ok((used, body.len() == *length))
            }
            Self::Chunked(decoder) => {
                let free = limits.max_body_bytes.saturating_sub(body.len());
                grow(body, bytes.len().min(free), limits.max_body_bytes);
                let used = decoder.decode(bytes, body, limits.max_body_bytes)?;
                Ok((used, decoder.is_done()))
            }
        }
    }
}

/// Makes room for `additional` bytes in a body of at most `max_bytes`. The capacity doubles, but never exceeds the
/// maximum.
fn grow(body: &mut Vec<u8>, additional: usize, max_bytes: usize) {
    let needed = body.len() + additional;
    if needed > body.capacity() {
        let capacity = needed.max(2 * body.capacity()).min(max_bytes);
        body.reserve_exact(capacity - body.len());
    }
}

/// Returns the position after the first empty line that ends at or after `from`.
fn head_end(bytes: &[u8], from: usize) -> Option<usize> {
    let ends_empty_line = |&at: &usize| {
        let before = &bytes[..at];
        bytes[at] == b'\n' && (before.ends_with(b"\n") || before.ends_with(b"\n\r"))
    };
    (from..bytes.len()).find(ends_empty_line).map(|at| at + 1)
}

/// Parses the head of the first request in `bytes`; returns `None` while it is incomplete.
fn parse_request_head(bytes: &[u8], limits: &Limits) -> Result<Option<ParsedHead>, BadMessage> {
    let mut lines = vec![httparse::EMPTY_HEADER; limits.max_headers];
    let mut head = httparse::Request::new(&mut lines);
    let size = match head.parse(bytes) {
        Ok(httparse::Status::Complete(size)) if size <= limits.max_head_bytes => size,
        Ok(httparse::Status::Partial) => return Ok(None),
        Ok(_) | Err(httparse::Error::TooManyHeaders) => return Err(HEADERS_TOO_LARGE),
        Err(_) => return Err(MALFORMED),
    };
    let headers = Headers::read(head.headers)?;
    let framing = headers.framing()?;
    let is_http_1_1 = head.version == Some(1);
    if !is_http_1_1 && framing == Framing::Chunked {
        return Err(MALFORMED);
    }
    let target = head.path.unwrap_or("/");
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    let request = Request {
        method: head.method.unwrap_or("").to_string(),
        path: path.to_string(),
        query_string: query.to_string(),
        keep_alive: keeps_alive(&headers, is_http_1_1),
        headers,
        body: Vec::new(),
        accepts_chunks: is_http_1_1,
    };
    Ok(Some(ParsedHead { request, framing, size }))
}

fn keeps_alive(headers: &Headers, is_http_1_1: bool) -> bool {
    if is_http_1_1 {
        !headers.has_token("connection", "close")
    } else {
        headers.has_token("connection", "keep-alive")
    }
}
