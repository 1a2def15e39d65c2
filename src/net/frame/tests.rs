use super::*;
use crate::api::ShardId;
use crate::engine::{AttemptId, CancellationToken, PartRequest};
use proptest::prelude::*;

const LIMITS: FrameLimits = FrameLimits { frame: 1024, line: 100 };

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

/// The protocol's own example, and the lists of a second step.
#[test]
fn calls_are_written_as_the_protocol_shows() {
    let bytes = call(&[&dispatch(None)], 10 * MILLI);
    assert_eq!(bytes[..5], [26, 0, 0, 0, b'D']);
    assert_eq!(&bytes[5..], b"9b1f.3 3 d=240 8\nc41e77d0");
    let second = dispatch(Some(FirstPhase { shards: vec![ShardId(3), ShardId(5)], complete: true }));
    let text = String::from_utf8(call(&[&second], 10 * MILLI)[5..].to_vec()).unwrap();
    assert_eq!(text, "9b1f.3 3 d=240,from=3+5,whole=1 8\nc41e77d0");
    assert_eq!(give_up("a.1"), b"\x04\0\0\0Ka.1");
    assert_eq!(probe(), b"\x01\0\0\0I");
}

/// Guards against sending on a part whose query has its answer while its frame waits to be written.
#[test]
fn parts_not_wanted_any_more_are_left_out() {
    let (kept, mut over) = (dispatch(None), dispatch(None));
    over.cancellation = CancellationToken::default();
    let now = |parts: Vec<Dispatch>| Frame::Call(parts).current(10 * MILLI, true).bytes;
    assert_eq!(now(vec![over.clone(), kept.clone()]), now(vec![kept]));
    assert_eq!(now(vec![over]), None);
}

/// Guards a data node that takes nothing new against probes whose turn comes late; what is given up is told all the same.
#[test]
fn a_probe_does_not_go_out_where_nothing_new_is_taken() {
    let now = |frame: Frame, takes_new| frame.current(10 * MILLI, takes_new);
    assert_eq!(now(Frame::Probe, true), Current { bytes: Some(probe()), ..Current::default() });
    assert_eq!(now(Frame::Probe, false), Current { probe_left_out: true, ..Current::default() });
    let word = Frame::Whole(give_up("a.1"));
    assert_eq!(now(word.clone(), false), now(word, true));
}

/// Answers come in pieces: no prefix is an error or a frame.
#[test]
fn a_split_answer_is_waited_for() {
    let bytes = frame(b'O', b"9b1f.3 200 1840277719 inflight=7,util=0.61\n5be2a07c");
    for cut in 0..bytes.len() {
        assert_eq!(parse(&bytes[..cut], LIMITS), Ok(None));
    }
    let (reply, used) = parse(&bytes, LIMITS).unwrap().unwrap();
    let value = Some(Value { score: 1_840_277_719, data: "5be2a07c".into() });
    assert_eq!(reply, Reply::Answer { name: "9b1f.3".into(), outcome: Outcome::Success, value });
    assert_eq!(used, bytes.len());
}

/// Oversized and malformed frames are named, so that their connection is closed.
#[test]
fn bad_frames_are_errors() {
    assert!(parse(&[0, 0, 0, 0], LIMITS).is_err());
    assert!(parse(&[255, 255, 255, 255, b'O'], LIMITS).is_err());
    for rest in ["no line", "a 200 1\n", "a 299 1 -\n", "a 200 x -\nv"] {
        assert!(parse(&frame(b'O', rest.as_bytes()), LIMITS).is_err(), "{rest}");
    }
    assert!(parse(&frame(b'Q', b""), LIMITS).is_err());
    assert!(parse(&frame(b'O', b"a 200 1 -\n\xff"), LIMITS).is_err());
}

/// Guards against a good answer lost for its load report, which may hold anything but a line's end.
#[test]
fn an_unreadable_report_does_not_spoil_an_answer() {
    for report in [&b""[..], b"-", b"qps=1 x=2", b"\xff\xfe", b"qps=", b"{} \t\0"] {
        let bytes = frame(b'O', &[b"a.1 200 7 ", report, b"\nv"].concat());
        let value = Some(Value { score: 7, data: "v".into() });
        let reply = Reply::Answer { name: "a.1".into(), outcome: Outcome::Success, value };
        assert_eq!(parse(&bytes, LIMITS), Ok(Some((reply, bytes.len()))), "{report:?}");
    }
}

/// Guards against waiting for the rest of what can never be a frame.
#[test]
fn what_can_never_be_a_frame_is_an_error_at_once() {
    let long = frame(b'O', &[b'a'; 200]);
    assert_eq!(parse(&long[..50], LIMITS), Ok(None));
    let huge = 3_000_000_000_u32.to_le_bytes();
    let line = [&1000_u32.to_le_bytes()[..], b"Oa 299 1 -\n"].concat();
    for bad in [&long[..105], &frame(b'Q', &[0; 200])[..5], &huge, &line] {
        assert!(parse(bad, LIMITS).is_err(), "{bad:?}");
    }
}

proptest! {
    /// Nothing that a data node sends may panic.
    #[test]
    fn any_bytes_are_parsed_without_panic(bytes in proptest::collection::vec(any::<u8>(), 0..64)) {
        let _ = parse(&bytes, FrameLimits { frame: 32, line: 16 });
    }
}

/// Guards drains, windows of repeats and times while a frame waits for its socket: what may not go out at that moment is
/// left out, and told so.
#[test]
fn parts_that_may_not_go_out_now_are_left_out() {
    let kept = dispatch(None);
    let window = Dispatch { attempt: AttemptId(2), start_deadline: 20 * MILLI, ..dispatch(None) };
    let time = Dispatch { attempt: AttemptId(3), deadline: 20 * MILLI, ..dispatch(None) };
    let frame = Frame::Call(vec![kept.clone(), window, time]);
    let all = [AttemptId(1), AttemptId(2), AttemptId(3)];
    assert_eq!(frame.current(10 * MILLI, true).sent, all);
    let later = frame.current(20 * MILLI, true);
    assert_eq!((&later.sent[..], &later.stale[..]), (&all[..1], &all[1..]));
    assert_eq!(later.bytes, Frame::Call(vec![kept]).current(20 * MILLI, true).bytes);
    let drained = frame.current(10 * MILLI, false);
    assert_eq!((drained.bytes, drained.stale.len()), (None, 3));
}
