//! Streams, clocks, permits and coroutines: the few things that every actor needs.

use std::io::{self, Read, Write};
use std::net::SocketAddr;
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::sync::atomic::{AtomicU32, AtomicUsize, Ordering};
use std::sync::mpsc::RecvTimeoutError;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use may::net::TcpStream;

use crate::api::Nanos;
use crate::net::dial_error::is_own_lack;

/// The engine's clock: Unix time in nanoseconds at the start, steady from there on.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    base: Nanos,
    start: Instant,
}

impl Clock {
    /// A clock that starts now.
    pub fn start() -> Self {
        Self { base: unix_now(), start: Instant::now() }
    }

    /// The time.
    pub fn now(&self) -> Nanos {
        self.base + nanos(self.start.elapsed())
    }

    /// Whether the wall clock was stepped since the start: it stands further off this clock than the look at it took.
    pub fn wall_stepped(&self) -> bool {
        let (before, wall, after) = (self.now(), unix_now(), self.now());
        wall.saturating_add(WALL_STEP) < before || wall > after.saturating_add(WALL_STEP)
    }
}

/// The wall clock is set right by less than this without a step.
const WALL_STEP: Nanos = 50_000_000;

/// Unix time in nanoseconds, by the wall clock.
fn unix_now() -> Nanos {
    nanos(SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default())
}

/// A span in nanoseconds.
pub fn nanos(span: Duration) -> Nanos {
    u64::try_from(span.as_nanos()).unwrap_or(u64::MAX)
}

/// An alarm for one actor: a thread that sleeps until the time it was last set to, then calls `ring`.
///
/// `may`'s own timers are not used for times that vary. Its `recv_timeout` waits the whole span again when it
/// is woken a moment early, so that it was late by 13.6 ms in the median on spans of 3 to 30 ms and by up to
/// the span itself; and it keeps a list for each span of a different length for good.
#[derive(Debug, Clone)]
pub struct Alarm {
    times: std::sync::mpsc::Sender<Nanos>,
    set: Option<Nanos>,
}

impl Alarm {
    /// Starts the thread.
    ///
    /// # Errors
    /// There is no thread to be had.
    pub fn start(clock: Clock, ring: impl Fn() + Send + 'static) -> io::Result<Self> {
        let (times, heard) = std::sync::mpsc::channel::<Nanos>();
        let run = move || {
            let mut due: Option<Nanos> = None;
            loop {
                let left = due.map(|at| Duration::from_nanos(at.saturating_sub(clock.now())));
                let news = match left {
                    Some(left) => heard.recv_timeout(left),
                    None => heard.recv().map_err(|_| RecvTimeoutError::Disconnected),
                };
                match news {
                    Ok(at) => due = Some(due.map_or(at, |d| d.min(at))),
                    Err(RecvTimeoutError::Timeout) => {
                        due = None;
                        ring();
                    }
                    Err(RecvTimeoutError::Disconnected) => return,
                }
            }
        };
        thread("alarm", ALARM_STACK, run)?;
        Ok(Self { times, set: None })
    }

    /// Makes sure that it rings at `at`, or earlier if it was set to that.
    pub fn set(&mut self, at: Nanos) {
        if self.set.is_none_or(|set| at < set) {
            self.set = Some(at);
            // The thread ends with its last sender only.
            let _ = self.times.send(at);
        }
    }

    /// It has rung: the next time is set anew.
    pub fn rung(&mut self) {
        self.set = None;
    }
}

const ALARM_STACK: usize = 64 * 1024;

/// The stack of a thread that waits, and does little when it is woken.
pub const SMALL_STACK: usize = 128 * 1024;

/// Starts a thread of the system, for what would hold up the worker of the coroutines.
///
/// # Errors
/// There is none to be had.
pub fn thread(name: &str, stack: usize, run: impl FnOnce() + Send + 'static) -> io::Result<()> {
    std::thread::Builder::new().name(name.into()).stack_size(stack).spawn(run).map(drop)
}

/// What a mutex guards, whoever panicked while holding it. Not to be held over a yield.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Time-outs of sockets are rounded up to a multiple of this: `may` keeps a list for each length for good.
const COARSE: Duration = Duration::from_millis(50);

fn coarse(within: Duration) -> Duration {
    let steps = within.as_nanos().div_ceil(COARSE.as_nanos()).max(1);
    COARSE * u32::try_from(steps).unwrap_or(u32::MAX)
}

/// A bound of sockets of one kind, or of messages.
#[derive(Debug, Clone)]
pub struct Permits(Arc<(AtomicUsize, usize)>);

/// The right to hold one of them; given back when dropped.
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
    /// Reads in a row that found something at once.
    reads: AtomicU32,
    _permit: Option<Permit>,
}

/// Why something was not written whole.
#[derive(Debug)]
pub struct Unwritten {
    /// Some of it was, and may have been read.
    pub begun: bool,
    /// The cause.
    pub why: io::Error,
}

/// Between two tries at a socket that takes no more.
const WRITE_PAUSE: Duration = Duration::from_millis(1);

/// After so many reads in a row that found something at once, a reader leaves the worker to others...
const READS_IN_A_ROW: u32 = 8;
/// ...for so long. The worker looks for events only once nothing is runnable, so that a mere yield would keep all
/// other sockets unread.
const READ_PAUSE: Duration = Duration::from_millis(1);

/// A dial that fails for a moment is begun so often in all...
const DIALS: u32 = 3;
/// ...with this pause between.
const DIAL_PAUSE: Duration = Duration::from_millis(5);

/// Whether a dial failed for want of something that may be there a moment later: it says nothing of the peer.
fn momentary(error: &io::Error) -> bool {
    use io::ErrorKind::{Interrupted, NetworkUnreachable, WouldBlock};
    is_own_lack(error) || matches!(error.kind(), Interrupted | NetworkUnreachable | WouldBlock)
}

/// Waits again, for what is left of this time, where a wait was interrupted.
fn not_interrupted(within: Duration, mut wait: impl FnMut(Duration) -> io::Result<()>) -> io::Result<()> {
    let start = Instant::now();
    loop {
        let left = within.saturating_sub(start.elapsed());
        match wait(left) {
            Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
            done => return done,
        }
    }
}

/// Connects within this time, and again where that fails for a moment only.
fn tried_again<T>(
    within: Duration,
    mut connect: impl FnMut(Duration) -> io::Result<T>,
    pause: impl Fn(),
) -> io::Result<T> {
    let start = Instant::now();
    for _ in 1..DIALS {
        match connect(within.saturating_sub(start.elapsed())) {
            Err(e) if momentary(&e) && start.elapsed() < within => pause(),
            done => return done,
        }
    }
    connect(within.saturating_sub(start.elapsed()))
}

impl Stream {
    /// Wraps an accepted connection.
    ///
    /// # Errors
    /// The socket's options cannot be set.
    pub fn new(inner: TcpStream, permit: Option<Permit>) -> io::Result<Self> {
        inner.set_nodelay(true)?;
        Ok(Self { inner, reads: AtomicU32::new(0), _permit: permit })
    }

    /// Opens a connection. What fails for a moment only is tried again.
    ///
    /// # Errors
    /// It is refused or not up in time.
    pub fn dial(addr: &SocketAddr, within: Duration, permit: Option<Permit>) -> io::Result<Self> {
        let connect = |left| TcpStream::connect_timeout(addr, coarse(left));
        Self::new(tried_again(within, connect, || may::coroutine::sleep(DIAL_PAUSE))?, permit)
    }

    /// Waits until there is something to read, for so long at most. Only one coroutine may wait.
    ///
    /// # Errors
    /// `TimedOut`, or the connection has failed.
    pub fn read(&self, buf: &mut [u8], within: Duration) -> io::Result<usize> {
        self.read_noting(buf, within, |_| ())
    }

    /// The same; `note` is told before each look at the socket that bytes may be taken from it, and before each wait that
    /// none were.
    ///
    /// # Errors
    /// As [`Stream::read`].
    pub fn read_noting(&self, buf: &mut [u8], within: Duration, note: impl Fn(bool)) -> io::Result<usize> {
        loop {
            note(true);
            match self.read_now(buf) {
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {
                    note(false);
                    self.wait(within)?;
                }
                done => {
                    self.leave_room();
                    return done;
                }
            }
        }
    }

    /// Lets others run, and their sockets be looked at, where this one has been read often without a wait: a peer that
    /// sends without end would have the worker to itself otherwise.
    pub fn leave_room(&self) {
        if self.reads.load(Ordering::Relaxed) >= READS_IN_A_ROW {
            self.reads.store(0, Ordering::Relaxed);
            may::coroutine::sleep(READ_PAUSE);
        }
    }

    /// Reads what is there, without waiting.
    ///
    /// # Errors
    /// `WouldBlock`, or the connection has failed.
    pub fn read_now(&self, buf: &mut [u8]) -> io::Result<usize> {
        loop {
            match (&mut self.inner.inner()).read(buf) {
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Ok(n) => {
                    self.reads.fetch_add(1, Ordering::Relaxed);
                    return Ok(n);
                }
                Err(e) => {
                    self.reads.store(0, Ordering::Relaxed);
                    return Err(e);
                }
            }
        }
    }

    /// Waits until there is something to read or the peer has ended it, for so long at most. Only one coroutine may wait.
    ///
    /// # Errors
    /// `TimedOut`, or the connection has failed.
    pub fn wait(&self, within: Duration) -> io::Result<()> {
        not_interrupted(within, |left| {
            self.inner.set_read_timeout(Some(coarse(left)))?;
            self.inner.peek(&mut [0]).map(drop)
        })
    }

    /// Looks at what is there, without waiting: nothing is there once the peer has ended its way.
    fn peek_now(&self) -> io::Result<usize> {
        loop {
            match self.inner.inner().peek(&mut [0]) {
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                peeked => return peeked,
            }
        }
    }

    /// Whether bytes wait to be read or the peer has closed, without waiting.
    pub fn readable(&self) -> bool {
        !matches!(self.peek_now(), Err(e) if e.kind() == io::ErrorKind::WouldBlock)
    }

    /// Whether bytes wait to be read, without waiting. The peer's end does not count.
    pub fn holds_unread(&self) -> bool {
        self.peek_now().is_ok_and(|n| n > 0)
    }

    /// Whether the peer has not ended it, without waiting. What is not yet read hides an end behind it.
    pub fn open(&self) -> bool {
        self.peek_now().map_or_else(|e| e.kind() == io::ErrorKind::WouldBlock, |n| n > 0)
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

    /// Writes what `current` gives at the moment at which the first byte can go out, or nothing where that is nothing by
    /// then: a socket may be full for long, and what is wanted changes meanwhile. Nothing is begun once the peer has
    /// ended the connection, and only while what was given is `timely`: it is asked for anew where the process was held
    /// up since. Once it has begun, it goes on only as long as `still` holds.
    ///
    /// # Errors
    /// As [`Stream::write_all`], or it had begun and is not to be ended: the connection is of no further use.
    pub fn write_current(
        &self,
        mut current: impl FnMut() -> Option<Vec<u8>>,
        timely: impl Fn() -> bool,
        still: impl Fn() -> bool,
        within: Duration,
    ) -> Result<(), Unwritten> {
        let start = Instant::now();
        let Some(mut bytes) = current() else { return Ok(()) };
        let mut begun = false;
        let failed = |begun, why: io::Error| Err(Unwritten { begun, why });
        while !bytes.is_empty() {
            if !begun && !self.open() {
                return failed(begun, io::ErrorKind::NotConnected.into());
            }
            if !begun && !timely() {
                match current() {
                    Some(now) => bytes = now,
                    None => return Ok(()),
                }
                continue;
            }
            match (&mut self.inner.inner()).write(&bytes) {
                Ok(0) => return failed(begun, io::ErrorKind::WriteZero.into()),
                Ok(n) => {
                    bytes.drain(..n);
                    begun = true;
                }
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {
                    if start.elapsed() >= within {
                        return failed(begun, io::ErrorKind::TimedOut.into());
                    }
                    may::coroutine::sleep(WRITE_PAUSE);
                    match begun {
                        true if !still() => return failed(begun, io::ErrorKind::ConnectionAborted.into()),
                        true => {}
                        false => match current() {
                            Some(now) => bytes = now,
                            None => return Ok(()),
                        },
                    }
                }
                Err(e) => return failed(begun, e),
            }
        }
        Ok(())
    }

    /// Ends the way out: the peer reads to the end of what was written.
    pub fn end_writing(&self) {
        // Shutting what the peer has reset already is no news.
        let _ = self.inner.shutdown(std::net::Shutdown::Write);
    }

    /// Ends both ways; a reader that waits is woken.
    pub fn shut(&self) {
        // Shutting what the peer has reset already is no news.
        let _ = self.inner.shutdown(std::net::Shutdown::Both);
    }
}

/// A coroutine that could not be started: there is no memory for its stack. What it was to do has been dropped.
#[derive(Debug)]
pub struct NotStarted {
    /// Its name.
    pub name: &'static str,
    /// The cause.
    pub why: String,
}

impl std::fmt::Display for NotStarted {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "cannot start {}: {}", self.name, self.why)
    }
}

impl std::error::Error for NotStarted {}

impl From<NotStarted> for io::Error {
    fn from(e: NotStarted) -> Self {
        Self::new(io::ErrorKind::OutOfMemory, e)
    }
}

/// Starts an actor that others cannot do without: should it panic, or not start, the process ends, so that the
/// platform starts it anew instead of keeping one that answers nobody.
pub fn spawn_vital(name: &'static str, stack_words: usize, f: impl FnOnce() + Send + 'static) {
    let started = spawn(name, stack_words, move || {
        let guard = EndOnPanic(name);
        f();
        drop(guard);
    });
    if started.is_err() {
        log::error!("the process ends: it cannot do without the actor '{name}'");
        std::process::exit(FAULT);
    }
}

struct EndOnPanic(&'static str);

/// The exit code of a process that ends for a fault of its own.
const FAULT: i32 = 70;

impl Drop for EndOnPanic {
    fn drop(&mut self) {
        if std::thread::panicking() {
            log::error!("the actor '{}' has failed: the process ends", self.0);
            std::process::exit(FAULT);
        }
    }
}

/// Starts a coroutine with a stack of so many words. What is dropped with one that panics is dropped as it unwinds.
///
/// # Errors
/// There is no memory for its stack, which is logged, too: `may` reports that by a panic in its caller.
pub fn spawn(
    name: &'static str,
    stack_words: usize,
    f: impl FnOnce() + Send + 'static,
) -> Result<(), NotStarted> {
    let builder = may::coroutine::Builder::new().name(name.into()).stack_size(stack_words);
    let begin = || may::go!(builder, f).map(drop);
    let why = match catch_unwind(AssertUnwindSafe(begin)) {
        Ok(Ok(())) => return Ok(()),
        Ok(Err(e)) => e.to_string(),
        Err(_) => "no memory for its stack".to_string(),
    };
    let failed = NotStarted { name, why };
    log::error!("{failed}");
    Err(failed)
}

/// Starts a coroutine, and tells how it ended: by its result, or by nothing where it panicked or was never started.
pub fn spawn_told<T: Send + 'static>(
    name: &'static str,
    stack_words: usize,
    f: impl FnOnce() -> T + Send + 'static,
    ended: impl FnOnce(Option<T>) + Send + 'static,
) {
    let told = Told(Some(ended), None);
    // Where it does not start, it is told as this is dropped.
    let _ = spawn(name, stack_words, move || {
        let mut told = told;
        told.1 = Some(f());
    });
}

/// Tells the result, if there is one by then, as it is dropped.
struct Told<T, F: FnOnce(Option<T>)>(Option<F>, Option<T>);

impl<T, F: FnOnce(Option<T>)> Drop for Told<T, F> {
    fn drop(&mut self) {
        if let Some(ended) = self.0.take() {
            ended(self.1.take());
        }
    }
}

#[cfg(test)]
mod tests;
