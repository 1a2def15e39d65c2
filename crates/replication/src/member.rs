//! One member of a group: a raft-rs `RawNode` over [`Store`], the promised map it builds, and the proposals and reads
//! of its own clients that wait for the log.
//!
//! The member does no I/O and reads no clock: the driver ticks it, hands it the bytes that peers sent, and carries out
//! each [`Out`] in its order: first writes [`Out::persist`] to disk, then sends [`Out::send`], then tells clients
//! [`Out::done`]. So a client hears "promised" only after a majority holds the entry on disk: the leader counts itself
//! only once the driver has written what it hands out, since nothing of a step leaves before its writes.

use std::collections::BTreeMap;
use std::fmt;
use std::panic::{catch_unwind, AssertUnwindSafe};

use protobuf::Message as _;
use raft::eraftpb::{
    ConfChange, ConfChangeType, Entry, EntryType, HardState, Message, MessageType, Snapshot,
};
use raft::{Config, RawNode, ReadState, StateRole, Storage};
use serde::{Deserialize, Serialize};
use slog::Drain;

use crate::bounds::Bounds;
use crate::codec::{self, Unsound};
use crate::promised::{Command, Outcome, Promised, Slot};
use crate::store::Store;

/// A client's handle on one proposal or read of this member.
pub type Ticket = u64;

/// What a member writes before anything of the same step leaves it.
#[derive(Debug, Default)]
pub struct Persist {
    /// A snapshot to write; the entries up to its index may be dropped from disk after it is written.
    pub image: Option<Snapshot>,
    /// Whether the snapshot came from the leader: then it replaces the whole log on disk, not only what it covers.
    pub fresh: bool,
    /// Entries to write, in order; an entry replaces any on disk at its index and all after it.
    pub entries: Vec<Entry>,
    /// The hard state to write.
    pub hard: Option<HardState>,
}

impl Persist {
    /// Adds what a later step hands out, so that both are written at once.
    pub fn extend(&mut self, later: Self) {
        if let Some(image) = later.image {
            let covered = image.get_metadata().index;
            self.entries.retain(|e| !later.fresh && e.index > covered);
            self.image = Some(image);
            self.fresh |= later.fresh;
        }
        if let Some(first) = later.entries.first().map(|e| e.index) {
            self.entries.retain(|e| e.index < first);
            self.entries.extend(later.entries);
        }
        self.hard = later.hard.or(self.hard.take());
    }

    /// Whether there is nothing to write.
    pub fn is_empty(&self) -> bool {
        self.image.is_none() && self.entries.is_empty() && self.hard.is_none()
    }
}

/// What became of a client's proposal or read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Answer {
    /// The command is in the log, held by a majority on disk, and was applied with this outcome.
    Promised(Outcome),
    /// A linearizable read: the key's value and version as of a moment between the call and this answer.
    Read(Option<Slot>),
    /// Refused at once; nothing was or will be done. `Retry-After` may be given as one election timeout.
    Refused(Refusal),
    /// Waited longer than [`Bounds::wait_ticks`]: the command may still be applied later, or never.
    Unknown,
}

/// Why a member refuses at once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refusal {
    /// No leader is known: an election is on, or this member is on a minority side.
    NoLeader,
    /// [`Bounds::waiting`] proposals and reads wait already.
    Busy,
    /// The member has been removed from the group, or has stopped after an error.
    Gone,
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::NoLeader => {
                "no leader is known: an election is on or this member is cut off from most of the group"
            }
            Self::Busy => "too many proposals wait for the log",
            Self::Gone => "this member is no longer in the group",
        })
    }
}

/// Why bytes from a peer were not taken.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Rejected {
    /// They are no raft message.
    Unreadable,
    /// A message for another member.
    NotForMe(u64),
    /// A snapshot whose image is torn or changed.
    Image(Unsound),
    /// raft-rs refused it (a local message type, a peer it does not know, and so on).
    Raft(String),
    /// raft-rs stopped on it; this member is stopped now and must come back as a new one.
    Broken,
}

impl fmt::Display for Rejected {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unreadable => f.write_str("the bytes are no raft message"),
            Self::NotForMe(to) => write!(f, "the message is for member {to}"),
            Self::Image(why) => write!(f, "the snapshot in it is not believed: {why}"),
            Self::Raft(why) => write!(f, "raft refused it: {why}"),
            Self::Broken => f.write_str("raft stopped on it; this member has stopped"),
        }
    }
}

/// A message for another member.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Letter {
    /// The member's id.
    pub to: u64,
    /// The message.
    pub bytes: Vec<u8>,
    /// It carries a snapshot: whether it was sent must be told by [`Member::snapshot_sent`], or raft-rs waits for ever.
    pub snapshot: bool,
}

/// What one step hands the driver, to be carried out in this order.
#[derive(Debug, Default)]
pub struct Out {
    /// First: to disk.
    pub persist: Persist,
    /// Then: messages.
    pub send: Vec<Letter>,
    /// Last: answers to clients.
    pub done: Vec<(Ticket, Answer)>,
}

/// The ticket beside a command in the log: which member proposed it, and its number there.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
struct Mark {
    member: u64,
    ticket: Ticket,
}

#[derive(Debug)]
enum Wait {
    Propose,
    Read(String),
    Change,
}

#[derive(Debug)]
struct Waiting {
    wait: Wait,
    until: u64,
    /// For a read: the index that must be applied before it is answered, once the leader has told it.
    at: Option<u64>,
}

/// One member of a group.
pub struct Member {
    node: RawNode<Store>,
    machine: Promised,
    bounds: Bounds,
    waiting: BTreeMap<Ticket, Waiting>,
    next: Ticket,
    now: u64,
    gone: bool,
}

impl fmt::Debug for Member {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Member").field("id", &self.id()).field("applied", &self.machine.applied()).finish()
    }
}

/// Why a member cannot start.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StartError(pub String);

impl fmt::Display for StartError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "the member cannot start: {}", self.0)
    }
}

impl std::error::Error for StartError {}

impl Member {
    /// A founding member of a new group of `voters` (ids, not 0), with nothing on disk yet. Its first [`Out`] holds the
    /// founding snapshot to write.
    ///
    /// # Errors
    /// If the id is 0 or not among the voters, or the bounds do not make a valid raft configuration.
    pub fn found(id: u64, voters: &[u64], bounds: Bounds) -> Result<(Self, Out), StartError> {
        if !voters.contains(&id) {
            return Err(StartError(format!("member {id} is not among the founders {voters:?}")));
        }
        let store = Store::founding(voters, Promised::default().image());
        let out = Out {
            persist: Persist {
                image: Some(store.image().clone()),
                hard: Some(store.hard().clone()),
                ..Persist::default()
            },
            ..Out::default()
        };
        Ok((Self::start(id, store, Promised::default(), bounds)?, out))
    }

    /// A member that joins a running group: it knows nothing and waits for the leader's snapshot, once a member has
    /// proposed to add it.
    ///
    /// # Errors
    /// If the id is 0 or the bounds do not make a valid raft configuration.
    pub fn join(id: u64, bounds: Bounds) -> Result<Self, StartError> {
        Self::start(id, Store::default(), Promised::default(), bounds)
    }

    /// A member again, from what the driver found on disk.
    ///
    /// # Errors
    /// If the snapshot's image is not believed (the driver then sets the folder aside and joins as a new member), or
    /// the bounds do not make a valid raft configuration.
    pub fn recover(id: u64, store: Store, bounds: Bounds) -> Result<Self, StartError> {
        let machine = if store.image_index() == 0 {
            Promised::default()
        } else {
            Promised::from_image(store.image().get_data())
                .map_err(|why| StartError(format!("the snapshot on disk is not believed: {why}")))?
        };
        Self::start(id, store, machine, bounds)
    }

    fn start(id: u64, store: Store, machine: Promised, bounds: Bounds) -> Result<Self, StartError> {
        // Both 0: raft-rs draws at random between one and two election timeouts.
        let wait = bounds.election_wait.map_or(0, |wait| bounds.election_ticks + wait);
        let config = Config {
            id,
            election_tick: bounds.election_ticks,
            min_election_tick: wait,
            max_election_tick: if wait > 0 { wait + 1 } else { 0 },
            heartbeat_tick: bounds.heartbeat_ticks,
            applied: store.image_index(),
            max_size_per_msg: bounds.message_bytes,
            max_inflight_msgs: bounds.inflight,
            max_uncommitted_size: bounds.message_bytes.saturating_mul(bounds.inflight as u64),
            check_quorum: true,
            pre_vote: true,
            ..Config::default()
        };
        config.validate().map_err(|e| StartError(e.to_string()))?;
        let logger = slog::Logger::root(slog_stdlog::StdLog.fuse(), slog::o!("member" => id));
        let node = RawNode::new(&config, store, &logger).map_err(|e| StartError(e.to_string()))?;
        Ok(Self { node, machine, bounds, waiting: BTreeMap::new(), next: 1, now: 0, gone: false })
    }

    /// Numbers this life of the member, so that its tickets differ from those of its earlier lives, which may still be
    /// in the log: tickets are `boot << 32` and up. The driver gives a number that grows from start to start.
    #[must_use]
    pub fn with_boot(mut self, boot: u32) -> Self {
        self.next = (u64::from(boot) << 32) | 1;
        self
    }

    /// Its id.
    pub fn id(&self) -> u64 {
        self.node.raft.id
    }

    /// The leader it knows, if any.
    pub fn leader(&self) -> Option<u64> {
        Some(self.node.raft.leader_id).filter(|&l| l != raft::INVALID_ID)
    }

    /// Whether it leads.
    pub fn leads(&self) -> bool {
        self.node.raft.state == StateRole::Leader
    }

    /// Its term.
    pub fn term(&self) -> u64 {
        self.node.raft.term
    }

    /// The voters as of the last change applied.
    pub fn voters(&self) -> Vec<u64> {
        self.node.store().conf().voters.clone()
    }

    /// The promised map as this member has applied it. Not a linearizable read: see [`Member::read`].
    pub fn state(&self) -> &Promised {
        &self.machine
    }

    /// The log as it is in memory, for the driver's checks.
    pub fn store(&self) -> &Store {
        self.node.store()
    }

    /// Whether it has left the group or stopped after an error.
    pub fn is_gone(&self) -> bool {
        self.gone
    }

    /// Proposals and reads that wait.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// One tick of the driver's clock.
    pub fn tick(&mut self) -> Out {
        let mut out = Out::default();
        if self.gone {
            return out;
        }
        self.now += 1;
        self.guard(|node| {
            node.tick();
        });
        let late: Vec<Ticket> =
            self.waiting.iter().filter(|(_, w)| w.until <= self.now).map(|(&ticket, _)| ticket).collect();
        for ticket in late {
            self.waiting.remove(&ticket);
            out.done.push((ticket, Answer::Unknown));
        }
        self.collect(&mut out);
        out
    }

    /// Bytes that a peer sent.
    ///
    /// # Errors
    /// Why the bytes were not taken; nothing changed then, unless raft-rs stopped, which stops the member.
    pub fn step(&mut self, bytes: &[u8]) -> Result<Out, Rejected> {
        if self.gone {
            return Err(Rejected::Broken);
        }
        let message = Message::parse_from_bytes(bytes).map_err(|_| Rejected::Unreadable)?;
        if message.to != self.id() {
            return Err(Rejected::NotForMe(message.to));
        }
        if message.has_snapshot() && !message.get_snapshot().get_data().is_empty() {
            Promised::from_image(message.get_snapshot().get_data()).map_err(Rejected::Image)?;
        }
        let stepped = self.guard(|node| node.step(message)).ok_or(Rejected::Broken)?;
        stepped.map_err(|e| Rejected::Raft(e.to_string()))?;
        let mut out = Out::default();
        self.collect(&mut out);
        Ok(out)
    }

    /// Proposes a command; its answer comes in a later [`Out`] (or this one) under the ticket returned.
    pub fn propose(&mut self, command: &Command) -> (Ticket, Out) {
        let data = codec::seal(codec::COMMAND, command);
        self.ask(Wait::Propose, |node, mark| node.propose(mark, data).is_ok())
    }

    /// A linearizable read of a key by read index: answered once the leader has confirmed with a majority that it still
    /// leads, and this member has applied up to the leader's commit index of that moment.
    pub fn read(&mut self, key: &str) -> (Ticket, Out) {
        self.ask(Wait::Read(key.to_owned()), |node, mark| {
            node.read_index(mark);
            true
        })
    }

    /// Proposes to add a voter (`add`) or remove one, one at a time.
    pub fn change(&mut self, member: u64, add: bool) -> (Ticket, Out) {
        let mut cc = ConfChange { node_id: member, ..ConfChange::default() };
        cc.set_change_type(if add { ConfChangeType::AddNode } else { ConfChangeType::RemoveNode });
        self.ask(Wait::Change, |node, mark| node.propose_conf_change(mark, cc).is_ok())
    }

    /// Hands a proposal or read to raft-rs under a new ticket, or refuses it at once; `hand` says whether raft took it.
    fn ask(&mut self, wait: Wait, hand: impl FnOnce(&mut RawNode<Store>, Vec<u8>) -> bool) -> (Ticket, Out) {
        let mut out = Out::default();
        let ticket = self.ticket();
        if let Some(refusal) = self.refusal() {
            out.done.push((ticket, Answer::Refused(refusal)));
            return (ticket, out);
        }
        let mark = codec::seal(codec::TICKET, &Mark { member: self.id(), ticket });
        match self.guard(|node| hand(node, mark)) {
            Some(true) => {
                self.waiting.insert(ticket, Waiting { wait, until: self.deadline(), at: None });
            }
            Some(false) => out.done.push((ticket, Answer::Refused(Refusal::NoLeader))),
            None => out.done.push((ticket, Answer::Refused(Refusal::Gone))),
        }
        self.collect(&mut out);
        (ticket, out)
    }

    /// Makes a snapshot now, if anything was applied since the last one.
    pub fn snapshot(&mut self) -> Out {
        let mut out = Out::default();
        if !self.gone {
            self.snapshot_if_due(&mut out, true);
        }
        out
    }

    /// The driver could not reach a member: raft-rs then sends it less until it answers.
    pub fn unreachable(&mut self, member: u64) {
        self.guard(|node| node.report_unreachable(member));
    }

    /// The driver has sent a snapshot to a member, or failed to.
    pub fn snapshot_sent(&mut self, member: u64, ok: bool) {
        let status = if ok { raft::SnapshotStatus::Finish } else { raft::SnapshotStatus::Failure };
        self.guard(|node| node.report_snapshot(member, status));
    }

    fn ticket(&mut self) -> Ticket {
        let ticket = self.next;
        self.next += 1;
        ticket
    }

    fn deadline(&self) -> u64 {
        self.now + self.bounds.wait_ticks
    }

    fn refusal(&self) -> Option<Refusal> {
        if self.gone {
            Some(Refusal::Gone)
        } else if self.waiting.len() >= self.bounds.waiting {
            Some(Refusal::Busy)
        } else if self.leader().is_none() {
            Some(Refusal::NoLeader)
        } else {
            None
        }
    }

    /// Runs raft-rs, which stops the thread on what it takes for a broken invariant; here that stops the member
    /// instead, which must come back as a new one. None if it stopped.
    fn guard<T>(&mut self, f: impl FnOnce(&mut RawNode<Store>) -> T) -> Option<T> {
        if self.gone {
            return None;
        }
        match catch_unwind(AssertUnwindSafe(|| f(&mut self.node))) {
            Ok(value) => Some(value),
            Err(_) => {
                log::error!(target: "group", "member {} stopped: raft met a broken invariant", self.id());
                self.stop();
                None
            }
        }
    }

    fn stop(&mut self) {
        self.gone = true;
        // Nothing that waits will be answered by this member any more; its clients must ask another.
        self.waiting.clear();
    }

    fn collect(&mut self, out: &mut Out) {
        let mut rounds = 0;
        while !self.gone && self.node.has_ready() && rounds < 64 {
            rounds += 1;
            let Some(mut ready) = self.guard(|node| node.ready()) else { return };
            out.send.extend(encode(ready.take_messages()));
            if !ready.snapshot().is_empty() {
                let snap = ready.snapshot().clone();
                match Promised::from_image(snap.get_data()) {
                    Ok(machine) => self.machine = machine,
                    // Checked in `step`: a snapshot of our own making cannot be torn.
                    Err(why) => {
                        log::error!(target: "group", "member {}: snapshot not believed: {why}", self.id())
                    }
                }
                self.node.mut_store().install(snap.clone());
                out.persist.image = Some(snap);
                out.persist.fresh = true;
            }
            let committed = ready.take_committed_entries();
            self.apply(committed, out);
            if !ready.entries().is_empty() {
                self.node.mut_store().append(ready.entries());
                out.persist.entries.extend(ready.entries().iter().cloned());
            }
            if let Some(hard) = ready.hs() {
                self.node.mut_store().set_hard(hard.clone());
                out.persist.hard = Some(hard.clone());
            }
            let reads = ready.take_read_states();
            self.read_states(reads);
            out.send.extend(encode(ready.take_persisted_messages()));
            let Some(mut light) = self.guard(|node| node.advance(ready)) else { return };
            if let Some(commit) = light.commit_index() {
                self.node.mut_store().set_commit(commit);
                out.persist.hard = Some(self.node.store().hard().clone());
            }
            out.send.extend(encode(light.take_messages()));
            let committed = light.take_committed_entries();
            self.apply(committed, out);
            self.guard(|node| node.advance_apply());
            self.snapshot_if_due(out, false);
        }
        if self.node.store().take_wanted() {
            self.snapshot_if_due(out, true);
        }
        self.serve_reads(out);
    }

    fn apply(&mut self, entries: Vec<Entry>, out: &mut Out) {
        for entry in entries {
            if self.gone {
                return;
            }
            let mark = codec::open::<Mark>(codec::TICKET, entry.get_context())
                .ok()
                .filter(|m| m.member == self.id());
            let mine = mark.and_then(|m| self.waiting.remove(&m.ticket).map(|w| (m.ticket, w)));
            match entry.get_entry_type() {
                EntryType::EntryNormal if entry.get_data().is_empty() => {
                    self.machine.skip(entry.index);
                    // raft-rs turns a change of members into an empty entry while another change is pending.
                    if let Some((ticket, waiting)) = mine {
                        let answer = match waiting.wait {
                            Wait::Change => Answer::Refused(Refusal::Busy),
                            _ => Answer::Promised(Outcome::Nothing),
                        };
                        out.done.push((ticket, answer));
                    }
                }
                EntryType::EntryNormal => {
                    let outcome = match codec::open::<Command>(codec::COMMAND, entry.get_data()) {
                        Ok(command) => self.machine.apply(entry.index, &command, &self.bounds),
                        Err(why) => {
                            // Sealed by the proposer and checked on every disk read: this is a newer form.
                            log::error!(target: "group", "entry {} not applied: {why}", entry.index);
                            self.machine.skip(entry.index);
                            Outcome::Nothing
                        }
                    };
                    if let Some((ticket, _)) = mine {
                        out.done.push((ticket, Answer::Promised(outcome)));
                    }
                }
                EntryType::EntryConfChange => {
                    self.machine.skip(entry.index);
                    let Ok(cc) = ConfChange::parse_from_bytes(entry.get_data()) else { continue };
                    match self.guard(|node| node.apply_conf_change(&cc)) {
                        Some(Ok(conf)) => {
                            log::info!(target: "group", "member {}: voters now {:?} at {}", self.id(), conf.voters, entry.index);
                            self.node.mut_store().set_conf(conf);
                            if cc.get_change_type() == ConfChangeType::RemoveNode && cc.node_id == self.id() {
                                self.stop();
                            }
                        }
                        Some(Err(e)) => {
                            log::warn!(target: "group", "change at {} not applied: {e}", entry.index)
                        }
                        None => return,
                    }
                    if let Some((ticket, _)) = mine {
                        out.done.push((ticket, Answer::Promised(Outcome::Nothing)));
                    }
                }
                EntryType::EntryConfChangeV2 => self.machine.skip(entry.index),
            }
        }
    }

    fn read_states(&mut self, states: Vec<ReadState>) {
        for state in states {
            let Ok(mark) = codec::open::<Mark>(codec::TICKET, &state.request_ctx) else { continue };
            if let Some(waiting) = self.waiting.get_mut(&mark.ticket) {
                waiting.at = Some(state.index);
            }
        }
    }

    fn serve_reads(&mut self, out: &mut Out) {
        let applied = self.machine.applied();
        let ready: Vec<Ticket> = self
            .waiting
            .iter()
            .filter(|(_, w)| matches!(w.wait, Wait::Read(_)) && w.at.is_some_and(|at| at <= applied))
            .map(|(&t, _)| t)
            .collect();
        for ticket in ready {
            if let Some(Waiting { wait: Wait::Read(key), .. }) = self.waiting.remove(&ticket) {
                out.done.push((ticket, Answer::Read(self.machine.get(&key).cloned())));
            }
        }
    }

    fn snapshot_if_due(&mut self, out: &mut Out, asked: bool) {
        let applied = self.machine.applied();
        let store = self.node.store();
        let due = store.image_index() + if asked { 1 } else { self.bounds.snapshot_every };
        if applied < due {
            return;
        }
        let Ok(term) = store.term(applied) else { return };
        let mut snap = Snapshot::default();
        snap.set_data(self.machine.image().into());
        let meta = snap.mut_metadata();
        meta.index = applied;
        meta.term = term;
        meta.set_conf_state(store.conf().clone());
        log::info!(target: "group", "member {}: snapshot at {applied}, term {term}", self.id());
        self.node.mut_store().compact(snap.clone());
        out.persist.image = Some(snap);
    }
}

fn encode(messages: Vec<Message>) -> impl Iterator<Item = Letter> {
    messages.into_iter().filter_map(|m| {
        let snapshot = m.get_msg_type() == MessageType::MsgSnapshot;
        Some(Letter { to: m.to, bytes: m.write_to_bytes().ok()?, snapshot })
    })
}
