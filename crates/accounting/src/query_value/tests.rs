use super::*;
use proptest::prelude::*;

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn no_more_value_is_served_than_was_requested(
        full in 0..10_000_000u64, late in 0.0..1.0f64, partial in 0.0..3.0f64, need in 0.0..1.0f64,
        share in -1.0..2.0f64, flags in any::<(bool, bool)>(),
    ) {
        let value = QueryValue { full, late_ratio: late, partial_ratio: partial, complete_coverage: need };
        prop_assert!(value.served(flags.0, flags.1, share) <= full);
    }
}
