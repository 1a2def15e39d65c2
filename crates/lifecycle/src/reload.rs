//! When a configuration file is read after SIGHUP: at once, and again with backoff after a transient failure.
//!
//! A signal begins a sequence of reads, of which the first answers the signal: its result is what is counted. After a
//! transient failure (a system call that failed, a file that is half written) the read is retried with growing pauses until
//! one ends otherwise or the window after the signal is over. A newer signal ends the sequence and begins its own at once,
//! or as soon as the read in progress has ended. A read that does not end (a pipe without a writer, a file system that
//! hangs) is abandoned for a newer signal, and its result is not used any more.
//!
//! This state machine does no I/O and reads no clock: the embedder carries its steps out and reports how they ended.

use crate::Time;

/// When reads are retried and abandoned.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RetryPolicy {
    /// Reads are retried for this long after the signal.
    pub window: Time,
    /// The pause before the first retry. Each further pause is twice the one before...
    pub first_pause: Time,
    /// ...up to this.
    pub longest_pause: Time,
    /// A newer signal waits this long for the read in progress before that is abandoned.
    pub abandon_after: Time,
    /// The most abandoned reads that have not ended yet. Beyond that, a signal waits for one of them to end.
    pub max_abandoned_reads: usize,
}

impl RetryPolicy {
    /// The pause after this many retries.
    fn pause(&self, retries: u32) -> Time {
        let factor = 1_u64.checked_shl(retries).unwrap_or(Time::MAX);
        self.first_pause.saturating_mul(factor).min(self.longest_pause)
    }
}

/// One read, numbered for the life of its [`Reloads`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct ReadId(u64);

/// A read that has ended and whose result is used.
#[derive(Debug)]
pub struct Returned(Sequence);

/// How a read ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The file was accepted, and differs from the one in use before.
    Changed,
    /// The file was accepted, and says the same as the one in use before.
    Unchanged,
    /// The file could not be read, or is incomplete: another read may end otherwise.
    Transient,
    /// The file is complete and was rejected: that holds until the next signal.
    Permanent,
}

/// What an outcome means to operators.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// A file was accepted: counted as such.
    Accepted,
    /// A file was accepted that a retry had already accepted, and counted, before its signal came.
    AcceptedBefore,
    /// The file that the signal announced was rejected: counted as such.
    Rejected,
    /// A retry has failed, and there will be another one. The signal's file was counted by its first read.
    WillRetry,
    /// A retry has failed, and there will be none until the next signal.
    RetriesEnded,
}

/// What the embedder does next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// Begin this read.
    Read(ReadId),
    /// The read in progress was abandoned: this is its verdict. Its result is not used.
    Abandon(Verdict),
    /// Nothing, until the given time, if any, or until a read ends or a signal comes.
    Wait(Option<Time>),
}

/// The reads that one signal began.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Sequence {
    signalled_at: Time,
    /// Reads that have ended. The first answers the signal, all others are retries.
    ended_reads: u32,
}

impl Sequence {
    /// Whether no read has answered the signal yet.
    fn is_unanswered(&self) -> bool {
        self.ended_reads == 0
    }

    /// What it means that the read in progress fails for good: the first read is counted, retries are not.
    fn final_failure(&self) -> Verdict {
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
    /// Waiting for the next retry.
    Pausing {
        sequence: Sequence,
        retry_at: Time,
    },
}

/// Signals that no read has answered yet. One read answers all of them: it finds the file as it is by then.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct PendingSignals {
    first_at: Time,
    last_at: Time,
}

/// The state machine of configuration reloads.
#[derive(Debug, Clone)]
pub struct Reloads {
    policy: RetryPolicy,
    state: State,
    pending: Option<PendingSignals>,
    /// A retry accepted a file that may be the next signal's, if that comes by this time.
    accepted_ahead_until: Option<Time>,
    /// Reads that were abandoned and have not ended.
    abandoned_reads: usize,
    next_id: u64,
}

impl Reloads {
    /// The state before any signal.
    pub fn new(policy: RetryPolicy) -> Self {
        Self {
            policy,
            state: State::Idle,
            pending: None,
            accepted_ahead_until: None,
            abandoned_reads: 0,
            next_id: 0,
        }
    }

    /// SIGHUP has come.
    pub fn signal(&mut self, now: Time) {
        let first_at = self.pending.map_or(now, |pending| pending.first_at);
        self.pending = Some(PendingSignals { first_at, last_at: now });
    }

    /// What is to be done now. To be called again after each step that is no [`Step::Wait`].
    pub fn next_step(&mut self, now: Time) -> Step {
        match (self.state, self.pending) {
            (State::Reading { sequence, .. }, Some(pending)) => self.wait_for_read(sequence, pending, now),
            (State::Idle | State::Pausing { .. }, Some(pending)) => {
                self.pending = None;
                self.begin_read(Sequence { signalled_at: pending.last_at, ended_reads: 0 })
            }
            (State::Pausing { sequence, retry_at }, None) if now >= retry_at => self.begin_read(sequence),
            (State::Pausing { retry_at, .. }, None) => Step::Wait(Some(retry_at)),
            (State::Idle | State::Reading { .. }, None) => Step::Wait(None),
        }
    }

    /// A signal waits for the read in progress, and abandons it after a while.
    fn wait_for_read(&mut self, sequence: Sequence, pending: PendingSignals, now: Time) -> Step {
        if self.abandoned_reads >= self.policy.max_abandoned_reads {
            return Step::Wait(None);
        }
        let abandon_at = pending.first_at.saturating_add(self.policy.abandon_after);
        if now < abandon_at {
            return Step::Wait(Some(abandon_at));
        }
        self.abandoned_reads += 1;
        self.state = State::Idle;
        Step::Abandon(sequence.final_failure())
    }

    fn begin_read(&mut self, sequence: Sequence) -> Step {
        let id = ReadId(self.next_id);
        self.next_id += 1;
        self.state = State::Reading { sequence, id };
        Step::Read(id)
    }

    /// A read has ended. Its result is used, and passed to [`Self::ended`], unless the read was abandoned before.
    pub fn returned(&mut self, read: ReadId) -> Option<Returned> {
        match self.state {
            State::Reading { sequence, id } if id == read => {
                self.state = State::Idle;
                Some(Returned(sequence))
            }
            _ => {
                self.abandoned_reads = self.abandoned_reads.saturating_sub(1);
                None
            }
        }
    }

    /// What it means that a read has ended in this way.
    pub fn ended(&mut self, Returned(mut sequence): Returned, outcome: Outcome, now: Time) -> Verdict {
        let answers_signal = sequence.is_unanswered();
        let failure = sequence.final_failure();
        sequence.ended_reads += 1;
        // Only the next signal may be that of the file.
        let ahead_until = if answers_signal { self.accepted_ahead_until.take() } else { None };
        let was_accepted_ahead = ahead_until.is_some_and(|until| sequence.signalled_at <= until);
        match outcome {
            Outcome::Unchanged if was_accepted_ahead => Verdict::AcceptedBefore,
            Outcome::Changed | Outcome::Unchanged => {
                if !answers_signal {
                    self.accepted_ahead_until = Some(now.saturating_add(self.policy.window));
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

    /// Schedules the next retry, unless the window is over by then; returns whether there will be one.
    fn schedule_retry(&mut self, sequence: Sequence, now: Time) -> bool {
        let retries = sequence.ended_reads - 1;
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
