//! The stream of a watch, taken apart into objects and empty lines as its bytes come (pure).

use super::fault::{LineError, LineFault};
use super::DiscoveryUpdate;

/// What a watch says next.
#[derive(Debug, Clone)]
pub enum WatchEvent {
    /// A change to the membership, or all of it.
    Update(DiscoveryUpdate),
    /// An empty line: nothing has changed.
    Heartbeat,
    /// What came cannot be read, and news may be lost with it; what follows on later lines can be.
    Unreadable(LineError),
}

/// The bytes that may stand before the first object.
const BYTE_ORDER_MARK: [u8; 3] = [0xef, 0xbb, 0xbf];

/// Takes the objects of a watch apart as they come, one after the other, each on a line of its own or indented over
/// several. Each byte is looked at once, however they are cut. What is no object is skipped up to the line's end.
#[derive(Debug, Default)]
pub struct Objects {
    held: Vec<u8>,
    /// Bytes of `held` that have been looked at.
    scanned: usize,
    /// Bytes of the byte order mark that have been seen or are not expected any more.
    marked: usize,
    /// Braces and brackets that are open there.
    depth: usize,
    /// Within a text, and right behind a backslash there.
    text: bool,
    escaped: bool,
    /// The rest of the line of an object: its end tells nothing new.
    tail: bool,
    /// The rest of a line that is no object.
    skipping: bool,
}

impl Objects {
    /// Where more bytes are put.
    pub fn held(&mut self) -> &mut Vec<u8> {
        &mut self.held
    }

    /// Whether an object has come in part.
    pub fn within_object(&self) -> bool {
        self.depth > 0
    }

    /// The next event; none while it is not whole.
    ///
    /// # Errors
    /// An object takes more than `most` bytes: nothing that follows can be told apart.
    pub fn next(&mut self, most: usize) -> Result<Option<WatchEvent>, LineError> {
        while let Some(&byte) = self.held.get(self.scanned) {
            if self.scanned >= most && !self.skipping {
                return Err(LineError::new(LineFault::TooLong, &format!("over {most} bytes")));
            }
            self.scanned += 1;
            if let Some(event) = self.event(byte) {
                return Ok(Some(event));
            }
        }
        if self.skipping {
            self.forget();
        }
        Ok(None)
    }

    /// What the next byte ends, if it ends anything.
    fn event(&mut self, byte: u8) -> Option<WatchEvent> {
        if self.marked < BYTE_ORDER_MARK.len() {
            if byte == BYTE_ORDER_MARK[self.marked] {
                self.marked += 1;
                self.forget();
                return None;
            }
            self.marked = BYTE_ORDER_MARK.len();
        }
        match byte {
            b'\n' if self.skipping || self.depth == 0 => self.line_ended(),
            _ if self.skipping => None,
            // A text holds no line's end: the object was cut off here.
            b'\n' if self.text => self.cut_off(),
            _ if self.text => self.within_text(byte),
            b'"' if self.depth > 0 => {
                self.text = true;
                None
            }
            b'{' | b'[' => {
                self.depth += 1;
                None
            }
            b'}' | b']' if self.depth > 0 => {
                self.depth -= 1;
                (self.depth == 0).then(|| self.object())
            }
            _ if self.depth > 0 || byte.is_ascii_whitespace() => None,
            _ => Some(self.garbage(byte)),
        }
    }

    fn within_text(&mut self, byte: u8) -> Option<WatchEvent> {
        match byte {
            _ if self.escaped => self.escaped = false,
            b'\\' => self.escaped = true,
            b'"' => self.text = false,
            _ => {}
        }
        None
    }

    fn line_ended(&mut self) -> Option<WatchEvent> {
        self.forget();
        let told = std::mem::take(&mut self.tail) | std::mem::take(&mut self.skipping);
        (!told).then_some(WatchEvent::Heartbeat)
    }

    fn cut_off(&mut self) -> Option<WatchEvent> {
        let text = String::from_utf8_lossy(&self.held[..self.scanned]);
        let error = LineError::new(LineFault::Object, &text);
        self.forget();
        (self.depth, self.text, self.escaped, self.tail) = (0, false, false, false);
        Some(WatchEvent::Unreadable(error))
    }

    fn object(&mut self) -> WatchEvent {
        let read = DiscoveryUpdate::read(&self.held[..self.scanned]);
        self.forget();
        self.tail = true;
        read.map_or_else(WatchEvent::Unreadable, WatchEvent::Update)
    }

    fn garbage(&mut self, byte: u8) -> WatchEvent {
        self.forget();
        self.skipping = true;
        WatchEvent::Unreadable(LineError::new(LineFault::Garbage, &char::from(byte).to_string()))
    }

    /// Drops what has been looked at.
    fn forget(&mut self) {
        self.held.drain(..self.scanned);
        self.scanned = 0;
    }
}
