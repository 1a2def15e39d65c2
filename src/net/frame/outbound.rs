//! Frames to data nodes.

use crate::api::Nanos;
use crate::engine::{AttemptId, Dispatch, FirstPhase};
use crate::net::frame::{encode, frame_type, parameter};

const NANOS_PER_MILLI: Nanos = 1_000_000;

/// A frame to be written to a data node.
#[derive(Debug, Clone, PartialEq)]
pub enum OutboundFrame {
    /// A call: attempts that are sent together.
    Call(Vec<Dispatch>),
    /// A health check; counts as new work for the data node, as a call does.
    HealthCheck,
    /// Cancels the attempt for the part of this name.
    Cancel(String),
}

impl std::fmt::Display for OutboundFrame {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Call(dispatches) => dispatches.iter().try_for_each(|dispatch| {
                write!(f, "attempt {} of {} ", dispatch.attempt.0, dispatch.part.name)
            }),
            Self::HealthCheck => write!(f, "health check"),
            Self::Cancel(part_name) => write!(f, "cancel {part_name}"),
        }
    }
}

/// The result of encoding a frame at one point in time.
#[derive(Debug, Default, PartialEq)]
pub struct EncodedFrame {
    /// The encoded bytes; `None` if nothing of the frame is written.
    pub bytes: Option<Vec<u8>>,
    /// Attempts that the bytes contain.
    pub sent: Vec<AttemptId>,
    /// Attempts that were omitted and never run.
    pub omitted: Vec<AttemptId>,
    /// Whether the frame is a health check that was omitted.
    pub health_check_omitted: bool,
}

impl OutboundFrame {
    /// Whether the frame contains attempts.
    pub fn is_call(&self) -> bool {
        matches!(self, Self::Call(_))
    }

    /// Whether a partially written frame with the attempts `sent` should be completed: none of them was cancelled.
    pub fn is_wanted(&self, sent: &[AttemptId]) -> bool {
        match self {
            Self::Call(dispatches) => dispatches
                .iter()
                .all(|dispatch| dispatch.cancellation.is_active() || !sent.contains(&dispatch.attempt)),
            Self::HealthCheck | Self::Cancel(_) => true,
        }
    }

    /// Encodes the frame as of `now`. Omits attempts that were cancelled or whose deadline has passed. Omits all
    /// attempts and health checks if the data node accepts none.
    pub fn encode_at(&self, now: Nanos, accepts_new_attempts: bool) -> EncodedFrame {
        match self {
            Self::Call(dispatches) => encode_call_at(dispatches, now, accepts_new_attempts),
            Self::HealthCheck => {
                let bytes = accepts_new_attempts.then(health_check);
                EncodedFrame { health_check_omitted: bytes.is_none(), bytes, ..EncodedFrame::default() }
            }
            Self::Cancel(part_name) => {
                EncodedFrame { bytes: Some(cancel(part_name)), ..EncodedFrame::default() }
            }
        }
    }
}

fn encode_call_at(dispatches: &[Dispatch], now: Nanos, accepts_new_attempts: bool) -> EncodedFrame {
    let is_sendable = |dispatch: &&Dispatch| {
        let latest_start = dispatch.deadline.min(dispatch.start_deadline);
        accepts_new_attempts && now < latest_start && dispatch.cancellation.is_active()
    };
    let (sent, omitted): (Vec<&Dispatch>, Vec<&Dispatch>) = dispatches.iter().partition(is_sendable);
    let attempts = |dispatches: &[&Dispatch]| dispatches.iter().map(|dispatch| dispatch.attempt).collect();
    EncodedFrame {
        bytes: (!sent.is_empty()).then(|| call(&sent, now)),
        sent: attempts(&sent),
        omitted: attempts(&omitted),
        health_check_omitted: false,
    }
}

/// Encodes a call: for each part, a line and the query's text.
pub(super) fn call(dispatches: &[&Dispatch], now: Nanos) -> Vec<u8> {
    let mut payload = Vec::new();
    for dispatch in dispatches {
        let part = &dispatch.part;
        let text = part.text.as_bytes();
        let parameters = call_parameters(dispatch, now);
        let line = format!("{} {} {parameters} {}\n", part.name, part.shard.0, text.len());
        payload.extend_from_slice(line.as_bytes());
        payload.extend_from_slice(text);
    }
    encode(frame_type::CALL, &payload)
}

/// Encodes a part's parameters: the timeout of its answer, and the result of the query's first phase if there was one.
fn call_parameters(dispatch: &Dispatch, now: Nanos) -> String {
    let timeout_ms = (dispatch.deadline.saturating_sub(now) / NANOS_PER_MILLI).max(1);
    let timeout = format!("{}={timeout_ms}", parameter::TIMEOUT_MS);
    let Some(FirstPhase { shards, complete }) = &dispatch.part.first_phase else { return timeout };
    let shards: Vec<String> = shards.iter().map(|shard| shard.0.to_string()).collect();
    let shards = format!("{}={}", parameter::FIRST_PHASE_SHARDS, shards.join("+"));
    let complete = format!("{}={}", parameter::FIRST_PHASE_COMPLETE, u8::from(*complete));
    format!("{timeout},{shards},{complete}")
}

/// Encodes the cancellation of a part's attempt.
pub(super) fn cancel(part_name: &str) -> Vec<u8> {
    encode(frame_type::CANCEL, part_name.as_bytes())
}

/// Encodes a health check.
pub(super) fn health_check() -> Vec<u8> {
    encode(frame_type::HEALTH_CHECK, b"")
}
