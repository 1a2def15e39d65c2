//! Duplicates and reorders messages.

use super::MessageLength;

/// Every third message is forwarded after its successor.
const REORDER_INTERVAL_MESSAGES: u64 = 3;
/// Every fourth message is forwarded twice.
const DUPLICATION_INTERVAL_MESSAGES: u64 = 4;

/// Duplicates and reorders messages of one direction of a connection.
#[derive(Default)]
pub(super) struct Reorderer {
    /// Bytes received of an incomplete message.
    incomplete: Vec<u8>,
    /// A message held back until its successor is forwarded.
    delayed: Option<Vec<u8>>,
    messages: u64,
}

impl Reorderer {
    /// Adds received bytes, and returns the complete messages to forward.
    pub(super) fn forward(&mut self, bytes: &[u8], message_length: MessageLength) -> Vec<u8> {
        self.incomplete.extend_from_slice(bytes);
        let mut out = Vec::new();
        while let Some(length) = message_length(&self.incomplete).filter(|&n| n <= self.incomplete.len()) {
            let message: Vec<u8> = self.incomplete.drain(..length).collect();
            self.messages += 1;
            if self.messages.is_multiple_of(REORDER_INTERVAL_MESSAGES) && self.delayed.is_none() {
                self.delayed = Some(message);
                continue;
            }
            out.extend_from_slice(&message);
            if self.messages.is_multiple_of(DUPLICATION_INTERVAL_MESSAGES) {
                out.extend_from_slice(&message);
            }
            out.extend(self.delayed.take().into_iter().flatten());
        }
        out
    }

    /// Takes the held bytes, to be forwarded first once reordering is turned off.
    pub(super) fn take_held(&mut self) -> Vec<u8> {
        let delayed = self.delayed.take().unwrap_or_default();
        [delayed, std::mem::take(&mut self.incomplete)].concat()
    }
}

#[cfg(test)]
mod tests;
