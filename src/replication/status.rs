//! The status of a member, published for readers that must not wait for the driver thread.

use std::sync::{Arc, Mutex};

use curlewdeck_replication::Member;

use crate::runtime::lock;

/// The role of a member in its group.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Role {
    /// The member does not know a leader.
    #[default]
    NoLeader,
    /// The member knows a leader and follows it.
    Follower,
    /// The member leads the group in its term.
    Leader,
    /// The member was removed from the group, or has stopped after an error.
    Stopped,
}

impl Role {
    /// The role's name in the status text.
    pub fn word(self) -> &'static str {
        match self {
            Self::NoLeader => "without a leader",
            Self::Follower => "follower",
            Self::Leader => "leader",
            Self::Stopped => "gone",
        }
    }
}

/// The status of a member at one moment.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct MemberStatus {
    /// The member's raft id.
    pub id: u64,
    /// The role in the current term.
    pub role: Role,
    /// The current raft term.
    pub term: u64,
    /// The id of the member for which this one has voted in the current term; 0 if none.
    pub vote: u64,
    /// The id of the known leader; 0 if none.
    pub leader: u64,
    /// The ids of the voters as of the last applied membership change.
    pub voters: Vec<u64>,
    /// The index of the last applied entry.
    pub applied: u64,
    /// The index of the last entry that the snapshot covers.
    pub snapshot: u64,
    /// The number of log entries after the snapshot.
    pub log: u64,
    /// The number of keys in the replicated map.
    pub keys: u64,
    /// The number of pending requests at this member.
    pub pending_requests: u64,
}

impl MemberStatus {
    pub(super) fn of(member: &Member) -> Self {
        let (log, map) = (member.log(), member.map());
        let role = match (member.is_stopped(), member.is_leader(), member.leader()) {
            (true, ..) => Role::Stopped,
            (_, true, _) => Role::Leader,
            (_, _, Some(_)) => Role::Follower,
            _ => Role::NoLeader,
        };
        Self {
            id: member.id(),
            role,
            term: member.term(),
            vote: log.hard_state().vote,
            leader: member.leader().unwrap_or(0),
            voters: member.voters(),
            applied: map.applied_index(),
            snapshot: log.snapshot_index(),
            log: log.entries_after_snapshot().len() as u64,
            keys: map.len() as u64,
            pending_requests: member.pending_requests() as u64,
        }
    }

    /// Formats the status as text, with one `NAME=VALUE` per line.
    pub fn text(&self) -> String {
        let voters: Vec<String> = self.voters.iter().map(u64::to_string).collect();
        let Self { id, term, leader, applied, snapshot, log, keys, pending_requests, .. } = self;
        format!(
            "id={id}\nrole={}\nterm={term}\nleader={leader}\nvoters={}\napplied={applied}\nsnapshot={snapshot}\nlog={log}\nkeys={keys}\nwaiting={pending_requests}\n",
            self.role.word(),
            voters.join(",")
        )
    }
}

/// The latest status of a member; clones share it.
#[derive(Debug, Clone)]
pub struct SharedStatus(Arc<Mutex<Arc<MemberStatus>>>);

impl SharedStatus {
    pub(super) fn new(status: MemberStatus) -> Self {
        Self(Arc::new(Mutex::new(Arc::new(status))))
    }

    /// The most recently published status.
    pub fn latest(&self) -> Arc<MemberStatus> {
        lock(&self.0).clone()
    }

    /// Publishes the status if it has changed, and logs changes of the term, the leader, the vote, the membership and
    /// the snapshot.
    pub(super) fn publish_changes(&self, status: MemberStatus) {
        let before = self.latest();
        if status != *before {
            log_changes(&before, &status);
            self.publish(status);
        }
    }

    pub(super) fn publish(&self, status: MemberStatus) {
        *lock(&self.0) = Arc::new(status);
    }
}

fn log_changes(before: &MemberStatus, now: &MemberStatus) {
    let member = now.id;
    if (now.term, now.leader) != (before.term, before.leader) {
        log::info!(target: "group", member, term = now.term, leader = now.leader; "term or leader changed");
    }
    if now.vote != before.vote && now.vote != 0 {
        log::info!(target: "group", member, term = now.term, candidate = now.vote; "vote granted");
    }
    if now.voters != before.voters {
        log::info!(target: "group", member, voters:? = now.voters; "membership applied");
    }
    if now.snapshot != before.snapshot {
        log::info!(target: "group", member, index = now.snapshot; "snapshot stored");
    }
}
