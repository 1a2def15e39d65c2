//! Bounds on how many of one kind exist at once: sockets, or messages.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;

#[derive(Debug)]
struct Usage {
    in_use: AtomicUsize,
    limit: usize,
}

/// A bounded number of permits; clones share it.
#[derive(Debug, Clone)]
pub struct Permits(Arc<Usage>);

/// One permit; given back when dropped.
#[derive(Debug)]
pub struct Permit(Arc<Usage>);

impl Permits {
    /// At most `limit` permits at once.
    pub fn new(limit: usize) -> Self {
        Self(Arc::new(Usage { in_use: AtomicUsize::new(0), limit }))
    }

    /// One of them, unless all are in use.
    pub fn take(&self) -> Option<Permit> {
        let one_more = |in_use: usize| (in_use < self.0.limit).then_some(in_use + 1);
        self.0.in_use.fetch_update(Ordering::AcqRel, Ordering::Acquire, one_more).ok()?;
        Some(Permit(self.0.clone()))
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.0.in_use.fetch_sub(1, Ordering::AcqRel);
    }
}
