//! When the next call is due and what for, and when a call is abandoned.

use curlewdeck_core::api::{DiscoveryMode, Nanos};

use super::calls::{Call, CallState, MAX_OPEN_CALLS};
use super::messages::{Abandoned, Command};
use super::Subscription;
use crate::call::{CallEnd, Request};

/// Why a call is due.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum CallReason {
    /// None is open.
    NoneOpen,
    /// The open one has not answered, or its watch has fallen silent.
    Hedge,
    /// A watch is to be verified.
    Verification,
    /// Two are open, and the second has not answered either.
    Replacement,
}

/// The next call that begins if nothing happens before.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct DueCall {
    at: Nanos,
    reason: CallReason,
}

impl Subscription {
    /// When time has to be reported at the latest.
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
            CallState::Watching { heard_at, verify_at, .. } => {
                let silent_at = self.silent_at(heard_at);
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
                let was_silent = self.silent_at(oldest.heard_at()) <= newest.begun_at;
                let is_needed = !oldest.is_watching() || was_silent;
                is_needed.then_some(DueCall { at: hedge_at, reason: CallReason::Replacement })
            }
        }
    }

    /// When a watch has been silent for too long that was last heard at this time.
    fn silent_at(&self, heard_at: Nanos) -> Nanos {
        heard_at.saturating_add(self.pacing.spans().silence)
    }

    /// Abandons the calls whose lifetime is over.
    pub(super) fn abandon_expired(&mut self, now: Nanos, commands: &mut Vec<Command>) {
        for id in self.calls.expired(now) {
            commands.push(Command::Abandon(id, Abandoned::Unanswered));
            self.call_ended(now, id, CallEnd::Unanswered);
        }
    }

    /// Begins the call that is due by now, if one is.
    pub(super) fn begin_due_call(&mut self, now: Nanos, commands: &mut Vec<Command>) {
        let Some(due) = self.next_call().filter(|due| due.at <= now) else { return };
        if due.reason == CallReason::Replacement {
            let replaced = self.calls.replaceable().and_then(|id| self.calls.remove(id));
            commands.extend(replaced.map(|call| Command::Abandon(call.id, Abandoned::Unanswered)));
        }
        let newest_is_watching = self.calls.newest().map(Call::is_watching);
        if due.reason == CallReason::Hedge && newest_is_watching == Some(true) {
            self.version_is_earlier = true;
        }
        if newest_is_watching == Some(false) && self.pacing.discovery() == DiscoveryMode::Push {
            // A local agent answers at once, or it is down.
            self.lease.agent_down(now);
        }
        let request = match (due.reason, self.version) {
            (CallReason::Verification, _) | (_, None) => Request::Snapshot,
            (_, Some(since)) => Request::Watch { since },
        };
        let beside_unanswered = self.calls.iter().any(|call| !call.is_watching());
        let hedge_delay = self.pacing.hedge_delay(now < self.moved_until, beside_unanswered);
        let id = self.calls.begin(request, now, now.saturating_add(hedge_delay));
        self.last_contact = now;
        commands.push(Command::Begin(id, request));
    }
}
