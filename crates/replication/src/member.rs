//! One member of a group: a raft-rs `RawNode` over a [`RaftLog`], the [`ReplicatedMap`] that it builds, and the pending
//! requests of its own clients.
//!
//! A member does no I/O and reads no clock. The driver ticks it and hands it the bytes that other members sent, and
//! carries out each [`MemberOutput`] in its order: it writes to disk, then sends, then completes requests. So a client
//! learns that a command is committed only after a majority has it on disk: the leader counts itself only once the driver
//! has written what it returned, since nothing of a step leaves the process before its writes.

mod error;
mod ready;
mod requests;

use std::collections::BTreeMap;
use std::fmt;
use std::panic::{catch_unwind, AssertUnwindSafe};

use protobuf::Message as _;
use raft::eraftpb::Message;
use raft::{Config, RawNode, StateRole};
use slog::Drain;

use crate::limits::ReplicationLimits;
use crate::output::{DurableWrites, MemberOutput};
use crate::raft_log::RaftLog;
use crate::replicated_map::ReplicatedMap;
use crate::request::RequestHandle;

pub use error::{MessageError, StartError};
pub use requests::MembershipChange;
use requests::PendingRequest;

/// One member of a group.
pub struct Member {
    node: RawNode<RaftLog>,
    map: ReplicatedMap,
    limits: ReplicationLimits,
    pending: BTreeMap<RequestHandle, PendingRequest>,
    next_request: RequestHandle,
    /// Ticks since the start.
    ticks: u64,
    /// It was removed from the group, or raft-rs has panicked.
    stopped: bool,
}

impl fmt::Debug for Member {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let applied = self.map.applied_index();
        f.debug_struct("Member").field("id", &self.id()).field("applied", &applied).finish()
    }
}

impl Member {
    /// A founding member of a new group of `voters`, with nothing on disk yet. The output holds the snapshot from which
    /// the group begins.
    ///
    /// # Errors
    /// The id is 0 or not among the voters, or the limits make no valid raft configuration.
    pub fn bootstrap(
        id: u64,
        voters: &[u64],
        limits: ReplicationLimits,
    ) -> Result<(Self, MemberOutput), StartError> {
        if !voters.contains(&id) {
            return Err(StartError::NotAFounder { id, founders: voters.to_vec() });
        }
        let log = RaftLog::bootstrap(voters, ReplicatedMap::default().to_snapshot_data());
        let writes = DurableWrites {
            snapshot: Some(log.last_snapshot().clone()),
            hard_state: Some(log.hard_state().clone()),
            ..DurableWrites::default()
        };
        let member = Self::new(id, log, ReplicatedMap::default(), limits)?;
        Ok((member, MemberOutput { writes, ..MemberOutput::default() }))
    }

    /// A member that joins a running group. It has no log, and waits for a snapshot from the leader once another member
    /// has proposed to add it.
    ///
    /// # Errors
    /// The id is 0, or the limits make no valid raft configuration.
    pub fn join(id: u64, limits: ReplicationLimits) -> Result<Self, StartError> {
        Self::new(id, RaftLog::default(), ReplicatedMap::default(), limits)
    }

    /// A member that starts again with the log that the driver has found on disk.
    ///
    /// # Errors
    /// The snapshot is torn or changed, in which case the driver quarantines the log and joins as a new member; or the
    /// limits make no valid raft configuration.
    pub fn recover(id: u64, log: RaftLog, limits: ReplicationLimits) -> Result<Self, StartError> {
        let map = if log.snapshot_index() == 0 {
            ReplicatedMap::default()
        } else {
            ReplicatedMap::from_snapshot_data(log.last_snapshot().get_data())
                .map_err(StartError::UnusableSnapshot)?
        };
        Self::new(id, log, map, limits)
    }

    fn new(id: u64, log: RaftLog, map: ReplicatedMap, limits: ReplicationLimits) -> Result<Self, StartError> {
        let config = raft_config(id, log.snapshot_index(), &limits);
        config.validate().map_err(StartError::Raft)?;
        let logger = slog::Logger::root(slog_stdlog::StdLog.fuse(), slog::o!("member" => id));
        let node = RawNode::new(&config, log, &logger).map_err(StartError::Raft)?;
        Ok(Self {
            node,
            map,
            limits,
            pending: BTreeMap::new(),
            next_request: RequestHandle::first_of_start(0),
            ticks: 0,
            stopped: false,
        })
    }

    /// Gives the member the number of its start, which grows from start to start: entries of earlier starts may still be
    /// in the log, and its requests must differ from theirs.
    #[must_use]
    pub fn with_start_number(mut self, start: u32) -> Self {
        self.next_request = RequestHandle::first_of_start(start);
        self
    }

    /// Its id.
    pub fn id(&self) -> u64 {
        self.node.raft.id
    }

    /// The leader that it knows, if any.
    pub fn leader(&self) -> Option<u64> {
        Some(self.node.raft.leader_id).filter(|&id| id != raft::INVALID_ID)
    }

    /// Whether it is the leader.
    pub fn is_leader(&self) -> bool {
        self.node.raft.state == StateRole::Leader
    }

    /// Its term.
    pub fn term(&self) -> u64 {
        self.node.raft.term
    }

    /// The voters as of the last change of membership applied.
    pub fn voters(&self) -> Vec<u64> {
        self.log().conf_state().voters.clone()
    }

    /// The replicated map as this member has applied it.
    pub fn map(&self) -> &ReplicatedMap {
        &self.map
    }

    /// Its log in memory.
    pub fn log(&self) -> &RaftLog {
        self.node.store()
    }

    /// Whether it was removed from the group, or has stopped after an error.
    pub fn is_stopped(&self) -> bool {
        self.stopped
    }

    /// How many requests are pending.
    pub fn pending_requests(&self) -> usize {
        self.pending.len()
    }

    /// Takes note that one tick has passed.
    pub fn tick(&mut self) -> MemberOutput {
        let mut output = MemberOutput::default();
        if self.stopped {
            return output;
        }
        self.ticks += 1;
        self.with_raft(|node| {
            node.tick();
        });
        self.complete_overdue_requests(&mut output);
        self.retry_requests();
        self.process_ready(&mut output);
        output
    }

    /// Takes a message from another member.
    ///
    /// # Errors
    /// Why the message was not taken. Nothing has changed then, unless raft-rs panicked, which stops the member.
    pub fn step(&mut self, bytes: &[u8]) -> Result<MemberOutput, MessageError> {
        if self.stopped {
            return Err(MessageError::Stopped);
        }
        let message = Message::parse_from_bytes(bytes).map_err(|_| MessageError::Undecodable)?;
        if message.to != self.id() {
            return Err(MessageError::WrongReceiver(message.to));
        }
        if message.has_snapshot() && !message.get_snapshot().get_data().is_empty() {
            ReplicatedMap::from_snapshot_data(message.get_snapshot().get_data())
                .map_err(MessageError::UnusableSnapshot)?;
        }
        let stepped = self.with_raft(|node| node.step(message)).ok_or(MessageError::Stopped)?;
        stepped.map_err(MessageError::Raft)?;
        let mut output = MemberOutput::default();
        self.process_ready(&mut output);
        Ok(output)
    }

    /// Makes a snapshot now, if anything was applied since the last one.
    pub fn create_snapshot(&mut self) -> MemberOutput {
        let mut output = MemberOutput::default();
        if !self.stopped {
            self.create_snapshot_after(1, &mut output);
        }
        output
    }

    /// Reports that a member could not be reached: raft-rs sends it less until it answers.
    pub fn report_unreachable(&mut self, member: u64) {
        self.with_raft(|node| node.report_unreachable(member));
    }

    /// Reports whether a snapshot was delivered to a member.
    pub fn report_snapshot(&mut self, member: u64, delivered: bool) {
        let status = if delivered { raft::SnapshotStatus::Finish } else { raft::SnapshotStatus::Failure };
        self.with_raft(|node| node.report_snapshot(member, status));
    }

    /// Calls raft-rs, which panics on what it takes for a broken invariant. A panic stops the member, which must come back
    /// as a new one; returns none then.
    fn with_raft<T>(&mut self, call: impl FnOnce(&mut RawNode<RaftLog>) -> T) -> Option<T> {
        if self.stopped {
            return None;
        }
        match catch_unwind(AssertUnwindSafe(|| call(&mut self.node))) {
            Ok(value) => Some(value),
            Err(_) => {
                log::error!(target: "group", member = self.id(); "member stopped: raft panicked");
                self.stop();
                None
            }
        }
    }

    /// Stops the member: pending requests are not completed by it any more.
    fn stop(&mut self) {
        self.stopped = true;
        self.pending.clear();
    }
}

fn raft_config(id: u64, applied: u64, limits: &ReplicationLimits) -> Config {
    // 0 makes raft-rs draw the timeout at random.
    let fixed_timeout =
        limits.fixed_election_delay_ticks.map_or(0, |delay| limits.election_timeout_ticks + delay);
    Config {
        id,
        election_tick: limits.election_timeout_ticks,
        min_election_tick: fixed_timeout,
        max_election_tick: if fixed_timeout > 0 { fixed_timeout + 1 } else { 0 },
        heartbeat_tick: limits.heartbeat_interval_ticks,
        applied,
        max_size_per_msg: limits.max_message_bytes,
        max_inflight_msgs: limits.max_inflight_messages,
        max_uncommitted_size: limits.max_message_bytes.saturating_mul(limits.max_inflight_messages as u64),
        check_quorum: true,
        pre_vote: true,
        ..Config::default()
    }
}
