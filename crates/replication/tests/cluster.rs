//! Groups of members over a scripted network and scripted time: messages lost, duplicated, delayed and reordered, cuts one
//! way and partitions, members stopped with their disk kept or wiped. Every run is fixed by its seed.
//!
//! What is checked after each: every command that a client was told is committed is in the map of every member that
//! still belongs to the group, and the history of puts and reads is linearizable (`curlewdeck_testkit::history`).

use std::collections::{BTreeMap, BTreeSet};

use curlewdeck_replication::{
    Command, CommandOutcome, Completion, DurableWrites, Member, MemberOutput, MembershipChange, MessageError,
    OutboundMessage, RaftLog, ReplicationLimits, RequestHandle, RequestOutcome,
};
use curlewdeck_testkit::history::{self, Action, Operation};
use protobuf::Message as _;
use raft::eraftpb::{Entry, HardState, Message, MessageType, Snapshot};

/// A tick is this many steps of the scripted clock; a message takes 1 to `delay` steps.
const STEPS_A_TICK: u64 = 4;

struct Rng(u64);

impl Rng {
    fn next(&mut self) -> u64 {
        // xorshift64*: enough for scripted faults, and the same on every machine.
        self.0 ^= self.0 >> 12;
        self.0 ^= self.0 << 25;
        self.0 ^= self.0 >> 27;
        self.0.wrapping_mul(0x2545_f491_4f6c_dd1d)
    }
    fn below(&mut self, n: u64) -> u64 {
        self.next() % n.max(1)
    }
    fn chance(&mut self, per_mille: u64) -> bool {
        self.below(1000) < per_mille
    }
}

#[derive(Default, Clone)]
struct Disk {
    snapshot: Option<Snapshot>,
    hard_state: HardState,
    entries: BTreeMap<u64, Entry>,
}

impl Disk {
    fn write(&mut self, writes: &DurableWrites) {
        if let Some(snapshot) = &writes.snapshot {
            let index = snapshot.get_metadata().index;
            if writes.replaces_log {
                self.entries.clear();
            } else {
                self.entries.retain(|&i, _| i > index);
            }
            self.snapshot = Some(snapshot.clone());
        }
        for e in &writes.entries {
            self.entries.split_off(&e.index);
            self.entries.insert(e.index, e.clone());
        }
        if let Some(hard_state) = &writes.hard_state {
            self.hard_state = hard_state.clone();
        }
    }

    fn log(&self) -> RaftLog {
        RaftLog::recovered(
            self.snapshot.clone().unwrap_or_default(),
            self.hard_state.clone(),
            self.entries.values().cloned().collect(),
        )
    }
}

#[derive(Debug, Clone)]
enum Request {
    Put(String, Vec<u8>),
    CompareAndSet(String, u64),
    Read(String),
}

#[derive(Debug, Clone)]
struct Call {
    request: Request,
    at: u64,
    outcome: Option<(u64, RequestOutcome)>,
}

struct Group {
    seed: u64,
    rng: Rng,
    now: u64,
    limits: ReplicationLimits,
    members: BTreeMap<u64, Member>,
    disks: BTreeMap<u64, Disk>,
    flight: Vec<(u64, u64, u64, Vec<u8>)>,
    cut: BTreeSet<(u64, u64)>,
    paused: BTreeSet<u64>,
    drop: u64,
    twice: u64,
    delay: u64,
    calls: BTreeMap<(u64, RequestHandle), Call>,
    rejected: usize,
}

impl Group {
    fn new(seed: u64, ids: &[u64], limits: ReplicationLimits) -> Self {
        let mut group = Self {
            seed,
            rng: Rng(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1),
            now: 0,
            limits,
            members: BTreeMap::new(),
            disks: BTreeMap::new(),
            flight: Vec::new(),
            cut: BTreeSet::new(),
            paused: BTreeSet::new(),
            drop: 0,
            twice: 0,
            delay: 3,
            calls: BTreeMap::new(),
            rejected: 0,
        };
        for &id in ids {
            let (member, out) = Member::bootstrap(id, ids, group.limits_of(id)).unwrap();
            group.members.insert(id, member);
            group.carry_out(id, out);
        }
        group
    }

    /// Different waits for all members of a group, moved round by the seed: raft-rs would draw them from outside the
    /// script, and a vote that is split again and again would be a test that fails now and then.
    fn limits_of(&self, id: u64) -> ReplicationLimits {
        let delay = (3 * id + self.seed) % 10;
        let fixed_election_delay_ticks = usize::try_from(delay).ok();
        ReplicationLimits { fixed_election_delay_ticks, ..self.limits.clone() }
    }

    fn carry_out(&mut self, id: u64, output: MemberOutput) {
        // In the driver's order: disk, then messages, then completions.
        self.disks.entry(id).or_default().write(&output.writes);
        for OutboundMessage { to, bytes, has_snapshot } in output.messages {
            // As the driver does: raft-rs would wait for ever to learn whether a snapshot was delivered.
            let lost = self.rng.chance(self.drop) || self.cut.contains(&(id, to));
            if has_snapshot {
                if let Some(member) = self.members.get_mut(&id) {
                    member.report_snapshot(to, !lost);
                }
            }
            if lost {
                continue;
            }
            let copies = if self.rng.chance(self.twice) { 2 } else { 1 };
            for _ in 0..copies {
                let at = self.now + 1 + self.rng.below(self.delay);
                self.flight.push((at, id, to, bytes.clone()));
            }
        }
        for Completion { request, outcome } in output.completions {
            if let Some(call) = self.calls.get_mut(&(id, request)) {
                assert!(call.outcome.is_none(), "{request:?} of member {id} completed twice");
                call.outcome = Some((self.now, outcome));
            }
        }
    }

    fn step(&mut self) {
        self.now += 1;
        let now = self.now;
        let (due, later): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.flight).into_iter().partition(|m| m.0 <= now);
        self.flight = later;
        for (_, from, to, bytes) in due {
            if self.cut.contains(&(from, to)) || self.paused.contains(&to) {
                continue;
            }
            let Some(member) = self.members.get_mut(&to) else { continue };
            match member.step(&bytes) {
                Ok(out) => self.carry_out(to, out),
                Err(_) => self.rejected += 1,
            }
        }
        if now.is_multiple_of(STEPS_A_TICK) {
            let ids: Vec<u64> = self.members.keys().copied().filter(|id| !self.paused.contains(id)).collect();
            for id in ids {
                let out = self.members.get_mut(&id).unwrap().tick();
                self.carry_out(id, out);
            }
        }
    }

    fn run(&mut self, ticks: u64) {
        for _ in 0..ticks * STEPS_A_TICK {
            self.step();
        }
    }

    fn leader(&self) -> Option<u64> {
        self.members
            .iter()
            .filter(|(id, m)| m.is_leader() && !self.paused.contains(id))
            .max_by_key(|(_, m)| m.term())
            .map(|(&id, _)| id)
    }

    fn settle(&mut self) -> u64 {
        for _ in 0..200 {
            self.run(1);
            if let Some(leader) = self.leader() {
                return leader;
            }
        }
        panic!("no leader after 200 ticks");
    }

    fn submit(&mut self, member: u64, request: Request) {
        let Some(m) = self.members.get_mut(&member) else { return };
        let (handle, output) = match &request {
            Request::Put(key, value) => m.propose(&Command::Put { key: key.clone(), value: value.clone() }),
            Request::CompareAndSet(key, version) => m.propose(&Command::CompareAndSet {
                key: key.clone(),
                version: *version,
                value: Some(member.to_le_bytes().to_vec()),
            }),
            Request::Read(key) => m.read(key),
        };
        assert!(!self.calls.contains_key(&(member, handle)), "{handle:?} of member {member} used twice");
        self.calls.insert((member, handle), Call { request, at: self.now, outcome: None });
        self.carry_out(member, output);
    }

    fn kill(&mut self, id: u64) {
        self.members.remove(&id);
        self.flight.retain(|m| m.2 != id);
    }

    fn restart(&mut self, id: u64) {
        let log = self.disks[&id].log();
        let start = u32::try_from(self.now).unwrap();
        self.members
            .insert(id, Member::recover(id, log, self.limits_of(id)).unwrap().with_start_number(start));
    }

    fn partition(&mut self, sides: &[&[u64]]) {
        self.cut.clear();
        for a in sides {
            for b in sides {
                if a != b {
                    for &x in *a {
                        for &y in *b {
                            self.cut.insert((x, y));
                        }
                    }
                }
            }
        }
    }

    /// Writes that were committed, by key: each key is put once, so that it has one value.
    fn committed(&self) -> BTreeMap<String, (u64, Vec<u8>)> {
        let mut committed = BTreeMap::new();
        for call in self.calls.values() {
            if let (
                Request::Put(key, value),
                Some((at, RequestOutcome::Committed(CommandOutcome::Written { .. }))),
            ) = (&call.request, &call.outcome)
            {
                committed.insert(key.clone(), (*at, value.clone()));
            }
        }
        committed
    }

    /// Every committed write is in every member of the group, every member of the group holds the same map, and the history
    /// is linearizable.
    fn check_committed(&self) -> usize {
        self.check_history();
        let committed = self.committed();
        let leader = self.leader().expect("a leader at the end");
        let voters: BTreeSet<u64> = self.members[&leader].voters().into_iter().collect();
        let reference = self.members[&leader].map();
        for id in &voters {
            let map = self.members[id].map();
            assert_eq!(map.applied_index(), reference.applied_index(), "member {id} has not caught up");
            assert_eq!(map, reference, "member {id} holds another map than the leader at the same index");
            for (key, (_, value)) in &committed {
                let held =
                    map.get(key).unwrap_or_else(|| panic!("committed {key} is missing at member {id}"));
                assert_eq!(&held.value, value, "committed {key} holds another value at member {id}");
            }
        }
        committed.len()
    }

    /// The history of puts and reads judged for linearizability, key by key.
    fn check_history(&self) -> usize {
        let mut operations = Vec::new();
        for call in self.calls.values() {
            let (action, completed_at) = match (&call.request, &call.outcome) {
                (
                    Request::Put(_, value),
                    Some((at, RequestOutcome::Committed(CommandOutcome::Written { .. }))),
                ) => (Action::Write(value.clone()), Some(*at)),
                (Request::Put(_, value), None | Some((_, RequestOutcome::Unknown))) => {
                    (Action::Write(value.clone()), None)
                }
                (Request::Read(_), Some((at, RequestOutcome::Read(seen)))) => {
                    (Action::Read(seen.as_ref().map(|s| s.value.clone())), Some(*at))
                }
                _ => continue,
            };
            let (Request::Put(key, _) | Request::Read(key) | Request::CompareAndSet(key, _)) = &call.request;
            operations.push(Operation { key: key.clone(), action, called_at: call.at, completed_at });
        }
        history::check(&operations).unwrap_or_else(|v| panic!("{v}: {:?}", v.operations))
    }

    fn count_outcomes(&self, f: impl Fn(&RequestOutcome) -> bool) -> usize {
        self.calls.values().filter(|c| c.outcome.as_ref().is_some_and(|(_, a)| f(a))).count()
    }
}

fn small_limits() -> ReplicationLimits {
    ReplicationLimits { snapshot_interval_entries: 32, ..ReplicationLimits::default() }
}

fn put(group: &mut Group, member: u64, n: usize) {
    group.submit(member, Request::Put(format!("k{n:05}"), format!("v{n}").into_bytes()));
}

#[test]
fn three_members_commit_under_loss_duplication_and_reordering() {
    for seed in 1..=4 {
        let mut g = Group::new(seed, &[1, 2, 3], small_limits());
        (g.drop, g.twice, g.delay) = (100, 50, 6);
        g.settle();
        for n in 0..300 {
            let member = 1 + (n as u64 % 3);
            put(&mut g, member, n);
            if n % 7 == 0 {
                g.submit(member, Request::Read(format!("k{:05}", n / 2)));
            }
            g.run(1);
        }
        (g.drop, g.twice) = (0, 0);
        g.run(100);
        let checked = g.check_committed();
        let reads = g.count_outcomes(|a| matches!(a, RequestOutcome::Read(_)));
        assert!(checked > 150, "seed {seed}: only {checked} of 300 committed");
        assert!(reads > 10, "seed {seed}: only {reads} reads answered");
        assert!(
            g.members.values().all(|m| m.log().snapshot_index() > 1),
            "seed {seed}: the log was never compacted"
        );
    }
}

#[test]
fn a_leader_killed_in_a_burst_recovers_from_its_disk_and_nothing_committed_is_lost() {
    for seed in 1..=4 {
        let mut g = Group::new(seed, &[1, 2, 3], small_limits());
        let leader = g.settle();
        for n in 0..60 {
            put(&mut g, leader, n);
            if n == 40 {
                g.kill(leader);
            }
            g.run(1);
        }
        let next = g.settle();
        assert_ne!(next, leader);
        for n in 60..120 {
            put(&mut g, next, n);
            g.run(1);
        }
        g.restart(leader);
        g.run(100);
        let checked = g.check_committed();
        assert!(checked >= 80, "seed {seed}: only {checked} committed");
    }
}

#[test]
fn a_minority_side_rejects_and_never_reads_stale_and_the_majority_continues() {
    for seed in 1..=4 {
        let mut g = Group::new(seed, &[1, 2, 3, 4, 5], small_limits());
        let leader = g.settle();
        for n in 0..20 {
            put(&mut g, leader, n);
            g.run(1);
        }
        let others: Vec<u64> = (1..=5).filter(|&i| i != leader).collect();
        let minority = [leader, others[0]];
        let majority = [others[1], others[2], others[3]];
        g.partition(&[&minority, &majority]);
        g.run(40);
        let new = g.leader().filter(|l| majority.contains(l)).expect("the majority elects a leader");
        for n in 20..60 {
            put(&mut g, new, n);
            put(&mut g, leader, 1000 + n);
            g.submit(minority[1], Request::Read(format!("k{n:05}")));
            g.run(1);
        }
        // The old leader has stepped down: what it is request now is refused at once.
        let before = g.count_outcomes(|a| matches!(a, RequestOutcome::Rejected(_)));
        put(&mut g, leader, 2000);
        assert_eq!(g.count_outcomes(|a| matches!(a, RequestOutcome::Rejected(_))), before + 1, "seed {seed}");
        g.cut.clear();
        g.run(120);
        g.check_committed();
        let committed = g.committed();
        assert!(
            (1020..1060).all(|n| !committed.contains_key(&format!("k{n:05}"))),
            "seed {seed}: a minority committed"
        );
        assert!(
            (20..60).filter(|n| committed.contains_key(&format!("k{n:05}"))).count() >= 30,
            "seed {seed}"
        );
    }
}

#[test]
fn one_way_cuts_and_a_paused_member_do_not_stall_the_rest() {
    for seed in 1..=3 {
        let mut g = Group::new(seed, &[1, 2, 3], small_limits());
        let leader = g.settle();
        let follower = if leader == 1 { 2 } else { 1 };
        // The leader hears nobody, while all hear it: check-quorum makes it step down, and pre-vote lets a new one in.
        for other in [1, 2, 3].into_iter().filter(|&o| o != leader) {
            g.cut.insert((other, leader));
        }
        g.run(60);
        let next = g.settle();
        assert_ne!(next, leader, "seed {seed}: a leader that hears nobody stayed");
        g.cut.clear();
        g.paused.insert(follower);
        for n in 0..40 {
            let at = g.settle();
            put(&mut g, at, n);
            g.run(1);
        }
        g.paused.clear();
        g.run(100);
        assert!(g.check_committed() >= 30, "seed {seed}");
    }
}

#[test]
fn two_members_lost_with_their_disks_are_replaced_by_new_ones_from_a_snapshot() {
    let mut g = Group::new(7, &[1, 2, 3, 4, 5], small_limits());
    let leader = g.settle();
    for n in 0..100 {
        put(&mut g, leader, n);
        g.run(1);
    }
    let lost: Vec<u64> = (1..=5).filter(|&i| i != leader).take(2).collect();
    for &id in &lost {
        g.kill(id);
        g.disks.remove(&id);
    }
    // A wiped member never comes back under its old id: it could vote twice and lose what was committed.
    for (&old, new) in lost.iter().zip([6, 7]) {
        let at = g.settle();
        g.change_membership(at, MembershipChange::Remove(old));
        g.run(20);
        let at = g.settle();
        g.members.insert(new, Member::join(new, g.limits_of(new)).unwrap());
        g.change_membership(at, MembershipChange::Add(new));
        g.run(40);
    }
    for n in 100..140 {
        let at = g.settle();
        put(&mut g, at, n);
        g.run(1);
    }
    g.run(100);
    let leader = g.settle();
    let voters: BTreeSet<u64> = g.members[&leader].voters().into_iter().collect();
    let want: BTreeSet<u64> = (1..=5).filter(|i| !lost.contains(i)).chain([6, 7]).collect();
    assert_eq!(voters, want);
    assert!(g.check_committed() >= 130);
}

#[test]
fn compare_and_sets_on_one_key_grant_each_version_once() {
    for seed in 1..=4 {
        let mut g = Group::new(seed, &[1, 2, 3], small_limits());
        (g.drop, g.delay) = (50, 5);
        g.settle();
        for round in 0..60 {
            let version = g.members.values().next().unwrap().map().get("lease").map_or(0, |s| s.version);
            for member in 1..=3 {
                g.submit(member, Request::CompareAndSet("lease".into(), version));
            }
            if round % 10 == 5 {
                let leader = g.settle();
                g.kill(leader);
                g.run(2);
                g.restart(leader);
            }
            g.run(3);
        }
        g.drop = 0;
        g.run(60);
        let mut granted: BTreeMap<u64, usize> = BTreeMap::new();
        for call in g.calls.values() {
            if let (
                Request::CompareAndSet(_, version),
                Some((_, RequestOutcome::Committed(CommandOutcome::Written { .. }))),
            ) = (&call.request, &call.outcome)
            {
                *granted.entry(*version).or_default() += 1;
            }
        }
        assert!(granted.values().all(|&n| n == 1), "seed {seed}: a version granted twice: {granted:?}");
        assert!(granted.len() >= 10, "seed {seed}: only {} grants", granted.len());
    }
}

#[test]
fn a_changed_snapshot_or_garbage_from_a_peer_is_rejected_and_nothing_panics() {
    let (mut member, _) = Member::bootstrap(1, &[1, 2, 3], ReplicationLimits::default()).unwrap();
    let (other, _) = Member::bootstrap(2, &[1, 2, 3], ReplicationLimits::default()).unwrap();
    let mut message = Message::default();
    message.set_msg_type(MessageType::MsgSnapshot);
    (message.to, message.from, message.term) = (1, 2, 5);
    let mut snap = other.log().last_snapshot().clone();
    let mut data = snap.get_data().to_vec();
    let last = data.len() - 1;
    data[last] ^= 1;
    snap.set_data(data.into());
    snap.mut_metadata().index = 50;
    message.set_snapshot(snap);
    let bytes = message.write_to_bytes().unwrap();
    assert!(matches!(member.step(&bytes), Err(MessageError::UnusableSnapshot(_))));
    assert!(matches!(member.step(&[0xff, 0x01, 0x02]), Err(MessageError::Undecodable)));
    let mut local = Message::default();
    local.set_msg_type(MessageType::MsgHup);
    local.to = 1;
    assert!(matches!(member.step(&local.write_to_bytes().unwrap()), Err(MessageError::Raft(_))));
    let mut rng = Rng(99);
    for _ in 0..2000 {
        let mut bytes = message.write_to_bytes().unwrap();
        for _ in 0..1 + rng.below(4) {
            let at = rng.below(bytes.len() as u64) as usize;
            bytes[at] = rng.next() as u8;
        }
        // Refused, taken, or (where raft-rs meets a broken invariant) the member stops: never a panic out of `step`.
        let _ = member.step(&bytes);
    }
}

impl Group {
    fn change_membership(&mut self, at: u64, change: MembershipChange) {
        let m = self.members.get_mut(&at).unwrap();
        let (_, out) = m.change_membership(change);
        self.carry_out(at, out);
    }
}
