//! A group of members over a simulated network with a simulated clock. A seed makes each run reproducible.
#![allow(dead_code, unreachable_pub)]

use std::collections::{BTreeMap, BTreeSet};

use curlewdeck_replication::{
    Command, CommandOutcome, Completion, DurableWrites, Member, MemberOutput, MembershipChange,
    OutboundMessage, RaftLog, ReplicationLimits, RequestHandle, RequestOutcome,
};
use curlewdeck_testkit::history::{self, Action, Operation};
use raft::eraftpb::{Entry, HardState, Snapshot};

/// Steps of the simulated clock in one tick of the members; a message takes 1 to `max_delay_steps` steps.
pub const STEPS_PER_TICK: u64 = 4;

pub struct Rng(pub u64);

impl Rng {
    pub fn next(&mut self) -> u64 {
        // xorshift64*: sufficient for injecting faults, and identical on every machine.
        self.0 ^= self.0 >> 12;
        self.0 ^= self.0 << 25;
        self.0 ^= self.0 >> 27;
        self.0.wrapping_mul(0x2545_f491_4f6c_dd1d)
    }
    pub fn below(&mut self, n: u64) -> u64 {
        self.next() % n.max(1)
    }
    pub fn chance(&mut self, per_mille: u64) -> bool {
        self.below(1000) < per_mille
    }
}

#[derive(Default, Clone)]
pub struct Disk {
    pub snapshot: Option<Snapshot>,
    pub hard_state: HardState,
    pub entries: BTreeMap<u64, Entry>,
}

impl Disk {
    pub fn write(&mut self, writes: &DurableWrites) {
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

    pub fn log(&self) -> RaftLog {
        RaftLog::recovered(
            self.snapshot.clone().unwrap_or_default(),
            self.hard_state.clone(),
            self.entries.values().cloned().collect(),
        )
    }
}

#[derive(Debug, Clone)]
pub enum Request {
    Put(String, Vec<u8>),
    CompareAndSet(String, u64),
    /// The key, the expected version, and the timeout in ticks until which it is proposed repeatedly.
    CompareAndSetUntilApplied(String, u64, u64),
    Read(String),
}

#[derive(Debug, Clone)]
pub struct Call {
    pub request: Request,
    pub at: u64,
    pub outcome: Option<(u64, RequestOutcome)>,
}

pub struct Group {
    pub seed: u64,
    pub rng: Rng,
    pub now: u64,
    pub limits: ReplicationLimits,
    pub members: BTreeMap<u64, Member>,
    pub disks: BTreeMap<u64, Disk>,
    /// Messages under way: the step at which each is delivered, its sender, its receiver and its bytes.
    pub in_flight: Vec<(u64, u64, u64, Vec<u8>)>,
    /// Sender and receiver of each link that drops all messages.
    pub blocked_links: BTreeSet<(u64, u64)>,
    pub paused: BTreeSet<u64>,
    pub drop_per_mille: u64,
    pub duplicate_per_mille: u64,
    pub max_delay_steps: u64,
    /// Requests by the member that received them and their handle.
    pub calls: BTreeMap<(u64, RequestHandle), Call>,
    pub rejected: usize,
}

impl Group {
    pub fn new(seed: u64, ids: &[u64], limits: ReplicationLimits) -> Self {
        let mut group = Self {
            seed,
            rng: Rng(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1),
            now: 0,
            limits,
            members: BTreeMap::new(),
            disks: BTreeMap::new(),
            in_flight: Vec::new(),
            blocked_links: BTreeSet::new(),
            paused: BTreeSet::new(),
            drop_per_mille: 0,
            duplicate_per_mille: 0,
            max_delay_steps: 3,
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

    /// Limits with a fixed election delay, different for each member and rotated by the seed. Random delays of raft-rs
    /// would not be reproducible, and repeated split votes would make a test flaky.
    pub fn limits_of(&self, id: u64) -> ReplicationLimits {
        let delay = (3 * id + self.seed) % 10;
        let fixed_election_delay_ticks = usize::try_from(delay).ok();
        ReplicationLimits { fixed_election_delay_ticks, ..self.limits.clone() }
    }

    pub fn carry_out(&mut self, id: u64, output: MemberOutput) {
        // In the driver's order: disk, then messages, then completions.
        self.disks.entry(id).or_default().write(&output.writes);
        for OutboundMessage { to, bytes, has_snapshot } in output.messages {
            // As in the driver: raft-rs waits for the report on a snapshot without a timeout.
            let lost = self.rng.chance(self.drop_per_mille) || self.blocked_links.contains(&(id, to));
            if has_snapshot {
                if let Some(member) = self.members.get_mut(&id) {
                    member.report_snapshot(to, !lost);
                }
            }
            if lost {
                continue;
            }
            let copies = if self.rng.chance(self.duplicate_per_mille) { 2 } else { 1 };
            for _ in 0..copies {
                let at = self.now + 1 + self.rng.below(self.max_delay_steps);
                self.in_flight.push((at, id, to, bytes.clone()));
            }
        }
        for Completion { request, outcome } in output.completions {
            if let Some(call) = self.calls.get_mut(&(id, request)) {
                assert!(call.outcome.is_none(), "{request:?} of member {id} completed twice");
                call.outcome = Some((self.now, outcome));
            }
        }
    }

    pub fn step(&mut self) {
        self.now += 1;
        let now = self.now;
        let (due, later): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.in_flight).into_iter().partition(|m| m.0 <= now);
        self.in_flight = later;
        for (_, from, to, bytes) in due {
            if self.blocked_links.contains(&(from, to)) || self.paused.contains(&to) {
                continue;
            }
            let Some(member) = self.members.get_mut(&to) else { continue };
            match member.step(&bytes) {
                Ok(out) => self.carry_out(to, out),
                Err(_) => self.rejected += 1,
            }
        }
        if now.is_multiple_of(STEPS_PER_TICK) {
            let ids: Vec<u64> = self.members.keys().copied().filter(|id| !self.paused.contains(id)).collect();
            for id in ids {
                let out = self.members.get_mut(&id).unwrap().tick();
                self.carry_out(id, out);
            }
        }
    }

    pub fn run(&mut self, ticks: u64) {
        for _ in 0..ticks * STEPS_PER_TICK {
            self.step();
        }
    }

    pub fn leader(&self) -> Option<u64> {
        self.members
            .iter()
            .filter(|(id, m)| m.is_leader() && !self.paused.contains(id))
            .max_by_key(|(_, m)| m.term())
            .map(|(&id, _)| id)
    }

    pub fn settle(&mut self) -> u64 {
        for _ in 0..200 {
            self.run(1);
            if let Some(leader) = self.leader() {
                return leader;
            }
        }
        panic!("no leader after 200 ticks");
    }

    /// Makes a request at a member, if it is running; returns its handle.
    pub fn submit(&mut self, member: u64, request: Request) -> Option<RequestHandle> {
        let m = self.members.get_mut(&member)?;
        let (handle, output) = match &request {
            Request::Put(key, value) => m.propose(&Command::Put { key: key.clone(), value: value.clone() }),
            Request::CompareAndSet(key, version) => m.propose(&Command::CompareAndSet {
                key: key.clone(),
                version: *version,
                value: Some(member.to_le_bytes().to_vec()),
            }),
            Request::CompareAndSetUntilApplied(key, version, timeout_ticks) => {
                let value = member.to_le_bytes().to_vec();
                m.compare_and_set_until_applied(key.clone(), *version, value, *timeout_ticks)
            }
            Request::Read(key) => m.read(key),
        };
        assert!(!self.calls.contains_key(&(member, handle)), "{handle:?} of member {member} used twice");
        self.calls.insert((member, handle), Call { request, at: self.now, outcome: None });
        self.carry_out(member, output);
        Some(handle)
    }

    /// The outcome of a request, or none while it is pending.
    pub fn outcome(&self, member: u64, request: RequestHandle) -> Option<&RequestOutcome> {
        self.calls[&(member, request)].outcome.as_ref().map(|(_, outcome)| outcome)
    }

    pub fn kill(&mut self, id: u64) {
        self.members.remove(&id);
        self.in_flight.retain(|m| m.2 != id);
    }

    pub fn restart(&mut self, id: u64) {
        let log = self.disks[&id].log();
        let start = u32::try_from(self.now).unwrap();
        self.members
            .insert(id, Member::recover(id, log, self.limits_of(id)).unwrap().with_start_number(start));
    }

    pub fn partition(&mut self, sides: &[&[u64]]) {
        self.blocked_links.clear();
        for a in sides {
            for b in sides {
                if a != b {
                    for &x in *a {
                        for &y in *b {
                            self.blocked_links.insert((x, y));
                        }
                    }
                }
            }
        }
    }

    /// The step and the value of each committed write by key. Each key is put once, so it has one value.
    pub fn committed(&self) -> BTreeMap<String, (u64, Vec<u8>)> {
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

    /// Checks that every voter holds every committed write, that all voters hold the same map, and that the history is
    /// linearizable. Returns the number of committed writes.
    pub fn check_committed(&self) -> usize {
        self.check_history();
        let committed = self.committed();
        let leader = self.leader().expect("a leader at the end");
        let voters: BTreeSet<u64> = self.members[&leader].voters().into_iter().collect();
        let reference = self.members[&leader].map();
        for id in &voters {
            let map = self.members[id].map();
            assert_eq!(map.applied_index(), reference.applied_index(), "member {id} has not caught up");
            assert_eq!(map, reference, "member {id} and the leader differ at the same index");
            for (key, (_, value)) in &committed {
                let held =
                    map.get(key).unwrap_or_else(|| panic!("member {id} lacks the committed key {key}"));
                assert_eq!(&held.value, value, "member {id} has another value for the committed key {key}");
            }
        }
        committed.len()
    }

    /// Checks the history of puts and reads for linearizability, key by key.
    pub fn check_history(&self) -> usize {
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
            let (Request::Put(key, _)
            | Request::Read(key)
            | Request::CompareAndSet(key, _)
            | Request::CompareAndSetUntilApplied(key, ..)) = &call.request;
            operations.push(Operation { key: key.clone(), action, called_at: call.at, completed_at });
        }
        history::check(&operations).unwrap_or_else(|v| panic!("{v}: {:?}", v.operations))
    }

    pub fn change_membership(&mut self, at: u64, change: MembershipChange) {
        let m = self.members.get_mut(&at).unwrap();
        let (_, out) = m.change_membership(change);
        self.carry_out(at, out);
    }

    pub fn count_outcomes(&self, f: impl Fn(&RequestOutcome) -> bool) -> usize {
        self.calls.values().filter(|c| c.outcome.as_ref().is_some_and(|(_, a)| f(a))).count()
    }
}

pub fn small_limits() -> ReplicationLimits {
    ReplicationLimits { snapshot_interval_entries: 32, ..ReplicationLimits::default() }
}

pub fn put(group: &mut Group, member: u64, n: usize) {
    group.submit(member, Request::Put(format!("k{n:05}"), format!("v{n}").into_bytes()));
}
