use super::*;
use proptest::prelude::*;

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn value_served_never_exceeds_the_value_requested(
        full in 0..10_000_000u64, late_ratio in 0.0..1.0f64, partial_ratio in 0.0..3.0f64,
        complete_coverage in 0.0..1.0f64, coverage in -1.0..2.0f64, flags in any::<(bool, bool)>(),
    ) {
        let value = QueryValue { full, late_ratio, partial_ratio, complete_coverage };
        prop_assert!(value.served(flags.0, flags.1, coverage) <= full);
    }
}
