//! The drain rule while discovery's updates are odd: versions that go backwards or are not to be had, a lagging replica, a
//! service that has restarted, lines that cannot be read.

mod harness;

use std::thread;
use std::time::Duration;

use harness::catalog::{MalformedLine, FIRST_VERSION};
use harness::discovery_faults::{AheadAnswer, IndexAnswer};
use harness::drain_check::{Delivery, NodeState, WrittenUpdate};
use harness::drain_trial::{all_pass, within, Trial, Verdict, BOTH, PATIENCE};
use harness::faulty_discovery::FaultyDiscovery;
use harness::until;

const NODES: [&str; 3] = ["drains", "stays-1", "stays-2"];

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Waits for a change of the list to be written.
fn until_written(service: &FaultyDiscovery, before: usize) {
    let changes =
        || service.writes().into_iter().skip(before).any(|write| write.update != WrittenUpdate::Heartbeat);
    until("the change to be written", changes);
}

// ---- Watches that cannot be had by their index. ----

/// From which versions no watch can be had.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Unavailable {
    /// The one that is held, and those before it.
    Held,
    All,
}

fn no_watch(answer: IndexAnswer, versions: Unavailable, delivery: Delivery) -> Verdict {
    let mut trial = Trial::new(&format!("watch from {versions:?} {answer:?}"), delivery, &NODES);
    let service = trial.service();
    trial.start(&service);
    trial.in_use(&NODES);
    let below = if versions == Unavailable::All { u64::MAX } else { FIRST_VERSION + 1 };
    service.faults(|f| f.index = Some((below, answer)));
    let written = service.writes().len();
    service.end_connections();
    // A version that a watch can be had from.
    trial.catalog.set("stays-2", NodeState::Up);
    if delivery == Delivery::Pushed {
        within(PATIENCE / 2, || service.writes().len() > written + 1);
    }
    trial.catalog.set("drains", NodeState::Draining);
    trial.finish_after(PATIENCE)
}

/// Guards against asking for the same version for ever.
#[test]
fn a_watch_refused_for_its_index_goes_on_from_a_snapshot() {
    let answers = [
        IndexAnswer::Status(404),
        IndexAnswer::Status(410),
        IndexAnswer::Status(400),
        IndexAnswer::SnapshotWithLength,
        IndexAnswer::EndAtOnce,
    ];
    let held = answers.iter().flat_map(|&answer| BOTH.map(|way| (answer, Unavailable::Held, way)));
    let all = answers.iter().map(|&answer| (answer, Unavailable::All, Delivery::OnRequest));
    all_pass(held.chain(all).collect(), |(answer, versions, way)| no_watch(answer, versions, way));
}

// ---- Updates that go backwards. ----

/// Where the older list comes from.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Older {
    SnapshotReplica,
    NewService,
}

/// A node drains, and an older list then says that it is up; later it starts anew.
fn goes_backwards(older: Older, delivery: Delivery) -> Verdict {
    let mut trial = Trial::new(&format!("older list of {older:?}"), delivery, &NODES);
    let (service, other) = (trial.service(), trial.service());
    let number = trial.start(&service);
    trial.in_use(&NODES);
    other.faults(|f| (f.lags_at, f.snapshot_first) = (Some(FIRST_VERSION), true));
    let written = service.writes().len();
    trial.catalog.set("drains", NodeState::Draining);
    until_written(&service, written);
    let lagging = if older == Older::SnapshotReplica { &service } else { &other };
    lagging.faults(|f| (f.lags_at, f.snapshot_first) = (Some(FIRST_VERSION), true));
    match older {
        Older::SnapshotReplica => service.end_connections(),
        Older::NewService => trial.move_to(number, &other),
    }
    thread::sleep(ms(4000));
    lagging.faults(|f| (f.lags_at, f.snapshot_first) = (None, false));
    trial.catalog.restart("drains");
    trial.is_used_again("drains");
    trial.finish_after(ms(2500))
}

/// Guards a node that drains against an older update of it; a later start opens it again.
#[test]
fn an_older_list_opens_no_node_that_drains() {
    let kinds =
        [Older::SnapshotReplica, Older::NewService].iter().flat_map(|&older| BOTH.map(|way| (older, way)));
    all_pass(kinds.collect(), |(older, way)| goes_backwards(older, way));
}

/// A service has restarted, and counts its versions from the beginning.
fn restarted_service(ahead: AheadAnswer, delivery: Delivery) -> Verdict {
    let names = ["drains", "removed", "stays-1", "stays-2"];
    let mut trial = Trial::new(&format!("restarted service, {ahead:?}"), delivery, &names);
    let service = trial.service();
    trial.start(&service);
    trial.in_use(&names);
    service.faults(|f| (f.versions_less, f.ahead) = (FIRST_VERSION - 1, ahead));
    let written = service.writes().len();
    service.end_connections();
    if ahead == AheadAnswer::Snapshot && delivery == Delivery::OnRequest {
        trial.catalog.set("removed", NodeState::Removed);
    }
    within(PATIENCE / 2, || service.writes().len() > written);
    trial.catalog.set("drains", NodeState::Draining);
    thread::sleep(ms(3000));
    trial.catalog.restart("drains");
    trial.is_used_again("drains");
    trial.catalog.set("drains", NodeState::Draining);
    trial.finish_after(PATIENCE)
}

/// Guards against taking all updates of a restarted service for old.
#[test]
fn a_service_that_has_restarted_with_lower_versions_is_heard() {
    let kinds = [AheadAnswer::Snapshot, AheadAnswer::Nothing].iter().flat_map(|&a| BOTH.map(|way| (a, way)));
    all_pass(kinds.collect(), |(ahead, way)| restarted_service(ahead, way));
}

// ---- Lines that cannot be read. ----

/// Which line cannot be read.
#[derive(Debug, Clone, Copy, PartialEq)]
enum BadLine {
    /// That of a node that is up, beside the line of one that drains.
    OfAnother,
    /// That of the node that drains.
    ItsOwn,
}

/// Where the bad line comes.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Within {
    Delta,
    Snapshot,
}

fn bad_line(whose: BadLine, place: Within, spoilt: MalformedLine, delivery: Delivery) -> Verdict {
    let mut trial = Trial::new(&format!("bad line {whose:?} {place:?} {spoilt:?}"), delivery, &NODES);
    let service = trial.service();
    trial.start(&service);
    trial.in_use(&NODES);
    let spoilt_uid = if whose == BadLine::ItsOwn { "drains" } else { "stays-2" };
    service.faults(|f| {
        f.snapshot_first = place == Within::Snapshot;
        f.spoilt.extend([(spoilt_uid.to_string(), spoilt)]);
    });
    let written = service.writes().len();
    if place == Within::Snapshot {
        service.end_connections();
    }
    trial.catalog.set_all(&[("stays-2", NodeState::Up), ("drains", NodeState::Draining)], Duration::ZERO);
    until_written(&service, written);
    thread::sleep(ms(2500));
    // Good lines again, on a new watch: all is as it was.
    service.faults(|f| f.spoilt.clear());
    service.end_connections();
    trial.finish_after(ms(4000))
}

/// Guards the changes of all others against one line that cannot be read, and the state of a node whose line cannot be read
/// in whole.
#[test]
fn an_unreadable_line_costs_no_other_change() {
    let all = [
        MalformedLine::EndpointNull,
        MalformedLine::EndpointNoAddress,
        MalformedLine::CellMissing,
        MalformedLine::CapacityNull,
        MalformedLine::BootTimeNull,
        MalformedLine::StateNull,
        MalformedLine::UidMissing,
        MalformedLine::NotAnObject,
    ];
    // One that drains with a state or a uid that cannot be read says nothing.
    let its_own = all.iter().filter(|spoilt| spoilt.says_state()).map(|&spoilt| (BadLine::ItsOwn, spoilt));
    let lines = all.iter().map(|&spoilt| (BadLine::OfAnother, spoilt)).chain(its_own);
    let kinds = lines.flat_map(|(whose, spoilt)| {
        let delta = BOTH.map(|way| (whose, Within::Delta, spoilt, way));
        delta.into_iter().chain([(whose, Within::Snapshot, spoilt, Delivery::OnRequest)])
    });
    all_pass(kinds.collect(), |(whose, place, spoilt, way)| bad_line(whose, place, spoilt, way));
}
