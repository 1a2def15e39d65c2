//! The state of a coordinator as a key of the group.

use std::time::{Duration, Instant};

use curlewdeck_replication::{Command, CommandOutcome, RejectReason, RequestOutcome};

use super::member_handle::{ClientRequest, MemberHandle};
use crate::snapshot_store::{ReplicaError, ReplicaValue, SnapshotReplica};

/// How long a start waits until the group can be read. A member that came back with an empty folder must be added first.
const START_TIMEOUT: Duration = Duration::from_secs(60);
const RETRY_INTERVAL: Duration = Duration::from_millis(200);

/// A replica of a state that is a key of the group.
#[derive(Debug)]
pub(super) struct ReplicatedSnapshot {
    member: MemberHandle,
    request_timeout: Duration,
    key: String,
}

impl ReplicatedSnapshot {
    pub(super) fn new(member: MemberHandle, request_timeout: Duration, name: &str) -> Self {
        Self { member, request_timeout, key: format!("state/{name}") }
    }
}

impl SnapshotReplica for ReplicatedSnapshot {
    fn read(&mut self) -> Result<ReplicaValue, ReplicaError> {
        let started = Instant::now();
        loop {
            match self.member.request(ClientRequest::Read(self.key.clone()), self.request_timeout) {
                RequestOutcome::Read(Some(value)) => {
                    return Ok(ReplicaValue { bytes: Some(value.value), version: value.version })
                }
                RequestOutcome::Read(None) => return Ok(ReplicaValue { bytes: None, version: 0 }),
                _ if started.elapsed() < START_TIMEOUT => std::thread::sleep(RETRY_INTERVAL),
                outcome => return Err(ReplicaError::Unreadable(describe(&outcome))),
            }
        }
    }

    fn write(&mut self, bytes: &[u8], version: u64) -> Result<u64, ReplicaError> {
        let value = Some(bytes.to_vec());
        let command = Command::CompareAndSet { key: self.key.clone(), version, value };
        match self.member.request(ClientRequest::Propose(command), self.request_timeout) {
            RequestOutcome::Committed(CommandOutcome::Written { version }) => Ok(version),
            RequestOutcome::Committed(CommandOutcome::Rejected(why)) => {
                Err(ReplicaError::Rejected(why.to_string()))
            }
            outcome => Err(ReplicaError::NotCommitted(describe(&outcome))),
        }
    }
}

/// An outcome in the words that operators know from earlier versions.
fn describe(outcome: &RequestOutcome) -> String {
    match outcome {
        RequestOutcome::Committed(CommandOutcome::Written { version }) => {
            format!("Promised(Written {{ version: {version} }})")
        }
        RequestOutcome::Committed(CommandOutcome::VersionMismatch { current }) => {
            format!("Promised(Stale {{ current: {current} }})")
        }
        RequestOutcome::Committed(CommandOutcome::Rejected(why)) => format!("Promised(Refused({why}))"),
        RequestOutcome::Committed(CommandOutcome::NoEffect) => "Promised(Nothing)".to_owned(),
        RequestOutcome::Read(_) => "Read".to_owned(),
        RequestOutcome::Rejected(RejectReason::NoLeader) => "Refused(NoLeader)".to_owned(),
        RequestOutcome::Rejected(RejectReason::TooManyPending) => "Refused(Busy)".to_owned(),
        RequestOutcome::Rejected(RejectReason::Stopped) => "Refused(Gone)".to_owned(),
        RequestOutcome::Unknown => "Unknown".to_owned(),
    }
}

#[cfg(test)]
mod tests;
