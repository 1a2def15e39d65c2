//! Counting permits that limit how many sockets or messages exist at once.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;

#[derive(Debug)]
struct Usage {
    in_use: AtomicUsize,
    limit: usize,
}

/// A pool with a limited number of permits; clones share the pool.
#[derive(Debug, Clone)]
pub struct Permits(Arc<Usage>);

/// A permit, which returns to its pool when dropped.
#[derive(Debug)]
pub struct Permit(Arc<Usage>);

impl Permits {
    /// Creates a pool of `limit` permits.
    pub fn new(limit: usize) -> Self {
        Self(Arc::new(Usage { in_use: AtomicUsize::new(0), limit }))
    }

    /// Takes a permit without waiting; returns `None` if all are in use.
    pub fn take(&self) -> Option<Permit> {
        let increment = |in_use: usize| (in_use < self.0.limit).then_some(in_use + 1);
        self.0.in_use.fetch_update(Ordering::AcqRel, Ordering::Acquire, increment).ok()?;
        Some(Permit(self.0.clone()))
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.0.in_use.fetch_sub(1, Ordering::AcqRel);
    }
}
