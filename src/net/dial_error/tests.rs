use super::*;
use std::io::ErrorKind;

/// Guards data nodes against blame for what this process lacks, and against none for what they do.
#[test]
fn a_local_shortage_is_told_from_a_fault_of_the_peer() {
    for number in [12, 23, 24, 99, 105] {
        assert!(is_local_shortage(&Error::from_raw_os_error(number)), "{number}");
    }
    // ENETUNREACH, ECONNRESET, ETIMEDOUT, ECONNREFUSED, EHOSTUNREACH.
    for number in [101, 104, 110, 111, 113] {
        assert!(!is_local_shortage(&Error::from_raw_os_error(number)), "{number}");
    }
    assert!(!is_local_shortage(&ErrorKind::TimedOut.into()));
}
