use super::*;

/// A timer already set to a later time must not wait for it when an earlier or past time is requested.
#[test]
fn a_timer_set_to_an_earlier_time_fires_then() {
    let (fired, events) = std::sync::mpsc::channel();
    let clock = Clock::start();
    let mut timer = Timer::start(clock, move || fired.send(clock.now()).unwrap()).unwrap();
    let hour = 3_600_000_000_000;
    timer.set(clock.now() + hour);
    for at in [clock.now(), clock.now() + 3_000_000, 0] {
        timer.set(at);
        assert!(events.recv().unwrap() >= at);
        timer.fired();
    }
    timer.set(clock.now() + hour);
    assert!(events.try_recv().is_err());
}
