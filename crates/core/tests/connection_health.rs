//! Connection health: idle connections that are dropped without notice, and new connections that cannot be established.

mod common;

use std::collections::{BTreeMap, BTreeSet};

use common::*;
use curlewdeck_core::api::*;

#[test]
fn silent_idle_connections_are_closed_before_use() {
    let settings = Settings { connection_idle_timeout: Some(30_000 * MS), ..settings() };
    let mut harness = PolicyHarness::new(settings, 3);
    serve(&mut harness, 20, 0, |_| false);
    let mut closed = 0;
    for _ in 0..12 {
        harness.now += 3000 * MS;
        let (_, _, actions) = harness.query(0, 1);
        let close = actions.iter().any(|a| matches!(a, Action::CloseIdleConnections { .. }));
        closed += u32::from(close);
        let first = sends(&actions)[0].server;
        serve_actions(&mut harness, &actions, |s| !close && s == first);
        serve(&mut harness, 6, 0, |_| false);
    }
    assert!(closed >= 4, "{closed}");
}

#[test]
fn connections_to_a_server_that_never_responds_are_not_closed() {
    let settings = Settings { connection_idle_timeout: Some(30_000 * MS), ..settings() };
    let mut harness = PolicyHarness::new(settings, 3);
    serve(&mut harness, 20, 0, |_| false);
    for _ in 0..30 {
        let (_, _, actions) = harness.query(0, 1);
        assert!(!actions.iter().any(|a| matches!(a, Action::CloseIdleConnections { .. })));
        serve_actions(&mut harness, &actions, |s| s == ServerId(0));
    }
}

#[test]
fn attempts_lost_together_on_an_idle_connection_do_not_count_against_connections_in_use() {
    let settings = Settings { connection_idle_timeout: Some(30_000 * MS), max_open: 1000, ..settings() };
    let mut harness = PolicyHarness::new(settings, 6);
    let (mut closed, mut lost, mut open) = (0, 0, BTreeSet::new());
    for _ in 0..12 {
        // Any connection idle for 3 s is dropped without notice: attempts on it get no response until it is closed.
        let (mut closed_now, mut in_flight, mut attempts) = (Vec::new(), Vec::new(), BTreeMap::new());
        let mut used = BTreeSet::new();
        let (_, _, mut actions) = harness.query(0, 12);
        for _ in 0..100 {
            for action in &actions {
                match action {
                    Action::CloseIdleConnections { server } => closed_now.push(*server),
                    Action::StartAttempt { part, server, .. } => {
                        let attempt = attempts.entry(*part).and_modify(|n| *n += 1).or_insert(0);
                        let sent = Sent { part: *part, server: *server };
                        let responds = closed_now.contains(server) || !open.contains(server);
                        used.insert(*server);
                        lost += usize::from(!responds);
                        in_flight.push((
                            harness.now + if responds { 100 } else { 600 } * MS,
                            sent,
                            *attempt,
                            responds,
                        ));
                    }
                    _ => {}
                }
            }
            harness.now += 50 * MS;
            let (due, not_due): (Vec<_>, Vec<_>) = in_flight.into_iter().partition(|o| o.0 <= harness.now);
            in_flight = not_due;
            let ended = due.iter().map(|(_, s, n, responds)| match responds {
                true => harness.ended(s, *n, Outcome::Success),
                false => harness.ended_after(s, *n, Outcome::TimedOut, 600 * MS),
            });
            let mut events: Vec<Event> = ended.collect();
            events.push(Event::TimerFired);
            actions = harness.round(events);
        }
        closed += closed_now.len();
        open.extend(used);
    }
    assert!(closed >= 50, "closed {closed}, lost {lost}");
}

#[test]
fn idle_connections_are_closed_even_if_most_servers_keep_theirs() {
    let mut harness =
        PolicyHarness::new(Settings { connection_idle_timeout: Some(30_000 * MS), ..settings() }, 5);
    for _ in 0..60 {
        let (_, _, actions) = harness.query(0, 1);
        harness.now += 20 * MS;
        let done = sends(&actions).iter().map(|s| harness.ended(s, 0, Outcome::Success)).collect();
        harness.round(done);
    }
    // On idle connections, one attempt in four is lost: a quarter of the servers drop them.
    let mut closed = 0;
    for n in 0..24 {
        harness.now += 3000 * MS;
        let (_, _, actions) = harness.query(0, 1);
        let closed_now = actions.iter().any(|a| matches!(a, Action::CloseIdleConnections { .. }));
        closed += usize::from(closed_now);
        let sent = sends(&actions)[0];
        harness.now += 600 * MS;
        let ended = match n % 4 == 0 && !closed_now {
            true => harness.ended_after(&sent, 0, Outcome::TimedOut, 600 * MS),
            false => harness.ended(&sent, 0, Outcome::Success),
        };
        let retries = sends(&harness.round(vec![ended]));
        harness.round(retries.iter().map(|s| harness.ended(s, 1, Outcome::Success)).collect());
    }
    assert!(closed >= 10, "{closed}");
}

/// Closing idle connections would do harm here: some of them are dropped without notice, but new connections often
/// cannot be established at all.
#[test]
fn idle_connections_are_kept_while_new_ones_cannot_be_established() {
    let mut harness =
        PolicyHarness::new(Settings { connection_idle_timeout: Some(30_000 * MS), ..settings() }, 5);
    let mut closed = 0;
    for n in 0..60 {
        harness.now += if n % 2 == 0 { 3000 } else { 50 } * MS;
        let (_, _, actions) = harness.query(0, 1);
        let closed_now = actions.iter().any(|a| matches!(a, Action::CloseIdleConnections { .. }));
        closed += usize::from(closed_now);
        let Some(&sent) = sends(&actions).first() else { continue };
        harness.now += 600 * MS;
        let ended = match (n % 10 == 0, n % 10 == 5 || closed_now) {
            (_, true) => harness.ended_after(&sent, 0, Outcome::ConnectFailed, 250 * MS),
            (true, false) => harness.ended_after(&sent, 0, Outcome::TimedOut, 600 * MS),
            _ => harness.ended(&sent, 0, Outcome::Success),
        };
        let retries = sends(&harness.round(vec![ended]));
        harness.round(retries.iter().map(|s| harness.ended(s, 1, Outcome::Success)).collect());
        harness.advance(1000 * MS);
    }
    assert!(closed <= 5, "{closed}");
}
