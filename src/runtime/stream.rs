//! TCP streams for coroutines.

use std::io::{self, Read, Write};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicI32, AtomicU32, Ordering};
use std::time::{Duration, Instant};

use may::net::TcpStream;

use crate::runtime::connect::{connect, round_timeout};
use crate::runtime::{sleep, Permit};

/// Pause before the next write to a socket whose send buffer is full.
const WRITE_PAUSE: Duration = Duration::from_millis(1);

/// Number of consecutive reads without a wait after which a reader yields the worker to other coroutines.
const MAX_CONSECUTIVE_READS: u32 = 8;

/// Pause of a reader that yields. The worker polls for events only when no coroutine is runnable; a sleep ends after a
/// poll.
const READ_PAUSE: Duration = Duration::from_millis(1);

/// A connection that one coroutine reads while others write to it or shut it down, all through one file descriptor.
#[derive(Debug)]
pub struct Stream {
    inner: TcpStream,
    /// Number of consecutive reads that returned without a wait.
    consecutive_reads: AtomicU32,
    /// The `errno` of a failure that [`has_unread`](Self::has_unread) consumed, or 0. The operating system reports a
    /// failure once, and later reads return 0 bytes: without this field, a reset would be read as an orderly end.
    peek_errno: AtomicI32,
    _permit: Option<Permit>,
}

/// An error that prevented a complete write.
#[derive(Debug, thiserror::Error)]
#[error("{source}")]
pub struct WriteError {
    /// Whether some bytes were written, which the peer may have read.
    pub partially_written: bool,
    /// The error of the connection, or the reason why the write was aborted.
    pub source: io::Error,
}

impl Stream {
    /// Wraps a connection and sets `TCP_NODELAY`. The permit is returned when the stream is dropped.
    ///
    /// # Errors
    /// The socket's options cannot be set.
    pub fn new(inner: TcpStream, permit: Option<Permit>) -> io::Result<Self> {
        inner.set_nodelay(true)?;
        Ok(Self {
            inner,
            consecutive_reads: AtomicU32::new(0),
            peek_errno: AtomicI32::new(0),
            _permit: permit,
        })
    }

    /// Opens a connection within `timeout`, and retries after transient errors.
    ///
    /// # Errors
    /// The connection is refused, or not established in time.
    pub fn connect(address: &SocketAddr, timeout: Duration, permit: Option<Permit>) -> io::Result<Self> {
        Self::new(connect(address, timeout)?, permit)
    }

    /// Reads, and waits up to `timeout` for bytes. Returns 0 once the peer has closed its side. Only one coroutine may
    /// wait.
    ///
    /// # Errors
    /// `TimedOut`, or the connection has failed.
    pub fn read(&self, buffer: &mut [u8], timeout: Duration) -> io::Result<usize> {
        self.read_observed(buffer, timeout, |_| ())
    }

    /// Reads like [`Stream::read`]. Calls `observe` with true before each attempt to read, which may take bytes from
    /// the socket, and with false before each wait, if no bytes were taken.
    ///
    /// # Errors
    /// As [`Stream::read`].
    pub fn read_observed(
        &self,
        buffer: &mut [u8],
        timeout: Duration,
        observe: impl Fn(bool),
    ) -> io::Result<usize> {
        loop {
            observe(true);
            match self.try_read(buffer) {
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {
                    observe(false);
                    self.wait_readable(timeout)?;
                }
                result => {
                    self.yield_if_busy();
                    return result;
                }
            }
        }
    }

    /// Pauses the coroutine after eight consecutive reads without a wait, so that other coroutines run and
    /// their sockets are polled. Otherwise a peer that sends continuously would occupy the worker.
    fn yield_if_busy(&self) {
        if self.has_read_without_wait() {
            self.has_waited();
            sleep(READ_PAUSE);
        }
    }

    /// Returns whether there were eight consecutive reads without a wait.
    pub fn has_read_without_wait(&self) -> bool {
        self.consecutive_reads.load(Ordering::Relaxed) >= MAX_CONSECUTIVE_READS
    }

    /// Records that the reader has waited, so that its reads are counted anew.
    pub fn has_waited(&self) {
        self.consecutive_reads.store(0, Ordering::Relaxed);
    }

    /// Reads available bytes without waiting.
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

    /// Waits up to `timeout` until there are bytes to read or the peer has closed its side. Only one coroutine may
    /// wait.
    ///
    /// # Errors
    /// `TimedOut`, or the connection has failed.
    pub fn wait_readable(&self, timeout: Duration) -> io::Result<()> {
        retry_interrupted(timeout, |remaining| {
            self.inner.set_read_timeout(Some(round_timeout(remaining)))?;
            self.inner.peek(&mut [0]).map(drop)
        })
    }

    /// Peeks without waiting; returns 0 once the peer has closed its side.
    fn peek_now(&self) -> io::Result<usize> {
        loop {
            match self.inner.inner().peek(&mut [0]) {
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                peeked => return peeked,
            }
        }
    }

    /// Records a failure, which the next read returns.
    fn record_failure(&self, error: &io::Error) {
        if let Some(errno) = error.raw_os_error().filter(|_| error.kind() != io::ErrorKind::WouldBlock) {
            self.peek_errno.store(errno, Ordering::Relaxed);
        }
    }

    fn recorded_failure(&self) -> Option<io::Error> {
        let errno = self.peek_errno.load(Ordering::Relaxed);
        (errno != 0).then(|| io::Error::from_raw_os_error(errno))
    }

    /// Returns whether a read would return at once: there are bytes, the peer has closed its side, or the connection
    /// has failed.
    pub fn is_readable(&self) -> bool {
        !matches!(self.peek_now(), Err(e) if e.kind() == io::ErrorKind::WouldBlock)
    }

    /// Returns whether there are unread bytes; false if the peer has only closed its side. A failure is recorded and
    /// returned by the next read.
    pub fn has_unread(&self) -> bool {
        match self.peek_now() {
            Ok(count) => count > 0,
            Err(e) => {
                self.record_failure(&e);
                false
            }
        }
    }

    /// Returns false if the connection has failed or the peer has closed its side. Unread bytes hide a close that
    /// follows them.
    pub fn is_open(&self) -> bool {
        self.peek_now().map_or_else(|e| e.kind() == io::ErrorKind::WouldBlock, |count| count > 0)
    }

    /// Writes all bytes, or fails with `TimedOut` after `timeout`.
    ///
    /// # Errors
    /// The connection has failed, or its buffer stayed full.
    pub fn write_all(&self, bytes: &[u8], timeout: Duration) -> io::Result<()> {
        self.write_rest(bytes, || true, WriteTimeout::start(timeout))
    }

    /// Writes the bytes that `current` returns at the time when the first byte can be written, or nothing if it returns
    /// `None` then. The socket may be full for a long time, during which the bytes to send may change. Fails before the
    /// first byte if the peer has closed the connection. Before the first byte, calls `current` again if `is_timely`
    /// returns false, because the process was suspended meanwhile. After the first byte, continues only while
    /// `is_wanted` returns true.
    ///
    /// # Errors
    /// As [`Stream::write_all`], or a partially written message is no longer wanted: the connection cannot be reused.
    pub fn write_latest(
        &self,
        current: impl FnMut() -> Option<Vec<u8>>,
        is_timely: impl Fn() -> bool,
        is_wanted: impl Fn() -> bool,
        timeout: Duration,
    ) -> Result<(), WriteError> {
        let timeout = WriteTimeout::start(timeout);
        let rest = self
            .write_first(current, is_timely, timeout)
            .map_err(|source| WriteError { partially_written: false, source })?;
        self.write_rest(&rest, is_wanted, timeout)
            .map_err(|source| WriteError { partially_written: true, source })
    }

    /// Writes the first bytes of the latest result of `current`; returns the remaining bytes.
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

    /// Writes all bytes while `is_wanted` returns true.
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

    /// Closes the write side: the peer reads all written bytes, then the end of the stream.
    pub fn shutdown_write(&self) {
        // Fails if the peer has already reset the connection.
        let _ = self.inner.shutdown(std::net::Shutdown::Write);
    }

    /// Closes both sides and wakes a waiting reader.
    pub fn shutdown(&self) {
        // Fails if the peer has already reset the connection.
        let _ = self.inner.shutdown(std::net::Shutdown::Both);
    }
}

/// The time limit of a write.
#[derive(Debug, Clone, Copy)]
struct WriteTimeout {
    start: Instant,
    timeout: Duration,
}

impl WriteTimeout {
    fn start(timeout: Duration) -> Self {
        Self { start: Instant::now(), timeout }
    }

    /// Pauses for [`WRITE_PAUSE`] while the socket's buffer is full, or fails after the time limit.
    fn pause(&self) -> io::Result<()> {
        if self.start.elapsed() >= self.timeout {
            return Err(io::ErrorKind::TimedOut.into());
        }
        sleep(WRITE_PAUSE);
        Ok(())
    }
}

/// Repeats a wait that was interrupted by a signal, with the remaining time.
fn retry_interrupted(timeout: Duration, mut wait: impl FnMut(Duration) -> io::Result<()>) -> io::Result<()> {
    let start = Instant::now();
    loop {
        let remaining = timeout.saturating_sub(start.elapsed());
        match wait(remaining) {
            Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
            result => return result,
        }
    }
}

#[cfg(test)]
mod tests;
