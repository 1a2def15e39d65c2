//! One member of a group: a raft-rs `RawNode` over a [`RaftLog`], the [`ReplicatedMap`] that its log produces, and the
//! pending requests of the clients connected to it.
//!
//! A member does no I/O and reads no clock. The driver passes it ticks and messages from other members, and processes
//! each [`MemberOutput`] in order: it writes to disk, then sends, then completes requests. No message or completion of
//! a step leaves the process before the writes of that step are synced. A leader's own log therefore counts towards the
//! majority only once it is on disk, and a client learns that a command is committed only after a majority has it on
//! disk.

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
    /// Set once the member was removed from the group, or raft-rs has panicked.
    stopped: bool,
}

impl fmt::Debug for Member {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let applied = self.map.applied_index();
        f.debug_struct("Member").field("id", &self.id()).field("applied", &applied).finish()
    }
}

impl Member {
    /// Creates a founding member of a new group of `voters`, with an empty disk. The output holds the group's initial
    /// snapshot.
    ///
    /// # Errors
    /// The id is 0 or not among the voters, or the limits do not form a valid raft configuration.
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

    /// Creates a member that joins a running group. Its log is empty: it waits for a snapshot from the leader, after
    /// another member has proposed to add it.
    ///
    /// # Errors
    /// The id is 0, or the limits do not form a valid raft configuration.
    pub fn join(id: u64, limits: ReplicationLimits) -> Result<Self, StartError> {
        Self::new(id, RaftLog::default(), ReplicatedMap::default(), limits)
    }

    /// Restores a member from the log that the driver has read from disk.
    ///
    /// # Errors
    /// The snapshot is corrupt, in which case the driver quarantines the log and joins as a new member; or the limits
    /// do not form a valid raft configuration.
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

    /// Sets the number of this process start, which must be greater than at any earlier start of the member. It keeps
    /// request handles unique: the log may still hold entries proposed before the restart.
    #[must_use]
    pub fn with_start_number(mut self, start: u32) -> Self {
        self.next_request = RequestHandle::first_of_start(start);
        self
    }

    /// The member's raft id, which is never 0.
    pub fn id(&self) -> u64 {
        self.node.raft.id
    }

    /// The id of the current leader, or none while the member knows of no leader.
    pub fn leader(&self) -> Option<u64> {
        Some(self.node.raft.leader_id).filter(|&id| id != raft::INVALID_ID)
    }

    /// Whether this member is the leader of its current term.
    pub fn is_leader(&self) -> bool {
        self.node.raft.state == StateRole::Leader
    }

    /// The raft term that this member is in.
    pub fn term(&self) -> u64 {
        self.node.raft.term
    }

    /// The ids of the voters as of the last applied membership change.
    pub fn voters(&self) -> Vec<u64> {
        self.log().conf_state().voters.clone()
    }

    /// The replicated map as of this member's applied index, which may be behind the leader's.
    pub fn map(&self) -> &ReplicatedMap {
        &self.map
    }

    /// The in-memory log, including entries that are not committed.
    pub fn log(&self) -> &RaftLog {
        self.node.store()
    }

    /// Whether the member was removed from the group, or has stopped after an error. It then rejects all messages and
    /// requests.
    pub fn is_stopped(&self) -> bool {
        self.stopped
    }

    /// The number of requests that have not completed.
    pub fn pending_requests(&self) -> usize {
        self.pending.len()
    }

    /// Advances the member's clock by one tick: drives elections, heartbeats, retries and request timeouts.
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

    /// Processes a message from another member.
    ///
    /// # Errors
    /// The message was rejected. The member's state is unchanged then, unless raft-rs panicked, which stops the member.
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

    /// Creates a snapshot now, if any entry was applied since the last one.
    pub fn create_snapshot(&mut self) -> MemberOutput {
        let mut output = MemberOutput::default();
        if !self.stopped {
            self.create_snapshot_after(1, &mut output);
        }
        output
    }

    /// Reports that a member could not be reached: raft-rs reduces the messages that it sends to that member until it
    /// responds.
    pub fn report_unreachable(&mut self, member: u64) {
        self.with_raft(|node| node.report_unreachable(member));
    }

    /// Reports whether a snapshot was delivered to a member.
    pub fn report_snapshot(&mut self, member: u64, delivered: bool) {
        let status = if delivered { raft::SnapshotStatus::Finish } else { raft::SnapshotStatus::Failure };
        self.with_raft(|node| node.report_snapshot(member, status));
    }

    /// Calls raft-rs, which panics when it detects a violated invariant. A panic stops the member, which must rejoin as
    /// a new member; returns none then.
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

    /// Stops the member and discards its pending requests without completing them.
    fn stop(&mut self) {
        self.stopped = true;
        self.pending.clear();
    }
}

fn raft_config(id: u64, applied: u64, limits: &ReplicationLimits) -> Config {
    // With 0, raft-rs randomizes the timeout.
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
