//! Reads the frames of one connection.

use std::io;
use std::time::{Duration, Instant};

use crate::counters::Counters;
use crate::net::frame::{self, FrameError, FrameLimits, InboundFrame};
use crate::net::messages::{ReceivedFrames, TrailingBytes};
use crate::net::node::NodeContext;
use crate::runtime::Stream;

/// Size of the buffer for one read.
const READ_BUFFER_BYTES: usize = 4096;

/// Timeout of one read while no partial frame is buffered; the read is then repeated.
const READ_TIMEOUT: Duration = Duration::from_secs(60);

/// Why the reader stops reading a connection.
#[derive(Debug, thiserror::Error)]
enum ReadError {
    #[error("timed out in the middle of a frame")]
    FrameTimedOut,
    #[error(transparent)]
    Malformed(#[from] FrameError),
}

/// Reads a connection until it ends or is malformed, and passes the result of each read to `deliver`.
pub(super) fn read_frames(stream: &Stream, context: &NodeContext, deliver: impl Fn(ReceivedFrames)) {
    let mut reader = FrameReader::new(context);
    while let Some(received) = reader.read(stream) {
        let is_malformed = received.trailing == TrailingBytes::Malformed;
        deliver(received);
        if is_malformed {
            return;
        }
    }
}

struct FrameReader<'a> {
    context: &'a NodeContext,
    limits: FrameLimits,
    /// Received bytes that do not form a complete frame yet.
    buffered: Vec<u8>,
    read_buffer: Vec<u8>,
    /// When the partial frame in `buffered` began.
    frame_begun_at: Option<Instant>,
}

impl<'a> FrameReader<'a> {
    fn new(context: &'a NodeContext) -> Self {
        let limits = &context.limits;
        Self {
            context,
            limits: FrameLimits {
                max_frame_bytes: limits.max_frame_bytes,
                max_line_bytes: limits.max_frame_line_bytes,
            },
            buffered: Vec::new(),
            read_buffer: vec![0; READ_BUFFER_BYTES],
            frame_begun_at: None,
        }
    }

    /// Reads once and returns the result; `None` once the connection has ended.
    fn read(&mut self, stream: &Stream) -> Option<ReceivedFrames> {
        loop {
            let timeout = self.read_timeout();
            if timeout.is_zero() {
                return Some(self.malformed(Vec::new(), &ReadError::FrameTimedOut));
            }
            match stream.read(&mut self.read_buffer, timeout) {
                Ok(0) => return None,
                Ok(count) => {
                    self.buffered.extend_from_slice(&self.read_buffer[..count]);
                    return Some(self.take_frames());
                }
                Err(error) if is_timeout(&error) => {}
                Err(_) => return None,
            }
        }
    }

    fn read_timeout(&self) -> Duration {
        self.frame_begun_at
            .map_or(READ_TIMEOUT, |begun_at| self.frame_timeout().saturating_sub(begun_at.elapsed()))
    }

    /// Maximum time between the first and the last byte of a frame.
    fn frame_timeout(&self) -> Duration {
        self.context.limits.frame_read_timeout.max(self.context.connection_silence())
    }

    /// Removes and returns the complete frames in the buffer.
    fn take_frames(&mut self) -> ReceivedFrames {
        let mut frames = Vec::new();
        let mut consumed = 0;
        loop {
            match frame::parse(&self.buffered[consumed..], self.limits) {
                Ok(Some((frame, length))) => {
                    consumed += length;
                    log_refused(&frame);
                    frames.push(frame);
                }
                Ok(None) => break,
                Err(error) => return self.malformed(frames, &error.into()),
            }
        }
        self.buffered.drain(..consumed);
        self.update_frame_begun_at(consumed);
        let trailing =
            if self.buffered.is_empty() { TrailingBytes::None } else { TrailingBytes::PartialFrame };
        ReceivedFrames { frames, trailing }
    }

    /// Updates the start time of the partial frame after `consumed` bytes of complete frames were removed.
    fn update_frame_begun_at(&mut self, consumed: usize) {
        let continues = consumed == 0 && self.frame_begun_at.is_some();
        if self.buffered.is_empty() {
            self.frame_begun_at = None;
        } else if !continues {
            self.frame_begun_at = Some(Instant::now());
        }
    }

    fn malformed(&self, frames: Vec<InboundFrame>, error: &ReadError) -> ReceivedFrames {
        log::warn!(error:% = error; "malformed frame from a data node");
        Counters::add(&self.context.counters.bad_frames);
        ReceivedFrames { frames, trailing: TrailingBytes::Malformed }
    }
}

fn log_refused(frame: &InboundFrame) {
    if let InboundFrame::FrameRefused(reason) = frame {
        log::warn!(reason = reason.as_str(); "a data node refused a frame");
    }
}

fn is_timeout(error: &io::Error) -> bool {
    matches!(error.kind(), io::ErrorKind::TimedOut | io::ErrorKind::WouldBlock)
}
