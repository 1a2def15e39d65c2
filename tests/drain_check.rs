//! The checker of the drain rule finds each kind of planted break, and passes logs that keep the rule.

mod harness;

use std::time::{Duration, Instant};

use harness::drain_check::{
    violations, Assignment, Change, CoordinatorLog, Delivery, Had, NodeState, PartBegun, Reach, Reason, Said,
    ServiceLog, Silence, Violation, WatchEnd, Write, WrittenUpdate,
};

/// Each log's moments are seconds from here.
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

    fn had(&self, seconds: f64, version: u64) -> Had {
        Had { at: self.at(seconds), version }
    }

    fn wrote(&self, seconds: f64, connection: u64, update: WrittenUpdate) -> Write {
        Write { at: self.at(seconds), connection, update }
    }

    fn part(&self, seconds: f64) -> PartBegun {
        PartBegun { coordinator: 0, uid: "x".to_string(), at: self.at(seconds) }
    }
}

fn says(said: Said) -> Vec<(String, Said)> {
    vec![("x".to_string(), said)]
}

/// One coordinator from second 0 on, and a node that drains in version 2 at second 10 and is had by its service then.
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
        let service =
            ServiceLog { had: vec![clock.had(0.0, 1), clock.had(10.0, 2)], ..ServiceLog::default() };
        let assignments = vec![Assignment { from: clock.at(0.0), service }];
        Self { clock, changes, coordinator: CoordinatorLog { delivery, assignments } }
    }

    fn service(&mut self) -> &mut ServiceLog {
        &mut self.coordinator.assignments[0].service
    }

    fn write(&mut self, seconds: f64, connection: u64, update: WrittenUpdate) {
        let write = self.clock.wrote(seconds, connection, update);
        self.service().writes.push(write);
    }

    fn reach(&mut self, seconds: f64, reachable: bool) {
        let reach = Reach { at: self.clock.at(seconds), reachable };
        self.service().reach.push(reach);
    }

    fn silence(&mut self, seconds: f64, connection: u64) {
        let silence = Silence { at: self.clock.at(seconds), connection };
        self.service().silences.push(silence);
    }

    fn end(&mut self, seconds: f64, connection: u64) {
        let end = WatchEnd { at: self.clock.at(seconds), connection };
        self.service().ends.push(end);
    }

    fn found(&self, parts: &[f64]) -> Vec<Violation> {
        let parts: Vec<PartBegun> = parts.iter().map(|&seconds| self.clock.part(seconds)).collect();
        violations(&self.changes, std::slice::from_ref(&self.coordinator), &parts)
    }

    /// A part counts as late from 0.3 s after this moment on, for this reason, and not before.
    fn notified(&self, seconds: f64, reason: Reason) {
        assert_eq!(self.found(&[1.0, seconds - 0.01, seconds + 0.1, seconds + 0.29]), []);
        let found = self.found(&[seconds + 0.31]);
        let [violation] = &found[..] else { panic!("{found:?}") };
        assert_eq!((violation.coordinator, violation.uid.as_str()), (0, "x"));
        assert_eq!((violation.notified_at, violation.reason), (self.clock.at(seconds), reason));
        assert_eq!(violation.begun_at, self.clock.at(seconds + 0.31));
        assert!(violation.late_by() < Duration::from_millis(11), "{:?}", violation.late_by());
    }
}

#[test]
fn what_is_written_counts_from_its_last_byte() {
    for update in [
        WrittenUpdate::Delta(says(Said::Shut)),
        WrittenUpdate::Snapshot(says(Said::Shut)),
        WrittenUpdate::Snapshot(Vec::new()),
    ] {
        let mut log = Log::new(Delivery::OnRequest);
        log.write(11.0, 1, update);
        log.notified(11.0, Reason::Written);
    }
}

#[test]
fn heartbeats_unreadable_lines_and_changes_of_others_notify_of_nothing() {
    let other = vec![("y".to_string(), Said::Shut)];
    for update in [
        WrittenUpdate::Heartbeat,
        WrittenUpdate::Snapshot(says(Said::Unreadable)),
        WrittenUpdate::Delta(other),
    ] {
        let mut log = Log::new(Delivery::OnRequest);
        log.write(11.0, 1, update);
        log.notified(16.0, Reason::HadFor6s);
    }
}

#[test]
fn what_discovery_had_counts_6_s_later_whatever_became_of_the_calls() {
    Log::new(Delivery::OnRequest).notified(16.0, Reason::HadFor6s);
}

#[test]
fn the_6_s_begin_when_discovery_can_be_reached() {
    let mut log = Log::new(Delivery::OnRequest);
    log.reach(5.0, false);
    log.reach(30.0, true);
    log.notified(36.0, Reason::HadFor6s);
}

#[test]
fn nothing_counts_while_discovery_stays_down() {
    for delivery in [Delivery::OnRequest, Delivery::Pushed] {
        let mut log = Log::new(delivery);
        log.reach(5.0, false);
        assert_eq!(log.found(&[11.0, 60.0]), []);
    }
}

#[test]
fn what_was_had_before_the_start_counts_from_the_first_moment() {
    for (delivery, late) in [(Delivery::OnRequest, Reason::HadFor6s), (Delivery::Pushed, Reason::AgentHad)] {
        let mut log = Log::new(delivery);
        log.coordinator.assignments[0].from = log.clock.at(20.0);
        // To an earlier process: it counts for that one only.
        log.write(10.0, 1, WrittenUpdate::Delta(says(Said::Shut)));
        assert_eq!(log.found(&[20.01]).iter().map(|v| v.reason).collect::<Vec<_>>(), [late]);
    }
}

#[test]
fn what_the_agent_has_counts_at_once() {
    Log::new(Delivery::Pushed).notified(10.0, Reason::AgentHad);
}

#[test]
fn the_agent_learns_at_the_return_what_it_missed() {
    let mut log = Log::new(Delivery::Pushed);
    log.reach(5.0, false);
    log.reach(30.0, true);
    log.notified(30.0, Reason::AgentHad);
}

#[test]
fn what_a_silent_watch_misses_counts_6_s_after_it_fell_silent() {
    for delivery in [Delivery::OnRequest, Delivery::Pushed] {
        let mut log = Log::new(delivery);
        log.write(6.0, 1, WrittenUpdate::Heartbeat);
        log.silence(7.0, 1);
        log.notified(13.0, Reason::WatchSilentFor6s);
    }
}

#[test]
fn a_silence_is_over_once_another_connection_is_written_to() {
    let mut log = Log::new(Delivery::OnRequest);
    log.silence(7.0, 1);
    log.write(9.0, 2, WrittenUpdate::Heartbeat);
    log.notified(16.0, Reason::HadFor6s);
}

#[test]
fn what_an_ended_watch_should_have_brought_counts_2_s_after_its_end() {
    let mut log = Log::new(Delivery::OnRequest);
    log.write(9.0, 1, WrittenUpdate::Heartbeat);
    log.end(10.5, 1);
    log.notified(12.5, Reason::WatchEndedFor2s);
}

#[test]
fn the_end_of_a_watch_before_a_change_or_of_one_that_began_after_it_notifies_of_nothing() {
    let mut log = Log::new(Delivery::OnRequest);
    log.write(8.0, 1, WrittenUpdate::Heartbeat);
    log.end(9.0, 1);
    log.write(11.0, 2, WrittenUpdate::Heartbeat);
    log.end(11.5, 2);
    log.notified(16.0, Reason::HadFor6s);
}

fn moved(delivery: Delivery, had: f64, sighup: f64) -> Log {
    let mut log = Log::new(delivery);
    log.service().had.pop();
    let service = ServiceLog { had: vec![log.clock.had(had, 2)], ..ServiceLog::default() };
    log.coordinator.assignments.push(Assignment { from: log.clock.at(sighup), service });
    log
}

#[test]
fn what_a_silent_watch_of_a_new_service_misses_counts_6_s_after_it_fell_silent() {
    let mut log = moved(Delivery::Pushed, 10.0, 3.0);
    let heartbeat = log.clock.wrote(3.5, 7, WrittenUpdate::Heartbeat);
    let silence = Silence { at: log.clock.at(8.0), connection: 7 };
    let next = &mut log.coordinator.assignments[1].service;
    next.writes.push(heartbeat);
    next.silences.push(silence);
    log.notified(14.0, Reason::WatchSilentFor6s);
}

#[test]
fn what_a_new_service_has_counts_4_s_after_sighup() {
    for delivery in [Delivery::OnRequest, Delivery::Pushed] {
        moved(delivery, 10.0, 12.0).notified(16.0, Reason::SighupFor4s);
    }
}

#[test]
fn what_a_new_service_comes_to_have_counts_later() {
    moved(Delivery::OnRequest, 13.0, 12.0).notified(19.0, Reason::HadFor6s);
    moved(Delivery::Pushed, 13.0, 12.0).notified(16.0, Reason::SighupFor4s);
    moved(Delivery::Pushed, 20.0, 12.0).notified(20.0, Reason::SighupFor4s);
}

#[test]
fn another_sighup_begins_another_4_s_within_the_6() {
    for (second, notified, reason) in [(13.5, 17.5, Reason::SighupFor4s), (15.5, 18.0, Reason::HadFor6s)] {
        let mut log = moved(Delivery::OnRequest, 10.0, 12.0);
        let service = log.coordinator.assignments[1].service.clone();
        log.coordinator.assignments.push(Assignment { from: log.clock.at(second), service });
        log.notified(notified, reason);
    }
}

#[test]
fn what_the_service_before_a_move_writes_later_does_not_count() {
    let mut log = moved(Delivery::OnRequest, 10.0, 12.0);
    log.write(12.5, 1, WrittenUpdate::Delta(says(Said::Shut)));
    log.notified(16.0, Reason::SighupFor4s);
}

#[test]
fn the_first_of_several_shut_states_counts() {
    let mut log = Log::new(Delivery::OnRequest);
    log.changes.push(log.clock.change(12.0, 3, "x", NodeState::Removed));
    let had = log.clock.had(12.0, 3);
    log.service().had.push(had);
    log.write(12.5, 1, WrittenUpdate::Delta(says(Said::Shut)));
    log.notified(12.5, Reason::Written);
    assert_eq!(log.found(&[15.0])[0].reason, Reason::Written);
}

#[test]
fn an_older_update_that_it_is_up_opens_nothing() {
    let mut log = Log::new(Delivery::OnRequest);
    log.write(11.0, 1, WrittenUpdate::Delta(says(Said::Shut)));
    log.write(12.0, 2, WrittenUpdate::Snapshot(says(Said::Up)));
    assert_eq!(log.found(&[12.1, 20.0]).len(), 2);
}

#[test]
fn a_node_that_is_up_again_is_open() {
    let mut log = Log::new(Delivery::OnRequest);
    log.write(11.0, 1, WrittenUpdate::Delta(says(Said::Shut)));
    log.changes.push(log.clock.change(20.0, 3, "x", NodeState::Up));
    assert_eq!(log.found(&[19.0]).len(), 1);
    assert_eq!(log.found(&[20.5, 60.0]), []);
    log.changes.push(log.clock.change(30.0, 4, "x", NodeState::Draining));
    let had = log.clock.had(30.0, 4);
    log.service().had.push(had);
    log.notified(36.0, Reason::HadFor6s);
}

#[test]
fn a_snapshot_that_leaves_out_a_node_that_is_up_removes_it() {
    let mut log = Log::new(Delivery::OnRequest);
    log.changes.pop();
    log.write(5.0, 1, WrittenUpdate::Snapshot(says(Said::Up)));
    log.write(8.0, 1, WrittenUpdate::Snapshot(Vec::new()));
    log.write(9.0, 1, WrittenUpdate::Snapshot(Vec::new()));
    log.notified(8.0, Reason::Written);
    log.write(12.0, 1, WrittenUpdate::Snapshot(says(Said::Up)));
    assert_eq!(log.found(&[12.1, 20.0]), []);
}

#[test]
fn each_coordinator_is_checked_against_its_own_updates() {
    let mut log = Log::new(Delivery::OnRequest);
    let well = log.coordinator.clone();
    log.write(11.0, 1, WrittenUpdate::Delta(says(Said::Shut)));
    let at = log.clock.at(12.0);
    let part = |coordinator| PartBegun { coordinator, uid: "x".to_string(), at };
    let found = violations(&log.changes, &[log.coordinator.clone(), well], &[part(0), part(1)]);
    assert_eq!(found.iter().map(|v| v.coordinator).collect::<Vec<_>>(), [0]);
}
