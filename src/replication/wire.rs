//! The frames that members exchange over TCP: the sender's id (8 bytes), the length of the message (4), a CRC-32 of the
//! message (4), then the message, a raft message encoded as protobuf. All integers are little-endian. This module does
//! no I/O.
//!
//! A frame that exceeds the size limit or fails its checksum ends the connection, because the start of the next frame
//! cannot be determined reliably after it.

/// Length of the sender's id, the message length and the checksum before the message.
pub const HEADER_BYTES: usize = 16;

/// One decoded frame.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Frame {
    /// The id of the member that sent the frame.
    pub from: u64,
    /// The encoded raft message; its checksum matched.
    pub message: Vec<u8>,
}

/// A frame is invalid, and the connection must be closed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum FrameError {
    /// The message length in the frame's header, in bytes, exceeds the limit.
    #[error("the frame's message of {0} bytes exceeds the limit")]
    TooLong(usize),
    /// The message does not match its checksum.
    #[error("the frame's checksum does not match")]
    ChecksumMismatch,
}

/// Encodes a message as a frame.
pub fn encode(from: u64, message: &[u8]) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(HEADER_BYTES + message.len());
    bytes.extend(from.to_le_bytes());
    bytes.extend(u32::try_from(message.len()).unwrap_or(u32::MAX).to_le_bytes());
    bytes.extend(crc32fast::hash(message).to_le_bytes());
    bytes.extend_from_slice(message);
    bytes
}

struct Header {
    from: u64,
    message_bytes: usize,
    checksum: u32,
}

impl Header {
    fn parse(header: &[u8; HEADER_BYTES]) -> Self {
        let word = |at: usize| {
            let mut word = [0; 4];
            word.copy_from_slice(&header[at..at + 4]);
            u32::from_le_bytes(word)
        };
        let mut from = [0; 8];
        from.copy_from_slice(&header[..8]);
        Self { from: u64::from_le_bytes(from), message_bytes: word(8) as usize, checksum: word(12) }
    }
}

/// Decodes frames from a stream as its bytes arrive; buffers at most one incomplete frame between calls.
#[derive(Debug)]
pub struct FrameReader {
    buffer: Vec<u8>,
    max_message_bytes: usize,
}

impl FrameReader {
    /// Creates a reader that rejects messages longer than `max_message_bytes`.
    pub fn new(max_message_bytes: usize) -> Self {
        Self { buffer: Vec::new(), max_message_bytes }
    }

    /// Appends received bytes, and returns the frames that are complete.
    ///
    /// # Errors
    /// A frame is too long or fails its checksum; the stream must then be closed.
    pub fn feed(&mut self, bytes: &[u8]) -> Result<Vec<Frame>, FrameError> {
        self.buffer.extend_from_slice(bytes);
        let mut frames = Vec::new();
        let mut rest = self.buffer.as_slice();
        while let Some((header, after_header)) = rest.split_first_chunk::<HEADER_BYTES>() {
            let header = Header::parse(header);
            if header.message_bytes > self.max_message_bytes {
                return Err(FrameError::TooLong(header.message_bytes));
            }
            let Some((message, after_frame)) = after_header.split_at_checked(header.message_bytes) else {
                break;
            };
            if crc32fast::hash(message) != header.checksum {
                return Err(FrameError::ChecksumMismatch);
            }
            frames.push(Frame { from: header.from, message: message.to_vec() });
            rest = after_frame;
        }
        let read = self.buffer.len() - rest.len();
        self.buffer.drain(..read);
        Ok(frames)
    }
}

#[cfg(test)]
mod tests;
