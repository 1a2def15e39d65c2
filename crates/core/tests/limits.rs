//! Pins the size of the decision module.

#[test]
fn policy_stays_within_its_limits() {
    let text = include_str!("../src/policy.rs");
    let lines = text.lines().filter(|l| !l.trim().is_empty()).count();
    assert!(lines <= 1010, "policy.rs has {lines} non-blank lines");
    let long: Vec<usize> =
        (1..).zip(text.lines()).filter(|(_, l)| l.chars().count() > 110).map(|l| l.0).collect();
    assert!(long.is_empty(), "lines past 110 characters: {long:?}");
}
