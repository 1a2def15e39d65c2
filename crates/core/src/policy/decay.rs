//! Statistics that decay with time or with later outcomes.

use crate::api::Nanos;

/// A score that halves every half-life.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct DecayingScore {
    value: f64,
    set_at: Nanos,
    half_life: Nanos,
}

impl DecayingScore {
    pub(super) fn get(&self, now: Nanos) -> f64 {
        let age = now.saturating_sub(self.set_at) as f64 / self.half_life.max(1) as f64;
        self.value * (-age).exp2()
    }

    /// Sets the score as of `now` and its half-life from then on.
    pub(super) fn set(&mut self, now: Nanos, value: f64, half_life: Nanos) {
        *self = Self { value, set_at: now, half_life };
    }

    /// Multiplies the decayed score by a factor.
    pub(super) fn scale(&mut self, now: Nanos, factor: f64) {
        self.set(now, self.get(now) * factor, self.half_life);
    }
}

/// Factor by which a [`FailureRatio`] must exceed its baseline.
const BASELINE_FACTOR: f64 = 2.0;

/// Exponentially weighted moving average of failures.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct FailureRatio {
    ratio: f64,
}

impl FailureRatio {
    /// Records an outcome; `weight` is its weight in the new ratio, from 0 to 1.
    pub(super) fn record(&mut self, failed: bool, weight: f64) {
        self.ratio += (f64::from(u8::from(failed)) - self.ratio) * weight;
    }

    pub(super) fn get(&self) -> f64 {
        self.ratio
    }

    /// Whether the ratio is high, both absolutely and relative to `baseline`: the failures then have a cause
    /// specific to what this ratio counts.
    pub(super) fn exceeds_baseline(&self, baseline: f64, threshold: f64) -> bool {
        self.ratio > threshold && self.ratio > BASELINE_FACTOR * baseline
    }
}
