use super::*;
use std::time::Duration;

/// A stack size in words that no machine can allocate.
const IMPOSSIBLE_STACK: usize = 1 << 56;

/// `may` panics in the caller if the stack cannot be allocated; the caller must get an error instead.
#[test]
fn a_coroutine_that_cannot_start_is_an_error() {
    let failed = spawn("too large", IMPOSSIBLE_STACK, || unreachable!("started without a stack"));
    assert_eq!(failed.unwrap_err().name, "too large");
}

/// Callers wait for the report: it must come exactly once after a result, a panic or a failed start.
#[test]
fn the_end_of_a_coroutine_is_reported_however_it_ends() {
    let (ends, reports) = std::sync::mpsc::channel();
    let report = |name: &'static str, stack_words, run: fn() -> u8| {
        let ends = ends.clone();
        spawn_reporting(name, stack_words, run, move |end| ends.send(end).unwrap());
        reports.recv_timeout(Duration::from_secs(60)).unwrap()
    };
    let stack_words = crate::limits::Limits::default().core_stack_words;
    assert_eq!(report("result", stack_words, || 7), Some(7));
    assert_eq!(report("panic", stack_words, || panic!("panic on purpose")), None);
    assert_eq!(report("too large", IMPOSSIBLE_STACK, || 7), None);
    assert!(reports.try_recv().is_err());
}
