//! Streams, clocks, permits and coroutines: the few things that every actor needs.

use std::io::{self, Read, Write};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use may::net::TcpStream;

use crate::api::Nanos;

/// The engine's clock: Unix time in nanoseconds at the start, steady from there on.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    base: Nanos,
    start: Instant,
}

impl Clock {
    /// A clock that starts now.
    pub fn start() -> Self {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Self { base: nanos(unix), start: Instant::now() }
    }

    /// The time.
    pub fn now(&self) -> Nanos {
        self.base + nanos(self.start.elapsed())
    }
}

/// A span in nanoseconds.
pub fn nanos(span: Duration) -> Nanos {
    u64::try_from(span.as_nanos()).unwrap_or(u64::MAX)
}

/// A bound of sockets of one kind.
#[derive(Debug, Clone)]
pub struct Permits(Arc<(AtomicUsize, usize)>);

/// The right to hold one socket; given back when dropped.
#[derive(Debug)]
pub struct Permit(Permits);

impl Permits {
    /// So many at once.
    pub fn new(most: usize) -> Self {
        Self(Arc::new((AtomicUsize::new(0), most)))
    }

    /// One of them, unless all are given out.
    pub fn take(&self) -> Option<Permit> {
        let (held, most) = &*self.0;
        let more = |n: usize| (n < *most).then_some(n + 1);
        held.fetch_update(Ordering::AcqRel, Ordering::Acquire, more).ok()?;
        Some(Permit(self.clone()))
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.0 .0 .0.fetch_sub(1, Ordering::AcqRel);
    }
}

/// A connection that one coroutine reads while others write or shut it: one descriptor, no clone.
#[derive(Debug)]
pub struct Stream {
    inner: TcpStream,
    _permit: Option<Permit>,
}

/// Between two tries at a socket that takes no more.
const WRITE_PAUSE: Duration = Duration::from_millis(1);

impl Stream {
    /// Wraps an accepted connection.
    ///
    /// # Errors
    /// The socket's options cannot be set.
    pub fn new(inner: TcpStream, permit: Option<Permit>) -> io::Result<Self> {
        inner.set_nodelay(true)?;
        Ok(Self { inner, _permit: permit })
    }

    /// Opens a connection.
    ///
    /// # Errors
    /// It is refused or not up in time.
    pub fn dial(addr: &SocketAddr, within: Duration, permit: Option<Permit>) -> io::Result<Self> {
        Self::new(TcpStream::connect_timeout(addr, within.max(Duration::from_millis(1)))?, permit)
    }

    /// Waits until there is something to read, for so long at most. Only one coroutine may wait.
    ///
    /// # Errors
    /// `TimedOut`, or the connection has failed.
    pub fn read(&self, buf: &mut [u8], within: Duration) -> io::Result<usize> {
        loop {
            match (&mut self.inner.inner()).read(buf) {
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                Err(e) if e.kind() == io::ErrorKind::Interrupted => continue,
                done => return done,
            }
            self.inner.set_read_timeout(Some(within.max(Duration::from_millis(1))))?;
            self.inner.peek(&mut [0])?;
        }
    }

    /// Whether bytes wait to be read or the peer has closed, without waiting.
    pub fn readable(&self) -> bool {
        !matches!(self.inner.inner().peek(&mut [0]), Err(e) if e.kind() == io::ErrorKind::WouldBlock)
    }

    /// Writes all, or fails after so long.
    ///
    /// # Errors
    /// The connection has failed or takes no more.
    pub fn write_all(&self, mut bytes: &[u8], within: Duration) -> io::Result<()> {
        let start = Instant::now();
        while !bytes.is_empty() {
            match (&mut self.inner.inner()).write(bytes) {
                Ok(0) => return Err(io::ErrorKind::WriteZero.into()),
                Ok(n) => bytes = &bytes[n..],
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {
                    if start.elapsed() >= within {
                        return Err(io::ErrorKind::TimedOut.into());
                    }
                    may::coroutine::sleep(WRITE_PAUSE);
                }
                Err(e) => return Err(e),
            }
        }
        Ok(())
    }

    /// Ends both ways; a reader that waits is woken.
    pub fn shut(&self) {
        // Shutting what the peer has reset already is no news.
        let _ = self.inner.shutdown(std::net::Shutdown::Both);
    }
}

/// Starts a coroutine with a stack of so many words. One that cannot be started is logged: there is no
/// memory for it, and its actor's mailbox is then closed.
pub fn spawn(name: &'static str, stack_words: usize, f: impl FnOnce() + Send + 'static) {
    let builder = may::coroutine::Builder::new().name(name.into()).stack_size(stack_words);
    if let Err(e) = may::go!(builder, f) {
        log::error!("cannot start {name}: {e}");
    }
}
