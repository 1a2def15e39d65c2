//! The reply to a request, independent of the connection it goes to.

/// A reply: its status, headers and body, without the headers that concern the connection.
#[derive(Debug, Clone, PartialEq)]
pub struct Reply {
    /// Status.
    pub status: u16,
    /// Content type.
    pub content_type: &'static str,
    /// Further header lines, each ended by CR LF.
    pub extra_headers: String,
    /// Body.
    pub body: Vec<u8>,
}

impl Reply {
    /// A plain line of text.
    pub fn text(status: u16, text: &str) -> Self {
        Self {
            status,
            content_type: "text/plain",
            extra_headers: String::new(),
            body: format!("{text}\n").into_bytes(),
        }
    }

    /// The same reply with a further header line.
    #[must_use]
    pub fn with_header(mut self, name: &str, value: &str) -> Self {
        self.extra_headers.push_str(&format!("{name}: {value}\r\n"));
        self
    }
}
