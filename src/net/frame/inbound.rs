//! Frames from data nodes.

use std::sync::Arc;

use crate::api::Outcome;
use crate::engine::Value;
use crate::net::frame::{letter, status, LENGTH_BYTES};

/// A frame from a data node.
#[derive(Debug, Clone, PartialEq)]
pub enum InboundFrame {
    /// The end of an attempt.
    Answer {
        /// The part's name.
        part_name: String,
        /// How it ended.
        outcome: Outcome,
        /// Its value, if it succeeded.
        value: Option<Value>,
    },
    /// The end of a health check.
    HealthCheckAnswer(Outcome),
    /// The frame before could not be used, for this reason; the connection is closed next.
    FrameRefused(String),
}

impl std::fmt::Display for InboundFrame {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Answer { part_name, outcome, .. } => write!(f, "{part_name} {outcome:?}"),
            Self::HealthCheckAnswer(outcome) => write!(f, "health check {outcome:?}"),
            Self::FrameRefused(reason) => write!(f, "refused '{reason}'"),
        }
    }
}

/// Why bytes are no frame.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum FrameError {
    /// Its length is 0, or over the limit.
    #[error("its length is out of range")]
    LengthOutOfRange,
    /// Its letter is none that a data node sends.
    #[error("its letter is not known")]
    UnknownLetter,
    /// The answer to a health check is over the limit.
    #[error("the answer to a health check is too long")]
    HealthCheckAnswerTooLong,
    /// An answer's first line is over the limit.
    #[error("an answer's line does not end")]
    LineTooLong,
    /// An answer has no line at all.
    #[error("an answer has no line")]
    LineMissing,
    /// An answer's line has too few fields.
    #[error("an answer's line does not have four fields")]
    FieldMissing,
    /// An answer's line is not UTF-8.
    #[error("an answer's line is not text")]
    LineNotText,
    /// An answer's score is no number.
    #[error("an answer's score is no number")]
    ScoreNotANumber,
    /// An answer's status is none that is known.
    #[error("an answer's status is not known")]
    UnknownStatus,
    /// An answer's value is not UTF-8.
    #[error("a value is not text")]
    ValueNotText,
}

/// Bounds of frames from data nodes.
#[derive(Debug, Clone, Copy)]
pub struct FrameLimits {
    /// Bytes of a frame.
    pub frame: usize,
    /// Bytes of the line that begins an answer.
    pub line: usize,
}

/// The first frame in `bytes` and how many of them it takes; none while it is incomplete. What can never become a frame
/// is an error as soon as that shows, since its rest may never come.
///
/// # Errors
/// The frame is empty, over a limit or of no known form.
pub fn parse(bytes: &[u8], limits: FrameLimits) -> Result<Option<(InboundFrame, usize)>, FrameError> {
    let Some(length) = bytes.first_chunk::<LENGTH_BYTES>() else { return Ok(None) };
    let length = u32::from_le_bytes(*length) as usize;
    if length == 0 || length > limits.frame {
        return Err(FrameError::LengthOutOfRange);
    }
    let end = LENGTH_BYTES + length;
    let received = &bytes[LENGTH_BYTES..bytes.len().min(end)];
    let Some((&letter, rest)) = received.split_first() else { return Ok(None) };
    let is_complete = received.len() == length;
    let frame = parse_rest(letter, rest, is_complete, limits.line)?;
    Ok(frame.map(|frame| (frame, end)))
}

/// The frame of this letter; none while it is incomplete.
fn parse_rest(
    letter: u8,
    rest: &[u8],
    is_complete: bool,
    line_limit: usize,
) -> Result<Option<InboundFrame>, FrameError> {
    match letter {
        letter::ANSWER => parse_answer(rest, is_complete, line_limit),
        letter::HEALTH_CHECK | letter::LOAD_CHECK => {
            if rest.len() > line_limit {
                return Err(FrameError::HealthCheckAnswerTooLong);
            }
            let outcome = if rest == status::SERVER_ERROR { Outcome::ServerError } else { Outcome::Success };
            Ok(is_complete.then_some(InboundFrame::HealthCheckAnswer(outcome)))
        }
        letter::REFUSED => {
            let reason = || String::from_utf8_lossy(rest).into_owned();
            Ok(is_complete.then(|| InboundFrame::FrameRefused(reason())))
        }
        _ => Err(FrameError::UnknownLetter),
    }
}

fn parse_answer(
    rest: &[u8],
    is_complete: bool,
    line_limit: usize,
) -> Result<Option<InboundFrame>, FrameError> {
    match parse_answer_line(rest, line_limit)? {
        Some((line, data)) if is_complete => line.into_frame(data).map(Some),
        None if is_complete => Err(FrameError::LineMissing),
        _ => Ok(None),
    }
}

/// The line that begins an answer.
struct AnswerLine<'a> {
    part_name: &'a str,
    status: AnswerStatus,
}

enum AnswerStatus {
    Success { score: u64 },
    Failure(Outcome),
}

impl AnswerLine<'_> {
    fn into_frame(self, data: &[u8]) -> Result<InboundFrame, FrameError> {
        let (outcome, value) = match self.status {
            AnswerStatus::Failure(outcome) => (outcome, None),
            AnswerStatus::Success { score } => {
                let data = std::str::from_utf8(data).map_err(|_| FrameError::ValueNotText)?;
                (Outcome::Success, Some(Value { score, data: Arc::from(data) }))
            }
        };
        Ok(InboundFrame::Answer { part_name: self.part_name.to_string(), outcome, value })
    }
}

/// An answer's line, and the bytes of its value that follow; none while the line is incomplete. The load report, the
/// line's last field, is not read: whatever it holds, the answer is as good.
fn parse_answer_line(rest: &[u8], line_limit: usize) -> Result<Option<(AnswerLine<'_>, &[u8])>, FrameError> {
    let Some(end) = rest.iter().take(line_limit).position(|&byte| byte == b'\n') else {
        return if rest.len() < line_limit { Ok(None) } else { Err(FrameError::LineTooLong) };
    };
    let fields: Vec<&[u8]> = rest[..end].splitn(4, |&byte| byte == b' ').collect();
    let [part_name, code, score, _load_report] = fields[..] else {
        return Err(FrameError::FieldMissing);
    };
    let text = |field| std::str::from_utf8(field).map_err(|_| FrameError::LineNotText);
    let status = match code {
        status::SUCCESS => {
            let score = text(score)?.parse().map_err(|_| FrameError::ScoreNotANumber)?;
            AnswerStatus::Success { score }
        }
        status::SERVER_ERROR => AnswerStatus::Failure(Outcome::ServerError),
        status::REJECTED => AnswerStatus::Failure(Outcome::Rejected),
        _ => return Err(FrameError::UnknownStatus),
    };
    Ok(Some((AnswerLine { part_name: text(part_name)?, status }, &rest[end + 1..])))
}
