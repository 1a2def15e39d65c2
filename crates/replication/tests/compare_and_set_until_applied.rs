//! A compare-and-set that is proposed until it is applied: its outcome is exact over lost messages and lost leaders, and
//! it takes effect once.

mod scripted_group;

use curlewdeck_replication::{
    CommandOutcome, RejectReason, ReplicationLimits, RequestHandle, RequestOutcome,
};

use scripted_group::{put, small_limits, Group, Request};

const KEY: &str = "state";
const MEMBERS: [u64; 3] = [1, 2, 3];
/// Longer than a request may be pending, and than an election takes.
const OUTAGE_TICKS: u64 = 60;
const TIMEOUT_TICKS: u64 = 2_000;

fn compare_and_set(group: &mut Group, member: u64, version: u64) -> RequestHandle {
    let request = Request::CompareAndSetUntilApplied(KEY.into(), version, TIMEOUT_TICKS);
    group.submit(member, request).expect("the member runs")
}

/// The version that a request has written, if that is its outcome.
fn written(outcome: Option<&RequestOutcome>) -> Option<u64> {
    match outcome {
        Some(RequestOutcome::Committed(CommandOutcome::Written { version })) => Some(*version),
        _ => None,
    }
}

fn version_at(group: &Group, member: u64) -> u64 {
    group.members[&member].map().get(KEY).map_or(0, |value| value.version)
}

/// Runs until the request has an outcome, for no longer than it may be pending.
fn run_until_complete(group: &mut Group, member: u64, request: RequestHandle) -> RequestOutcome {
    for _ in 0..=TIMEOUT_TICKS {
        if let Some(outcome) = group.outcome(member, request) {
            return outcome.clone();
        }
        group.run(1);
    }
    panic!("seed {}: not completed after its deadline", group.seed);
}

/// A group with a leader, the leader, and one that follows it.
fn settled(seed: u64) -> (Group, u64, u64) {
    let mut group = Group::new(seed, &MEMBERS, ReplicationLimits::default());
    let leader = group.settle();
    let follower = MEMBERS.into_iter().find(|&id| id != leader).unwrap();
    group.run(5);
    (group, leader, follower)
}

/// Guards against a command that is given up because its one proposal was lost.
#[test]
fn a_lost_proposal_is_proposed_again() {
    for seed in 1..=4 {
        let (mut group, leader, follower) = settled(seed);
        group.cut.insert((follower, leader));
        let request = compare_and_set(&mut group, follower, 0);
        group.run(OUTAGE_TICKS);
        assert_eq!(group.outcome(follower, request), None, "seed {seed}");
        group.cut.clear();
        let outcome = run_until_complete(&mut group, follower, request);
        assert_eq!(written(Some(&outcome)), Some(version_at(&group, follower)), "seed {seed}: {outcome:?}");
    }
}

/// Guards against a writer that takes its own write, of which it has not heard, for another one's.
#[test]
fn a_write_whose_answer_was_lost_is_known_as_the_writers_own() {
    for seed in 1..=4 {
        let (mut group, leader, follower) = settled(seed);
        for other in MEMBERS.into_iter().filter(|&id| id != follower) {
            group.cut.insert((other, follower));
        }
        let request = compare_and_set(&mut group, follower, 0);
        group.run(OUTAGE_TICKS);
        let committed = version_at(&group, leader);
        assert!(committed > 0 && group.outcome(follower, request).is_none(), "seed {seed}");
        group.cut.clear();
        let outcome = run_until_complete(&mut group, follower, request);
        assert_eq!(written(Some(&outcome)), Some(committed), "seed {seed}: {outcome:?}");
        group.run(OUTAGE_TICKS);
        assert_eq!(version_at(&group, leader), committed, "seed {seed}: written twice");
    }
}

/// Guards a member that starts before its group has a leader.
#[test]
fn a_request_without_a_leader_waits_for_one() {
    for seed in 1..=4 {
        let mut group = Group::new(seed, &MEMBERS, ReplicationLimits::default());
        let request = compare_and_set(&mut group, 1, 0);
        assert_eq!(group.outcome(1, request), None, "seed {seed}");
        let outcome = run_until_complete(&mut group, 1, request);
        assert!(written(Some(&outcome)).is_some(), "seed {seed}: {outcome:?}");
    }
}

#[test]
fn a_request_that_is_not_applied_in_time_completes_as_unknown() {
    let (mut group, leader, follower) = settled(1);
    group.cut.insert((follower, leader));
    let request = Request::CompareAndSetUntilApplied(KEY.into(), 0, OUTAGE_TICKS);
    let request = group.submit(follower, request).unwrap();
    group.run(OUTAGE_TICKS - 1);
    assert_eq!(group.outcome(follower, request), None);
    group.run(1);
    assert_eq!(group.outcome(follower, request), Some(&RequestOutcome::Unknown));
    assert_eq!(group.members[&follower].pending_requests(), 0);
}

/// What happens to the group while some of its members write: `writer` is cut off, or a leader that does not write is
/// started again.
fn disturb(group: &mut Group, writer: u64, writers: &[u64], round: u64) {
    let others: Vec<u64> = MEMBERS.into_iter().filter(|&id| id != writer).collect();
    match round % 4 {
        0 => group.partition(&[&[writer], &others]),
        1 => group.cut.extend(others.iter().map(|&other| (other, writer))),
        2 => {
            if let Some(leader) = group.leader().filter(|leader| !writers.contains(leader)) {
                group.kill(leader);
                group.run(1 + round % 7);
                group.restart(leader);
            }
        }
        _ => group.cut.extend(others.iter().map(|&other| (writer, other))),
    }
    group.run(round % 50);
    group.cut.clear();
}

/// Guards against a single writer that is told of another one, or writes twice, whatever its network and its leaders do.
#[test]
fn the_only_writer_is_never_told_of_another_one() {
    for seed in 1..=16 {
        let mut group = Group::new(seed, &MEMBERS, ReplicationLimits::default());
        (group.drop, group.twice, group.delay) = (100, 100, 6);
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
        (group.drop, group.twice) = (0, 0);
        group.settle();
        group.run(100);
        assert!(
            MEMBERS.iter().all(|&id| version_at(&group, id) == version),
            "seed {seed}: written once more"
        );
    }
}

/// Guards against two writers of one version that both take it for theirs, and against none that does.
#[test]
fn of_two_writers_of_one_version_one_writes_it_and_the_other_is_told() {
    for seed in 1..=16 {
        let mut group = Group::new(seed, &MEMBERS, ReplicationLimits::default());
        (group.drop, group.twice, group.delay) = (100, 100, 6);
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

/// Guards the one case in which a writer is not told that it has written: it catches up by a snapshot that holds its
/// write. It must not be told that its later proposal has written, either.
#[test]
fn a_writer_that_catches_up_by_a_snapshot_is_told_of_a_later_version() {
    let mut group = Group::new(3, &MEMBERS, small_limits());
    let leader = group.settle();
    let follower = MEMBERS.into_iter().find(|&id| id != leader).unwrap();
    group.run(5);
    for other in MEMBERS.into_iter().filter(|&id| id != follower) {
        group.cut.insert((other, follower));
    }
    let request = compare_and_set(&mut group, follower, 0);
    group.run(5);
    let current = version_at(&group, leader);
    for n in 0..100 {
        put(&mut group, leader, n);
        group.run(1);
    }
    group.cut.clear();
    let outcome = run_until_complete(&mut group, follower, request);
    assert_eq!(outcome, RequestOutcome::Committed(CommandOutcome::VersionMismatch { current }));
    assert_eq!(version_at(&group, follower), current);
}

/// Guards the log against a proposal at each tick while a leader waits for its followers.
#[test]
fn a_proposal_is_repeated_no_more_often_than_a_leader_is_elected() {
    let (mut group, leader, _) = settled(2);
    let last_index = |group: &Group| group.members[&leader].log().entries_after_snapshot().len();
    let before = last_index(&group);
    group.partition(&[&[leader], &[1, 2, 3].into_iter().filter(|&id| id != leader).collect::<Vec<_>>()]);
    compare_and_set(&mut group, leader, 0);
    group.run(ReplicationLimits::default().election_timeout_ticks as u64 - 1);
    assert_eq!(last_index(&group), before + 1);
}

#[test]
fn requests_that_wait_for_a_leader_count_among_the_pending_ones() {
    let limits = ReplicationLimits { max_pending_requests: 1, ..ReplicationLimits::default() };
    let mut group = Group::new(1, &MEMBERS, limits);
    compare_and_set(&mut group, 1, 0);
    let rejected = compare_and_set(&mut group, 1, 0);
    let outcome = RequestOutcome::Rejected(RejectReason::TooManyPending);
    assert_eq!(group.outcome(1, rejected), Some(&outcome));
}
