//! When the next call to discovery may begin: jitter, exponential backoff and hedging.

use curlewdeck_core::api::{DiscoveryMode, Nanos};
use fastrand::Rng;

use crate::call::CallEnd;
use crate::{CALL_GAP, MILLISECOND};

/// The service answers at least this many calls within the longest poll interval.
const CALLS_PER_POLL_INTERVAL: Nanos = 200;
/// First calls are spread only where that takes more than this fraction (1/n) of the longest poll interval.
const MIN_SPREAD_DIVISOR: Nanos = 20;
/// The first backoff after a failed call is at most this fraction (1/n) of the longest poll interval.
const FIRST_BACKOFF_DIVISOR: Nanos = 13;
/// A backoff doubles with each failure in a row, up to this many times.
const MAX_BACKOFF_DOUBLINGS: u32 = 3;

/// The first backoff from a local agent: short, since changes that it has count at once.
const AGENT_FIRST_BACKOFF: Nanos = 40 * MILLISECOND;
/// As [`MAX_BACKOFF_DOUBLINGS`], from a local agent.
const AGENT_MAX_BACKOFF_DOUBLINGS: u32 = 2;
/// The same where what the agent sends cannot be read: another call will seldom help.
const AGENT_MAX_UNREADABLE_DOUBLINGS: u32 = 5;
/// The share (1/n) of a backoff from a local agent that is jitter.
const AGENT_JITTER_DIVISOR: Nanos = 4;
/// A local agent answers at once: one that has not after this long is called again.
const AGENT_HEDGE_DELAY: Nanos = 500 * MILLISECOND;

/// The longest backoff of a small fleet, and after a move of the service: several calls may fail before one has to be
/// answered.
const SHORT_BACKOFF: Nanos = 600 * MILLISECOND;
/// The longest hedge delay of a small fleet: a service that is merely busy has answered by then.
const SMALL_FLEET_HEDGE_DELAY: Nanos = 2_200 * MILLISECOND;
/// The longest hedge delay after a move of the service, whose changes count sooner.
const MOVED_HEDGE_DELAY: Nanos = 1_800 * MILLISECOND;
/// A stable watch that has ended is reopened within this, or within the spread of a large fleet: it may have ended instead
/// of sending a change.
const REOPEN_DELAY: Nanos = 150 * MILLISECOND;
/// The longest backoff after a failure of this machine, which says nothing of the service.
const LOCAL_FAILURE_BACKOFF: Nanos = 200 * MILLISECOND;
/// A jittered backoff is at least this fraction (1/n) of its maximum.
const MIN_JITTERED_DIVISOR: Nanos = 3;

/// A watch that lasted this long was stable: the next call does not back off.
const STABLE_WATCH_DURATION: Nanos = 500 * MILLISECOND;
/// This many shorter watches in a row are reopened without backoff all the same.
const MAX_SHORT_WATCHES: u32 = 3;

/// Spans of calls that the process's limits give.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Spans {
    /// A call that is not answered within this is hedged by a second one.
    pub hedge: Nanos,
    /// A watch without a complete line for this long is hedged by a second call.
    pub silence: Nanos,
}

/// The pace of one coordinator's calls to discovery.
#[derive(Debug)]
pub struct Pacing {
    discovery: DiscoveryMode,
    coordinators: u32,
    spans: Spans,
    rng: Rng,
    /// Calls that failed in a row.
    failures: u32,
    /// A stable watch has just ended.
    stable_watch_ended: bool,
    /// Watches in a row that were short.
    short_watches: u32,
}

impl Pacing {
    /// The pace under `discovery`, beside this many coordinators in all.
    pub fn new(discovery: DiscoveryMode, coordinators: u32, spans: Spans, seed: u64) -> Self {
        Self {
            discovery,
            coordinators,
            spans,
            rng: Rng::with_seed(seed),
            failures: 0,
            stable_watch_ended: false,
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

    /// The time over which calls are spread. One service answers all coordinators in turn, and works on for those that
    /// have stopped waiting: each coordinator leaves it time for a call of every other one.
    fn spread(&self, poll_interval_max: Nanos) -> Nanos {
        let others = Nanos::from(self.coordinators.saturating_sub(1));
        let call = poll_interval_max / CALLS_PER_POLL_INTERVAL;
        call.saturating_mul(others).min(poll_interval_max / 2)
    }

    /// How long after the start the first call begins: all coordinators may have started at once.
    pub fn first_pause(&mut self) -> Nanos {
        let DiscoveryMode::Poll { poll_interval_max } = self.discovery else { return 0 };
        let spread = self.spread(poll_interval_max);
        if spread <= poll_interval_max / MIN_SPREAD_DIVISOR {
            return 0;
        }
        self.random_share(spread)
    }

    /// A call was answered, and has been heard for `duration` since.
    pub fn watch_lasted(&mut self, duration: Nanos) {
        if duration >= STABLE_WATCH_DURATION {
            self.short_watches = 0;
        }
    }

    /// A watch has ended after `duration`. One that was short may have ended instead of sending a change; several in a row
    /// come from a service that keeps none open.
    pub fn watch_ended(&mut self, duration: Nanos) {
        self.watch_lasted(duration);
        self.stable_watch_ended = self.short_watches < MAX_SHORT_WATCHES;
        self.short_watches = self.short_watches.saturating_add(1);
        if self.stable_watch_ended {
            self.failures = 0;
        }
    }

    /// How long after a call or a watch has ended in this way the next call begins. `since_contact` is the time since
    /// discovery was last heard or called, and `urgent` tells that an answer is needed soon.
    ///
    /// A service that was reached has worked for the call and may be overloaded by more of them: backoffs double. Where
    /// nobody answered, a small fleet calls again soon.
    pub fn pause(&mut self, since_contact: Nanos, urgent: bool, end: CallEnd) -> Nanos {
        if end == CallEnd::LocalFailure {
            return self.jittered(LOCAL_FAILURE_BACKOFF);
        }
        let failures = self.failures;
        let stable_watch_ended = std::mem::take(&mut self.stable_watch_ended);
        if !stable_watch_ended {
            self.failures = self.failures.saturating_add(1);
        }
        match self.discovery {
            DiscoveryMode::Push if stable_watch_ended => 0,
            DiscoveryMode::Push => self.agent_backoff(failures, end),
            DiscoveryMode::Poll { poll_interval_max } => {
                let spread = self.spread(poll_interval_max);
                let left = CALL_GAP.saturating_sub(since_contact);
                if stable_watch_ended && end.may_have_been_watch() {
                    return self.random_share(REOPEN_DELAY.max(spread).min(left));
                }
                let first_backoff = (poll_interval_max / FIRST_BACKOFF_DIVISOR).max(spread);
                let backoff = (first_backoff << failures.min(MAX_BACKOFF_DOUBLINGS)).min(left);
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
        backoff - self.random_share(backoff / AGENT_JITTER_DIVISOR)
    }

    /// How long a call may go unanswered before it is hedged. `moved` tells that the service has moved just now, and
    /// `beside_unanswered` that another call is not answered either, so that a slow service is to be given time.
    pub fn hedge_delay(&mut self, moved: bool, beside_unanswered: bool) -> Nanos {
        let least = self.spans.hedge.min(CALL_GAP);
        let delay = least + self.random_share(CALL_GAP - least);
        match self.discovery {
            _ if beside_unanswered => delay,
            DiscoveryMode::Push => AGENT_HEDGE_DELAY,
            DiscoveryMode::Poll { .. } if moved => delay.min(MOVED_HEDGE_DELAY),
            DiscoveryMode::Poll { .. } if self.coordinators_are_few() => delay.min(SMALL_FLEET_HEDGE_DELAY),
            DiscoveryMode::Poll { .. } => delay,
        }
    }

    /// Whether the fleet is so small that the calls of all its coordinators at once are no load.
    pub fn coordinators_are_few(&self) -> bool {
        match self.discovery {
            DiscoveryMode::Poll { poll_interval_max } => self.spread(poll_interval_max) <= SHORT_BACKOFF,
            DiscoveryMode::Push => true,
        }
    }

    /// Between a third of a span and all of it.
    fn jittered(&mut self, most: Nanos) -> Nanos {
        let least = most / MIN_JITTERED_DIVISOR;
        least + self.random_share(most - least)
    }

    /// A random share of a span.
    fn random_share(&mut self, span: Nanos) -> Nanos {
        (span as f64 * self.rng.f64()) as Nanos
    }
}
