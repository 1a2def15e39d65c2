use super::connection::{Connection, ConnectionState};
use super::*;
use std::sync::Arc;

use crate::api::{Nanos, Outcome, ShardId};
use crate::engine::{AttemptId, CancellationToken, Dispatch, PartRequest, Value};
use crate::net::frame::InboundFrame;
use proptest::prelude::*;

const PARTS_PER_CONNECTION: usize = 3;
const IDLE_TIMEOUT: Nanos = 1000;
const HEALTH_CHECK_TIMEOUT: Nanos = 50;
const DEADLINE: Nanos = 400;
const SILENCE_TIMEOUT: Nanos = 100;
const NO_SOCKET_BACKOFF: Nanos = 20;

fn new_pool() -> ConnectionPool {
    ConnectionPool::new(PoolLimits {
        parts_per_connection: PARTS_PER_CONNECTION,
        idle_timeout: IDLE_TIMEOUT,
        health_check_timeout: HEALTH_CHECK_TIMEOUT,
        queued_parts: 64,
        closed_attempts: 8,
        silence_timeout: SILENCE_TIMEOUT,
        no_socket_backoff: NO_SOCKET_BACKOFF,
    })
}

fn part(id: u64, deadline: Nanos) -> Dispatch {
    let text =
        PartRequest { name: format!("q.{id}"), shard: ShardId(0), text: "t".into(), first_phase: None };
    Dispatch {
        attempt: AttemptId(id),
        part: Arc::new(text),
        deadline,
        start_deadline: Nanos::MAX,
        cancellation: CancellationToken::new(),
    }
}

fn answer(id: u64) -> InboundFrame {
    let value = Some(Value { score: 1, data: "v".into() });
    InboundFrame::Answer { part_name: format!("q.{id}"), outcome: Outcome::Success, value }
}

/// The progress of an attempt in the model.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Progress {
    Queued,
    BeingWritten(ConnectionId),
    Written(ConnectionId),
    Ended,
}

/// The model: attempts with their deadlines, and the operations whose results the pool awaits.
#[derive(Default)]
struct Model {
    attempts: Vec<(Progress, Nanos)>,
    connecting: Vec<ConnectionId>,
    connected: Vec<ConnectionId>,
    closing: Vec<ConnectionId>,
    writing: Vec<(ConnectionId, Vec<u64>)>,
    /// Connections to the current address.
    at_current_address: Vec<ConnectionId>,
    writing_health_check: Vec<ConnectionId>,
    accepts_new_attempts: bool,
    now: Nanos,
    no_socket_until: Nanos,
    open_health_checks: i64,
}

impl Model {
    fn step(&mut self, pool: &mut ConnectionPool, input: Input) {
        match &input {
            Input::CheckHealth => self.open_health_checks += 1,
            Input::AcceptsNewAttempts(yes) => self.accepts_new_attempts = *yes,
            Input::AddressChanged => self.at_current_address.clear(),
            Input::CancelAttempt(id) => self.attempts[id.0 as usize].0 = Progress::Ended,
            Input::FrameWritten(id) => self.end_write(*id, true),
            // A partially written attempt may have run, as a completely written one may.
            Input::WriteFailed { connection: id, partially_written } => {
                self.end_write(*id, *partially_written)
            }
            Input::AttemptsOmitted { connection: id, attempts } => self.attempts_omitted(*id, attempts),
            Input::NoSocketAvailable(_) => self.no_socket_until = self.now + NO_SOCKET_BACKOFF,
            _ => {}
        }
        let stops = input == Input::AcceptsNewAttempts(false);
        for output in pool.step(self.now, input) {
            self.check(output);
        }
        let any_queued = self.attempts.iter().any(|a| a.0 == Progress::Queued);
        assert!(!stops || !any_queued, "an attempt stays queued though nothing new is accepted");
        let outdated = |connection: &Connection| {
            connection.state == ConnectionState::Connected
                && connection.address_generation != pool.address_generation
                && connection.is_idle()
        };
        assert!(
            !pool.connections.values().any(outdated),
            "an idle connection to a previous address stays open"
        );
        let in_flight = self
            .connected
            .iter()
            .map(|u| self.attempts.iter().filter(|a| a.0 == Progress::Written(*u)).count());
        assert!(
            in_flight.max().unwrap_or(0) <= PARTS_PER_CONNECTION,
            "more parts on a connection than its limit"
        );
    }

    fn attempts_omitted(&mut self, id: ConnectionId, omitted: &[AttemptId]) {
        for (_, parts) in self.writing.iter_mut().filter(|w| w.0 == id) {
            for part in parts.extract_if(.., |p| omitted.contains(&AttemptId(*p))) {
                let attempt = &mut self.attempts[part as usize];
                if attempt.0 == Progress::BeingWritten(id) {
                    attempt.0 = Progress::Queued;
                }
            }
        }
    }

    fn end_write(&mut self, id: ConnectionId, complete: bool) {
        self.writing_health_check.retain(|&p| p != id);
        let at = self.writing.iter().position(|w| w.0 == id).unwrap();
        for part in self.writing.remove(at).1 {
            let attempt = &mut self.attempts[part as usize];
            // An attempt that was not completely written may be written again.
            if attempt.0 == Progress::BeingWritten(id) {
                attempt.0 = if complete { Progress::Written(id) } else { Progress::Queued };
            }
        }
    }

    fn check(&mut self, output: Output) {
        match output {
            Output::Connect(id) => {
                assert!(
                    self.now >= self.no_socket_until,
                    "a connection was opened during the delay after a lack of sockets"
                );
                self.connecting.push(id);
                self.at_current_address.push(id);
            }
            Output::Close(id) => {
                self.connected.retain(|&u| u != id);
                self.closing.push(id);
            }
            Output::HealthChecked(_) => {
                self.open_health_checks -= 1;
                assert!(self.open_health_checks >= 0, "a health check ended twice");
            }
            Output::Write { connection: id, frame } => {
                let bytes = frame.encode_at(self.now, true).bytes.unwrap();
                assert!(self.connected.contains(&id) && self.writing.iter().all(|w| w.0 != id));
                let is_new = bytes[4] != b'K';
                assert!(
                    !is_new || self.accepts_new_attempts && self.at_current_address.contains(&id),
                    "new work was written on {id:?}"
                );
                self.writing_health_check.extend((bytes[4] == b'I').then_some(id));
                let text = String::from_utf8_lossy(&bytes[5..]).into_owned();
                let names = text.split("q.").skip(1).filter_map(|t| t.split(' ').next()?.parse().ok());
                let parts: Vec<u64> = if bytes[4] == b'D' { names.collect() } else { Vec::new() };
                for &part in &parts {
                    let attempt = &mut self.attempts[part as usize];
                    assert!(
                        attempt.0 == Progress::Queued && attempt.1 > self.now && self.accepts_new_attempts,
                        "an attempt was written though it was not queued, was past its deadline or was not accepted"
                    );
                    attempt.0 = Progress::BeingWritten(id);
                }
                self.writing.push((id, parts));
            }
            Output::AttemptEnded { attempt: id, outcome, .. } => {
                let at = std::mem::replace(&mut self.attempts[id.0 as usize].0, Progress::Ended);
                let fits = match outcome {
                    Outcome::NotSent => at == Progress::Queued,
                    Outcome::ConnectFailed => matches!(at, Progress::Queued | Progress::BeingWritten(_)),
                    Outcome::ConnectionReset | Outcome::MalformedResponse => {
                        matches!(at, Progress::Written(_))
                    }
                    Outcome::Success => matches!(at, Progress::Written(_) | Progress::BeingWritten(_)),
                    _ => false,
                };
                assert!(fits, "{id:?} ended as {outcome:?} while its progress was {at:?}");
            }
        }
    }

    fn random(&mut self, pool: &mut ConnectionPool, kind: u8, pick: usize) {
        let one = |all: &[ConnectionId]| all.get(pick % all.len().max(1)).copied();
        let open: Vec<u64> =
            (0..).zip(&self.attempts).filter(|(_, a)| a.0 != Progress::Ended).map(|(n, _)| n).collect();
        match kind {
            0..=2 => {
                let first = self.attempts.len() as u64;
                let until = self.now + DEADLINE;
                let call: Vec<Dispatch> = (0..1 + pick as u64 % 2).map(|n| part(first + n, until)).collect();
                self.attempts.extend(call.iter().map(|_| (Progress::Queued, until)));
                self.step(pool, Input::SendCall(call));
            }
            3 if !open.is_empty() => {
                self.step(pool, Input::CancelAttempt(AttemptId(open[pick % open.len()])));
            }
            4 => self.step(pool, Input::AcceptsNewAttempts(!pick.is_multiple_of(4))),
            5 => self.step(pool, Input::CloseIdleConnections),
            6 => self.step(pool, Input::CheckHealth),
            7 | 8 => {
                let result = if pick.is_multiple_of(4) { Input::ConnectFailed } else { Input::Connected };
                self.finish_connect(pool, one(&self.connecting), result);
            }
            21 => self.step(pool, Input::AddressChanged),
            20 => self.finish_connect(pool, one(&self.connecting), Input::NoSocketAvailable),
            9 | 10 => self.finish_write(pool, pick),
            11 | 12 => {
                let answerable = |n: &&u64| {
                    matches!(self.attempts[**n as usize].0, Progress::Written(_) | Progress::BeingWritten(_))
                };
                let candidates: Vec<u64> = open.iter().filter(answerable).copied().collect();
                if let Some(&id) = candidates.get(pick % candidates.len().max(1)) {
                    if let Progress::Written(connection) | Progress::BeingWritten(connection) =
                        self.attempts[id as usize].0
                    {
                        self.step(pool, Input::FrameReceived { connection, frame: answer(id) });
                    }
                }
            }
            17 => {
                if let Some(id) = one(&self.connected) {
                    self.step(pool, Input::MalformedInput(id));
                    assert!(!self.connected.contains(&id), "a malformed connection stays open");
                }
            }
            18 => {
                // An answer to an unknown attempt, or to one that has already ended.
                let candidates: Vec<u64> = (0..self.attempts.len() as u64 + 1).collect();
                if let (Some(id), Some(&part)) =
                    (one(&self.connected), candidates.get(pick % candidates.len()))
                {
                    if self.attempts.get(part as usize).is_none_or(|a| a.0 == Progress::Ended) {
                        self.step(pool, Input::FrameReceived { connection: id, frame: answer(part) });
                    }
                }
            }
            19 => {
                if let Some(id) = one(&self.connected) {
                    self.step(pool, Input::PartialFrameReceived(id));
                }
            }
            13 => {
                if let Some(id) = one(&self.connected) {
                    self.connected.retain(|&u| u != id);
                    self.step(pool, Input::ReadEnded(id));
                    self.closing.retain(|&s| s != id);
                }
            }
            14 => {
                if let Some(id) = one(&self.closing) {
                    self.closing.retain(|&s| s != id);
                    self.step(pool, Input::ReadEnded(id));
                }
            }
            _ => {
                self.now += pick as Nanos % 200;
                self.step(pool, Input::Tick);
            }
        }
    }

    fn finish_connect(
        &mut self,
        pool: &mut ConnectionPool,
        id: Option<ConnectionId>,
        result: fn(ConnectionId) -> Input,
    ) {
        let Some(id) = id else { return };
        self.connecting.retain(|&d| d != id);
        if result(id) == Input::Connected(id) {
            self.connected.push(id);
        }
        self.step(pool, result(id));
    }

    fn finish_write(&mut self, pool: &mut ConnectionPool, pick: usize) {
        let Some((id, parts)) = self.writing.get(pick % self.writing.len().max(1)) else { return };
        let (id, omitted) = (*id, parts.iter().take(1).map(|p| AttemptId(*p)).collect());
        if pick.is_multiple_of(5) {
            self.step(pool, Input::AttemptsOmitted { connection: id, attempts: omitted });
        }
        if pick.is_multiple_of(3) && self.writing_health_check.contains(&id) {
            self.step(pool, Input::HealthCheckOmitted(id));
        }
        let complete = self.connected.contains(&id) && !pick.is_multiple_of(8);
        let failed = Input::WriteFailed { connection: id, partially_written: pick.is_multiple_of(16) };
        self.step(pool, if complete { Input::FrameWritten(id) } else { failed });
    }

    /// Fails every pending operation and connection, so that all remaining attempts end.
    fn break_everything(&mut self, pool: &mut ConnectionPool) {
        for _ in 0..1000 {
            if let Some(&id) = self.connecting.first() {
                self.finish_connect(pool, Some(id), Input::ConnectFailed);
            } else if let Some(&(id, _)) = self.writing.first() {
                self.step(pool, Input::WriteFailed { connection: id, partially_written: false });
            } else if let Some(&id) = self.closing.first() {
                self.closing.remove(0);
                self.step(pool, Input::ReadEnded(id));
            } else if let Some(&id) = self.connected.first() {
                self.connected.remove(0);
                self.step(pool, Input::ReadEnded(id));
                self.closing.retain(|&s| s != id);
            } else {
                break;
            }
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// For any sequence of inputs: each attempt ends exactly once, with an outcome that matches the progress of its
    /// frame; no new work is written to a data node that accepts none or over a connection to a previous address; no
    /// connection remains; and no connection is opened during the delay after a lack of sockets.
    #[test]
    fn every_attempt_ends_once_and_according_to_its_progress(
        steps in proptest::collection::vec((0..22u8, any::<usize>()), 0..200),
    ) {
        let (mut pool, mut model) = (new_pool(), Model::default());
        model.step(&mut pool, Input::AcceptsNewAttempts(true));
        for (kind, pick) in steps {
            model.random(&mut pool, kind, pick);
        }
        model.break_everything(&mut pool);
        prop_assert!(model.attempts.iter().all(|a| a.0 == Progress::Ended), "{:?}", model.attempts);
        prop_assert_eq!((model.open_health_checks, pool.connection_count()), (0, 0));
    }
}

/// A data node closes connections after its own idle timeout; a call written to such a connection would be lost.
#[test]
fn a_connection_near_its_idle_timeout_is_not_used() {
    let mut pool = new_pool();
    pool.step(0, Input::AcceptsNewAttempts(true));
    pool.step(0, Input::SendCall(vec![part(0, DEADLINE)]));
    pool.step(0, Input::Connected(ConnectionId(0)));
    pool.step(0, Input::FrameWritten(ConnectionId(0)));
    pool.step(1, Input::FrameReceived { connection: ConnectionId(0), frame: answer(0) });
    let early = pool.step(IDLE_TIMEOUT, Input::SendCall(vec![part(1, 2 * IDLE_TIMEOUT)]));
    assert!(matches!(early[..], [Output::Write { connection: ConnectionId(0), .. }]), "{early:?}");
    pool.step(IDLE_TIMEOUT, Input::FrameWritten(ConnectionId(0)));
    pool.step(IDLE_TIMEOUT, Input::FrameReceived { connection: ConnectionId(0), frame: answer(1) });
    let late = pool.step(2 * IDLE_TIMEOUT, Input::SendCall(vec![part(2, 3 * IDLE_TIMEOUT)]));
    assert_eq!(late, [Output::Connect(ConnectionId(1))]);
    assert_eq!(pool.step(2 * IDLE_TIMEOUT, Input::Tick), [Output::Close(ConnectionId(0))]);
}

/// A pool with one connection to which `count` parts were written, the first of them answered.
fn pool_with_written(count: u64) -> ConnectionPool {
    let mut pool = new_pool();
    pool.step(0, Input::AcceptsNewAttempts(true));
    pool.step(0, Input::SendCall(vec![part(0, DEADLINE)]));
    pool.step(0, Input::Connected(ConnectionId(0)));
    pool.step(0, Input::FrameWritten(ConnectionId(0)));
    for id in 1..count {
        pool.step(0, Input::SendCall(vec![part(id, DEADLINE)]));
        pool.step(0, Input::FrameWritten(ConnectionId(0)));
    }
    let ended = pool.step(1, Input::FrameReceived { connection: ConnectionId(0), frame: answer(0) });
    assert!(
        matches!(ended[..], [Output::AttemptEnded { attempt: AttemptId(0), outcome: Outcome::Success, .. }]),
        "{ended:?}"
    );
    pool
}

/// Answers on a connection with an unknown answer cannot be relied on: attempts in flight on it end immediately, queued
/// ones move to another connection, and nothing more is written to it.
#[test]
fn an_unknown_answer_closes_its_connection_only() {
    let mut pool = pool_with_written(2);
    pool.step(1, Input::SendCall(vec![part(2, DEADLINE)]));
    pool.step(1, Input::SendCall(vec![part(3, DEADLINE)]));
    let outputs = pool.step(2, Input::FrameReceived { connection: ConnectionId(0), frame: answer(99) });
    let expected = [
        Output::Close(ConnectionId(0)),
        Output::AttemptEnded { attempt: AttemptId(1), outcome: Outcome::MalformedResponse, value: None },
        Output::Connect(ConnectionId(1)),
    ];
    assert_eq!(outputs, expected);
    assert_eq!(
        pool.step(3, Input::WriteFailed { connection: ConnectionId(0), partially_written: false }),
        []
    );
    let moved = pool.step(4, Input::Connected(ConnectionId(1)));
    assert!(matches!(moved[..], [Output::Write { connection: ConnectionId(1), .. }]), "{moved:?}");
    assert_eq!(pool.connections[&ConnectionId(1)].part_count(), 2);
}

/// An idle connection may have been reset without notice, which does not mean that the data node is unreachable. A call
/// that could not be written moves once, so that it does not try connections forever.
#[test]
fn a_call_that_was_not_written_goes_over_one_more_connection() {
    let mut pool = pool_with_written(1);
    pool.step(2, Input::SendCall(vec![part(1, DEADLINE)]));
    let moved = [Output::Close(ConnectionId(0)), Output::Connect(ConnectionId(1))];
    assert_eq!(
        pool.step(2, Input::WriteFailed { connection: ConnectionId(0), partially_written: false }),
        moved
    );
    pool.step(3, Input::Connected(ConnectionId(1)));
    let ended = [
        Output::Close(ConnectionId(1)),
        Output::AttemptEnded { attempt: AttemptId(1), outcome: Outcome::ConnectFailed, value: None },
    ];
    assert_eq!(
        pool.step(3, Input::WriteFailed { connection: ConnectionId(1), partially_written: false }),
        ended
    );
}

/// A part may not be repeated once the data node may have read its first byte: it moves to no other connection and ends
/// as one that may have run. Attempts omitted from the frame never ran.
#[test]
fn a_partially_written_call_is_not_sent_again() {
    let mut pool = pool_with_written(1);
    pool.step(2, Input::SendCall(vec![part(1, DEADLINE), part(2, DEADLINE)]));
    let left =
        pool.step(2, Input::AttemptsOmitted { connection: ConnectionId(0), attempts: vec![AttemptId(2)] });
    assert_eq!(
        left,
        [Output::AttemptEnded { attempt: AttemptId(2), outcome: Outcome::NotSent, value: None }]
    );
    let ended = [
        Output::AttemptEnded { attempt: AttemptId(1), outcome: Outcome::ConnectionReset, value: None },
        Output::Close(ConnectionId(0)),
    ];
    assert_eq!(
        pool.step(2, Input::WriteFailed { connection: ConnectionId(0), partially_written: true }),
        ended
    );
}

/// The answer to a cancelled attempt may arrive after the cancellation; it is not an answer to an unknown part.
#[test]
fn a_late_answer_to_a_cancelled_attempt_is_dropped_and_its_connection_stays_open() {
    let mut pool = pool_with_written(3);
    pool.step(1, Input::CancelAttempt(AttemptId(1)));
    pool.step(1, Input::FrameWritten(ConnectionId(0)));
    assert_eq!(pool.step(2, Input::PartialFrameReceived(ConnectionId(0))), []);
    assert_eq!(pool.step(2, Input::FrameReceived { connection: ConnectionId(0), frame: answer(1) }), []);
    let ended = pool.step(3, Input::FrameReceived { connection: ConnectionId(0), frame: answer(2) });
    assert!(
        matches!(ended[..], [Output::AttemptEnded { attempt: AttemptId(2), outcome: Outcome::Success, .. }]),
        "{ended:?}"
    );
}

/// A connection may fail without a close. New parts then use another connection, and once a part on that one is
/// answered, the attempts in flight on the silent one end immediately.
#[test]
fn a_silent_connection_gets_no_new_parts() {
    let mut pool = pool_with_written(2);
    pool.step(1, Input::SendCall(vec![part(2, DEADLINE)]));
    pool.step(1, Input::FrameWritten(ConnectionId(0)));
    let opened = pool.step(1 + SILENCE_TIMEOUT, Input::SendCall(vec![part(3, DEADLINE)]));
    assert_eq!(opened, [Output::Connect(ConnectionId(1))]);
    pool.step(150, Input::Connected(ConnectionId(1)));
    pool.step(150, Input::FrameWritten(ConnectionId(1)));
    let ended = pool.step(160, Input::FrameReceived { connection: ConnectionId(1), frame: answer(3) });
    let lost = |id| Output::AttemptEnded {
        attempt: AttemptId(id),
        outcome: Outcome::MalformedResponse,
        value: None,
    };
    assert_eq!(ended[1..], [Output::Close(ConnectionId(0)), lost(1), lost(2)], "{ended:?}");
}

/// A data node that accepts a new connection late would read the part before its cancellation, and work for a query
/// that already has its answer.
#[test]
fn a_new_connection_is_closed_when_its_only_attempt_is_cancelled() {
    let mut pool = new_pool();
    pool.step(0, Input::AcceptsNewAttempts(true));
    pool.step(0, Input::SendCall(vec![part(0, DEADLINE)]));
    pool.step(0, Input::SendCall(vec![part(1, DEADLINE)]));
    pool.step(1, Input::Connected(ConnectionId(0)));
    pool.step(1, Input::FrameWritten(ConnectionId(0)));
    // The other part's frame is being written; the write has not been reported yet.
    let outputs = pool.step(2, Input::CancelAttempt(AttemptId(0)));
    assert_eq!(outputs, [], "another part is in flight");
    assert!(pool.step(3, Input::CancelAttempt(AttemptId(1))).contains(&Output::Close(ConnectionId(0))));
}

/// A process without free sockets must not count that against the data node: a hundred coordinators that did ejected
/// healthy data nodes. Queued parts use an existing connection, or end as not sent.
#[test]
fn a_lack_of_sockets_does_not_count_against_the_data_node() {
    let mut pool = pool_with_written(2);
    assert_eq!(
        pool.step(1 + SILENCE_TIMEOUT, Input::SendCall(vec![part(2, DEADLINE)])),
        [Output::Connect(ConnectionId(1))]
    );
    let sent = pool.step(1 + SILENCE_TIMEOUT, Input::NoSocketAvailable(ConnectionId(1)));
    assert!(matches!(sent[..], [Output::Write { connection: ConnectionId(0), .. }]), "{sent:?}");
    let mut pool = new_pool();
    pool.step(0, Input::AcceptsNewAttempts(true));
    pool.step(0, Input::SendCall(vec![part(0, DEADLINE)]));
    let ended = pool.step(0, Input::NoSocketAvailable(ConnectionId(0)));
    assert_eq!(
        ended,
        [Output::AttemptEnded { attempt: AttemptId(0), outcome: Outcome::NotSent, value: None }]
    );
    assert_eq!(pool.connection_count(), 0);
}

/// Without the delay after a lack of sockets, every part tries to open a connection: one coordinator did, hundreds of
/// times. During the delay parts end as if they had tried, and after it a connection is tried again.
#[test]
fn no_connection_is_tried_during_the_delay_after_a_lack_of_sockets() {
    let mut pool = new_pool();
    pool.step(0, Input::AcceptsNewAttempts(true));
    assert_eq!(pool.step(0, Input::SendCall(vec![part(0, DEADLINE)])), [Output::Connect(ConnectionId(0))]);
    pool.step(0, Input::NoSocketAvailable(ConnectionId(0)));
    for id in 1..100 {
        let ended = pool.step(NO_SOCKET_BACKOFF - 1, Input::SendCall(vec![part(id, DEADLINE)]));
        assert_eq!(
            ended,
            [Output::AttemptEnded { attempt: AttemptId(id), outcome: Outcome::NotSent, value: None }]
        );
    }
    assert_eq!(
        pool.step(NO_SOCKET_BACKOFF - 1, Input::CheckHealth),
        [Output::HealthChecked(Outcome::ConnectFailed)]
    );
    assert_eq!(pool.connection_count(), 0);
    let tried = pool.step(NO_SOCKET_BACKOFF, Input::SendCall(vec![part(100, DEADLINE)]));
    assert_eq!(tried, [Output::Connect(ConnectionId(1))]);
}

/// During the delay after a lack of sockets, parts use an open connection while it has capacity, even a silent one, and
/// do not end unsent.
#[test]
fn parts_use_open_connections_during_a_lack_of_sockets() {
    let (mut pool, now) = (pool_with_written(2), 1 + SILENCE_TIMEOUT);
    pool.step(now, Input::SendCall(vec![part(2, DEADLINE)]));
    pool.step(now, Input::NoSocketAvailable(ConnectionId(1)));
    pool.step(now, Input::FrameWritten(ConnectionId(0)));
    let sent = pool.step(now, Input::SendCall(vec![part(3, DEADLINE)]));
    assert!(matches!(sent[..], [Output::Write { connection: ConnectionId(0), .. }]), "{sent:?}");
    let full = pool.step(now, Input::SendCall(vec![part(4, DEADLINE)]));
    assert_eq!(
        full,
        [Output::AttemptEnded { attempt: AttemptId(4), outcome: Outcome::NotSent, value: None }]
    );
}

/// A silent connection would look idle and be chosen again once all its attempts in flight are cancelled.
#[test]
fn a_connection_whose_attempts_were_cancelled_in_silence_is_closed() {
    let mut pool = pool_with_written(2);
    pool.step(1 + SILENCE_TIMEOUT, Input::SendCall(vec![part(2, DEADLINE)]));
    let outputs = pool.step(1 + SILENCE_TIMEOUT, Input::CancelAttempt(AttemptId(1)));
    assert!(outputs.contains(&Output::Close(ConnectionId(0))), "{outputs:?}");
    // A cancellation before the silence timeout leaves the connection open.
    let mut pool = pool_with_written(2);
    let outputs = pool.step(SILENCE_TIMEOUT / 2, Input::CancelAttempt(AttemptId(1)));
    assert!(matches!(outputs[..], [Output::Write { connection: ConnectionId(0), .. }]), "{outputs:?}");
}

/// Input that answers no attempt or health check shows that the connection's answers cannot be relied on.
#[test]
fn unexpected_input_closes_an_idle_connection() {
    for unexpected in [
        Input::PartialFrameReceived(ConnectionId(0)),
        Input::FrameReceived { connection: ConnectionId(0), frame: answer(0) },
        Input::FrameReceived {
            connection: ConnectionId(0),
            frame: InboundFrame::HealthCheckAnswer(Outcome::Success),
        },
    ] {
        assert_eq!(pool_with_written(1).step(2, unexpected), [Output::Close(ConnectionId(0))]);
    }
    // A duplicate answer fails no other part.
    assert_eq!(
        pool_with_written(2).step(2, Input::FrameReceived { connection: ConnectionId(0), frame: answer(0) }),
        []
    );
}

/// Calls and health checks that wait for a connection or a write when a drain begins end immediately, since the wait
/// may take long. Nothing is sent when the wait ends.
#[test]
fn queued_work_ends_at_once_when_nothing_new_is_accepted() {
    let not_sent =
        |id| Output::AttemptEnded { attempt: AttemptId(id), outcome: Outcome::NotSent, value: None };
    let mut pool = new_pool();
    pool.step(0, Input::AcceptsNewAttempts(true));
    pool.step(0, Input::SendCall(vec![part(0, DEADLINE)]));
    pool.step(0, Input::CheckHealth);
    let ended = pool.step(0, Input::AcceptsNewAttempts(false));
    assert_eq!(ended, [not_sent(0), Output::HealthChecked(Outcome::NotSent)]);
    assert_eq!(pool.step(0, Input::Connected(ConnectionId(0))), []);
    assert_eq!(pool.step(0, Input::CheckHealth), [Output::HealthChecked(Outcome::NotSent)]);
    // An attempt that is being written does not end here: its first byte may already be written.
    let mut pool = pool_with_written(1);
    pool.step(2, Input::SendCall(vec![part(1, DEADLINE)]));
    pool.step(2, Input::SendCall(vec![part(2, DEADLINE)]));
    assert_eq!(pool.step(2, Input::AcceptsNewAttempts(false)), [not_sent(2)]);
    assert_eq!(
        pool.step(2, Input::AttemptsOmitted { connection: ConnectionId(0), attempts: vec![AttemptId(1)] }),
        [not_sent(1)]
    );
    // A call of which no byte was written moves to no other connection when its connection fails.
    let mut pool = pool_with_written(1);
    pool.step(2, Input::SendCall(vec![part(1, DEADLINE)]));
    pool.step(2, Input::AcceptsNewAttempts(false));
    assert_eq!(
        pool.step(2, Input::WriteFailed { connection: ConnectionId(0), partially_written: false }),
        [Output::Close(ConnectionId(0)), not_sent(1)]
    );
}

/// A health check may be omitted because its write starts after the data node stopped accepting new work. It ends
/// exactly once, also if it times out first.
#[test]
fn an_omitted_health_check_ends_once() {
    let mut pool = pool_with_written(1);
    pool.step(2, Input::CheckHealth);
    assert_eq!(
        pool.step(2, Input::HealthCheckOmitted(ConnectionId(0))),
        [Output::HealthChecked(Outcome::NotSent)]
    );
    assert_eq!(pool.step(2, Input::FrameWritten(ConnectionId(0))), []);
    assert_eq!(pool.step(2 + HEALTH_CHECK_TIMEOUT, Input::Tick), []);
    let mut pool = pool_with_written(1);
    pool.step(2, Input::CheckHealth);
    assert_eq!(pool.step(2 + HEALTH_CHECK_TIMEOUT, Input::Tick), [Output::HealthChecked(Outcome::TimedOut)]);
    assert_eq!(pool.step(2 + HEALTH_CHECK_TIMEOUT, Input::HealthCheckOmitted(ConnectionId(0))), []);
}

/// After a data node's address changes, attempts in flight at the previous address may end there. All other work uses a
/// new connection, and the previous one is closed once it is idle.
#[test]
fn new_work_never_uses_a_connection_to_a_previous_address() {
    let mut pool = pool_with_written(3);
    pool.step(2, Input::SendCall(vec![part(3, DEADLINE)]));
    assert_eq!(pool.step(2, Input::AddressChanged), []);
    let opened = pool.step(2, Input::SendCall(vec![part(4, DEADLINE)]));
    assert_eq!(opened, [Output::Connect(ConnectionId(1))]);
    // The address changed before the call's first byte was written.
    assert_eq!(
        pool.step(2, Input::AttemptsOmitted { connection: ConnectionId(0), attempts: vec![AttemptId(3)] }),
        []
    );
    assert_eq!(pool.step(2, Input::FrameWritten(ConnectionId(0))), []);
    let sent = pool.step(3, Input::Connected(ConnectionId(1)));
    assert!(matches!(sent[..], [Output::Write { connection: ConnectionId(1), .. }]), "{sent:?}");
    pool.step(3, Input::FrameWritten(ConnectionId(1)));
    assert_eq!(pool.connections[&ConnectionId(1)].part_count(), 2);
    pool.step(4, Input::FrameReceived { connection: ConnectionId(0), frame: answer(1) });
    let last = pool.step(4, Input::FrameReceived { connection: ConnectionId(0), frame: answer(2) });
    assert!(matches!(
        last[..],
        [
            Output::AttemptEnded { attempt: AttemptId(2), outcome: Outcome::Success, .. },
            Output::Close(ConnectionId(0))
        ]
    ));
}

/// Work queued for a connection that is still being opened when the address changes moves to the new address, and that
/// connection is closed once established. Without a socket for a new one, work does not use the previous connection.
#[test]
fn a_connection_being_opened_to_a_previous_address_is_not_used() {
    let mut pool = new_pool();
    pool.step(0, Input::AcceptsNewAttempts(true));
    pool.step(0, Input::SendCall(vec![part(0, DEADLINE)]));
    pool.step(0, Input::CheckHealth);
    assert_eq!(pool.step(1, Input::AddressChanged), [Output::Connect(ConnectionId(1))]);
    assert_eq!(pool.step(2, Input::Connected(ConnectionId(0))), [Output::Close(ConnectionId(0))]);
    let sent = pool.step(2, Input::Connected(ConnectionId(1)));
    assert!(matches!(sent[..], [Output::Write { connection: ConnectionId(1), .. }]), "{sent:?}");
    let mut pool = pool_with_written(2);
    pool.step(2, Input::AddressChanged);
    pool.step(2, Input::SendCall(vec![part(2, DEADLINE)]));
    let ended = pool.step(2, Input::NoSocketAvailable(ConnectionId(1)));
    assert_eq!(
        ended,
        [Output::AttemptEnded { attempt: AttemptId(2), outcome: Outcome::NotSent, value: None }]
    );
}

/// An answer from the new address does not show that attempts in flight at the previous address are lost.
#[test]
fn an_answer_from_the_new_address_ends_no_attempt_at_the_previous_one() {
    let mut pool = pool_with_written(2);
    pool.step(2, Input::AddressChanged);
    let now = 2 + SILENCE_TIMEOUT;
    pool.step(now, Input::SendCall(vec![part(2, now + DEADLINE)]));
    pool.step(now, Input::Connected(ConnectionId(1)));
    pool.step(now, Input::FrameWritten(ConnectionId(1)));
    let ended = pool.step(now, Input::FrameReceived { connection: ConnectionId(1), frame: answer(2) });
    assert!(
        matches!(ended[..], [Output::AttemptEnded { attempt: AttemptId(2), outcome: Outcome::Success, .. }]),
        "{ended:?}"
    );
}
