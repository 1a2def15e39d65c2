use std::sync::Arc;

use super::outbound::{call, cancel, health_check};
use super::*;
use crate::api::{Nanos, Outcome, ShardId};
use crate::engine::{AttemptId, CancellationToken, Dispatch, FirstPhase, PartRequest, Value};
use proptest::prelude::*;

const MILLI: Nanos = 1_000_000;

const LIMITS: FrameLimits = FrameLimits { max_frame_bytes: 1024, max_line_bytes: 100 };

fn dispatch(first_phase: Option<FirstPhase>) -> Dispatch {
    let part = PartRequest { name: "9b1f.3".into(), shard: ShardId(3), text: "c41e77d0".into(), first_phase };
    Dispatch {
        attempt: AttemptId(1),
        part: Arc::new(part),
        deadline: 250 * MILLI,
        start_deadline: Nanos::MAX,
        cancellation: CancellationToken::new(),
    }
}

/// The example in the protocol's specification, and the parameters of a second phase.
#[test]
fn frames_are_encoded_as_specified_by_the_protocol() {
    let bytes = call(&[&dispatch(None)], 10 * MILLI);
    assert_eq!(bytes[..5], [26, 0, 0, 0, b'D']);
    assert_eq!(&bytes[5..], b"9b1f.3 3 d=240 8\nc41e77d0");
    let second = dispatch(Some(FirstPhase { shards: vec![ShardId(3), ShardId(5)], complete: true }));
    let text = String::from_utf8(call(&[&second], 10 * MILLI)[5..].to_vec()).unwrap();
    assert_eq!(text, "9b1f.3 3 d=240,from=3+5,whole=1 8\nc41e77d0");
    assert_eq!(cancel("a.1"), b"\x04\0\0\0Ka.1");
    assert_eq!(health_check(), b"\x01\0\0\0I");
}

/// A query may be answered while the frame of its attempt waits to be written; that attempt must not be sent.
#[test]
fn cancelled_attempts_are_omitted() {
    let (active, mut cancelled) = (dispatch(None), dispatch(None));
    cancelled.cancellation = CancellationToken::default();
    let now = |parts: Vec<Dispatch>| OutboundFrame::Call(parts).encode_at(10 * MILLI, true).bytes;
    assert_eq!(now(vec![cancelled.clone(), active.clone()]), now(vec![active]));
    assert_eq!(now(vec![cancelled]), None);
}

/// The data node may stop accepting new work while a health check waits to be written. The health check is then
/// omitted, but cancellations are still sent.
#[test]
fn a_health_check_is_omitted_when_no_new_work_is_accepted() {
    let now = |frame: OutboundFrame, accepts_new_attempts| frame.encode_at(10 * MILLI, accepts_new_attempts);
    assert_eq!(
        now(OutboundFrame::HealthCheck, true),
        EncodedFrame { bytes: Some(health_check()), ..EncodedFrame::default() }
    );
    assert_eq!(
        now(OutboundFrame::HealthCheck, false),
        EncodedFrame { health_check_omitted: true, ..EncodedFrame::default() }
    );
    for accepts_new_attempts in [false, true] {
        let cancellation = OutboundFrame::Cancel("a.1".to_string());
        let encoded = EncodedFrame { bytes: Some(cancel("a.1")), ..EncodedFrame::default() };
        assert_eq!(now(cancellation, accepts_new_attempts), encoded);
    }
}

/// An answer may arrive in several reads: no proper prefix is an error or a frame.
#[test]
fn an_incomplete_answer_is_neither_a_frame_nor_an_error() {
    let bytes = encode(b'O', b"9b1f.3 200 1840277719 inflight=7,util=0.61\n5be2a07c");
    for cut in 0..bytes.len() {
        assert_eq!(parse(&bytes[..cut], LIMITS), Ok(None));
    }
    let (reply, used) = parse(&bytes, LIMITS).unwrap().unwrap();
    let value = Some(Value { score: 1_840_277_719, data: "5be2a07c".into() });
    assert_eq!(reply, InboundFrame::Answer { part_name: "9b1f.3".into(), outcome: Outcome::Success, value });
    assert_eq!(used, bytes.len());
}

/// Oversized and malformed frames are errors, so that their connection is closed.
#[test]
fn oversized_and_malformed_frames_are_errors() {
    assert!(parse(&[0, 0, 0, 0], LIMITS).is_err());
    assert!(parse(&[255, 255, 255, 255, b'O'], LIMITS).is_err());
    for rest in ["no line", "a 200 1\n", "a 299 1 -\n", "a 200 x -\nv"] {
        assert!(parse(&encode(b'O', rest.as_bytes()), LIMITS).is_err(), "{rest}");
    }
    assert!(parse(&encode(b'Q', b""), LIMITS).is_err());
    assert!(parse(&encode(b'O', b"a 200 1 -\n\xff"), LIMITS).is_err());
}

/// A load report may contain any bytes but a line feed; a malformed one must not invalidate its answer.
#[test]
fn a_malformed_load_report_does_not_invalidate_an_answer() {
    for report in [&b""[..], b"-", b"qps=1 x=2", b"\xff\xfe", b"qps=", b"{} \t\0"] {
        let bytes = encode(b'O', &[b"a.1 200 7 ", report, b"\nv"].concat());
        let value = Some(Value { score: 7, data: "v".into() });
        let reply = InboundFrame::Answer { part_name: "a.1".into(), outcome: Outcome::Success, value };
        assert_eq!(parse(&bytes, LIMITS), Ok(Some((reply, bytes.len()))), "{report:?}");
    }
}

/// Bytes that cannot become a valid frame are an error immediately: the rest of the frame may never arrive.
#[test]
fn an_invalid_frame_is_an_error_before_it_is_complete() {
    let long = encode(b'O', &[b'a'; 200]);
    assert_eq!(parse(&long[..50], LIMITS), Ok(None));
    let huge = 3_000_000_000_u32.to_le_bytes();
    let line = [&1000_u32.to_le_bytes()[..], b"Oa 299 1 -\n"].concat();
    for bad in [&long[..105], &encode(b'Q', &[0; 200])[..5], &huge, &line] {
        assert!(parse(bad, LIMITS).is_err(), "{bad:?}");
    }
}

proptest! {
    /// No bytes from a data node cause a panic.
    #[test]
    fn parsing_any_bytes_does_not_panic(bytes in proptest::collection::vec(any::<u8>(), 0..64)) {
        let _ = parse(&bytes, FrameLimits { max_frame_bytes: 32, max_line_bytes: 16 });
    }
}

/// A drain may begin, or a retry window or deadline pass, while a frame waits for its socket. Attempts that may no
/// longer be sent are omitted and reported as omitted.
#[test]
fn attempts_that_may_not_be_sent_now_are_omitted() {
    let sendable = dispatch(None);
    let past_start_deadline =
        Dispatch { attempt: AttemptId(2), start_deadline: 20 * MILLI, ..dispatch(None) };
    let past_deadline = Dispatch { attempt: AttemptId(3), deadline: 20 * MILLI, ..dispatch(None) };
    let frame = OutboundFrame::Call(vec![sendable.clone(), past_start_deadline, past_deadline]);
    let all = [AttemptId(1), AttemptId(2), AttemptId(3)];
    assert_eq!(frame.encode_at(10 * MILLI, true).sent, all);
    let later = frame.encode_at(20 * MILLI, true);
    assert_eq!((&later.sent[..], &later.omitted[..]), (&all[..1], &all[1..]));
    assert_eq!(later.bytes, OutboundFrame::Call(vec![sendable]).encode_at(20 * MILLI, true).bytes);
    let drained = frame.encode_at(10 * MILLI, false);
    assert_eq!((drained.bytes, drained.omitted.len()), (None, 3));
}
