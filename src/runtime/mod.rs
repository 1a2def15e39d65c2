//! Runtime support for all actors: the clock, timers, waits, channels, permits, streams, coroutines and threads.

mod channel;
mod clock;
mod connect;
mod permits;
mod spawn;
mod stream;
mod sync;
mod timer;
mod wait;

pub use channel::{channel, Receiver, SendError, Sender};
pub use clock::{nanos, Clock};
pub use permits::{Permit, Permits};
pub use spawn::{spawn, spawn_critical, spawn_reporting, thread, SpawnError, SMALL_STACK};
pub use stream::{Stream, WriteError};
pub use sync::{lock, lock_until};
pub use timer::Timer;
pub use wait::{sleep, yield_now};
