//! Frames to data nodes.

use crate::api::Nanos;
use crate::engine::{AttemptId, Dispatch, FirstPhase};
use crate::net::frame::{encode, letter, parameter};

const NANOS_PER_MILLI: Nanos = 1_000_000;

/// A frame to be written.
#[derive(Debug, Clone, PartialEq)]
pub enum OutboundFrame {
    /// A call: attempts that are sent together.
    Call(Vec<Dispatch>),
    /// A health check: new work for the data node, as a call is.
    HealthCheck,
    /// The attempt of the part of this name is cancelled.
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

/// What of a frame is written at one moment.
#[derive(Debug, Default, PartialEq)]
pub struct EncodedFrame {
    /// Its bytes, unless nothing of it is written.
    pub bytes: Option<Vec<u8>>,
    /// Attempts that it carries.
    pub sent: Vec<AttemptId>,
    /// Attempts that are omitted, and never run.
    pub omitted: Vec<AttemptId>,
    /// It is a health check that is not written.
    pub health_check_omitted: bool,
}

impl OutboundFrame {
    /// Whether it is a call.
    pub fn is_call(&self) -> bool {
        matches!(self, Self::Call(_))
    }

    /// Whether it should be written to its end, given that it carries the attempts `sent`: none of them was cancelled.
    pub fn is_wanted(&self, sent: &[AttemptId]) -> bool {
        match self {
            Self::Call(dispatches) => dispatches
                .iter()
                .all(|dispatch| dispatch.cancellation.is_active() || !sent.contains(&dispatch.attempt)),
            Self::HealthCheck | Self::Cancel(_) => true,
        }
    }

    /// Encodes it as of `now`. Attempts that were cancelled or whose deadline has passed are omitted, and all that is new
    /// if the data node may not be sent anything new.
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

/// A call's frame: for each part a line and the query's text.
pub(super) fn call(dispatches: &[&Dispatch], now: Nanos) -> Vec<u8> {
    let mut rest = Vec::new();
    for dispatch in dispatches {
        let part = &dispatch.part;
        let text = part.text.as_bytes();
        let parameters = call_parameters(dispatch, now);
        let line = format!("{} {} {parameters} {}\n", part.name, part.shard.0, text.len());
        rest.extend_from_slice(line.as_bytes());
        rest.extend_from_slice(text);
    }
    encode(letter::CALL, &rest)
}

/// A part's parameters: how many milliseconds its answer is waited for, and the first phase of its query.
fn call_parameters(dispatch: &Dispatch, now: Nanos) -> String {
    let timeout_ms = (dispatch.deadline.saturating_sub(now) / NANOS_PER_MILLI).max(1);
    let timeout = format!("{}={timeout_ms}", parameter::TIMEOUT_MS);
    let Some(FirstPhase { shards, complete }) = &dispatch.part.first_phase else { return timeout };
    let shards: Vec<String> = shards.iter().map(|shard| shard.0.to_string()).collect();
    let shards = format!("{}={}", parameter::FIRST_PHASE_SHARDS, shards.join("+"));
    let complete = format!("{}={}", parameter::FIRST_PHASE_COMPLETE, u8::from(*complete));
    format!("{timeout},{shards},{complete}")
}

/// The frame that cancels the attempt of a part.
pub(super) fn cancel(part_name: &str) -> Vec<u8> {
    encode(letter::CANCEL, part_name.as_bytes())
}

/// The frame of a health check.
pub(super) fn health_check() -> Vec<u8> {
    encode(letter::HEALTH_CHECK, b"")
}
