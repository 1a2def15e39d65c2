//! Until when the endpoint list may be used: decided by the subscription to discovery, checked by the core and right
//! before anything new is sent.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;

use crate::api::Nanos;

/// The end of the endpoint list's lease; clones share it. At first it has not begun.
#[derive(Debug, Clone, Default)]
pub struct EndpointListLease(Arc<AtomicU64>);

impl EndpointListLease {
    /// Moves its end.
    pub fn set_end(&self, until: Nanos) {
        self.0.store(until, Ordering::Release);
    }

    /// Whether the endpoint list may be used now.
    pub fn is_valid(&self, now: Nanos) -> bool {
        now < self.0.load(Ordering::Acquire)
    }
}
