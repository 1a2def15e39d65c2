//! Opens connections: time-outs of few lengths, and another try after an error that lasts for a moment.

use std::io;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use may::net::TcpStream;

use crate::net::dial_error::is_local_shortage;

/// Time-outs of sockets are rounded up to a multiple of this: `may` keeps a list for each length for good.
const TIMEOUT_STEP: Duration = Duration::from_millis(50);

/// Attempts at opening a connection, the first included, where it fails for a moment only.
const CONNECT_ATTEMPTS: u32 = 3;

/// The pause between these attempts.
const CONNECT_RETRY_PAUSE: Duration = Duration::from_millis(5);

/// Rounds a time-out up to a multiple of [`TIMEOUT_STEP`].
pub(super) fn round_timeout(timeout: Duration) -> Duration {
    let steps = timeout.as_nanos().div_ceil(TIMEOUT_STEP.as_nanos()).max(1);
    TIMEOUT_STEP * u32::try_from(steps).unwrap_or(u32::MAX)
}

/// Opens a connection within this time. What fails for a moment only is tried again.
///
/// # Errors
/// The connection is refused or not up in time.
pub(super) fn connect(address: &SocketAddr, within: Duration) -> io::Result<TcpStream> {
    let connect = |remaining| TcpStream::connect_timeout(address, round_timeout(remaining));
    retry_transient(within, connect, || may::coroutine::sleep(CONNECT_RETRY_PAUSE))
}

/// Whether opening a connection failed for want of something that may be there a moment later, which says nothing of the
/// peer.
fn is_transient(error: &io::Error) -> bool {
    use io::ErrorKind::{Interrupted, NetworkUnreachable, WouldBlock};
    is_local_shortage(error) || matches!(error.kind(), Interrupted | NetworkUnreachable | WouldBlock)
}

/// Calls `connect` with the time that remains, up to [`CONNECT_ATTEMPTS`] times while its error is transient.
fn retry_transient<T>(
    within: Duration,
    mut connect: impl FnMut(Duration) -> io::Result<T>,
    pause: impl Fn(),
) -> io::Result<T> {
    let start = Instant::now();
    for _ in 1..CONNECT_ATTEMPTS {
        match connect(within.saturating_sub(start.elapsed())) {
            Err(e) if is_transient(&e) && start.elapsed() < within => pause(),
            result => return result,
        }
    }
    connect(within.saturating_sub(start.elapsed()))
}

#[cfg(test)]
mod tests;
