//! Reads the configuration file again after SIGHUP. When it is read is decided by the machine of
//! [`curlewdeck_lifecycle::reload`]; here are the threads that carry its steps out.
//!
//! One thread hears signals and results, and takes configurations over. Each read runs on a thread of its own, since a
//! read may last as long as it likes (a pipe without a writer, a file system that hangs) and cannot be taken back:
//! signals, newer ones included, are heard all the same.

use std::io;
use std::path::PathBuf;
use std::sync::mpsc::{sync_channel, Receiver, RecvTimeoutError, SyncSender};
use std::sync::Arc;
use std::time::{Duration, Instant};

use curlewdeck_lifecycle::reload::{Outcome, ReadId, Reloads, RetryPolicy, Returned, Step, Verdict};

use crate::config::{Config, ConfigError};
use crate::counters::Counters;
use crate::runtime::{nanos, thread};
use crate::startup::{Coordinator, Taken};

/// What discovery has to tell counts as told so long after SIGHUP: a read that failed is repeated within it.
const RETRY_WINDOW: Duration = Duration::from_secs(4);
/// The pause before the first repeat; it doubles with each...
const FIRST_PAUSE: Duration = Duration::from_millis(50);
/// ...up to this.
const LONGEST_PAUSE: Duration = Duration::from_millis(800);
/// A newer signal waits so long for a read under way. With a call of discovery after it (2.2 s at most), that is still
/// within the window.
const READ_PATIENCE: Duration = Duration::from_millis(1500);
/// Reads that were given up and hold their threads still.
const MOST_GIVEN_UP: usize = 4;
/// Events that wait for the thread. More than reads can run at once, so that a full queue has a signal in it.
const MOST_EVENTS: usize = 2 * (MOST_GIVEN_UP + 1);
/// Stack of each of the threads: the file is parsed on one and compared on the other.
const STACK: usize = 512 * 1024;

/// How a read ended.
type Loaded = Result<Config, ConfigError>;

enum Event {
    /// SIGHUP has come.
    Signal,
    /// A read has ended.
    Read(ReadId, Box<Loaded>),
}

/// Tells the reloading thread of signals.
#[derive(Clone)]
pub struct Reloader(SyncSender<Event>);

impl Reloader {
    /// Starts the thread that reads `file` again for this coordinator.
    ///
    /// # Errors
    /// There is no thread to be had.
    pub fn start(coordinator: Arc<Coordinator>, file: PathBuf) -> io::Result<Self> {
        let (events, heard) = sync_channel(MOST_EVENTS);
        let policy = RetryPolicy {
            window: nanos(RETRY_WINDOW),
            first_pause: nanos(FIRST_PAUSE),
            longest_pause: nanos(LONGEST_PAUSE),
            patience: nanos(READ_PATIENCE),
            given_up: MOST_GIVEN_UP,
        };
        let reloading = Reloading {
            coordinator,
            file,
            reloads: Reloads::new(policy),
            clock: Instant::now(),
            under_way: false,
            events: events.clone(),
        };
        thread("reload", STACK, move || reloading.run(&heard))?;
        Ok(Self(events))
    }

    /// SIGHUP has come. Returns at once: where no more events can wait, a signal does already, and the file is read as it
    /// is by then.
    pub fn signal(&self) {
        let _ = self.0.try_send(Event::Signal);
    }
}

/// What the reloading thread holds.
struct Reloading {
    coordinator: Arc<Coordinator>,
    file: PathBuf,
    reloads: Reloads,
    /// The machine's times count from here.
    clock: Instant,
    /// A signal has come, and what follows from it is not settled.
    under_way: bool,
    /// For the threads that read.
    events: SyncSender<Event>,
}

impl Reloading {
    fn run(mut self, heard: &Receiver<Event>) {
        loop {
            let due = self.carry_out();
            if due.is_none() && std::mem::take(&mut self.under_way) {
                self.coordinator.reload_settled();
            }
            let news = match due {
                Some(due) => {
                    heard.recv_timeout(Duration::from_nanos(due.saturating_sub(nanos(self.clock.elapsed()))))
                }
                None => heard.recv().map_err(|_| RecvTimeoutError::Disconnected),
            };
            match news {
                Ok(Event::Signal) => {
                    self.under_way = true;
                    self.coordinator.reload_begins();
                    self.reloads.signal(nanos(self.clock.elapsed()));
                }
                Ok(Event::Read(id, loaded)) => {
                    if let Some(returned) = self.reloads.returned(id) {
                        self.ended(returned, *loaded);
                    }
                }
                Err(RecvTimeoutError::Timeout) => {}
                // It holds a sender itself.
                Err(RecvTimeoutError::Disconnected) => return,
            }
        }
    }

    /// Carries out the steps that are due; returns until when there is none.
    fn carry_out(&mut self) -> Option<u64> {
        loop {
            match self.reloads.next(nanos(self.clock.elapsed())) {
                Step::Read(id) => self.read(id),
                Step::GiveUp(verdict) => {
                    let error = io::Error::new(io::ErrorKind::TimedOut, "it takes too long to read");
                    self.judged(verdict, &ConfigError::Unreadable(error));
                }
                Step::Wait(until) => return until,
            }
        }
    }

    /// Reads the file on a thread of its own, which may never end.
    fn read(&mut self, id: ReadId) {
        let (file, events) = (self.file.clone(), self.events.clone());
        let load = move || {
            let loaded = Config::load(&file);
            // The receiver lives as long as the process.
            let _ = events.send(Event::Read(id, Box::new(loaded)));
        };
        if let Err(error) = thread("config reader", STACK, load) {
            if let Some(returned) = self.reloads.returned(id) {
                self.ended(returned, Err(ConfigError::Unreadable(error)));
            }
        }
    }

    /// Takes over what was read, if it can be, and judges the read by that.
    fn ended(&mut self, returned: Returned, loaded: Loaded) {
        let result = loaded.and_then(|config| self.coordinator.take(config));
        let outcome = match &result {
            Ok(Taken::Changed) => Outcome::Changed,
            Ok(Taken::Unchanged) => Outcome::Unchanged,
            Err(error) if error.may_pass() => Outcome::Transient,
            Err(_) => Outcome::Permanent,
        };
        let verdict = self.reloads.ended(returned, outcome, nanos(self.clock.elapsed()));
        match result {
            Ok(_) if verdict == Verdict::Taken => Counters::add(&self.coordinator.core.counters.reloads_ok),
            Ok(_) => {}
            Err(error) => self.judged(verdict, &error),
        }
    }

    /// Counts and logs a read that failed.
    fn judged(&self, verdict: Verdict, error: &ConfigError) {
        let file = self.file.display();
        match verdict {
            Verdict::TurnedDown => {
                Counters::add(&self.coordinator.core.counters.reloads_failed);
                log::error!("the configuration stays as it was: {file}: {error}");
            }
            Verdict::NoLongerRepeated => {
                log::warn!("the configuration was read again, and still cannot be taken: {file}: {error}");
            }
            Verdict::WillRepeat | Verdict::Taken | Verdict::TakenBefore => {}
        }
    }
}
