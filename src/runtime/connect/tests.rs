use super::*;

/// Guards against a list kept for every length of time-out that ever was: there are few lengths.
#[test]
fn socket_timeouts_have_few_lengths() {
    let lengths: std::collections::BTreeSet<Duration> =
        (0..10_000).map(|n| round_timeout(Duration::from_micros(n * 1000 + n))).collect();
    assert!(lengths.len() <= 201, "{}", lengths.len());
    assert_eq!(round_timeout(Duration::from_millis(250)), Duration::from_millis(250));
    assert_eq!(round_timeout(Duration::ZERO), TIMEOUT_STEP);
}

/// Guards connecting against errors that last for a moment, by their numbers as Linux documents them; a refusal is final,
/// and no error is retried for ever.
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
