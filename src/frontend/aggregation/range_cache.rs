//! The values of ranges that earlier answers had, for those that a later answer misses.

use std::sync::{Arc, Mutex, MutexGuard};

use curlewdeck_merge::range_cache::{CacheLimits, RangeCache};

use crate::limits::Limits;
use crate::net::coordinator::OnEndpointsStarted;
use crate::runtime::{lock, nanos};

/// The range cache. It is shared with the core, which reports restarted data nodes.
#[derive(Clone)]
pub struct Memory(Arc<Mutex<RangeCache>>);

impl Memory {
    /// An empty cache for so many ranges.
    pub fn new(limits: &Limits, ranges: u32) -> Self {
        let bounds = CacheLimits {
            max_entries: limits.range_cache_entries,
            max_ranges: ranges as usize,
            max_age_ns: nanos(limits.range_cache_age),
        };
        Self(Arc::new(Mutex::new(RangeCache::new(bounds))))
    }

    /// Drops what restarted data nodes returned earlier.
    pub fn on_endpoints_started(&self) -> OnEndpointsStarted {
        let cache = self.clone();
        Box::new(move |shards| {
            let mut ranges = cache.ranges();
            shards.iter().for_each(|shard| ranges.invalidate_range(shard.0));
        })
    }

    /// The cached ranges. The guard must not be held over a yield of the coroutine.
    pub(super) fn ranges(&self) -> MutexGuard<'_, RangeCache> {
        lock(&self.0)
    }
}
