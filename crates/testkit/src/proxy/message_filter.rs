//! Drops whole messages.

use super::DroppedMessages;

/// Drops whole messages of one direction.
#[derive(Default)]
pub(super) struct MessageFilter {
    /// Bytes of a message that is not complete.
    incomplete: Vec<u8>,
    /// Bytes dropped since they were last taken note of.
    dropped_bytes: usize,
}

impl MessageFilter {
    /// Takes bytes that have arrived, and returns those to forward: always whole messages.
    pub(super) fn keep(&mut self, bytes: &[u8], dropped_messages: DroppedMessages) -> Vec<u8> {
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

    /// Takes what is held, to forward it before anything else once no messages are dropped any longer.
    pub(super) fn take_incomplete(&mut self) -> Vec<u8> {
        std::mem::take(&mut self.incomplete)
    }

    /// Bytes dropped since the last call.
    pub(super) fn take_dropped_bytes(&mut self) -> usize {
        std::mem::take(&mut self.dropped_bytes)
    }
}
