//! Reads shortly after an election.

mod scripted_group;

use curlewdeck_replication::{ReplicationLimits, RequestOutcome};

use scripted_group::{Group, Request};

/// Ticks after which a pending request completes as unknown.
const REQUEST_TIMEOUT_TICKS: u64 = 30;

/// Fails if a read is not repeated: raft-rs drops it while the new leader has not committed an entry of its term.
#[test]
fn read_right_after_an_election_completes() {
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

/// Fails if a read is not repeated after its only message to the leader was lost.
#[test]
fn read_whose_message_was_lost_completes() {
    for seed in 1..=4 {
        let mut group = Group::new(seed, &[1, 2, 3], ReplicationLimits::default());
        let leader = group.settle();
        let follower = (1..=3).find(|&id| id != leader).unwrap();
        group.run(5);
        group.blocked_links.insert((follower, leader));
        let read = group.submit(follower, Request::Read("k".into())).unwrap();
        group.run(2);
        group.blocked_links.clear();
        group.run(REQUEST_TIMEOUT_TICKS - 3);
        assert_eq!(group.outcome(follower, read), Some(&RequestOutcome::Read(None)), "seed {seed}");
    }
}
