use super::*;

const MS: Nanos = 1_000_000;

/// The timeout of a pipelined request starts when its last byte arrives, not when the requests before it are answered.
#[test]
fn the_timeout_of_each_request_starts_at_its_last_byte() {
    let mut arrivals = ArrivalTimes::default();
    arrivals.record(100, 10 * MS);
    arrivals.record(40, 200 * MS);
    arrivals.record(60, 500 * MS);
    // The first 100 bytes are one request, the next 100 another.
    assert_eq!(arrivals.take_request(100, 900 * MS), 10 * MS);
    assert_eq!(arrivals.take_request(0, 900 * MS), 500 * MS);
    arrivals.record(100, 1000 * MS);
    assert_eq!(arrivals.take_request(0, 1000 * MS), 1000 * MS);
}

/// One read holds a request and part of the next, whose last byte is the first byte of a later read.
#[test]
fn requests_may_be_split_across_reads_at_any_byte() {
    let mut arrivals = ArrivalTimes::default();
    arrivals.record(150, 10 * MS);
    assert_eq!(arrivals.take_request(100, 20 * MS), 10 * MS);
    assert_eq!(arrivals.take_request(50, 20 * MS), 10 * MS);
    arrivals.record(1, 100 * MS);
    arrivals.record(49, 200 * MS);
    assert_eq!(arrivals.take_request(49, 300 * MS), 100 * MS);
}

/// A client that sends single bytes must not create an entry per byte.
#[test]
fn bytes_that_arrive_together_share_an_entry() {
    let mut arrivals = ArrivalTimes::default();
    (0..10_000).for_each(|n| arrivals.record(1, n * MS / 100));
    assert!(arrivals.runs.len() <= 21, "{}", arrivals.runs.len());
    assert_eq!(arrivals.take_request(0, 100 * MS), 95 * MS);
    assert!(arrivals.runs.is_empty());
}
