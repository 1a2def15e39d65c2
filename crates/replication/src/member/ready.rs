//! Processing of raft-rs's ready states: messages to send, records to write, committed entries to apply, and snapshots
//! to install.

use protobuf::Message as _;
use raft::eraftpb::{ConfChange, ConfChangeType, Entry, EntryType, Message, MessageType, Snapshot};
use raft::{LightReady, Ready, Storage};

use super::requests::RequestKind;
use super::Member;
use crate::command::{Command, CommandOutcome};
use crate::output::{MemberOutput, OutboundMessage};
use crate::replicated_map::ReplicatedMap;
use crate::request::{RejectReason, RequestHandle, RequestOutcome};

/// Ready states processed in one step at most, so that a step always terminates.
const MAX_READY_ROUNDS: usize = 64;

impl Member {
    /// Processes the ready states of raft-rs, and then completes the reads whose read index is applied.
    pub(super) fn process_ready(&mut self, output: &mut MemberOutput) {
        let mut rounds = 0;
        while !self.stopped && self.node.has_ready() && rounds < MAX_READY_ROUNDS {
            rounds += 1;
            if self.process_ready_round(output).is_none() {
                return;
            }
        }
        if self.log().take_snapshot_request() {
            self.create_snapshot_after(1, output);
        }
        self.complete_reads(output);
    }

    /// Processes one ready state in the order that raft-rs requires. Returns none if raft-rs panicked.
    fn process_ready_round(&mut self, output: &mut MemberOutput) -> Option<()> {
        let mut ready = self.with_raft(|node| node.ready())?;
        output.messages.extend(encode_messages(ready.take_messages()));
        if !ready.snapshot().is_empty() {
            self.install_snapshot(ready.snapshot().clone(), output);
        }
        self.apply_entries(ready.take_committed_entries(), output);
        self.append_to_log(&ready, output);
        self.record_read_indices(ready.take_read_states());
        output.messages.extend(encode_messages(ready.take_persisted_messages()));
        let light_ready = self.with_raft(|node| node.advance(ready))?;
        self.process_light_ready(light_ready, output);
        self.with_raft(|node| node.advance_apply());
        self.create_snapshot_after(self.limits.snapshot_interval_entries, output);
        Some(())
    }

    fn append_to_log(&mut self, ready: &Ready, output: &mut MemberOutput) {
        if !ready.entries().is_empty() {
            self.node.mut_store().append(ready.entries());
            output.writes.entries.extend(ready.entries().iter().cloned());
        }
        if let Some(hard_state) = ready.hs() {
            self.node.mut_store().set_hard_state(hard_state.clone());
            output.writes.hard_state = Some(hard_state.clone());
        }
    }

    fn process_light_ready(&mut self, mut light_ready: LightReady, output: &mut MemberOutput) {
        if let Some(commit) = light_ready.commit_index() {
            self.node.mut_store().set_commit(commit);
            output.writes.hard_state = Some(self.log().hard_state().clone());
        }
        output.messages.extend(encode_messages(light_ready.take_messages()));
        self.apply_entries(light_ready.take_committed_entries(), output);
    }

    /// Replaces the map and the log with a snapshot from the leader.
    fn install_snapshot(&mut self, snapshot: Snapshot, output: &mut MemberOutput) {
        match ReplicatedMap::from_snapshot_data(snapshot.get_data()) {
            Ok(map) => self.map = map,
            // Not expected: `step` verifies the snapshot in a message before raft-rs sees it.
            Err(e) => {
                log::error!(target: "group", member = self.id(), error:% = e; "snapshot not applied")
            }
        }
        self.node.mut_store().install_snapshot(snapshot.clone());
        output.writes.snapshot = Some(snapshot);
        output.writes.replaces_log = true;
    }

    fn apply_entries(&mut self, entries: Vec<Entry>, output: &mut MemberOutput) {
        for entry in entries {
            if self.stopped {
                return;
            }
            let proposer = self.take_proposer(&entry);
            match entry.get_entry_type() {
                EntryType::EntryNormal if entry.get_data().is_empty() => {
                    self.apply_empty_entry(&entry, proposer, output);
                }
                EntryType::EntryNormal => self.apply_command(&entry, proposer, output),
                EntryType::EntryConfChange => self.apply_membership_change(&entry, proposer, output),
                EntryType::EntryConfChangeV2 => self.map.skip(entry.index),
            }
        }
    }

    /// Applies an empty entry. A new leader begins its term with one, and raft-rs substitutes one for a membership
    /// change that is proposed while another membership change is pending.
    fn apply_empty_entry(
        &mut self,
        entry: &Entry,
        proposer: Option<(RequestHandle, RequestKind)>,
        output: &mut MemberOutput,
    ) {
        self.map.skip(entry.index);
        if let Some((request, kind)) = proposer {
            let outcome = match kind {
                RequestKind::MembershipChange => RequestOutcome::Rejected(RejectReason::TooManyPending),
                _ => RequestOutcome::Committed(CommandOutcome::NoEffect),
            };
            output.complete(request, outcome);
        }
    }

    fn apply_command(
        &mut self,
        entry: &Entry,
        proposer: Option<(RequestHandle, RequestKind)>,
        output: &mut MemberOutput,
    ) {
        let outcome = match Command::from_entry_data(entry.get_data()) {
            Ok(command) => self.map.apply(entry.index, &command, &self.limits),
            // The checksum was verified on every read from disk, so this entry was written by a newer version.
            Err(e) => {
                log::error!(
                    target: "group", member = self.id(), index = entry.index, error:% = e;
                    "entry not applied"
                );
                self.map.skip(entry.index);
                CommandOutcome::NoEffect
            }
        };
        if let Some((request, _)) = proposer {
            output.complete(request, RequestOutcome::Committed(outcome));
        }
    }

    fn apply_membership_change(
        &mut self,
        entry: &Entry,
        proposer: Option<(RequestHandle, RequestKind)>,
        output: &mut MemberOutput,
    ) {
        self.map.skip(entry.index);
        let Ok(change) = ConfChange::parse_from_bytes(entry.get_data()) else { return };
        let Some(applied) = self.with_raft(|node| node.apply_conf_change(&change)) else { return };
        match applied {
            Ok(conf_state) => {
                log::info!(
                    target: "group", member = self.id(), voters:? = conf_state.voters, index = entry.index;
                    "membership changed"
                );
                self.node.mut_store().set_conf_state(conf_state);
                if change.get_change_type() == ConfChangeType::RemoveNode && change.node_id == self.id() {
                    self.stop();
                }
            }
            Err(e) => log::warn!(
                target: "group", member = self.id(), index = entry.index, error:% = e;
                "membership change not applied"
            ),
        }
        if let Some((request, _)) = proposer {
            output.complete(request, RequestOutcome::Committed(CommandOutcome::NoEffect));
        }
    }

    /// Creates a snapshot and compacts the log if at least `min_entries` were applied since the last snapshot.
    pub(super) fn create_snapshot_after(&mut self, min_entries: u64, output: &mut MemberOutput) {
        let applied = self.map.applied_index();
        let log = self.log();
        if applied < log.snapshot_index() + min_entries {
            return;
        }
        let Ok(term) = log.term(applied) else { return };
        let mut snapshot = Snapshot::default();
        snapshot.set_data(self.map.to_snapshot_data().into());
        let metadata = snapshot.mut_metadata();
        metadata.index = applied;
        metadata.term = term;
        metadata.set_conf_state(log.conf_state().clone());
        log::info!(target: "group", member = self.id(), index = applied, term = term; "snapshot created");
        self.node.mut_store().compact(snapshot.clone());
        output.writes.snapshot = Some(snapshot);
    }
}

fn encode_messages(messages: Vec<Message>) -> impl Iterator<Item = OutboundMessage> {
    messages.into_iter().filter_map(|message| {
        let has_snapshot = message.get_msg_type() == MessageType::MsgSnapshot;
        Some(OutboundMessage { to: message.to, bytes: message.write_to_bytes().ok()?, has_snapshot })
    })
}
