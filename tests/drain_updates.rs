//! Tests the drain rule with unusual updates from discovery: versions that decrease or are unavailable, a lagging
//! replica, a restarted service, and malformed lines.

mod harness;

use std::thread;
use std::time::Duration;

use harness::catalog::{MalformedLine, FIRST_VERSION};
use harness::discovery_faults::{AheadAnswer, IndexAnswer};
use harness::drain_check::{Delivery, NodeState, WrittenUpdate};
use harness::drain_trial::{assert_all_pass, within, Trial, TrialResult, BOTH_DELIVERIES, WAIT_LIMIT};
use harness::faulty_discovery::FaultyDiscovery;
use harness::wait_until;

const NODES: [&str; 3] = ["drains", "stays-1", "stays-2"];

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Waits until an update other than a heartbeat has been written after the first `before` writes.
fn until_written(service: &FaultyDiscovery, before: usize) {
    let changes =
        || service.writes().into_iter().skip(before).any(|write| write.update != WrittenUpdate::Heartbeat);
    wait_until("the change to be written", changes);
}

// ---- Watches refused for their index ----

/// Versions from which discovery offers no watch.
#[derive(Debug, Clone, Copy, PartialEq)]
enum UnavailableVersions {
    /// The coordinator's current version and earlier ones.
    UpToCurrent,
    All,
}

fn refused_watch(answer: IndexAnswer, versions: UnavailableVersions, delivery: Delivery) -> TrialResult {
    let mut trial = Trial::new(&format!("watch from {versions:?} {answer:?}"), delivery, &NODES);
    let service = trial.service();
    trial.start(&service);
    trial.wait_until_used(&NODES);
    let below = if versions == UnavailableVersions::All { u64::MAX } else { FIRST_VERSION + 1 };
    service.faults(|f| f.index_answer = Some((below, answer)));
    let written = service.writes().len();
    service.end_connections();
    // Makes a version from which a watch is available.
    trial.catalog.set("stays-2", NodeState::Up);
    if delivery == Delivery::Pushed {
        within(WAIT_LIMIT / 2, || service.writes().len() > written + 1);
    }
    trial.catalog.set("drains", NodeState::Draining);
    trial.finish_after(WAIT_LIMIT)
}

/// Catches a coordinator that requests a watch from the same refused version forever.
#[test]
fn watch_with_a_refused_index_resumes_from_a_snapshot() {
    let answers = [
        IndexAnswer::Status(404),
        IndexAnswer::Status(410),
        IndexAnswer::Status(400),
        IndexAnswer::SnapshotWithLength,
        IndexAnswer::EndAtOnce,
    ];
    let up_to_current = answers.iter().flat_map(|&answer| {
        BOTH_DELIVERIES.map(|delivery| (answer, UnavailableVersions::UpToCurrent, delivery))
    });
    let all = answers.iter().map(|&answer| (answer, UnavailableVersions::All, Delivery::OnRequest));
    assert_all_pass(up_to_current.chain(all).collect(), |(answer, versions, delivery)| {
        refused_watch(answer, versions, delivery)
    });
}

// ---- Updates with decreasing versions ----

/// Source of the older list.
#[derive(Debug, Clone, Copy, PartialEq)]
enum OlderListSource {
    SnapshotReplica,
    NewService,
}

/// Drains a node, serves an older list in which the node is up, and later restarts the node.
fn older_list(older: OlderListSource, delivery: Delivery) -> TrialResult {
    let mut trial = Trial::new(&format!("older list of {older:?}"), delivery, &NODES);
    let (service, other) = (trial.service(), trial.service());
    let number = trial.start(&service);
    trial.wait_until_used(&NODES);
    other.faults(|f| (f.lag_version, f.snapshot_first) = (Some(FIRST_VERSION), true));
    let written = service.writes().len();
    trial.catalog.set("drains", NodeState::Draining);
    until_written(&service, written);
    let lagging = if older == OlderListSource::SnapshotReplica { &service } else { &other };
    lagging.faults(|f| (f.lag_version, f.snapshot_first) = (Some(FIRST_VERSION), true));
    match older {
        OlderListSource::SnapshotReplica => service.end_connections(),
        OlderListSource::NewService => trial.move_to_service(number, &other),
    }
    thread::sleep(ms(4000));
    lagging.faults(|f| (f.lag_version, f.snapshot_first) = (None, false));
    trial.catalog.restart("drains");
    trial.expect_used_again("drains");
    trial.finish_after(ms(2500))
}

/// Catches an older update that reopens a draining node. Only a later restart of the node may reopen it.
#[test]
fn older_list_does_not_reopen_a_draining_node() {
    let kinds = [OlderListSource::SnapshotReplica, OlderListSource::NewService]
        .iter()
        .flat_map(|&older| BOTH_DELIVERIES.map(|delivery| (older, delivery)));
    assert_all_pass(kinds.collect(), |(older, delivery)| older_list(older, delivery));
}

/// Restarts a service, which then counts its versions from the beginning.
fn restarted_service(ahead: AheadAnswer, delivery: Delivery) -> TrialResult {
    let names = ["drains", "removed", "stays-1", "stays-2"];
    let mut trial = Trial::new(&format!("restarted service, {ahead:?}"), delivery, &names);
    let service = trial.service();
    trial.start(&service);
    trial.wait_until_used(&names);
    service.faults(|f| (f.version_offset, f.ahead_answer) = (FIRST_VERSION - 1, ahead));
    let written = service.writes().len();
    service.end_connections();
    if ahead == AheadAnswer::Snapshot && delivery == Delivery::OnRequest {
        trial.catalog.set("removed", NodeState::Removed);
    }
    within(WAIT_LIMIT / 2, || service.writes().len() > written);
    trial.catalog.set("drains", NodeState::Draining);
    thread::sleep(ms(3000));
    trial.catalog.restart("drains");
    trial.expect_used_again("drains");
    trial.catalog.set("drains", NodeState::Draining);
    trial.finish_after(WAIT_LIMIT)
}

/// Catches a coordinator that treats all updates of a restarted service as outdated.
#[test]
fn updates_of_a_restarted_service_with_lower_versions_are_applied() {
    let kinds = [AheadAnswer::Snapshot, AheadAnswer::Nothing]
        .iter()
        .flat_map(|&a| BOTH_DELIVERIES.map(|delivery| (a, delivery)));
    assert_all_pass(kinds.collect(), |(ahead, delivery)| restarted_service(ahead, delivery));
}

// ---- Malformed lines ----

/// Data node whose line is malformed.
#[derive(Debug, Clone, Copy, PartialEq)]
enum MalformedNode {
    /// A node that is up, in the same update as the draining node.
    OtherNode,
    DrainingNode,
}

/// Update that contains the malformed line.
#[derive(Debug, Clone, Copy, PartialEq)]
enum UpdateKind {
    Delta,
    Snapshot,
}

fn malformed_line(
    node: MalformedNode,
    kind: UpdateKind,
    malformed: MalformedLine,
    delivery: Delivery,
) -> TrialResult {
    let mut trial = Trial::new(&format!("malformed line {node:?} {kind:?} {malformed:?}"), delivery, &NODES);
    let service = trial.service();
    trial.start(&service);
    trial.wait_until_used(&NODES);
    let malformed_uid = if node == MalformedNode::DrainingNode { "drains" } else { "stays-2" };
    service.faults(|f| {
        f.snapshot_first = kind == UpdateKind::Snapshot;
        f.malformed_lines.extend([(malformed_uid.to_string(), malformed)]);
    });
    let written = service.writes().len();
    if kind == UpdateKind::Snapshot {
        service.end_connections();
    }
    trial.catalog.set_all(&[("stays-2", NodeState::Up), ("drains", NodeState::Draining)], Duration::ZERO);
    until_written(&service, written);
    thread::sleep(ms(2500));
    // A new watch with valid lines restores the earlier state.
    service.faults(|f| f.malformed_lines.clear());
    service.end_connections();
    trial.finish_after(ms(4000))
}

/// Catches one malformed line that hides the changes of other nodes, or the readable state of its own node.
#[test]
fn malformed_line_does_not_hide_other_changes() {
    let all = [
        MalformedLine::EndpointNull,
        MalformedLine::EndpointNotAnAddress,
        MalformedLine::CellMissing,
        MalformedLine::CapacityNull,
        MalformedLine::BootTimeNull,
        MalformedLine::StateNull,
        MalformedLine::UidMissing,
        MalformedLine::NotAnObject,
    ];
    // A draining node's line reports nothing if its state or uid cannot be read.
    let of_draining_node = all
        .iter()
        .filter(|malformed| malformed.has_readable_state())
        .map(|&malformed| (MalformedNode::DrainingNode, malformed));
    let lines = all.iter().map(|&malformed| (MalformedNode::OtherNode, malformed)).chain(of_draining_node);
    let trials = lines.flat_map(|(node, malformed)| {
        let delta = BOTH_DELIVERIES.map(|delivery| (node, UpdateKind::Delta, malformed, delivery));
        delta.into_iter().chain([(node, UpdateKind::Snapshot, malformed, Delivery::OnRequest)])
    });
    assert_all_pass(trials.collect(), |(node, kind, malformed, delivery)| {
        malformed_line(node, kind, malformed, delivery)
    });
}
