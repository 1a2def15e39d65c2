//! Figures in which older evidence counts less: by time, and by later outcomes.

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

    /// Multiplies what is left of the score.
    pub(super) fn scale(&mut self, now: Nanos, factor: f64) {
        self.set(now, self.get(now) * factor, self.half_life);
    }
}

/// How many times the ratio elsewhere a [`FailureRatio`] must exceed to stand out.
const STAND_OUT_FACTOR: f64 = 2.0;

/// Exponentially weighted share of failures among the latest outcomes.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct FailureRatio {
    ratio: f64,
}

impl FailureRatio {
    /// Records an outcome; `weight` is its share of the new ratio.
    pub(super) fn record(&mut self, failed: bool, weight: f64) {
        self.ratio += (f64::from(u8::from(failed)) - self.ratio) * weight;
    }

    pub(super) fn get(&self) -> f64 {
        self.ratio
    }

    /// Whether failures are many here and few `elsewhere`, so that what is counted here is their cause.
    pub(super) fn stands_out(&self, elsewhere: f64, threshold: f64) -> bool {
        self.ratio > threshold && self.ratio > STAND_OUT_FACTOR * elsewhere
    }
}
