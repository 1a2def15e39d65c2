//! Outlier detection: servers that fail or are slow while their peers are not.

mod common;

use common::*;
use curlewdeck_core::api::*;

#[test]
fn a_silent_server_comes_last_once_its_attempt_is_cancelled() {
    let mut harness = PolicyHarness::new(settings(), 3);
    harness.warm_up(40);
    let silent = ServerId(0);
    let (mut cancellations, mut sent_since) = (0, 0);
    for _ in 0..20 {
        let (_, _, actions) = harness.query(0, 1);
        let first = sends(&actions)[0];
        sent_since += u32::from(cancellations >= 1 && first.server == silent);
        if cancellations >= 1 || first.server != silent {
            harness.now += 50 * MS;
            harness.round(vec![harness.ended(&first, 0, Outcome::Success)]);
            continue;
        }
        let retries = sends(&harness.pass(490 * MS));
        assert_eq!(retries.len(), 1, "retried elsewhere");
        let Sent { part, server } = first;
        let latency = 490 * MS;
        let end = Event::AttemptEnded { part, attempt: 0, server, outcome: Outcome::Cancelled, latency };
        harness.round(vec![end, harness.ended(&retries[0], 1, Outcome::Success)]);
        cancellations += 1;
    }
    assert_eq!((cancellations, sent_since), (1, 0));
}

#[test]
fn a_slow_server_is_deprioritized() {
    let mut harness = PolicyHarness::new(settings(), 4);
    let slow = ServerId(0);
    let mut late = 0;
    for i in 0..60 {
        let (_, _, actions) = harness.query(0, 1);
        let sent = sends(&actions)[0];
        let taken = if sent.server == slow { 400 } else { 50 };
        late += u32::from(i >= 40 && sent.server == slow);
        harness.now += taken * MS;
        let latency = taken * MS;
        let Sent { part, server } = sent;
        harness.round(vec![Event::AttemptEnded {
            part,
            attempt: 0,
            server,
            outcome: Outcome::Success,
            latency,
        }]);
    }
    assert!(late <= 1, "{late} of the last 20 went to the slow server");
}

#[test]
fn a_full_replica_does_not_push_work_to_an_ejected_one() {
    let mut harness = PolicyHarness::new(settings(), 2);
    let (_, _, actions) = harness.query(0, 1);
    let dead = sends(&actions)[0];
    harness.round(vec![harness.ended(&dead, 0, Outcome::ConnectFailed)]);
    for _ in 0..10 {
        let (_, _, actions) = harness.query(0, 1);
        assert!(sends(&actions).iter().all(|s| s.server != dead.server));
    }
}

#[test]
fn a_server_that_ignores_one_class_keeps_serving_the_others() {
    let mut harness = PolicyHarness::new(settings(), 4);
    for class in [0, 2] {
        serve(&mut harness, 20, class, |_| false);
    }
    let mut other_class = Vec::new();
    for _ in 0..12 {
        serve(&mut harness, 2, 0, |s| s == ServerId(0));
        other_class.extend(serve(&mut harness, 2, 2, |_| false));
    }
    let last = serve(&mut harness, 8, 0, |s| s == ServerId(0));
    assert!(last.iter().filter(|&&s| s == ServerId(0)).count() <= 1, "{last:?}");
    assert!(other_class.contains(&ServerId(0)), "{other_class:?}");
}

/// Guards against waiting with a part whose connection broke, and against ejecting its server for it or
/// taking it for restarted: connections break at sound servers, too.
#[test]
fn a_connection_reset_neither_delays_a_retry_nor_ejects_its_server() {
    let mut harness = PolicyHarness::new(settings(), 3);
    harness.warm_up(20);
    for _ in 0..6 {
        let (query, _, actions) = harness.query(0, 3);
        let first = sends(&actions);
        let retries = sends(
            &harness.round(first.iter().map(|s| harness.ended(s, 0, Outcome::ConnectionReset)).collect()),
        );
        assert_eq!(retries.len(), 3);
        harness.now += 100 * MS;
        let done = harness.round(retries.iter().map(|s| harness.ended(s, 1, Outcome::Success)).collect());
        assert!(done.contains(&Action::Answer { query, complete: true }));
        harness.pass(2000 * MS);
        let used: std::collections::BTreeSet<ServerId> =
            serve(&mut harness, 6, 0, |_| false).into_iter().collect();
        assert_eq!(used.len(), 3);
    }
}

/// Guards against holding malformed responses, which may come from any server, against one: it is neither
/// ejected nor taken for restarted, and its queries are sent on.
#[test]
fn malformed_responses_do_not_eject_their_server() {
    let mut harness = PolicyHarness::new(settings(), 3);
    harness.warm_up(20);
    for _ in 0..6 {
        let (query, _, actions) = harness.query(0, 3);
        let first = sends(&actions);
        // One connection, with three parts of one query out.
        let retries =
            harness.round(first.iter().map(|s| harness.ended(s, 0, Outcome::MalformedResponse)).collect());
        let retried = sends(&retries);
        assert_eq!(retried.len(), 3, "{retries:?}");
        harness.now += 100 * MS;
        let done = harness.round(retried.iter().map(|s| harness.ended(s, 1, Outcome::Success)).collect());
        assert!(done.contains(&Action::Answer { query, complete: true }));
        harness.pass(2000 * MS);
        let used: std::collections::BTreeSet<ServerId> =
            serve(&mut harness, 6, 0, |_| false).into_iter().collect();
        assert_eq!(used.len(), 3);
    }
}

/// Guards against trusting a server that stalls half of the time anew for each part that it answers: where a
/// coordinator sends to it once in seconds, it comes after the others for long.
#[test]
fn a_server_that_stalls_now_and_then_is_avoided_where_traffic_is_low() {
    let mut set = Settings { coordinators: 100, ..settings() };
    set.classes.iter_mut().for_each(|c| c.latency_objective = 300 * MS);
    let mut harness = PolicyHarness::new(set, 4);
    let (mut at_bad, mut all) = (0, 0);
    for _ in 0..120 {
        harness.now += 1000 * MS;
        let mut actions = harness.query(0, 1).2;
        let mut attempt = 0;
        while let Some(&sent) = sends(&actions).first() {
            all += 1;
            let stalled = sent.server.0 == 0 && at_bad % 2 == 0;
            at_bad += usize::from(sent.server.0 == 0);
            let (outcome, latency) =
                if stalled { (Outcome::TimedOut, 200 * MS) } else { (Outcome::Success, 50 * MS) };
            harness.now += latency;
            actions = harness.round(vec![harness.ended_after(&sent, attempt, outcome, latency)]);
            attempt += 1;
        }
    }
    assert!(at_bad > 2 && at_bad * 6 < all, "{at_bad} of {all} parts");
}
