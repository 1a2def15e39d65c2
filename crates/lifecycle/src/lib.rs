//! The lifecycle of one process: starting, serving, drained by an operator, finishing after SIGTERM.
//!
//! From its state and the time follow what health and readiness checks are answered, whether new connections are accepted,
//! and which client connections are closed. Times are the embedder's, in any unit, and never run backwards. A process that
//! finishes never serves again.

pub mod connection;
pub mod reload;

/// A point in time or a span, in the embedder's unit.
pub type Time = u64;

/// When the connections of a drained process are closed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Spans {
    /// For this long after the start of a drain the load balancer still sends new clients, so connections are kept open.
    pub drain_notice: Time,
    /// This long after the start of a drain idle connections are closed, too. Before that only responses close theirs:
    /// a client that gets a response is not writing, while an idle one may be.
    pub drain_rest: Time,
    /// The listener outlives the process, and others accept from it: a process that finishes leaves it to them at once.
    pub shared_listener: bool,
}

/// How a process finishes, in spans from SIGTERM on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Finish {
    /// For this long all goes on as before, since new clients still come.
    pub accept: Time,
    /// All requests are answered within this.
    pub answered: Time,
}

/// Which client connections are to be closed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Closing {
    /// None.
    None,
    /// Those that get a response, after it.
    AfterResponse,
    /// Idle ones too, now.
    IdleToo,
}

/// What an operator's command or SIGTERM has changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TransitionResult {
    /// The state changed.
    Changed,
    /// The process was in that state already.
    Already,
    /// Nothing can be changed any more: the process finishes.
    Finishing,
}

impl TransitionResult {
    /// Whether the state is now the one that the caller wanted.
    pub fn is_in_effect(self) -> bool {
        self != Self::Finishing
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    /// The process does not listen for clients yet.
    Starting,
    Serving,
    Drained {
        since: Time,
    },
    Finishing {
        accept_until: Time,
        answered_by: Time,
    },
}

/// The state machine of one process.
#[derive(Debug, Clone)]
pub struct Lifecycle {
    spans: Spans,
    state: State,
    /// How often the state has changed.
    changes: u64,
}

impl Lifecycle {
    /// A process that is starting.
    pub fn new(spans: Spans) -> Self {
        Self { spans, state: State::Starting, changes: 0 }
    }

    fn change_to(&mut self, state: State) -> TransitionResult {
        self.state = state;
        self.changes += 1;
        TransitionResult::Changed
    }

    /// The process listens for clients from now on. One that was drained before stays drained.
    pub fn listening(&mut self) {
        if self.state == State::Starting {
            self.change_to(State::Serving);
        }
    }

    /// An operator starts a drain. A process that finishes is being drained already.
    pub fn drain_start(&mut self, now: Time) -> TransitionResult {
        match self.state {
            State::Starting | State::Serving => self.change_to(State::Drained { since: now }),
            State::Drained { .. } | State::Finishing { .. } => TransitionResult::Already,
        }
    }

    /// An operator ends a drain: the process accepts clients again.
    pub fn drain_stop(&mut self) -> TransitionResult {
        match self.state {
            State::Drained { .. } => self.change_to(State::Serving),
            State::Starting | State::Serving => TransitionResult::Already,
            State::Finishing { .. } => TransitionResult::Finishing,
        }
    }

    /// SIGTERM has come. Only the first one counts.
    pub fn terminate(&mut self, now: Time, finish: Finish) -> TransitionResult {
        match self.state {
            State::Finishing { .. } => TransitionResult::Already,
            State::Starting | State::Serving | State::Drained { .. } => self.change_to(State::Finishing {
                accept_until: now.saturating_add(finish.accept),
                answered_by: now.saturating_add(finish.answered),
            }),
        }
    }

    /// Whether new clients are accepted: what health checks are answered, as far as it depends on this.
    pub fn wants_clients(&self) -> bool {
        self.state == State::Serving
    }

    /// Why new clients are not accepted, in a word that health checks are answered.
    pub fn not_serving_reason(&self) -> Option<&'static str> {
        match self.state {
            State::Starting => Some("starting"),
            State::Serving => None,
            State::Drained { .. } => Some("drained"),
            State::Finishing { .. } => Some("draining"),
        }
    }

    /// Whether SIGTERM has come. Before that connections are accepted, also by a drained process: they come from a load
    /// balancer that has not noticed yet, and refusing them would lose their requests.
    pub fn finishing(&self) -> bool {
        matches!(self.state, State::Finishing { .. })
    }

    /// By when all requests must be answered, whatever their deadlines; `Time::MAX` unless the process finishes.
    pub fn answered_by(&self) -> Time {
        match self.state {
            State::Finishing { answered_by, .. } => answered_by,
            _ => Time::MAX,
        }
    }

    /// Which connections are to be closed now.
    pub fn closing(&self, now: Time) -> Closing {
        let Spans { drain_notice, drain_rest, shared_listener } = self.spans;
        let is_after = |since: Time, span: Time| now >= since.saturating_add(span);
        match self.state {
            State::Drained { since } if is_after(since, drain_rest) => Closing::IdleToo,
            State::Drained { since } if is_after(since, drain_notice) => Closing::AfterResponse,
            State::Finishing { accept_until, .. } if now >= accept_until => Closing::IdleToo,
            // A client that gets its response now finds another process at the same address.
            State::Finishing { .. } if shared_listener => Closing::AfterResponse,
            _ => Closing::None,
        }
    }

    /// How often the state has changed: whoever acts on a state stops once this has changed.
    pub fn changes(&self) -> u64 {
        self.changes
    }
}

#[cfg(test)]
mod tests;
