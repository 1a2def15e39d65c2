//! Module tests for what full size and its troubles brought: each defence, and a case where the like
//! symptom has another cause and the defence must stay quiet.

mod common;

use common::*;
use curlewdeck_core::api::*;
use curlewdeck_core::Policy;

/// Servers with these zones, all holding shard 0.
fn zoned(set: Settings, zones: &[u32]) -> PolicyHarness {
    let mut harness = PolicyHarness::new(Settings { zones: 3, ..set }, 0);
    let zone = |z: u32| Some(ZoneId(z));
    let line =
        |(s, &z): (usize, &u32)| EndpointRecord { zone: zone(z), ..entry(s as u32, EndpointState::Active) };
    let entries = zones.iter().enumerate().map(line).collect();
    harness.round(vec![Event::EndpointsUpdated { kind: EndpointUpdateKind::Snapshot, records: entries }]);
    harness
}

/// Ends every send in turn, and what the module sends for it: 100 ms, or silent for 600 ms where `bad` says so.
fn settle(harness: &mut PolicyHarness, actions: &[Action], bad: impl Fn(ServerId) -> bool) -> Vec<ServerId> {
    let mut used = Vec::new();
    let mut tries = std::collections::BTreeMap::new();
    let mut queue = sends(actions);
    while let Some(sent) = queue.pop() {
        used.push(sent.server);
        let attempt = tries.entry(sent.part).and_modify(|n| *n += 1).or_insert(0);
        let silent = bad(sent.server);
        let (latency, outcome) =
            if silent { (600 * MS, Outcome::TimedOut) } else { (100 * MS, Outcome::Success) };
        harness.now += latency;
        let ended = harness.ended_after(&sent, *attempt, outcome, latency);
        queue.extend(sends(&harness.round(vec![ended])));
    }
    used
}

/// Serves one-part queries one after the other; returns the servers used.
fn serve(
    harness: &mut PolicyHarness,
    n: usize,
    class: usize,
    bad: impl Fn(ServerId) -> bool,
) -> Vec<ServerId> {
    let mut used = Vec::new();
    for _ in 0..n {
        let (_, _, actions) = harness.query(class, 1);
        used.extend(settle(harness, &actions, &bad));
        harness.now += 50 * MS;
    }
    used
}

#[test]
fn a_bad_way_is_left_as_a_whole_and_a_probe_brings_it_back() {
    let mut harness = zoned(settings(), &[0, 0, 0, 0, 1, 1]);
    serve(&mut harness, 30, 0, |_| false);
    let there = |s: ServerId| s.0 < 4;
    serve(&mut harness, 30, 0, there);
    let used = serve(&mut harness, 12, 0, there);
    assert!(!used.iter().any(|&s| there(s)), "{used:?}");
    let actions = harness.pass(1200 * MS);
    let probed: Vec<ServerId> = actions
        .iter()
        .filter_map(|a| if let Action::CheckHealth { server } = a { Some(*server) } else { None })
        .collect();
    assert!(!probed.is_empty() && probed.iter().all(|&s| there(s)), "{probed:?}");
    for _ in 0..8 {
        let passed = Event::HealthChecked { server: probed[0], outcome: Outcome::Success, latency: 2 * MS };
        harness.round(vec![passed]);
    }
    harness.pass(60_000 * MS);
    let used = serve(&mut harness, 12, 0, |_| false);
    assert!(used.iter().any(|&s| there(s)), "{used:?}");
}

#[test]
fn one_silent_server_does_not_spoil_the_way_to_its_zone() {
    let mut harness = zoned(settings(), &[0, 0, 0, 0, 1, 1]);
    serve(&mut harness, 40, 0, |s| s.0 == 0);
    let used = serve(&mut harness, 24, 0, |s| s.0 == 0);
    assert!((1..4).all(|s| used.contains(&ServerId(s))), "{used:?}");
}

#[test]
fn rested_connections_that_stay_silent_are_closed_before_use() {
    let set = Settings { connection_idle_timeout: Some(30_000 * MS), ..settings() };
    let mut harness = PolicyHarness::new(set, 3);
    serve(&mut harness, 20, 0, |_| false);
    let mut closed = 0;
    for _ in 0..12 {
        harness.now += 3000 * MS;
        let (_, _, actions) = harness.query(0, 1);
        let close = actions.iter().any(|a| matches!(a, Action::CloseIdleConnections { .. }));
        closed += u32::from(close);
        let first = sends(&actions)[0].server;
        settle(&mut harness, &actions, |s| !close && s == first);
        serve(&mut harness, 6, 0, |_| false);
    }
    assert!(closed >= 4, "{closed}");
}

#[test]
fn a_server_silent_on_every_connection_closes_none() {
    let set = Settings { connection_idle_timeout: Some(30_000 * MS), ..settings() };
    let mut harness = PolicyHarness::new(set, 3);
    serve(&mut harness, 20, 0, |_| false);
    for _ in 0..30 {
        let (_, _, actions) = harness.query(0, 1);
        assert!(!actions.iter().any(|a| matches!(a, Action::CloseIdleConnections { .. })));
        settle(&mut harness, &actions, |s| s == ServerId(0));
    }
}

#[test]
fn a_server_that_ignores_one_class_keeps_serving_the_others() {
    let mut harness = PolicyHarness::new(settings(), 4);
    for class in [0, 2] {
        serve(&mut harness, 20, class, |_| false);
    }
    let mut spoilt = Vec::new();
    for _ in 0..12 {
        serve(&mut harness, 2, 0, |s| s == ServerId(0));
        spoilt.extend(serve(&mut harness, 2, 2, |_| false));
    }
    let last = serve(&mut harness, 8, 0, |s| s == ServerId(0));
    assert!(last.iter().filter(|&&s| s == ServerId(0)).count() <= 1, "{last:?}");
    assert!(spoilt.contains(&ServerId(0)), "{spoilt:?}");
}

/// Guards against sending a query round the servers that breaks every connection it goes over.
#[test]
fn a_query_whose_part_breaks_every_connection_is_not_sent_on() {
    let mut harness = PolicyHarness::new(settings(), 6);
    harness.warm_up(20);
    let (query, _, actions) = harness.query(0, 2);
    let first = sends(&actions);
    let again =
        sends(&harness.round(first.iter().map(|s| harness.ended(s, 0, Outcome::ConnectionReset)).collect()));
    assert_eq!(again.len(), 2, "one connection each may break for any reason");
    let end = harness.round(vec![harness.ended(&again[0], 1, Outcome::ConnectionReset)]);
    assert!(sends(&end).is_empty());
    let end: Vec<Action> = end
        .into_iter()
        .chain(harness.round(vec![harness.ended(&again[1], 1, Outcome::ConnectionReset)]))
        .collect();
    assert!(end.iter().any(|a| matches!(a, Action::Reject { query: q, .. } if *q == query)), "ends at once");
}

/// Guards against waiting with a part whose connection broke, and against shunning its server for it or
/// taking it for restarted: connections break at sound servers, too.
#[test]
fn a_part_whose_connection_broke_is_sent_again_at_once() {
    let mut harness = PolicyHarness::new(settings(), 3);
    harness.warm_up(20);
    for _ in 0..6 {
        let (query, _, actions) = harness.query(0, 3);
        let first = sends(&actions);
        let again = sends(
            &harness.round(first.iter().map(|s| harness.ended(s, 0, Outcome::ConnectionReset)).collect()),
        );
        assert_eq!(again.len(), 3);
        harness.now += 100 * MS;
        let done = harness.round(again.iter().map(|s| harness.ended(s, 1, Outcome::Success)).collect());
        assert!(done.contains(&Action::Answer { query, complete: true }));
        harness.pass(2000 * MS);
        let used: std::collections::BTreeSet<ServerId> =
            serve(&mut harness, 6, 0, |_| false).into_iter().collect();
        assert_eq!(used.len(), 3);
    }
}

fn marked(harness: &mut PolicyHarness, parts: u64, valid: Nanos, repeated: bool) -> (QueryId, Vec<Action>) {
    let (id, mut events) = harness.query_events(0, parts);
    let (now, key) = (harness.now, Some(KeyId(7)));
    events[0] = Event::QueryArrived {
        id,
        class: ClassId(0),
        tenant: None,
        key,
        is_retry: repeated,
        deadline: now + valid,
    };
    (id, harness.round(events))
}

#[test]
fn a_repeat_sends_one_part_ahead_and_the_rest_once_that_is_in() {
    let mut harness = PolicyHarness::new(settings(), 6);
    harness.warm_up(20);
    let (query, actions) = marked(&mut harness, 3, 4000 * MS, true);
    let ahead = sends(&actions);
    assert_eq!(ahead.len(), 1);
    harness.now += 100 * MS;
    let rest = sends(&harness.round(vec![harness.ended(&ahead[0], 0, Outcome::Success)]));
    assert_eq!(rest.len(), 2);
    let done = rest.iter().map(|s| harness.ended(s, 0, Outcome::Success)).collect();
    assert!(harness.round(done).contains(&Action::Answer { query, complete: true }));
    let (_, actions) = marked(&mut harness, 3, 4000 * MS, false);
    assert_eq!(sends(&actions).len(), 3, "a first try goes out whole");
}

#[test]
fn a_try_cut_short_by_its_client_past_its_aim_ends_at_once() {
    let mut harness = PolicyHarness::new(settings(), 3);
    harness.warm_up(40);
    let (query, actions) = marked(&mut harness, 1, 2000 * MS, false);
    assert!(sends(&actions).is_empty());
    assert!(actions.iter().any(|a| matches!(a, Action::Reject { query: q, .. } if *q == query)));
}

#[test]
fn short_tries_are_served_where_they_are_usual_or_repeats_are_marked() {
    let mut harness = PolicyHarness::new(settings(), 3);
    for i in 0..40 {
        // Every eighth client is patient; the others do not look cut short for it.
        let valid = if i % 8 == 0 { 4000 * MS } else { 2000 * MS };
        let (_, actions) = marked(&mut harness, 1, valid, false);
        assert_eq!(sends(&actions).len(), 1, "{i}: {actions:?}");
        harness.now += 100 * MS;
        let done = sends(&actions).iter().map(|s| harness.ended(s, 0, Outcome::Success)).collect();
        harness.round(done);
    }
    let mut harness = PolicyHarness::new(Settings { clients_mark_retries: true, ..settings() }, 3);
    harness.warm_up(40);
    let (_, actions) = marked(&mut harness, 1, 500 * MS, false);
    assert_eq!(sends(&actions).len(), 1, "an impatient first try is no abuse");
}

#[test]
fn connects_that_fail_everywhere_do_not_make_servers_cold() {
    let mut harness =
        PolicyHarness::new(Settings { connection_idle_timeout: Some(100 * MS), ..settings() }, 8);
    let mut tries = std::collections::BTreeMap::new();
    for _ in 0..16 {
        let (_, _, mut actions) = harness.query(0, 1);
        for _ in 0..12 {
            let mut later = Vec::new();
            for sent in sends(&actions) {
                let attempt = tries.entry(sent.part).and_modify(|n| *n += 1).or_insert(0);
                let failed = harness.ended(&sent, *attempt, Outcome::ConnectFailed);
                later.extend(harness.round(vec![failed]));
            }
            later.extend(harness.pass(100 * MS));
            actions = later;
        }
    }
    harness.pass(20_000 * MS);
    for _ in 0..2 {
        let (_, _, actions) = harness.query(0, 8);
        assert_eq!(sends(&actions).len(), 8, "no server is taken for cold");
        harness.now += 100 * MS;
        let done = sends(&actions).iter().map(|s| harness.ended(s, 0, Outcome::Success)).collect();
        harness.round(done);
    }
}

#[test]
fn a_share_of_a_cold_server_below_one_part_still_comes_to_a_part() {
    let mut set = settings();
    set.coordinators = 100;
    let mut harness = PolicyHarness::new(set, 2);
    harness.warm_up(40);
    let started = EndpointRecord { started_at: harness.now, ..entry(1, EndpointState::Active) };
    harness.round(vec![Event::EndpointsUpdated { kind: EndpointUpdateKind::Delta, records: vec![started] }]);
    let begin = harness.now;
    let mut cold = 0;
    while harness.now < begin + 14_000 * MS {
        cold += serve(&mut harness, 1, 0, |_| false).iter().filter(|&&s| s == ServerId(1)).count();
        harness.now += 1000 * MS;
    }
    assert!((1..12).contains(&cold), "{cold}");
}

#[test]
fn with_many_coordinators_a_full_server_is_sent_little_at_a_time() {
    let mut set = settings();
    set.coordinators = 60;
    let mut harness = PolicyHarness::new(set, 1);
    harness.warm_up(20);
    let mut sent = 0;
    let begin = harness.now;
    while harness.now < begin + 3000 * MS {
        let (_, _, actions) = harness.query(0, 1);
        let fulls: Vec<Event> =
            sends(&actions).iter().map(|s| harness.ended(s, 0, Outcome::Rejected)).collect();
        sent += fulls.len();
        let more = sends(&harness.round(fulls));
        sent += more.len();
        let fulls = more.iter().map(|s| harness.ended(s, 1, Outcome::Rejected)).collect();
        harness.round(fulls);
        harness.now += 50 * MS;
    }
    assert!((1..12).contains(&sent), "{sent} in three seconds");
}

#[test]
fn strain_holds_queries_back_and_calm_lets_them_go() {
    let mut harness = PolicyHarness::new(Settings { max_open: 48, ..settings() }, 6);
    harness.warm_up(40);
    let calm: usize = (0..8).map(|_| sends(&harness.query(0, 1).2).len()).sum();
    let mut harness = PolicyHarness::new(Settings { max_open: 48, ..settings() }, 6);
    harness.warm_up(40);
    for _ in 0..32 {
        let (_, _, actions) = harness.query(0, 1);
        harness.now += 700 * MS;
        let done =
            sends(&actions).iter().map(|s| harness.ended_after(s, 0, Outcome::Success, 700 * MS)).collect();
        harness.round(done);
    }
    let strained: usize = (0..12).map(|_| sends(&harness.query(0, 1).2).len()).sum();
    assert!(calm == 8 && strained < 8, "{calm} and {strained}");
}

#[test]
fn parts_that_always_take_long_are_not_taken_for_overload() {
    let mut set = settings();
    set.coordinators = 60;
    let mut harness = PolicyHarness::new(set, 4);
    let mut first_sends = 0;
    for _ in 0..60 {
        let (_, _, actions) = harness.query(0, 1);
        first_sends += sends(&actions).len();
        harness.now += 500 * MS;
        let done =
            sends(&actions).iter().map(|s| harness.ended_after(s, 0, Outcome::Success, 500 * MS)).collect();
        harness.round(done);
    }
    assert!(first_sends > 50, "{first_sends} of 60 left at once");
}

#[test]
fn settings_and_ids_out_of_range_are_errors_or_ignored() {
    let bad = Policy::new(Settings { zones: u32::MAX, ..settings() }, 1);
    assert!(matches!(bad, Err(SettingsError::InvalidFigure(what)) if what.contains("zones")));
    let mut harness = zoned(settings(), &[0, 9, 4_000_000]);
    let served = serve(&mut harness, 9, 0, |_| false);
    assert_eq!(served.len(), 9, "an unknown zone is a zone that is not known");
    harness.round(vec![Event::HealthChecked {
        server: ServerId(77),
        outcome: Outcome::ConnectionReset,
        latency: u64::MAX,
    }]);
    let odd = Sent { part: PartId(1 << 40), server: ServerId(0) };
    assert!(sends(&harness.round(vec![harness.ended_after(&odd, 3, Outcome::Success, u64::MAX)])).is_empty());
}

/// Guards against holding spoilt answers, which may come from any server, against one: it is neither shunned
/// nor taken for restarted, and its queries are sent on.
#[test]
fn a_server_whose_answers_come_spoilt_stays_in_use() {
    let mut harness = PolicyHarness::new(settings(), 3);
    harness.warm_up(20);
    for _ in 0..6 {
        let (query, _, actions) = harness.query(0, 3);
        let first = sends(&actions);
        // One connection, with three parts of one query out.
        let again =
            harness.round(first.iter().map(|s| harness.ended(s, 0, Outcome::MalformedResponse)).collect());
        let retried = sends(&again);
        assert_eq!(retried.len(), 3, "{again:?}");
        harness.now += 100 * MS;
        let done = harness.round(retried.iter().map(|s| harness.ended(s, 1, Outcome::Success)).collect());
        assert!(done.contains(&Action::Answer { query, complete: true }));
        harness.pass(2000 * MS);
        let used: std::collections::BTreeSet<ServerId> =
            serve(&mut harness, 6, 0, |_| false).into_iter().collect();
        assert_eq!(used.len(), 3);
    }
}

/// Guards against paying for the way between zones where nothing is gained by it; fewest parts out comes
/// before that.
#[test]
fn ties_go_to_the_own_zone_first() {
    let mut harness = PolicyHarness::new(Settings { zones: 2, local_zone: Some(ZoneId(1)), ..settings() }, 0);
    let line = |s| EndpointRecord { zone: Some(ZoneId(s % 2)), ..entry(s, EndpointState::Active) };
    harness.round(vec![Event::EndpointsUpdated {
        kind: EndpointUpdateKind::Snapshot,
        records: (0..4).map(line).collect(),
    }]);
    serve(&mut harness, 20, 0, |_| false);
    let (_, _, actions) = harness.query(0, 4);
    let mut zones: Vec<u32> = sends(&actions).iter().map(|s| s.server.0 % 2).collect();
    assert_eq!(zones[..2], [1, 1], "{zones:?}");
    zones.sort_unstable();
    assert_eq!(zones, [0, 0, 1, 1]);
}

/// Guards against a round for each open query where one a tick does: the coordinator has part of a core.
#[test]
fn open_queries_are_looked_at_together() {
    let mut harness = PolicyHarness::new(settings(), 3);
    harness.warm_up(20);
    for _ in 0..20 {
        harness.now += 300_000;
        harness.query(0, 2);
    }
    // Only the module's own timers wake it: the next is due where the last asked for it.
    let (mut rounds, end) = (0, harness.now + 200 * MS);
    let mut next = harness.now + MS;
    while next < end {
        harness.now = next;
        let actions = harness.round(vec![Event::TimerFired]);
        let after =
            actions
                .iter()
                .filter_map(|a| if let Action::SetTimer { after } = a { Some(*after) } else { None });
        next = harness.now + after.min().expect("a timer is set while queries are open");
        rounds += 1;
    }
    assert!(rounds <= 200 / 5 + 2, "{rounds} rounds in 40 ticks");
}
