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
        (ReplicaError::Superseded, "another process has taken over under this name"),
    ] {
        assert_eq!(error.to_string(), text);
    }
}
