//! The frames of data nodes: pure functions over bytes.
//!
//! A frame is a four-byte length, least significant byte first, one letter and the rest; the length covers
//! the letter and the rest.

use std::sync::Arc;

use crate::api::{Nanos, Outcome};
use crate::engine::{AttemptId, Dispatch, FirstPhase, Value};

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
    /// A call.
    Call(Vec<Dispatch>),
    /// A probe: new work for the data node, as a call is.
    Probe,
    /// Any other, whole.
    Whole(Vec<u8>),
}

impl std::fmt::Display for Frame {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Call(parts) => {
                parts.iter().try_for_each(|d| write!(f, "attempt {} of {} ", d.attempt.0, d.part.name))
            }
            Self::Probe => write!(f, "probe"),
            Self::Whole(bytes) => {
                write!(f, "{}", String::from_utf8_lossy(bytes.get(HEAD..).unwrap_or_default()))
            }
        }
    }
}

/// What of a frame goes out at one moment.
#[derive(Debug, Default, PartialEq)]
pub struct Current {
    /// Its bytes, unless nothing of it goes out.
    pub bytes: Option<Vec<u8>>,
    /// Attempts that go out.
    pub sent: Vec<AttemptId>,
    /// Attempts that are left out, and never run.
    pub stale: Vec<AttemptId>,
    /// It is a probe that does not go out.
    pub probe_left_out: bool,
}

impl Frame {
    /// Whether it asks for something new: a part, and not the word that one is given up, or a probe.
    pub fn is_call(&self) -> bool {
        matches!(self, Self::Call(_))
    }

    /// Whether these of its attempts are all wanted.
    pub fn wanted(&self, sent: &[AttemptId]) -> bool {
        match self {
            Self::Call(parts) => {
                parts.iter().all(|d| d.cancellation.is_active() || !sent.contains(&d.attempt))
            }
            Self::Probe | Self::Whole(_) => true,
        }
    }

    /// As of now: parts that are not wanted are left out, those whose time is over, and all where the data node may not
    /// be sent anything new.
    pub fn current(&self, now: Nanos, takes_new: bool) -> Current {
        let parts = match self {
            Self::Call(parts) => parts,
            Self::Probe => {
                let bytes = takes_new.then(probe);
                return Current { probe_left_out: bytes.is_none(), bytes, ..Current::default() };
            }
            Self::Whole(bytes) => return Current { bytes: Some(bytes.clone()), ..Current::default() },
        };
        let may =
            |d: &&Dispatch| takes_new && now < d.deadline.min(d.start_deadline) && d.cancellation.is_active();
        let (sent, stale): (Vec<&Dispatch>, Vec<&Dispatch>) = parts.iter().partition(may);
        let ids = |parts: &[&Dispatch]| parts.iter().map(|d| d.attempt).collect();
        let bytes = (!sent.is_empty()).then(|| call(&sent, now));
        Current { bytes, sent: ids(&sent), stale: ids(&stale), probe_left_out: false }
    }
}

/// One call.
fn call(parts: &[&Dispatch], now: Nanos) -> Vec<u8> {
    let mut rest = Vec::new();
    for d in parts {
        let wait = (d.deadline.saturating_sub(now) / MILLI).max(1);
        let mut list = format!("d={wait}");
        if let Some(FirstPhase { shards, complete }) = &d.part.first_phase {
            let names: Vec<String> = shards.iter().map(|s| s.0.to_string()).collect();
            list.push_str(&format!(",from={},whole={}", names.join("+"), u8::from(*complete)));
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
        b'I' | b'U' => Reply::Probed(if rest == b"500" { Outcome::ServerError } else { Outcome::Success }),
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
                (Outcome::Success, Some(Value { score, data: Arc::from(data) }))
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
        b"500" => End::Failed(Outcome::ServerError),
        b"503" => End::Failed(Outcome::Rejected),
        _ => return Err(BadFrame("an answer's end is not known")),
    };
    Ok(Some((text(name)?, end_code, &rest[end + 1..])))
}

#[cfg(test)]
mod tests;
