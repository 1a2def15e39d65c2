//! A channel between coroutines and threads. An empty one holds no memory for messages, while the channels of `may`
//! allocate room for 64 of them up front, which a process with hundreds of connections cannot afford.

use std::collections::VecDeque;
use std::fmt;
use std::sync::mpsc::RecvTimeoutError;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use crate::runtime::lock;
use crate::runtime::wait::{Waiter, Waker};

/// Creates a channel.
pub fn channel<T>() -> (Sender<T>, Receiver<T>) {
    let state = State { messages: VecDeque::new(), senders: 1, has_receiver: true, waiting: None };
    let shared = Arc::new(Mutex::new(state));
    (Sender(shared.clone()), Receiver(shared))
}

struct State<T> {
    messages: VecDeque<T>,
    senders: usize,
    has_receiver: bool,
    /// Wakes the receiver while it waits.
    waiting: Option<Waker>,
}

/// The sending side; clones send to the same receiver.
pub struct Sender<T>(Arc<Mutex<State<T>>>);

/// The receiving side.
pub struct Receiver<T>(Arc<Mutex<State<T>>>);

/// The receiver was dropped. Contains the message.
#[derive(Debug)]
pub struct SendError<T>(pub T);

impl<T> Sender<T> {
    /// Sends a message and wakes the receiver.
    ///
    /// # Errors
    /// The receiver was dropped.
    pub fn send(&self, message: T) -> Result<(), SendError<T>> {
        let waiting = {
            let mut state = lock(&self.0);
            if !state.has_receiver {
                return Err(SendError(message));
            }
            state.messages.push_back(message);
            state.waiting.take()
        };
        wake(waiting);
        Ok(())
    }
}

impl<T> Clone for Sender<T> {
    fn clone(&self) -> Self {
        lock(&self.0).senders += 1;
        Self(self.0.clone())
    }
}

impl<T> fmt::Debug for Sender<T> {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.debug_struct("Sender").finish_non_exhaustive()
    }
}

impl<T> Drop for Sender<T> {
    fn drop(&mut self) {
        let waiting = {
            let mut state = lock(&self.0);
            state.senders -= 1;
            if state.senders > 0 {
                return;
            }
            state.waiting.take()
        };
        wake(waiting);
    }
}

impl<T> Receiver<T> {
    /// Returns the next message without waiting; `None` if there is none.
    pub fn try_recv(&self) -> Option<T> {
        lock(&self.0).messages.pop_front()
    }

    /// Waits for the next message; returns `None` once all senders have been dropped.
    pub fn recv(&self) -> Option<T> {
        loop {
            match self.poll() {
                Poll::Ready(message) => return message,
                // The state is checked again, however the wait ended.
                Poll::Waiting(waiter) => waiter.wait(),
            }
        }
    }

    /// Waits for the next message for up to `timeout`.
    ///
    /// # Errors
    /// No message has arrived in time, or all senders have been dropped.
    pub fn recv_timeout(&self, timeout: Duration) -> Result<T, RecvTimeoutError> {
        let waiter = match self.poll() {
            Poll::Ready(message) => return message.ok_or(RecvTimeoutError::Disconnected),
            Poll::Waiting(waiter) => waiter,
        };
        waiter.wait_timeout(timeout);
        // The state is checked again, however the wait ended.
        let mut state = lock(&self.0);
        state.waiting = None;
        let is_disconnected = state.senders == 0;
        state.messages.pop_front().ok_or(match is_disconnected {
            true => RecvTimeoutError::Disconnected,
            false => RecvTimeoutError::Timeout,
        })
    }

    /// Returns the messages until all senders have been dropped.
    pub fn iter(&self) -> impl Iterator<Item = T> + '_ {
        std::iter::from_fn(|| self.recv())
    }

    /// Takes the next message, or registers for the next change if there is none.
    fn poll(&self) -> Poll<T> {
        let mut state = lock(&self.0);
        if let Some(message) = state.messages.pop_front() {
            return Poll::Ready(Some(message));
        }
        if state.senders == 0 {
            return Poll::Ready(None);
        }
        let waiter = Waiter::new();
        state.waiting = Some(waiter.waker());
        Poll::Waiting(waiter)
    }
}

impl<T> Drop for Receiver<T> {
    fn drop(&mut self) {
        let messages = {
            let mut state = lock(&self.0);
            state.has_receiver = false;
            std::mem::take(&mut state.messages)
        };
        // Dropped without the lock: a message may own a sender of this channel.
        drop(messages);
    }
}

enum Poll<T> {
    /// The next message, or `None` if there will be none.
    Ready(Option<T>),
    /// The receiver waits until a message arrives or the last sender is dropped.
    Waiting(Waiter),
}

fn wake(waiting: Option<Waker>) {
    if let Some(waker) = waiting {
        waker.wake();
    }
}

#[cfg(test)]
mod tests;
