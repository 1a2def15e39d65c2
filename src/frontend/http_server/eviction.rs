//! Eviction: chooses the connection to close when a new one needs a slot.

use std::cmp::Reverse;
use std::sync::Arc;

use curlewdeck_lifecycle::connection::Connection;

use super::client_connection::ClientConnection;
use super::connection_log::ConnectionLog;
use super::service::Service;
use crate::api::Nanos;
use crate::limits::Limits;
use crate::runtime::nanos;

/// Whether a slot becomes free for a new connection.
#[derive(Debug, PartialEq, Eq)]
pub(super) enum Eviction {
    /// A slot will be free soon.
    SlotFreeSoon,
    /// Every slot is held by a connection with a pending request, or by that of an active client.
    NoneEvictable,
}

/// The eviction priority of a connection. Connections with the greatest value are evicted first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Evictability {
    /// Idle after an answer for less than `client_evictable_idle`.
    BrieflyIdle,
    /// No complete request has been received on it.
    NothingServed,
    /// Idle after an answer for at least `client_evictable_idle`.
    LongIdle,
    /// Ended and lingering.
    Ended,
}

impl Evictability {
    fn of(state: &Connection, idle: Nanos, limits: &Limits) -> Self {
        if state.ended_at().is_some() {
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
    key: u64,
    evictability: Evictability,
    idle: Nanos,
    connection: &'a Arc<ClientConnection>,
}

impl Candidate<'_> {
    fn try_evict(&self, now: Nanos, limits: &Limits, log: &ConnectionLog) -> bool {
        let least_idle = match self.evictability {
            Evictability::Ended => 0,
            _ => nanos(limits.client_evictable_silence),
        };
        let is_evicted = self.idle >= least_idle && self.connection.evict(now);
        if is_evicted && self.evictability != Evictability::Ended {
            log.evicted(self.key, self.idle, self.evictability != Evictability::NothingServed);
        }
        is_evicted
    }
}

impl Service {
    /// Evicts one connection to make room for another, unless enough evicted ones are still closing: the one with the
    /// greatest [`Evictability`], then the longest idle time. Never evicts a connection with a pending request or with
    /// unread bytes of a request, nor that of a client that sends one query after another.
    pub(super) fn evict(&self, limits: &Limits) -> Eviction {
        let now = self.now();
        let open = self.connections();
        let excess = (open.len() + 1).saturating_sub(limits.clients);
        let mut closing = 0;
        let mut candidates = Vec::new();
        for (&key, connection) in open.iter() {
            let state = connection.state();
            if state.is_evicted() {
                closing += 1;
                continue;
            }
            let idle = state.idle_for(now);
            let is_active = state.is_reused() && idle < nanos(limits.client_active_pause);
            if !state.has_pending_request() && (!is_active || state.ended_at().is_some()) {
                let evictability = Evictability::of(&state, idle, limits);
                candidates.push(Candidate { key, evictability, idle, connection });
            }
        }
        // A slot without a registered connection is held by one that has just ended and is about to free it.
        if closing >= excess {
            return Eviction::SlotFreeSoon;
        }
        candidates.sort_unstable_by_key(|candidate| Reverse((candidate.evictability, candidate.idle)));
        if candidates.iter().any(|candidate| candidate.try_evict(now, limits, &self.log)) {
            return Eviction::SlotFreeSoon;
        }
        // A connection without a pending request becomes evictable within a moment.
        if candidates.is_empty() {
            Eviction::NoneEvictable
        } else {
            Eviction::SlotFreeSoon
        }
    }
}
