//! When an instance of the simulator asks discovery for changes: by the pace of the real coordinator, one call at a time.

use curlewdeck::api::{DiscoveryMode, Nanos, Settings};
use curlewdeck_membership::{CallEnd, Pacing, Spans, CALL_LIFETIME};

/// The simulator tells how each call has ended, so nothing is hedged and no silence is timed.
const SPANS: Spans = Spans { hedge: CALL_LIFETIME, silence: CALL_LIFETIME };

/// The calls of one instance.
#[derive(Debug)]
pub(crate) struct Subscriber {
    pacing: Pacing,
    /// When the next call begins; nothing while one is out, after an answer, and where lists are pushed.
    call_at: Option<Nanos>,
    /// When discovery was last heard or called.
    last_contact: Nanos,
    /// The moment for which the simulator was last asked for a reminder.
    armed: Option<Nanos>,
}

impl Subscriber {
    /// The calls of an instance that starts now.
    pub(crate) fn new(settings: &Settings, seed: u64, now: Nanos) -> Self {
        let mut pacing = Pacing::new(settings.discovery, settings.coordinators, SPANS, seed);
        let asks = matches!(settings.discovery, DiscoveryMode::Poll { .. });
        let call_at = asks.then(|| now + pacing.first_pause());
        Self { pacing, call_at, last_contact: now, armed: None }
    }

    /// A list or a change has come.
    pub(crate) fn heard(&mut self, now: Nanos) {
        self.pacing.watch_ended(Nanos::MAX);
        self.last_contact = now;
    }

    /// A call has failed, or the subscription has dropped.
    pub(crate) fn failed(&mut self, now: Nanos) {
        let gone = now.saturating_sub(self.last_contact);
        self.call_at = Some(now + self.pacing.pause(gone, false, CallEnd::Busy));
    }

    /// Whether a call begins now.
    pub(crate) fn call_due(&mut self, now: Nanos) -> bool {
        let due = self.call_at.take_if(|at| *at <= now).is_some();
        if due {
            self.last_contact = now;
        }
        due
    }

    /// After how long a reminder is needed, if none has been asked for yet.
    pub(crate) fn reminder(&mut self, now: Nanos) -> Option<Nanos> {
        let at = self.call_at?;
        if self.armed.is_some_and(|armed| now < armed && armed <= at) {
            return None;
        }
        self.armed = Some(at);
        Some(at.saturating_sub(now).max(1))
    }
}
