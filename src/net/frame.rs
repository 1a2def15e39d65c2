//! The frames of data nodes: pure functions over bytes.
//!
//! A frame is a four-byte length, least significant byte first, one letter and the rest; the length covers
//! the letter and the rest.

use std::sync::Arc;

use crate::api::{Nanos, Outcome};
use crate::engine::{Dispatch, Value};

const HEAD: usize = 4;
const MILLI: Nanos = 1_000_000;

/// A frame from a data node.
#[derive(Debug, Clone, PartialEq)]
pub enum Reply {
    /// An attempt's end.
    Answer {
        /// The part's name.
        name: String,
        /// How it ended.
        outcome: Outcome,
        /// Its value, if it passed.
        value: Option<Value>,
    },
    /// A probe's end.
    Probed(Outcome),
    /// The frame before could not be used; the connection is closed next.
    Refused(String),
}

impl std::fmt::Display for Reply {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Answer { name, outcome, .. } => write!(f, "{name} {outcome:?}"),
            Self::Probed(outcome) => write!(f, "probe {outcome:?}"),
            Self::Refused(words) => write!(f, "'{words}'"),
        }
    }
}

/// Why bytes are no frame.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BadFrame(pub &'static str);

fn frame(letter: u8, rest: &[u8]) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(HEAD + 1 + rest.len());
    bytes.extend_from_slice(&(rest.len() as u32 + 1).to_le_bytes());
    bytes.push(letter);
    bytes.extend_from_slice(rest);
    bytes
}

/// A frame to be written.
#[derive(Debug, Clone, PartialEq)]
pub enum Frame {
    /// A call as of this time.
    Call(Vec<Dispatch>, Nanos),
    /// Any other, whole.
    Whole(Vec<u8>),
}

impl std::fmt::Display for Frame {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Call(parts, _) => {
                parts.iter().try_for_each(|d| write!(f, "attempt {} of {} ", d.attempt.0, d.part.name))
            }
            Self::Whole(bytes) => {
                write!(f, "{}", String::from_utf8_lossy(bytes.get(HEAD..).unwrap_or_default()))
            }
        }
    }
}

impl Frame {
    /// How many of its parts are wanted; none of a frame without parts.
    pub fn wanted(&self) -> usize {
        match self {
            Self::Call(parts, _) => parts.iter().filter(|d| d.wanted.yes()).count(),
            Self::Whole(_) => 0,
        }
    }

    /// As of now: how many of its parts are wanted, and its bytes, from which those that are not are left out. Nothing
    /// if it has none left.
    pub fn current(&self) -> (usize, Option<Vec<u8>>) {
        match self {
            Self::Call(parts, now) => {
                let wanted: Vec<&Dispatch> = parts.iter().filter(|d| d.wanted.yes()).collect();
                (wanted.len(), (!wanted.is_empty()).then(|| call(&wanted, *now)))
            }
            Self::Whole(bytes) => (0, Some(bytes.clone())),
        }
    }
}

/// One call.
fn call(parts: &[&Dispatch], now: Nanos) -> Vec<u8> {
    let mut rest = Vec::new();
    for d in parts {
        let wait = (d.until.saturating_sub(now) / MILLI).max(1);
        let mut list = format!("d={wait}");
        if let Some((shards, whole)) = &d.part.after {
            let names: Vec<String> = shards.iter().map(|s| s.0.to_string()).collect();
            list.push_str(&format!(",from={},whole={}", names.join("+"), u8::from(*whole)));
        }
        let text = d.part.text.as_bytes();
        let line = format!("{} {} {list} {}\n", d.part.name, d.part.shard.0, text.len());
        rest.extend_from_slice(line.as_bytes());
        rest.extend_from_slice(text);
    }
    frame(b'D', &rest)
}

/// A part that is given up.
pub fn give_up(name: &str) -> Vec<u8> {
    frame(b'K', name.as_bytes())
}

/// A probe.
pub fn probe() -> Vec<u8> {
    frame(b'I', b"")
}

/// Bounds of frames from data nodes.
#[derive(Debug, Clone, Copy)]
pub struct FrameLimits {
    /// Bytes of a frame.
    pub frame: usize,
    /// Bytes of the line that begins an answer.
    pub line: usize,
}

/// The first frame in `bytes` and how many of them it takes; nothing while it is not whole. What can never
/// become a frame is an error as soon as that shows, since its rest may never come.
///
/// # Errors
/// The frame is empty, over a limit or of no known form.
pub fn parse(bytes: &[u8], limits: FrameLimits) -> Result<Option<(Reply, usize)>, BadFrame> {
    let Some(head) = bytes.first_chunk::<HEAD>() else { return Ok(None) };
    let length = u32::from_le_bytes(*head) as usize;
    if length == 0 || length > limits.frame {
        return Err(BadFrame("its length is out of range"));
    }
    let come = &bytes[HEAD..bytes.len().min(HEAD + length)];
    let Some((&letter, rest)) = come.split_first() else { return Ok(None) };
    let whole = come.len() == length;
    let reply = match letter {
        b'O' => match answer(rest, limits.line)? {
            Some((name, end, data)) if whole => end.reply(name, data)?,
            None if whole => return Err(BadFrame("an answer has no line")),
            _ => return Ok(None),
        },
        b'I' | b'U' if rest.len() > limits.line => return Err(BadFrame("a probe's answer is too long")),
        b'I' | b'U' | b'Z' if !whole => return Ok(None),
        b'I' | b'U' => Reply::Probed(if rest == b"500" { Outcome::Fault } else { Outcome::Pass }),
        b'Z' => Reply::Refused(String::from_utf8_lossy(rest).into_owned()),
        _ => return Err(BadFrame("its letter is not known")),
    };
    Ok(Some((reply, HEAD + length)))
}

/// How an answer ended: with a score where it passed.
enum End {
    Passed(u64),
    Failed(Outcome),
}

impl End {
    fn reply(self, name: &str, data: &[u8]) -> Result<Reply, BadFrame> {
        let (outcome, value) = match self {
            Self::Failed(outcome) => (outcome, None),
            Self::Passed(score) => {
                let data = std::str::from_utf8(data).map_err(|_| BadFrame("a value is not text"))?;
                (Outcome::Pass, Some(Value { score, data: Arc::from(data) }))
            }
        };
        Ok(Reply::Answer { name: name.to_string(), outcome, value })
    }
}

/// An answer's name, end and value.
type Answer<'a> = (&'a str, End, &'a [u8]);

/// An answer, as far as that has come; nothing while its line is not whole. The load
/// report, the line's last field, is not read: whatever it holds, the answer is as good.
fn answer(rest: &[u8], most: usize) -> Result<Option<Answer<'_>>, BadFrame> {
    let Some(end) = rest.iter().take(most).position(|&b| b == b'\n') else {
        return if rest.len() < most { Ok(None) } else { Err(BadFrame("an answer's line does not end")) };
    };
    let fields: Vec<&[u8]> = rest[..end].splitn(4, |&b| b == b' ').collect();
    let [name, code, score, _report] = fields[..] else {
        return Err(BadFrame("an answer's line has not four fields"));
    };
    let text = |field| std::str::from_utf8(field).map_err(|_| BadFrame("an answer's line is not text"));
    let end_code = match code {
        b"200" => {
            let score = text(score)?.parse().map_err(|_| BadFrame("an answer's score is no number"))?;
            End::Passed(score)
        }
        b"500" => End::Failed(Outcome::Fault),
        b"503" => End::Failed(Outcome::NoRoom),
        _ => return Err(BadFrame("an answer's end is not known")),
    };
    Ok(Some((text(name)?, end_code, &rest[end + 1..])))
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::api::ShardId;
    use crate::engine::{AttemptId, PartText, Wanted};
    use proptest::prelude::*;

    const LIMITS: FrameLimits = FrameLimits { frame: 1024, line: 100 };

    fn dispatch(after: Option<(Vec<ShardId>, bool)>) -> Dispatch {
        let part = PartText { name: "9b1f.3".into(), shard: ShardId(3), text: "c41e77d0".into(), after };
        Dispatch { attempt: AttemptId(1), part: Arc::new(part), until: 250 * MILLI, wanted: Wanted::new() }
    }

    /// The protocol's own example, and the lists of a second step.
    #[test]
    fn calls_are_written_as_the_protocol_shows() {
        let bytes = call(&[&dispatch(None)], 10 * MILLI);
        assert_eq!(bytes[..5], [26, 0, 0, 0, b'D']);
        assert_eq!(&bytes[5..], b"9b1f.3 3 d=240 8\nc41e77d0");
        let second = dispatch(Some((vec![ShardId(3), ShardId(5)], true)));
        let text = String::from_utf8(call(&[&second], 10 * MILLI)[5..].to_vec()).unwrap();
        assert_eq!(text, "9b1f.3 3 d=240,from=3+5,whole=1 8\nc41e77d0");
        assert_eq!(give_up("a.1"), b"\x04\0\0\0Ka.1");
        assert_eq!(probe(), b"\x01\0\0\0I");
    }

    /// Guards against sending on a part whose query has its answer while its frame waits to be written.
    #[test]
    fn parts_not_wanted_any_more_are_left_out() {
        let (kept, mut over) = (dispatch(None), dispatch(None));
        over.wanted = Wanted::default();
        let both = Frame::Call(vec![over.clone(), kept.clone()], 10 * MILLI);
        assert_eq!(both.current().1, Frame::Call(vec![kept], 10 * MILLI).current().1);
        assert_eq!(Frame::Call(vec![over], 10 * MILLI).current().1, None);
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
        assert_eq!(reply, Reply::Answer { name: "9b1f.3".into(), outcome: Outcome::Pass, value });
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
            let reply = Reply::Answer { name: "a.1".into(), outcome: Outcome::Pass, value };
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
}
