//! Decoding of the chunked transfer coding (RFC 9112, section 7.1).

use super::{BadMessage, BODY_TOO_LARGE, MALFORMED};

/// Maximum length of a line between chunks.
const MAX_LINE_BYTES: usize = 1024;

/// An incremental decoder of a chunked body.
#[derive(Debug, Default)]
pub struct ChunkDecoder {
    state: State,
    /// The incomplete line between chunks.
    line: Vec<u8>,
}

/// What the decoder expects next.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
enum State {
    /// The line with a chunk's size.
    #[default]
    Size,
    /// The rest of a chunk's data, with its length in bytes.
    Data(usize),
    /// The empty line after a chunk's data.
    DataEnd,
    /// A line of the trailer.
    Trailer,
    /// Nothing: the body is complete.
    Done,
}

impl ChunkDecoder {
    /// Whether the body is complete, trailer included.
    pub fn is_done(&self) -> bool {
        self.state == State::Done
    }

    /// Whether a chunk's data, or the line before it, is incomplete.
    pub fn has_partial_chunk(&self) -> bool {
        matches!(self.state, State::Data(_)) || self.state == State::Size && !self.line.is_empty()
    }

    /// Decodes bytes up to the end of the body. Appends the data to `data`, which may grow to `max_bytes`. Returns the
    /// number of bytes used.
    ///
    /// # Errors
    /// The chunks are malformed, or the data exceeds `max_bytes`.
    pub fn decode(
        &mut self,
        bytes: &[u8],
        data: &mut Vec<u8>,
        max_bytes: usize,
    ) -> Result<usize, BadMessage> {
        let mut used = 0;
        while used < bytes.len() && !self.is_done() {
            if let State::Data(left) = self.state {
                used += self.read_data(left, &bytes[used..], data, max_bytes)?;
            } else {
                self.read_line_byte(bytes[used], max_bytes)?;
                used += 1;
            }
        }
        Ok(used)
    }

    /// Reads data of a chunk of which `left` bytes remain; returns the number of bytes used.
    fn read_data(
        &mut self,
        left: usize,
        bytes: &[u8],
        data: &mut Vec<u8>,
        max_bytes: usize,
    ) -> Result<usize, BadMessage> {
        let used = left.min(bytes.len());
        if data.len() + used > max_bytes {
            return Err(BODY_TOO_LARGE);
        }
        data.extend_from_slice(&bytes[..used]);
        self.state = if used == left { State::DataEnd } else { State::Data(left - used) };
        Ok(used)
    }

    /// Reads one byte of a line between chunks.
    fn read_line_byte(&mut self, byte: u8, max_bytes: usize) -> Result<(), BadMessage> {
        if byte == b'\n' {
            let line = std::mem::take(&mut self.line);
            let line = line.strip_suffix(b"\r").unwrap_or(&line);
            self.state = self.state.after_line(line, max_bytes)?;
            return Ok(());
        }
        self.line.push(byte);
        if self.line.len() > MAX_LINE_BYTES {
            return Err(MALFORMED);
        }
        Ok(())
    }
}

impl State {
    /// Returns the state after a complete line between chunks.
    fn after_line(self, line: &[u8], max_bytes: usize) -> Result<Self, BadMessage> {
        match self {
            Self::Size => match chunk_size(line)? {
                0 => Ok(Self::Trailer),
                size if size > max_bytes => Err(BODY_TOO_LARGE),
                size => Ok(Self::Data(size)),
            },
            Self::DataEnd if line.is_empty() => Ok(Self::Size),
            Self::DataEnd => Err(MALFORMED),
            Self::Trailer if line.is_empty() => Ok(Self::Done),
            other => Ok(other),
        }
    }
}

/// Parses the line before a chunk; ignores chunk extensions.
fn chunk_size(line: &[u8]) -> Result<usize, BadMessage> {
    let text = std::str::from_utf8(line).map_err(|_| MALFORMED)?;
    let digits = text.split(';').next().unwrap_or("").trim();
    let is_hexadecimal = !digits.is_empty() && digits.bytes().all(|byte| byte.is_ascii_hexdigit());
    if !is_hexadecimal {
        return Err(MALFORMED);
    }
    usize::from_str_radix(digits, 16).map_err(|_| MALFORMED)
}
