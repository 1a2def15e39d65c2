//! The query class used by the tests.

use curlewdeck_core::api::{Class, Nanos, RetrySafety};

pub(crate) const MS: Nanos = 1_000_000;

pub(crate) fn class() -> Class {
    Class {
        latency_objective: 100 * MS,
        deadline: 1000 * MS,
        priority_weight: 3.0,
        late_value_ratio: 0.3,
        retry_safety: RetrySafety::Idempotent,
        retry_window: 0,
        min_coverage: 0.8,
        complete_coverage: 1.0,
        partial_value_ratio: Some(0.8),
        second_phase_parts: 0,
        max_attempts: 4,
        retired: false,
    }
}
