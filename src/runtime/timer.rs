//! A timer thread that wakes one actor.

use std::io;
use std::sync::mpsc::{channel, Receiver, RecvTimeoutError, Sender};
use std::time::Duration;

use crate::api::Nanos;
use crate::runtime::{thread, Clock};

/// A timer for one actor: a thread that sleeps until the earliest time it was set to, then calls `on_fire`.
#[derive(Debug, Clone)]
pub struct Timer {
    requests: Sender<Nanos>,
    /// The earliest time requested since the timer last fired.
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

    /// Requests that the timer fires at `at`, unless it was already set to an earlier time.
    pub fn set(&mut self, at: Nanos) {
        if self.next.is_none_or(|next| at < next) {
            self.next = Some(at);
            // The send cannot fail: the thread ends only after the last sender is dropped.
            let _ = self.requests.send(at);
        }
    }

    /// Must be called after the timer has fired, before it is set again.
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

const STACK_BYTES: usize = 64 * 1024;

#[cfg(test)]
mod tests;
