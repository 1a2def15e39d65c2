use super::*;
use std::sync::Arc;

use crate::api::ShardId;
use crate::engine::{CancellationToken, PartRequest};
use proptest::prelude::*;

const MULTIPLEX: usize = 3;
const IDLE: Nanos = 1000;
const PROBE: Nanos = 50;
const WAIT: Nanos = 400;
const SILENCE: Nanos = 100;
const NO_SOCKET_PAUSE: Nanos = 20;

fn links() -> ConnectionPool {
    ConnectionPool::new(PoolLimits {
        multiplex: MULTIPLEX,
        idle: IDLE,
        probe: PROBE,
        backlog: 64,
        past: 8,
        silence: SILENCE,
        no_socket_pause: NO_SOCKET_PAUSE,
    })
}

fn part(id: u64, until: Nanos) -> Dispatch {
    let text =
        PartRequest { name: format!("q.{id}"), shard: ShardId(0), text: "t".into(), first_phase: None };
    Dispatch {
        attempt: AttemptId(id),
        part: Arc::new(text),
        deadline: until,
        start_deadline: Nanos::MAX,
        cancellation: CancellationToken::new(),
    }
}

fn answer(id: u64) -> Reply {
    let value = Some(Value { score: 1, data: "v".into() });
    Reply::Answer { name: format!("q.{id}"), outcome: Outcome::Success, value }
}

/// How far the model holds an attempt to be.
#[derive(Debug, Clone, Copy, PartialEq)]
enum At {
    Waiting,
    Handed(ConnectionId),
    Written(ConnectionId),
    Over,
}

/// What the model knows: attempts, and what the network owes the machine.
#[derive(Default)]
struct Model {
    attempts: Vec<(At, Nanos)>,
    dialing: Vec<ConnectionId>,
    up: Vec<ConnectionId>,
    shut: Vec<ConnectionId>,
    writing: Vec<(ConnectionId, Vec<u64>)>,
    /// Connections to the present address, and those of `writing` that have a probe.
    current: Vec<ConnectionId>,
    probing: Vec<ConnectionId>,
    takes_new: bool,
    now: Nanos,
    no_socket_until: Nanos,
    probes: i64,
}

impl Model {
    fn step(&mut self, links: &mut ConnectionPool, input: Input) {
        match &input {
            Input::Probe => self.probes += 1,
            Input::TakesNew(yes) => self.takes_new = *yes,
            Input::AddressChanged => self.current.clear(),
            Input::Drop(id) => self.attempts[id.0 as usize].0 = At::Over,
            Input::Written(id) => self.end_write(*id, true),
            // What was begun may have run, as if it were written.
            Input::WriteFailed(id, begun) => self.end_write(*id, *begun),
            Input::LeftOut(id, left) => self.left_out(*id, left),
            Input::NoSocket(_) => self.no_socket_until = self.now + NO_SOCKET_PAUSE,
            _ => {}
        }
        let shut = input == Input::TakesNew(false);
        for output in links.step(self.now, input) {
            self.check(output);
        }
        let waits = self.attempts.iter().any(|a| a.0 == At::Waiting);
        assert!(!shut || !waits, "it waits on where nothing new is taken");
        let outdated = |l: &Link| l.state == State::Up && l.address != links.address && l.at_rest();
        assert!(!links.links.values().any(outdated), "a connection to an earlier address is kept at rest");
        let most = self.up.iter().map(|u| self.attempts.iter().filter(|a| a.0 == At::Written(*u)).count());
        assert!(most.max().unwrap_or(0) <= MULTIPLEX, "more parts than a connection carries");
    }

    fn left_out(&mut self, id: ConnectionId, left: &[AttemptId]) {
        for (_, parts) in self.writing.iter_mut().filter(|w| w.0 == id) {
            for part in parts.extract_if(.., |p| left.contains(&AttemptId(*p))) {
                let attempt = &mut self.attempts[part as usize];
                if attempt.0 == At::Handed(id) {
                    attempt.0 = At::Waiting;
                }
            }
        }
    }

    fn end_write(&mut self, id: ConnectionId, whole: bool) {
        self.probing.retain(|&p| p != id);
        let at = self.writing.iter().position(|w| w.0 == id).unwrap();
        for part in self.writing.remove(at).1 {
            let attempt = &mut self.attempts[part as usize];
            // What was not written whole may be handed over once more.
            if attempt.0 == At::Handed(id) {
                attempt.0 = if whole { At::Written(id) } else { At::Waiting };
            }
        }
    }

    fn check(&mut self, output: Output) {
        match output {
            Output::Dial(id) => {
                assert!(self.now >= self.no_socket_until, "tried again where no socket was left");
                self.dialing.push(id);
                self.current.push(id);
            }
            Output::Shut(id) => {
                self.up.retain(|&u| u != id);
                self.shut.push(id);
            }
            Output::Probed(_) => {
                self.probes -= 1;
                assert!(self.probes >= 0, "a probe ended twice");
            }
            Output::Write(id, frame) => {
                let bytes = frame.current(self.now, true).bytes.unwrap();
                assert!(self.up.contains(&id) && self.writing.iter().all(|w| w.0 != id));
                let new = bytes[4] != b'K';
                assert!(!new || self.takes_new && self.current.contains(&id), "new on {id:?}");
                self.probing.extend((bytes[4] == b'I').then_some(id));
                let text = String::from_utf8_lossy(&bytes[5..]).into_owned();
                let names = text.split("q.").skip(1).filter_map(|t| t.split(' ').next()?.parse().ok());
                let parts: Vec<u64> = if bytes[4] == b'D' { names.collect() } else { Vec::new() };
                for &part in &parts {
                    let attempt = &mut self.attempts[part as usize];
                    assert!(
                        attempt.0 == At::Waiting && attempt.1 > self.now && self.takes_new,
                        "sent too late"
                    );
                    attempt.0 = At::Handed(id);
                }
                self.writing.push((id, parts));
            }
            Output::End(id, outcome, _) => {
                let at = std::mem::replace(&mut self.attempts[id.0 as usize].0, At::Over);
                let right = match outcome {
                    Outcome::NotSent => at == At::Waiting,
                    Outcome::ConnectFailed => matches!(at, At::Waiting | At::Handed(_)),
                    Outcome::ConnectionReset | Outcome::MalformedResponse => matches!(at, At::Written(_)),
                    Outcome::Success => matches!(at, At::Written(_) | At::Handed(_)),
                    _ => false,
                };
                assert!(right, "{id:?} ended {outcome:?} when it was {at:?}");
            }
        }
    }

    fn random(&mut self, links: &mut ConnectionPool, kind: u8, pick: usize) {
        let one = |all: &[ConnectionId]| all.get(pick % all.len().max(1)).copied();
        let open: Vec<u64> =
            (0..).zip(&self.attempts).filter(|(_, a)| a.0 != At::Over).map(|(n, _)| n).collect();
        match kind {
            0..=2 => {
                let first = self.attempts.len() as u64;
                let until = self.now + WAIT;
                let call: Vec<Dispatch> = (0..1 + pick as u64 % 2).map(|n| part(first + n, until)).collect();
                self.attempts.extend(call.iter().map(|_| (At::Waiting, until)));
                self.step(links, Input::Call(call));
            }
            3 if !open.is_empty() => {
                self.step(links, Input::Drop(AttemptId(open[pick % open.len()])));
            }
            4 => self.step(links, Input::TakesNew(!pick.is_multiple_of(4))),
            5 => self.step(links, Input::CloseIdle),
            6 => self.step(links, Input::Probe),
            7 | 8 => {
                let up = if pick.is_multiple_of(4) { Input::DialFailed } else { Input::Up };
                self.dialled(links, one(&self.dialing), up);
            }
            21 => self.step(links, Input::AddressChanged),
            20 => self.dialled(links, one(&self.dialing), Input::NoSocket),
            9 | 10 => self.written(links, pick),
            11 | 12 => {
                let written =
                    |n: &&u64| matches!(self.attempts[**n as usize].0, At::Written(_) | At::Handed(_));
                let some: Vec<u64> = open.iter().filter(written).copied().collect();
                if let Some(&id) = some.get(pick % some.len().max(1)) {
                    if let At::Written(link) | At::Handed(link) = self.attempts[id as usize].0 {
                        self.step(links, Input::Frame(link, answer(id)));
                    }
                }
            }
            17 => {
                if let Some(id) = one(&self.up) {
                    self.step(links, Input::Spoilt(id));
                    assert!(!self.up.contains(&id), "a spoilt connection stays open");
                }
            }
            18 => {
                // An answer that nobody waits for, or that was waited for before.
                let over: Vec<u64> = (0..self.attempts.len() as u64 + 1).collect();
                if let (Some(id), Some(&part)) = (one(&self.up), over.get(pick % over.len())) {
                    if self.attempts.get(part as usize).is_none_or(|a| a.0 == At::Over) {
                        self.step(links, Input::Frame(id, answer(part)));
                    }
                }
            }
            19 => {
                if let Some(id) = one(&self.up) {
                    self.step(links, Input::Begun(id));
                }
            }
            13 => {
                if let Some(id) = one(&self.up) {
                    self.up.retain(|&u| u != id);
                    self.step(links, Input::ReadEnded(id));
                    self.shut.retain(|&s| s != id);
                }
            }
            14 => {
                if let Some(id) = one(&self.shut) {
                    self.shut.retain(|&s| s != id);
                    self.step(links, Input::ReadEnded(id));
                }
            }
            _ => {
                self.now += pick as Nanos % 200;
                self.step(links, Input::Tick);
            }
        }
    }

    fn dialled(
        &mut self,
        links: &mut ConnectionPool,
        id: Option<ConnectionId>,
        how: fn(ConnectionId) -> Input,
    ) {
        let Some(id) = id else { return };
        self.dialing.retain(|&d| d != id);
        if how(id) == Input::Up(id) {
            self.up.push(id);
        }
        self.step(links, how(id));
    }

    fn written(&mut self, links: &mut ConnectionPool, pick: usize) {
        let Some((id, parts)) = self.writing.get(pick % self.writing.len().max(1)) else { return };
        let (id, left) = (*id, parts.iter().take(1).map(|p| AttemptId(*p)).collect());
        if pick.is_multiple_of(5) {
            self.step(links, Input::LeftOut(id, left));
        }
        if pick.is_multiple_of(3) && self.probing.contains(&id) {
            self.step(links, Input::ProbeLeftOut(id));
        }
        let whole = self.up.contains(&id) && !pick.is_multiple_of(8);
        let failed = Input::WriteFailed(id, pick.is_multiple_of(16));
        self.step(links, if whole { Input::Written(id) } else { failed });
    }

    /// Everything breaks: what is open must end now.
    fn end(&mut self, links: &mut ConnectionPool) {
        for _ in 0..1000 {
            if let Some(&id) = self.dialing.first() {
                self.dialled(links, Some(id), Input::DialFailed);
            } else if let Some(&(id, _)) = self.writing.first() {
                self.step(links, Input::WriteFailed(id, false));
            } else if let Some(&id) = self.shut.first() {
                self.shut.remove(0);
                self.step(links, Input::ReadEnded(id));
            } else if let Some(&id) = self.up.first() {
                self.up.remove(0);
                self.step(links, Input::ReadEnded(id));
                self.shut.retain(|&s| s != id);
            } else {
                break;
            }
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// Whatever happens in whatever order: each attempt ends exactly once and as its frame's progress
    /// says, nothing is handed to a data node that takes nothing new, or on a connection to an earlier address, no
    /// connection is left over, and none is tried in the moment after there was no socket for one.
    #[test]
    fn every_attempt_ends_once_and_as_it_went(
        steps in proptest::collection::vec((0..22u8, any::<usize>()), 0..200),
    ) {
        let (mut links, mut model) = (links(), Model::default());
        model.step(&mut links, Input::TakesNew(true));
        for (kind, pick) in steps {
            model.random(&mut links, kind, pick);
        }
        model.end(&mut links);
        prop_assert!(model.attempts.iter().all(|a| a.0 == At::Over), "{:?}", model.attempts);
        prop_assert_eq!((model.probes, links.count()), (0, 0));
    }
}

/// Guards against writing to a connection that its data node is about to close as idle.
#[test]
fn a_connection_near_its_idle_limit_is_not_used() {
    let mut links = links();
    links.step(0, Input::TakesNew(true));
    links.step(0, Input::Call(vec![part(0, WAIT)]));
    links.step(0, Input::Up(ConnectionId(0)));
    links.step(0, Input::Written(ConnectionId(0)));
    links.step(1, Input::Frame(ConnectionId(0), answer(0)));
    let early = links.step(IDLE, Input::Call(vec![part(1, 2 * IDLE)]));
    assert!(matches!(early[..], [Output::Write(ConnectionId(0), _)]), "{early:?}");
    links.step(IDLE, Input::Written(ConnectionId(0)));
    links.step(IDLE, Input::Frame(ConnectionId(0), answer(1)));
    let late = links.step(2 * IDLE, Input::Call(vec![part(2, 3 * IDLE)]));
    assert_eq!(late, [Output::Dial(ConnectionId(1))]);
    assert_eq!(links.step(2 * IDLE, Input::Tick), [Output::Shut(ConnectionId(0))]);
}

/// A connection with these parts written, the first answered.
fn used(written: u64) -> ConnectionPool {
    let mut links = links();
    links.step(0, Input::TakesNew(true));
    links.step(0, Input::Call(vec![part(0, WAIT)]));
    links.step(0, Input::Up(ConnectionId(0)));
    links.step(0, Input::Written(ConnectionId(0)));
    for id in 1..written {
        links.step(0, Input::Call(vec![part(id, WAIT)]));
        links.step(0, Input::Written(ConnectionId(0)));
    }
    let ended = links.step(1, Input::Frame(ConnectionId(0), answer(0)));
    assert!(matches!(ended[..], [Output::End(AttemptId(0), Outcome::Success, _)]), "{ended:?}");
    links
}

/// Guards against waiting on a connection whose answers cannot be matched: what is out ends at once, what
/// waits goes over another, and nothing more is sent on it.
#[test]
fn an_unknown_answer_costs_its_connection_only() {
    let mut links = used(2);
    links.step(1, Input::Call(vec![part(2, WAIT)]));
    links.step(1, Input::Call(vec![part(3, WAIT)]));
    let outputs = links.step(2, Input::Frame(ConnectionId(0), answer(99)));
    let expected = [
        Output::Shut(ConnectionId(0)),
        Output::End(AttemptId(1), Outcome::MalformedResponse, None),
        Output::Dial(ConnectionId(1)),
    ];
    assert_eq!(outputs, expected);
    assert_eq!(links.step(3, Input::WriteFailed(ConnectionId(0), false)), []);
    let moved = links.step(4, Input::Up(ConnectionId(1)));
    assert!(matches!(moved[..], [Output::Write(ConnectionId(1), _)]), "{moved:?}");
    assert_eq!(links.links[&ConnectionId(1)].parts(), 2);
}

/// Guards against taking a kept connection that was reset unseen for a data node that cannot be reached,
/// and against trying connections without end.
#[test]
fn what_was_not_written_goes_over_one_more_connection() {
    let mut links = used(1);
    links.step(2, Input::Call(vec![part(1, WAIT)]));
    let moved = [Output::Shut(ConnectionId(0)), Output::Dial(ConnectionId(1))];
    assert_eq!(links.step(2, Input::WriteFailed(ConnectionId(0), false)), moved);
    links.step(3, Input::Up(ConnectionId(1)));
    let ended = [Output::Shut(ConnectionId(1)), Output::End(AttemptId(1), Outcome::ConnectFailed, None)];
    assert_eq!(links.step(3, Input::WriteFailed(ConnectionId(1), false)), ended);
}

/// Guards a part that may not be repeated: once its first byte may have been read it goes over no other connection, and
/// is told as one that may have run; what was left out of the frame never ran.
#[test]
fn what_was_begun_is_not_sent_again() {
    let mut links = used(1);
    links.step(2, Input::Call(vec![part(1, WAIT), part(2, WAIT)]));
    let left = links.step(2, Input::LeftOut(ConnectionId(0), vec![AttemptId(2)]));
    assert_eq!(left, [Output::End(AttemptId(2), Outcome::NotSent, None)]);
    let ended = [Output::End(AttemptId(1), Outcome::ConnectionReset, None), Output::Shut(ConnectionId(0))];
    assert_eq!(links.step(2, Input::WriteFailed(ConnectionId(0), true)), ended);
}

/// Guards against taking a late answer to a part that was given up for an unknown one.
#[test]
fn a_late_answer_is_dropped_and_its_connection_kept() {
    let mut links = used(3);
    links.step(1, Input::Drop(AttemptId(1)));
    links.step(1, Input::Written(ConnectionId(0)));
    assert_eq!(links.step(2, Input::Begun(ConnectionId(0))), []);
    assert_eq!(links.step(2, Input::Frame(ConnectionId(0), answer(1))), []);
    let ended = links.step(3, Input::Frame(ConnectionId(0), answer(2)));
    assert!(matches!(ended[..], [Output::End(AttemptId(2), Outcome::Success, _)]), "{ended:?}");
}

/// Guards against sending on over a connection that has died unseen: new parts go over another, and once
/// that is answered, those out on the first end at once.
#[test]
fn a_silent_connection_gets_nothing_new() {
    let mut links = used(2);
    links.step(1, Input::Call(vec![part(2, WAIT)]));
    links.step(1, Input::Written(ConnectionId(0)));
    let dialled = links.step(1 + SILENCE, Input::Call(vec![part(3, WAIT)]));
    assert_eq!(dialled, [Output::Dial(ConnectionId(1))]);
    links.step(150, Input::Up(ConnectionId(1)));
    links.step(150, Input::Written(ConnectionId(1)));
    let ended = links.step(160, Input::Frame(ConnectionId(1), answer(3)));
    let lost = |id| Output::End(AttemptId(id), Outcome::MalformedResponse, None);
    assert_eq!(ended[1..], [Output::Shut(ConnectionId(0)), lost(1), lost(2)], "{ended:?}");
}

/// Guards against work for a query that has its answer: a data node that takes a new connection up late would read
/// the part first, and that it is given up after it.
#[test]
fn a_new_connection_is_closed_when_its_only_part_is_given_up() {
    let mut links = links();
    links.step(0, Input::TakesNew(true));
    links.step(0, Input::Call(vec![part(0, WAIT)]));
    links.step(0, Input::Call(vec![part(1, WAIT)]));
    links.step(1, Input::Up(ConnectionId(0)));
    links.step(1, Input::Written(ConnectionId(0)));
    // The other's frame is handed out, and no word yet that it is written.
    let kept = links.step(2, Input::Drop(AttemptId(0)));
    assert_eq!(kept, [], "another part is out");
    assert!(links.step(3, Input::Drop(AttemptId(1))).contains(&Output::Shut(ConnectionId(0))));
}

/// Guards against holding the process's own lack of sockets against a data node: a hundred coordinators that did
/// shunned sound ones. What waits goes over the connection that is there, or was not sent.
#[test]
fn a_lack_of_sockets_is_no_fault_of_the_data_node() {
    let mut links = used(2);
    assert_eq!(links.step(1 + SILENCE, Input::Call(vec![part(2, WAIT)])), [Output::Dial(ConnectionId(1))]);
    let sent = links.step(1 + SILENCE, Input::NoSocket(ConnectionId(1)));
    assert!(matches!(sent[..], [Output::Write(ConnectionId(0), _)]), "{sent:?}");
    let mut links = self::links();
    links.step(0, Input::TakesNew(true));
    links.step(0, Input::Call(vec![part(0, WAIT)]));
    let ended = links.step(0, Input::NoSocket(ConnectionId(0)));
    assert_eq!(ended, [Output::End(AttemptId(0), Outcome::NotSent, None)]);
    assert_eq!(links.count(), 0);
}

/// Guards against a try for every part in the moment in which no socket is left: one coordinator did, hundreds of
/// times. The parts end as after a try of their own, and the next moment there is another.
#[test]
fn a_lack_of_sockets_is_found_once_in_a_moment() {
    let mut links = links();
    links.step(0, Input::TakesNew(true));
    assert_eq!(links.step(0, Input::Call(vec![part(0, WAIT)])), [Output::Dial(ConnectionId(0))]);
    links.step(0, Input::NoSocket(ConnectionId(0)));
    for id in 1..100 {
        let ended = links.step(NO_SOCKET_PAUSE - 1, Input::Call(vec![part(id, WAIT)]));
        assert_eq!(ended, [Output::End(AttemptId(id), Outcome::NotSent, None)]);
    }
    assert_eq!(links.step(NO_SOCKET_PAUSE - 1, Input::Probe), [Output::Probed(Outcome::ConnectFailed)]);
    assert_eq!(links.count(), 0);
    let tried = links.step(NO_SOCKET_PAUSE, Input::Call(vec![part(100, WAIT)]));
    assert_eq!(tried, [Output::Dial(ConnectionId(1))]);
}

/// Guards the parts of that moment where a connection is open, though silent: they go over it, as long as it has room.
#[test]
fn in_a_lack_of_sockets_open_connections_are_filled() {
    let (mut links, now) = (used(2), 1 + SILENCE);
    links.step(now, Input::Call(vec![part(2, WAIT)]));
    links.step(now, Input::NoSocket(ConnectionId(1)));
    links.step(now, Input::Written(ConnectionId(0)));
    let sent = links.step(now, Input::Call(vec![part(3, WAIT)]));
    assert!(matches!(sent[..], [Output::Write(ConnectionId(0), _)]), "{sent:?}");
    let full = links.step(now, Input::Call(vec![part(4, WAIT)]));
    assert_eq!(full, [Output::End(AttemptId(4), Outcome::NotSent, None)]);
}

/// Guards against choosing such a connection again once all that was out on it is given up.
#[test]
fn a_connection_given_up_in_silence_is_closed() {
    let mut links = used(2);
    links.step(1 + SILENCE, Input::Call(vec![part(2, WAIT)]));
    let outputs = links.step(1 + SILENCE, Input::Drop(AttemptId(1)));
    assert!(outputs.contains(&Output::Shut(ConnectionId(0))), "{outputs:?}");
    // A part given up early says nothing of its connection.
    let mut links = used(2);
    let outputs = links.step(SILENCE / 2, Input::Drop(AttemptId(1)));
    assert!(matches!(outputs[..], [Output::Write(ConnectionId(0), _)]), "{outputs:?}");
}

/// Guards against going on with a connection that brings more than belongs to its answers.
#[test]
fn what_comes_unasked_at_rest_closes_the_connection() {
    for unasked in [
        Input::Begun(ConnectionId(0)),
        Input::Frame(ConnectionId(0), answer(0)),
        Input::Frame(ConnectionId(0), Reply::Probed(Outcome::Success)),
    ] {
        assert_eq!(used(1).step(2, unasked), [Output::Shut(ConnectionId(0))]);
    }
    // A second copy costs no other part.
    assert_eq!(used(2).step(2, Input::Frame(ConnectionId(0), answer(0))), []);
}

/// Guards the drain rule for calls and probes that wait behind a dial or a write: they end at once, since neither may
/// end for long, and nothing goes out when it does.
#[test]
fn what_waits_when_nothing_new_is_taken_ends_at_once() {
    let stale = |id| Output::End(AttemptId(id), Outcome::NotSent, None);
    let mut links = links();
    links.step(0, Input::TakesNew(true));
    links.step(0, Input::Call(vec![part(0, WAIT)]));
    links.step(0, Input::Probe);
    let ended = links.step(0, Input::TakesNew(false));
    assert_eq!(ended, [stale(0), Output::Probed(Outcome::NotSent)]);
    assert_eq!(links.step(0, Input::Up(ConnectionId(0))), []);
    assert_eq!(links.step(0, Input::Probe), [Output::Probed(Outcome::NotSent)]);
    // What is being written is not ended here: its first byte may be out.
    let mut links = used(1);
    links.step(2, Input::Call(vec![part(1, WAIT)]));
    links.step(2, Input::Call(vec![part(2, WAIT)]));
    assert_eq!(links.step(2, Input::TakesNew(false)), [stale(2)]);
    assert_eq!(links.step(2, Input::LeftOut(ConnectionId(0), vec![AttemptId(1)])), [stale(1)]);
    // And what was not begun on a connection that breaks is not given another.
    let mut links = used(1);
    links.step(2, Input::Call(vec![part(1, WAIT)]));
    links.step(2, Input::TakesNew(false));
    assert_eq!(
        links.step(2, Input::WriteFailed(ConnectionId(0), false)),
        [Output::Shut(ConnectionId(0)), stale(1)]
    );
}

/// Guards a probe whose turn to be written came after nothing new was taken any more: it ends, and once.
#[test]
fn a_probe_that_is_left_out_ends_once() {
    let mut links = used(1);
    links.step(2, Input::Probe);
    assert_eq!(links.step(2, Input::ProbeLeftOut(ConnectionId(0))), [Output::Probed(Outcome::NotSent)]);
    assert_eq!(links.step(2, Input::Written(ConnectionId(0))), []);
    assert_eq!(links.step(2 + PROBE, Input::Tick), []);
    let mut links = used(1);
    links.step(2, Input::Probe);
    assert_eq!(links.step(2 + PROBE, Input::Tick), [Output::Probed(Outcome::TimedOut)]);
    assert_eq!(links.step(2 + PROBE, Input::ProbeLeftOut(ConnectionId(0))), []);
}

/// Guards a data node that moves: what is out where it was may end there, all else goes over a new connection, and the
/// earlier one is closed once it is at rest.
#[test]
fn nothing_new_goes_over_a_connection_to_an_earlier_address() {
    let mut links = used(3);
    links.step(2, Input::Call(vec![part(3, WAIT)]));
    assert_eq!(links.step(2, Input::AddressChanged), []);
    let dialled = links.step(2, Input::Call(vec![part(4, WAIT)]));
    assert_eq!(dialled, [Output::Dial(ConnectionId(1))]);
    // Its turn to be written came after the move.
    assert_eq!(links.step(2, Input::LeftOut(ConnectionId(0), vec![AttemptId(3)])), []);
    assert_eq!(links.step(2, Input::Written(ConnectionId(0))), []);
    let sent = links.step(3, Input::Up(ConnectionId(1)));
    assert!(matches!(sent[..], [Output::Write(ConnectionId(1), _)]), "{sent:?}");
    links.step(3, Input::Written(ConnectionId(1)));
    assert_eq!(links.links[&ConnectionId(1)].parts(), 2);
    links.step(4, Input::Frame(ConnectionId(0), answer(1)));
    let last = links.step(4, Input::Frame(ConnectionId(0), answer(2)));
    assert!(matches!(
        last[..],
        [Output::End(AttemptId(2), Outcome::Success, _), Output::Shut(ConnectionId(0))]
    ));
}

/// Guards what waits for a connection to an address that its data node has left: it waits for one to the new address,
/// and the earlier one is closed when it comes up. Without a socket for another, no earlier connection is filled.
#[test]
fn a_dial_to_an_earlier_address_is_not_used() {
    let mut links = links();
    links.step(0, Input::TakesNew(true));
    links.step(0, Input::Call(vec![part(0, WAIT)]));
    links.step(0, Input::Probe);
    assert_eq!(links.step(1, Input::AddressChanged), [Output::Dial(ConnectionId(1))]);
    assert_eq!(links.step(2, Input::Up(ConnectionId(0))), [Output::Shut(ConnectionId(0))]);
    let sent = links.step(2, Input::Up(ConnectionId(1)));
    assert!(matches!(sent[..], [Output::Write(ConnectionId(1), _)]), "{sent:?}");
    let mut links = used(2);
    links.step(2, Input::AddressChanged);
    links.step(2, Input::Call(vec![part(2, WAIT)]));
    let ended = links.step(2, Input::NoSocket(ConnectionId(1)));
    assert_eq!(ended, [Output::End(AttemptId(2), Outcome::NotSent, None)]);
}

/// Guards what is out at an earlier address against answers from the new one: they do not show that it is lost.
#[test]
fn an_answer_from_the_new_address_ends_nothing_at_the_earlier_one() {
    let mut links = used(2);
    links.step(2, Input::AddressChanged);
    let now = 2 + SILENCE;
    links.step(now, Input::Call(vec![part(2, now + WAIT)]));
    links.step(now, Input::Up(ConnectionId(1)));
    links.step(now, Input::Written(ConnectionId(1)));
    let ended = links.step(now, Input::Frame(ConnectionId(1), answer(2)));
    assert!(matches!(ended[..], [Output::End(AttemptId(2), Outcome::Success, _)]), "{ended:?}");
}
