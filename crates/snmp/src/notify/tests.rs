//! Rate limits, retries and memory bounds of notifications.

use super::*;
use proptest::prelude::*;

const S: Nanos = 1_000_000_000;
const BOUNDS: Bounds = Bounds {
    min_interval: 60 * S,
    burst: 3,
    refill_interval: 10 * S,
    max_pending_informs: 4,
    retry_delay: S,
    max_attempts: 3,
    max_subjects: 5,
};

fn notifier(inform: bool) -> Notifier {
    let target = Target { to: "a".into(), community: "c".into(), inform };
    Notifier::new(BOUNDS, vec![target], 1)
}

fn notice(subject: &str) -> Notice {
    Notice { oid: vec![1, 3, 9], subject: subject.into(), objects: vec![(vec![1, 3, 5], Value::Gauge(7))] }
}

#[test]
fn received_notification_equals_the_one_sent() {
    let sent = notifier(false).notify(0, 5, &notice("x"));
    let (name, objects, answer) = decode_notification(&sent[0].bytes).unwrap();
    assert_eq!((name, answer), (vec![1, 3, 9], None));
    assert_eq!(objects, [(UP_TIME.to_vec(), Value::Ticks(5)), (vec![1, 3, 5], Value::Gauge(7))]);
}

/// A flapping node must not flood receivers: the same notice is sent at most once a minute, and all notices together at
/// a bounded rate.
#[test]
fn notices_are_rate_limited() {
    let mut n = notifier(false);
    let notified = |n: &mut Notifier, at, subject: &str| n.notify(at, 0, &notice(subject)).len();
    assert_eq!(
        (notified(&mut n, 0, "x"), notified(&mut n, 59 * S, "x"), notified(&mut n, 60 * S, "x")),
        (1, 0, 1)
    );
    let all: usize = (0..100).map(|i| notified(&mut n, 70 * S, &format!("y{i}"))).sum();
    assert_eq!(all, 3, "not limited to the burst");
    assert_eq!(n.counts().rate_limited, 1 + 97);
    assert_eq!((notified(&mut n, 79 * S, "z"), notified(&mut n, 80 * S, "z")), (0, 1));
}

#[test]
fn inform_is_retried_until_it_is_acknowledged_or_abandoned() {
    let mut n = notifier(true);
    let sent = n.notify(0, 0, &notice("x"));
    assert!(n.tick(S - 1).is_empty());
    assert_eq!(n.tick(S).len(), 1);
    assert!(n.tick(3 * S - 1).is_empty(), "the second delay is twice the first");
    let answer = decode_notification(&sent[0].bytes).unwrap().2.unwrap();
    n.acknowledge("b", &answer);
    assert_eq!(n.counts().acknowledged, 0, "the acknowledgement is from another address");
    n.acknowledge("a", &answer);
    assert_eq!((n.counts().acknowledged, n.due()), (1, None));
    n.notify(S, 0, &notice("y"));
    let again: usize = (2..100).map(|t| n.tick(t * S).len()).sum();
    assert_eq!((again, n.counts().unacknowledged, n.due()), (2, 1, None));
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// For any sequence of events, pending informs and tracked subjects stay bounded, each inform ends once, and no
    /// received datagram causes a panic.
    #[test]
    fn memory_stays_bounded_for_any_events(steps in proptest::collection::vec((0..4u8, 0..20u8, 0..30u64), 0..150), noise in proptest::collection::vec(any::<u8>(), 0..60)) {
        let (mut n, mut now, mut out) = (notifier(true), 0, Vec::new());
        for (kind, pick, span) in steps {
            now += span * S;
            match kind {
                0 | 1 => out.extend(n.notify(now, 0, &notice(&pick.to_string()))),
                2 => drop(n.tick(now)),
                _ => {
                    let answer = out.get(pick as usize).and_then(|s: &OutgoingMessage| decode_notification(&s.bytes)?.2);
                    n.acknowledge("a", answer.as_deref().unwrap_or(&noise));
                }
            }
            let c = n.counts();
            prop_assert!(n.pending.len() <= 4 && n.notified.len() <= 5 && n.tokens <= 3);
            prop_assert_eq!(c.sent, c.acknowledged + c.unacknowledged + n.pending.len() as u64);
        }
        let _ = decode_notification(&noise);
    }
}
