use super::*;
use proptest::prelude::*;

#[test]
fn units_are_exact_and_reject_other_formats() {
    assert_eq!(Units(-5).decimal(2), "-0.05");
    assert_eq!(Units(1250).decimal(2), "12.50");
    assert_eq!(Units(7).decimal(0), "7");
    assert_eq!(Units(i128::MAX).plus(Units(1)), Err(Overflow));
    assert_eq!(Units(i128::MIN).minus(Units(1)), Err(Overflow));
    assert_eq!(Units(i128::MAX / 2).times(3), Err(Overflow));
    for bad in ["1.5", "9999999999999999999999999", "\"\"", "\"+1\"", "\"1e3\"", "null", "\"0x1\""] {
        assert!(serde_json::from_str::<Units>(bad).is_err(), "{bad}");
    }
    let long = "\"170141183460469231731687303715884105727\"";
    assert_eq!(serde_json::from_str::<Units>(long).unwrap(), Units(i128::MAX));
    assert_eq!(to_json(Units(i128::MAX)), long);
}

#[test]
fn mean_is_rounded_half_to_even() {
    let mean = |sum, n| Units(sum).mean(n).map(|(m, exact)| (m.0, exact));
    assert_eq!(mean(5, 2), Some((2, false)));
    assert_eq!(mean(7, 2), Some((4, false)));
    assert_eq!(mean(-5, 2), Some((-2, false)));
    assert_eq!(mean(-6, 2), Some((-3, true)));
    assert_eq!(mean(1, 0), None);
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn formatted_units_parse_unchanged(n in any::<i64>(), scale in 0..=MAX_SCALE) {
        let units = Units(n.into());
        prop_assert_eq!(Units::parse(&units.decimal(scale), scale), Some(units));
        prop_assert_eq!(serde_json::from_str::<Units>(&to_json(units)).unwrap(), units);
    }
}
