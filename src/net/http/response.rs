//! Encoding of responses.

/// Returns the reason phrase of a status; `Error` if the status is unknown.
pub fn reason_phrase(status: u16) -> &'static str {
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

/// Encodes the head of a response with a chunked body; `extra_headers` as in [`response`].
pub fn chunked_head(status: u16, content_type: &str, extra_headers: &str, keep_alive: bool) -> Vec<u8> {
    let connection = if keep_alive { "keep-alive" } else { "close" };
    format!(
        "HTTP/1.1 {status} {}\r\nContent-Type: {content_type}\r\nTransfer-Encoding: chunked\r\n\
         Connection: {connection}\r\n{extra_headers}\r\n",
        reason_phrase(status)
    )
    .into_bytes()
}

/// Encodes one chunk. Returns nothing for empty bytes, since an empty chunk would end the body.
pub fn chunk(bytes: &[u8]) -> Vec<u8> {
    if bytes.is_empty() {
        return Vec::new();
    }
    let mut out = format!("{:x}\r\n", bytes.len()).into_bytes();
    out.extend_from_slice(bytes);
    out.extend_from_slice(b"\r\n");
    out
}

/// The last chunk and the empty trailer, which end a chunked body.
pub const LAST_CHUNK: &[u8] = b"0\r\n\r\n";

/// Encodes a response, without its body if `head_only` is set. Each line in `extra_headers` ends with CR LF.
pub fn response(
    status: u16,
    content_type: &str,
    extra_headers: &str,
    body: &[u8],
    keep_alive: bool,
    head_only: bool,
) -> Vec<u8> {
    let connection = if keep_alive { "keep-alive" } else { "close" };
    let line = format!(
        "HTTP/1.1 {status} {}\r\nContent-Type: {content_type}\r\nContent-Length: {}\r\n\
         Connection: {connection}\r\n{extra_headers}\r\n",
        reason_phrase(status),
        body.len()
    );
    let mut bytes = line.into_bytes();
    if !head_only {
        bytes.extend_from_slice(body);
    }
    bytes
}
