//! The calls to discovery that are open.

use curlewdeck_core::api::Nanos;

use crate::call::{CallId, Request};
use crate::{CALL_LIFETIME, NOTIFIED_AFTER};

/// Calls that are open at once.
pub(super) const MAX_OPEN_CALLS: usize = 2;
/// A watch by a version from an earlier connection that has sent no update for this long is verified by a snapshot: the
/// service may have restarted with lower versions.
const VERIFY_AFTER: Nanos = NOTIFIED_AFTER / 2;
/// A snapshot that failed to verify a watch is requested again after this long.
const VERIFY_RETRY_DELAY: Nanos = 2 * NOTIFIED_AFTER;

/// How far a call has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum CallState {
    /// Nothing has come yet.
    Unanswered {
        /// When a second call is due beside it.
        hedge_at: Nanos,
    },
    /// Updates and heartbeats come.
    Watching {
        answered_at: Nanos,
        heard_at: Nanos,
        /// When it is verified by a snapshot, where that is due.
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
    /// When it was last heard, or began.
    pub(super) fn heard_at(&self) -> Nanos {
        match self.state {
            CallState::Unanswered { .. } => self.begun_at,
            CallState::Watching { heard_at, .. } => heard_at,
        }
    }

    pub(super) fn is_watching(&self) -> bool {
        matches!(self.state, CallState::Watching { .. })
    }

    /// When it is abandoned, if it is not heard before.
    pub(super) fn lifetime_ends_at(&self) -> Nanos {
        self.heard_at().saturating_add(CALL_LIFETIME)
    }

    /// Records that an update or a heartbeat has come; returns when the call was answered. A watch by a version from an
    /// earlier connection is verified later, unless an update comes before.
    pub(super) fn record_heard(&mut self, now: Nanos, is_update: bool, version_is_earlier: bool) -> Nanos {
        let (answered_at, verify_at) = match self.state {
            CallState::Watching { answered_at, verify_at, .. } => (answered_at, verify_at),
            CallState::Unanswered { .. } => {
                let by_version = matches!(self.request, Request::Watch { .. });
                let is_unverified = by_version && version_is_earlier;
                (now, is_unverified.then_some(now.saturating_add(VERIFY_AFTER)))
            }
        };
        let verify_at = verify_at.filter(|_| !is_update);
        self.state = CallState::Watching { answered_at, heard_at: now, verify_at };
        answered_at
    }

    /// A snapshot that was to verify the watch has failed: the watch goes on, and is verified later.
    fn postpone_verification(&mut self, now: Nanos) {
        if let CallState::Watching { verify_at: Some(at), .. } = &mut self.state {
            *at = (*at).max(now.saturating_add(VERIFY_RETRY_DELAY));
        }
    }
}

/// All open calls, the oldest first, with the numbers that they get.
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

    /// Adds a call that begins now.
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

    /// Whether a watch has sent something and is still open.
    pub(super) fn any_watching(&self) -> bool {
        self.calls.iter().any(Call::is_watching)
    }

    pub(super) fn get_mut(&mut self, id: CallId) -> Option<&mut Call> {
        self.calls.iter_mut().find(|call| call.id == id)
    }

    pub(super) fn remove(&mut self, id: CallId) -> Option<Call> {
        let place = self.calls.iter().position(|call| call.id == id)?;
        Some(self.calls.remove(place))
    }

    /// Removes all calls; returns their ids.
    pub(super) fn remove_all(&mut self) -> Vec<CallId> {
        self.calls.drain(..).map(|call| call.id).collect()
    }

    /// Removes the calls that began before this open one; returns their ids.
    pub(super) fn remove_before(&mut self, id: CallId) -> Vec<CallId> {
        let place = self.calls.iter().position(|call| call.id == id).unwrap_or(0);
        self.calls.drain(..place).map(|call| call.id).collect()
    }

    /// The calls whose lifetime is over.
    pub(super) fn expired(&self, now: Nanos) -> Vec<CallId> {
        let expired = self.calls.iter().filter(|call| call.lifetime_ends_at() <= now);
        expired.map(|call| call.id).collect()
    }

    /// The call that makes room for a third one: the oldest is kept, which may be answered late; a watch that has fallen
    /// silent is not.
    pub(super) fn replaceable(&self) -> Option<CallId> {
        let oldest = self.oldest()?;
        let replaceable = if oldest.is_watching() { Some(oldest) } else { self.calls.get(1) };
        replaceable.map(|call| call.id)
    }

    /// A call has failed that may have been to verify a watch.
    pub(super) fn postpone_verifications(&mut self, now: Nanos) {
        self.calls.iter_mut().for_each(|call| call.postpone_verification(now));
    }
}
