//! Sleeping coroutines, which are woken only after the worker has polled its sockets.
//!
//! The worker polls when no coroutine is runnable. Coroutines that are busy and sleep in turn could keep it from polling
//! for as long as they like if another thread woke them. So one coroutine wakes them all. It waits for a socket to which
//! nobody sends, with a timeout: the worker looks after such timeouts once after each poll.

use std::io;
use std::net::Ipv4Addr;
use std::sync::{Mutex, OnceLock};
use std::time::{Duration, Instant};

use may::net::UdpSocket;

use super::wake_queue::WakeQueue;
use super::{Waiter, Waker};
use crate::runtime::{lock, spawn};

/// Interval between two checks while coroutines sleep.
const TICK: Duration = Duration::from_millis(1);
/// Stack size of the coroutine that wakes, in words.
const STACK_WORDS: usize = 0x2000;

/// The sleeping coroutines of the process.
#[derive(Default)]
pub(super) struct Sleepers(Mutex<State>);

#[derive(Default)]
struct State {
    queue: WakeQueue,
    /// Wakes the coroutine that wakes, while nobody sleeps.
    idle: Option<Waker>,
}

impl Sleepers {
    /// Returns the sleepers of the process. `None` if the coroutine that wakes them cannot be started.
    pub(super) fn global() -> Option<&'static Self> {
        static SLEEPERS: Sleepers = Sleepers(Mutex::new(State { queue: WakeQueue::new(), idle: None }));
        static STARTED: OnceLock<bool> = OnceLock::new();
        let is_started = *STARTED.get_or_init(|| {
            SLEEPERS.start().inspect_err(|error| log::error!(error:% = error; "sleeps use a thread")).is_ok()
        });
        is_started.then_some(&SLEEPERS)
    }

    fn start(&'static self) -> io::Result<()> {
        let socket = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0))?;
        // Accepts datagrams from itself only, and sends none.
        socket.connect(socket.local_addr()?)?;
        socket.set_read_timeout(Some(TICK))?;
        spawn("sleepers", STACK_WORDS, move || self.run(&socket))?;
        Ok(())
    }

    /// Suspends the calling coroutine for `duration`.
    pub(super) fn sleep(&self, duration: Duration) {
        let waiter = Waiter::new();
        let idle = {
            let mut state = lock(&self.0);
            state.queue.add(Instant::now() + duration, waiter.waker());
            state.idle.take()
        };
        if let Some(idle) = idle {
            idle.wake();
        }
        waiter.wait();
    }

    fn run(&self, socket: &UdpSocket) {
        loop {
            wait_for_poll(socket);
            let due = lock(&self.0).queue.take_due(Instant::now());
            // Those that are woken here run after the next poll, so that one more tick must follow.
            if due.is_empty() {
                self.wait_while_nobody_sleeps();
            }
            due.into_iter().for_each(Waker::wake);
        }
    }

    /// Waits for the next sleeper unless there is one.
    fn wait_while_nobody_sleeps(&self) {
        let waiter = Waiter::new();
        {
            let mut state = lock(&self.0);
            if !state.queue.is_empty() {
                return;
            }
            state.idle = Some(waiter.waker());
        }
        waiter.wait();
    }
}

/// Waits until the worker has polled its sockets. If the socket does not time out, it is not waited for in a busy loop.
fn wait_for_poll(socket: &UdpSocket) {
    match socket.recv(&mut [0]) {
        Err(error) if error.kind() == io::ErrorKind::TimedOut => {}
        _ => Waiter::new().wait_timeout(TICK),
    }
}
