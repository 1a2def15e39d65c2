//! Lingering close: a connection stays open for reading until its client has seen the last answer.

use std::time::Instant;

use crate::limits::Limits;
use crate::runtime::Stream;

/// Reads and drops what the client still sends, for a bounded time and amount. Closing over unread bytes would reset
/// the connection, and the client might lose the answer.
pub(super) fn linger(stream: &Stream, buffer: &mut [u8], limits: &Limits) {
    let start = Instant::now();
    let mut dropped_bytes = 0;
    while dropped_bytes < limits.linger_bytes {
        let left = limits.linger.saturating_sub(start.elapsed());
        match stream.read(buffer, left) {
            Ok(read) if read > 0 && !left.is_zero() => dropped_bytes += read,
            _ => return,
        }
    }
}
