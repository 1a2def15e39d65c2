//! The stream of a watch, taken apart into updates and heartbeats as its bytes come (pure).

use super::error::{LineError, LineFault};
use super::DiscoveryUpdate;

/// What a watch says next.
#[derive(Debug, Clone)]
pub enum WatchEvent {
    /// A change to the endpoint list, or all of it.
    Update(DiscoveryUpdate),
    /// An empty line: nothing has changed.
    Heartbeat,
    /// What came cannot be read, and a change may be lost with it; what follows on later lines can be.
    Unreadable(LineError),
}

/// The bytes that may stand before the first object.
const BYTE_ORDER_MARK: [u8; 3] = [0xef, 0xbb, 0xbf];

/// Takes the JSON objects of a watch apart as they come, one after the other, each on a line of its own or indented over
/// several. Each byte is looked at once, however they are cut. What is not an object is skipped up to the line's end.
#[derive(Debug, Default)]
pub struct WatchParser {
    buffer: Vec<u8>,
    /// Bytes of `buffer` that have been looked at.
    scanned: usize,
    /// Bytes of the byte order mark that have come, or are not expected any more.
    byte_order_mark: usize,
    /// Open braces and brackets.
    depth: usize,
    /// Whether the next byte is within a string, and right behind a backslash there.
    in_string: bool,
    escaped: bool,
    /// Whether the line has had an object: its end is no heartbeat.
    after_object: bool,
    /// Whether the rest of the line is skipped, since it is not an object.
    skipping: bool,
}

impl WatchParser {
    /// The bytes that are not parsed yet; more are appended here.
    pub fn buffer(&mut self) -> &mut Vec<u8> {
        &mut self.buffer
    }

    /// Whether an object has come in part.
    pub fn is_within_object(&self) -> bool {
        self.depth > 0
    }

    /// The next event; none while it is not complete.
    ///
    /// # Errors
    /// An object takes more than `max_bytes`: nothing that follows can be told apart.
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

    /// The event that ends with this byte, if one does.
    fn scan(&mut self, byte: u8) -> Option<WatchEvent> {
        if self.is_byte_order_mark(byte) {
            self.discard_scanned();
            return None;
        }
        match byte {
            b'\n' if self.skipping || self.depth == 0 => self.end_line(),
            _ if self.skipping => None,
            // A JSON string has no line end in it: the object was cut off here.
            b'\n' if self.in_string => Some(self.end_cut_off_object()),
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

    /// Whether this is the next byte of the byte order mark; from the first that is not, none is expected any more.
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

    fn end_cut_off_object(&mut self) -> WatchEvent {
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
