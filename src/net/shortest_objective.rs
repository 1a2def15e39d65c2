//! The shortest latency objective of the settings in force: set by the core, and read by the data nodes' actors.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;

use crate::api::Nanos;

/// The shortest latency objective of the classes in force; clones share it.
#[derive(Debug, Clone)]
pub struct ShortestLatencyObjective(Arc<AtomicU64>);

impl ShortestLatencyObjective {
    /// Creates the value from the settings at the start.
    pub fn new(objective: Nanos) -> Self {
        Self(Arc::new(AtomicU64::new(objective)))
    }

    /// Sets the value of new settings.
    pub fn set(&self, objective: Nanos) {
        self.0.store(objective, Ordering::Relaxed);
    }

    /// Returns the value of the settings in force.
    pub fn get(&self) -> Duration {
        Duration::from_nanos(self.0.load(Ordering::Relaxed))
    }
}
