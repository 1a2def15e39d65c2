//! The agent: decodes requests of versions 2c and 3, and answers them from a tree.
//!
//! Decoding and answering are separate steps because the tree depends on the requester ([`crate::walkers`]).

mod response;
mod security;

use rasn::types::{Integer, OctetString};
use rasn_snmp::v2::Pdus;
use rasn_snmp::{v2c, v3};

use crate::codec;
use crate::tree::{Value, View};
use crate::usm::{Keys, User};
use crate::v3_message::{self, Header, FLAG_AUTH, FLAG_PRIVACY};
use crate::Oid;

use self::security::SecurityError;

/// Size limits of messages.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Bounds {
    /// Maximum number of bindings in a request and in a response.
    pub bindings: usize,
    /// Maximum size of a response in bytes.
    pub bytes: usize,
}

/// An SNMP agent with its engine and the credentials that it accepts.
pub struct Agent {
    bounds: Bounds,
    community: Option<(String, View)>,
    users: Vec<(User, Keys)>,
    engine: Vec<u8>,
    boots: u32,
    /// Identifiers of all objects that can be read, without instances.
    object_names: Vec<Oid>,
    /// The counters of `usmStats`.
    usm_stats: [u32; USM_STATS_COUNT],
    salt: u64,
}

/// `usmStats` (RFC 3414, section 5), the parent of objects 1 to 6.
const USM_STATS: [u32; 9] = [1, 3, 6, 1, 6, 3, 15, 1, 1];
const USM_STATS_COUNT: usize = 6;
/// The version number in a version 2c message.
pub(crate) const VERSION_2C: u32 = 1;
/// `snmpEngine` (RFC 3411, section 5), the parent of id, boots, time and maximum message size.
const ENGINE: [u32; 9] = [1, 3, 6, 1, 6, 3, 10, 2, 1];

/// The data from a request that is needed to encode its response.
#[derive(Debug, Clone)]
enum ReplyTo {
    V2c { community: OctetString },
    V3 { message_id: Integer, user: String, level: SecurityLevel, context: v3::ScopedPdu, max_bytes: usize },
}

/// Security level of a version 3 message, with the index of the user whose keys secure it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum SecurityLevel {
    NoAuth,
    Auth(usize),
    Privacy(usize),
}

/// A request that passed the security checks.
#[derive(Debug, Clone)]
pub struct Request {
    pdus: Pdus,
    reply_to: ReplyTo,
    view: View,
}

/// Result of reading a datagram.
#[derive(Debug)]
pub enum Incoming {
    /// The datagram is not answered.
    Drop,
    /// An encoded report to send back; no tree is needed.
    Reply(Vec<u8>),
    /// A request to answer with [`Agent::answer`].
    Request(Box<Request>),
}

impl Request {
    /// The object identifier after which a `GetNext` or `GetBulk` request continues; `None` for other requests.
    pub fn walk_position(&self) -> Option<Oid> {
        let bindings = match &self.pdus {
            Pdus::GetNextRequest(r) => &r.0.variable_bindings,
            Pdus::GetBulkRequest(r) => &r.0.variable_bindings,
            _ => return None,
        };
        bindings.last().map(codec::oid)
    }
}

impl Agent {
    /// Creates an agent that accepts no credentials yet. `object_names` are the identifiers of the objects that it
    /// serves, without instances.
    pub fn new(bounds: Bounds, engine: Vec<u8>, boots: u32, object_names: Vec<Oid>) -> Self {
        let (community, users, usm_stats) = (None, Vec::new(), [0; USM_STATS_COUNT]);
        Self { bounds, community, users, engine, boots, object_names, usm_stats, salt: 0 }
    }

    /// Allows a community of version 2c to read the objects in a view.
    pub fn set_community(&mut self, community: String, view: View) {
        self.community = Some((community, view));
    }

    /// Allows a user of version 3 to read the objects in its view. Salts for encryption follow `salt`; no earlier process
    /// may have used them with the same keys.
    pub fn add_user(&mut self, user: User, salt: u64) {
        let keys = Keys::new(&user, &self.engine);
        self.users.push((user, keys));
        self.salt = salt;
    }

    /// The objects of the engine and the counters of security errors, with their values.
    pub fn objects(&self, time_s: u32) -> Vec<(Oid, Value)> {
        let scalar = |base: &[u32], arc: u32| [base, &[arc, 0]].concat();
        let mut all = vec![
            (scalar(&ENGINE, 1), Value::Text(self.engine.clone())),
            (scalar(&ENGINE, 2), Value::Integer(self.boots as i32)),
            (scalar(&ENGINE, 3), Value::Integer(time_s as i32)),
            (scalar(&ENGINE, 4), Value::Integer(self.bounds.bytes as i32)),
        ];
        all.extend(
            (1..).zip(self.usm_stats).map(|(n, count)| (scalar(&USM_STATS, n), Value::Counter32(count))),
        );
        all
    }

    /// Number of version 3 messages denied by security checks, except those for an unknown engine, which managers send
    /// to discover the engine.
    pub fn denied(&self) -> u64 {
        let discovery = SecurityError::UnknownEngine.index();
        self.usm_stats
            .iter()
            .enumerate()
            .filter(|(n, _)| *n != discovery)
            .map(|(_, &count)| u64::from(count))
            .sum()
    }

    /// Decodes and verifies a datagram; `time_s` is the time of the engine in seconds.
    pub fn read(&mut self, bytes: &[u8], time_s: u32) -> Incoming {
        if let Ok(message) = rasn::ber::decode::<v2c::Message<Pdus>>(bytes) {
            return self.read_v2c(message);
        }
        match rasn::ber::decode::<v3::Message>(bytes) {
            Ok(message) => self.read_v3(bytes, &message, time_s).unwrap_or(Incoming::Drop),
            Err(_) => Incoming::Drop,
        }
    }

    fn read_v2c(&self, message: v2c::Message<Pdus>) -> Incoming {
        let accepted = self.community.as_ref().filter(|c| c.0.as_bytes() == message.community.as_ref());
        let (Some((_, view)), true) = (accepted, message.version == Integer::from(VERSION_2C)) else {
            return Incoming::Drop;
        };
        let reply_to = ReplyTo::V2c { community: message.community };
        accept(message.data, reply_to, view.clone())
    }

    /// Encodes a version 3 message to a user, secured at this level.
    fn encode_v3(
        &mut self,
        message_id: &Integer,
        user: &str,
        level: SecurityLevel,
        scoped: v3::ScopedPdu,
        time_s: u32,
    ) -> Option<Vec<u8>> {
        let keys_of = |index: usize| self.users.get(index).map(|(_, keys)| keys);
        let (flags, keys) = match level {
            SecurityLevel::NoAuth => (0, None),
            SecurityLevel::Auth(index) => (FLAG_AUTH, keys_of(index)),
            SecurityLevel::Privacy(index) => (FLAG_AUTH | FLAG_PRIVACY, keys_of(index)),
        };
        self.salt = self.salt.wrapping_add(1);
        let header = Header {
            message_id,
            flags,
            engine_id: &self.engine,
            boots: self.boots,
            time_s,
            user,
            salt: self.salt,
            max_bytes: self.bounds.bytes,
        };
        v3_message::encode(&header, keys, scoped)
    }
}

/// Accepts PDUs that are requests, and drops all others.
fn accept(pdus: Pdus, reply_to: ReplyTo, view: View) -> Incoming {
    match pdus {
        Pdus::GetRequest(_) | Pdus::GetNextRequest(_) | Pdus::GetBulkRequest(_) | Pdus::SetRequest(_) => {
            Incoming::Request(Box::new(Request { pdus, reply_to, view }))
        }
        _ => Incoming::Drop,
    }
}
