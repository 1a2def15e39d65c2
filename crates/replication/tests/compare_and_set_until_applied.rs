//! A compare-and-set that is proposed until it is applied reports its exact outcome despite lost messages and leader
//! failures, and takes effect once.

mod scripted_group;

use curlewdeck_replication::{
    CommandOutcome, RejectReason, ReplicationLimits, RequestHandle, RequestOutcome,
};

use scripted_group::{put, small_limits, Group, Request};

const KEY: &str = "state";
const MEMBERS: [u64; 3] = [1, 2, 3];
/// Longer than the default request timeout and than an election.
const OUTAGE_TICKS: u64 = 60;
const TIMEOUT_TICKS: u64 = 2_000;

fn compare_and_set(group: &mut Group, member: u64, version: u64) -> RequestHandle {
    let request = Request::CompareAndSetUntilApplied(KEY.into(), version, TIMEOUT_TICKS);
    group.submit(member, request).expect("the member runs")
}

/// The version that a request wrote; none for any other outcome.
fn written(outcome: Option<&RequestOutcome>) -> Option<u64> {
    match outcome {
        Some(RequestOutcome::Committed(CommandOutcome::Written { version })) => Some(*version),
        _ => None,
    }
}

fn version_at(group: &Group, member: u64) -> u64 {
    group.members[&member].map().get(KEY).map_or(0, |value| value.version)
}

/// Runs until the request completes; fails after its timeout.
fn run_until_complete(group: &mut Group, member: u64, request: RequestHandle) -> RequestOutcome {
    for _ in 0..=TIMEOUT_TICKS {
        if let Some(outcome) = group.outcome(member, request) {
            return outcome.clone();
        }
        group.run(1);
    }
    panic!("seed {}: the request is still pending after its deadline", group.seed);
}

/// A group with an elected leader, the leader's id, and a follower's id.
fn settled(seed: u64) -> (Group, u64, u64) {
    let mut group = Group::new(seed, &MEMBERS, ReplicationLimits::default());
    let leader = group.settle();
    let follower = MEMBERS.into_iter().find(|&id| id != leader).unwrap();
    group.run(5);
    (group, leader, follower)
}

/// Fails if a command is proposed only once: all messages from the follower to the leader are lost until the link
/// recovers.
#[test]
fn lost_proposal_is_repeated() {
    for seed in 1..=4 {
        let (mut group, leader, follower) = settled(seed);
        group.blocked_links.insert((follower, leader));
        let request = compare_and_set(&mut group, follower, 0);
        group.run(OUTAGE_TICKS);
        assert_eq!(group.outcome(follower, request), None, "seed {seed}");
        group.blocked_links.clear();
        let outcome = run_until_complete(&mut group, follower, request);
        assert_eq!(written(Some(&outcome)), Some(version_at(&group, follower)), "seed {seed}: {outcome:?}");
    }
}

/// Fails if a writer takes its own write for that of another writer: the write is committed while the writer receives
/// no messages.
#[test]
fn write_committed_while_the_writer_is_unreachable_is_reported_as_written() {
    for seed in 1..=4 {
        let (mut group, leader, follower) = settled(seed);
        for other in MEMBERS.into_iter().filter(|&id| id != follower) {
            group.blocked_links.insert((other, follower));
        }
        let request = compare_and_set(&mut group, follower, 0);
        group.run(OUTAGE_TICKS);
        let committed = version_at(&group, leader);
        assert!(committed > 0 && group.outcome(follower, request).is_none(), "seed {seed}");
        group.blocked_links.clear();
        let outcome = run_until_complete(&mut group, follower, request);
        assert_eq!(written(Some(&outcome)), Some(committed), "seed {seed}: {outcome:?}");
        group.run(OUTAGE_TICKS);
        assert_eq!(version_at(&group, leader), committed, "seed {seed}: written twice");
    }
}

/// Fails if a request is rejected because the member started before its group elected a leader.
#[test]
fn request_made_before_the_first_election_completes_after_it() {
    for seed in 1..=4 {
        let mut group = Group::new(seed, &MEMBERS, ReplicationLimits::default());
        let request = compare_and_set(&mut group, 1, 0);
        assert_eq!(group.outcome(1, request), None, "seed {seed}");
        let outcome = run_until_complete(&mut group, 1, request);
        assert!(written(Some(&outcome)).is_some(), "seed {seed}: {outcome:?}");
    }
}

#[test]
fn request_not_applied_before_its_timeout_completes_as_unknown() {
    let (mut group, leader, follower) = settled(1);
    group.blocked_links.insert((follower, leader));
    let request = Request::CompareAndSetUntilApplied(KEY.into(), 0, OUTAGE_TICKS);
    let request = group.submit(follower, request).unwrap();
    group.run(OUTAGE_TICKS - 1);
    assert_eq!(group.outcome(follower, request), None);
    group.run(1);
    assert_eq!(group.outcome(follower, request), Some(&RequestOutcome::Unknown));
    assert_eq!(group.members[&follower].pending_requests(), 0);
}

/// Injects a fault while `writers` write: isolates `writer` in one or both directions, or restarts the leader if it is
/// not one of the writers.
fn disturb(group: &mut Group, writer: u64, writers: &[u64], round: u64) {
    let others: Vec<u64> = MEMBERS.into_iter().filter(|&id| id != writer).collect();
    match round % 4 {
        0 => group.partition(&[&[writer], &others]),
        1 => group.blocked_links.extend(others.iter().map(|&other| (other, writer))),
        2 => {
            if let Some(leader) = group.leader().filter(|leader| !writers.contains(leader)) {
                group.kill(leader);
                group.run(1 + round % 7);
                group.restart(leader);
            }
        }
        _ => group.blocked_links.extend(others.iter().map(|&other| (writer, other))),
    }
    group.run(round % 50);
    group.blocked_links.clear();
}

/// Fails if a sole writer gets a version mismatch, or writes twice, under message loss, partitions and leader restarts.
#[test]
fn sole_writer_never_gets_a_version_mismatch() {
    for seed in 1..=16 {
        let mut group = Group::new(seed, &MEMBERS, ReplicationLimits::default());
        (group.drop_per_mille, group.duplicate_per_mille, group.max_delay_steps) = (100, 100, 6);
        let writer = 1 + seed % 3;
        let mut version = 0;
        for round in 0..24 {
            let request = compare_and_set(&mut group, writer, version);
            group.run(seed % 3);
            disturb(&mut group, writer, &[writer], round + seed);
            let outcome = run_until_complete(&mut group, writer, request);
            let next = written(Some(&outcome));
            assert!(next > Some(version), "seed {seed}, round {round}: {outcome:?} after {version}");
            version = next.unwrap();
        }
        (group.drop_per_mille, group.duplicate_per_mille) = (0, 0);
        group.settle();
        group.run(100);
        assert!(MEMBERS.iter().all(|&id| version_at(&group, id) == version), "seed {seed}: written twice");
    }
}

/// Fails if both or neither of two writers that compare against the same version report it as written.
#[test]
fn one_of_two_concurrent_writers_writes_and_the_other_gets_a_version_mismatch() {
    for seed in 1..=16 {
        let mut group = Group::new(seed, &MEMBERS, ReplicationLimits::default());
        (group.drop_per_mille, group.duplicate_per_mille, group.max_delay_steps) = (100, 100, 6);
        let mut version = 0;
        for round in 0..12 {
            let writers = [1, 2];
            let requests = writers.map(|member| (member, compare_and_set(&mut group, member, version)));
            disturb(&mut group, 1 + round % 2, &writers, round + seed);
            let outcomes = requests.map(|(member, request)| run_until_complete(&mut group, member, request));
            let winner = outcomes.iter().find_map(|outcome| written(Some(outcome)));
            let current = winner.unwrap_or_else(|| panic!("seed {seed}, round {round}: {outcomes:?}"));
            let mismatch = RequestOutcome::Committed(CommandOutcome::VersionMismatch { current });
            assert!(outcomes.contains(&mismatch), "seed {seed}, round {round}: {outcomes:?}");
            version = current;
        }
    }
}

/// A writer that catches up from a snapshot holding its own write gets a version mismatch, since it never applies the
/// entry. Fails if it reports a repeated proposal as written instead.
#[test]
fn writer_that_catches_up_from_a_snapshot_gets_a_version_mismatch() {
    let mut group = Group::new(3, &MEMBERS, small_limits());
    let leader = group.settle();
    let follower = MEMBERS.into_iter().find(|&id| id != leader).unwrap();
    group.run(5);
    for other in MEMBERS.into_iter().filter(|&id| id != follower) {
        group.blocked_links.insert((other, follower));
    }
    let request = compare_and_set(&mut group, follower, 0);
    group.run(5);
    let current = version_at(&group, leader);
    for n in 0..100 {
        put(&mut group, leader, n);
        group.run(1);
    }
    group.blocked_links.clear();
    let outcome = run_until_complete(&mut group, follower, request);
    assert_eq!(outcome, RequestOutcome::Committed(CommandOutcome::VersionMismatch { current }));
    assert_eq!(version_at(&group, follower), current);
}

/// Fails if an isolated leader fills its log by proposing the command again at each tick.
#[test]
fn proposal_is_repeated_at_most_once_per_election_timeout() {
    let (mut group, leader, _) = settled(2);
    let last_index = |group: &Group| group.members[&leader].log().entries_after_snapshot().len();
    let before = last_index(&group);
    group.partition(&[&[leader], &[1, 2, 3].into_iter().filter(|&id| id != leader).collect::<Vec<_>>()]);
    compare_and_set(&mut group, leader, 0);
    group.run(ReplicationLimits::default().election_timeout_ticks as u64 - 1);
    assert_eq!(last_index(&group), before + 1);
}

#[test]
fn requests_waiting_for_a_leader_count_as_pending() {
    let limits = ReplicationLimits { max_pending_requests: 1, ..ReplicationLimits::default() };
    let mut group = Group::new(1, &MEMBERS, limits);
    compare_and_set(&mut group, 1, 0);
    let rejected = compare_and_set(&mut group, 1, 0);
    let outcome = RequestOutcome::Rejected(RejectReason::TooManyPending);
    assert_eq!(group.outcome(1, rejected), Some(&outcome));
}
