//! Waiting and waking: every wait of a coroutine but those for a socket goes through this module.
//!
//! `may` resumes a coroutine on its timer thread when one of its timers expires. It then runs beside the worker, although
//! the timers of sockets and the state for cancellations may be used by one thread only, and memory is corrupted. So this
//! module uses no timer of `may`: coroutines wait without a time limit, and a thread of this module wakes them, which
//! only puts them into the queue of the worker. `clippy.toml` keeps the other modules from calling `may` for a wait.

use std::sync::{Arc, Condvar, Mutex, OnceLock, PoisonError};
use std::time::{Duration, Instant};

use may::sync::Blocker;
use sleepers::Sleepers;
use wake_queue::{WakeKey, WakeQueue};

use crate::net::log_limit::LogRateLimit;
use crate::runtime::spawn::exit_after_internal_fault;
use crate::runtime::{lock, nanos, thread};

mod sleepers;
mod wake_queue;

/// Stack size of the thread that wakes, in bytes.
const STACK_BYTES: usize = 64 * 1024;
/// A wait that ends this long after its time is logged; all time limits have a slack of 50 ms.
const LATE_WAKE: Duration = Duration::from_millis(50);
/// Minimum interval between log lines about such waits.
const LATE_WAKE_LOG_INTERVAL: Duration = Duration::from_secs(1);

/// One wait of the coroutine or thread that creates it.
pub(super) struct Waiter(Arc<Blocker>);

/// Ends the wait of a [`Waiter`], even if it has not begun yet.
#[derive(Debug)]
pub(super) struct Waker(Arc<Blocker>);

impl Waiter {
    /// Creates a wait of the caller.
    pub(super) fn new() -> Self {
        Self(Blocker::current())
    }

    pub(super) fn waker(&self) -> Waker {
        Waker(self.0.clone())
    }

    /// Waits until it is woken.
    #[allow(clippy::disallowed_methods, reason = "a wait without a time limit uses no timer")]
    pub(super) fn wait(&self) {
        // Fails only if the coroutine is cancelled, which no coroutine is.
        let _ = self.0.park(None);
    }

    /// Waits until it is woken, or for `timeout`.
    pub(super) fn wait_timeout(&self, timeout: Duration) {
        let wake_times = WakeTimes::global();
        let due = Instant::now() + timeout;
        let entry = wake_times.add(due, self.waker());
        self.wait();
        drop(entry);
        wake_times.late_wakes.record(Instant::now().saturating_duration_since(due));
    }
}

impl Waker {
    /// Ends the wait.
    pub(super) fn wake(self) {
        self.0.unpark();
    }
}

/// Suspends the calling coroutine, or blocks the calling thread, for `duration`. A coroutine goes on after the worker has
/// polled its sockets at least once, so that coroutines that sleep now and then do not keep others from reading.
pub fn sleep(duration: Duration) {
    let sleepers = if may::coroutine::is_coroutine() { Sleepers::global() } else { None };
    match sleepers {
        Some(sleepers) => sleepers.sleep(duration),
        None => Waiter::new().wait_timeout(duration),
    }
}

/// Lets the other runnable coroutines run first. Sockets are not polled until no coroutine is runnable.
#[allow(clippy::disallowed_methods, reason = "the worker puts the coroutine into its own queue")]
pub fn yield_now() {
    may::coroutine::yield_now();
}

/// When which waits end. One thread wakes them.
#[derive(Default)]
struct WakeTimes {
    queue: Mutex<WakeQueue>,
    /// Signals that the earliest time has changed.
    changed: Condvar,
    late_wakes: LateWakes,
}

impl WakeTimes {
    /// Returns the queue of the process, and starts its thread at the first call. Exits the process if that fails: no
    /// wait would end.
    fn global() -> &'static Self {
        static WAKE_TIMES: OnceLock<WakeTimes> = OnceLock::new();
        static STARTED: OnceLock<()> = OnceLock::new();
        let wake_times = WAKE_TIMES.get_or_init(Self::default);
        STARTED.get_or_init(|| {
            if let Err(error) = thread("wake times", STACK_BYTES, || wake_times.run()) {
                exit_after_internal_fault("wake times", &error);
            }
        });
        wake_times
    }

    /// Adds a wait that ends at `at`, until the returned entry is dropped.
    fn add(&'static self, at: Instant, waker: Waker) -> WakeEntry {
        let mut queue = lock(&self.queue);
        let key = queue.add(at, waker);
        let is_earliest = queue.first() == Some(key);
        drop(queue);
        if is_earliest {
            self.changed.notify_one();
        }
        WakeEntry { wake_times: self, key }
    }

    /// Wakes the waits at their times.
    fn run(&self) {
        let mut queue = lock(&self.queue);
        loop {
            let now = Instant::now();
            let due = queue.take_due(now);
            if !due.is_empty() {
                drop(queue);
                due.into_iter().for_each(Waker::wake);
                queue = lock(&self.queue);
                continue;
            }
            queue = match queue.first() {
                Some((at, _)) => {
                    self.changed.wait_timeout(queue, at - now).unwrap_or_else(PoisonError::into_inner).0
                }
                None => self.changed.wait(queue).unwrap_or_else(PoisonError::into_inner),
            };
        }
    }
}

/// Logs waits that ended late: the worker was busy for as long, or the process was held up.
struct LateWakes {
    start: Instant,
    log: Mutex<LogRateLimit>,
}

impl Default for LateWakes {
    fn default() -> Self {
        Self { start: Instant::now(), log: Mutex::new(LogRateLimit::new(nanos(LATE_WAKE_LOG_INTERVAL))) }
    }
}

impl LateWakes {
    fn record(&self, late: Duration) {
        if late < LATE_WAKE {
            return;
        }
        if let Some(occurrences) = lock(&self.log).record(nanos(self.start.elapsed())) {
            log::warn!(late_ms = late.as_millis() as u64, occurrences = occurrences; "coroutine resumed late");
        }
    }
}

/// The entry of a wait. Dropping it removes the wait from the queue.
struct WakeEntry {
    wake_times: &'static WakeTimes,
    key: WakeKey,
}

impl Drop for WakeEntry {
    fn drop(&mut self) {
        lock(&self.wake_times.queue).remove(self.key);
    }
}

#[cfg(test)]
mod tests;
