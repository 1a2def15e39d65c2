//! Notifications (RFC 3416, sections 4.2.6 and 4.2.7) with rate limits and retries of informs.
//!
//! [`Notifier`] is a state machine without I/O: it takes events with their times, and returns messages to send.

use std::collections::{BTreeMap, VecDeque};

use rasn::types::OctetString;
use rasn_snmp::v2::{InformRequest, Pdu, Pdus, Response, Trap, VarBind, VarBindValue};
use rasn_snmp::v2c;

use crate::agent::VERSION_2C;
use crate::codec::{self, bind};
use crate::tree::Value;
use crate::Oid;

/// A time or duration in nanoseconds of a monotonic clock.
pub type Nanos = u64;

/// `sysUpTime.0` and `snmpTrapOID.0`, the first two bindings of every notification.
const UP_TIME: [u32; 9] = [1, 3, 6, 1, 2, 1, 1, 3, 0];
const TRAP_OID: [u32; 11] = [1, 3, 6, 1, 6, 3, 1, 1, 4, 1, 0];
/// Maximum number of doublings of the retry delay.
const MAX_DOUBLINGS: u32 = 16;

/// An event that receivers are notified of.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Notice {
    /// Object identifier of the notification.
    pub oid: Oid,
    /// The subject of the notification, such as the name of a node. Rate limits apply per notification and subject.
    pub subject: String,
    /// The objects that the notification carries, with their values.
    pub objects: Vec<(Oid, Value)>,
}

/// Rate limits, retry policy and memory limits of a [`Notifier`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Bounds {
    /// Minimum time between two notices of the same notification and subject.
    pub min_interval: Nanos,
    /// Maximum number of notices sent in a burst, which is the capacity of the token bucket.
    pub burst: u32,
    /// Time in which the bucket gains one token.
    pub refill_interval: Nanos,
    /// Maximum number of unacknowledged informs; a new one beyond it replaces the oldest.
    pub max_pending_informs: usize,
    /// Delay before the first retry of an inform; doubles with each retry.
    pub retry_delay: Nanos,
    /// Maximum number of attempts to send an inform, including the first.
    pub max_attempts: u32,
    /// Maximum number of subjects tracked for rate limiting; a new one replaces the one notified least recently.
    pub max_subjects: usize,
}

/// A receiver of notifications.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Target {
    /// Address of the receiver, in a form that the embedder can send to.
    pub to: String,
    /// The version 2c community that messages are sent with.
    pub community: String,
    /// Whether to send acknowledged informs instead of traps.
    pub inform: bool,
}

/// A message to send.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OutgoingMessage {
    /// Address of the [`Target`].
    pub to: String,
    /// The encoded message.
    pub bytes: Vec<u8>,
}

/// Counts of notices and messages.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Counts {
    /// Messages sent for the first time.
    pub sent: u64,
    /// Retries of informs.
    pub retried: u64,
    /// Informs that were acknowledged.
    pub acknowledged: u64,
    /// Informs abandoned without acknowledgement.
    pub unacknowledged: u64,
    /// Notices suppressed by the rate limits.
    pub rate_limited: u64,
}

/// An inform that is not acknowledged yet.
struct PendingInform {
    request_id: i32,
    to: String,
    bytes: Vec<u8>,
    attempts: u32,
    due: Nanos,
}

/// Sends notices to targets within rate limits, and retries informs.
pub struct Notifier {
    bounds: Bounds,
    targets: Vec<Target>,
    /// When each notification was last sent for each subject.
    notified: BTreeMap<(Oid, String), Nanos>,
    tokens: u32,
    refilled_at: Nanos,
    pending: VecDeque<PendingInform>,
    last_request_id: i32,
    counts: Counts,
}

impl Notifier {
    /// Creates a notifier for these targets. Request ids follow `last_request_id`.
    pub fn new(bounds: Bounds, targets: Vec<Target>, last_request_id: i32) -> Self {
        Self {
            bounds,
            targets,
            notified: BTreeMap::new(),
            tokens: bounds.burst,
            refilled_at: 0,
            pending: VecDeque::new(),
            last_request_id: last_request_id & i32::MAX,
            counts: Counts::default(),
        }
    }

    /// Counts since the notifier was created.
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// Handles an event and returns the messages to send. `up_time` is the time since the agent's start, in hundredths
    /// of a second.
    pub fn notify(&mut self, now: Nanos, up_time: u32, notice: &Notice) -> Vec<OutgoingMessage> {
        if !self.admit(now, notice) {
            self.counts.rate_limited += 1;
            return Vec::new();
        }
        let up_time = bind(&UP_TIME, &Value::Ticks(up_time));
        let trap_oid = bind(&TRAP_OID, &Value::Name(notice.oid.clone()));
        let objects = notice.objects.iter().map(|(oid, value)| bind(oid, value));
        let bindings: Vec<VarBind> = [up_time, trap_oid].into_iter().chain(objects).collect();
        let mut messages = Vec::new();
        for target in self.targets.clone() {
            self.last_request_id = self.last_request_id.wrapping_add(1) & i32::MAX;
            let Some(bytes) = encode(&target, self.last_request_id, bindings.clone()) else { continue };
            self.counts.sent += 1;
            if target.inform {
                self.await_acknowledgement(now, &target.to, &bytes);
            }
            messages.push(OutgoingMessage { to: target.to, bytes });
        }
        messages
    }

    /// Checks whether the rate limits allow a notice, and if so counts it against them.
    fn admit(&mut self, now: Nanos, notice: &Notice) -> bool {
        let key = (notice.oid.clone(), notice.subject.clone());
        let notified_at = self.notified.get(&key);
        let too_soon = notified_at.is_some_and(|&at| now.saturating_sub(at) < self.bounds.min_interval);
        self.refill(now);
        if too_soon || self.tokens == 0 {
            return false;
        }
        self.tokens -= 1;
        if !self.notified.contains_key(&key) && self.notified.len() >= self.bounds.max_subjects {
            let oldest = self.notified.iter().min_by_key(|(_, &at)| at).map(|(key, _)| key.clone());
            oldest.map(|key| self.notified.remove(&key));
        }
        self.notified.insert(key, now);
        true
    }

    fn await_acknowledgement(&mut self, now: Nanos, to: &str, bytes: &[u8]) {
        if self.pending.len() >= self.bounds.max_pending_informs {
            self.pending.pop_front();
            self.counts.unacknowledged += 1;
        }
        self.pending.push_back(PendingInform {
            request_id: self.last_request_id,
            to: to.to_string(),
            bytes: bytes.to_vec(),
            attempts: 1,
            due: now.saturating_add(self.bounds.retry_delay),
        });
    }

    fn refill(&mut self, now: Nanos) {
        let interval = self.bounds.refill_interval.max(1);
        let intervals = now.saturating_sub(self.refilled_at) / interval;
        if intervals > 0 {
            let added = u32::try_from(intervals).unwrap_or(u32::MAX);
            self.tokens = self.tokens.saturating_add(added).min(self.bounds.burst);
            self.refilled_at = self.refilled_at.saturating_add(intervals * interval);
        }
    }

    /// Handles a datagram from a target. Anything but the acknowledgement of a pending inform is ignored.
    pub fn acknowledge(&mut self, from: &str, bytes: &[u8]) {
        let Ok(message) = rasn::ber::decode::<v2c::Message<Pdus>>(bytes) else { return };
        let Pdus::Response(response) = message.data else { return };
        let before = self.pending.len();
        self.pending.retain(|inform| inform.request_id != response.0.request_id || inform.to != from);
        self.counts.acknowledged += (before - self.pending.len()) as u64;
    }

    /// When to call [`Notifier::tick`] next; `None` if no inform is pending.
    pub fn due(&self) -> Option<Nanos> {
        self.pending.iter().map(|inform| inform.due).min()
    }

    /// Retries or abandons informs that were not acknowledged in time; returns the messages to send.
    pub fn tick(&mut self, now: Nanos) -> Vec<OutgoingMessage> {
        let (bounds, counts) = (self.bounds, &mut self.counts);
        let mut messages = Vec::new();
        self.pending.retain_mut(|inform| {
            if now < inform.due {
                return true;
            }
            if inform.attempts >= bounds.max_attempts {
                counts.unacknowledged += 1;
                return false;
            }
            counts.retried += 1;
            let delay = bounds.retry_delay.saturating_mul(1 << inform.attempts.min(MAX_DOUBLINGS));
            inform.due = now.saturating_add(delay);
            inform.attempts += 1;
            messages.push(OutgoingMessage { to: inform.to.clone(), bytes: inform.bytes.clone() });
            true
        });
        messages
    }
}

/// Encodes a trap or an inform, depending on the target.
fn encode(target: &Target, request_id: i32, variable_bindings: Vec<VarBind>) -> Option<Vec<u8>> {
    let pdu = Pdu { request_id, error_status: 0, error_index: 0, variable_bindings };
    let data = match target.inform {
        true => Pdus::InformRequest(InformRequest(pdu)),
        false => Pdus::Trap(Trap(pdu)),
    };
    let community: OctetString = target.community.as_bytes().to_vec().into();
    rasn::ber::encode(&v2c::Message { version: VERSION_2C.into(), community, data }).ok()
}

/// A decoded notification: its object identifier, its objects, and for an inform the encoded acknowledgement.
pub type Received = (Oid, Vec<(Oid, Value)>, Option<Vec<u8>>);

/// Decodes a notification; returns `None` for any other message.
pub fn decode_notification(bytes: &[u8]) -> Option<Received> {
    let message: v2c::Message<Pdus> = rasn::ber::decode(bytes).ok()?;
    let (pdu, inform) = match message.data {
        Pdus::Trap(trap) => (trap.0, false),
        Pdus::InformRequest(inform) => (inform.0, true),
        _ => return None,
    };
    let mut objects = Vec::new();
    let mut name = None;
    for binding in &pdu.variable_bindings {
        let VarBindValue::Value(value) = &binding.value else { continue };
        let (oid, value) = (codec::oid(binding), codec::value(value)?);
        match value {
            Value::Name(trap_oid) if oid == TRAP_OID => name = Some(trap_oid),
            value => objects.push((oid, value)),
        }
    }
    let acknowledgement = inform.then(|| {
        let data = Pdus::Response(Response(pdu.clone()));
        rasn::ber::encode(&v2c::Message { version: VERSION_2C.into(), community: message.community, data })
            .ok()
    });
    Some((name?, objects, acknowledgement.flatten()))
}

#[cfg(test)]
mod tests;
