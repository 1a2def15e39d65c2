//! Waits by the time of their end.

use std::collections::BTreeMap;
use std::time::Instant;

use super::Waker;

/// The time of a wait's end, and a number that tells waits with the same time apart.
pub(super) type WakeKey = (Instant, u64);

/// The wakers of waits by the time of their end.
#[derive(Debug, Default)]
pub(super) struct WakeQueue {
    wakers: BTreeMap<WakeKey, Waker>,
    next_id: u64,
}

impl WakeQueue {
    /// Creates an empty queue.
    pub(super) const fn new() -> Self {
        Self { wakers: BTreeMap::new(), next_id: 0 }
    }

    pub(super) fn add(&mut self, at: Instant, waker: Waker) -> WakeKey {
        let key = (at, self.next_id);
        self.next_id += 1;
        self.wakers.insert(key, waker);
        key
    }

    /// Removes a wait that has ended.
    pub(super) fn remove(&mut self, key: WakeKey) {
        self.wakers.remove(&key);
    }

    /// The earliest wait.
    pub(super) fn first(&self) -> Option<WakeKey> {
        self.wakers.first_key_value().map(|(&key, _)| key)
    }

    /// Removes and returns the waits that end by `now`.
    pub(super) fn take_due(&mut self, now: Instant) -> Vec<Waker> {
        let later = self.wakers.split_off(&(now, u64::MAX));
        std::mem::replace(&mut self.wakers, later).into_values().collect()
    }

    pub(super) fn is_empty(&self) -> bool {
        self.wakers.is_empty()
    }

    #[cfg(test)]
    pub(super) fn count_after(&self, time: Instant) -> usize {
        self.wakers.keys().filter(|&&(at, _)| at > time).count()
    }
}
