use std::thread::JoinHandle;

use super::super::member_handle::MemberMessage;
use super::*;

/// Guards the texts that an operator sees if a process cannot start or its state is not replicated.
#[test]
fn outcomes_keep_their_words() {
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

/// Guards the texts of the errors in which those words stand.
#[test]
fn errors_keep_their_words() {
    for (error, text) in [
        (ReplicaError::Unreadable("Unknown".into()), "the group does not say what it holds: Unknown"),
        (ReplicaError::NotCommitted("Unknown".into()), "not promised: Unknown"),
        (ReplicaError::Rejected("the value is too long".into()), "the value is too long"),
        (ReplicaError::VersionMismatch { current: 2 }, "not promised: Promised(Stale { current: 2 })"),
        (ReplicaError::Superseded, "another process has taken over under this name"),
    ] {
        assert_eq!(error.to_string(), text);
    }
}

/// Far longer than the scripted member takes.
const TIMEOUT: Duration = Duration::from_secs(20);

/// Whether a request is one of those by which the replica is read and written: a write is proposed until it is applied, for
/// as long as the caller waits.
fn is_expected(request: &ClientRequest) -> bool {
    match request {
        ClientRequest::Read(key) => key == "state/n1",
        ClientRequest::CompareAndSetUntilApplied { key, version: 0, value, timeout } => {
            key == "state/n1" && value == b"state" && *timeout > TIMEOUT / 2
        }
        _ => false,
    }
}

/// A replica whose member gives these outcomes, one a request, and the thread that does so and counts the requests.
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

/// Guards against a start that ends because an election is on while it reads, or too much is pending while it writes.
#[test]
fn what_was_rejected_is_tried_again() {
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

/// Guards against a write that is taken for done, or done again, after an outcome that says nothing of the kind.
#[test]
fn a_write_that_was_not_done_is_not_done_again() {
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

/// Guards the bound on a wait for a group that does not answer.
#[test]
fn a_deadline_bounds_reads_and_writes() {
    let (member, _messages) = MemberHandle::with_capacity(4);
    let mut replica = ReplicatedSnapshot::new(member, TIMEOUT, "n1");
    let begun = Instant::now();
    let soon = || Instant::now() + RETRY_INTERVAL;
    assert_eq!(replica.read(soon()), Err(ReplicaError::Unreadable("Unknown".into())));
    assert_eq!(replica.write(b"state", 0, soon()), Err(ReplicaError::NotCommitted("Unknown".into())));
    assert!(begun.elapsed() < TIMEOUT);
}
