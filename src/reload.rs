//! Reloads the configuration file after SIGHUP. The state machine of [`curlewdeck_lifecycle::reload`] decides when to
//! read it; the threads of this module execute its steps.
//!
//! One thread receives signals and results, and applies configurations. Each read runs on a separate thread, since it
//! may block indefinitely (a pipe without a writer, a file system that hangs) and cannot be cancelled. The first thread
//! receives newer signals in the meantime.

use std::io;
use std::path::PathBuf;
use std::sync::mpsc::{sync_channel, Receiver, RecvTimeoutError, SyncSender};
use std::sync::Arc;
use std::time::{Duration, Instant};

use curlewdeck_lifecycle::reload::{
    CompletedRead, Outcome, ReadId, ReloadScheduler, RetryPolicy, Step, Verdict,
};

use crate::config::{Config, ConfigError};
use crate::counters::Counters;
use crate::runtime::{nanos, thread};
use crate::startup::{ConfigChange, Coordinator};

/// The time after SIGHUP within which a failed read is retried. Changes of discovery count as notified after this time.
const RETRY_WINDOW: Duration = Duration::from_secs(4);
/// The delay before the first retry. It doubles with each further retry...
const FIRST_BACKOFF: Duration = Duration::from_millis(50);
/// ...up to this.
const MAX_BACKOFF: Duration = Duration::from_millis(800);
/// The time for which a newer signal waits for a read in progress. Together with a following call to discovery (2.2 s
/// at most) it is within the retry window.
const READ_TIMEOUT: Duration = Duration::from_millis(1500);
/// The maximum number of abandoned reads whose threads are still blocked.
const MAX_ABANDONED_READS: usize = 4;
/// The capacity of the event queue. It exceeds the number of concurrent reads, so that a full queue contains a signal.
const EVENT_QUEUE_LENGTH: usize = 2 * (MAX_ABANDONED_READS + 1);
/// Stack size of the threads. Reading threads parse the file, and the reloading thread compares configurations.
const STACK_BYTES: usize = 512 * 1024;

/// The result of reading and parsing the file.
type ReadResult = Result<Config, ConfigError>;

enum Event {
    /// SIGHUP was received.
    Signal,
    /// A reading thread has finished, possibly after its read was abandoned.
    ReadEnded(ReadId, Box<ReadResult>),
}

/// Forwards signals to the reloading thread.
#[derive(Clone)]
pub struct Reloader(SyncSender<Event>);

impl Reloader {
    /// Starts the thread that reloads `file` for this coordinator.
    ///
    /// # Errors
    /// The thread could not be started.
    pub fn start(coordinator: Arc<Coordinator>, file: PathBuf) -> io::Result<Self> {
        let (events, inbox) = sync_channel(EVENT_QUEUE_LENGTH);
        let policy = RetryPolicy {
            window: nanos(RETRY_WINDOW),
            initial_delay: nanos(FIRST_BACKOFF),
            longest_pause: nanos(MAX_BACKOFF),
            read_timeout: nanos(READ_TIMEOUT),
            max_abandoned_reads: MAX_ABANDONED_READS,
        };
        let reload_thread = ReloadThread {
            coordinator,
            file,
            scheduler: ReloadScheduler::new(policy),
            started: Instant::now(),
            is_reloading: false,
            events: events.clone(),
        };
        thread("reload", STACK_BYTES, move || reload_thread.run(&inbox))?;
        Ok(Self(events))
    }

    /// Requests a reload after SIGHUP without blocking. If the queue is full, it already contains a signal, and the
    /// file is read after this call.
    pub fn signal(&self) {
        let _ = self.0.try_send(Event::Signal);
    }
}

/// The state of the reloading thread.
struct ReloadThread {
    coordinator: Arc<Coordinator>,
    file: PathBuf,
    scheduler: ReloadScheduler,
    /// The zero point of the state machine's times.
    started: Instant,
    /// A signal was received, and its reload has not ended.
    is_reloading: bool,
    /// The sender for reading threads.
    events: SyncSender<Event>,
}

impl ReloadThread {
    fn run(mut self, inbox: &Receiver<Event>) {
        loop {
            let due = self.execute_steps();
            if due.is_none() && std::mem::take(&mut self.is_reloading) {
                self.coordinator.reload_finished();
            }
            match self.next_event(inbox, due) {
                Ok(Event::Signal) => self.begin_reload(),
                Ok(Event::ReadEnded(id, result)) => self.read_ended(id, *result),
                Err(RecvTimeoutError::Timeout) => {}
                // Unreachable, since this thread holds a sender.
                Err(RecvTimeoutError::Disconnected) => return,
            }
        }
    }

    /// Waits for the next event, or until the next step is due.
    fn next_event(&self, inbox: &Receiver<Event>, due: Option<u64>) -> Result<Event, RecvTimeoutError> {
        match due {
            Some(due) => inbox.recv_timeout(Duration::from_nanos(due.saturating_sub(self.now()))),
            None => inbox.recv().map_err(|_| RecvTimeoutError::Disconnected),
        }
    }

    fn begin_reload(&mut self) {
        self.is_reloading = true;
        self.coordinator.reload_started();
        self.scheduler.signal(self.now());
    }

    /// Executes all due steps. Returns the time of the next one, if there is one.
    fn execute_steps(&mut self) -> Option<u64> {
        loop {
            match self.scheduler.next_step(self.now()) {
                Step::Read(id) => self.start_read(id),
                Step::Abandon(verdict) => {
                    let error = io::Error::new(io::ErrorKind::TimedOut, "reading takes too long");
                    self.record_failure(verdict, &ConfigError::Unreadable(error));
                }
                Step::Wait(until) => return until,
            }
        }
    }

    /// Reads the file on a separate thread, which may block forever.
    fn start_read(&mut self, id: ReadId) {
        let (file, events) = (self.file.clone(), self.events.clone());
        let read = move || {
            let result = Config::load(&file);
            // Cannot fail: the receiver exists until the process exits.
            let _ = events.send(Event::ReadEnded(id, Box::new(result)));
        };
        if let Err(error) = thread("config reader", STACK_BYTES, read) {
            self.read_ended(id, Err(ConfigError::Unreadable(error)));
        }
    }

    /// Applies the result of a read, unless the read was abandoned.
    fn read_ended(&mut self, id: ReadId, result: ReadResult) {
        if let Some(read) = self.scheduler.complete_read(id) {
            self.apply(read, result);
        }
    }

    /// Applies a configuration that was read, and counts and logs the outcome.
    fn apply(&mut self, read: CompletedRead, result: ReadResult) {
        let result = result.and_then(|config| self.coordinator.apply_config(config));
        let outcome = match &result {
            Ok(ConfigChange::Changed) => Outcome::Changed,
            Ok(ConfigChange::Unchanged) => Outcome::Unchanged,
            Err(error) if error.is_transient() => Outcome::Transient,
            Err(_) => Outcome::Permanent,
        };
        let verdict = self.scheduler.evaluate(read, outcome, self.now());
        match result {
            Ok(_) if verdict == Verdict::Accepted => {
                Counters::add(&self.coordinator.core.counters.reloads_applied)
            }
            Ok(_) => {}
            Err(error) => self.record_failure(verdict, &error),
        }
    }

    /// Counts and logs a failure, as its verdict requires.
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
            Verdict::WillRetry | Verdict::Accepted | Verdict::AlreadyAccepted => {}
        }
    }

    fn now(&self) -> u64 {
        nanos(self.started.elapsed())
    }
}
