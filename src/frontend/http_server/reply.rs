//! The reply to a request, independent of the connection that carries it.

/// The status, headers and body of a reply, without the headers that concern the connection.
#[derive(Debug, Clone, PartialEq)]
pub struct Reply {
    /// The HTTP status code.
    pub status: u16,
    /// The value of the `Content-Type` header.
    pub content_type: &'static str,
    /// Further header lines, each terminated by CR LF.
    pub extra_headers: String,
    /// The body before chunking; empty if it is streamed in pieces.
    pub body: Vec<u8>,
}

impl Reply {
    /// Creates a `text/plain` reply of one line.
    pub fn text(status: u16, text: &str) -> Self {
        Self {
            status,
            content_type: "text/plain",
            extra_headers: String::new(),
            body: format!("{text}\n").into_bytes(),
        }
    }

    /// Returns the reply with a header line appended.
    #[must_use]
    pub fn with_header(mut self, name: &str, value: &str) -> Self {
        self.extra_headers.push_str(&format!("{name}: {value}\r\n"));
        self
    }
}
