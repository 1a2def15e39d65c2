//! Responses as they are written.

/// The reason phrase of a status.
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

/// The head of a response whose body follows in chunks.
pub fn chunked_head(status: u16, kind: &str, more: &str, keep_alive: bool) -> Vec<u8> {
    let connection = if keep_alive { "keep-alive" } else { "close" };
    format!(
        "HTTP/1.1 {status} {}\r\nContent-Type: {kind}\r\nTransfer-Encoding: chunked\r\nConnection: {connection}\r\n{more}\r\n",
        reason(status)
    )
    .into_bytes()
}

/// One chunk; nothing for empty bytes, which would end the body.
pub fn chunk(bytes: &[u8]) -> Vec<u8> {
    if bytes.is_empty() {
        return Vec::new();
    }
    let mut out = format!("{:x}\r\n", bytes.len()).into_bytes();
    out.extend_from_slice(bytes);
    out.extend_from_slice(b"\r\n");
    out
}

/// The end of a chunked body.
pub const LAST_CHUNK: &[u8] = b"0\r\n\r\n";

/// A response, without its body if `head` is set; `more` are further header lines, each ended by CR LF.
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
