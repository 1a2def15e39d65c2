//! Groups of members over a simulated network with a simulated clock. The faults are lost, duplicated, delayed and
//! reordered messages, one-way link failures, partitions, and members killed with their disk kept or wiped. A seed
//! makes each run reproducible.
//!
//! Each run ends with two checks: every command reported as committed is in the map of every current member of the
//! group, and the history of puts and reads is linearizable (`curlewdeck_testkit::history`).

mod scripted_group;

use std::collections::{BTreeMap, BTreeSet};

use curlewdeck_replication::{
    CommandOutcome, Member, MembershipChange, MessageError, ReplicationLimits, RequestOutcome,
};
use protobuf::Message as _;
use raft::eraftpb::{Message, MessageType};

use scripted_group::{put, small_limits, Group, Request, Rng};

#[test]
fn three_members_commit_under_loss_duplication_and_reordering() {
    for seed in 1..=4 {
        let mut group = Group::new(seed, &[1, 2, 3], small_limits());
        (group.drop_per_mille, group.duplicate_per_mille, group.max_delay_steps) = (100, 50, 6);
        group.settle();
        for n in 0..300 {
            let member = 1 + (n as u64 % 3);
            put(&mut group, member, n);
            if n % 7 == 0 {
                group.submit(member, Request::Read(format!("k{:05}", n / 2)));
            }
            group.run(1);
        }
        (group.drop_per_mille, group.duplicate_per_mille) = (0, 0);
        group.run(100);
        let checked = group.check_committed();
        let reads = group.count_outcomes(|a| matches!(a, RequestOutcome::Read(_)));
        assert!(checked > 150, "seed {seed}: only {checked} of 300 committed");
        assert!(reads > 10, "seed {seed}: only {reads} reads answered");
        assert!(
            group.members.values().all(|m| m.log().snapshot_index() > 1),
            "seed {seed}: the log was never compacted"
        );
    }
}

#[test]
fn leader_killed_during_writes_recovers_from_disk_without_losing_commits() {
    for seed in 1..=4 {
        let mut group = Group::new(seed, &[1, 2, 3], small_limits());
        let leader = group.settle();
        for n in 0..60 {
            put(&mut group, leader, n);
            if n == 40 {
                group.kill(leader);
            }
            group.run(1);
        }
        let next = group.settle();
        assert_ne!(next, leader);
        for n in 60..120 {
            put(&mut group, next, n);
            group.run(1);
        }
        group.restart(leader);
        group.run(100);
        let checked = group.check_committed();
        assert!(checked >= 80, "seed {seed}: only {checked} committed");
    }
}

#[test]
fn minority_side_rejects_requests_and_never_reads_stale_values_while_the_majority_continues() {
    for seed in 1..=4 {
        let mut group = Group::new(seed, &[1, 2, 3, 4, 5], small_limits());
        let leader = group.settle();
        for n in 0..20 {
            put(&mut group, leader, n);
            group.run(1);
        }
        let others: Vec<u64> = (1..=5).filter(|&i| i != leader).collect();
        let minority = [leader, others[0]];
        let majority = [others[1], others[2], others[3]];
        group.partition(&[&minority, &majority]);
        group.run(40);
        let new = group.leader().filter(|l| majority.contains(l)).expect("the majority elects a leader");
        for n in 20..60 {
            put(&mut group, new, n);
            put(&mut group, leader, 1000 + n);
            group.submit(minority[1], Request::Read(format!("k{n:05}")));
            group.run(1);
        }
        // The old leader has stepped down, so it rejects new requests at once.
        let before = group.count_outcomes(|a| matches!(a, RequestOutcome::Rejected(_)));
        put(&mut group, leader, 2000);
        assert_eq!(
            group.count_outcomes(|a| matches!(a, RequestOutcome::Rejected(_))),
            before + 1,
            "seed {seed}"
        );
        group.blocked_links.clear();
        group.run(120);
        group.check_committed();
        let committed = group.committed();
        assert!(
            (1020..1060).all(|n| !committed.contains_key(&format!("k{n:05}"))),
            "seed {seed}: a minority committed"
        );
        assert!(
            (20..60).filter(|n| committed.contains_key(&format!("k{n:05}"))).count() >= 30,
            "seed {seed}"
        );
    }
}

#[test]
fn one_way_link_failures_and_a_paused_member_do_not_stall_the_group() {
    for seed in 1..=3 {
        let mut group = Group::new(seed, &[1, 2, 3], small_limits());
        let leader = group.settle();
        let follower = if leader == 1 { 2 } else { 1 };
        // The leader can send but receives nothing: check-quorum makes it step down, and pre-vote allows a new
        // election.
        for other in [1, 2, 3].into_iter().filter(|&o| o != leader) {
            group.blocked_links.insert((other, leader));
        }
        group.run(60);
        let next = group.settle();
        assert_ne!(next, leader, "seed {seed}: a leader that receives no messages did not step down");
        group.blocked_links.clear();
        group.paused.insert(follower);
        for n in 0..40 {
            let at = group.settle();
            put(&mut group, at, n);
            group.run(1);
        }
        group.paused.clear();
        group.run(100);
        assert!(group.check_committed() >= 30, "seed {seed}");
    }
}

#[test]
fn two_members_lost_with_their_disks_are_replaced_by_new_members_from_a_snapshot() {
    let mut group = Group::new(7, &[1, 2, 3, 4, 5], small_limits());
    let leader = group.settle();
    for n in 0..100 {
        put(&mut group, leader, n);
        group.run(1);
    }
    let lost: Vec<u64> = (1..=5).filter(|&i| i != leader).take(2).collect();
    for &id in &lost {
        group.kill(id);
        group.disks.remove(&id);
    }
    // A wiped member never rejoins under its old id: it could vote twice in a term and lose committed entries.
    for (&old, new) in lost.iter().zip([6, 7]) {
        let at = group.settle();
        group.change_membership(at, MembershipChange::Remove(old));
        group.run(20);
        let at = group.settle();
        group.members.insert(new, Member::join(new, group.limits_of(new)).unwrap());
        group.change_membership(at, MembershipChange::Add(new));
        group.run(40);
    }
    for n in 100..140 {
        let at = group.settle();
        put(&mut group, at, n);
        group.run(1);
    }
    group.run(100);
    let leader = group.settle();
    let voters: BTreeSet<u64> = group.members[&leader].voters().into_iter().collect();
    let want: BTreeSet<u64> = (1..=5).filter(|i| !lost.contains(i)).chain([6, 7]).collect();
    assert_eq!(voters, want);
    assert!(group.check_committed() >= 130);
}

#[test]
fn compare_and_sets_on_one_key_grant_each_version_once() {
    for seed in 1..=4 {
        let mut group = Group::new(seed, &[1, 2, 3], small_limits());
        (group.drop_per_mille, group.max_delay_steps) = (50, 5);
        group.settle();
        for round in 0..60 {
            let version = group.members.values().next().unwrap().map().get("lease").map_or(0, |s| s.version);
            for member in 1..=3 {
                group.submit(member, Request::CompareAndSet("lease".into(), version));
            }
            if round % 10 == 5 {
                let leader = group.settle();
                group.kill(leader);
                group.run(2);
                group.restart(leader);
            }
            group.run(3);
        }
        group.drop_per_mille = 0;
        group.run(60);
        let mut granted: BTreeMap<u64, usize> = BTreeMap::new();
        for call in group.calls.values() {
            if let (
                Request::CompareAndSet(_, version),
                Some((_, RequestOutcome::Committed(CommandOutcome::Written { .. }))),
            ) = (&call.request, &call.outcome)
            {
                *granted.entry(*version).or_default() += 1;
            }
        }
        assert!(granted.values().all(|&n| n == 1), "seed {seed}: a version granted twice: {granted:?}");
        assert!(granted.len() >= 10, "seed {seed}: only {} grants", granted.len());
    }
}

#[test]
fn corrupt_snapshot_or_garbage_from_a_peer_is_rejected_without_a_panic() {
    let (mut member, _) = Member::bootstrap(1, &[1, 2, 3], ReplicationLimits::default()).unwrap();
    let (other, _) = Member::bootstrap(2, &[1, 2, 3], ReplicationLimits::default()).unwrap();
    let mut message = Message::default();
    message.set_msg_type(MessageType::MsgSnapshot);
    (message.to, message.from, message.term) = (1, 2, 5);
    let mut snap = other.log().last_snapshot().clone();
    let mut data = snap.get_data().to_vec();
    let last = data.len() - 1;
    data[last] ^= 1;
    snap.set_data(data.into());
    snap.mut_metadata().index = 50;
    message.set_snapshot(snap);
    let bytes = message.write_to_bytes().unwrap();
    assert!(matches!(member.step(&bytes), Err(MessageError::UnusableSnapshot(_))));
    assert!(matches!(member.step(&[0xff, 0x01, 0x02]), Err(MessageError::Undecodable)));
    let mut local = Message::default();
    local.set_msg_type(MessageType::MsgHup);
    local.to = 1;
    assert!(matches!(member.step(&local.write_to_bytes().unwrap()), Err(MessageError::Raft(_))));
    let mut rng = Rng(99);
    for _ in 0..2000 {
        let mut bytes = message.write_to_bytes().unwrap();
        for _ in 0..1 + rng.below(4) {
            let at = rng.below(bytes.len() as u64) as usize;
            bytes[at] = rng.next() as u8;
        }
        // The message may be rejected or accepted, or stop the member if raft-rs panics; `step` itself never panics.
        let _ = member.step(&bytes);
    }
}
