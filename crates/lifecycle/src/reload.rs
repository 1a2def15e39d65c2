//! Schedules reads of the configuration file after SIGHUP: at once, and with backoff after transient failures.
//!
//! A signal begins a sequence of reads. The result of the first read answers the signal and is counted. After a
//! transient failure (a failed system call, an incompletely written file) the read is retried with increasing pauses
//! until a read has another result or the retry window after the signal ends. A newer signal ends the sequence and
//! begins its own, at once or as soon as the read in progress ends. A read that does not end (a pipe without a writer,
//! a hung file system) is abandoned for a newer signal, and its result is discarded.
//!
//! This state machine performs no I/O and reads no clock: the embedder executes its steps and reports their results.

use crate::Time;

/// The timing and the limits of retried and abandoned reads.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RetryPolicy {
    /// How long after the signal reads are retried.
    pub window: Time,
    /// The pause before the first retry. Each further pause is twice as long as the previous one.
    pub initial_delay: Time,
    /// The upper limit of the pause between retries.
    pub longest_pause: Time,
    /// How long a newer signal waits for the read in progress before that read is abandoned.
    pub read_timeout: Time,
    /// The most abandoned reads that have not ended. At this limit a signal waits until a read ends.
    pub max_abandoned_reads: usize,
}

impl RetryPolicy {
    /// The pause after `retries` retries.
    fn pause(&self, retries: u32) -> Time {
        let factor = 1_u64.checked_shl(retries).unwrap_or(Time::MAX);
        self.initial_delay.saturating_mul(factor).min(self.longest_pause)
    }
}

/// The identifier of a read, unique within its [`ReloadScheduler`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct ReadId(u64);

/// A read that ended and was not abandoned, so that its result is used.
#[derive(Debug)]
pub struct CompletedRead(Sequence);

/// The result of a read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The file was accepted, and differs from the one in use before.
    Changed,
    /// The file was accepted, and is equal to the one in use before.
    Unchanged,
    /// The file could not be read or is incomplete. A retry may succeed.
    Transient,
    /// The file is complete and was rejected. It is not read again until the next signal.
    Permanent,
}

/// The meaning of an outcome for counters and logs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// A file was accepted, which is counted.
    Accepted,
    /// A file was accepted that a retry had already accepted and counted before its signal arrived.
    AlreadyAccepted,
    /// The first read after a signal failed, which is counted as a rejected file.
    Rejected,
    /// A retry failed, and another one follows. The file was already counted at the first read.
    WillRetry,
    /// A retry failed, and no other one follows until the next signal.
    RetriesEnded,
}

/// The next action of the embedder.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// Begin this read.
    Read(ReadId),
    /// The read in progress was abandoned with this verdict. Its result will be discarded.
    Abandon(Verdict),
    /// Wait until a read ends or a signal arrives, or until the given time if there is one.
    Wait(Option<Time>),
}

/// The reads that one signal began.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Sequence {
    signalled_at: Time,
    /// The number of completed reads. The first one answers the signal; all others are retries.
    completed_reads: u32,
}

impl Sequence {
    /// Whether no read has answered the signal yet.
    fn is_unanswered(&self) -> bool {
        self.completed_reads == 0
    }

    /// The verdict if the read in progress fails without a further retry. Only a failed first read is counted.
    fn failure_verdict(&self) -> Verdict {
        if self.is_unanswered() {
            Verdict::Rejected
        } else {
            Verdict::RetriesEnded
        }
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    Idle,
    Reading {
        sequence: Sequence,
        id: ReadId,
    },
    /// A retry is scheduled.
    Pausing {
        sequence: Sequence,
        retry_at: Time,
    },
}

/// Signals that no read has answered. One read answers all of them, since it reads the file in its latest state.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct PendingSignals {
    first_at: Time,
    last_at: Time,
}

/// The state machine of configuration reloads.
#[derive(Debug, Clone)]
pub struct ReloadScheduler {
    policy: RetryPolicy,
    state: State,
    pending: Option<PendingSignals>,
    /// The end of the time in which the next signal may be for a file that a retry has already accepted.
    early_acceptance_expires_at: Option<Time>,
    /// The number of abandoned reads that have not ended.
    abandoned_reads: usize,
    next_id: u64,
}

impl ReloadScheduler {
    /// Creates an idle state machine without pending signals.
    pub fn new(policy: RetryPolicy) -> Self {
        Self {
            policy,
            state: State::Idle,
            pending: None,
            early_acceptance_expires_at: None,
            abandoned_reads: 0,
            next_id: 0,
        }
    }

    /// Records a SIGHUP, for which the next step begins or awaits a read.
    pub fn signal(&mut self, now: Time) {
        let first_at = self.pending.map_or(now, |pending| pending.first_at);
        self.pending = Some(PendingSignals { first_at, last_at: now });
    }

    /// Returns the next step. The embedder calls this again after each step other than [`Step::Wait`].
    pub fn next_step(&mut self, now: Time) -> Step {
        match (self.state, self.pending) {
            (State::Reading { sequence, .. }, Some(pending)) => self.wait_for_read(sequence, pending, now),
            (State::Idle | State::Pausing { .. }, Some(pending)) => {
                self.pending = None;
                self.begin_read(Sequence { signalled_at: pending.last_at, completed_reads: 0 })
            }
            (State::Pausing { sequence, retry_at }, None) if now >= retry_at => self.begin_read(sequence),
            (State::Pausing { retry_at, .. }, None) => Step::Wait(Some(retry_at)),
            (State::Idle | State::Reading { .. }, None) => Step::Wait(None),
        }
    }

    /// Waits for the read in progress on behalf of a newer signal, and abandons the read after the time limit.
    fn wait_for_read(&mut self, sequence: Sequence, pending: PendingSignals, now: Time) -> Step {
        if self.abandoned_reads >= self.policy.max_abandoned_reads {
            return Step::Wait(None);
        }
        let abandon_at = pending.first_at.saturating_add(self.policy.read_timeout);
        if now < abandon_at {
            return Step::Wait(Some(abandon_at));
        }
        self.abandoned_reads += 1;
        self.state = State::Idle;
        Step::Abandon(sequence.failure_verdict())
    }

    fn begin_read(&mut self, sequence: Sequence) -> Step {
        let id = ReadId(self.next_id);
        self.next_id += 1;
        self.state = State::Reading { sequence, id };
        Step::Read(id)
    }

    /// Records the end of a read. Returns `None` if the read was abandoned; otherwise its result is to be passed to
    /// [`Self::evaluate`].
    pub fn complete_read(&mut self, read: ReadId) -> Option<CompletedRead> {
        match self.state {
            State::Reading { sequence, id } if id == read => {
                self.state = State::Idle;
                Some(CompletedRead(sequence))
            }
            _ => {
                self.abandoned_reads = self.abandoned_reads.saturating_sub(1);
                None
            }
        }
    }

    /// Evaluates the result of a read and schedules a retry if one is due.
    pub fn evaluate(
        &mut self,
        CompletedRead(mut sequence): CompletedRead,
        outcome: Outcome,
        now: Time,
    ) -> Verdict {
        let answers_signal = sequence.is_unanswered();
        let failure = sequence.failure_verdict();
        sequence.completed_reads += 1;
        // Only the next signal can be the one for a file that was accepted early.
        let expires_at = if answers_signal { self.early_acceptance_expires_at.take() } else { None };
        let was_accepted_early = expires_at.is_some_and(|expires_at| sequence.signalled_at <= expires_at);
        match outcome {
            Outcome::Unchanged if was_accepted_early => Verdict::AlreadyAccepted,
            Outcome::Changed | Outcome::Unchanged => {
                if !answers_signal {
                    self.early_acceptance_expires_at = Some(now.saturating_add(self.policy.window));
                }
                Verdict::Accepted
            }
            Outcome::Transient => {
                let will_retry = self.schedule_retry(sequence, now);
                if will_retry && !answers_signal {
                    Verdict::WillRetry
                } else {
                    failure
                }
            }
            Outcome::Permanent => failure,
        }
    }

    /// Schedules the next retry unless it would be after the retry window. Returns whether a retry is scheduled.
    fn schedule_retry(&mut self, sequence: Sequence, now: Time) -> bool {
        let retries = sequence.completed_reads - 1;
        let retry_at = now.saturating_add(self.policy.pause(retries));
        let window_ends_at = sequence.signalled_at.saturating_add(self.policy.window);
        let will_retry = retry_at < window_ends_at;
        if will_retry {
            self.state = State::Pausing { sequence, retry_at };
        }
        will_retry
    }
}

#[cfg(test)]
mod tests;
