//! Opens connections: rounds time-outs, and retries after transient errors.

use std::io;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use may::net::TcpStream;

use crate::net::dial_error::is_local_resource_error;
use crate::runtime::sleep;

/// Timeouts of sockets are rounded up to a multiple of this, since `may` keeps a list per distinct duration and never
/// frees it.
const TIMEOUT_STEP: Duration = Duration::from_millis(50);

/// Maximum number of connect attempts, including the first, while the error is transient.
const CONNECT_ATTEMPTS: u32 = 3;

const CONNECT_RETRY_PAUSE: Duration = Duration::from_millis(5);

/// Rounds a time-out up to a multiple of [`TIMEOUT_STEP`].
pub(super) fn round_timeout(timeout: Duration) -> Duration {
    let steps = timeout.as_nanos().div_ceil(TIMEOUT_STEP.as_nanos()).max(1);
    TIMEOUT_STEP * u32::try_from(steps).unwrap_or(u32::MAX)
}

/// Opens a connection within `timeout`, and retries after transient errors.
///
/// # Errors
/// The connection is refused, or not established in time.
pub(super) fn connect(address: &SocketAddr, timeout: Duration) -> io::Result<TcpStream> {
    let connect = |remaining| TcpStream::connect_timeout(address, round_timeout(remaining));
    retry_transient(timeout, connect, || sleep(CONNECT_RETRY_PAUSE))
}

/// Returns whether connecting failed for a local, possibly temporary reason, which implies nothing about the peer.
fn is_transient(error: &io::Error) -> bool {
    use io::ErrorKind::{Interrupted, NetworkUnreachable, WouldBlock};
    is_local_resource_error(error) || matches!(error.kind(), Interrupted | NetworkUnreachable | WouldBlock)
}

/// Calls `connect` with the remaining time, up to [`CONNECT_ATTEMPTS`] times while its error is transient.
fn retry_transient<T>(
    timeout: Duration,
    mut connect: impl FnMut(Duration) -> io::Result<T>,
    pause: impl Fn(),
) -> io::Result<T> {
    let start = Instant::now();
    for _ in 1..CONNECT_ATTEMPTS {
        match connect(timeout.saturating_sub(start.elapsed())) {
            Err(e) if is_transient(&e) && start.elapsed() < timeout => pause(),
            result => return result,
        }
    }
    connect(timeout.saturating_sub(start.elapsed()))
}

#[cfg(test)]
mod tests;
