use super::*;

#[test]
fn coverage_ratio_is_rounded_down() {
    let versions = (0..999_999).map(|r| (r, 1)).collect();
    let missing = [(999_999, MissingReason::NoAnswer), (1_000_000, MissingReason::NoAnswer)].into();
    let coverage = Coverage { versions, missing };
    assert_eq!((coverage.ratio_millionths(), coverage.decimal().as_str()), (999_998, "0.999998"));
    let complete = Coverage { versions: [(0, 1)].into(), ..Coverage::default() };
    assert!(complete.is_complete() && complete.decimal() == "1.000000");
    assert!(!Coverage::default().is_complete() && Coverage::default().ratio_millionths() == 0);
    let four_of_five = Coverage {
        versions: (0..4).map(|r| (r, 1)).collect(),
        missing: [(4, MissingReason::NoAnswer)].into(),
    };
    assert!(four_of_five.meets_minimum(0.8) && !four_of_five.meets_minimum(0.81));
}
