//! Starts coroutines and threads.

use std::io;
use std::panic::{catch_unwind, AssertUnwindSafe};

/// Stack size in bytes of a thread that mostly waits and does little work.
pub const SMALL_STACK: usize = 128 * 1024;

/// The exit code after an internal fault (`EX_SOFTWARE`).
const EXIT_INTERNAL_FAULT: i32 = 70;

/// Starts an operating system thread, for work that would block the worker of the coroutines.
///
/// # Errors
/// The thread cannot be started.
pub fn thread(name: &str, stack_bytes: usize, run: impl FnOnce() + Send + 'static) -> io::Result<()> {
    std::thread::Builder::new().name(name.into()).stack_size(stack_bytes).spawn(run).map(drop)
}

/// A coroutine could not be started because its stack could not be allocated. Its closure has been dropped.
#[derive(Debug, thiserror::Error)]
#[error("cannot start {name}: {reason}")]
pub struct SpawnError {
    /// The coroutine's name, as passed to [`spawn`].
    pub name: &'static str,
    /// The cause, as plain text.
    pub reason: String,
}

impl From<SpawnError> for io::Error {
    fn from(error: SpawnError) -> Self {
        Self::new(io::ErrorKind::OutOfMemory, error)
    }
}

/// Starts an actor that the process cannot work without. If the actor panics or cannot be started, the process exits,
/// so that the platform restarts it instead of keeping a process that answers no queries.
pub fn spawn_critical(name: &'static str, stack_words: usize, run: impl FnOnce() + Send + 'static) {
    let started = spawn(name, stack_words, move || {
        let guard = ExitOnPanic(name);
        run();
        drop(guard);
    });
    if let Err(error) = started {
        exit_after_internal_fault(name, &error);
    }
}

/// Exits the process: a part of this name that it cannot work without could not be started.
pub(super) fn exit_after_internal_fault(name: &str, error: &dyn std::error::Error) -> ! {
    log::error!(actor = name, error:% = error; "exiting: a critical actor could not be started");
    std::process::exit(EXIT_INTERNAL_FAULT);
}

/// Exits the process if dropped during a panic. Contains the actor's name.
struct ExitOnPanic(&'static str);

impl Drop for ExitOnPanic {
    fn drop(&mut self) {
        if std::thread::panicking() {
            log::error!(actor = self.0; "exiting: a critical actor panicked");
            std::process::exit(EXIT_INTERNAL_FAULT);
        }
    }
}

/// Starts a coroutine with a stack of `stack_words` words. If it panics, unwinding drops the values that it owns.
///
/// # Errors
/// The stack could not be allocated, which `may` reports by a panic in its caller. The error is also logged.
pub fn spawn(
    name: &'static str,
    stack_words: usize,
    run: impl FnOnce() + Send + 'static,
) -> Result<(), SpawnError> {
    let builder = may::coroutine::Builder::new().name(name.into()).stack_size(stack_words);
    let start = || may::go!(builder, run).map(drop);
    let reason = match catch_unwind(AssertUnwindSafe(start)) {
        Ok(Ok(())) => return Ok(()),
        Ok(Err(e)) => e.to_string(),
        Err(_) => "out of memory for the stack".to_string(),
    };
    log::error!(coroutine = name, error:% = reason; "coroutine could not be started");
    Err(SpawnError { name, reason })
}

/// Starts a coroutine, and calls `on_end` once after its end: with its result, or with `None` if it panicked or could
/// not be started.
pub fn spawn_reporting<T: Send + 'static>(
    name: &'static str,
    stack_words: usize,
    run: impl FnOnce() -> T + Send + 'static,
    on_end: impl FnOnce(Option<T>) + Send + 'static,
) {
    let report = ReportOnDrop { on_end: Some(on_end), result: None };
    // If the start fails, the closure is dropped together with `report`, which then calls `on_end`.
    let _ = spawn(name, stack_words, move || {
        let mut report = report;
        report.result = Some(run());
    });
}

/// Calls `on_end` when dropped, with the result if there is one.
struct ReportOnDrop<T, F: FnOnce(Option<T>)> {
    on_end: Option<F>,
    result: Option<T>,
}

impl<T, F: FnOnce(Option<T>)> Drop for ReportOnDrop<T, F> {
    fn drop(&mut self) {
        if let Some(on_end) = self.on_end.take() {
            on_end(self.result.take());
        }
    }
}

#[cfg(test)]
mod tests;
