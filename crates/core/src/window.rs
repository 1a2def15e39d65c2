//! Generic helpers: counts over a sliding span and quantiles of recent samples.
//! Every parameter is handed in by the policy.

use std::collections::VecDeque;

/// Counts what happened within the last `span` nanoseconds.
#[derive(Debug, Clone)]
pub(crate) struct SlidingCount {
    span: u64,
    times: VecDeque<u64>,
}

impl SlidingCount {
    pub(crate) fn new(span: u64) -> Self {
        Self { span, times: VecDeque::new() }
    }

    pub(crate) fn add(&mut self, now: u64) {
        self.prune(now);
        self.times.push_back(now);
    }

    /// How many happened in the span that ends at `now`: what happened right at its begin is over.
    pub(crate) fn count(&mut self, now: u64) -> usize {
        self.prune(now);
        self.times.len()
    }

    /// How many happened at or after `from`, without forgetting older ones.
    pub(crate) fn since(&self, from: u64) -> usize {
        self.times.len() - self.times.partition_point(|&t| t < from)
    }

    fn prune(&mut self, now: u64) {
        while self.times.front().is_some_and(|&t| t.saturating_add(self.span) <= now) {
            self.times.pop_front();
        }
    }
}

/// Quantiles of the last `size` samples that are no older than `span`.
#[derive(Debug, Clone)]
pub(crate) struct RecentSamples {
    size: usize,
    span: u64,
    samples: VecDeque<(u64, u64)>,
}

impl RecentSamples {
    pub(crate) fn new(size: usize, span: u64) -> Self {
        Self { size, span, samples: VecDeque::new() }
    }

    pub(crate) fn add(&mut self, now: u64, value: u64) {
        if self.samples.len() >= self.size {
            self.samples.pop_front();
        }
        self.samples.push_back((now, value));
    }

    /// The `q` quantile, or nothing while fewer than `least` samples are recent enough.
    pub(crate) fn quantile(&self, now: u64, q: f64, least: usize) -> Option<u64> {
        let fresh = |t: u64| t.saturating_add(self.span) >= now;
        let mut values: Vec<u64> = self.samples.iter().filter(|s| fresh(s.0)).map(|s| s.1).collect();
        if values.len() < least.max(1) {
            return None;
        }
        let at = ((values.len() - 1) as f64 * q).round() as usize;
        Some(*values.select_nth_unstable(at).1)
    }
}

/// A value that halves every `half` nanoseconds.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Decaying {
    value: f64,
    at: u64,
    half: u64,
}

impl Decaying {
    pub(crate) fn get(&self, now: u64) -> f64 {
        let age = now.saturating_sub(self.at) as f64 / self.half.max(1) as f64;
        self.value * (-age).exp2()
    }

    /// Sets what it is from now on, and how fast it halves.
    pub(crate) fn set(&mut self, now: u64, value: f64, half: u64) {
        *self = Self { value, at: now, half };
    }

    /// Multiplies what is left of it.
    pub(crate) fn scale(&mut self, now: u64, factor: f64) {
        self.set(now, self.get(now) * factor, self.half);
    }
}

/// Share of bad among the latest outcomes; the latest weighs `step`.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Tally {
    share: f64,
}

impl Tally {
    pub(crate) fn add(&mut self, bad: bool, step: f64) {
        self.share += (f64::from(u8::from(bad)) - self.share) * step;
    }

    pub(crate) fn share(&self) -> f64 {
        self.share
    }
}
