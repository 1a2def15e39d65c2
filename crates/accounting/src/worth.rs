//! What an answer is worth, as the deployment counts it: all within the aim, a part of it after that, and an answer
//! that is not whole a part of it for its share.

use curlewdeck_core::api::Class;

/// Worths of a class, in millionths: whole numbers, so that sums are exact.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Worth {
    /// Of a whole answer in time: what a query asks for.
    pub whole: u64,
    late: f64,
    partial: f64,
    need: f64,
}

/// A whole worth of one.
pub const ONE: f64 = 1e6;

/// The worths of a class.
pub fn worth(class: &Class) -> Worth {
    // Importance is finite and not negative: the settings are checked.
    let whole = (class.priority_weight * ONE).round() as u64;
    Worth {
        whole,
        late: class.late_value_ratio,
        partial: class.partial_value_ratio.unwrap_or(0.0),
        need: class.complete_coverage,
    }
}

impl Worth {
    /// Of an answer with this share of the weight in. Rounded down, and never more than was asked for.
    pub fn earned(&self, whole: bool, in_time: bool, share: f64) -> u64 {
        let time = if in_time { 1.0 } else { self.late };
        let part = match whole {
            true => 1.0,
            false if self.need > 0.0 => (self.partial * share.clamp(0.0, 1.0) / self.need).min(1.0),
            false => 0.0,
        };
        ((self.whole as f64 * time * part).floor() as u64).min(self.whole)
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
            let worth = Worth { whole, late, partial, need };
            prop_assert!(worth.earned(flags.0, flags.1, share) <= whole);
        }
    }
}
