//! Frames from data nodes.

use std::sync::Arc;

use crate::api::Outcome;
use crate::engine::Value;
use crate::net::frame::{frame_type, status, LENGTH_BYTES};

/// A frame from a data node.
#[derive(Debug, Clone, PartialEq)]
pub enum InboundFrame {
    /// The result of an attempt.
    Answer {
        /// The name of the part, as sent in the call.
        part_name: String,
        /// The outcome that the data node reports.
        outcome: Outcome,
        /// The returned value; `None` unless the attempt succeeded.
        value: Option<Value>,
    },
    /// The result of a health check.
    HealthCheckAnswer(Outcome),
    /// The data node refused the previous frame for this reason and closes the connection next.
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

/// Why bytes are not a valid frame.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum FrameError {
    /// The frame's length is zero or exceeds the limit.
    #[error("frame length is zero or exceeds the limit")]
    LengthOutOfRange,
    /// Data nodes send no frames of this type.
    #[error("unknown frame type")]
    UnknownType,
    /// The answer to a health check exceeds the line limit.
    #[error("answer to a health check is too long")]
    HealthCheckAnswerTooLong,
    /// An answer's line exceeds the line limit.
    #[error("answer line is too long")]
    LineTooLong,
    /// A complete answer contains no line feed.
    #[error("answer line is missing")]
    LineMissing,
    /// An answer's line has fewer than four fields.
    #[error("answer line has fewer than four fields")]
    FieldMissing,
    /// The part's name or the score is not UTF-8.
    #[error("answer line is not valid UTF-8")]
    LineNotText,
    /// An answer's score is not an unsigned integer.
    #[error("answer score is not a number")]
    ScoreNotANumber,
    /// An answer's status is not one of the protocol.
    #[error("unknown answer status")]
    UnknownStatus,
    /// An answer's value is not UTF-8.
    #[error("answer value is not valid UTF-8")]
    ValueNotText,
}

/// Size limits of frames from data nodes.
#[derive(Debug, Clone, Copy)]
pub struct FrameLimits {
    /// Maximum length of a frame: type byte and payload.
    pub max_frame_bytes: usize,
    /// Maximum length of an answer's line, line feed included, and of the answer to a health check.
    pub max_line_bytes: usize,
}

/// Parses the first frame in `bytes`; returns it with its size in bytes, or `None` while it is incomplete. Reports
/// bytes that cannot become a valid frame as soon as they are received, since the rest of the frame may never arrive.
///
/// # Errors
/// The frame is empty, exceeds a limit or is malformed.
pub fn parse(bytes: &[u8], limits: FrameLimits) -> Result<Option<(InboundFrame, usize)>, FrameError> {
    let Some(length) = bytes.first_chunk::<LENGTH_BYTES>() else { return Ok(None) };
    let length = u32::from_le_bytes(*length) as usize;
    if length == 0 || length > limits.max_frame_bytes {
        return Err(FrameError::LengthOutOfRange);
    }
    let end = LENGTH_BYTES + length;
    let received = &bytes[LENGTH_BYTES..bytes.len().min(end)];
    let Some((&frame_type, payload)) = received.split_first() else { return Ok(None) };
    let is_complete = received.len() == length;
    let frame = parse_payload(frame_type, payload, is_complete, limits.max_line_bytes)?;
    Ok(frame.map(|frame| (frame, end)))
}

/// Parses the payload of a frame of this type; returns `None` while it is incomplete.
fn parse_payload(
    frame_type: u8,
    payload: &[u8],
    is_complete: bool,
    max_line_bytes: usize,
) -> Result<Option<InboundFrame>, FrameError> {
    match frame_type {
        frame_type::ANSWER => parse_answer(payload, is_complete, max_line_bytes),
        frame_type::HEALTH_CHECK | frame_type::LOAD_CHECK => {
            if payload.len() > max_line_bytes {
                return Err(FrameError::HealthCheckAnswerTooLong);
            }
            let outcome =
                if payload == status::SERVER_ERROR { Outcome::ServerError } else { Outcome::Success };
            Ok(is_complete.then_some(InboundFrame::HealthCheckAnswer(outcome)))
        }
        frame_type::REFUSED => {
            let reason = || String::from_utf8_lossy(payload).into_owned();
            Ok(is_complete.then(|| InboundFrame::FrameRefused(reason())))
        }
        _ => Err(FrameError::UnknownType),
    }
}

fn parse_answer(
    payload: &[u8],
    is_complete: bool,
    max_line_bytes: usize,
) -> Result<Option<InboundFrame>, FrameError> {
    match parse_answer_line(payload, max_line_bytes)? {
        Some((line, data)) if is_complete => line.into_frame(data).map(Some),
        None if is_complete => Err(FrameError::LineMissing),
        _ => Ok(None),
    }
}

/// The line at the beginning of an answer.
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

/// Parses an answer's line; returns it with the bytes after it, or `None` while the line is incomplete. Ignores the
/// load report, the line's last field, so that a malformed report does not invalidate the answer.
fn parse_answer_line(
    payload: &[u8],
    max_line_bytes: usize,
) -> Result<Option<(AnswerLine<'_>, &[u8])>, FrameError> {
    let Some(end) = payload.iter().take(max_line_bytes).position(|&byte| byte == b'\n') else {
        return if payload.len() < max_line_bytes { Ok(None) } else { Err(FrameError::LineTooLong) };
    };
    let fields: Vec<&[u8]> = payload[..end].splitn(4, |&byte| byte == b' ').collect();
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
    Ok(Some((AnswerLine { part_name: text(part_name)?, status }, &payload[end + 1..])))
}
