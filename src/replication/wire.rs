//! Frames between members over TCP: the sender's id (8 bytes), the length of the message (4), a CRC-32 of the message
//! (4), then the message, a raft message in protobuf's encoding. All little-endian. Pure: bytes in, frames out.
//!
//! A frame that is longer than the bound, or whose checksum does not match, ends the connection: after it nothing on
//! the stream can be trusted to begin a frame.

use std::fmt;

/// Bytes before the message.
pub const HEAD: usize = 16;

/// One frame.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Frame {
    /// The member that sent it.
    pub from: u64,
    /// The message.
    pub message: Vec<u8>,
}

/// Why a stream cannot be read on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Broken {
    /// A frame says it is longer than the bound (bytes).
    TooLong(usize),
    /// A message's checksum does not match.
    Changed,
}

impl fmt::Display for Broken {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::TooLong(n) => write!(f, "a frame of {n} bytes is longer than allowed"),
            Self::Changed => f.write_str("a frame's checksum does not match"),
        }
    }
}

impl std::error::Error for Broken {}

/// A frame as bytes.
pub fn encode(from: u64, message: &[u8]) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(HEAD + message.len());
    bytes.extend(from.to_le_bytes());
    bytes.extend(u32::try_from(message.len()).unwrap_or(u32::MAX).to_le_bytes());
    bytes.extend(crc32fast::hash(message).to_le_bytes());
    bytes.extend_from_slice(message);
    bytes
}

/// Reads frames off a stream as its bytes come, holding at most one frame's bytes.
#[derive(Debug)]
pub struct Reader {
    buf: Vec<u8>,
    most: usize,
}

impl Reader {
    /// A reader of frames whose message is at most `most` bytes.
    pub fn new(most: usize) -> Self {
        Self { buf: Vec::new(), most }
    }

    /// Takes bytes as they came and gives the frames that are whole now.
    ///
    /// # Errors
    /// If a frame is too long or changed; the stream must then be closed.
    pub fn feed(&mut self, bytes: &[u8]) -> Result<Vec<Frame>, Broken> {
        self.buf.extend_from_slice(bytes);
        let mut frames = Vec::new();
        let mut at = 0;
        while self.buf.len() - at >= HEAD {
            let head = &self.buf[at..at + HEAD];
            let word = |r: std::ops::Range<usize>| {
                let mut w = [0; 4];
                w.copy_from_slice(&head[r]);
                u32::from_le_bytes(w)
            };
            let mut from = [0; 8];
            from.copy_from_slice(&head[..8]);
            let len = word(8..12) as usize;
            if len > self.most {
                return Err(Broken::TooLong(len));
            }
            if self.buf.len() - at < HEAD + len {
                break;
            }
            let message = &self.buf[at + HEAD..at + HEAD + len];
            if crc32fast::hash(message) != word(12..16) {
                return Err(Broken::Changed);
            }
            frames.push(Frame { from: u64::from_le_bytes(from), message: message.to_vec() });
            at += HEAD + len;
        }
        self.buf.drain(..at);
        Ok(frames)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    proptest! {
        #[test]
        fn frames_come_out_as_they_went_in_however_the_bytes_are_cut(
            messages in proptest::collection::vec(proptest::collection::vec(any::<u8>(), 0..64), 0..8),
            cuts in proptest::collection::vec(1usize..40, 1..20),
        ) {
            let stream: Vec<u8> = messages.iter().enumerate().flat_map(|(i, m)| encode(i as u64, m)).collect();
            let mut reader = Reader::new(64);
            let mut got = Vec::new();
            let (mut at, mut cut) = (0, cuts.iter().cycle());
            while at < stream.len() {
                let n = (*cut.next().unwrap()).min(stream.len() - at);
                got.extend(reader.feed(&stream[at..at + n]).unwrap());
                at += n;
            }
            prop_assert_eq!(got.len(), messages.len());
            for (i, (frame, message)) in got.iter().zip(&messages).enumerate() {
                prop_assert_eq!(frame.from, i as u64);
                prop_assert_eq!(&frame.message, message);
            }
        }

        #[test]
        fn a_flipped_bit_or_a_long_frame_breaks_the_stream_and_nothing_panics(
            message in proptest::collection::vec(any::<u8>(), 1..64),
            bit in 0usize..512,
        ) {
            let mut bytes = encode(3, &message);
            let bit = bit % ((bytes.len() - 8) * 8);
            bytes[8 + bit / 8] ^= 1 << (bit % 8);
            let mut reader = Reader::new(64);
            // A flip in the length may make it wait for more, name a frame too long, or fail the checksum; never pass.
            if let Ok(frames) = reader.feed(&bytes) {
                prop_assert!(frames.is_empty());
            }
        }
    }

    #[test]
    fn a_frame_over_the_bound_is_refused_before_its_bytes_come() {
        let mut reader = Reader::new(8);
        let bytes = encode(1, &[0; 9]);
        assert_eq!(reader.feed(&bytes[..HEAD]), Err(Broken::TooLong(9)));
    }
}
