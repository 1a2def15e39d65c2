//! Forwards one direction of a connection and applies the injected faults.

use std::io::{ErrorKind, Read, Write};
use std::net::TcpStream;
use std::thread;

use super::message_filter::MessageFilter;
use super::reorder::Reorderer;
use super::{close, lock, Faults, Shared, POLL_INTERVAL};

const BUFFER_BYTES: usize = 16 * 1024;

/// A direction of data flow in a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Direction {
    /// From the client to the target.
    Forward,
    /// From the target to the client.
    Backward,
}

impl Direction {
    fn is_dropped(self, faults: &Faults) -> bool {
        match self {
            Self::Forward => faults.drop_forward,
            Self::Backward => faults.drop_backward,
        }
    }
}

/// Forwards data until one side closes the connection or the proxy stops, then closes both sides.
pub(super) fn forward(mut from: TcpStream, mut to: TcpStream, direction: Direction, shared: &Shared) {
    let _ = from.set_read_timeout(Some(POLL_INTERVAL));
    let mut buffer = vec![0; BUFFER_BYTES];
    let (mut filter, mut reorderer) = (MessageFilter::default(), Reorderer::default());
    while !shared.is_stopping() {
        let read = match from.read(&mut buffer) {
            Ok(0) => break,
            Ok(read) => read,
            Err(e) if is_transient(e.kind()) => continue,
            Err(_) => break,
        };
        let faults = *lock(&shared.faults);
        if direction.is_dropped(&faults) {
            lock(&shared.dropped).add(direction, read);
            continue;
        }
        if !faults.delay.is_zero() {
            thread::sleep(faults.delay);
        }
        let kept = match faults.drop_messages.filter(|_| direction == Direction::Forward) {
            Some(dropped_messages) => filter.filter(&buffer[..read], dropped_messages),
            None => [&filter.take_incomplete(), &buffer[..read]].concat(),
        };
        lock(&shared.dropped).add(direction, filter.take_dropped_bytes());
        let bytes = match faults.reorder.filter(|_| direction == Direction::Forward) {
            Some(message_length) => reorderer.forward(&kept, message_length),
            None => [reorderer.take_held(), kept.clone()].concat(),
        };
        if to.write_all(&bytes).is_err() {
            break;
        }
        lock(&shared.forwarded).add(direction, kept.len());
    }
    // Data still in flight in the other direction is lost, as when a process is killed.
    close(&to);
    close(&from);
}

fn is_transient(kind: ErrorKind) -> bool {
    matches!(kind, ErrorKind::WouldBlock | ErrorKind::TimedOut | ErrorKind::Interrupted)
}
