//! Lingering close: a connection stays open for reading until its client has received the last answer.

use std::time::Instant;

use crate::limits::Limits;
use crate::runtime::Stream;

/// Reads and discards bytes that the client still sends, for at most `limits.linger` and `limits.linger_bytes`. Closing
/// a socket with unread bytes resets the connection, and the client may lose the answer.
pub(super) fn linger(stream: &Stream, buffer: &mut [u8], limits: &Limits) {
    let start = Instant::now();
    let mut discarded_bytes = 0;
    while discarded_bytes < limits.linger_bytes {
        let left = limits.linger.saturating_sub(start.elapsed());
        match stream.read(buffer, left) {
            Ok(read) if read > 0 && !left.is_zero() => discarded_bytes += read,
            _ => return,
        }
    }
}
