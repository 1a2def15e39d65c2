//! Schedule of an instance's discovery calls: the pacing of the real coordinator, with at most one call in flight.

use curlewdeck::api::{DiscoveryMode, Nanos, Settings};
use curlewdeck_membership::{CallEnd, HedgeDelays, Pacing, CALL_LIFETIME};

/// The simulator reports the end of each call, so calls are not hedged and silent watches do not time out.
const HEDGE_DELAYS: HedgeDelays = HedgeDelays { hedge: CALL_LIFETIME, silence: CALL_LIFETIME };

/// Discovery calls of one instance.
#[derive(Debug)]
pub(crate) struct Subscriber {
    pacing: Pacing,
    /// Start time of the next call; `None` while a call is in flight, after an answer, and if discovery pushes lists.
    call_at: Option<Nanos>,
    /// Time of the last call or the last update received.
    last_contact: Nanos,
    /// Time of the last requested reminder.
    reminder_at: Option<Nanos>,
}

impl Subscriber {
    /// `now` is the start time of the instance.
    pub(crate) fn new(settings: &Settings, seed: u64, now: Nanos) -> Self {
        let mut pacing = Pacing::new(settings.discovery, settings.coordinators, HEDGE_DELAYS, seed);
        let polls = matches!(settings.discovery, DiscoveryMode::Poll { .. });
        let call_at = polls.then(|| now + pacing.initial_delay());
        Self { pacing, call_at, last_contact: now, reminder_at: None }
    }

    /// Records that a list or a delta was received.
    pub(crate) fn update_received(&mut self, now: Nanos) {
        self.pacing.watch_ended(Nanos::MAX);
        self.last_contact = now;
    }

    /// Schedules the next call after a failed call or a dropped subscription.
    pub(crate) fn call_failed(&mut self, now: Nanos) {
        let since_contact = now.saturating_sub(self.last_contact);
        self.call_at = Some(now + self.pacing.retry_delay(since_contact, false, CallEnd::Busy));
    }

    /// Returns whether a call starts now, and clears its schedule if so.
    pub(crate) fn call_due(&mut self, now: Nanos) -> bool {
        let due = self.call_at.take_if(|at| *at <= now).is_some();
        if due {
            self.last_contact = now;
        }
        due
    }

    /// Returns the delay until the next call if a reminder must be requested; `None` if no call is scheduled, or if a
    /// pending reminder fires no later than the call.
    pub(crate) fn reminder(&mut self, now: Nanos) -> Option<Nanos> {
        let call_at = self.call_at?;
        if self.reminder_at.is_some_and(|reminder_at| now < reminder_at && reminder_at <= call_at) {
            return None;
        }
        self.reminder_at = Some(call_at);
        Some(call_at.saturating_sub(now).max(1))
    }
}
