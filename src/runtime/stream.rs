//! Connections as coroutines read and write them.

use std::io::{self, Read, Write};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicI32, AtomicU32, Ordering};
use std::time::{Duration, Instant};

use may::net::TcpStream;

use crate::runtime::connect::{connect, round_timeout};
use crate::runtime::Permit;

/// The pause before another try at a socket whose buffer is full.
const WRITE_PAUSE: Duration = Duration::from_millis(1);

/// After so many reads in a row that found something at once, a reader yields the worker to others.
const MAX_CONSECUTIVE_READS: u32 = 8;

/// For how long it does. The worker polls for events only once nothing is runnable, so that a mere yield would keep all
/// other sockets unread.
const READ_PAUSE: Duration = Duration::from_millis(1);

/// A connection that one coroutine reads while others write or shut it: one descriptor, no clone.
#[derive(Debug)]
pub struct Stream {
    inner: TcpStream,
    /// Reads in a row that found something at once.
    consecutive_reads: AtomicU32,
    /// The system's number of the failure that [`has_unread`](Self::has_unread) has met; 0 if none has. The system reports
    /// a failure once, and reads return 0 bytes from then on: without this a reset would be read as an orderly end.
    peek_failure: AtomicI32,
    _permit: Option<Permit>,
}

/// Why something was not written completely.
#[derive(Debug, thiserror::Error)]
#[error("{source}")]
pub struct WriteError {
    /// Some of it was written, and may have been read.
    pub partially_written: bool,
    /// The cause.
    pub source: io::Error,
}

impl Stream {
    /// Wraps an accepted connection.
    ///
    /// # Errors
    /// The socket's options cannot be set.
    pub fn new(inner: TcpStream, permit: Option<Permit>) -> io::Result<Self> {
        inner.set_nodelay(true)?;
        Ok(Self {
            inner,
            consecutive_reads: AtomicU32::new(0),
            peek_failure: AtomicI32::new(0),
            _permit: permit,
        })
    }

    /// Opens a connection. What fails for a moment only is tried again.
    ///
    /// # Errors
    /// It is refused or not up in time.
    pub fn connect(address: &SocketAddr, within: Duration, permit: Option<Permit>) -> io::Result<Self> {
        Self::new(connect(address, within)?, permit)
    }

    /// Reads; waits for so long at most until there is something. Only one coroutine may wait.
    ///
    /// # Errors
    /// `TimedOut`, or the connection has failed.
    pub fn read(&self, buffer: &mut [u8], within: Duration) -> io::Result<usize> {
        self.read_observed(buffer, within, |_| ())
    }

    /// The same; `note` is called with true before each read, which may take bytes from the socket, and with false before
    /// each wait, when none were taken.
    ///
    /// # Errors
    /// As [`Stream::read`].
    pub fn read_observed(
        &self,
        buffer: &mut [u8],
        within: Duration,
        note: impl Fn(bool),
    ) -> io::Result<usize> {
        loop {
            note(true);
            match self.try_read(buffer) {
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {
                    note(false);
                    self.wait_readable(within)?;
                }
                result => {
                    self.yield_if_busy();
                    return result;
                }
            }
        }
    }

    /// Lets other coroutines run, and their sockets be polled, if this one has been read often without a wait: a peer
    /// that sends without end would have the worker to itself otherwise.
    pub fn yield_if_busy(&self) {
        if self.consecutive_reads.load(Ordering::Relaxed) >= MAX_CONSECUTIVE_READS {
            self.consecutive_reads.store(0, Ordering::Relaxed);
            may::coroutine::sleep(READ_PAUSE);
        }
    }

    /// Reads what is there, without waiting.
    ///
    /// # Errors
    /// `WouldBlock`, or the connection has failed.
    pub fn try_read(&self, buffer: &mut [u8]) -> io::Result<usize> {
        loop {
            match (&mut self.inner.inner()).read(buffer) {
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Ok(0) if !buffer.is_empty() => return self.recorded_failure().map_or(Ok(0), Err),
                Ok(count) => {
                    self.consecutive_reads.fetch_add(1, Ordering::Relaxed);
                    return Ok(count);
                }
                Err(e) => {
                    self.consecutive_reads.store(0, Ordering::Relaxed);
                    return Err(e);
                }
            }
        }
    }

    /// Waits until there is something to read or the peer has closed its side, for so long at most. Only one coroutine may
    /// wait.
    ///
    /// # Errors
    /// `TimedOut`, or the connection has failed.
    pub fn wait_readable(&self, within: Duration) -> io::Result<()> {
        retry_interrupted(within, |remaining| {
            self.inner.set_read_timeout(Some(round_timeout(remaining)))?;
            self.inner.peek(&mut [0]).map(drop)
        })
    }

    /// Peeks without waiting: 0 bytes once the peer has closed its side.
    fn peek_now(&self) -> io::Result<usize> {
        loop {
            match self.inner.inner().peek(&mut [0]) {
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                peeked => return peeked,
            }
        }
    }

    /// Records a failure, for the next read.
    fn record_failure(&self, error: &io::Error) {
        if let Some(number) = error.raw_os_error().filter(|_| error.kind() != io::ErrorKind::WouldBlock) {
            self.peek_failure.store(number, Ordering::Relaxed);
        }
    }

    /// The failure that `has_unread` has met.
    fn recorded_failure(&self) -> Option<io::Error> {
        let number = self.peek_failure.load(Ordering::Relaxed);
        (number != 0).then(|| io::Error::from_raw_os_error(number))
    }

    /// Whether a read would not wait: there are bytes, the peer has closed its side, or the connection has failed.
    pub fn is_readable(&self) -> bool {
        !matches!(self.peek_now(), Err(e) if e.kind() == io::ErrorKind::WouldBlock)
    }

    /// Whether there are bytes to be read. That the peer has closed its side does not count. A failure is left to the
    /// next read.
    pub fn has_unread(&self) -> bool {
        match self.peek_now() {
            Ok(count) => count > 0,
            Err(e) => {
                self.record_failure(&e);
                false
            }
        }
    }

    /// Whether the peer has not closed its side, as far as can be seen: unread bytes hide an end behind them.
    pub fn is_open(&self) -> bool {
        self.peek_now().map_or_else(|e| e.kind() == io::ErrorKind::WouldBlock, |count| count > 0)
    }

    /// Writes all, or fails after so long.
    ///
    /// # Errors
    /// The connection has failed or takes no more.
    pub fn write_all(&self, bytes: &[u8], within: Duration) -> io::Result<()> {
        self.write_rest(bytes, || true, WriteTimeout::start(within))
    }

    /// Writes what `current` returns at the moment at which the first byte can be written, or nothing if that is none by
    /// then: a socket may be full for long, and what is wanted changes meanwhile. Nothing is begun once the peer has
    /// closed the connection. `current` is called again if `is_timely` no longer holds before the first byte: the process
    /// was held up since. After the first byte, writing goes on only as long as `is_wanted` holds.
    ///
    /// # Errors
    /// As [`Stream::write_all`], or it was begun and is no longer wanted: the connection is of no further use.
    pub fn write_latest(
        &self,
        current: impl FnMut() -> Option<Vec<u8>>,
        is_timely: impl Fn() -> bool,
        is_wanted: impl Fn() -> bool,
        within: Duration,
    ) -> Result<(), WriteError> {
        let timeout = WriteTimeout::start(within);
        let rest = self
            .write_first(current, is_timely, timeout)
            .map_err(|source| WriteError { partially_written: false, source })?;
        self.write_rest(&rest, is_wanted, timeout)
            .map_err(|source| WriteError { partially_written: true, source })
    }

    /// Writes the first of the bytes that `current` returns by then; returns those that are left.
    fn write_first(
        &self,
        mut current: impl FnMut() -> Option<Vec<u8>>,
        is_timely: impl Fn() -> bool,
        timeout: WriteTimeout,
    ) -> io::Result<Vec<u8>> {
        let mut next = current();
        while let Some(bytes) = next.as_mut().filter(|bytes| !bytes.is_empty()) {
            if !self.is_open() {
                return Err(io::ErrorKind::NotConnected.into());
            }
            if !is_timely() {
                next = current();
                continue;
            }
            match (&mut self.inner.inner()).write(bytes) {
                Ok(0) => return Err(io::ErrorKind::WriteZero.into()),
                Ok(count) => return Ok(bytes.split_off(count)),
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {
                    timeout.pause()?;
                    next = current();
                }
                Err(e) => return Err(e),
            }
        }
        Ok(Vec::new())
    }

    /// Writes all of these, as long as `is_wanted` holds.
    fn write_rest(
        &self,
        mut bytes: &[u8],
        is_wanted: impl Fn() -> bool,
        timeout: WriteTimeout,
    ) -> io::Result<()> {
        while !bytes.is_empty() {
            match (&mut self.inner.inner()).write(bytes) {
                Ok(0) => return Err(io::ErrorKind::WriteZero.into()),
                Ok(count) => bytes = &bytes[count..],
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {
                    timeout.pause()?;
                    if !is_wanted() {
                        return Err(io::ErrorKind::ConnectionAborted.into());
                    }
                }
                Err(e) => return Err(e),
            }
        }
        Ok(())
    }

    /// Closes the write side: the peer reads to the end of what was written.
    pub fn shutdown_write(&self) {
        // It fails where the peer has reset the connection already.
        let _ = self.inner.shutdown(std::net::Shutdown::Write);
    }

    /// Closes both sides; a reader that waits is woken.
    pub fn shutdown(&self) {
        // It fails where the peer has reset the connection already.
        let _ = self.inner.shutdown(std::net::Shutdown::Both);
    }
}

/// How long a write may take.
#[derive(Debug, Clone, Copy)]
struct WriteTimeout {
    start: Instant,
    within: Duration,
}

impl WriteTimeout {
    fn start(within: Duration) -> Self {
        Self { start: Instant::now(), within }
    }

    /// Waits a moment for a socket whose buffer is full, or fails if the time is over.
    fn pause(&self) -> io::Result<()> {
        if self.start.elapsed() >= self.within {
            return Err(io::ErrorKind::TimedOut.into());
        }
        may::coroutine::sleep(WRITE_PAUSE);
        Ok(())
    }
}

/// Waits again, for what is left of this time, if a wait was interrupted by a signal.
fn retry_interrupted(within: Duration, mut wait: impl FnMut(Duration) -> io::Result<()>) -> io::Result<()> {
    let start = Instant::now();
    loop {
        let remaining = within.saturating_sub(start.elapsed());
        match wait(remaining) {
            Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
            result => return result,
        }
    }
}

#[cfg(test)]
mod tests;
