//! Notifications (RFC 3416, section 4.2.6 and 4.2.7): what is worth telling, how often, and how long an inform is
//! repeated. A machine without I/O: what was seen and when goes in, messages to send come out.

use std::collections::{BTreeMap, VecDeque};

use rasn::types::OctetString;
use rasn_snmp::v2::{InformRequest, Pdu, Pdus, Trap};
use rasn_snmp::v2c;

use crate::codec::bind;
use crate::tree::Value;
use crate::Oid;

/// Nanoseconds of one clock that never runs backwards.
pub type Nanos = u64;

/// `sysUpTime.0` and `snmpTrapOID.0`, which begin every notification.
const UP_TIME: [u32; 9] = [1, 3, 6, 1, 2, 1, 1, 3, 0];
const TRAP_OID: [u32; 11] = [1, 3, 6, 1, 6, 3, 1, 1, 4, 1, 0];

/// What has happened.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Notice {
    /// The notification's name.
    pub oid: Oid,
    /// What it is about, such as a node's name: each has a rate of its own.
    pub subject: String,
    /// Its objects.
    pub objects: Vec<(Oid, Value)>,
}

/// Bounds of what is sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Bounds {
    /// The same of the same subject is told no more often.
    pub gap: Nanos,
    /// All together: so many at once...
    pub burst: u32,
    /// ...and one more each time this has passed.
    pub refill: Nanos,
    /// Informs that may wait for their answer; the oldest goes for a new one.
    pub waiting: usize,
    /// An inform is repeated after this, then after twice as long, and so on.
    pub again: Nanos,
    /// So often in all.
    pub tries: u32,
    /// Subjects that are remembered; the one told longest ago goes for a new one.
    pub subjects: usize,
}

/// Who is told, and how.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Target {
    /// Where: whatever the embedder sends by.
    pub to: String,
    /// The community.
    pub community: String,
    /// Whether an answer is waited for.
    pub inform: bool,
}

/// What is to be sent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Send {
    /// Where.
    pub to: String,
    /// The message.
    pub bytes: Vec<u8>,
}

/// What has become of notices so far.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Counts {
    /// Messages sent for the first time.
    pub sent: u64,
    /// Informs sent again.
    pub repeated: u64,
    /// Informs answered.
    pub acknowledged: u64,
    /// Informs given up.
    pub unanswered: u64,
    /// Notices that were not told since the rates did not allow it.
    pub held_back: u64,
}

struct Inform {
    id: i32,
    to: String,
    bytes: Vec<u8>,
    tries: u32,
    due: Nanos,
}

/// The machine.
pub struct Notifier {
    bounds: Bounds,
    targets: Vec<Target>,
    told: BTreeMap<(Oid, String), Nanos>,
    tokens: u32,
    filled: Nanos,
    waiting: VecDeque<Inform>,
    next: i32,
    counts: Counts,
}

impl Notifier {
    /// Tells these targets; requests are numbered from `first`.
    pub fn new(bounds: Bounds, targets: Vec<Target>, first: i32) -> Self {
        let (tokens, next) = (bounds.burst, first & i32::MAX);
        let (told, waiting) = (BTreeMap::new(), VecDeque::new());
        Self { bounds, targets, told, tokens, filled: 0, waiting, next, counts: Counts::default() }
    }

    /// What has become of notices.
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// Something has happened, `up` hundredths of a second after the agent's start.
    pub fn notice(&mut self, now: Nanos, up: u32, notice: &Notice) -> Vec<Send> {
        let key = (notice.oid.clone(), notice.subject.clone());
        let too_soon = self.told.get(&key).is_some_and(|&at| now.saturating_sub(at) < self.bounds.gap);
        self.refill(now);
        if too_soon || self.tokens == 0 {
            self.counts.held_back += 1;
            return Vec::new();
        }
        self.tokens -= 1;
        if !self.told.contains_key(&key) && self.told.len() >= self.bounds.subjects {
            let oldest = self.told.iter().min_by_key(|t| t.1).map(|t| t.0.clone());
            oldest.map(|o| self.told.remove(&o));
        }
        self.told.insert(key, now);
        let mut bindings =
            vec![bind(&UP_TIME, &Value::Ticks(up)), bind(&TRAP_OID, &Value::Name(notice.oid.clone()))];
        bindings.extend(notice.objects.iter().map(|(oid, value)| bind(oid, value)));
        let mut out = Vec::new();
        for target in self.targets.clone() {
            self.next = self.next.wrapping_add(1) & i32::MAX;
            let pdu = Pdu {
                request_id: self.next,
                error_status: 0,
                error_index: 0,
                variable_bindings: bindings.clone(),
            };
            let data = match target.inform {
                true => Pdus::InformRequest(InformRequest(pdu)),
                false => Pdus::Trap(Trap(pdu)),
            };
            let community: OctetString = target.community.as_bytes().to_vec().into();
            let message = v2c::Message { version: 1.into(), community, data };
            let Ok(bytes) = rasn::ber::encode(&message) else { continue };
            self.counts.sent += 1;
            if target.inform {
                self.wait(now, &target.to, &bytes);
            }
            out.push(Send { to: target.to, bytes });
        }
        out
    }

    fn wait(&mut self, now: Nanos, to: &str, bytes: &[u8]) {
        if self.waiting.len() >= self.bounds.waiting {
            self.waiting.pop_front();
            self.counts.unanswered += 1;
        }
        let due = now.saturating_add(self.bounds.again);
        self.waiting.push_back(Inform {
            id: self.next,
            to: to.to_string(),
            bytes: bytes.to_vec(),
            tries: 1,
            due,
        });
    }

    fn refill(&mut self, now: Nanos) {
        let passed = now.saturating_sub(self.filled) / self.bounds.refill.max(1);
        if passed > 0 {
            let more = u32::try_from(passed).unwrap_or(u32::MAX);
            self.tokens = self.tokens.saturating_add(more).min(self.bounds.burst);
            self.filled = self.filled.saturating_add(passed * self.bounds.refill.max(1));
        }
    }

    /// Something has come back from a target.
    pub fn came(&mut self, from: &str, bytes: &[u8]) {
        let Ok(message) = rasn::ber::decode::<v2c::Message<Pdus>>(bytes) else { return };
        let Pdus::Response(answer) = message.data else { return };
        let before = self.waiting.len();
        self.waiting.retain(|i| i.id != answer.0.request_id || i.to != from);
        self.counts.acknowledged += (before - self.waiting.len()) as u64;
    }

    /// When [`Notifier::tick`] is next due.
    pub fn due(&self) -> Option<Nanos> {
        self.waiting.iter().map(|i| i.due).min()
    }

    /// Time has passed: informs without an answer are sent again, or given up.
    pub fn tick(&mut self, now: Nanos) -> Vec<Send> {
        let (mut out, bounds) = (Vec::new(), self.bounds);
        let counts = &mut self.counts;
        self.waiting.retain_mut(|inform| {
            if now < inform.due {
                return true;
            }
            if inform.tries >= bounds.tries {
                counts.unanswered += 1;
                return false;
            }
            counts.repeated += 1;
            inform.due = now.saturating_add(bounds.again.saturating_mul(1 << inform.tries.min(16)));
            inform.tries += 1;
            out.push(Send { to: inform.to.clone(), bytes: inform.bytes.clone() });
            true
        });
        out
    }
}

/// A notification as its receiver reads it: the name, the objects, and for an inform the answer that is owed.
pub type Received = (Oid, Vec<(Oid, Value)>, Option<Vec<u8>>);

/// Reads a notification; none for what is none.
pub fn receive(bytes: &[u8]) -> Option<Received> {
    let message: v2c::Message<Pdus> = rasn::ber::decode(bytes).ok()?;
    let (pdu, inform) = match message.data {
        Pdus::Trap(trap) => (trap.0, false),
        Pdus::InformRequest(inform) => (inform.0, true),
        _ => return None,
    };
    let mut objects = Vec::new();
    let mut name = None;
    for binding in &pdu.variable_bindings {
        let rasn_snmp::v2::VarBindValue::Value(value) = &binding.value else { continue };
        let (oid, value) = (crate::codec::oid(binding), crate::codec::value(value)?);
        match value {
            Value::Name(told) if oid == TRAP_OID => name = Some(told),
            value => objects.push((oid, value)),
        }
    }
    let answer = inform.then(|| {
        let data = Pdus::Response(rasn_snmp::v2::Response(pdu.clone()));
        rasn::ber::encode(&v2c::Message { version: 1.into(), community: message.community, data }).ok()
    });
    Some((name?, objects, answer.flatten()))
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    const S: Nanos = 1_000_000_000;
    const BOUNDS: Bounds =
        Bounds { gap: 60 * S, burst: 3, refill: 10 * S, waiting: 4, again: S, tries: 3, subjects: 5 };

    fn notifier(inform: bool) -> Notifier {
        let target = Target { to: "a".into(), community: "c".into(), inform };
        Notifier::new(BOUNDS, vec![target], 1)
    }

    fn notice(subject: &str) -> Notice {
        Notice {
            oid: vec![1, 3, 9],
            subject: subject.into(),
            objects: vec![(vec![1, 3, 5], Value::Gauge(7))],
        }
    }

    #[test]
    fn a_notification_is_read_as_it_was_sent() {
        let sent = notifier(false).notice(0, 5, &notice("x"));
        let (name, objects, answer) = receive(&sent[0].bytes).unwrap();
        assert_eq!((name, answer), (vec![1, 3, 9], None));
        assert_eq!(objects, [(UP_TIME.to_vec(), Value::Ticks(5)), (vec![1, 3, 5], Value::Gauge(7))]);
    }

    /// A flapping node does not flood: the same is told once a minute, and all together at a bounded rate.
    #[test]
    fn rates_are_bounded() {
        let mut n = notifier(false);
        let told = |n: &mut Notifier, at, subject: &str| n.notice(at, 0, &notice(subject)).len();
        assert_eq!((told(&mut n, 0, "x"), told(&mut n, 59 * S, "x"), told(&mut n, 60 * S, "x")), (1, 0, 1));
        let all: usize = (0..100).map(|i| told(&mut n, 70 * S, &format!("y{i}"))).sum();
        assert_eq!(all, 3, "more than a burst");
        assert_eq!(n.counts().held_back, 1 + 97);
        assert_eq!((told(&mut n, 79 * S, "z"), told(&mut n, 80 * S, "z")), (0, 1));
    }

    #[test]
    fn an_inform_is_repeated_until_it_is_answered_or_given_up() {
        let mut n = notifier(true);
        let sent = n.notice(0, 0, &notice("x"));
        assert!(n.tick(S - 1).is_empty());
        assert_eq!(n.tick(S).len(), 1);
        assert!(n.tick(3 * S - 1).is_empty(), "after twice as long");
        let answer = receive(&sent[0].bytes).unwrap().2.unwrap();
        n.came("b", &answer);
        assert_eq!(n.counts().acknowledged, 0, "from somebody else");
        n.came("a", &answer);
        assert_eq!((n.counts().acknowledged, n.due()), (1, None));
        n.notice(S, 0, &notice("y"));
        let again: usize = (2..100).map(|t| n.tick(t * S).len()).sum();
        assert_eq!((again, n.counts().unanswered, n.due()), (2, 1, None));
    }

    proptest! {
        #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

        /// Whatever happens: what waits and what is remembered stays bounded, each inform ends once, and nothing that
        /// comes may panic.
        #[test]
        fn everything_stays_bounded(steps in proptest::collection::vec((0..4u8, 0..20u8, 0..30u64), 0..150), noise in proptest::collection::vec(any::<u8>(), 0..60)) {
            let (mut n, mut now, mut out) = (notifier(true), 0, Vec::new());
            for (kind, pick, span) in steps {
                now += span * S;
                match kind {
                    0 | 1 => out.extend(n.notice(now, 0, &notice(&pick.to_string()))),
                    2 => drop(n.tick(now)),
                    _ => {
                        let answer = out.get(pick as usize).and_then(|s: &Send| receive(&s.bytes)?.2);
                        n.came("a", answer.as_deref().unwrap_or(&noise));
                    }
                }
                let c = n.counts();
                prop_assert!(n.waiting.len() <= 4 && n.told.len() <= 5 && n.tokens <= 3);
                prop_assert_eq!(c.sent, c.acknowledged + c.unanswered + n.waiting.len() as u64);
            }
            let _ = receive(&noise);
        }
    }
}
