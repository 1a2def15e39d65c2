//! When the next call to discovery may begin: jitter, exponential backoff and hedging.

use curlewdeck_core::api::{DiscoveryMode, Nanos};
use fastrand::Rng;

use crate::call::CallEnd;
use crate::{CALL_GAP, MILLISECOND};

/// The least number of calls that the service answers within the longest poll interval.
const CALLS_PER_POLL_INTERVAL: Nanos = 200;
/// First calls are spread only if the spread is longer than this fraction (1/n) of the longest poll interval.
const MIN_SPREAD_DIVISOR: Nanos = 20;
/// The longest first backoff after a failed call, as a fraction (1/n) of the longest poll interval.
const FIRST_BACKOFF_DIVISOR: Nanos = 13;
/// How many times the backoff doubles at most; it doubles with each consecutive failure.
const MAX_BACKOFF_DOUBLINGS: u32 = 3;

/// The first backoff with a local agent. It is short since a coordinator counts as notified of the agent's changes at
/// once.
const AGENT_FIRST_BACKOFF: Nanos = 40 * MILLISECOND;
/// As [`MAX_BACKOFF_DOUBLINGS`], with a local agent.
const AGENT_MAX_BACKOFF_DOUBLINGS: u32 = 2;
/// As [`AGENT_MAX_BACKOFF_DOUBLINGS`], if the agent's data cannot be parsed: another call rarely succeeds.
const AGENT_MAX_UNREADABLE_DOUBLINGS: u32 = 5;
/// The fraction (1/n) of a backoff with a local agent that is jitter.
const AGENT_JITTER_DIVISOR: Nanos = 4;
/// The hedge delay with a local agent, which normally answers at once.
const AGENT_HEDGE_DELAY: Nanos = 500 * MILLISECOND;

/// The longest backoff of a small fleet and after a move of the service. Several calls can fail before the deadline for
/// an answer.
const SHORT_BACKOFF: Nanos = 600 * MILLISECOND;
/// The longest hedge delay of a small fleet. A service that is only busy answers within it.
const SMALL_FLEET_HEDGE_DELAY: Nanos = 2_200 * MILLISECOND;
/// The longest hedge delay after a move of the service, when the time limit for changes is shorter.
const MOVED_HEDGE_DELAY: Nanos = 1_800 * MILLISECOND;
/// The longest delay before a stable watch is reopened, unless the spread of a large fleet is longer. It is short since
/// the watch may have ended instead of sending a change.
const REOPEN_DELAY: Nanos = 150 * MILLISECOND;
/// The longest backoff after a failure on this machine, which is no evidence of a fault of the service.
const LOCAL_FAILURE_BACKOFF: Nanos = 200 * MILLISECOND;
/// The shortest jittered backoff, as a fraction (1/n) of its maximum.
const MIN_JITTERED_DIVISOR: Nanos = 3;

/// The shortest duration of a stable watch, after which the next call does not back off.
const STABLE_WATCH_DURATION: Nanos = 500 * MILLISECOND;
/// How many consecutive shorter watches are reopened without backoff.
const MAX_SHORT_WATCHES: u32 = 3;

/// The delays before a hedging call, from the limits of the process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HedgeDelays {
    /// The base delay before an unanswered call is hedged, to which [`Pacing`] adds jitter and its own limits.
    pub hedge: Nanos,
    /// The time without a complete line after which a watch is hedged by a second call.
    pub silence: Nanos,
}

/// The pace of one coordinator's calls to discovery.
#[derive(Debug)]
pub struct Pacing {
    discovery: DiscoveryMode,
    coordinators: u32,
    hedge_delays: HedgeDelays,
    rng: Rng,
    consecutive_failures: u32,
    /// A watch that permits a reopening without backoff has just ended.
    stable_watch_ended: bool,
    consecutive_short_watches: u32,
}

impl Pacing {
    /// Creates the pacing of one of `coordinators` coordinators that all call the same service.
    pub fn new(discovery: DiscoveryMode, coordinators: u32, hedge_delays: HedgeDelays, seed: u64) -> Self {
        Self {
            discovery,
            coordinators,
            hedge_delays,
            rng: Rng::with_seed(seed),
            consecutive_failures: 0,
            stable_watch_ended: false,
            consecutive_short_watches: 0,
        }
    }

    /// Whether the list comes from a local agent (push) or from a service that all coordinators poll.
    pub fn discovery(&self) -> DiscoveryMode {
        self.discovery
    }

    /// The hedging delays given at the creation.
    pub fn hedge_delays(&self) -> HedgeDelays {
        self.hedge_delays
    }

    /// The time over which calls are spread. One service answers all coordinators in turn and also completes calls
    /// whose coordinators no longer wait. Each coordinator therefore leaves it time for one call of every other
    /// coordinator.
    fn spread(&self, poll_interval_max: Nanos) -> Nanos {
        let others = Nanos::from(self.coordinators.saturating_sub(1));
        let call = poll_interval_max / CALLS_PER_POLL_INTERVAL;
        call.saturating_mul(others).min(poll_interval_max / 2)
    }

    /// The delay before the first call, randomized because all coordinators may start at the same time.
    pub fn initial_delay(&mut self) -> Nanos {
        let DiscoveryMode::Poll { poll_interval_max } = self.discovery else { return 0 };
        let spread = self.spread(poll_interval_max);
        if spread <= poll_interval_max / MIN_SPREAD_DIVISOR {
            return 0;
        }
        self.random_fraction_of(spread)
    }

    /// Records that messages have arrived on a call for `duration` since its first answer.
    pub fn watch_lasted(&mut self, duration: Nanos) {
        if duration >= STABLE_WATCH_DURATION {
            self.consecutive_short_watches = 0;
        }
    }

    /// Records the end of a watch after `duration`. A short watch may have ended instead of sending a change, but
    /// several consecutive ones show that the service keeps no watch open.
    pub fn watch_ended(&mut self, duration: Nanos) {
        self.watch_lasted(duration);
        self.stable_watch_ended = self.consecutive_short_watches < MAX_SHORT_WATCHES;
        self.consecutive_short_watches = self.consecutive_short_watches.saturating_add(1);
        if self.stable_watch_ended {
            self.consecutive_failures = 0;
        }
    }

    /// The delay before the next call after a call or a watch ended with `end`. `since_contact` is the time since the
    /// last message from discovery or the last call to it; `urgent` is set if an answer is needed soon.
    ///
    /// A call that reached the service cost it work, and more calls may overload it, so backoffs double. After a call
    /// that was not answered, a small fleet calls again soon.
    pub fn retry_delay(&mut self, since_contact: Nanos, urgent: bool, end: CallEnd) -> Nanos {
        if end == CallEnd::LocalFailure {
            return self.jittered(LOCAL_FAILURE_BACKOFF);
        }
        let failures = self.consecutive_failures;
        let stable_watch_ended = std::mem::take(&mut self.stable_watch_ended);
        if !stable_watch_ended {
            self.consecutive_failures = self.consecutive_failures.saturating_add(1);
        }
        match self.discovery {
            DiscoveryMode::Push if stable_watch_ended => 0,
            DiscoveryMode::Push => self.agent_backoff(failures, end),
            DiscoveryMode::Poll { poll_interval_max } => {
                let spread = self.spread(poll_interval_max);
                let remaining = CALL_GAP.saturating_sub(since_contact);
                if stable_watch_ended && end.may_have_been_watch() {
                    return self.random_fraction_of(REOPEN_DELAY.max(spread).min(remaining));
                }
                let first_backoff = (poll_interval_max / FIRST_BACKOFF_DIVISOR).max(spread);
                let backoff = (first_backoff << failures.min(MAX_BACKOFF_DOUBLINGS)).min(remaining);
                let is_short = end.was_not_served() && (urgent || self.coordinators_are_few());
                self.jittered(if is_short { backoff.min(SHORT_BACKOFF.max(spread)) } else { backoff })
            }
        }
    }

    fn agent_backoff(&mut self, failures: u32, end: CallEnd) -> Nanos {
        let max_doublings = match end {
            CallEnd::Unreadable => AGENT_MAX_UNREADABLE_DOUBLINGS,
            _ => AGENT_MAX_BACKOFF_DOUBLINGS,
        };
        let backoff = AGENT_FIRST_BACKOFF << failures.min(max_doublings);
        backoff - self.random_fraction_of(backoff / AGENT_JITTER_DIVISOR)
    }

    /// The time without an answer after which a call is hedged. `moved` is set shortly after a move of the service, and
    /// `other_call_unanswered` if another open call is unanswered too, so that a slow service gets the longer delay.
    pub fn hedge_delay(&mut self, moved: bool, other_call_unanswered: bool) -> Nanos {
        let min = self.hedge_delays.hedge.min(CALL_GAP);
        let delay = min + self.random_fraction_of(CALL_GAP - min);
        match self.discovery {
            _ if other_call_unanswered => delay,
            DiscoveryMode::Push => AGENT_HEDGE_DELAY,
            DiscoveryMode::Poll { .. } if moved => delay.min(MOVED_HEDGE_DELAY),
            DiscoveryMode::Poll { .. } if self.coordinators_are_few() => delay.min(SMALL_FLEET_HEDGE_DELAY),
            DiscoveryMode::Poll { .. } => delay,
        }
    }

    /// Whether the fleet is small enough that simultaneous calls of all its coordinators do not load the service.
    pub fn coordinators_are_few(&self) -> bool {
        match self.discovery {
            DiscoveryMode::Poll { poll_interval_max } => self.spread(poll_interval_max) <= SHORT_BACKOFF,
            DiscoveryMode::Push => true,
        }
    }

    /// A random span between `max / MIN_JITTERED_DIVISOR` and `max`.
    fn jittered(&mut self, max: Nanos) -> Nanos {
        let min = max / MIN_JITTERED_DIVISOR;
        min + self.random_fraction_of(max - min)
    }

    fn random_fraction_of(&mut self, span: Nanos) -> Nanos {
        (span as f64 * self.rng.f64()) as Nanos
    }
}
