//! A timer for one actor.

use std::io;
use std::sync::mpsc::{channel, Receiver, RecvTimeoutError, Sender};
use std::time::Duration;

use crate::api::Nanos;
use crate::runtime::{thread, Clock};

/// A timer for one actor: a thread that sleeps until the time it was last set to, then calls `on_fire`.
///
/// `may`'s own timers are not used for spans that vary. Its `recv_timeout` waits the whole span again when it is
/// woken a moment early, and it keeps a list for each length of span for good.
#[derive(Debug, Clone)]
pub struct Timer {
    requests: Sender<Nanos>,
    /// When it fires next, as far as its owner has asked for it.
    next: Option<Nanos>,
}

impl Timer {
    /// Starts the thread.
    ///
    /// # Errors
    /// The thread cannot be started.
    pub fn start(clock: Clock, on_fire: impl Fn() + Send + 'static) -> io::Result<Self> {
        let (requests, inbox) = channel();
        thread("timer", STACK_BYTES, move || run(clock, &inbox, on_fire))?;
        Ok(Self { requests, next: None })
    }

    /// Makes sure that it fires at `at`, or earlier if it was set to that.
    pub fn set(&mut self, at: Nanos) {
        if self.next.is_none_or(|next| at < next) {
            self.next = Some(at);
            // The thread ends with its last sender only.
            let _ = self.requests.send(at);
        }
    }

    /// To be called when it has fired: the next time is set anew.
    pub fn fired(&mut self) {
        self.next = None;
    }
}

/// Fires at the earliest of the times requested since it last fired.
fn run(clock: Clock, requests: &Receiver<Nanos>, on_fire: impl Fn()) {
    let mut due: Option<Nanos> = None;
    loop {
        let remaining = due.map(|at| Duration::from_nanos(at.saturating_sub(clock.now())));
        let request = match remaining {
            Some(remaining) => requests.recv_timeout(remaining),
            None => requests.recv().map_err(|_| RecvTimeoutError::Disconnected),
        };
        match request {
            Ok(at) => due = Some(due.map_or(at, |due| due.min(at))),
            Err(RecvTimeoutError::Timeout) => {
                due = None;
                on_fire();
            }
            Err(RecvTimeoutError::Disconnected) => return,
        }
    }
}

/// The stack of the timer's thread, in bytes.
const STACK_BYTES: usize = 64 * 1024;

#[cfg(test)]
mod tests;
