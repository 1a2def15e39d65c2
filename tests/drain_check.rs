//! Tests the drain rule checker: it reports each kind of violation and accepts logs that keep the rule.

mod harness;

use std::time::{Duration, Instant};

use harness::drain_check::{
    violations, Assignment, AvailableVersion, Change, CoordinatorLog, Delivery, NodeState, PartStart,
    ReachabilityChange, Reason, ReportedState, ServiceLog, Silence, Violation, WatchEnd, Write,
    WrittenUpdate,
};

/// Converts seconds since its creation to instants.
struct Clock(Instant);

impl Clock {
    fn new() -> Self {
        Self(Instant::now())
    }

    fn at(&self, seconds: f64) -> Instant {
        self.0 + Duration::from_secs_f64(seconds)
    }

    fn change(&self, seconds: f64, version: u64, uid: &str, state: NodeState) -> Change {
        Change { at: self.at(seconds), version, uid: uid.to_string(), state }
    }

    fn available(&self, seconds: f64, version: u64) -> AvailableVersion {
        AvailableVersion { at: self.at(seconds), version }
    }

    fn write(&self, seconds: f64, connection: u64, update: WrittenUpdate) -> Write {
        Write { at: self.at(seconds), connection, update }
    }

    fn part(&self, seconds: f64) -> PartStart {
        PartStart { coordinator: 0, uid: "x".to_string(), at: self.at(seconds) }
    }
}

fn listed(state: ReportedState) -> Vec<(String, ReportedState)> {
    vec![("x".to_string(), state)]
}

/// Logs of one coordinator that starts at second 0, and of a node that drains in version 2 at second 10; its discovery
/// service has that version from then on.
struct Log {
    clock: Clock,
    changes: Vec<Change>,
    coordinator: CoordinatorLog,
}

impl Log {
    fn new(delivery: Delivery) -> Self {
        let clock = Clock::new();
        let changes =
            vec![clock.change(0.0, 1, "x", NodeState::Up), clock.change(10.0, 2, "x", NodeState::Draining)];
        let service = ServiceLog {
            available: vec![clock.available(0.0, 1), clock.available(10.0, 2)],
            ..ServiceLog::default()
        };
        let assignments = vec![Assignment { from: clock.at(0.0), service }];
        Self { clock, changes, coordinator: CoordinatorLog { delivery, assignments } }
    }

    fn service(&mut self) -> &mut ServiceLog {
        &mut self.coordinator.assignments[0].service
    }

    fn write(&mut self, seconds: f64, connection: u64, update: WrittenUpdate) {
        let write = self.clock.write(seconds, connection, update);
        self.service().writes.push(write);
    }

    fn set_reachable(&mut self, seconds: f64, reachable: bool) {
        let change = ReachabilityChange { at: self.clock.at(seconds), reachable };
        self.service().reachability.push(change);
    }

    fn silence(&mut self, seconds: f64, connection: u64) {
        let silence = Silence { at: self.clock.at(seconds), connection };
        self.service().silences.push(silence);
    }

    fn end(&mut self, seconds: f64, connection: u64) {
        let end = WatchEnd { at: self.clock.at(seconds), connection };
        self.service().ends.push(end);
    }

    fn violations(&self, parts: &[f64]) -> Vec<Violation> {
        let parts: Vec<PartStart> = parts.iter().map(|&seconds| self.clock.part(seconds)).collect();
        violations(&self.changes, std::slice::from_ref(&self.coordinator), &parts)
    }

    /// Asserts that a part violates the rule from 0.3 s after this moment on, for this reason, and not earlier.
    fn assert_notified_at(&self, seconds: f64, reason: Reason) {
        assert_eq!(self.violations(&[1.0, seconds - 0.01, seconds + 0.1, seconds + 0.29]), []);
        let found = self.violations(&[seconds + 0.31]);
        let [violation] = &found[..] else { panic!("{found:?}") };
        assert_eq!((violation.coordinator, violation.uid.as_str()), (0, "x"));
        assert_eq!((violation.notified_at, violation.reason), (self.clock.at(seconds), reason));
        assert_eq!(violation.started_at, self.clock.at(seconds + 0.31));
        assert!(violation.late_by() < Duration::from_millis(11), "{:?}", violation.late_by());
    }
}

#[test]
fn written_update_notifies_from_its_last_byte() {
    for update in [
        WrittenUpdate::Delta(listed(ReportedState::Closed)),
        WrittenUpdate::Snapshot(listed(ReportedState::Closed)),
        WrittenUpdate::Snapshot(Vec::new()),
    ] {
        let mut log = Log::new(Delivery::OnRequest);
        log.write(11.0, 1, update);
        log.assert_notified_at(11.0, Reason::Written);
    }
}

#[test]
fn heartbeats_malformed_lines_and_changes_of_other_nodes_do_not_notify() {
    let other = vec![("y".to_string(), ReportedState::Closed)];
    for update in [
        WrittenUpdate::Heartbeat,
        WrittenUpdate::Snapshot(listed(ReportedState::Unreadable)),
        WrittenUpdate::Delta(other),
    ] {
        let mut log = Log::new(Delivery::OnRequest);
        log.write(11.0, 1, update);
        log.assert_notified_at(16.0, Reason::AvailableFor6s);
    }
}

#[test]
fn available_change_notifies_after_6_s_without_any_call() {
    Log::new(Delivery::OnRequest).assert_notified_at(16.0, Reason::AvailableFor6s);
}

#[test]
fn limit_of_6_s_starts_when_discovery_is_reachable() {
    let mut log = Log::new(Delivery::OnRequest);
    log.set_reachable(5.0, false);
    log.set_reachable(30.0, true);
    log.assert_notified_at(36.0, Reason::AvailableFor6s);
}

#[test]
fn unreachable_discovery_does_not_notify() {
    for delivery in [Delivery::OnRequest, Delivery::Pushed] {
        let mut log = Log::new(delivery);
        log.set_reachable(5.0, false);
        assert_eq!(log.violations(&[11.0, 60.0]), []);
    }
}

#[test]
fn change_available_before_the_start_notifies_at_the_start() {
    for (delivery, late) in
        [(Delivery::OnRequest, Reason::AvailableFor6s), (Delivery::Pushed, Reason::AvailableToAgent)]
    {
        let mut log = Log::new(delivery);
        log.coordinator.assignments[0].from = log.clock.at(20.0);
        // Written to an earlier process: the update notifies that process only.
        log.write(10.0, 1, WrittenUpdate::Delta(listed(ReportedState::Closed)));
        assert_eq!(log.violations(&[20.01]).iter().map(|v| v.reason).collect::<Vec<_>>(), [late]);
    }
}

#[test]
fn change_available_to_the_agent_notifies_at_once() {
    Log::new(Delivery::Pushed).assert_notified_at(10.0, Reason::AvailableToAgent);
}

#[test]
fn agent_receives_missed_changes_when_discovery_is_reachable_again() {
    let mut log = Log::new(Delivery::Pushed);
    log.set_reachable(5.0, false);
    log.set_reachable(30.0, true);
    log.assert_notified_at(30.0, Reason::AvailableToAgent);
}

#[test]
fn change_missed_by_a_silent_watch_notifies_6_s_after_the_silence_began() {
    for delivery in [Delivery::OnRequest, Delivery::Pushed] {
        let mut log = Log::new(delivery);
        log.write(6.0, 1, WrittenUpdate::Heartbeat);
        log.silence(7.0, 1);
        log.assert_notified_at(13.0, Reason::WatchSilentFor6s);
    }
}

#[test]
fn write_to_another_connection_ends_a_silence() {
    let mut log = Log::new(Delivery::OnRequest);
    log.silence(7.0, 1);
    log.write(9.0, 2, WrittenUpdate::Heartbeat);
    log.assert_notified_at(16.0, Reason::AvailableFor6s);
}

#[test]
fn change_not_delivered_by_an_ended_watch_notifies_2_s_after_its_end() {
    let mut log = Log::new(Delivery::OnRequest);
    log.write(9.0, 1, WrittenUpdate::Heartbeat);
    log.end(10.5, 1);
    log.assert_notified_at(12.5, Reason::WatchEndedFor2s);
}

#[test]
fn end_of_a_watch_that_was_not_open_at_the_change_does_not_notify() {
    let mut log = Log::new(Delivery::OnRequest);
    log.write(8.0, 1, WrittenUpdate::Heartbeat);
    log.end(9.0, 1);
    log.write(11.0, 2, WrittenUpdate::Heartbeat);
    log.end(11.5, 2);
    log.assert_notified_at(16.0, Reason::AvailableFor6s);
}

fn moved_log(delivery: Delivery, available: f64, sighup: f64) -> Log {
    let mut log = Log::new(delivery);
    log.service().available.pop();
    let service = ServiceLog { available: vec![log.clock.available(available, 2)], ..ServiceLog::default() };
    log.coordinator.assignments.push(Assignment { from: log.clock.at(sighup), service });
    log
}

#[test]
fn change_missed_by_a_silent_watch_of_a_new_service_notifies_6_s_after_the_silence_began() {
    let mut log = moved_log(Delivery::Pushed, 10.0, 3.0);
    let heartbeat = log.clock.write(3.5, 7, WrittenUpdate::Heartbeat);
    let silence = Silence { at: log.clock.at(8.0), connection: 7 };
    let next = &mut log.coordinator.assignments[1].service;
    next.writes.push(heartbeat);
    next.silences.push(silence);
    log.assert_notified_at(14.0, Reason::WatchSilentFor6s);
}

#[test]
fn change_available_at_a_new_service_notifies_4_s_after_sighup() {
    for delivery in [Delivery::OnRequest, Delivery::Pushed] {
        moved_log(delivery, 10.0, 12.0).assert_notified_at(16.0, Reason::SighupFor4s);
    }
}

#[test]
fn change_that_reaches_a_new_service_after_sighup_notifies_later() {
    moved_log(Delivery::OnRequest, 13.0, 12.0).assert_notified_at(19.0, Reason::AvailableFor6s);
    moved_log(Delivery::Pushed, 13.0, 12.0).assert_notified_at(16.0, Reason::SighupFor4s);
    moved_log(Delivery::Pushed, 20.0, 12.0).assert_notified_at(20.0, Reason::SighupFor4s);
}

#[test]
fn another_sighup_restarts_the_4_s_within_the_6_s() {
    for (second, notified, reason) in
        [(13.5, 17.5, Reason::SighupFor4s), (15.5, 18.0, Reason::AvailableFor6s)]
    {
        let mut log = moved_log(Delivery::OnRequest, 10.0, 12.0);
        let service = log.coordinator.assignments[1].service.clone();
        log.coordinator.assignments.push(Assignment { from: log.clock.at(second), service });
        log.assert_notified_at(notified, reason);
    }
}

#[test]
fn writes_of_the_previous_service_after_a_move_do_not_notify() {
    let mut log = moved_log(Delivery::OnRequest, 10.0, 12.0);
    log.write(12.5, 1, WrittenUpdate::Delta(listed(ReportedState::Closed)));
    log.assert_notified_at(16.0, Reason::SighupFor4s);
}

#[test]
fn first_of_several_closing_changes_notifies() {
    let mut log = Log::new(Delivery::OnRequest);
    log.changes.push(log.clock.change(12.0, 3, "x", NodeState::Removed));
    let available = log.clock.available(12.0, 3);
    log.service().available.push(available);
    log.write(12.5, 1, WrittenUpdate::Delta(listed(ReportedState::Closed)));
    log.assert_notified_at(12.5, Reason::Written);
    assert_eq!(log.violations(&[15.0])[0].reason, Reason::Written);
}

#[test]
fn older_update_with_the_state_up_does_not_reopen_a_node() {
    let mut log = Log::new(Delivery::OnRequest);
    log.write(11.0, 1, WrittenUpdate::Delta(listed(ReportedState::Closed)));
    log.write(12.0, 2, WrittenUpdate::Snapshot(listed(ReportedState::Up)));
    assert_eq!(log.violations(&[12.1, 20.0]).len(), 2);
}

#[test]
fn node_that_is_up_again_may_receive_parts() {
    let mut log = Log::new(Delivery::OnRequest);
    log.write(11.0, 1, WrittenUpdate::Delta(listed(ReportedState::Closed)));
    log.changes.push(log.clock.change(20.0, 3, "x", NodeState::Up));
    assert_eq!(log.violations(&[19.0]).len(), 1);
    assert_eq!(log.violations(&[20.5, 60.0]), []);
    log.changes.push(log.clock.change(30.0, 4, "x", NodeState::Draining));
    let available = log.clock.available(30.0, 4);
    log.service().available.push(available);
    log.assert_notified_at(36.0, Reason::AvailableFor6s);
}

#[test]
fn snapshot_without_a_node_that_is_up_removes_it() {
    let mut log = Log::new(Delivery::OnRequest);
    log.changes.pop();
    log.write(5.0, 1, WrittenUpdate::Snapshot(listed(ReportedState::Up)));
    log.write(8.0, 1, WrittenUpdate::Snapshot(Vec::new()));
    log.write(9.0, 1, WrittenUpdate::Snapshot(Vec::new()));
    log.assert_notified_at(8.0, Reason::Written);
    log.write(12.0, 1, WrittenUpdate::Snapshot(listed(ReportedState::Up)));
    assert_eq!(log.violations(&[12.1, 20.0]), []);
}

#[test]
fn coordinator_is_checked_against_its_own_updates_only() {
    let mut log = Log::new(Delivery::OnRequest);
    let not_notified = log.coordinator.clone();
    log.write(11.0, 1, WrittenUpdate::Delta(listed(ReportedState::Closed)));
    let at = log.clock.at(12.0);
    let part = |coordinator| PartStart { coordinator, uid: "x".to_string(), at };
    let found = violations(&log.changes, &[log.coordinator.clone(), not_notified], &[part(0), part(1)]);
    assert_eq!(found.iter().map(|v| v.coordinator).collect::<Vec<_>>(), [0]);
}
