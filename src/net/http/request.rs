//! Requests, read from the bytes of a connection as they arrive.

use super::chunked::Chunks;
use super::headers::Framing;
use super::{BadMessage, Headers, BODY_TOO_LARGE, HEADERS_TOO_LARGE, MALFORMED};
use crate::limits::Limits;

/// A complete request.
#[derive(Debug, Clone, PartialEq)]
pub struct Request {
    /// Its method.
    pub method: String,
    /// Its path, without the query string.
    pub path: String,
    /// Its query string.
    pub query_string: String,
    /// Its headers.
    pub headers: Headers,
    /// Its body.
    pub body: Vec<u8>,
    /// Whether the connection stays open after the response.
    pub keep_alive: bool,
    /// Whether the client accepts a response in chunks (RFC 9112, section 7.1): since HTTP/1.1.
    pub accepts_chunks: bool,
}

/// Takes requests from the bytes of a connection as they arrive. Each byte is searched for the end of the head once,
/// and copied into a body once, however the bytes are cut.
#[derive(Debug, Default)]
pub struct RequestReader {
    buffer: Vec<u8>,
    /// The first bytes of the buffer in which no head ends.
    scanned: usize,
    /// The request whose body is being read.
    open: Option<(Request, Body)>,
}

/// The rest of a body.
#[derive(Debug)]
enum Body {
    Length(usize),
    Chunked(Chunks),
}

/// The head of a request in a buffer.
struct ParsedHead {
    request: Request,
    framing: Framing,
    /// Its size in bytes.
    size: usize,
}

impl RequestReader {
    /// Adds bytes that have arrived.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// The number of bytes that are buffered and belong to no request yet.
    pub fn buffered_bytes(&self) -> usize {
        self.buffer.len()
    }

    /// Whether part of a request has arrived.
    pub fn has_partial_request(&self) -> bool {
        !self.buffer.is_empty() || self.open.is_some()
    }

    /// The next request, once it is complete.
    ///
    /// # Errors
    /// It is malformed or over a limit; the connection cannot be used any longer.
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
        if self.buffer.is_empty() {
            // An idle connection keeps no memory for its largest request.
            self.buffer = Vec::new();
        }
        Ok(self.open.take().map(|(request, _)| request))
    }

    /// Reads the head once its end has arrived. The first bytes are parsed at once, so that input that is no request is
    /// rejected early.
    fn read_head(&mut self, limits: &Limits) -> Result<(), BadMessage> {
        loop {
            let is_first_look = self.scanned == 0 && !self.buffer.is_empty();
            let end = head_end(&self.buffer, self.scanned);
            self.scanned = end.unwrap_or(self.buffer.len());
            if end.is_none() && !is_first_look {
                break;
            }
            if let Some(head) = parse_request_head(&self.buffer, limits)? {
                return self.open_request(head, limits);
            }
            // With an end, the empty line was one ahead of the request.
            if end.is_none() {
                break;
            }
        }
        if self.buffer.len() >= limits.max_head_bytes {
            return Err(HEADERS_TOO_LARGE);
        }
        Ok(())
    }

    fn open_request(&mut self, head: ParsedHead, limits: &Limits) -> Result<(), BadMessage> {
        let body = match head.framing {
            Framing::Length(length) if length > limits.max_body_bytes => return Err(BODY_TOO_LARGE),
            Framing::Length(length) => Body::Length(length),
            Framing::Chunked => Body::Chunked(Chunks::default()),
            Framing::None | Framing::UntilEnd => Body::Length(0),
        };
        self.buffer.drain(..head.size);
        self.scanned = 0;
        self.open = Some((head.request, body));
        Ok(())
    }
}

impl Body {
    /// Moves what has arrived behind `body`. Returns how many bytes were used, and whether the body is complete.
    fn read(
        &mut self,
        bytes: &[u8],
        body: &mut Vec<u8>,
        limits: &Limits,
    ) -> Result<(usize, bool), BadMessage> {
        match self {
            Self::Length(length) => {
                let used = bytes.len().min(*length - body.len());
                body.extend_from_slice(&bytes[..used]);
                Ok((used, body.len() == *length))
            }
            Self::Chunked(chunks) => {
                let used = chunks.decode(bytes, body, limits.max_body_bytes)?;
                Ok((used, chunks.is_done()))
            }
        }
    }
}

/// Where the first empty line behind `from` ends.
fn head_end(bytes: &[u8], from: usize) -> Option<usize> {
    let ends_empty_line = |&at: &usize| {
        let before = &bytes[..at];
        bytes[at] == b'\n' && (before.ends_with(b"\n") || before.ends_with(b"\n\r"))
    };
    (from..bytes.len()).find(ends_empty_line).map(|at| at + 1)
}

/// The head of the first request in `bytes`; nothing while it is not complete.
fn parse_request_head(bytes: &[u8], limits: &Limits) -> Result<Option<ParsedHead>, BadMessage> {
    let mut lines = vec![httparse::EMPTY_HEADER; limits.headers];
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
