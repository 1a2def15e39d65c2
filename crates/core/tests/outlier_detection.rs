//! Outlier detection: servers that fail or are slow while their peers are healthy.

mod common;

use common::*;
use curlewdeck_core::api::*;

#[test]
fn a_silent_server_is_deprioritized_once_its_attempt_is_cancelled() {
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
        let retries = sends(&harness.advance(490 * MS));
        assert_eq!(retries.len(), 1, "the part is retried at another server");
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
    let mut sent_to_slow = 0;
    for i in 0..60 {
        let (_, _, actions) = harness.query(0, 1);
        let sent = sends(&actions)[0];
        let latency = if sent.server == slow { 400 } else { 50 } * MS;
        sent_to_slow += u32::from(i >= 40 && sent.server == slow);
        harness.now += latency;
        let Sent { part, server } = sent;
        harness.round(vec![Event::AttemptEnded {
            part,
            attempt: 0,
            server,
            outcome: Outcome::Success,
            latency,
        }]);
    }
    assert!(sent_to_slow <= 1, "{sent_to_slow} of the last 20 went to the slow server");
}

#[test]
fn parts_beyond_a_replicas_limit_are_not_sent_to_an_ejected_one() {
    let mut harness = PolicyHarness::new(settings(), 2);
    let (_, _, actions) = harness.query(0, 1);
    let ejected = sends(&actions)[0];
    harness.round(vec![harness.ended(&ejected, 0, Outcome::ConnectFailed)]);
    for _ in 0..10 {
        let (_, _, actions) = harness.query(0, 1);
        assert!(sends(&actions).iter().all(|s| s.server != ejected.server));
    }
}

#[test]
fn a_server_that_is_silent_for_one_class_still_gets_the_others() {
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

/// Connections to healthy servers break too: a part whose connection breaks is retried immediately, and its server is
/// neither ejected nor considered restarted.
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
        harness.advance(2000 * MS);
        let used: std::collections::BTreeSet<ServerId> =
            serve(&mut harness, 6, 0, |_| false).into_iter().collect();
        assert_eq!(used.len(), 3);
    }
}

/// Any server may send a malformed response: the server is neither ejected nor considered restarted, and the parts are
/// retried.
#[test]
fn malformed_responses_do_not_eject_their_server() {
    let mut harness = PolicyHarness::new(settings(), 3);
    harness.warm_up(20);
    for _ in 0..6 {
        let (query, _, actions) = harness.query(0, 3);
        let first = sends(&actions);
        // All three parts of the query are in flight on one connection.
        let retries =
            harness.round(first.iter().map(|s| harness.ended(s, 0, Outcome::MalformedResponse)).collect());
        let retried = sends(&retries);
        assert_eq!(retried.len(), 3, "{retries:?}");
        harness.now += 100 * MS;
        let done = harness.round(retried.iter().map(|s| harness.ended(s, 1, Outcome::Success)).collect());
        assert!(done.contains(&Action::Answer { query, complete: true }));
        harness.advance(2000 * MS);
        let used: std::collections::BTreeSet<ServerId> =
            serve(&mut harness, 6, 0, |_| false).into_iter().collect();
        assert_eq!(used.len(), 3);
    }
}

/// A success must not fully clear a server that stalls on every second attempt: if a coordinator sends to it only once
/// in several seconds, the server stays deprioritized for a long time.
#[test]
fn a_server_that_stalls_intermittently_is_avoided_under_low_traffic() {
    let mut settings = Settings { coordinators: 100, ..settings() };
    settings.classes.iter_mut().for_each(|c| c.latency_objective = 300 * MS);
    let mut harness = PolicyHarness::new(settings, 4);
    let (mut sent_to_stalling, mut total) = (0, 0);
    for _ in 0..120 {
        harness.now += 1000 * MS;
        let mut actions = harness.query(0, 1).2;
        let mut attempt = 0;
        while let Some(&sent) = sends(&actions).first() {
            total += 1;
            let stalled = sent.server.0 == 0 && sent_to_stalling % 2 == 0;
            sent_to_stalling += usize::from(sent.server.0 == 0);
            let (outcome, latency) =
                if stalled { (Outcome::TimedOut, 200 * MS) } else { (Outcome::Success, 50 * MS) };
            harness.now += latency;
            actions = harness.round(vec![harness.ended_after(&sent, attempt, outcome, latency)]);
            attempt += 1;
        }
    }
    assert!(
        sent_to_stalling > 2 && sent_to_stalling * 6 < total,
        "{sent_to_stalling} of {total} attempts went to the stalling server"
    );
}
