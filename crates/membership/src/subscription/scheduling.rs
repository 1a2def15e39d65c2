//! When the next call is due, for which reason, and when calls are abandoned.

use curlewdeck_core::api::{DiscoveryMode, Nanos};

use super::calls::{Call, CallState, MAX_OPEN_CALLS};
use super::messages::{AbandonReason, Command};
use super::Subscription;
use crate::call::{CallEnd, Request};

/// Why a call is due.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum CallReason {
    NoneOpen,
    /// The open call is unanswered, or its watch is silent.
    Hedge,
    /// A snapshot has to verify a watch.
    Verification,
    /// Two calls are open, and the newer one is unanswered as well.
    Replacement,
}

/// The next call, unless an event changes the schedule.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct DueCall {
    at: Nanos,
    reason: CallReason,
}

impl Subscription {
    /// When the next [`Event::TimerFired`](super::Event::TimerFired) is due; `Nanos::MAX` if none is.
    pub fn next_deadline(&self) -> Nanos {
        let lifetimes = self.calls.iter().map(Call::lifetime_ends_at);
        let next_call = self.next_call().map(|due| due.at);
        let confirmation = self.confirmation.deadline();
        let expiry = self.list_was_usable.then(|| self.usable_until());
        lifetimes.chain(next_call).chain(confirmation).chain(expiry).min().unwrap_or(Nanos::MAX)
    }

    fn next_call(&self) -> Option<DueCall> {
        let Some(newest) = self.calls.newest() else {
            return Some(DueCall { at: self.next_call_at, reason: CallReason::NoneOpen });
        };
        match newest.state {
            CallState::Watching { last_received_at, verify_at, .. } => {
                let silent_at = self.silent_at(last_received_at);
                let (at, reason) = match verify_at.filter(|&at| at < silent_at) {
                    Some(at) => (at, CallReason::Verification),
                    None => (silent_at, CallReason::Hedge),
                };
                Some(DueCall { at: at.max(self.next_call_at), reason })
            }
            CallState::Unanswered { hedge_at } if self.calls.len() < MAX_OPEN_CALLS => {
                Some(DueCall { at: hedge_at.max(self.next_call_at), reason: CallReason::Hedge })
            }
            CallState::Unanswered { hedge_at } => {
                let oldest = self.calls.oldest()?;
                let was_silent = self.silent_at(oldest.last_active_at()) <= newest.begun_at;
                let is_needed = !oldest.is_watching() || was_silent;
                is_needed.then_some(DueCall { at: hedge_at, reason: CallReason::Replacement })
            }
        }
    }

    /// When a watch is considered silent whose last message arrived at `last_received_at`.
    fn silent_at(&self, last_received_at: Nanos) -> Nanos {
        last_received_at.saturating_add(self.pacing.hedge_delays().silence)
    }

    /// Abandons the calls whose lifetime has ended.
    pub(super) fn abandon_expired(&mut self, now: Nanos, commands: &mut Vec<Command>) {
        for id in self.calls.expired(now) {
            commands.push(Command::Abandon(id, AbandonReason::Unanswered));
            self.call_ended(now, id, CallEnd::Unanswered);
        }
    }

    /// Begins a call if one is due.
    pub(super) fn begin_due_call(&mut self, now: Nanos, commands: &mut Vec<Command>) {
        let Some(due) = self.next_call().filter(|due| due.at <= now) else { return };
        if due.reason == CallReason::Replacement {
            if let Some(replaced) = self.calls.replaceable().and_then(|id| self.calls.remove(id)) {
                self.update_lease(now, &replaced, CallEnd::Unanswered);
                commands.push(Command::Abandon(replaced.id, AbandonReason::Unanswered));
            }
        }
        let newest_is_watching = self.calls.newest().map(Call::is_watching);
        if due.reason == CallReason::Hedge && newest_is_watching == Some(true) {
            self.version_is_from_earlier_connection = true;
        }
        if newest_is_watching == Some(false) && self.pacing.discovery() == DiscoveryMode::Push {
            // A local agent answers at once unless it is down.
            self.lease.agent_down(now);
        }
        let request = match (due.reason, self.version) {
            (CallReason::Verification, _) | (_, None) => Request::Snapshot,
            (_, Some(since)) => Request::Watch { since },
        };
        let other_call_unanswered = self.calls.iter().any(|call| !call.is_watching());
        let hedge_delay = self.pacing.hedge_delay(now < self.move_deadline, other_call_unanswered);
        let id = self.calls.begin(request, now, now.saturating_add(hedge_delay));
        self.last_contact = now;
        commands.push(Command::Begin(id, request));
    }
}
