//! The open calls to discovery.

use curlewdeck_core::api::Nanos;

use crate::call::{CallId, Request};
use crate::{CALL_LIFETIME, NOTIFIED_AFTER};

/// The most calls that are open at the same time.
pub(super) const MAX_OPEN_CALLS: usize = 2;
/// How long a watch from an earlier connection's version may send no update before a snapshot verifies it. The service
/// may have restarted with lower versions.
const VERIFY_AFTER: Nanos = NOTIFIED_AFTER / 2;
/// The delay before another snapshot after one that failed to verify a watch.
const VERIFY_RETRY_DELAY: Nanos = 2 * NOTIFIED_AFTER;

/// The progress of a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum CallState {
    /// Nothing has been received.
    Unanswered {
        /// When a second call is due as a hedge.
        hedge_at: Nanos,
    },
    /// At least one update or heartbeat has been received.
    Watching {
        answered_at: Nanos,
        last_received_at: Nanos,
        /// When a snapshot is due to verify the watch; `None` if it needs no verification.
        verify_at: Option<Nanos>,
    },
}

/// An open call.
#[derive(Debug, Clone, Copy)]
pub(super) struct Call {
    pub(super) id: CallId,
    pub(super) request: Request,
    pub(super) begun_at: Nanos,
    pub(super) state: CallState,
}

impl Call {
    /// When the last message arrived, or the call began if there was none.
    pub(super) fn last_active_at(&self) -> Nanos {
        match self.state {
            CallState::Unanswered { .. } => self.begun_at,
            CallState::Watching { last_received_at, .. } => last_received_at,
        }
    }

    pub(super) fn is_watching(&self) -> bool {
        matches!(self.state, CallState::Watching { .. })
    }

    /// When the call is abandoned unless a message arrives before.
    pub(super) fn lifetime_ends_at(&self) -> Nanos {
        self.last_active_at().saturating_add(CALL_LIFETIME)
    }

    /// Records an update or a heartbeat; returns when the call was first answered. Schedules the verification of a
    /// watch from an earlier connection's version, and cancels it when an update arrives.
    pub(super) fn record_message(
        &mut self,
        now: Nanos,
        is_update: bool,
        version_is_from_earlier_connection: bool,
    ) -> Nanos {
        let (answered_at, verify_at) = match self.state {
            CallState::Watching { answered_at, verify_at, .. } => (answered_at, verify_at),
            CallState::Unanswered { .. } => {
                let by_version = matches!(self.request, Request::Watch { .. });
                let is_unverified = by_version && version_is_from_earlier_connection;
                (now, is_unverified.then_some(now.saturating_add(VERIFY_AFTER)))
            }
        };
        let verify_at = verify_at.filter(|_| !is_update);
        self.state = CallState::Watching { answered_at, last_received_at: now, verify_at };
        answered_at
    }

    /// Postpones the verification of this watch, which stays open, after a failed snapshot.
    fn postpone_verification(&mut self, now: Nanos) {
        if let CallState::Watching { verify_at: Some(at), .. } = &mut self.state {
            *at = (*at).max(now.saturating_add(VERIFY_RETRY_DELAY));
        }
    }
}

/// All open calls, oldest first, and the source of their identifiers.
#[derive(Debug)]
pub(super) struct OpenCalls {
    calls: Vec<Call>,
    next_id: u64,
}

impl OpenCalls {
    const FIRST_ID: u64 = 1;

    pub(super) fn new() -> Self {
        Self { calls: Vec::with_capacity(MAX_OPEN_CALLS), next_id: Self::FIRST_ID }
    }

    /// Whether no call has ever begun.
    pub(super) fn none_has_begun(&self) -> bool {
        self.next_id == Self::FIRST_ID
    }

    /// Adds a call that begins at `now`.
    pub(super) fn begin(&mut self, request: Request, now: Nanos, hedge_at: Nanos) -> CallId {
        let id = CallId(self.next_id);
        self.next_id += 1;
        self.calls.push(Call { id, request, begun_at: now, state: CallState::Unanswered { hedge_at } });
        id
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = &Call> {
        self.calls.iter()
    }

    pub(super) fn len(&self) -> usize {
        self.calls.len()
    }

    pub(super) fn oldest(&self) -> Option<&Call> {
        self.calls.first()
    }

    pub(super) fn newest(&self) -> Option<&Call> {
        self.calls.last()
    }

    pub(super) fn contains(&self, id: CallId) -> bool {
        self.calls.iter().any(|call| call.id == id)
    }

    /// Whether an open call has received an update or a heartbeat.
    pub(super) fn any_watching(&self) -> bool {
        self.calls.iter().any(Call::is_watching)
    }

    pub(super) fn get_mut(&mut self, id: CallId) -> Option<&mut Call> {
        self.calls.iter_mut().find(|call| call.id == id)
    }

    pub(super) fn remove(&mut self, id: CallId) -> Option<Call> {
        let index = self.calls.iter().position(|call| call.id == id)?;
        Some(self.calls.remove(index))
    }

    /// Removes all calls; returns their ids.
    pub(super) fn remove_all(&mut self) -> Vec<CallId> {
        self.calls.drain(..).map(|call| call.id).collect()
    }

    /// Removes the calls that are older than the open call `id`; returns their ids.
    pub(super) fn remove_before(&mut self, id: CallId) -> Vec<CallId> {
        let index = self.calls.iter().position(|call| call.id == id).unwrap_or(0);
        self.calls.drain(..index).map(|call| call.id).collect()
    }

    /// The calls whose lifetime has ended.
    pub(super) fn expired(&self, now: Nanos) -> Vec<CallId> {
        let expired = self.calls.iter().filter(|call| call.lifetime_ends_at() <= now);
        expired.map(|call| call.id).collect()
    }

    /// The call to abandon when a third one is due: the oldest if it is a silent watch, otherwise the second, since a
    /// late answer to the oldest may still arrive.
    pub(super) fn replaceable(&self) -> Option<CallId> {
        let oldest = self.oldest()?;
        let replaceable = if oldest.is_watching() { Some(oldest) } else { self.calls.get(1) };
        replaceable.map(|call| call.id)
    }

    /// Postpones pending verifications after the end of a call, which may have been the verifying snapshot.
    pub(super) fn postpone_verifications(&mut self, now: Nanos) {
        self.calls.iter_mut().for_each(|call| call.postpone_verification(now));
    }
}
