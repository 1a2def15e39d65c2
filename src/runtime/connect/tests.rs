use super::*;

/// `may` keeps a list for each distinct time-out, so the memory would grow with every new duration.
#[test]
fn socket_timeouts_are_rounded_to_few_durations() {
    let durations: std::collections::BTreeSet<Duration> =
        (0..10_000).map(|n| round_timeout(Duration::from_micros(n * 1000 + n))).collect();
    assert!(durations.len() <= 201, "{}", durations.len());
    assert_eq!(round_timeout(Duration::from_millis(250)), Duration::from_millis(250));
    assert_eq!(round_timeout(Duration::ZERO), TIMEOUT_STEP);
}

/// Transient errors, by their Linux numbers, are retried up to the limit of attempts. A refused connection is not
/// retried.
#[test]
fn a_connect_is_retried_after_a_transient_error() {
    const ECONNREFUSED: i32 = 111;
    const EAGAIN: i32 = 11;
    const ENFILE: i32 = 23;
    const EMFILE: i32 = 24;
    const ENOBUFS: i32 = 105;
    const EADDRNOTAVAIL: i32 = 99;
    const ENETUNREACH: i32 = 101;
    let connect_failing = |error: i32, failures: u32| {
        let attempts = std::cell::Cell::new(0);
        let connect = |_| {
            attempts.set(attempts.get() + 1);
            if attempts.get() > failures {
                Ok(())
            } else {
                Err(io::Error::from_raw_os_error(error))
            }
        };
        let result = retry_transient(Duration::from_secs(60), connect, || ());
        (result.is_ok(), attempts.get())
    };
    for error in [EADDRNOTAVAIL, ENETUNREACH, ENFILE, EMFILE, ENOBUFS, EAGAIN] {
        assert_eq!(connect_failing(error, CONNECT_ATTEMPTS - 1), (true, CONNECT_ATTEMPTS), "{error}");
        assert_eq!(connect_failing(error, u32::MAX), (false, CONNECT_ATTEMPTS), "{error}");
    }
    assert_eq!(connect_failing(ECONNREFUSED, 1), (false, 1));
    let late = retry_transient(Duration::ZERO, |_| Err::<(), _>(io::Error::from_raw_os_error(ENFILE)), || ());
    assert!(late.is_err());
}
