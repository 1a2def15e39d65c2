use super::*;

/// A step forward and a step back must both be detected, and none may be reported without a step.
#[test]
fn a_step_of_the_wall_clock_is_detected_either_way() {
    let clock = Clock::start();
    assert!(!clock.wall_stepped());
    for step in [200_000_000, 3_600_000_000_000] {
        assert!(Clock { base: clock.base + step, ..clock }.wall_stepped(), "back by {step} ns");
        assert!(Clock { base: clock.base - step, ..clock }.wall_stepped(), "forward by {step} ns");
    }
}
