//! Caches the values of ranges from earlier answers, to fill in ranges that are missing from a later answer.

use std::sync::{Arc, Mutex, MutexGuard};

use curlewdeck_merge::range_cache::{CacheLimits, RangeCache};

use crate::limits::Limits;
use crate::net::coordinator::OnEndpointsStarted;
use crate::runtime::{lock, nanos};

/// The range cache, shared with the core, which reports restarted data nodes.
#[derive(Clone)]
pub struct SharedRangeCache(Arc<Mutex<RangeCache>>);

impl SharedRangeCache {
    /// Creates an empty cache for at most `ranges` ranges.
    pub fn new(limits: &Limits, ranges: u32) -> Self {
        let bounds = CacheLimits {
            max_entries: limits.range_cache_entries,
            max_ranges: ranges as usize,
            max_age_ns: nanos(limits.range_cache_age),
        };
        Self(Arc::new(Mutex::new(RangeCache::new(bounds))))
    }

    /// Returns the callback that removes the cached values of the shards of restarted data nodes.
    pub fn invalidation_callback(&self) -> OnEndpointsStarted {
        let cache = self.clone();
        Box::new(move |shards| {
            let mut ranges = cache.ranges();
            shards.iter().for_each(|shard| ranges.invalidate_range(shard.0));
        })
    }

    /// Locks the cached ranges. The guard must not be held over a yield of the coroutine.
    pub(super) fn ranges(&self) -> MutexGuard<'_, RangeCache> {
        lock(&self.0)
    }
}
