//! The lifecycle of a process: starting, serving, drained by an operator, and finishing after SIGTERM.
//!
//! The state and the time determine the answers to health and readiness checks, whether new connections are accepted,
//! and which client connections are closed. The embedder chooses the unit of time; its times are monotonic. A process
//! that is finishing never serves again.

pub mod connection;
pub mod reload;

/// A point in time or a duration, in the embedder's unit.
pub type Time = u64;

/// The rules for closing connections during a drain and at the end of the process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DrainTimings {
    /// How long connections are kept open after the start of a drain, since the load balancer still sends new clients.
    pub drain_notice: Time,
    /// When idle connections are closed too, as a duration from the start of a drain. Before that, a connection is
    /// closed only after a response: a client that receives a response is not writing, while an idle client may be.
    pub idle_close_delay: Time,
    /// Whether other processes accept from the same listener, which outlives the process. A process that is finishing
    /// then leaves new clients to them at once.
    pub shared_listener: bool,
}

/// Time limits of a process that is finishing, as durations from SIGTERM.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ShutdownLimits {
    /// How long connections are accepted and kept open as before, since new clients still connect.
    pub accept_duration: Time,
    /// The duration within which all requests are answered.
    pub answer_duration: Time,
}

impl ShutdownLimits {
    /// The shorter one of each limit.
    fn shortest(self, other: Self) -> Self {
        Self {
            accept_duration: self.accept_duration.min(other.accept_duration),
            answer_duration: self.answer_duration.min(other.answer_duration),
        }
    }
}

/// The client connections to close.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Closing {
    /// All connections stay open.
    None,
    /// Each connection is closed after its next response.
    AfterResponse,
    /// Idle connections are closed at once, and the others after their next response.
    IdleAndAfterResponse,
}

/// The result of an operator's command or SIGTERM.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TransitionResult {
    /// The state changed.
    Changed,
    /// The process was already in the requested state.
    Already,
    /// The command was rejected because the process is finishing.
    Finishing,
}

impl TransitionResult {
    /// Whether the process is in the requested state.
    pub fn is_in_effect(self) -> bool {
        self != Self::Finishing
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    /// The process does not yet listen for clients.
    Starting,
    Serving,
    Drained {
        since: Time,
    },
    Finishing {
        since: Time,
        limits: ShutdownLimits,
    },
}

/// The lifecycle state machine of a process.
#[derive(Debug, Clone)]
pub struct Lifecycle {
    timings: DrainTimings,
    state: State,
    /// The number of state changes.
    changes: u64,
}

impl Lifecycle {
    /// Creates the state of a process that is starting.
    pub fn new(timings: DrainTimings) -> Self {
        Self { timings, state: State::Starting, changes: 0 }
    }

    fn transition_to(&mut self, state: State) -> TransitionResult {
        self.state = state;
        self.changes += 1;
        TransitionResult::Changed
    }

    /// Records that the process listens for clients. A process that was drained before stays drained.
    pub fn listening(&mut self) {
        if self.state == State::Starting {
            self.transition_to(State::Serving);
        }
    }

    /// Starts a drain at an operator's command. A process that is finishing counts as already drained.
    pub fn start_drain(&mut self, now: Time) -> TransitionResult {
        match self.state {
            State::Starting | State::Serving => self.transition_to(State::Drained { since: now }),
            State::Drained { .. } | State::Finishing { .. } => TransitionResult::Already,
        }
    }

    /// Ends a drain at an operator's command: the process serves clients again.
    pub fn stop_drain(&mut self) -> TransitionResult {
        match self.state {
            State::Drained { .. } => self.transition_to(State::Serving),
            State::Starting | State::Serving => TransitionResult::Already,
            State::Finishing { .. } => TransitionResult::Finishing,
        }
    }

    /// Begins finishing after SIGTERM. Only the first SIGTERM has an effect.
    pub fn terminate(&mut self, now: Time, limits: ShutdownLimits) -> TransitionResult {
        match self.state {
            State::Finishing { .. } => TransitionResult::Already,
            State::Starting | State::Serving | State::Drained { .. } => {
                self.transition_to(State::Finishing { since: now, limits })
            }
        }
    }

    /// Shortens the limits of a process that is finishing to those of newer settings. Longer limits have no effect:
    /// what enforces the end of the process may still go by the shorter ones.
    pub fn shorten_shutdown(&mut self, newer: ShutdownLimits) -> TransitionResult {
        match self.state {
            State::Finishing { since, limits } if limits.shortest(newer) != limits => {
                self.transition_to(State::Finishing { since, limits: limits.shortest(newer) })
            }
            _ => TransitionResult::Already,
        }
    }

    /// Whether the process serves new clients, one of the conditions of a successful health check.
    pub fn is_serving(&self) -> bool {
        self.state == State::Serving
    }

    /// The reason, as a word in the health check's answer, why no new clients are wanted; `None` while serving.
    pub fn not_serving_reason(&self) -> Option<&'static str> {
        match self.state {
            State::Starting => Some("starting"),
            State::Serving => None,
            State::Drained { .. } => Some("drained"),
            State::Finishing { .. } => Some("draining"),
        }
    }

    /// Whether SIGTERM was received. Until then even a drained process accepts connections: the load balancer may not
    /// have noticed the drain, and refusing its connections would lose their requests.
    pub fn is_shutting_down(&self) -> bool {
        matches!(self.state, State::Finishing { .. })
    }

    /// When all requests must be answered, regardless of their own deadlines; `Time::MAX` unless the process is
    /// finishing.
    pub fn answered_by(&self) -> Time {
        match self.state {
            State::Finishing { since, limits } => since.saturating_add(limits.answer_duration),
            _ => Time::MAX,
        }
    }

    /// The connections to close at `now`.
    pub fn closing(&self, now: Time) -> Closing {
        let DrainTimings { drain_notice, idle_close_delay, shared_listener } = self.timings;
        let has_passed = |since: Time, span: Time| now >= since.saturating_add(span);
        match self.state {
            State::Drained { since } if has_passed(since, idle_close_delay) => Closing::IdleAndAfterResponse,
            State::Drained { since } if has_passed(since, drain_notice) => Closing::AfterResponse,
            State::Finishing { since, limits } if has_passed(since, limits.accept_duration) => {
                Closing::IdleAndAfterResponse
            }
            // Other processes accept from the same listener, so these clients can reconnect at the same address.
            State::Finishing { .. } if shared_listener => Closing::AfterResponse,
            _ => Closing::None,
        }
    }

    /// The number of state changes. An action that depends on a state stops when this number changes.
    pub fn changes(&self) -> u64 {
        self.changes
    }
}

#[cfg(test)]
mod tests;
