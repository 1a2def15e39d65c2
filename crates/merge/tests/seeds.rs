//! A fixed set of seeds of `merge_check`, and its checker held against planted bugs.

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
fn answers_are_exact_and_claims_hold() {
    let failed = run::seeds(1, 200, None);
    assert!(failed.is_empty(), "{failed:?}");
}

/// The checker must find each planted bug, or it could not fail.
#[test]
fn the_checker_finds_planted_bugs() {
    for sabotage in run::Sabotage::ALL {
        let failed = run::seeds(1, 20, Some(sabotage));
        assert!(failed.len() > 10, "{sabotage:?} was found for {} of 20 seeds", failed.len());
    }
}
