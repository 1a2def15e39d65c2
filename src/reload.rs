//! Reads the configuration file again after SIGHUP. When it is read is decided by the state machine of
//! [`curlewdeck_lifecycle::reload`]; here are the threads that carry its steps out.
//!
//! One thread receives signals and results, and applies configurations. Each read runs on a thread of its own, since a
//! read may last as long as it likes (a pipe without a writer, a file system that hangs) and cannot be cancelled:
//! signals, newer ones included, are received all the same.

use std::io;
use std::path::PathBuf;
use std::sync::mpsc::{sync_channel, Receiver, RecvTimeoutError, SyncSender};
use std::sync::Arc;
use std::time::{Duration, Instant};

use curlewdeck_lifecycle::reload::{Outcome, ReadId, Reloads, RetryPolicy, Returned, Step, Verdict};

use crate::config::{Config, ConfigError};
use crate::counters::Counters;
use crate::runtime::{nanos, thread};
use crate::startup::{ConfigChange, Coordinator};

/// Discovery's changes count as notified so long after SIGHUP: a read that failed is retried within it.
const RETRY_WINDOW: Duration = Duration::from_secs(4);
/// The backoff before the first retry; it doubles with each...
const FIRST_BACKOFF: Duration = Duration::from_millis(50);
/// ...up to this.
const BACKOFF_MAX: Duration = Duration::from_millis(800);
/// A newer signal waits so long for a read under way. With a call to discovery after it (2.2 s at most), that is still
/// within the window.
const READ_TIMEOUT: Duration = Duration::from_millis(1500);
/// The most abandoned reads that still hold their threads.
const MAX_ABANDONED_READS: usize = 4;
/// Events that may wait for the thread: more than reads can run at once, so that a full queue has a signal in it.
const EVENT_QUEUE_LENGTH: usize = 2 * (MAX_ABANDONED_READS + 1);
/// Stack of each of the threads, in bytes: the file is parsed on one and compared on the other.
const STACK_BYTES: usize = 512 * 1024;

/// How a read ended.
type ReadResult = Result<Config, ConfigError>;

enum Event {
    /// SIGHUP has come.
    Signal,
    /// A read has ended.
    ReadEnded(ReadId, Box<ReadResult>),
}

/// Hands signals on to the reloading thread.
#[derive(Clone)]
pub struct Reloader(SyncSender<Event>);

impl Reloader {
    /// Starts the thread that reads `file` again for this coordinator.
    ///
    /// # Errors
    /// There is no thread to be had.
    pub fn start(coordinator: Arc<Coordinator>, file: PathBuf) -> io::Result<Self> {
        let (events, inbox) = sync_channel(EVENT_QUEUE_LENGTH);
        let policy = RetryPolicy {
            window: nanos(RETRY_WINDOW),
            first_pause: nanos(FIRST_BACKOFF),
            longest_pause: nanos(BACKOFF_MAX),
            abandon_after: nanos(READ_TIMEOUT),
            max_abandoned_reads: MAX_ABANDONED_READS,
        };
        let reload_thread = ReloadThread {
            coordinator,
            file,
            reloads: Reloads::new(policy),
            started: Instant::now(),
            is_reloading: false,
            events: events.clone(),
        };
        thread("reload", STACK_BYTES, move || reload_thread.run(&inbox))?;
        Ok(Self(events))
    }

    /// SIGHUP has come. Returns at once: where the queue is full, a signal waits already, and the file is read as it is by
    /// then.
    pub fn signal(&self) {
        let _ = self.0.try_send(Event::Signal);
    }
}

/// The state of the reloading thread.
struct ReloadThread {
    coordinator: Arc<Coordinator>,
    file: PathBuf,
    reloads: Reloads,
    /// The state machine's times count from here.
    started: Instant,
    /// A signal has come, and its reload has not settled.
    is_reloading: bool,
    /// For the threads that read.
    events: SyncSender<Event>,
}

impl ReloadThread {
    fn run(mut self, inbox: &Receiver<Event>) {
        loop {
            let due = self.execute_steps();
            if due.is_none() && std::mem::take(&mut self.is_reloading) {
                self.coordinator.reload_settled();
            }
            match self.next_event(inbox, due) {
                Ok(Event::Signal) => self.begin_reload(),
                Ok(Event::ReadEnded(id, result)) => self.read_ended(id, *result),
                Err(RecvTimeoutError::Timeout) => {}
                // Impossible: this thread holds a sender itself.
                Err(RecvTimeoutError::Disconnected) => return,
            }
        }
    }

    /// The next event, or a time-out when the next step is due.
    fn next_event(&self, inbox: &Receiver<Event>, due: Option<u64>) -> Result<Event, RecvTimeoutError> {
        match due {
            Some(due) => inbox.recv_timeout(Duration::from_nanos(due.saturating_sub(self.now()))),
            None => inbox.recv().map_err(|_| RecvTimeoutError::Disconnected),
        }
    }

    fn begin_reload(&mut self) {
        self.is_reloading = true;
        self.coordinator.reload_begins();
        self.reloads.signal(self.now());
    }

    /// Carries out the steps that are due; returns when the next one is, if there is one.
    fn execute_steps(&mut self) -> Option<u64> {
        loop {
            match self.reloads.next_step(self.now()) {
                Step::Read(id) => self.start_read(id),
                Step::Abandon(verdict) => {
                    let error = io::Error::new(io::ErrorKind::TimedOut, "it takes too long to read");
                    self.record_failure(verdict, &ConfigError::Unreadable(error));
                }
                Step::Wait(until) => return until,
            }
        }
    }

    /// Reads the file on a thread of its own, which may never end.
    fn start_read(&mut self, id: ReadId) {
        let (file, events) = (self.file.clone(), self.events.clone());
        let read = move || {
            let result = Config::load(&file);
            // The receiver lives as long as the process.
            let _ = events.send(Event::ReadEnded(id, Box::new(result)));
        };
        if let Err(error) = thread("config reader", STACK_BYTES, read) {
            self.read_ended(id, Err(ConfigError::Unreadable(error)));
        }
    }

    /// Applies what was read, unless the read was abandoned.
    fn read_ended(&mut self, id: ReadId, result: ReadResult) {
        if let Some(returned) = self.reloads.returned(id) {
            self.apply(returned, result);
        }
    }

    /// Applies what was read, if it can be, and counts the reload by that.
    fn apply(&mut self, returned: Returned, result: ReadResult) {
        let result = result.and_then(|config| self.coordinator.apply_config(config));
        let outcome = match &result {
            Ok(ConfigChange::Changed) => Outcome::Changed,
            Ok(ConfigChange::Unchanged) => Outcome::Unchanged,
            Err(error) if error.is_transient() => Outcome::Transient,
            Err(_) => Outcome::Permanent,
        };
        let verdict = self.reloads.ended(returned, outcome, self.now());
        match result {
            Ok(_) if verdict == Verdict::Accepted => {
                Counters::add(&self.coordinator.core.counters.reloads_applied)
            }
            Ok(_) => {}
            Err(error) => self.record_failure(verdict, &error),
        }
    }

    /// Counts and logs a reload that failed for good.
    fn record_failure(&self, verdict: Verdict, error: &ConfigError) {
        let file = self.file.display();
        match verdict {
            Verdict::Rejected => {
                Counters::add(&self.coordinator.core.counters.reloads_rejected);
                log::warn!(file:% = file, error:% = error; "configuration rejected");
            }
            Verdict::RetriesEnded => {
                log::warn!(file:% = file, error:% = error; "configuration still unusable after retries");
            }
            Verdict::WillRetry | Verdict::Accepted | Verdict::AcceptedBefore => {}
        }
    }

    fn now(&self) -> u64 {
        nanos(self.started.elapsed())
    }
}
