//! When the next call to discovery may begin: jitter, exponential backoff and hedging.

use curlewdeck_core::api::{DiscoveryMode, Nanos};
use fastrand::Rng;

use crate::subscription::CallEnd;
use crate::CALL_GAP;

/// So many calls the service answers at least within the time in which each coordinator has to ask.
const CALLS_SERVED: Nanos = 200;
/// A spread of first calls below this share of that time is not worth a pause.
const SPREAD_WORTH: Nanos = 20;
/// The first pause after a failed call is this share of that time at most.
const FIRST_PAUSE: Nanos = 13;
/// A pause doubles with each failure in a row, so many times.
const DOUBLINGS: u32 = 3;
/// An agent on the own machine is asked again within this, whatever failed: what it has counts at once. The pause doubles
/// with each failure in a row, so many times, and more often where what the agent says cannot be read.
const AGENT_PAUSE: Nanos = 40_000_000;
/// See there.
const AGENT_DOUBLINGS: u32 = 2;
/// See there.
const UNREADABLE_DOUBLINGS: u32 = 5;
/// An agent answers at once: one that has not in this long is asked anew.
const AGENT_ANSWER: Nanos = 500_000_000;
/// Pauses of few coordinators, and those after a move of the service: several calls may fail before one has to be
/// answered.
const SHORT_PAUSE: Nanos = 600_000_000;
/// The same of a call that is not answered: a service that is merely busy has answered by then.
const HEDGE_OF_FEW: Nanos = 2_200_000_000;
/// The same after a move, whose news is in force sooner.
const HEDGE_AFTER_MOVE: Nanos = 1_800_000_000;
/// A watch that was sound is opened anew within this, or within the spread of many coordinators: it may have ended
/// instead of telling.
const WATCH_END_PAUSE: Nanos = 150_000_000;
/// After a failure of this machine's own, which says nothing of the service, a call begins anew within this.
const LOCAL_PAUSE: Nanos = 200_000_000;
/// A watch that lasted for this long was sound: the next call does not back off.
const SOUND_WATCH: Nanos = 500_000_000;
/// So many watches in a row may be shorter and are opened anew at once all the same.
const SHORT_WATCHES: u32 = 3;

/// Spans of calls that the process's limits give.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Spans {
    /// A call that is not answered within this gets a second one beside it.
    pub hedge: Nanos,
    /// A watch without a whole line for this long is suspect.
    pub silence: Nanos,
}

/// The pace of calls to discovery of one coordinator.
#[derive(Debug)]
pub struct Pacing {
    discovery: DiscoveryMode,
    coordinators: u32,
    spans: Spans,
    rng: Rng,
    /// Calls that failed in a row.
    failures: u32,
    /// A sound watch has just ended.
    sound_watch: bool,
    /// Watches in a row that were short.
    short_watches: u32,
}

impl Pacing {
    /// The pace under `discovery`, beside so many coordinators.
    pub fn new(discovery: DiscoveryMode, coordinators: u32, spans: Spans, seed: u64) -> Self {
        Self {
            discovery,
            coordinators,
            spans,
            rng: Rng::with_seed(seed),
            failures: 0,
            sound_watch: false,
            short_watches: 0,
        }
    }

    /// How the list comes.
    pub fn discovery(&self) -> DiscoveryMode {
        self.discovery
    }

    /// The spans that the process's limits give.
    pub fn spans(&self) -> Spans {
        self.spans
    }

    /// One service answers all coordinators in turn, and works on for those that wait no longer. So the calls of each
    /// are spread over what a call of each other takes there.
    fn spread(&self, must_ask_in: Nanos) -> Nanos {
        let others = Nanos::from(self.coordinators.saturating_sub(1));
        (must_ask_in / CALLS_SERVED).saturating_mul(others).min(must_ask_in / 2)
    }

    /// How long after the start the first call begins: all coordinators may have started at once.
    pub fn first_pause(&mut self) -> Nanos {
        let DiscoveryMode::Poll { poll_interval_max: must_ask_in } = self.discovery else { return 0 };
        let spread = self.spread(must_ask_in);
        if spread <= must_ask_in / SPREAD_WORTH {
            return 0;
        }
        self.share_of(spread)
    }

    /// A watch or a call has been answered, and stood for `lasted` since.
    pub fn stood(&mut self, lasted: Nanos) {
        if lasted >= SOUND_WATCH {
            self.short_watches = 0;
        }
    }

    /// A watch has ended that stood for `lasted`. One that was short may have ended instead of telling; several in a row
    /// come from a service that keeps none.
    pub fn watch_ended(&mut self, lasted: Nanos) {
        self.stood(lasted);
        self.sound_watch = self.short_watches < SHORT_WATCHES;
        self.short_watches = self.short_watches.saturating_add(1);
        if self.sound_watch {
            self.failures = 0;
        }
    }

    /// How long after a call or a watch has ended so the next one begins. `gone` is the time since discovery was last heard
    /// or called, and `urgent` tells that an answer is wanted soon.
    ///
    /// A service that was reached has worked for the call and may be worn out by more of them: pauses double. Where nobody
    /// answered, few coordinators call again soon.
    pub fn pause(&mut self, gone: Nanos, urgent: bool, end: CallEnd) -> Nanos {
        if end == CallEnd::LocalFailure {
            return self.jittered(LOCAL_PAUSE);
        }
        let (failures, sound_watch_ended) = (self.failures, std::mem::take(&mut self.sound_watch));
        if !sound_watch_ended {
            self.failures = self.failures.saturating_add(1);
        }
        let DiscoveryMode::Poll { poll_interval_max: must_ask_in } = self.discovery else {
            return if sound_watch_ended {
                0
            } else {
                self.agent_pause(failures, end == CallEnd::Unreadable)
            };
        };
        let spread = self.spread(must_ask_in);
        let first = (must_ask_in / FIRST_PAUSE).max(spread);
        let left = CALL_GAP.saturating_sub(gone);
        let most = (first << failures.min(DOUBLINGS)).min(left);
        match end {
            CallEnd::WatchEnded | CallEnd::Broken | CallEnd::Truncated | CallEnd::Complete
                if sound_watch_ended =>
            {
                self.share_of(WATCH_END_PAUSE.max(spread).min(left))
            }
            CallEnd::Unreachable | CallEnd::Unanswered if urgent || self.coordinators_are_few() => {
                self.jittered(most.min(SHORT_PAUSE.max(spread)))
            }
            _ => self.jittered(most),
        }
    }

    /// What an agent has counts at once; where it cannot be read, another call will seldom help.
    fn agent_pause(&mut self, failures: u32, unreadable: bool) -> Nanos {
        let most = if unreadable { UNREADABLE_DOUBLINGS } else { AGENT_DOUBLINGS };
        let pause = AGENT_PAUSE << failures.min(most);
        pause - self.share_of(pause / 4)
    }

    /// How long a call may go unanswered before another one begins; `beside` tells that one beside it is not answered
    /// either, so that a slow service is to be given time, and `moved` that the service has moved just now.
    pub fn hedge_after(&mut self, moved: bool, beside: bool) -> Nanos {
        let least = self.spans.hedge.min(CALL_GAP);
        let hedge = least + self.share_of(CALL_GAP - least);
        match self.discovery {
            _ if beside => hedge,
            DiscoveryMode::Push => AGENT_ANSWER,
            DiscoveryMode::Poll { .. } if moved => hedge.min(HEDGE_AFTER_MOVE),
            DiscoveryMode::Poll { .. } if self.coordinators_are_few() => hedge.min(HEDGE_OF_FEW),
            DiscoveryMode::Poll { .. } => hedge,
        }
    }

    /// Whether the calls of all of them at once are no load.
    pub fn coordinators_are_few(&self) -> bool {
        match self.discovery {
            DiscoveryMode::Poll { poll_interval_max: must_ask_in } => self.spread(must_ask_in) <= SHORT_PAUSE,
            DiscoveryMode::Push => true,
        }
    }

    /// Between a third of a span and all of it.
    fn jittered(&mut self, most: Nanos) -> Nanos {
        let least = most / 3;
        least + self.share_of(most - least)
    }

    /// A random share of a span.
    fn share_of(&mut self, span: Nanos) -> Nanos {
        (span as f64 * self.rng.f64()) as Nanos
    }
}
