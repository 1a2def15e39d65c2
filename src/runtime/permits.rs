//! Counting permits that limit how many sockets, messages or bytes are in use at once.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;

#[derive(Debug)]
struct Usage {
    in_use: AtomicUsize,
    limit: usize,
}

impl Usage {
    /// Adds to the units in use; returns whether the limit allows it.
    fn add(&self, units: usize) -> bool {
        let added = |in_use: usize| in_use.checked_add(units).filter(|&sum| sum <= self.limit);
        self.in_use.fetch_update(Ordering::AcqRel, Ordering::Acquire, added).is_ok()
    }
}

/// A pool with a limited number of units; clones share the pool.
#[derive(Debug, Clone)]
pub struct Permits(Arc<Usage>);

/// A permit for some units, which return to their pool when it is dropped.
#[derive(Debug)]
pub struct Permit {
    usage: Arc<Usage>,
    units: usize,
}

impl Permits {
    /// Creates a pool of `limit` units.
    pub fn new(limit: usize) -> Self {
        Self(Arc::new(Usage { in_use: AtomicUsize::new(0), limit }))
    }

    /// Takes a permit for one unit without waiting; returns `None` if all are in use.
    pub fn take(&self) -> Option<Permit> {
        let mut permit = self.empty();
        permit.resize(1).then_some(permit)
    }

    /// Returns the number of units in use.
    pub fn in_use(&self) -> usize {
        self.0.in_use.load(Ordering::Acquire)
    }

    /// Returns a permit for no units, to be resized.
    pub fn empty(&self) -> Permit {
        Permit { usage: self.0.clone(), units: 0 }
    }
}

impl Permit {
    /// Changes the number of units. Returns false, without a change, if too few are left.
    #[must_use]
    pub fn resize(&mut self, units: usize) -> bool {
        match units.checked_sub(self.units) {
            Some(more) if !self.usage.add(more) => return false,
            Some(_) => {}
            None => self.release(self.units - units),
        }
        self.units = units;
        true
    }

    fn release(&self, units: usize) {
        self.usage.in_use.fetch_sub(units, Ordering::AcqRel);
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.release(self.units);
    }
}

#[cfg(test)]
mod tests;
