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
    /// The tick at which it is handed to raft-rs again; none if that is done once only.
    retry_at: Option<u64>,
}

/// What a pending request waits for.
#[derive(Debug)]
pub(super) enum RequestKind {
    /// That its command is applied.
    Command,
    /// The same; the command is proposed again and again, always with the tag of its request.
    RetriedCommand { entry_data: Vec<u8> },
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

    /// Sets a key if it is still at `version`, and proposes that again until it is applied, over changes of the leader and
    /// lost messages; completes as unknown if it is not applied within `timeout_ticks`.
    ///
    /// The outcome is that of the first proposal that this member applies. Once one has written the key, all later ones
    /// find another version and change nothing. Three things follow from that:
    /// - The key must not be removed meanwhile, which would take its version back to 0.
    /// - A member that catches up by a snapshot may not see the proposal that has written; it then completes with
    ///   [`VersionMismatch`](crate::CommandOutcome::VersionMismatch) although the key holds this value.
    /// - After [`Rejected`](crate::CommandOutcome::Rejected), or as unknown, another proposal may still take effect.
    pub fn compare_and_set_until_applied(
        &mut self,
        key: String,
        version: u64,
        value: Vec<u8>,
        timeout_ticks: u64,
    ) -> (RequestHandle, MemberOutput) {
        let mut output = MemberOutput::default();
        let request = self.take_handle();
        match self.reject_reason() {
            // It waits for a leader.
            None | Some(RejectReason::NoLeader) => {}
            Some(reason) => {
                output.complete(request, RequestOutcome::Rejected(reason));
                return (request, output);
            }
        }
        let command = Command::CompareAndSet { key, version, value: Some(value) };
        let kind = RequestKind::RetriedCommand { entry_data: command.to_entry_data() };
        let deadline = self.ticks.saturating_add(timeout_ticks);
        self.pending.insert(request, PendingRequest { kind, deadline, retry_at: Some(self.ticks) });
        self.retry_requests();
        self.process_ready(&mut output);
        (request, output)
    }

    /// Hands the requests that are due to raft-rs again, if a leader is known.
    pub(super) fn retry_requests(&mut self) {
        if self.leader().is_none() {
            return;
        }
        let is_due = |pending: &PendingRequest| pending.retry_at.is_some_and(|at| at <= self.ticks);
        let due: Vec<RequestHandle> =
            self.pending.iter().filter(|(_, pending)| is_due(pending)).map(|(request, _)| *request).collect();
        for request in due {
            self.retry(request);
        }
    }

    /// Hands a pending request to raft-rs again, under the same tag.
    fn retry(&mut self, request: RequestHandle) {
        let tag = self.proposal_tag(request);
        let Some(pending) = self.pending.get(&request) else { return };
        let retry_at = match &pending.kind {
            RequestKind::RetriedCommand { entry_data } => {
                let entry_data = entry_data.clone();
                let is_proposed = self.with_raft(|node| node.propose(tag, entry_data).is_ok());
                let interval =
                    if is_proposed == Some(true) { self.limits.election_timeout_ticks as u64 } else { 1 };
                Some(self.ticks + interval)
            }
            RequestKind::Read { read_index: None, .. } => {
                self.with_raft(|node| node.read_index(tag));
                Some(self.ticks + self.limits.read_retry_ticks)
            }
            // Its read index is confirmed.
            RequestKind::Read { .. } => None,
            // Another one might take effect beside the first.
            RequestKind::Command | RequestKind::MembershipChange => None,
        };
        if let Some(pending) = self.pending.get_mut(&request) {
            pending.retry_at = retry_at;
        }
    }

    /// Reads a key linearizably, by read index: completes once the leader has confirmed with a majority that it still
    /// leads, and this member has applied the log up to the commit index that the leader had then. The leader is asked
    /// again until then: raft-rs drops what a new leader is asked before it has committed an entry of its term.
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
        let request = self.take_handle();
        if let Some(reason) = self.reject_reason() {
            output.complete(request, RequestOutcome::Rejected(reason));
            return (request, output);
        }
        let tag = self.proposal_tag(request);
        match self.with_raft(|node| hand_over(node, tag)) {
            Some(true) => {
                let deadline = self.ticks + self.limits.request_timeout_ticks;
                let is_read = matches!(kind, RequestKind::Read { .. });
                let retry_at = is_read.then_some(self.ticks + self.limits.read_retry_ticks);
                self.pending.insert(request, PendingRequest { kind, deadline, retry_at });
            }
            Some(false) => output.complete(request, RequestOutcome::Rejected(RejectReason::NoLeader)),
            None => output.complete(request, RequestOutcome::Rejected(RejectReason::Stopped)),
        }
        self.process_ready(&mut output);
        (request, output)
    }

    /// The handle of the next request.
    fn take_handle(&mut self) -> RequestHandle {
        let request = self.next_request;
        self.next_request = request.next();
        request
    }

    /// What stands beside a request in the log.
    fn proposal_tag(&self, request: RequestHandle) -> Vec<u8> {
        tagged::seal(value_kind::PROPOSAL_TAG, &ProposalTag { member: self.id(), request })
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
