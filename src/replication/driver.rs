//! Runs a member in one thread that owns the member and its disk, and processes its output. All messages in the queue
//! are processed as a batch, so that many proposals share one sync: the driver writes the batch, then sends messages,
//! then completes requests.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::mpsc::{Receiver, RecvTimeoutError, SyncSender};
use std::time::{Duration, Instant};

use curlewdeck_replication::{
    Command, CommandOutcome, Completion, DurableWrites, Member, MemberOutput, MembershipChange,
    OutboundMessage, RequestHandle, RequestOutcome,
};

use super::disk::{DiskError, LogStorage};
use super::member_handle::{ClientRequest, MemberMessage};
use super::peers::Peers;

pub use super::status::{MemberStatus, Role, SharedStatus};

/// Maximum number of messages that are processed after the first one before their writes are synced.
const MAX_BATCH_MESSAGES: usize = 256;
/// Prefix of the keys that hold the address of each member; the member's id follows it.
const ADDRESS_KEY_PREFIX: &str = "member/";

/// A client that is waiting for the outcome of its request.
struct WaitingClient {
    reply: SyncSender<RequestOutcome>,
    /// The member to add once the request, which proposes that member's address, is committed.
    adds_member: Option<u64>,
}

impl WaitingClient {
    fn complete(self, outcome: RequestOutcome) {
        // Fails only if the client has timed out.
        let _ = self.reply.send(outcome);
    }
}

/// The thread that owns the member.
pub(super) struct Driver {
    member: Member,
    disk: LogStorage,
    peers: Peers,
    /// Addresses of members from the operator's file, which take precedence over those in the replicated map.
    configured_addresses: BTreeMap<u64, SocketAddr>,
    waiting_clients: HashMap<RequestHandle, WaitingClient>,
    /// Clients that are waiting for a snapshot to be written.
    waiting_for_snapshot: Vec<SyncSender<RequestOutcome>>,
    status: SharedStatus,
    tick: Duration,
}

impl Driver {
    pub(super) fn new(
        member: Member,
        disk: LogStorage,
        peers: Peers,
        configured_addresses: BTreeMap<u64, SocketAddr>,
        tick: Duration,
    ) -> Self {
        Self {
            status: SharedStatus::new(MemberStatus::of(&member)),
            member,
            disk,
            peers,
            configured_addresses,
            waiting_clients: HashMap::new(),
            waiting_for_snapshot: Vec::new(),
            tick,
        }
    }

    /// The status that this driver publishes.
    pub(super) fn status(&self) -> SharedStatus {
        self.status.clone()
    }

    /// Runs until the disk fails or all senders of messages are dropped.
    pub(super) fn run(&mut self, messages: &Receiver<MemberMessage>) {
        let mut next_tick = Instant::now() + self.tick;
        loop {
            let mut outputs = Vec::new();
            match messages.recv_timeout(next_tick.saturating_duration_since(Instant::now())) {
                Ok(message) => {
                    self.handle_message(message, &mut outputs);
                    for message in messages.try_iter().take(MAX_BATCH_MESSAGES) {
                        self.handle_message(message, &mut outputs);
                    }
                }
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return,
            }
            // One tick at most, even if the process was suspended: while it was, it could not have received any
            // heartbeats, so missed ticks must not count towards the election timeout.
            if Instant::now() >= next_tick {
                outputs.push(self.member.tick());
                next_tick = Instant::now() + self.tick;
            }
            if let Err(e) = self.process_outputs(outputs) {
                return self.stop_after(&e);
            }
            self.status.publish_changes(MemberStatus::of(&self.member));
        }
    }

    fn stop_after(&self, error: &DiskError) {
        log::error!(target: "group", member = self.member.id(), error:% = error; "member stopped: disk failed");
        let status = MemberStatus { role: Role::Stopped, leader: 0, ..MemberStatus::of(&self.member) };
        self.status.publish(status);
    }

    fn handle_message(&mut self, message: MemberMessage, outputs: &mut Vec<MemberOutput>) {
        match message {
            MemberMessage::Received(bytes) => match self.member.step(&bytes) {
                Ok(output) => outputs.push(output),
                Err(e) => log::debug!(
                    target: "group", member = self.member.id(), error:% = e;
                    "message from another member rejected"
                ),
            },
            MemberMessage::Request(request, reply) => self.handle_request(request, reply, outputs),
            MemberMessage::Unreachable(id) => self.member.report_unreachable(id),
            MemberMessage::SnapshotSent { to, delivered } => self.member.report_snapshot(to, delivered),
        }
    }

    fn handle_request(
        &mut self,
        request: ClientRequest,
        reply: SyncSender<RequestOutcome>,
        outputs: &mut Vec<MemberOutput>,
    ) {
        let mut adds_member = None;
        let (handle, output) = match request {
            ClientRequest::Propose(command) => self.member.propose(&command),
            ClientRequest::CompareAndSetUntilApplied { key, version, value, timeout } => {
                let timeout_ticks = self.ticks_in(timeout);
                self.member.compare_and_set_until_applied(key, version, value, timeout_ticks)
            }
            ClientRequest::Read(key) => self.member.read(&key),
            ClientRequest::AddMember { id, address } => {
                adds_member = Some(id);
                let (key, value) = (address_key(id), address.to_string().into_bytes());
                self.member.propose(&Command::Put { key, value })
            }
            ClientRequest::RemoveMember(id) => self.member.change_membership(MembershipChange::Remove(id)),
            ClientRequest::CreateSnapshot => {
                outputs.push(self.member.create_snapshot());
                return self.waiting_for_snapshot.push(reply);
            }
        };
        self.waiting_clients.insert(handle, WaitingClient { reply, adds_member });
        outputs.push(output);
    }

    /// The number of ticks in a duration, rounded up.
    fn ticks_in(&self, span: Duration) -> u64 {
        u64::try_from(span.as_nanos().div_ceil(self.tick.as_nanos())).unwrap_or(u64::MAX)
    }

    /// Writes, then sends messages, then completes requests. Processes the output of a completion in the same way.
    fn process_outputs(&mut self, mut outputs: Vec<MemberOutput>) -> Result<(), DiskError> {
        while !outputs.is_empty() {
            let mut writes = DurableWrites::default();
            for output in &mut outputs {
                writes.extend(std::mem::take(&mut output.writes));
            }
            self.disk.write(&writes)?;
            // Published before any completion, so that a client sees the effect of its request in the status.
            self.status.publish_changes(MemberStatus::of(&self.member));
            for reply in self.waiting_for_snapshot.drain(..) {
                // Fails only if the client has timed out.
                let _ = reply.send(RequestOutcome::Committed(CommandOutcome::NoEffect));
            }
            for message in outputs.iter_mut().flat_map(|output| std::mem::take(&mut output.messages)) {
                self.send(message);
            }
            let completions: Vec<Completion> =
                outputs.drain(..).flat_map(|output| output.completions).collect();
            for completion in completions {
                outputs.extend(self.complete(completion));
            }
        }
        if self.member.is_stopped() {
            // The outcome is unknown because the commands may be in the logs of other members.
            for (_, client) in self.waiting_clients.drain() {
                client.complete(RequestOutcome::Unknown);
            }
        }
        Ok(())
    }

    /// Completes a request. If the request committed the address of a new member, proposes to add that member instead
    /// of completing; by the time it is a voter, all other members know its address.
    fn complete(&mut self, completion: Completion) -> Option<MemberOutput> {
        let client = self.waiting_clients.remove(&completion.request)?;
        match (client.adds_member, &completion.outcome) {
            (Some(id), RequestOutcome::Committed(_)) => {
                let (handle, output) = self.member.change_membership(MembershipChange::Add(id));
                self.waiting_clients.insert(handle, WaitingClient { adds_member: None, ..client });
                Some(output)
            }
            _ => {
                client.complete(completion.outcome);
                None
            }
        }
    }

    fn send(&mut self, message: OutboundMessage) {
        let (to, has_snapshot) = (message.to, message.has_snapshot);
        let is_queued = self.address(to).is_some_and(|address| self.peers.send(address, message));
        if !is_queued {
            self.member.report_unreachable(to);
            if has_snapshot {
                self.member.report_snapshot(to, false);
            }
        }
    }

    /// The address at which a member listens, if it is known.
    fn address(&self, id: u64) -> Option<SocketAddr> {
        let replicated = || {
            let value = self.member.map().get(&address_key(id))?;
            std::str::from_utf8(&value.value).ok()?.parse().ok()
        };
        self.configured_addresses.get(&id).copied().or_else(replicated)
    }
}

fn address_key(id: u64) -> String {
    format!("{ADDRESS_KEY_PREFIX}{id}")
}
