//! Reads at members whose leader was elected just then.

mod scripted_group;

use curlewdeck_replication::{ReplicationLimits, RequestOutcome};

use scripted_group::{Group, Request};

/// By then a request is pending no longer, and its outcome unknown.
const REQUEST_TIMEOUT_TICKS: u64 = 30;

/// Guards against a read that is answered by nobody because its leader had committed nothing of its term yet.
#[test]
fn a_read_right_after_an_election_is_answered() {
    for seed in 1..=12 {
        let mut group = Group::new(seed, &[1, 2, 3], ReplicationLimits::default());
        while group.leader().is_none() {
            group.step();
        }
        let leader = group.leader().unwrap();
        let read = group.submit(leader, Request::Read("k".into())).unwrap();
        group.run(REQUEST_TIMEOUT_TICKS - 1);
        assert_eq!(group.outcome(leader, read), Some(&RequestOutcome::Read(None)), "seed {seed}");
    }
}

/// Guards against a read that waits in vain because its one message was lost.
#[test]
fn a_read_whose_message_was_lost_is_answered() {
    for seed in 1..=4 {
        let mut group = Group::new(seed, &[1, 2, 3], ReplicationLimits::default());
        let leader = group.settle();
        let follower = (1..=3).find(|&id| id != leader).unwrap();
        group.run(5);
        group.cut.insert((follower, leader));
        let read = group.submit(follower, Request::Read("k".into())).unwrap();
        group.run(2);
        group.cut.clear();
        group.run(REQUEST_TIMEOUT_TICKS - 3);
        assert_eq!(group.outcome(follower, read), Some(&RequestOutcome::Read(None)), "seed {seed}");
    }
}
