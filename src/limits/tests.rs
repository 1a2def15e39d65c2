use super::*;
use curlewdeck_membership::{CALL_GAP, NOTIFIED_AFTER};

/// Guards against never using a connection twice where idle ones are closed early.
#[test]
fn a_short_idle_limit_leaves_most_of_it() {
    let usable = |ms| Limits::default().usable_idle(Duration::from_millis(ms)).as_millis();
    assert_eq!((usable(30_000), usable(1000), usable(0)), (28_000, 750, 0));
}

/// Guards against ending long before one has to, and against holding a request when SIGKILL comes.
#[test]
fn a_planned_restart_leaves_time_to_answer() {
    let term = |ms| Limits::default().term(Duration::from_millis(ms));
    assert_eq!(term(2000), (Duration::from_millis(1500), Duration::from_millis(2400)));
    assert_eq!(term(8000), (Duration::from_millis(2500), Duration::from_millis(3400)));
    assert_eq!(term(100), (Duration::from_millis(500), Duration::from_millis(500)));
}

/// Guards against taking connections for dead where parts take long.
#[test]
fn silence_is_measured_by_the_aim() {
    let silence = |ms| Limits::default().connection_silence_for(Duration::from_millis(ms)).as_millis();
    assert_eq!((silence(2000), silence(500), silence(10)), (400, 100, 100));
}

/// Guards against running out of descriptors: all kinds together stay below the bound.
#[test]
fn sockets_of_all_kinds_stay_below_the_bound() {
    let within =
        |sockets, memory_mb, others| Limits::within(Platform { sockets, memory_mb, others, nodes: 12 });
    for sockets in [128, 256, 1024, 4096] {
        let limits = within(sockets, 192, 0).unwrap();
        assert!(limits.clients + limits.node_sockets + RESERVED_SOCKETS <= sockets);
        assert!(limits.clients > 0 && limits.node_sockets > 0);
    }
    assert!(within(MIN_SOCKETS - 1, 192, 0).is_err());
}

/// Guards against a fleet in which some data nodes can never be reached, since others hold all connections at rest;
/// and against few data nodes taking places from clients.
#[test]
fn each_data_node_of_a_large_fleet_may_have_a_connection() {
    let of = |sockets, nodes| {
        let limits = Limits::within(Platform { sockets, memory_mb: 192, others: 0, nodes }).unwrap();
        assert!(limits.clients >= sockets / 3 - RESERVED_SOCKETS, "{limits:?}");
        limits.node_sockets
    };
    assert_eq!((of(512, 12), of(512, 0), of(1024, 100)), (160, 160, 160));
    assert!(of(512, 200) >= 200 && of(672, 200) >= 200 && of(256, 200) == 128);
}

/// Guards against two processes that each keep the bounds and break them together, in memory as in descriptors.
#[test]
fn two_processes_share_one_budget() {
    for (sockets, memory_mb) in [(256, 32), (1024, 32), (384, 48), (1024, 192)] {
        let of = |others| Limits::within(Platform { sockets, memory_mb, others, nodes: 12 }).unwrap();
        for (processes, limits) in [(1, of(0)), (2, of(1))] {
            let kilobytes = processes * (PROCESS_KB + limits.clients * CLIENT_KB);
            assert!(kilobytes <= memory_mb * 1024, "{processes} with {memory_mb} MB: {kilobytes} KB");
            assert!(processes * (limits.clients + limits.node_sockets + RESERVED_SOCKETS) <= sockets);
        }
    }
    let why = Limits::within(Platform { sockets: 1024, memory_mb: 24, others: 1, nodes: 12 }).unwrap_err();
    assert_eq!(why.to_string(), "limits.memory_mb is 24, at least 26 are needed");
}

/// Guards what counts as told 6 s after discovery had it: every clock of a call and of a watch together stays inside that.
#[test]
fn the_clocks_of_discovery_stay_inside_what_counts_as_told() {
    let limits = Limits::default();
    let (told, gap) = (Duration::from_nanos(NOTIFIED_AFTER), Duration::from_nanos(CALL_GAP));
    // Waiting on sockets is rounded up, by less than this in all.
    let coarse = Duration::from_millis(150);
    assert!(limits.discovery_silence + limits.discovery_call_timeout + coarse <= told);
    assert!(limits.discovery_hedge_delay <= gap);
    assert!(gap + limits.discovery_call_timeout + coarse <= told);
    assert!(limits.discovery_silence < gap, "a watch that falls silent is asked for anew within the gap");
}
