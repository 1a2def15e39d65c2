//! Which update of a data node is in force, whatever the order in which updates come.

use curlewdeck_membership::{Line, MembershipTable, State, Update};
use proptest::prelude::*;

fn line(uid: &str, state: State, boot: u64) -> Line<u64> {
    Line { uid: uid.to_string(), state, boot: Some(boot), member: Some(boot) }
}

fn delta(version: u64, lines: Vec<Line<u64>>) -> Update<u64> {
    Update { version, complete: false, lines }
}

fn snapshot(version: u64, lines: Vec<Line<u64>>) -> Update<u64> {
    Update { version, complete: true, lines }
}

/// The state that an update leaves one data node in, as the embedder sees it; none where it is not named.
fn state_after(table: &mut MembershipTable<u64>, update: Update<u64>, uid: &str) -> Option<State> {
    table.apply(update).lines.iter().find(|line| line.uid == uid).map(|line| line.state)
}

/// Guards a data node that drains against an older snapshot or delta that still has it up: a lagging replica, or a late
/// response.
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

/// Guards a data node that was removed, by a line or by its absence, against the same; a later start of its process
/// returns it to service.
#[test]
fn a_removed_node_returns_by_a_later_start_but_not_by_an_older_update() {
    for leaves in [delta(41, vec![line("a", State::Removed, 7)]), snapshot(41, vec![line("b", State::Up, 7)])]
    {
        let mut table = MembershipTable::default();
        table.apply(snapshot(39, vec![line("a", State::Up, 7)]));
        table.apply(leaves);
        let older = snapshot(40, vec![line("a", State::Up, 7), line("b", State::Up, 7)]);
        assert_ne!(state_after(&mut table, older, "a"), Some(State::Up));
        let restarted = delta(40, vec![line("a", State::Up, 8)]);
        assert_eq!(state_after(&mut table, restarted, "a"), Some(State::Up));
    }
}

/// Guards drains and removals by a service that has restarted and counts from the beginning.
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

/// Guards a data node that has restarted against late updates of its earlier process.
#[test]
fn an_older_update_of_an_earlier_process_is_ignored() {
    let mut table = MembershipTable::default();
    table.apply(delta(40, vec![line("a", State::Up, 8)]));
    assert_eq!(state_after(&mut table, delta(39, vec![line("a", State::Draining, 7)]), "a"), Some(State::Up));
}

/// Guards a line of which only name and state could be read: it takes its data node out of service as it was known, and
/// says nothing of one that was not.
#[test]
fn a_partial_line_keeps_what_was_known() {
    let partial = |uid: &str, state| Line { uid: uid.to_string(), state, boot: None, member: None };
    let mut table = MembershipTable::default();
    table.apply(snapshot(1, vec![line("a", State::Up, 7)]));
    let in_force = table.apply(delta(2, vec![partial("a", State::Draining), partial("b", State::Up)]));
    assert_eq!(in_force.lines, vec![line("a", State::Draining, 7)]);
    // Neither does it put one into service, nor does a name alone make one leave.
    for state in [State::Draining, State::Up] {
        let in_force = table.apply(snapshot(3, vec![partial("a", state)]));
        assert_eq!(in_force.lines, vec![line("a", State::Draining, 7)]);
    }
}

/// Guards the memory that removed data nodes take.
#[test]
fn the_earliest_removed_nodes_are_forgotten() {
    let mut table = MembershipTable::default();
    for version in 0..20_000 {
        let uid = format!("node-{version}");
        table.apply(delta(version, vec![line(&uid, State::Up, 1), line(&uid, State::Removed, 1)]));
    }
    assert!(table.len() < 5000, "{}", table.len());
}

fn any_state() -> impl Strategy<Value = State> {
    prop_oneof![Just(State::Up), Just(State::Draining), Just(State::Removed)]
}

proptest! {
    /// Once a data node was taken out of service, only an update that is not older, or a later start, returns it; and an
    /// update that takes it out holds at once, unless it is older and of an earlier process.
    #[test]
    fn a_node_out_of_service_returns_by_a_newer_update_only(
        steps in proptest::collection::vec((0_u64..12, any::<bool>(), any_state(), 0_u64..3, any::<bool>()), 1..60)
    ) {
        let mut table = MembershipTable::default();
        // The version and start by which it was last taken out of service, while it is.
        let mut out: Option<(u64, u64)> = None;
        let (mut state, mut version_of_state, mut latest_boot) = (None, 0, 0);
        for (version, complete, said, boot, named) in steps {
            let lines = if named { vec![line("a", said, boot)] } else { Vec::new() };
            let before = state;
            let now = state_after(&mut table, Update { version, complete, lines }, "a");
            let in_force = if named || complete { now.or(Some(State::Removed)).filter(|_| before.is_some() || named) } else { before };
            let takes_out = named && said != State::Up || !named && complete && before.is_some();
            let of_earlier_process = named && before.is_some() && version < version_of_state && boot < latest_boot;
            if takes_out && !of_earlier_process {
                prop_assert_ne!(in_force, Some(State::Up));
            }
            if let (Some((out_version, out_boot)), Some(State::Up)) = (out, in_force) {
                prop_assert!(named && said == State::Up && (version >= out_version || boot > out_boot));
            }
            if named && !of_earlier_process {
                latest_boot = latest_boot.max(boot);
            }
            match in_force {
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
            state = in_force;
        }
    }
}
