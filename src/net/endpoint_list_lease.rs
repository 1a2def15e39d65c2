//! The lease of the endpoint list: set by the subscription to discovery, and checked by the core and right before
//! anything new is sent.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;

use crate::api::Nanos;

/// The end of the endpoint list's lease; clones share it. The lease is invalid until its end is first set.
#[derive(Debug, Clone, Default)]
pub struct EndpointListLease(Arc<AtomicU64>);

impl EndpointListLease {
    /// Sets the end, which may be earlier than the previous one.
    pub fn set_end(&self, until: Nanos) {
        self.0.store(until, Ordering::Release);
    }

    /// Returns whether the endpoint list may be used at this time.
    pub fn is_valid(&self, now: Nanos) -> bool {
        now < self.0.load(Ordering::Acquire)
    }
}
