//! Incremental parser that splits the stream of a watch into updates and heartbeats.

use super::error::{LineError, LineFault};
use super::DiscoveryUpdate;

/// One event in the stream of a watch.
#[derive(Debug, Clone)]
pub enum WatchEvent {
    /// A delta or a snapshot of the endpoint list.
    Update(DiscoveryUpdate),
    /// An empty line: the list has not changed.
    Heartbeat,
    /// Unreadable input, which may have contained a change. Parsing continues with a later line.
    Unreadable(LineError),
}

/// The UTF-8 byte order mark, which is accepted at the start of the stream.
const BYTE_ORDER_MARK: [u8; 3] = [0xef, 0xbb, 0xbf];

/// Splits the stream of a watch into its JSON objects, each of which may span one line or several. Scans each byte
/// once, regardless of chunk boundaries. Input other than an object is skipped up to the end of the line.
#[derive(Debug, Default)]
pub struct WatchParser {
    buffer: Vec<u8>,
    /// Number of scanned bytes at the start of `buffer`.
    scanned: usize,
    /// Number of bytes of the byte order mark seen; its full length once the mark is complete or ruled out.
    byte_order_mark: usize,
    /// Number of open braces and brackets.
    depth: usize,
    /// Whether the next byte is inside a string.
    in_string: bool,
    /// Whether the next byte follows a backslash inside a string.
    escaped: bool,
    /// Whether an object ended on the current line, whose end is then not a heartbeat.
    after_object: bool,
    /// Whether the rest of the current line is skipped as invalid.
    skipping: bool,
}

impl WatchParser {
    /// Returns the buffer of unparsed bytes, to which the caller appends received bytes.
    pub fn buffer(&mut self) -> &mut Vec<u8> {
        &mut self.buffer
    }

    /// Returns whether the buffer ends inside an object.
    pub fn is_within_object(&self) -> bool {
        self.depth > 0
    }

    /// Returns the next event, or `None` if more bytes are needed.
    ///
    /// # Errors
    /// An object exceeds `max_bytes`; the rest of the stream cannot be parsed.
    pub fn next_event(&mut self, max_bytes: usize) -> Result<Option<WatchEvent>, LineError> {
        while let Some(&byte) = self.buffer.get(self.scanned) {
            if self.scanned >= max_bytes && !self.skipping {
                return Err(LineError::new(LineFault::TooLong, &format!("over {max_bytes} bytes")));
            }
            self.scanned += 1;
            if let Some(event) = self.scan(byte) {
                return Ok(Some(event));
            }
        }
        if self.skipping {
            self.discard_scanned();
        }
        Ok(None)
    }

    /// Scans one byte; returns the event that it completes, if any.
    fn scan(&mut self, byte: u8) -> Option<WatchEvent> {
        if self.is_byte_order_mark(byte) {
            self.discard_scanned();
            return None;
        }
        match byte {
            b'\n' if self.skipping || self.depth == 0 => self.end_line(),
            _ if self.skipping => None,
            // A JSON string cannot contain a line feed: the object is truncated.
            b'\n' if self.in_string => Some(self.end_truncated_object()),
            _ if self.in_string => {
                self.scan_string(byte);
                None
            }
            b'"' if self.depth > 0 => {
                self.in_string = true;
                None
            }
            b'{' | b'[' => {
                self.depth += 1;
                None
            }
            b'}' | b']' if self.depth > 0 => {
                self.depth -= 1;
                (self.depth == 0).then(|| self.end_object())
            }
            _ if self.depth > 0 || byte.is_ascii_whitespace() => None,
            _ => Some(self.skip_line(byte)),
        }
    }

    /// Returns whether this is the next byte of the byte order mark. Any other byte ends the check for the mark.
    fn is_byte_order_mark(&mut self, byte: u8) -> bool {
        if BYTE_ORDER_MARK.get(self.byte_order_mark) == Some(&byte) {
            self.byte_order_mark += 1;
            return true;
        }
        self.byte_order_mark = BYTE_ORDER_MARK.len();
        false
    }

    fn scan_string(&mut self, byte: u8) {
        match byte {
            _ if self.escaped => self.escaped = false,
            b'\\' => self.escaped = true,
            b'"' => self.in_string = false,
            _ => {}
        }
    }

    fn end_line(&mut self) -> Option<WatchEvent> {
        self.discard_scanned();
        let had_object = std::mem::take(&mut self.after_object);
        let was_skipped = std::mem::take(&mut self.skipping);
        (!had_object && !was_skipped).then_some(WatchEvent::Heartbeat)
    }

    fn end_object(&mut self) -> WatchEvent {
        let read = DiscoveryUpdate::read(&self.buffer[..self.scanned]);
        self.discard_scanned();
        self.after_object = true;
        read.map_or_else(WatchEvent::Unreadable, WatchEvent::Update)
    }

    fn end_truncated_object(&mut self) -> WatchEvent {
        let text = String::from_utf8_lossy(&self.buffer[..self.scanned]);
        let error = LineError::new(LineFault::NotAnUpdate, &text);
        self.discard_scanned();
        self.depth = 0;
        self.in_string = false;
        self.escaped = false;
        self.after_object = false;
        WatchEvent::Unreadable(error)
    }

    fn skip_line(&mut self, byte: u8) -> WatchEvent {
        self.discard_scanned();
        self.skipping = true;
        WatchEvent::Unreadable(LineError::new(LineFault::UnexpectedByte, &char::from(byte).to_string()))
    }

    fn discard_scanned(&mut self) {
        self.buffer.drain(..self.scanned);
        self.scanned = 0;
    }
}
