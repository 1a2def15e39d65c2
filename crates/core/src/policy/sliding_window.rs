//! Counts over a sliding time window and quantiles of recent samples.

use std::collections::VecDeque;

use crate::api::Nanos;

/// Counts events within the last `window`.
#[derive(Debug, Clone)]
pub(super) struct SlidingCount {
    window: Nanos,
    times: VecDeque<Nanos>,
}

impl SlidingCount {
    pub(super) fn new(window: Nanos) -> Self {
        Self { window, times: VecDeque::new() }
    }

    /// Changes the length of the window; events that were already pruned are not restored.
    pub(super) fn set_window(&mut self, window: Nanos) {
        self.window = window;
    }

    pub(super) fn add(&mut self, now: Nanos) {
        self.prune(now);
        self.times.push_back(now);
    }

    /// Returns the number of events in the window that ends at `now`; the start of the window is excluded.
    pub(super) fn count(&mut self, now: Nanos) -> usize {
        self.prune(now);
        self.times.len()
    }

    /// Returns the number of events at or after `from`, without pruning older ones.
    pub(super) fn count_since(&self, from: Nanos) -> usize {
        self.times.len() - self.times.partition_point(|&time| time < from)
    }

    fn prune(&mut self, now: Nanos) {
        while self.times.front().is_some_and(|&time| time.saturating_add(self.window) <= now) {
            self.times.pop_front();
        }
    }
}

#[derive(Debug, Clone, Copy)]
struct Sample {
    taken_at: Nanos,
    value: Nanos,
}

/// Quantiles of the last `capacity` samples, excluding those older than `max_age`.
#[derive(Debug, Clone)]
pub(super) struct RecentSamples {
    capacity: usize,
    max_age: Nanos,
    samples: VecDeque<Sample>,
}

impl RecentSamples {
    pub(super) fn new(capacity: usize, max_age: Nanos) -> Self {
        Self { capacity, max_age, samples: VecDeque::new() }
    }

    /// Changes the maximum age; it applies to the samples taken before, too.
    pub(super) fn set_max_age(&mut self, max_age: Nanos) {
        self.max_age = max_age;
    }

    pub(super) fn add(&mut self, now: Nanos, value: Nanos) {
        if self.samples.len() >= self.capacity {
            self.samples.pop_front();
        }
        self.samples.push_back(Sample { taken_at: now, value });
    }

    /// Returns the quantile, or `None` if fewer than `min_samples` samples are recent enough.
    pub(super) fn quantile(&self, now: Nanos, quantile: f64, min_samples: usize) -> Option<Nanos> {
        let is_recent = |sample: &&Sample| sample.taken_at.saturating_add(self.max_age) >= now;
        let mut values: Vec<Nanos> = self.samples.iter().filter(is_recent).map(|s| s.value).collect();
        if values.len() < min_samples.max(1) {
            return None;
        }
        let index = ((values.len() - 1) as f64 * quantile).round() as usize;
        Some(*values.select_nth_unstable(index).1)
    }
}
