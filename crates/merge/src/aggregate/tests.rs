use super::*;

#[test]
fn overflow_is_an_error() {
    let huge = Aggregate { rows: 1, sum: Units(i128::MAX), min_max: None };
    assert!(huge.merge(&Aggregate::of_row(Units(1))).is_err());
    assert!(Aggregate { rows: u64::MAX, ..Aggregate::default() }
        .merge(&Aggregate::of_row(Units(1)))
        .is_err());
}

#[test]
fn interval_requires_cached_totals_of_all_missing_ranges() {
    let known = Aggregate::of_row(Units(5));
    assert_eq!(interval(&known, &[Some(known), None]).unwrap(), None);
    assert_eq!(interval(&known, &[Some(known)]).unwrap().unwrap().sum, Units(10));
}
