use std::thread::JoinHandle;

use super::super::member_handle::MemberMessage;
use super::*;

/// The texts of outcomes, which operators see if a process cannot start or its state is not replicated.
#[test]
fn outcome_texts_are_stable() {
    let committed = RequestOutcome::Committed;
    for (outcome, text) in [
        (committed(CommandOutcome::Written { version: 3 }), "Promised(Written { version: 3 })"),
        (committed(CommandOutcome::VersionMismatch { current: 2 }), "Promised(Stale { current: 2 })"),
        (committed(CommandOutcome::NoEffect), "Promised(Nothing)"),
        (RequestOutcome::Rejected(RejectReason::NoLeader), "Refused(NoLeader)"),
        (RequestOutcome::Rejected(RejectReason::TooManyPending), "Refused(Busy)"),
        (RequestOutcome::Rejected(RejectReason::Stopped), "Refused(Gone)"),
        (RequestOutcome::Unknown, "Unknown"),
    ] {
        assert_eq!(describe(&outcome), text);
    }
}

/// The texts of the errors that contain an outcome.
#[test]
fn error_texts_are_stable() {
    for (error, text) in [
        (ReplicaError::Unreadable("Unknown".into()), "cannot read the state from the group: Unknown"),
        (ReplicaError::NotCommitted("Unknown".into()), "not promised: Unknown"),
        (ReplicaError::Rejected("the value is too long".into()), "the value is too long"),
        (ReplicaError::VersionMismatch { current: 2 }, "not promised: Promised(Stale { current: 2 })"),
        (ReplicaError::Superseded, "another process with this name has started later"),
    ] {
        assert_eq!(error.to_string(), text);
    }
}

/// Much longer than the scripted member takes to respond.
const TIMEOUT: Duration = Duration::from_secs(20);

/// Whether a request is a read of the replica, or a write that is proposed until it is applied or the caller's deadline
/// passes.
fn is_expected(request: &ClientRequest) -> bool {
    match request {
        ClientRequest::Read(key) => key == "state/n1",
        ClientRequest::CompareAndSetUntilApplied { key, version: 0, value, timeout } => {
            key == "state/n1" && value == b"state" && *timeout > TIMEOUT / 2
        }
        _ => false,
    }
}

/// A replica whose member returns these outcomes in order, and its thread, which returns the number of requests.
fn scripted(outcomes: Vec<RequestOutcome>) -> (ReplicatedSnapshot, JoinHandle<usize>) {
    let (member, messages) = MemberHandle::with_capacity(1);
    let serve = move || {
        let mut served = 0;
        for (outcome, message) in outcomes.into_iter().zip(messages) {
            if let MemberMessage::Request(request, reply) = message {
                assert!(is_expected(&request), "{request:?}");
                reply.send(outcome).unwrap();
                served += 1;
            }
        }
        served
    };
    (ReplicatedSnapshot::new(member, TIMEOUT, "n1"), std::thread::spawn(serve))
}

fn deadline() -> Instant {
    Instant::now() + TIMEOUT
}

/// Fails if the start of a process is aborted because its read meets an election, or its write a full queue.
#[test]
fn rejected_requests_are_retried() {
    let rejected = RequestOutcome::Rejected;
    let reads = vec![rejected(RejectReason::NoLeader), RequestOutcome::Unknown, RequestOutcome::Read(None)];
    let (mut replica, served) = scripted(reads);
    assert_eq!(replica.read(deadline()), Ok(ReplicaValue { bytes: None, version: 0 }));
    assert_eq!(served.join().unwrap(), 3);
    let written = RequestOutcome::Committed(CommandOutcome::Written { version: 7 });
    let (mut replica, served) = scripted(vec![rejected(RejectReason::TooManyPending), written]);
    assert_eq!(replica.write(b"state", 0, deadline()), Ok(7));
    assert_eq!(served.join().unwrap(), 2);
}

/// Fails if a write that was not confirmed is reported as done, or repeated although it may still take effect.
#[test]
fn unconfirmed_write_fails_without_a_retry() {
    let committed = RequestOutcome::Committed;
    for (outcome, error) in [
        (
            committed(CommandOutcome::VersionMismatch { current: 9 }),
            ReplicaError::VersionMismatch { current: 9 },
        ),
        (RequestOutcome::Unknown, ReplicaError::NotCommitted("Unknown".into())),
        (RequestOutcome::Rejected(RejectReason::Stopped), ReplicaError::NotCommitted("Refused(Gone)".into())),
    ] {
        let (mut replica, served) = scripted(vec![outcome]);
        assert_eq!(replica.write(b"state", 0, deadline()), Err(error));
        assert_eq!(served.join().unwrap(), 1);
    }
}

/// Fails if a read or a write waits longer than its deadline for a group that does not respond.
#[test]
fn reads_and_writes_end_at_their_deadline() {
    let (member, _messages) = MemberHandle::with_capacity(4);
    let mut replica = ReplicatedSnapshot::new(member, TIMEOUT, "n1");
    let begun = Instant::now();
    let soon = || Instant::now() + RETRY_INTERVAL;
    assert_eq!(replica.read(soon()), Err(ReplicaError::Unreadable("Unknown".into())));
    assert_eq!(replica.write(b"state", 0, soon()), Err(ReplicaError::NotCommitted("Unknown".into())));
    assert!(begun.elapsed() < TIMEOUT);
}
