//! Starts coroutines and threads.

use std::io;
use std::panic::{catch_unwind, AssertUnwindSafe};

/// The stack of a thread that waits, and does little when it is woken, in bytes.
pub const SMALL_STACK: usize = 128 * 1024;

/// The exit code of a process that ends for an internal fault (`EX_SOFTWARE`).
const EXIT_INTERNAL_FAULT: i32 = 70;

/// Starts a thread of the system, for what would block the worker of the coroutines.
///
/// # Errors
/// The thread cannot be started.
pub fn thread(name: &str, stack_bytes: usize, run: impl FnOnce() + Send + 'static) -> io::Result<()> {
    std::thread::Builder::new().name(name.into()).stack_size(stack_bytes).spawn(run).map(drop)
}

/// A coroutine that could not be started: there is no memory for its stack. Its closure has been dropped.
#[derive(Debug, thiserror::Error)]
#[error("cannot start {name}: {why}")]
pub struct SpawnError {
    /// The coroutine's name.
    pub name: &'static str,
    /// The cause.
    pub why: String,
}

impl From<SpawnError> for io::Error {
    fn from(error: SpawnError) -> Self {
        Self::new(io::ErrorKind::OutOfMemory, error)
    }
}

/// Starts an actor that others cannot do without: should it panic, or not start, the process ends, so that the
/// platform restarts it instead of keeping one that answers nobody.
pub fn spawn_vital(name: &'static str, stack_words: usize, run: impl FnOnce() + Send + 'static) {
    let started = spawn(name, stack_words, move || {
        let guard = ExitOnPanic(name);
        run();
        drop(guard);
    });
    if started.is_err() {
        log::error!(actor = name; "the process ends: a vital actor could not be started");
        std::process::exit(EXIT_INTERNAL_FAULT);
    }
}

/// Ends the process if it is dropped by a panic; holds the actor's name.
struct ExitOnPanic(&'static str);

impl Drop for ExitOnPanic {
    fn drop(&mut self) {
        if std::thread::panicking() {
            log::error!(actor = self.0; "the process ends: a vital actor panicked");
            std::process::exit(EXIT_INTERNAL_FAULT);
        }
    }
}

/// Starts a coroutine with a stack of so many words. What it owns is dropped as it unwinds, should it panic.
///
/// # Errors
/// There is no memory for its stack, which `may` reports by a panic in its caller. It is logged, too.
pub fn spawn(
    name: &'static str,
    stack_words: usize,
    run: impl FnOnce() + Send + 'static,
) -> Result<(), SpawnError> {
    let builder = may::coroutine::Builder::new().name(name.into()).stack_size(stack_words);
    let start = || may::go!(builder, run).map(drop);
    let why = match catch_unwind(AssertUnwindSafe(start)) {
        Ok(Ok(())) => return Ok(()),
        Ok(Err(e)) => e.to_string(),
        Err(_) => "no memory for its stack".to_string(),
    };
    log::error!(coroutine = name, error:% = why; "a coroutine could not be started");
    Err(SpawnError { name, why })
}

/// Starts a coroutine, and calls `on_end` once it has ended: with its result, or with none if it panicked or was never
/// started.
pub fn spawn_reporting<T: Send + 'static>(
    name: &'static str,
    stack_words: usize,
    run: impl FnOnce() -> T + Send + 'static,
    on_end: impl FnOnce(Option<T>) + Send + 'static,
) {
    let report = ReportOnDrop { on_end: Some(on_end), result: None };
    // If it does not start, the closure is dropped, and `report` with it.
    let _ = spawn(name, stack_words, move || {
        let mut report = report;
        report.result = Some(run());
    });
}

/// Reports the result, if there is one by then, when it is dropped.
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
