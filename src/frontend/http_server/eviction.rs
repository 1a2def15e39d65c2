//! Eviction: which connection is closed when a new one finds no place.

use std::cmp::Reverse;
use std::sync::Arc;

use curlewdeck_lifecycle::connection::Connection;

use super::client_connection::ClientConnection;
use super::service::Service;
use crate::api::Nanos;
use crate::limits::Limits;
use crate::runtime::nanos;

/// Whether a place becomes free for a new connection.
#[derive(Debug, PartialEq, Eq)]
pub(super) enum Eviction {
    /// One will be free soon.
    Soon,
    /// All connections have pending requests.
    None,
}

/// How readily a connection is evicted: the greatest goes first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Evictability {
    /// Idle for a short time after an answer.
    BrieflyIdle,
    /// No complete request has been received on it.
    NothingServed,
    /// Idle for long after an answer.
    LongIdle,
    /// Ended, and lingering.
    Ended,
}

impl Evictability {
    fn of(state: &Connection, idle: Nanos, limits: &Limits) -> Self {
        if state.ended().is_some() {
            Self::Ended
        } else if !state.has_served() {
            Self::NothingServed
        } else if idle >= nanos(limits.client_evictable_idle) {
            Self::LongIdle
        } else {
            Self::BrieflyIdle
        }
    }
}

/// A connection without a pending request.
struct Candidate<'a> {
    evictability: Evictability,
    idle: Nanos,
    connection: &'a Arc<ClientConnection>,
}

impl Candidate<'_> {
    fn try_evict(&self, now: Nanos, limits: &Limits) -> bool {
        let is_due =
            self.evictability == Evictability::Ended || self.idle >= nanos(limits.client_evictable_silence);
        is_due && self.connection.evict(now)
    }
}

impl Service {
    /// Evicts one connection so that a new one finds a place, by [`Evictability`] and then by how long it has been
    /// idle. Never one with a pending request, nor one with received bytes that have not been read.
    pub(super) fn evict(&self, limits: &Limits) -> Eviction {
        let now = self.now();
        let open = self.connections();
        let mut candidates = Vec::new();
        for connection in open.values() {
            let state = connection.state();
            if state.evicted() {
                return Eviction::Soon;
            }
            if !state.has_pending_request() {
                let idle = state.idle_for(now);
                let evictability = Evictability::of(&state, idle, limits);
                candidates.push(Candidate { evictability, idle, connection });
            }
        }
        candidates.sort_unstable_by_key(|candidate| Reverse((candidate.evictability, candidate.idle)));
        if candidates.iter().any(|candidate| candidate.try_evict(now, limits)) {
            return Eviction::Soon;
        }
        // A place that no listed connection takes belongs to one that has just ended.
        if candidates.is_empty() && open.len() >= limits.clients {
            Eviction::None
        } else {
            Eviction::Soon
        }
    }
}
