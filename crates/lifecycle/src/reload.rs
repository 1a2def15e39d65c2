//! When a configuration file is read after SIGHUP: at once, and again for a while after a failure that may pass.
//!
//! A signal begins a sequence of reads, of which the first answers the signal: its result is what is counted. Where it
//! failed for a cause that may pass (a system call that failed, a file that is half written), the file is read again
//! with growing pauses until a read ends otherwise or the window after the signal is over. A newer signal ends the
//! sequence and begins its own at once, or as soon as the read under way has ended. A read that does not end (a pipe
//! without a writer, a file system that hangs) is given up for a newer signal, and its result is not used any more.
//!
//! The machine neither reads nor has a clock: the embedder carries its steps out and tells it how they ended.

use crate::Time;

/// The spans and counts that the machine goes by.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RetryPolicy {
    /// Reads are repeated for so long after the signal.
    pub window: Time,
    /// The pause before the first repeat. Each further pause is twice the one before...
    pub first_pause: Time,
    /// ...up to this.
    pub longest_pause: Time,
    /// A newer signal waits so long for the read under way before that is given up.
    pub patience: Time,
    /// So many reads may be given up and not have ended yet. Beyond that, a signal waits for one of them to end.
    pub given_up: usize,
}

impl RetryPolicy {
    fn pause(&self, repeats: u32) -> Time {
        let doubled = 1_u64.checked_shl(repeats).unwrap_or(Time::MAX);
        self.first_pause.saturating_mul(doubled).min(self.longest_pause)
    }
}

/// Names one read.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct ReadId(u64);

/// A read that has ended and whose result is used.
#[derive(Debug)]
pub struct Returned(Sequence);

/// How a read ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The file was taken, and differs from the one in use before.
    Changed,
    /// The file was taken, and says the same as the one in use before.
    Unchanged,
    /// The file could not be read, or is not whole: another read may end otherwise.
    Transient,
    /// The file is whole and was turned down: it stays so until the next signal.
    Permanent,
}

/// What an outcome means to operators.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// A file was taken: counted as such.
    Taken,
    /// A file was taken that a repeat had already taken, and counted, before its signal came.
    TakenBefore,
    /// The file that the signal announced was turned down: counted as such.
    TurnedDown,
    /// A repeat has failed, and there will be another one. The signal's file was counted by its first read.
    WillRepeat,
    /// A repeat has failed, and there will be none until the next signal.
    NoLongerRepeated,
}

/// What the embedder does next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// Begin this read.
    Read(ReadId),
    /// The read under way was given up: this is its verdict. What it ends with is not used.
    GiveUp(Verdict),
    /// Nothing, until the given time, if any, or until there is news.
    Wait(Option<Time>),
}

/// The reads that one signal began.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Sequence {
    signalled: Time,
    /// Reads that have ended. The first answers the signal, all others are repeats.
    ended: u32,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    Idle,
    Reading(Sequence, ReadId),
    /// The next repeat is due at the given time.
    Pausing(Sequence, Time),
}

/// Signals that no read has answered yet. One read answers all of them: it finds the file as it is by then.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Pending {
    first: Time,
    last: Time,
}

/// The machine.
#[derive(Debug, Clone)]
pub struct Reloads {
    policy: RetryPolicy,
    state: State,
    pending: Option<Pending>,
    /// A repeat took a file that may be the next signal's, if that comes by this time.
    taken_ahead: Option<Time>,
    /// Reads that were given up and have not ended.
    given_up: usize,
    next: u64,
}

impl Reloads {
    /// A machine that has heard no signal.
    pub fn new(policy: RetryPolicy) -> Self {
        Self { policy, state: State::Idle, pending: None, taken_ahead: None, given_up: 0, next: 0 }
    }

    /// SIGHUP has come.
    pub fn signal(&mut self, now: Time) {
        let first = self.pending.map_or(now, |p| p.first);
        self.pending = Some(Pending { first, last: now });
    }

    /// What is to be done now. Asked again after each step that is no [`Step::Wait`].
    pub fn next(&mut self, now: Time) -> Step {
        match (self.state, self.pending) {
            (State::Reading(sequence, _), Some(pending)) => self.next_behind(sequence, pending, now),
            (State::Idle | State::Pausing(..), Some(pending)) => {
                self.pending = None;
                self.read(Sequence { signalled: pending.last, ended: 0 })
            }
            (State::Pausing(sequence, due), None) if now >= due => self.read(sequence),
            (State::Pausing(_, due), None) => Step::Wait(Some(due)),
            (State::Idle | State::Reading(..), None) => Step::Wait(None),
        }
    }

    /// A signal waits for the read under way.
    fn next_behind(&mut self, sequence: Sequence, pending: Pending, now: Time) -> Step {
        let until = pending.first.saturating_add(self.policy.patience);
        if self.given_up >= self.policy.given_up {
            return Step::Wait(None);
        }
        if now < until {
            return Step::Wait(Some(until));
        }
        self.given_up += 1;
        self.state = State::Idle;
        Step::GiveUp(if sequence.ended == 0 { Verdict::TurnedDown } else { Verdict::NoLongerRepeated })
    }

    fn read(&mut self, sequence: Sequence) -> Step {
        let id = ReadId(self.next);
        self.next += 1;
        self.state = State::Reading(sequence, id);
        Step::Read(id)
    }

    /// A read has ended. Its result is used, and judged with [`Self::ended`], unless the read was given up before.
    pub fn returned(&mut self, read: ReadId) -> Option<Returned> {
        match self.state {
            State::Reading(sequence, id) if id == read => {
                self.state = State::Idle;
                Some(Returned(sequence))
            }
            _ => {
                self.given_up = self.given_up.saturating_sub(1);
                None
            }
        }
    }

    /// What it means that a read has ended so.
    pub fn ended(&mut self, Returned(mut sequence): Returned, outcome: Outcome, now: Time) -> Verdict {
        let answers_signal = sequence.ended == 0;
        sequence.ended += 1;
        // Only the next signal may be that of the file.
        let ahead = if answers_signal { self.taken_ahead.take() } else { None };
        let before = ahead.is_some_and(|until| sequence.signalled <= until);
        match outcome {
            Outcome::Unchanged if before => Verdict::TakenBefore,
            Outcome::Changed | Outcome::Unchanged if answers_signal => Verdict::Taken,
            Outcome::Changed | Outcome::Unchanged => {
                self.taken_ahead = Some(now.saturating_add(self.policy.window));
                Verdict::Taken
            }
            Outcome::Transient => {
                let repeats = self.repeat(sequence, now);
                match (answers_signal, repeats) {
                    (true, _) => Verdict::TurnedDown,
                    (false, true) => Verdict::WillRepeat,
                    (false, false) => Verdict::NoLongerRepeated,
                }
            }
            Outcome::Permanent if answers_signal => Verdict::TurnedDown,
            Outcome::Permanent => Verdict::NoLongerRepeated,
        }
    }

    /// Plans the next repeat, unless the window is over by then.
    fn repeat(&mut self, sequence: Sequence, now: Time) -> bool {
        let due = now.saturating_add(self.policy.pause(sequence.ended - 1));
        let over = sequence.signalled.saturating_add(self.policy.window);
        let repeats = due < over;
        if repeats {
            self.state = State::Pausing(sequence, due);
        }
        repeats
    }
}

#[cfg(test)]
mod tests;
