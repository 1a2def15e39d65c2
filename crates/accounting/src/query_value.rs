//! What an answer is worth, as the deployment counts it: all within the aim, a part of it after that, and an answer
//! that is not whole a part of it for its share.

use curlewdeck_core::api::Class;

/// Worths of a class, in millionths: whole numbers, so that sums are exact.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct QueryValue {
    /// Of a complete answer within the latency objective: what a query requests.
    pub full: u64,
    late_ratio: f64,
    partial_ratio: f64,
    complete_coverage: f64,
}

/// Millionths in a value of one.
pub const MILLIONTHS: f64 = 1e6;

impl QueryValue {
    /// The value of a query of a class.
    pub fn of_class(class: &Class) -> Self {
        // The priority weight is finite and not negative: the settings are checked.
        let full = (class.priority_weight * MILLIONTHS).round() as u64;
        Self {
            full,
            late_ratio: class.late_value_ratio,
            partial_ratio: class.partial_value_ratio.unwrap_or(0.0),
            complete_coverage: class.complete_coverage,
        }
    }

    /// Of an answer with this share of the weight in. Rounded down, and never more than was asked for.
    pub fn served(&self, complete: bool, in_time: bool, coverage: f64) -> u64 {
        let time = if in_time { 1.0 } else { self.late_ratio };
        let part = match complete {
            true => 1.0,
            false if self.complete_coverage > 0.0 => {
                (self.partial_ratio * coverage.clamp(0.0, 1.0) / self.complete_coverage).min(1.0)
            }
            false => 0.0,
        };
        ((self.full as f64 * time * part).floor() as u64).min(self.full)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    proptest! {
        #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

        #[test]
        fn no_more_is_earned_than_was_asked(
            whole in 0..10_000_000u64, late in 0.0..1.0f64, partial in 0.0..3.0f64, need in 0.0..1.0f64,
            share in -1.0..2.0f64, flags in any::<(bool, bool)>(),
        ) {
            let worth = QueryValue { full: whole, late_ratio: late, partial_ratio: partial, complete_coverage: need };
            prop_assert!(worth.served(flags.0, flags.1, share) <= whole);
        }
    }
}
