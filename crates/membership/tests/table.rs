//! The state of a data node after updates that arrive in any order.

use curlewdeck_membership::{Line, MembershipTable, State, Update};
use proptest::prelude::*;

fn line(name: &str, state: State, started_at: u64) -> Line<u64> {
    Line { name: name.to_string(), state, started_at: Some(started_at), details: Some(started_at) }
}

fn delta(version: u64, lines: Vec<Line<u64>>) -> Update<u64> {
    Update { version, complete: false, lines }
}

fn snapshot(version: u64, lines: Vec<Line<u64>>) -> Update<u64> {
    Update { version, complete: true, lines }
}

/// Applies an update and returns the resulting state of one data node; `None` if the result does not name it.
fn state_after(table: &mut MembershipTable<u64>, update: Update<u64>, name: &str) -> Option<State> {
    table.apply(update).lines.iter().find(|line| line.name == name).map(|line| line.state)
}

/// A lagging replica of discovery or a late response sends an older snapshot or delta in which the draining node is up.
#[test]
fn an_older_update_does_not_return_a_draining_node_to_service() {
    for older in [snapshot(40, vec![line("a", State::Up, 7)]), delta(40, vec![line("a", State::Up, 7)])] {
        let mut table = MembershipTable::default();
        table.apply(snapshot(39, vec![line("a", State::Up, 7)]));
        table.apply(delta(41, vec![line("a", State::Draining, 7)]));
        assert_eq!(state_after(&mut table, older, "a"), Some(State::Draining));
        let newer = delta(42, vec![line("a", State::Up, 7)]);
        assert_eq!(state_after(&mut table, newer, "a"), Some(State::Up));
    }
}

/// A node is removed by a line or by its absence from a snapshot, and then an older update that lists it as up arrives.
#[test]
fn a_removed_node_returns_with_a_later_start_but_not_with_an_older_update() {
    for removal in
        [delta(41, vec![line("a", State::Removed, 7)]), snapshot(41, vec![line("b", State::Up, 7)])]
    {
        let mut table = MembershipTable::default();
        table.apply(snapshot(39, vec![line("a", State::Up, 7)]));
        table.apply(removal);
        let older = snapshot(40, vec![line("a", State::Up, 7), line("b", State::Up, 7)]);
        assert_ne!(state_after(&mut table, older, "a"), Some(State::Up));
        let restarted = delta(40, vec![line("a", State::Up, 8)]);
        assert_eq!(state_after(&mut table, restarted, "a"), Some(State::Up));
    }
}

/// A restarted discovery counts versions from the beginning. Its drains and removals must not be dropped as outdated.
#[test]
fn a_service_with_lower_versions_takes_nodes_out_of_service() {
    let mut table = MembershipTable::default();
    table.apply(snapshot(41, vec![line("a", State::Up, 7), line("b", State::Up, 7)]));
    assert_eq!(
        state_after(&mut table, delta(3, vec![line("a", State::Draining, 7)]), "a"),
        Some(State::Draining)
    );
    table.apply(snapshot(4, vec![line("a", State::Draining, 7)]));
    assert_ne!(state_after(&mut table, delta(3, vec![line("b", State::Up, 7)]), "b"), Some(State::Up));
    assert_eq!(state_after(&mut table, delta(5, vec![line("b", State::Up, 7)]), "b"), Some(State::Up));
}

/// A late update of a node's earlier process must not be applied to its restarted process.
#[test]
fn an_older_update_of_an_earlier_process_is_ignored() {
    let mut table = MembershipTable::default();
    table.apply(delta(40, vec![line("a", State::Up, 8)]));
    assert_eq!(state_after(&mut table, delta(39, vec![line("a", State::Draining, 7)]), "a"), Some(State::Up));
}

/// A line with only a readable name and state takes a known node out of service and keeps its other fields. It must not
/// add an unknown node.
#[test]
fn a_partial_line_keeps_the_known_fields() {
    let partial = |name: &str, state| Line { name: name.to_string(), state, started_at: None, details: None };
    let mut table = MembershipTable::default();
    table.apply(snapshot(1, vec![line("a", State::Up, 7)]));
    let applied = table.apply(delta(2, vec![partial("a", State::Draining), partial("b", State::Up)]));
    assert_eq!(applied.lines, vec![line("a", State::Draining, 7)]);
    // In a snapshot, a partial line neither puts its node into service nor removes it.
    for state in [State::Draining, State::Up] {
        let applied = table.apply(snapshot(3, vec![partial("a", state)]));
        assert_eq!(applied.lines, vec![line("a", State::Draining, 7)]);
    }
}

/// Without eviction of removed nodes the table would grow without limit.
#[test]
fn the_earliest_removed_nodes_are_evicted() {
    let mut table = MembershipTable::default();
    for version in 0..20_000 {
        let name = format!("node-{version}");
        table.apply(delta(version, vec![line(&name, State::Up, 1), line(&name, State::Removed, 1)]));
    }
    assert!(table.len() < 5000, "{}", table.len());
}

fn any_state() -> impl Strategy<Value = State> {
    prop_oneof![Just(State::Up), Just(State::Draining), Just(State::Removed)]
}

proptest! {
    /// A data node that is out of service returns only with an update that is not older or with a later start. An
    /// update that takes it out of service applies at once, unless it is older and concerns an earlier process.
    #[test]
    fn a_node_out_of_service_returns_only_with_a_newer_update_or_start(
        steps in proptest::collection::vec((0_u64..12, any::<bool>(), any_state(), 0_u64..3, any::<bool>()), 1..60)
    ) {
        let mut table = MembershipTable::default();
        // The version and the start of the last update that took the node out of service, while it is out of service.
        let mut out: Option<(u64, u64)> = None;
        let (mut state, mut version_of_state, mut latest_boot) = (None, 0, 0);
        for (version, complete, new_state, started_at, named) in steps {
            let lines = if named { vec![line("a", new_state, started_at)] } else { Vec::new() };
            let before = state;
            let now = state_after(&mut table, Update { version, complete, lines }, "a");
            let current = if named || complete { now.or(Some(State::Removed)).filter(|_| before.is_some() || named) } else { before };
            let takes_out = named && new_state != State::Up || !named && complete && before.is_some();
            let of_earlier_process = named && before.is_some() && version < version_of_state && started_at < latest_boot;
            if takes_out && !of_earlier_process {
                prop_assert_ne!(current, Some(State::Up));
            }
            if let (Some((out_version, out_boot)), Some(State::Up)) = (out, current) {
                prop_assert!(named && new_state == State::Up && (version >= out_version || started_at > out_boot));
            }
            if named && !of_earlier_process {
                latest_boot = latest_boot.max(started_at);
            }
            match current {
                Some(State::Up) => {
                    version_of_state = if before == Some(State::Up) { version_of_state.max(if named { version } else { 0 }) } else { version };
                    out = None;
                }
                Some(_) => {
                    let restarted = out.is_some_and(|(_, out_boot)| latest_boot > out_boot);
                    let taken = if takes_out && !of_earlier_process { version } else { 0 };
                    let kept = out.map_or(0, |(out_version, _)| out_version);
                    version_of_state = if restarted { taken } else { kept.max(taken) };
                    out = Some((version_of_state, latest_boot));
                }
                None => {}
            }
            state = current;
        }
    }
}
