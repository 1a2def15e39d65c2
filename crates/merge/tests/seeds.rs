//! Runs a fixed set of seeds of `merge_check`, and verifies that its checker detects injected errors.

#[allow(unreachable_pub)]
#[path = "../examples/merge_check/checker.rs"]
mod checker;
#[allow(unreachable_pub)]
#[path = "../examples/merge_check/run.rs"]
mod run;
#[allow(unreachable_pub)]
#[path = "../examples/merge_check/stand_in.rs"]
mod stand_in;

#[test]
fn answers_match_the_exact_ones() {
    let failed = run::run_seeds(1, 200, None);
    assert!(failed.is_empty(), "{failed:?}");
}

/// A checker that misses errors would let every seed pass: each kind of injected error must be detected.
#[test]
fn checker_detects_injected_errors() {
    for sabotage in run::Sabotage::ALL {
        let failed = run::run_seeds(1, 20, Some(sabotage));
        assert!(failed.len() > 10, "{sabotage:?} was detected for {} of 20 seeds", failed.len());
    }
}
