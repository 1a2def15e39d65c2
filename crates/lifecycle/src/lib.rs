//! The life of one process: starting, serving, drained by an operator, finishing after SIGTERM.
//!
//! Everything that others ask of it follows from its state and the time: what health and readiness say, whether
//! new connections are accepted, which client connections are closed. Times are the embedder's, in any unit that
//! only grows. A process that finishes never serves again.

pub mod connection;
pub mod reload;

/// A moment, or a span between two, in the embedder's unit.
pub type Time = u64;

/// The spans that the machine goes by.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Spans {
    /// Drained: for so long after the call the front still sends new clients, so connections are kept.
    pub drain_notice: Time,
    /// Drained: after so long connections at rest are closed. Before that only answers close theirs, since a client
    /// that is answered is not writing, while one at rest may be.
    pub drain_rest: Time,
    /// The listener outlives the process, and others accept from it: one that finishes leaves it to them at once.
    pub shared_listener: bool,
}

/// How a process finishes, in spans from SIGTERM on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Finish {
    /// For so long all goes on as before, since new clients still come.
    pub accept: Time,
    /// All is answered within this.
    pub answered: Time,
}

/// Which client connections are to be closed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Closing {
    /// None.
    None,
    /// Those that get an answer, with it.
    Answered,
    /// Those at rest too, now.
    Resting,
}

/// What an operator's call comes to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Called {
    /// It is so from now on.
    Changed,
    /// It was so already.
    Already,
    /// It cannot be: the process finishes.
    Finishing,
}

impl Called {
    /// Whether the caller is told yes.
    pub fn yes(self) -> bool {
        self != Self::Finishing
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    /// Clients are not yet listened for.
    Starting,
    Serving,
    Drained(Time),
    Finishing {
        accept_until: Time,
        answered_by: Time,
    },
}

/// The machine.
#[derive(Debug, Clone)]
pub struct Lifecycle {
    spans: Spans,
    state: State,
    /// How often the state has changed.
    changes: u64,
}

impl Lifecycle {
    /// A process that starts.
    pub fn new(spans: Spans) -> Self {
        Self { spans, state: State::Starting, changes: 0 }
    }

    fn to(&mut self, state: State) -> Called {
        (self.state, self.changes) = (state, self.changes + 1);
        Called::Changed
    }

    /// Clients are listened for from now on. One that was drained before stays so.
    pub fn listening(&mut self) {
        if self.state == State::Starting {
            self.to(State::Serving);
        }
    }

    /// An operator empties it. A process that finishes is being emptied already.
    pub fn drain_start(&mut self, now: Time) -> Called {
        match self.state {
            State::Starting | State::Serving => self.to(State::Drained(now)),
            State::Drained(_) | State::Finishing { .. } => Called::Already,
        }
    }

    /// An operator has it take clients again.
    pub fn drain_stop(&mut self) -> Called {
        match self.state {
            State::Drained(_) => self.to(State::Serving),
            State::Starting | State::Serving => Called::Already,
            State::Finishing { .. } => Called::Finishing,
        }
    }

    /// SIGTERM has come. Only the first counts.
    pub fn term(&mut self, now: Time, finish: Finish) -> Called {
        let (accept_until, answered_by) =
            (now.saturating_add(finish.accept), now.saturating_add(finish.answered));
        match self.state {
            State::Finishing { .. } => Called::Already,
            _ => self.to(State::Finishing { accept_until, answered_by }),
        }
    }

    /// Whether new clients are wanted: what health says, as far as it depends on this.
    pub fn wants_clients(&self) -> bool {
        self.state == State::Serving
    }

    /// Why they are not, in a word.
    pub fn why_not(&self) -> Option<&'static str> {
        match self.state {
            State::Starting => Some("starting"),
            State::Serving => None,
            State::Drained(_) => Some("drained"),
            State::Finishing { .. } => Some("draining"),
        }
    }

    /// Whether SIGTERM has come. Before that connections are accepted, also by one that is drained: they come from a
    /// front that has not noticed yet, and refusing them would lose what they ask.
    pub fn finishing(&self) -> bool {
        matches!(self.state, State::Finishing { .. })
    }

    /// By when all must be answered, whatever time clients give; `Time::MAX` unless it finishes.
    pub fn answered_by(&self) -> Time {
        match self.state {
            State::Finishing { answered_by, .. } => answered_by,
            _ => Time::MAX,
        }
    }

    /// Which connections are to be closed at this time.
    pub fn closing(&self, now: Time) -> Closing {
        let Spans { drain_notice, drain_rest, shared_listener } = self.spans;
        let after = |since: Time, span: Time| now >= since.saturating_add(span);
        match self.state {
            State::Drained(since) if after(since, drain_rest) => Closing::Resting,
            State::Drained(since) if after(since, drain_notice) => Closing::Answered,
            State::Finishing { accept_until, .. } if now >= accept_until => Closing::Resting,
            // Whoever is answered now finds the other process at the same address.
            State::Finishing { .. } if shared_listener => Closing::Answered,
            _ => Closing::None,
        }
    }

    /// How often the state has changed: whoever acts on one state ends with it.
    pub fn changes(&self) -> u64 {
        self.changes
    }
}

#[cfg(test)]
mod tests;
