//! Duplicates and reorders whole messages.

use super::MessageLength;

/// Every so many messages one is overtaken by the next one.
const OVERTAKEN_EVERY: u64 = 3;
/// Every so many messages one is sent twice.
const DUPLICATED_EVERY: u64 = 4;

/// Duplicates and reorders whole messages of one direction.
#[derive(Default)]
pub(super) struct Reorderer {
    /// Bytes of a message that is not complete.
    incomplete: Vec<u8>,
    /// A message that waits to be overtaken.
    overtaken: Option<Vec<u8>>,
    messages: u64,
}

impl Reorderer {
    /// Takes bytes that have arrived, and returns those to forward: always whole messages.
    pub(super) fn forward(&mut self, bytes: &[u8], message_length: MessageLength) -> Vec<u8> {
        self.incomplete.extend_from_slice(bytes);
        let mut out = Vec::new();
        while let Some(length) = message_length(&self.incomplete).filter(|&n| n <= self.incomplete.len()) {
            let message: Vec<u8> = self.incomplete.drain(..length).collect();
            self.messages += 1;
            if self.messages.is_multiple_of(OVERTAKEN_EVERY) && self.overtaken.is_none() {
                self.overtaken = Some(message);
                continue;
            }
            out.extend_from_slice(&message);
            if self.messages.is_multiple_of(DUPLICATED_EVERY) {
                out.extend_from_slice(&message);
            }
            out.extend(self.overtaken.take().into_iter().flatten());
        }
        out
    }

    /// Takes what is held, to forward it before anything else once messages are reordered no longer.
    pub(super) fn take_held(&mut self) -> Vec<u8> {
        let overtaken = self.overtaken.take().unwrap_or_default();
        [overtaken, std::mem::take(&mut self.incomplete)].concat()
    }
}

#[cfg(test)]
mod tests;
