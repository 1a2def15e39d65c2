use super::*;
use std::io::ErrorKind;

/// A lack of local resources counted as the peer's failure would eject healthy data nodes; the reverse would keep
/// failed ones in use.
#[test]
fn local_resource_exhaustion_is_distinguished_from_failures_of_the_peer() {
    for number in [12, 23, 24, 99, 105] {
        assert!(is_local_resource_error(&Error::from_raw_os_error(number)), "{number}");
    }
    // ENETUNREACH, ECONNRESET, ETIMEDOUT, ECONNREFUSED, EHOSTUNREACH.
    for number in [101, 104, 110, 111, 113] {
        assert!(!is_local_resource_error(&Error::from_raw_os_error(number)), "{number}");
    }
    assert!(!is_local_resource_error(&ErrorKind::TimedOut.into()));
}
