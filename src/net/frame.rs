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

/// One call.
pub fn call(parts: &[Dispatch], now: Nanos) -> Vec<u8> {
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

/// The first frame in `bytes` and how many of them it takes; nothing while it is not whole.
///
/// # Errors
/// The frame is empty, longer than `most` or of no known form.
pub fn parse(bytes: &[u8], most: usize) -> Result<Option<(Reply, usize)>, BadFrame> {
    let Some(head) = bytes.first_chunk::<HEAD>() else { return Ok(None) };
    let length = u32::from_le_bytes(*head) as usize;
    if length == 0 || length > most {
        return Err(BadFrame("its length is out of range"));
    }
    let Some(body) = bytes.get(HEAD..HEAD + length) else { return Ok(None) };
    let rest = &body[1..];
    let reply = match body[0] {
        b'O' => answer(rest)?,
        b'I' | b'U' => Reply::Probed(if rest == b"500" { Outcome::Fault } else { Outcome::Pass }),
        b'Z' => Reply::Refused(String::from_utf8_lossy(rest).into_owned()),
        _ => return Err(BadFrame("its letter is not known")),
    };
    Ok(Some((reply, HEAD + length)))
}

fn answer(rest: &[u8]) -> Result<Reply, BadFrame> {
    let end = rest.iter().position(|&b| b == b'\n').ok_or(BadFrame("an answer has no line"))?;
    let line = std::str::from_utf8(&rest[..end]).map_err(|_| BadFrame("an answer's line is not text"))?;
    let fields: Vec<&str> = line.split(' ').collect();
    let [name, end_code, score, _report] = fields[..] else {
        return Err(BadFrame("an answer's line has not four fields"));
    };
    let outcome = match end_code {
        "200" => Outcome::Pass,
        "500" => Outcome::Fault,
        "503" => Outcome::NoRoom,
        _ => return Err(BadFrame("an answer's end is not known")),
    };
    let value = match outcome {
        Outcome::Pass => {
            let score = score.parse().map_err(|_| BadFrame("an answer's score is no number"))?;
            let data = std::str::from_utf8(&rest[end + 1..]).map_err(|_| BadFrame("a value is not text"))?;
            Some(Value { score, data: Arc::from(data) })
        }
        _ => None,
    };
    Ok(Reply::Answer { name: name.to_string(), outcome, value })
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::api::ShardId;
    use crate::engine::{AttemptId, PartText};
    use proptest::prelude::*;

    fn dispatch(after: Option<(Vec<ShardId>, bool)>) -> Dispatch {
        let part = PartText { name: "9b1f.3".into(), shard: ShardId(3), text: "c41e77d0".into(), after };
        Dispatch { attempt: AttemptId(1), part: Arc::new(part), until: 250 * MILLI }
    }

    /// The protocol's own example, and the lists of a second step.
    #[test]
    fn calls_are_written_as_the_protocol_shows() {
        let bytes = call(&[dispatch(None)], 10 * MILLI);
        assert_eq!(bytes[..5], [26, 0, 0, 0, b'D']);
        assert_eq!(&bytes[5..], b"9b1f.3 3 d=240 8\nc41e77d0");
        let second = dispatch(Some((vec![ShardId(3), ShardId(5)], true)));
        let text = String::from_utf8(call(&[second], 10 * MILLI)[5..].to_vec()).unwrap();
        assert_eq!(text, "9b1f.3 3 d=240,from=3+5,whole=1 8\nc41e77d0");
        assert_eq!(give_up("a.1"), b"\x04\0\0\0Ka.1");
        assert_eq!(probe(), b"\x01\0\0\0I");
    }

    /// Answers come in pieces: no prefix is an error or a frame.
    #[test]
    fn a_split_answer_is_waited_for() {
        let bytes = frame(b'O', b"9b1f.3 200 1840277719 inflight=7,util=0.61\n5be2a07c");
        for cut in 0..bytes.len() {
            assert_eq!(parse(&bytes[..cut], 1024), Ok(None));
        }
        let (reply, used) = parse(&bytes, 1024).unwrap().unwrap();
        let value = Some(Value { score: 1_840_277_719, data: "5be2a07c".into() });
        assert_eq!(reply, Reply::Answer { name: "9b1f.3".into(), outcome: Outcome::Pass, value });
        assert_eq!(used, bytes.len());
    }

    /// Oversized and malformed frames are named, so that their connection is closed.
    #[test]
    fn bad_frames_are_errors() {
        assert!(parse(&[0, 0, 0, 0], 1024).is_err());
        assert!(parse(&[255, 255, 255, 255, b'O'], 1024).is_err());
        for rest in ["no line", "a 200 1\n", "a 299 1 -\n", "a 200 x -\nv"] {
            assert!(parse(&frame(b'O', rest.as_bytes()), 1024).is_err(), "{rest}");
        }
        assert!(parse(&frame(b'Q', b""), 1024).is_err());
        assert!(parse(&frame(b'O', b"a 200 1 -\n\xff"), 1024).is_err());
    }

    proptest! {
        /// Nothing that a data node sends may panic.
        #[test]
        fn any_bytes_are_parsed_without_panic(bytes in proptest::collection::vec(any::<u8>(), 0..64)) {
            let _ = parse(&bytes, 32);
        }
    }
}
