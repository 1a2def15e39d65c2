//! Client requests of a member: proposals and reads, which complete once the log is applied far enough.

use raft::eraftpb::{ConfChange, ConfChangeType, Entry};
use raft::{RawNode, ReadState};

use curlewdeck_snapshot::tagged;

use super::Member;
use crate::command::Command;
use crate::output::MemberOutput;
use crate::raft_log::RaftLog;
use crate::request::{ProposalTag, RejectReason, RequestHandle, RequestOutcome};
use crate::value_kind;

/// A change of the group's voters; holds the id of the member that is added or removed.
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
    /// The tick at which the request completes as unknown.
    deadline: u64,
    /// The tick at which the request is passed to raft-rs again; none if it is not retried.
    retry_at: Option<u64>,
}

/// The kind of a pending request, which determines when it completes.
#[derive(Debug)]
pub(super) enum RequestKind {
    /// Completes once its command is applied.
    Command,
    /// Completes once its command is applied. The command is proposed repeatedly, each time with the same tag.
    RetriedCommand { entry_data: Vec<u8> },
    /// Completes once its membership change is applied.
    MembershipChange,
    /// Completes once the leader has confirmed the read index and this member has applied the log up to it.
    Read { key: String, read_index: Option<u64> },
}

impl Member {
    /// Proposes a command once: if the proposal is lost, the request completes as unknown after its timeout.
    pub fn propose(&mut self, command: &Command) -> (RequestHandle, MemberOutput) {
        let data = command.to_entry_data();
        self.submit(RequestKind::Command, |node, tag| node.propose(tag, data).is_ok())
    }

    /// Sets a key if it is still at `version`, and repeats the proposal until it is applied, despite leader changes and
    /// lost messages; completes as unknown if it is not applied within `timeout_ticks`.
    ///
    /// The outcome is that of the first proposal that this member applies. Once one proposal has written the key, all
    /// later ones fail the version check and change nothing. This has three consequences:
    /// - The key must not be removed while the request is pending, since removal resets its version to 0.
    /// - A member that catches up from a snapshot may never apply the entry that wrote the key. The request then
    ///   completes with [`VersionMismatch`](crate::CommandOutcome::VersionMismatch) although the key holds this value.
    /// - After [`Rejected`](crate::CommandOutcome::Rejected) or [`Unknown`](RequestOutcome::Unknown), another
    ///   proposal of the same request may still take effect.
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
            // Without a leader the request stays pending, and is proposed once there is one.
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

    /// Passes the requests whose retry is due to raft-rs again, if a leader is known.
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

    /// Passes a pending request to raft-rs again with its original tag.
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
            // The read index is confirmed; the read completes once this member has applied the log up to it.
            RequestKind::Read { .. } => None,
            // Not retried: both proposals might take effect.
            RequestKind::Command | RequestKind::MembershipChange => None,
        };
        if let Some(pending) = self.pending.get_mut(&request) {
            pending.retry_at = retry_at;
        }
    }

    /// Reads a key linearizably, by read index: completes once the leader has confirmed with a majority that it is
    /// still the leader, and this member has applied the log up to the commit index that the leader had at that time.
    /// The read index request is repeated until the leader confirms it, because raft-rs drops requests to a leader that
    /// has not committed an entry of its own term yet.
    pub fn read(&mut self, key: &str) -> (RequestHandle, MemberOutput) {
        let kind = RequestKind::Read { key: key.to_owned(), read_index: None };
        self.submit(kind, |node, tag| {
            node.read_index(tag);
            true
        })
    }

    /// Proposes a membership change. Only one can be pending in the group; another one is rejected.
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

    /// Passes a request to raft-rs under a new handle, or rejects it at once. `start` returns whether raft-rs accepted
    /// it.
    fn submit(
        &mut self,
        kind: RequestKind,
        start: impl FnOnce(&mut RawNode<RaftLog>, Vec<u8>) -> bool,
    ) -> (RequestHandle, MemberOutput) {
        let mut output = MemberOutput::default();
        let request = self.take_handle();
        if let Some(reason) = self.reject_reason() {
            output.complete(request, RequestOutcome::Rejected(reason));
            return (request, output);
        }
        let tag = self.proposal_tag(request);
        match self.with_raft(|node| start(node, tag)) {
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

    fn take_handle(&mut self) -> RequestHandle {
        let request = self.next_request;
        self.next_request = request.next();
        request
    }

    /// The context of a request's log entry, by which this member recognises its own proposal.
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

    /// Completes the requests whose deadline has passed as unknown.
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

    /// Removes and returns the pending request of this member that proposed an entry, if there is one.
    pub(super) fn take_proposer(&mut self, entry: &Entry) -> Option<(RequestHandle, RequestKind)> {
        let tag = tagged::open::<ProposalTag>(value_kind::PROPOSAL_TAG, entry.get_context()).ok()?;
        if tag.member != self.id() {
            return None;
        }
        self.pending.remove(&tag.request).map(|pending| (tag.request, pending.kind))
    }

    /// Records the read indices that the leader has confirmed.
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
