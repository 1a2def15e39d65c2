//! HTTP/1.1 messages: pure functions over bytes, for the fronts, the list and feature servers.

use crate::limits::Limits;

/// Why a message is not taken, with the status that says so.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BadMessage {
    /// The answer's status.
    pub status: u16,
    /// In a few words.
    pub why: &'static str,
}

const fn bad(status: u16, why: &'static str) -> BadMessage {
    BadMessage { status, why }
}

const MALFORMED: BadMessage = bad(400, "malformed HTTP");
const TOO_LARGE: BadMessage = bad(413, "body too large");
/// A request that does not become whole in time.
pub const TOO_SLOW: BadMessage = bad(408, "the request did not come whole in time");

/// A header's lines, names in lower case.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Headers(Vec<(String, String)>);

impl Headers {
    /// The value of the first line of this name (in lower case).
    pub fn get(&self, name: &str) -> Option<&str> {
        self.0.iter().find(|h| h.0 == name).map(|h| h.1.as_str())
    }

    fn read(lines: &[httparse::Header]) -> Result<Self, BadMessage> {
        let read = |h: &httparse::Header| {
            let value = std::str::from_utf8(h.value).map_err(|_| MALFORMED)?;
            Ok((h.name.to_ascii_lowercase(), value.trim_matches([' ', '\t']).to_string()))
        };
        lines.iter().map(read).collect::<Result<_, _>>().map(Self)
    }

    fn has_token(&self, name: &str, token: &str) -> bool {
        let lines = self.0.iter().filter(|h| h.0 == name);
        lines.flat_map(|h| h.1.split(',')).any(|t| t.trim().eq_ignore_ascii_case(token))
    }

    fn framing(&self) -> Result<Framing, BadMessage> {
        let lengths: Vec<&str> =
            self.0.iter().filter(|h| h.0 == "content-length").map(|h| h.1.as_str()).collect();
        let coded: Vec<&str> =
            self.0.iter().filter(|h| h.0 == "transfer-encoding").map(|h| h.1.as_str()).collect();
        match (coded.as_slice(), lengths.as_slice()) {
            ([c], []) if c.eq_ignore_ascii_case("chunked") => Ok(Framing::Chunked),
            ([_], []) => Err(bad(501, "transfer coding not known")),
            ([], []) => Ok(Framing::None),
            ([], [first, more @ ..]) if more.iter().all(|l| l == first) => {
                let digits = !first.is_empty() && first.bytes().all(|b| b.is_ascii_digit());
                first.parse().ok().filter(|_| digits).map(Framing::Length).ok_or(MALFORMED)
            }
            // A length beside a coding, or codings one after the other: where the body ends is in doubt, and
            // what one reader takes for the body another may take for the next request.
            _ => Err(MALFORMED),
        }
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Framing {
    None,
    UntilEnd,
    Length(usize),
    Chunked,
}

/// A whole request.
#[derive(Debug, Clone, PartialEq)]
pub struct Request {
    /// Its method.
    pub method: String,
    /// Its path, without the query string.
    pub path: String,
    /// Its query string.
    pub query: String,
    /// Its header.
    pub headers: Headers,
    /// Its body.
    pub body: Vec<u8>,
    /// Whether the connection stays open after the answer.
    pub keep_alive: bool,
    /// Whether its client can take an answer in chunks (RFC 9112, section 7.1): since HTTP/1.1.
    pub chunks: bool,
}

/// Takes requests from the bytes of a connection as they come. Each byte is looked for the head's end once,
/// and a body's bytes are gone through once, however they are cut.
#[derive(Debug, Default)]
pub struct RequestReader {
    held: Vec<u8>,
    /// Bytes of `held` in which no head ends.
    scanned: usize,
    /// The request whose body is on its way.
    open: Option<(Request, Body)>,
}

#[derive(Debug)]
enum Body {
    Length(usize),
    Chunked(Chunks),
}

impl RequestReader {
    /// More bytes have come.
    pub fn push(&mut self, bytes: &[u8]) {
        self.held.extend_from_slice(bytes);
    }

    /// Bytes that are held and in no request yet.
    pub fn held(&self) -> usize {
        self.held.len()
    }

    /// Whether part of a request is held.
    pub fn begun(&self) -> bool {
        !self.held.is_empty() || self.open.is_some()
    }

    /// The next request, once it is whole.
    ///
    /// # Errors
    /// It is malformed or over a limit; the connection cannot be used any longer.
    pub fn next(&mut self, limits: &Limits) -> Result<Option<Request>, BadMessage> {
        if self.open.is_none() {
            self.head(limits)?;
        }
        let Some((request, body)) = &mut self.open else { return Ok(None) };
        let (used, whole) = match body {
            Body::Length(n) => {
                let take = self.held.len().min(*n - request.body.len());
                request.body.extend_from_slice(&self.held[..take]);
                (take, request.body.len() == *n)
            }
            Body::Chunked(chunks) => {
                let used = chunks.feed(&self.held, &mut request.body, limits.max_body_bytes)?;
                (used, chunks.done())
            }
        };
        self.held.drain(..used);
        if !whole {
            return Ok(None);
        }
        if self.held.is_empty() {
            // A connection at rest holds no room for its largest request.
            self.held = Vec::new();
        }
        Ok(self.open.take().map(|o| o.0))
    }

    /// Reads the head once its end is there; its first bytes are looked at at once, so that what is no
    /// request is not waited for.
    fn head(&mut self, limits: &Limits) -> Result<(), BadMessage> {
        loop {
            let first = self.scanned == 0 && !self.held.is_empty();
            let end = head_end(&self.held, self.scanned);
            self.scanned = end.unwrap_or(self.held.len());
            if end.is_none() && !first {
                break;
            }
            if let Some((request, framing, size)) = parse_request(&self.held, limits)? {
                let body = match framing {
                    Framing::Length(n) if n > limits.max_body_bytes => return Err(TOO_LARGE),
                    Framing::Length(n) => Body::Length(n),
                    Framing::Chunked => Body::Chunked(Chunks::default()),
                    Framing::None | Framing::UntilEnd => Body::Length(0),
                };
                self.held.drain(..size);
                self.scanned = 0;
                self.open = Some((request, body));
                return Ok(());
            }
            // An end that is none: empty lines ahead of the request.
            if end.is_none() {
                break;
            }
        }
        if self.held.len() >= limits.max_head_bytes {
            return Err(bad(431, "header too large"));
        }
        Ok(())
    }
}

/// Where the first empty line ends, if one does behind `from`.
fn head_end(bytes: &[u8], from: usize) -> Option<usize> {
    (from..bytes.len())
        .find(|&i| {
            let line = &bytes[..i];
            bytes[i] == b'\n' && (line.ends_with(b"\n") || line.ends_with(b"\n\r"))
        })
        .map(|i| i + 1)
}

/// The head of the first request in `bytes`, how its body comes and the head's size; nothing while it is not
/// whole.
fn parse_request(bytes: &[u8], limits: &Limits) -> Result<Option<(Request, Framing, usize)>, BadMessage> {
    let mut lines = vec![httparse::EMPTY_HEADER; limits.headers];
    let mut head = httparse::Request::new(&mut lines);
    let size = match head.parse(bytes) {
        Ok(httparse::Status::Complete(size)) if size <= limits.max_head_bytes => size,
        Ok(httparse::Status::Partial) => return Ok(None),
        Ok(_) | Err(httparse::Error::TooManyHeaders) => return Err(bad(431, "header too large")),
        Err(_) => return Err(MALFORMED),
    };
    let headers = Headers::read(head.headers)?;
    let framing = headers.framing()?;
    let target = head.path.unwrap_or("/");
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    let keep_alive = match head.version {
        Some(1) => !headers.has_token("connection", "close"),
        _ if framing == Framing::Chunked => return Err(MALFORMED),
        _ => headers.has_token("connection", "keep-alive"),
    };
    let request = Request {
        method: head.method.unwrap_or("").to_string(),
        path: path.to_string(),
        query: query.to_string(),
        headers,
        body: Vec::new(),
        keep_alive,
        chunks: head.version == Some(1),
    };
    Ok(Some((request, framing, size)))
}

fn body(framing: Framing, bytes: &[u8], most: usize) -> Result<Option<(Vec<u8>, usize)>, BadMessage> {
    match framing {
        Framing::None => Ok(Some((Vec::new(), 0))),
        Framing::UntilEnd if bytes.len() > most => Err(TOO_LARGE),
        Framing::UntilEnd => Ok(None),
        Framing::Length(n) if n > most => Err(TOO_LARGE),
        Framing::Length(n) => Ok(bytes.get(..n).map(|b| (b.to_vec(), n))),
        Framing::Chunked => {
            let (mut chunks, mut out) = (Chunks::default(), Vec::new());
            let used = chunks.feed(bytes, &mut out, most)?;
            Ok(chunks.done().then_some((out, used)))
        }
    }
}

/// The head of an answer.
#[derive(Debug, Clone, PartialEq)]
pub struct Head {
    /// Its status.
    pub status: u16,
    /// Its header.
    pub headers: Headers,
    framing: Framing,
}

/// The head of the answer in `bytes` and its size; nothing while it is not whole.
///
/// # Errors
/// It is malformed or too large.
pub fn parse_head(bytes: &[u8], limits: &Limits) -> Result<Option<(Head, usize)>, BadMessage> {
    let mut lines = vec![httparse::EMPTY_HEADER; limits.headers];
    let mut head = httparse::Response::new(&mut lines);
    match head.parse(bytes) {
        Ok(httparse::Status::Complete(size)) if size <= limits.max_head_bytes => {
            let headers = Headers::read(head.headers)?;
            let framing = match headers.framing()? {
                Framing::None if !matches!(head.code, Some(204 | 304)) => Framing::UntilEnd,
                framing => framing,
            };
            Ok(Some((Head { status: head.code.unwrap_or(0), headers, framing }, size)))
        }
        Ok(httparse::Status::Partial) if bytes.len() < limits.max_head_bytes => Ok(None),
        _ => Err(MALFORMED),
    }
}

impl Head {
    /// The body that follows the head and how many bytes it takes; nothing while it is not whole.
    ///
    /// # Errors
    /// It is malformed or larger than `most`.
    pub fn body(&self, bytes: &[u8], most: usize) -> Result<Option<(Vec<u8>, usize)>, BadMessage> {
        body(self.framing, bytes, most)
    }

    /// Whether the body ends with the connection.
    pub fn until_end(&self) -> bool {
        self.framing == Framing::UntilEnd
    }

    /// Whether the body comes in chunks.
    pub fn chunked(&self) -> bool {
        self.framing == Framing::Chunked
    }

    /// Whether the connection may be used again.
    pub fn keep_alive(&self) -> bool {
        !self.headers.has_token("connection", "close")
    }
}

/// Takes the chunks of a body apart, as they come.
#[derive(Debug, Default)]
pub struct Chunks {
    state: Chunk,
    line: Vec<u8>,
}

#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
enum Chunk {
    #[default]
    Size,
    Data(usize),
    DataEnd,
    Trailer,
    Done,
}

/// Bytes of a line between chunks.
const CHUNK_LINE: usize = 1024;

impl Chunks {
    /// Whether the last chunk is through.
    pub fn done(&self) -> bool {
        self.state == Chunk::Done
    }

    /// Whether a chunk, or the line before it, has come in part.
    pub fn within_chunk(&self) -> bool {
        matches!(self.state, Chunk::Data(_)) || self.state == Chunk::Size && !self.line.is_empty()
    }

    /// Takes bytes until they or the chunks end; the data is put behind `out`, which may hold `most` bytes.
    /// Returns how many bytes were taken.
    ///
    /// # Errors
    /// They are malformed, or the data too large.
    pub fn feed(&mut self, bytes: &[u8], out: &mut Vec<u8>, most: usize) -> Result<usize, BadMessage> {
        let mut at = 0;
        while at < bytes.len() && self.state != Chunk::Done {
            if let Chunk::Data(left) = self.state {
                let take = left.min(bytes.len() - at);
                if out.len() + take > most {
                    return Err(TOO_LARGE);
                }
                out.extend_from_slice(&bytes[at..at + take]);
                at += take;
                self.state = if take == left { Chunk::DataEnd } else { Chunk::Data(left - take) };
                continue;
            }
            let byte = bytes[at];
            at += 1;
            if byte != b'\n' {
                self.line.push(byte);
                if self.line.len() > CHUNK_LINE {
                    return Err(MALFORMED);
                }
                continue;
            }
            let line = std::mem::take(&mut self.line);
            self.state = next(self.state, line.strip_suffix(b"\r").unwrap_or(&line), most)?;
        }
        Ok(at)
    }
}

/// What follows a line between chunks.
fn next(state: Chunk, line: &[u8], most: usize) -> Result<Chunk, BadMessage> {
    match state {
        Chunk::Size => {
            let text = std::str::from_utf8(line).map_err(|_| MALFORMED)?;
            let digits = text.split(';').next().unwrap_or("").trim();
            let hex = !digits.is_empty() && digits.bytes().all(|b| b.is_ascii_hexdigit());
            let size = usize::from_str_radix(digits, 16).ok().filter(|_| hex).ok_or(MALFORMED)?;
            match size {
                0 => Ok(Chunk::Trailer),
                n if n > most => Err(TOO_LARGE),
                n => Ok(Chunk::Data(n)),
            }
        }
        Chunk::DataEnd if line.is_empty() => Ok(Chunk::Size),
        Chunk::DataEnd => Err(MALFORMED),
        Chunk::Trailer if line.is_empty() => Ok(Chunk::Done),
        other => Ok(other),
    }
}

/// The words of a status.
pub fn reason(status: u16) -> &'static str {
    match status {
        200 => "OK",
        400 => "Bad Request",
        404 => "Not Found",
        405 => "Method Not Allowed",
        406 => "Not Acceptable",
        408 => "Request Timeout",
        409 => "Conflict",
        413 => "Content Too Large",
        431 => "Request Header Fields Too Large",
        500 => "Internal Server Error",
        502 => "Bad Gateway",
        501 => "Not Implemented",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        _ => "Error",
    }
}

/// The head of an answer whose body follows in chunks.
pub fn chunked_head(status: u16, kind: &str, more: &str, keep_alive: bool) -> Vec<u8> {
    let connection = if keep_alive { "keep-alive" } else { "close" };
    format!(
        "HTTP/1.1 {status} {}\r\nContent-Type: {kind}\r\nTransfer-Encoding: chunked\r\nConnection: {connection}\r\n{more}\r\n",
        reason(status)
    )
    .into_bytes()
}

/// One chunk; an empty one would end the body, and is none.
pub fn chunk(bytes: &[u8]) -> Vec<u8> {
    if bytes.is_empty() {
        return Vec::new();
    }
    let mut out = format!("{:x}\r\n", bytes.len()).into_bytes();
    out.extend_from_slice(bytes);
    out.extend_from_slice(b"\r\n");
    out
}

/// The end of a body in chunks.
pub const LAST_CHUNK: &[u8] = b"0\r\n\r\n";

/// An answer with its body; `more` are further header lines, each ended by CR LF.
pub fn response(status: u16, kind: &str, more: &str, body: &[u8], keep_alive: bool, head: bool) -> Vec<u8> {
    let connection = if keep_alive { "keep-alive" } else { "close" };
    let line = format!(
        "HTTP/1.1 {status} {}\r\nContent-Type: {kind}\r\nContent-Length: {}\r\nConnection: {connection}\r\n{more}\r\n",
        reason(status),
        body.len()
    );
    let mut bytes = line.into_bytes();
    if !head {
        bytes.extend_from_slice(body);
    }
    bytes
}

/// Undoes percent coding; `+` is a space in query strings. Nothing if it is malformed or not text.
pub fn decode(text: &str, plus: bool) -> Option<String> {
    let mut out = Vec::with_capacity(text.len());
    let mut bytes = text.bytes();
    while let Some(b) = bytes.next() {
        out.push(match b {
            b'%' => {
                let digit = |b: Option<u8>| char::from(b?).to_digit(16);
                let (high, low) = (digit(bytes.next())?, digit(bytes.next())?);
                (high * 16 + low) as u8
            }
            b'+' if plus => b' ',
            b => b,
        });
    }
    String::from_utf8(out).ok()
}

/// Percent codes all but letters, digits and a few signs.
pub fn encode(text: &str) -> String {
    let mut out = String::with_capacity(text.len());
    for b in text.bytes() {
        match b {
            b'a'..=b'z' | b'A'..=b'Z' | b'0'..=b'9' | b'-' | b'.' | b'_' | b'~' | b',' => {
                out.push(char::from(b))
            }
            _ => out.push_str(&format!("%{b:02X}")),
        }
    }
    out
}

#[cfg(test)]
mod tests;
