//! The requests of a member's own clients: proposals and reads that wait for the log.

use raft::eraftpb::{ConfChange, ConfChangeType, Entry};
use raft::{RawNode, ReadState};

use curlewdeck_snapshot::tagged;

use super::Member;
use crate::command::Command;
use crate::output::MemberOutput;
use crate::raft_log::RaftLog;
use crate::request::{ProposalTag, RejectReason, RequestHandle, RequestOutcome};
use crate::value_kind;

/// A change of the group's voters, by the id of one member.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MembershipChange {
    /// Adds a voter.
    Add(u64),
    /// Removes a voter.
    Remove(u64),
}

/// A request that has not completed.
#[derive(Debug)]
pub(super) struct PendingRequest {
    pub(super) kind: RequestKind,
    /// The tick at which it completes as unknown.
    deadline: u64,
}

/// What a pending request waits for.
#[derive(Debug)]
pub(super) enum RequestKind {
    /// That its command is applied.
    Command,
    /// That its change of membership is applied.
    MembershipChange,
    /// That the member has applied the log up to the read index, once the leader has confirmed it.
    Read { key: String, read_index: Option<u64> },
}

impl Member {
    /// Proposes a command.
    pub fn propose(&mut self, command: &Command) -> (RequestHandle, MemberOutput) {
        let data = command.to_entry_data();
        self.submit(RequestKind::Command, |node, tag| node.propose(tag, data).is_ok())
    }

    /// Reads a key linearizably, by read index: completes once the leader has confirmed with a majority that it still
    /// leads, and this member has applied the log up to the commit index that the leader had then.
    pub fn read(&mut self, key: &str) -> (RequestHandle, MemberOutput) {
        let kind = RequestKind::Read { key: key.to_owned(), read_index: None };
        self.submit(kind, |node, tag| {
            node.read_index(tag);
            true
        })
    }

    /// Proposes a change of membership; only one can be pending in the group.
    pub fn change_membership(&mut self, change: MembershipChange) -> (RequestHandle, MemberOutput) {
        let (change_type, member) = match change {
            MembershipChange::Add(member) => (ConfChangeType::AddNode, member),
            MembershipChange::Remove(member) => (ConfChangeType::RemoveNode, member),
        };
        let mut conf_change = ConfChange { node_id: member, ..ConfChange::default() };
        conf_change.set_change_type(change_type);
        let propose = |node: &mut RawNode<RaftLog>, tag| node.propose_conf_change(tag, conf_change).is_ok();
        self.submit(RequestKind::MembershipChange, propose)
    }

    /// Hands a request to raft-rs under a new handle, or rejects it at once. `hand_over` returns whether raft-rs has
    /// taken it.
    fn submit(
        &mut self,
        kind: RequestKind,
        hand_over: impl FnOnce(&mut RawNode<RaftLog>, Vec<u8>) -> bool,
    ) -> (RequestHandle, MemberOutput) {
        let mut output = MemberOutput::default();
        let request = self.next_request;
        self.next_request = request.next();
        if let Some(reason) = self.reject_reason() {
            output.complete(request, RequestOutcome::Rejected(reason));
            return (request, output);
        }
        let tag = ProposalTag { member: self.id(), request };
        let tag = tagged::seal(value_kind::PROPOSAL_TAG, &tag);
        match self.with_raft(|node| hand_over(node, tag)) {
            Some(true) => {
                let deadline = self.ticks + self.limits.request_timeout_ticks;
                self.pending.insert(request, PendingRequest { kind, deadline });
            }
            Some(false) => output.complete(request, RequestOutcome::Rejected(RejectReason::NoLeader)),
            None => output.complete(request, RequestOutcome::Rejected(RejectReason::Stopped)),
        }
        self.process_ready(&mut output);
        (request, output)
    }

    fn reject_reason(&self) -> Option<RejectReason> {
        if self.stopped {
            Some(RejectReason::Stopped)
        } else if self.pending.len() >= self.limits.max_pending_requests {
            Some(RejectReason::TooManyPending)
        } else if self.leader().is_none() {
            Some(RejectReason::NoLeader)
        } else {
            None
        }
    }

    /// Completes the requests whose deadline has passed.
    pub(super) fn complete_overdue_requests(&mut self, output: &mut MemberOutput) {
        let ticks = self.ticks;
        self.pending.retain(|request, pending| {
            let is_overdue = pending.deadline <= ticks;
            if is_overdue {
                output.complete(*request, RequestOutcome::Unknown);
            }
            !is_overdue
        });
    }

    /// The pending request of this member that proposed an entry, if any; it is pending no longer.
    pub(super) fn take_proposer(&mut self, entry: &Entry) -> Option<(RequestHandle, RequestKind)> {
        let tag = tagged::open::<ProposalTag>(value_kind::PROPOSAL_TAG, entry.get_context()).ok()?;
        if tag.member != self.id() {
            return None;
        }
        self.pending.remove(&tag.request).map(|pending| (tag.request, pending.kind))
    }

    /// Takes note of the read indices that the leader has confirmed.
    pub(super) fn record_read_indices(&mut self, confirmed: Vec<ReadState>) {
        for state in confirmed {
            let tag = tagged::open::<ProposalTag>(value_kind::PROPOSAL_TAG, &state.request_ctx);
            let Some(pending) = tag.ok().and_then(|tag| self.pending.get_mut(&tag.request)) else { continue };
            if let RequestKind::Read { read_index, .. } = &mut pending.kind {
                *read_index = Some(state.index);
            }
        }
    }

    /// Completes the reads whose read index this member has applied.
    pub(super) fn complete_reads(&mut self, output: &mut MemberOutput) {
        let (map, applied) = (&self.map, self.map.applied_index());
        self.pending.retain(|request, pending| match &pending.kind {
            RequestKind::Read { key, read_index: Some(index) } if *index <= applied => {
                output.complete(*request, RequestOutcome::Read(map.get(key).cloned()));
                false
            }
            _ => true,
        });
    }
}
