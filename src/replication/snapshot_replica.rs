//! The replica of a coordinator's state, stored under a key of the replicated map.

use std::time::{Duration, Instant};

use curlewdeck_replication::{CommandOutcome, RejectReason, RequestOutcome};

use super::member_handle::{ClientRequest, MemberHandle};
use crate::snapshot_store::{ReplicaError, ReplicaValue, SnapshotReplica};

const RETRY_INTERVAL: Duration = Duration::from_millis(200);

/// A coordinator's state under a key of the replicated map.
#[derive(Debug)]
pub(super) struct ReplicatedSnapshot {
    member: MemberHandle,
    /// Timeout of a single read.
    request_timeout: Duration,
    key: String,
}

impl ReplicatedSnapshot {
    pub(super) fn new(member: MemberHandle, request_timeout: Duration, name: &str) -> Self {
        Self { member, request_timeout, key: format!("state/{name}") }
    }

    fn write_until_applied(&self, bytes: &[u8], version: u64, timeout: Duration) -> RequestOutcome {
        let (key, value) = (self.key.clone(), bytes.to_vec());
        let request = ClientRequest::CompareAndSetUntilApplied { key, version, value, timeout };
        self.member.request(request, timeout)
    }
}

impl SnapshotReplica for ReplicatedSnapshot {
    fn read(&mut self, deadline: Instant) -> Result<ReplicaValue, ReplicaError> {
        let mut retries = RetryLog::default();
        loop {
            let timeout = self.request_timeout.min(remaining(deadline));
            match self.member.request(ClientRequest::Read(self.key.clone()), timeout) {
                RequestOutcome::Read(Some(value)) => {
                    return Ok(ReplicaValue { bytes: Some(value.value), version: value.version })
                }
                RequestOutcome::Read(None) => return Ok(ReplicaValue { bytes: None, version: 0 }),
                outcome if !retries_before(deadline) => {
                    return Err(ReplicaError::Unreadable(describe(&outcome)))
                }
                outcome => retries.log("read", outcome),
            }
            std::thread::sleep(RETRY_INTERVAL);
        }
    }

    fn write(&mut self, bytes: &[u8], version: u64, deadline: Instant) -> Result<u64, ReplicaError> {
        let mut retries = RetryLog::default();
        loop {
            match self.write_until_applied(bytes, version, remaining(deadline)) {
                RequestOutcome::Committed(CommandOutcome::Written { version }) => return Ok(version),
                RequestOutcome::Committed(CommandOutcome::VersionMismatch { current }) => {
                    return Err(ReplicaError::VersionMismatch { current })
                }
                RequestOutcome::Committed(CommandOutcome::Rejected(why)) => {
                    return Err(ReplicaError::Rejected(why.to_string()))
                }
                // The write had no effect, so it is safe to repeat it.
                outcome @ RequestOutcome::Rejected(RejectReason::TooManyPending)
                    if retries_before(deadline) =>
                {
                    retries.log("write", outcome);
                }
                outcome => return Err(ReplicaError::NotCommitted(describe(&outcome))),
            }
            std::thread::sleep(RETRY_INTERVAL);
        }
    }

    fn request_timeout(&self) -> Duration {
        self.request_timeout
    }
}

fn remaining(deadline: Instant) -> Duration {
    deadline.saturating_duration_since(Instant::now())
}

/// Whether another attempt can be made before the deadline.
fn retries_before(deadline: Instant) -> bool {
    remaining(deadline) > RETRY_INTERVAL
}

/// Logs the reason for each retry, omitting consecutive repetitions of the same reason.
#[derive(Debug, Default)]
struct RetryLog(Option<RequestOutcome>);

impl RetryLog {
    fn log(&mut self, action: &str, outcome: RequestOutcome) {
        if self.0.as_ref() != Some(&outcome) {
            let text = describe(&outcome);
            log::info!(target: "group", action, outcome = text.as_str(); "state replica unavailable; retrying");
            self.0 = Some(outcome);
        }
    }
}

/// Formats an outcome as in earlier versions, whose texts operators know.
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
