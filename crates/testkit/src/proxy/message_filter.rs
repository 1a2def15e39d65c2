//! Drops selected messages.

use super::DroppedMessages;

/// Drops selected messages of one direction of a connection.
#[derive(Default)]
pub(super) struct MessageFilter {
    /// Bytes received of an incomplete message.
    incomplete: Vec<u8>,
    /// Bytes dropped since the last call of `take_dropped_bytes`.
    dropped_bytes: usize,
}

impl MessageFilter {
    /// Adds received bytes, and returns the complete messages that are not dropped.
    pub(super) fn filter(&mut self, bytes: &[u8], dropped_messages: DroppedMessages) -> Vec<u8> {
        let DroppedMessages { length, is_dropped } = dropped_messages;
        self.incomplete.extend_from_slice(bytes);
        let mut kept = Vec::new();
        while let Some(length) = length(&self.incomplete).filter(|&n| n <= self.incomplete.len()) {
            let message: Vec<u8> = self.incomplete.drain(..length).collect();
            if is_dropped(&message) {
                self.dropped_bytes += length;
            } else {
                kept.extend(message);
            }
        }
        kept
    }

    /// Takes the bytes of an incomplete message, to be forwarded first once message dropping is turned off.
    pub(super) fn take_incomplete(&mut self) -> Vec<u8> {
        std::mem::take(&mut self.incomplete)
    }

    /// Returns the number of bytes dropped since the last call.
    pub(super) fn take_dropped_bytes(&mut self) -> usize {
        std::mem::take(&mut self.dropped_bytes)
    }
}
