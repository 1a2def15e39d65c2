//! Quantiles of the latencies of recent parts.

use super::sliding_window::RecentSamples;
use super::Policy;
use crate::api::Nanos;

/// The hedge delay is this quantile of recent part latencies.
const HEDGE_DELAY_QUANTILE: f64 = 0.95;
/// Minimum number of samples for the hedge delay; the other quantiles need half of it.
const MIN_SAMPLES: usize = 20;
/// Maximum number of latency samples.
const MAX_SAMPLES: usize = 200;
/// Maximum age of a sample, as a multiple of the longest latency objective.
const SAMPLE_AGE_OBJECTIVES: u64 = 10;

/// Latencies of recent parts, and their quantiles at the last refresh.
#[derive(Debug)]
pub(super) struct LatencyStats {
    samples: RecentSamples,
    refresh_at: Nanos,
    /// The hedge delay quantile; `None` until there are enough samples.
    pub(super) tail: Option<Nanos>,
    /// 0 until there are enough samples.
    pub(super) median: Nanos,
    /// 0 until there are enough samples.
    pub(super) lower_quartile: Nanos,
}

impl LatencyStats {
    pub(super) fn new(longest_objective: Nanos) -> Self {
        let samples = RecentSamples::new(MAX_SAMPLES, max_sample_age(longest_objective));
        Self { samples, refresh_at: 0, tail: None, median: 0, lower_quartile: 0 }
    }

    /// Changes the maximum age of a sample to that of this latency objective.
    pub(super) fn set_longest_objective(&mut self, longest_objective: Nanos) {
        self.samples.set_max_age(max_sample_age(longest_objective));
    }

    pub(super) fn record(&mut self, now: Nanos, latency: Nanos) {
        self.samples.add(now, latency);
    }
}

/// Returns the maximum age of a sample.
pub(super) fn max_sample_age(longest_objective: Nanos) -> Nanos {
    longest_objective.saturating_mul(SAMPLE_AGE_OBJECTIVES)
}

impl Policy {
    /// Recomputes the quantiles at most once per tick, since a tick may have many rounds.
    pub(super) fn refresh_latency_quantiles(&mut self) {
        let (now, latency) = (self.now, &mut self.latency);
        if now < latency.refresh_at {
            return;
        }
        latency.refresh_at = now + self.settings.tick;
        latency.tail = latency.samples.quantile(now, HEDGE_DELAY_QUANTILE, MIN_SAMPLES);
        latency.median = latency.samples.quantile(now, 0.5, MIN_SAMPLES / 2).unwrap_or(0);
        latency.lower_quartile = latency.samples.quantile(now, 0.25, MIN_SAMPLES / 2).unwrap_or(0);
    }
}
