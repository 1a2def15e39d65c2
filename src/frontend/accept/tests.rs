use super::*;

const SECOND: Nanos = 1_000_000_000;
// Error numbers of Linux.
const INTERRUPTED: i32 = 4;
const NO_MEMORY: i32 = 12;
const TABLE_FULL: i32 = 23;
const TOO_MANY_OPEN: i32 = 24;
const PROTOCOL: i32 = 71;
const NETWORK_DOWN: i32 = 100;
const NETWORK_UNREACHABLE: i32 = 101;
const ABORTED: i32 = 103;
const NO_BUFFERS: i32 = 105;
const TIMED_OUT: i32 = 110;
const HOST_UNREACHABLE: i32 = 113;

/// A connection that was lost before `accept` must not delay the next one.
#[test]
fn an_error_of_one_connection_does_not_delay_the_next() {
    for number in [INTERRUPTED, ABORTED] {
        assert_eq!(retry_pause(&Error::from_raw_os_error(number)), Duration::ZERO, "{number}");
    }
}

/// Without a pause the accept loop is busy while a resource is unavailable; a long pause delays connections after the
/// resource is available again.
#[test]
fn a_persistent_error_is_retried_after_a_short_pause() {
    for number in [
        NO_MEMORY,
        TABLE_FULL,
        TOO_MANY_OPEN,
        PROTOCOL,
        NETWORK_DOWN,
        NETWORK_UNREACHABLE,
        NO_BUFFERS,
        TIMED_OUT,
        HOST_UNREACHABLE,
    ] {
        let pause = retry_pause(&Error::from_raw_os_error(number));
        assert!(pause > Duration::ZERO && pause <= Duration::from_millis(20), "{number}: {pause:?}");
    }
}

/// One line per attempt would flood the log while an error persists.
#[test]
fn errors_are_logged_at_a_limited_rate() {
    let mut errors = AcceptErrors::new("front", 10 * SECOND);
    let no_descriptor = Error::from_raw_os_error(TOO_MANY_OPEN);
    let lines = (0..1000).filter(|&n| {
        let due = errors.log.record(n * SECOND / 100).is_some();
        assert_eq!(retry_pause(&no_descriptor), RESOURCE_RETRY_PAUSE);
        due
    });
    assert_eq!(lines.count(), 1);
}
